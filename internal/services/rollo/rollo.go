// Package rollo rolls out configuration: it follows the config stream and the peers and provides the version in force.
//
// A version comes from the tail of the log or from a peer with a newer version. Both go through the same fold, which
// verifies the sign-offs, so it does not matter which arrives first. The version in force never reverts to an earlier
// one.
//
// # Usage
//
//	r := rollo.New(options)
//	supervisor.Add(r.Tail()); supervisor.Add(r.PeerSync())
//	b := r.InForce()
package rollo

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/ibischute/ibischute/internal/modules/logio"
	"github.com/ibischute/ibischute/internal/modules/suprv"
	"github.com/ibischute/ibischute/internal/modules/wire"
	"github.com/ibischute/ibischute/internal/services/member"
	"github.com/ibischute/ibischute/internal/state/accept"
	"github.com/ibischute/ibischute/internal/state/snaps"
	"github.com/ibischute/ibischute/pkg/bundle"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	tailWait    = 10 * time.Second
	callTimeout = 2 * time.Second
	// retryInterval is the pause after a failed read of the stream and the interval of fetches from peers.
	retryInterval = 300 * time.Millisecond
)

// Options holds the settings and dependencies of a Rollout.
type Options struct {
	Root   bundle.Authority
	Log    logio.Log
	Peers  func(now tick.Time) []member.Peer
	Dial   func(address string) wire.Peer
	Logger zerolog.Logger
	Now    func() tick.Time
	// IsOwner reports whether this instance owns the key in its domain.
	IsOwner func(key ident.Key) bool
	// SnapshotRecords and SnapshotInterval limit how much of the stream follows its newest snapshot.
	SnapshotRecords  int
	SnapshotInterval time.Duration
}

// Rollout follows the config stream and holds the configuration in force.
type Rollout struct {
	opts    Options
	inForce atomic.Pointer[bundle.Bundle]

	mu               sync.Mutex
	fold             *accept.Fold
	next             ident.Offset
	snapshotSchedule *snaps.Schedule
}

// New returns a Rollout without a version in force.
func New(o Options) *Rollout {
	return &Rollout{
		opts: o, fold: accept.New(o.Root),
		snapshotSchedule: snaps.New(o.SnapshotRecords, o.SnapshotInterval, o.Now()),
	}
}

// InForce returns the bundle in force, or nil before the first one.
func (r *Rollout) InForce() *bundle.Bundle { return r.inForce.Load() }

// Version returns the version in force, or 0 before the first one.
func (r *Rollout) Version() ident.Version {
	if b := r.InForce(); b != nil {
		return b.Version
	}
	return 0
}

// Tail returns the service that follows the config stream.
func (r *Rollout) Tail() suprv.Service { return suprv.Repeat("config-tail", retryInterval, r.readOnce) }

func (r *Rollout) readOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tailWait+callTimeout)
	defer cancel()
	r.mu.Lock()
	from := r.next
	r.mu.Unlock()
	b, err := r.opts.Log.Read(ctx, ident.ConfigStream, from, tailWait)
	if fault.IsErrCode(err, fault.CodeTrimmed) {
		// The trimmed records are covered by a later snapshot, or a peer has them.
		r.mu.Lock()
		defer r.mu.Unlock()
		r.next = b.Earliest
		return nil
	}
	if err != nil {
		return err
	}
	for _, rec := range b.Records {
		r.mu.Lock()
		r.snapshotSchedule.Count()
		r.mu.Unlock()
		r.apply(rec.Data, rec.Offset)
		r.mu.Lock()
		r.next = rec.Offset + 1
		r.mu.Unlock()
	}
	return r.snapshotIfDue(ctx)
}

// snapshotIfDue appends a snapshot well before the log trims the records that it replaces.
func (r *Rollout) snapshotIfDue(ctx context.Context) error {
	now := r.opts.Now()
	r.mu.Lock()
	if !r.snapshotSchedule.IsDue(now) || !r.opts.IsOwner(snapshotKey) {
		r.mu.Unlock()
		return nil
	}
	r.snapshotSchedule.Reset(now)
	s := r.fold.Snapshot()
	r.mu.Unlock()
	id := fmt.Sprintf("snapshot-%d", now)
	return r.append(ctx, id, &wire.ConfigRecord{Kind: &wire.ConfigRecord_Snapshot{Snapshot: s}})
}

