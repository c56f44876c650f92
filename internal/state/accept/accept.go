// Package accept folds the config stream into the chain of accepted bundles.
//
// A proposal is accepted when its parent is the version in force and at least the threshold number of distinct
// operators of that version have signed it off. The first proposal in the log to meet these conditions is accepted;
// every other proposal with the same parent then becomes a conflict. The fold is deterministic, gives the same result
// on every instance, and versions only increase.
//
// # Usage
//
//	f := accept.New(bundle.Authority{Threshold: 2, Operators: keys})
//	f.Apply(record, offset)
//	if b := f.InForce(); b != nil { ... }
package accept

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/ibischute/ibischute/internal/modules/wire"
	"github.com/ibischute/ibischute/pkg/bundle"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
)

const (
	// maxPending limits the number of open proposals.
	maxPending = 64
	// maxRejected limits the number of rejected proposals that are kept for operators to query.
	maxRejected = 64
	// maxAccepted limits the number of accepted versions whose records are kept for peers and operators.
	maxAccepted = 1024
)

// State is the state of a proposal.
type State string

// The states of a proposal.
const (
	StatePending  State = "pending"
	StateAccepted State = "accepted"
	StateConflict State = "conflict"
	StateInvalid  State = "invalid"
)

// Proposal is a proposed bundle with its sign-offs.
type Proposal struct {
	ID     string
	Bundle *bundle.Bundle
	State  State
	Reason string
	// Signers holds the signatures by operator name.
	Signers    map[string][]byte
	AcceptedAt ident.Offset
	data       []byte
}

// SignerNames returns the names of the operators that signed the proposal off, in sorted order.
func (p *Proposal) SignerNames() []string { return slices.Sorted(maps.Keys(p.Signers)) }

// Fold is the state of the config stream. It is not safe for concurrent use.
type Fold struct {
	root     bundle.Authority
	pending  map[string]*Proposal
	order    []string
	rejected []*Proposal
	accepted []*Proposal
	inForce  *bundle.Bundle
}

// New returns a Fold without an accepted version. The root authority signs off the first version.
func New(root bundle.Authority) *Fold { return &Fold{root: root, pending: map[string]*Proposal{}} }

// InForce returns the newest accepted bundle, or nil if there is none.
func (f *Fold) InForce() *bundle.Bundle { return f.inForce }

// Version returns the newest accepted version, or 0 if there is none.
func (f *Fold) Version() ident.Version {
	if f.inForce == nil {
		return 0
	}
	return f.inForce.Version
}

// Apply folds one record and reports whether it put a new version in force.
func (f *Fold) Apply(rec *wire.ConfigRecord, at ident.Offset) bool {
	switch k := rec.GetKind().(type) {
	case *wire.ConfigRecord_Proposal:
		f.propose(k.Proposal)
	case *wire.ConfigRecord_SignOff:
		return f.signOff(k.SignOff, at)
	case *wire.ConfigRecord_Snapshot:
		return f.applySnapshot(k.Snapshot, at)
	}
	return false
}

// Snapshot returns the records that a reader needs if it cannot read the stream from the beginning: each version that
// changed the authority, the version in force, and the open proposals.
func (f *Fold) Snapshot() *wire.ConfigSnapshot {
	out := &wire.ConfigSnapshot{}
	authority := f.root
	for i, p := range f.accepted {
		isLast := i == len(f.accepted)-1
		if isLast || !authority.Equal(p.Bundle.Authority()) {
			out.Records = append(out.Records, records(p)...)
		}
		authority = p.Bundle.Authority()
	}
	for _, id := range f.order {
		out.Records = append(out.Records, records(f.pending[id])...)
	}
	return out
}

// applySnapshot applies the versions of a snapshot that are newer than the one in force. Each version must be signed
// off by the authority of the version before it.
func (f *Fold) applySnapshot(s *wire.ConfigSnapshot, at ident.Offset) bool {
	before := f.Version()
	for _, rec := range s.GetRecords() {
		if p := rec.GetProposal(); p != nil {
			f.addSnapshotProposal(p)
		}
		f.Apply(rec, at)
	}
	return f.Version() != before
}

// addSnapshotProposal adds a newer proposal of a snapshot as pending even if it skips versions. It still needs its
// sign-offs to come into force.
func (f *Fold) addSnapshotProposal(p *wire.Proposal) {
	id := bundle.ID(p.GetBundle())
	b, problems := bundle.Parse(p.GetBundle())
	if len(problems) > 0 || b.Version <= f.Version() || f.find(id) != nil {
		return
	}
	f.pending[id] = &Proposal{ID: id, Bundle: b, State: StatePending, Signers: map[string][]byte{}, data: p.GetBundle()}
	f.order = append(f.order, id)
}

