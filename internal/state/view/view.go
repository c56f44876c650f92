// Package view folds the member stream of a failure domain into the set of its entry instances.
//
// The result depends only on the order of the records in the log, so every instance folds the same View. A View is
// immutable.
//
// A fence is a record that removes a member that does not respond. It needs the co-signatures of a majority of the
// other voting members.
//
// A joiner votes and owns keys only after a majority of the voting members has admitted it. Without this rule, a fence
// could gather its co-signatures from joiners that are unknown to the members that gave promises to the fenced
// instance, and an instance that no other member can reach could own keys.
//
// # Usage
//
//	v := view.View{}
//	v = v.Apply(record, offset)
//	for _, m := range v.Members() { ... }
package view

import (
	"maps"
	"slices"

	"github.com/ibischute/ibischute/internal/modules/rendez"
	"github.com/ibischute/ibischute/internal/modules/wire"
	"github.com/ibischute/ibischute/pkg/ident"
)

// Member is one entry instance in a View.
type Member struct {
	Name        ident.Instance
	Incarnation ident.Incarnation
	Address     string
	// Joined is the epoch of the View that the member's join created.
	Joined ident.Offset
	// Voting reports whether the member votes on fences and owns keys. A member that does not vote yet is a joiner.
	Voting bool
}

// Ended is a member that was removed without releasing its keys.
type Ended struct {
	Member Member
	// At is the epoch of the first View without the member.
	At ident.Offset
	// IsTerminated reports that the process has provably terminated; a fenced process may still run.
	IsTerminated bool
}

// View is the set of members after a prefix of the member stream.
type View struct {
	members map[ident.Instance]Member
	// admits holds, for each joiner, the incarnations of the members that have admitted it.
	admits map[ident.Instance]map[ident.Instance]ident.Incarnation
	ended  []Ended
	next   ident.Offset
	epoch  ident.Offset
	owners rendez.Set[ident.Instance]
}

// maxEnded limits the number of removed members that a View keeps.
const maxEnded = 64

// Next returns the offset after the last folded record.
func (v View) Next() ident.Offset { return v.next }

// Epoch returns the offset after the last record that changed the members.
func (v View) Epoch() ident.Offset { return v.epoch }

// Len returns the number of members.
func (v View) Len() int { return len(v.members) }

// Member returns the member with the given name.
func (v View) Member(name ident.Instance) (Member, bool) {
	m, ok := v.members[name]
	return m, ok
}

// Has reports whether the incarnation of the instance is a member.
func (v View) Has(name ident.Instance, inc ident.Incarnation) bool {
	m, ok := v.members[name]
	return ok && m.Incarnation == inc
}

// IsVoting reports whether the instance is a voting member.
func (v View) IsVoting(name ident.Instance) bool { return v.members[name].Voting }

// Members returns the members, ordered by name.
func (v View) Members() []Member {
	out := make([]Member, 0, len(v.members))
	for _, name := range v.Names() {
		out = append(out, v.members[name])
	}
	return out
}

// Names returns the names of the members in sorted order.
func (v View) Names() []ident.Instance { return slices.Sorted(maps.Keys(v.members)) }

// Ended returns the members that were removed without a release, oldest first.
func (v View) Ended() []Ended { return v.ended }

// Owner returns the member that owns the key in this View.
func (v View) Owner(key ident.Key) (ident.Instance, bool) {
	return v.owners.Owner(string(key))
}

// voting returns the names of the voting members in sorted order.
func (v View) voting() []ident.Instance {
	return slices.DeleteFunc(v.Names(), func(n ident.Instance) bool { return !v.members[n].Voting })
}

// countVoting returns the number of voting members.
func (v View) countVoting() int { return len(v.voting()) }

// FenceQuorum returns the number of co-signatures that a fence of the member needs: a majority of the other voting
// members.
func (v View) FenceQuorum(target ident.Instance) int {
	return majority(v.countOthers(target, false))
}

// BlockQuorum returns the number of promises that keep a fence of the member from gathering its quorum. Non-voting
// members are counted as voting, because they may become voting before the member has read the record that
// admits them.
func (v View) BlockQuorum(target ident.Instance) int {
	others := v.countOthers(target, true)
	return max(0, others-majority(others)+1)
}

func (v View) countOthers(target ident.Instance, countJoiners bool) int {
	n := 0
	for name, m := range v.members {
		if name != target && (m.Voting || countJoiners) {
			n++
		}
	}
	return n
}

func majority(n int) int { return n/2 + 1 }

// Apply returns the View after the record at the given offset. A record that the rules do not allow only advances Next.
func (v View) Apply(rec *wire.MemberRecord, at ident.Offset) View {
	n := v.clone()
	n.next = at + 1
	changed := false
	switch k := rec.GetKind().(type) {
	case *wire.MemberRecord_Join:
		changed = n.join(k.Join.GetMember(), at)
	case *wire.MemberRecord_Leave:
		changed = n.leave(k.Leave.GetMember())
	case *wire.MemberRecord_Fence:
		changed = n.fence(k.Fence, at)
	case *wire.MemberRecord_Admit:
		changed = n.admit(k.Admit)
	case *wire.MemberRecord_Remove:
		changed = n.remove(k.Remove.GetTarget(), at, false)
	}
	if changed {
		n.epoch = n.next
		n.owners = rendez.New(n.voting())
	}
	return n
}