// snapshotKey is the key whose owner in each domain appends the snapshots.
const snapshotKey ident.Key = "config-snapshot"

func (r *Rollout) apply(data []byte, at ident.Offset) {
	rec, err := accept.Decode(data)
	if err != nil {
		r.opts.Logger.Warn().Err(err).Uint64("offset", uint64(at)).Msg("config-record-unreadable")
		return
	}
	r.applyRecord(rec, at)
}

func (r *Rollout) applyRecord(rec *wire.ConfigRecord, at ident.Offset) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec.GetSnapshot() != nil {
		r.snapshotSchedule.Reset(r.opts.Now())
	}
	if !r.fold.Apply(rec, at) {
		return
	}
	b := r.fold.InForce()
	r.inForce.Store(b)
	r.opts.Logger.Info().Uint64("version", uint64(b.Version)).Msg("version-in-force")
}

// PeerSync returns the service that fetches newer versions from peers.
func (r *Rollout) PeerSync() suprv.Service {
	return suprv.Every("config-spread", retryInterval, r.fetchFromPeers)
}

func (r *Rollout) fetchFromPeers(ctx context.Context) {
	current := r.Version()
	for _, p := range r.opts.Peers(r.opts.Now()) {
		if p.Version <= current {
			continue
		}
		if r.fetch(ctx, p.Address, current) {
			return
		}
	}
}

func (r *Rollout) fetch(ctx context.Context, address string, above ident.Version) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := r.opts.Dial(address).FetchConfig(ctx, &wire.FetchConfigRequest{AboveVersion: uint64(above)})
	if err != nil {
		return false
	}
	for _, rec := range res.GetRecords() {
		// The response does not contain the offsets of the records.
		r.applyRecord(rec, 0)
	}
	return r.Version() > above
}

// HandleFetch returns the records that lead from the requested version to the newest one.
func (r *Rollout) HandleFetch(req *wire.FetchConfigRequest) (*wire.FetchConfigResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recs, err := r.fold.RecordsAfter(ident.Version(req.GetAboveVersion()))
	if err != nil {
		return nil, err
	}
	return &wire.FetchConfigResponse{Records: recs}, nil
}

// Propose appends a bundle as a proposal and returns its ID.
func (r *Rollout) Propose(ctx context.Context, data []byte) (string, error) {
	if _, problems := bundle.Parse(data); len(problems) > 0 {
		return "", fault.Wrap(problems[0], fault.CodeBadRequest, fault.NotRun, "bundle")
	}
	id := bundle.ID(data)
	err := r.append(ctx, "proposal-"+id, &wire.ConfigRecord{Kind: &wire.ConfigRecord_Proposal{
		Proposal: &wire.Proposal{Id: id, Bundle: data},
	}})
	return id, err
}

// SignOff appends an operator's sign-off.
func (r *Rollout) SignOff(ctx context.Context, id, operator string, signature []byte) error {
	return r.append(ctx, "sign-off-"+id+"-"+operator, &wire.ConfigRecord{Kind: &wire.ConfigRecord_SignOff{
		SignOff: &wire.SignOff{ProposalId: id, Operator: operator, Signature: signature},
	}})
}

// append adds a record to the config stream. Proposals and sign-offs are idempotent, so a request whose answer was lost
// can be sent again.
func (r *Rollout) append(ctx context.Context, recordID string, rec *wire.ConfigRecord) error {
	data, err := proto.Marshal(rec)
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, fault.NotRun, "encode config record")
	}
	_, err = r.opts.Log.Append(ctx, ident.ConfigStream, []logio.Record{{ID: recordID, Data: data}})
	return err
}

// Status returns the status of a proposal.
func (r *Rollout) Status(id string) (accept.Proposal, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fold.Status(id)
}

// LongestWorkerLease returns the longest worker lease of all known accepted versions. Tasks of an earlier placer may
// run under any of them.
func (r *Rollout) LongestWorkerLease() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	longest := bundle.DefaultWorkerLease
	for _, p := range r.fold.All() {
		if p.State == accept.StateAccepted {
			longest = max(longest, p.Bundle.Batch.WorkerLease)
		}
	}
	return longest
}

// All returns all proposals that the fold retains.
func (r *Rollout) All() []accept.Proposal {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fold.All()
}