func (f *Fold) propose(p *wire.Proposal) {
	id := bundle.ID(p.GetBundle())
	if f.find(id) != nil {
		return
	}
	b, problems := bundle.Parse(p.GetBundle())
	entry := &Proposal{ID: id, Bundle: b, State: StatePending, Signers: map[string][]byte{}, data: p.GetBundle()}
	switch {
	case len(problems) > 0:
		f.reject(entry, StateInvalid, problems[0].Error())
	case b.Parent != f.Version():
		f.reject(entry, StateConflict, "the parent is not the version in force")
	case len(f.pending) >= maxPending:
		f.reject(entry, StateConflict, "too many open proposals")
	default:
		f.pending[id] = entry
		f.order = append(f.order, id)
	}
}

func (f *Fold) reject(p *Proposal, s State, reason string) {
	p.State, p.Reason = s, reason
	p.data = nil
	f.rejected = append(f.rejected, p)
	if len(f.rejected) > maxRejected {
		f.rejected = f.rejected[1:]
	}
}

// authority returns the operators and the sign-off threshold in force.
func (f *Fold) authority() bundle.Authority {
	if f.inForce == nil {
		return f.root
	}
	return f.inForce.Authority()
}

func (f *Fold) signOff(s *wire.SignOff, at ident.Offset) bool {
	p, ok := f.pending[s.GetProposalId()]
	if !ok {
		return false
	}
	auth := f.authority()
	key, known := auth.Operators[s.GetOperator()]
	if !known || !bundle.Verify(key, p.ID, s.GetSignature()) {
		return false
	}
	p.Signers[s.GetOperator()] = s.GetSignature()
	if len(p.Signers) < max(1, auth.Threshold) {
		return false
	}
	f.accept(p, at)
	return true
}

func (f *Fold) accept(p *Proposal, at ident.Offset) {
	p.State, p.AcceptedAt = StateAccepted, at
	f.inForce = p.Bundle
	f.accepted = append(f.accepted, p)
	if len(f.accepted) > maxAccepted {
		f.accepted = f.accepted[1:]
	}
	for _, id := range f.order {
		if id != p.ID {
			f.reject(f.pending[id], StateConflict, "another child of the same parent was accepted first")
		}
	}
	clear(f.pending)
	f.order = nil
}

func (f *Fold) find(id string) *Proposal {
	if p, ok := f.pending[id]; ok {
		return p
	}
	for _, list := range [][]*Proposal{f.accepted, f.rejected} {
		for _, p := range list {
			if p.ID == id {
				return p
			}
		}
	}
	return nil
}

// Status returns a copy of the proposal with the given ID.
func (f *Fold) Status(id string) (Proposal, error) {
	p := f.find(id)
	if p == nil {
		return Proposal{}, fault.New(fault.CodeNotFound, fault.NotRun, "no proposal "+id)
	}
	out := *p
	out.Signers = maps.Clone(p.Signers)
	return out, nil
}

// All returns copies of all proposals: the accepted ones first, then the pending and the rejected ones.
func (f *Fold) All() []Proposal {
	var out []Proposal
	for _, p := range f.accepted {
		out = append(out, *p)
	}
	for _, id := range f.order {
		out = append(out, *f.pending[id])
	}
	for _, p := range f.rejected {
		out = append(out, *p)
	}
	return out
}

// RecordsAfter returns the records of all versions after v, so that a peer that is behind can catch up.
func (f *Fold) RecordsAfter(v ident.Version) ([]*wire.ConfigRecord, error) {
	var out []*wire.ConfigRecord
	for _, p := range f.accepted {
		if p.Bundle.Version > v {
			out = append(out, records(p)...)
		}
	}
	if len(f.accepted) > 0 && f.accepted[0].Bundle.Parent > v {
		return nil, fault.New(fault.CodeTrimmed, fault.NotRun, "versions not kept that far back")
	}
	return out, nil
}

func records(p *Proposal) []*wire.ConfigRecord {
	out := []*wire.ConfigRecord{{Kind: &wire.ConfigRecord_Proposal{Proposal: &wire.Proposal{Id: p.ID, Bundle: p.data}}}}
	for _, name := range p.SignerNames() {
		out = append(out, &wire.ConfigRecord{Kind: &wire.ConfigRecord_SignOff{SignOff: &wire.SignOff{
			ProposalId: p.ID, Operator: name, Signature: p.Signers[name],
		}}})
	}
	return out
}

// Decode unmarshals a record of the config stream.
func Decode(data []byte) (*wire.ConfigRecord, error) {
	var rec wire.ConfigRecord
	if err := proto.Unmarshal(data, &rec); err != nil {
		return nil, fault.Wrap(err, fault.CodeBadRequest, fault.NotRun, "decode config record")
	}
	return &rec, nil
}