func (v View) clone() View {
	n := v
	n.members = maps.Clone(v.members)
	if n.members == nil {
		n.members = map[ident.Instance]Member{}
	}
	n.admits = make(map[ident.Instance]map[ident.Instance]ident.Incarnation, len(v.admits))
	for k, a := range v.admits {
		n.admits[k] = maps.Clone(a)
	}
	n.ended = slices.Clone(v.ended)
	return n
}

// join adds the member. A member with the same address, which may be an earlier incarnation of the same instance, has
// provably terminated, because two processes cannot listen on one address; the new member takes over its vote. A member
// that joins when there are no voting members votes at once.
func (v *View) join(m *wire.Member, at ident.Offset) bool {
	name := ident.Instance(m.GetName())
	inc := ident.Incarnation(m.GetIncarnation())
	old, known := v.members[name]
	if known && (old.Incarnation >= inc || old.Address != m.GetPeerAddress()) {
		return false
	}
	voting := known && old.Voting
	for _, other := range v.Members() {
		if other.Address == m.GetPeerAddress() {
			voting = voting || other.Voting
			v.recordEnded(other, at, true)
		}
	}
	v.members[name] = Member{
		Name: name, Incarnation: inc, Address: m.GetPeerAddress(), Joined: at + 1,
		Voting: voting || v.countVoting() == 0,
	}
	return true
}

func (v *View) leave(m *wire.Member) bool {
	name := ident.Instance(m.GetName())
	if !v.Has(name, ident.Incarnation(m.GetIncarnation())) {
		return false
	}
	v.dropMember(name)
	return true
}

func (v *View) remove(m *wire.Member, at ident.Offset, isTerminated bool) bool {
	name := ident.Instance(m.GetName())
	if !v.Has(name, ident.Incarnation(m.GetIncarnation())) {
		return false
	}
	v.recordEnded(v.members[name], at, isTerminated)
	return true
}

func (v *View) fence(f *wire.Fence, at ident.Offset) bool {
	target := ident.Instance(f.GetTarget().GetName())
	if !v.Has(target, ident.Incarnation(f.GetTarget().GetIncarnation())) {
		return false
	}
	signers := map[ident.Instance]bool{}
	for _, s := range append([]*wire.Member{f.GetBy()}, f.GetCoSigners()...) {
		name := ident.Instance(s.GetName())
		m, ok := v.members[name]
		if ok && m.Voting && name != target && m.Incarnation == ident.Incarnation(s.GetIncarnation()) {
			signers[name] = true
		}
	}
	if len(signers) < v.FenceQuorum(target) {
		return false
	}
	return v.remove(f.GetTarget(), at, false)
}

func (v *View) admit(a *wire.Admit) bool {
	by := ident.Instance(a.GetBy().GetName())
	joiner := ident.Instance(a.GetJoiner().GetName())
	voter, ok := v.members[by]
	if !ok || !voter.Voting || voter.Incarnation != ident.Incarnation(a.GetBy().GetIncarnation()) {
		return false
	}
	j, ok := v.members[joiner]
	if !ok || j.Voting || j.Incarnation != ident.Incarnation(a.GetJoiner().GetIncarnation()) {
		return false
	}
	if v.admits[joiner] == nil {
		v.admits[joiner] = map[ident.Instance]ident.Incarnation{}
	}
	v.admits[joiner][by] = voter.Incarnation
	if v.validAdmits(joiner) < majority(v.countVoting()) {
		return false
	}
	j.Voting = true
	v.members[joiner] = j
	delete(v.admits, joiner)
	return true
}

func (v *View) validAdmits(joiner ident.Instance) int {
	n := 0
	for by, inc := range v.admits[joiner] {
		if m, ok := v.members[by]; ok && m.Voting && m.Incarnation == inc {
			n++
		}
	}
	return n
}

func (v *View) recordEnded(m Member, at ident.Offset, isTerminated bool) {
	v.ended = append(v.ended, Ended{Member: m, At: at + 1, IsTerminated: isTerminated})
	if len(v.ended) > maxEnded {
		v.ended = slices.Clone(v.ended[len(v.ended)-maxEnded:])
	}
	v.dropMember(m.Name)
}

func (v *View) dropMember(name ident.Instance) {
	delete(v.members, name)
	delete(v.admits, name)
}

// HasAdmitted reports whether the member's admission of the joiner has been recorded.
func (v View) HasAdmitted(by, joiner ident.Instance) bool {
	inc, ok := v.admits[joiner][by]
	m, isMember := v.members[by]
	return ok && isMember && m.Incarnation == inc
}
