// Package copies tracks the members from which an instance must pull replicated state, so that losing one member at a
// time loses no state, and detects when more members were lost than the replicas cover.
//
// State counts as stored once a majority of the members has it. After a member ends without handing its state over,
// every other member pulls from all remaining members; until that is complete, another loss may destroy the last
// replica. A joiner pulls from all members that joined before it.
//
// # Usage
//
//	t := copies.New("cat-1")
//	for _, m := range t.UpdateView(now, view, retention) { pull(m); t.Pulled(now, m, lossRemaining) }
//	if t.LossRemaining(now) > 0 { /* unknown keys may have been lost */ }
package copies

import (
	"time"

	"github.com/ibischute/ibischute/internal/state/view"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

// Tracker holds the replication state of one instance. It is not safe for concurrent use.
type Tracker struct {
	self        ident.Instance
	incarnation ident.Incarnation
	complete    bool
	seenEpoch   ident.Offset
	// remaining holds the other members that may still have the state.
	remaining map[ident.Instance]view.Member
	toPull    map[ident.Instance]view.Member
	lostUntil tick.Time
}

// New returns a Tracker that has not pulled from any member.
func New(self ident.Instance) *Tracker {
	return &Tracker{self: self, remaining: map[ident.Instance]view.Member{}, toPull: map[ident.Instance]view.Member{}}
}

// IsComplete reports whether the instance has pulled the state that its domain had when it joined.
func (t *Tracker) IsComplete() bool { return t.complete }

// LossRemaining returns for how long state must still be assumed lost.
func (t *Tracker) LossRemaining(now tick.Time) time.Duration { return max(0, t.lostUntil.Sub(now)) }

// UpdateView updates the tracker to a View and returns the members to pull from. After a loss, state is assumed lost
// for the retention.
func (t *Tracker) UpdateView(now tick.Time, v view.View, retention time.Duration) []view.Member {
	self, ok := v.Member(t.self)
	if !ok {
		return nil
	}
	if self.Incarnation != t.incarnation {
		t.restart(v, self)
		t.recordOwnLoss(now, v, self, retention)
	}
	for _, e := range v.Ended() {
		if e.At > t.seenEpoch {
			t.recordEnded(now, e, retention)
			t.seenEpoch = e.At
		}
	}
	t.remaining = map[ident.Instance]view.Member{}
	for _, m := range v.Members() {
		if m.Name != t.self {
			t.remaining[m.Name] = m
		}
	}
	return t.membersToPull(v)
}

// restart resets the tracker for a new incarnation, which must pull from all members that joined before it. They
// include members that have ended since its join, so that UpdateView records a loss for them.
func (t *Tracker) restart(v view.View, self view.Member) {
	t.incarnation, t.complete = self.Incarnation, false
	t.seenEpoch = self.Joined
	clear(t.toPull)
	clear(t.remaining)
	for _, m := range v.Members() {
		if m.Name != t.self && m.Joined < self.Joined {
			t.toPull[m.Name] = m
			t.remaining[m.Name] = m
		}
	}
	for _, e := range v.Ended() {
		if e.At > self.Joined && e.Member.Joined < self.Joined && e.Member.Name != t.self {
			t.toPull[e.Member.Name] = e.Member
			t.remaining[e.Member.Name] = e.Member
		}
	}
}

// recordOwnLoss records a loss if a member ended by the time of this join and there is no member to pull from, because
// the ended incarnation held the only replica.
func (t *Tracker) recordOwnLoss(now tick.Time, v view.View, self view.Member, retention time.Duration) {
	if len(t.toPull) > 0 {
		return
	}
	for _, e := range v.Ended() {
		if e.At <= self.Joined {
			t.lostUntil = max(t.lostUntil, now.Add(retention))
		}
	}
}

// recordEnded handles a member that ended without handing its state over: if it was still to be pulled from, state is
// assumed lost, and all remaining members are to be pulled from.
func (t *Tracker) recordEnded(now tick.Time, e view.Ended, retention time.Duration) {
	if e.Member.Name == t.self {
		return
	}
	if m, ok := t.toPull[e.Member.Name]; ok && m.Incarnation == e.Member.Incarnation {
		t.lostUntil = max(t.lostUntil, now.Add(retention))
		delete(t.toPull, e.Member.Name)
	}
	if t.remaining[e.Member.Name].Incarnation == e.Member.Incarnation {
		delete(t.remaining, e.Member.Name)
	}
	for name, m := range t.remaining {
		t.toPull[name] = m
	}
}

// membersToPull returns the members of the View that are still to be pulled from. Members that are not in the View any
// more are dropped, since a member that left gracefully has handed its state over.
func (t *Tracker) membersToPull(v view.View) []view.Member {
	var out []view.Member
	for name, m := range t.toPull {
		if !v.Has(name, m.Incarnation) {
			delete(t.toPull, name)
			continue
		}
		out = append(out, m)
	}
	if len(t.toPull) == 0 {
		t.complete = true
	}
	return out
}

// Pulled records that the state of a member was pulled. lossRemaining is for how long that member must still assume a
// loss.
func (t *Tracker) Pulled(now tick.Time, m view.Member, lossRemaining time.Duration) {
	if lossRemaining > 0 {
		t.lostUntil = max(t.lostUntil, now.Add(lossRemaining))
	}
	if pending, ok := t.toPull[m.Name]; ok && pending.Incarnation == m.Incarnation {
		delete(t.toPull, m.Name)
	}
	if len(t.toPull) == 0 {
		t.complete = true
	}
}
