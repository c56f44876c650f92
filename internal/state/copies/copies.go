// Package copies tracks which members of a domain an instance must have pulled replicated state from, so that the
// loss of one member at a time loses nothing, and notices when more were lost than the copies cover.
//
// State is written to a majority of the members before it counts. After a member is gone without having handed its
// state over, every other member pulls from all that remain; until that is done a further loss may take the last copy.
// A joiner pulls from all members that were there before it.
//
// # Usage
//
//	t := copies.New("cat-1")
//	for _, m := range t.Follow(now, view, retention) { pull(m); t.Pulled(now, m, lost) }
//	if t.LostFor(now) > 0 { /* unknown keys may have been lost */ }
package copies

import (
	"time"

	"github.com/ibischute/ibischute/internal/state/view"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

// Tracker is one instance's account of copies. It is not safe for concurrent use.
type Tracker struct {
	self      ident.Instance
	inc       ident.Incarnation
	complete  bool
	seen      ident.Offset
	alive     map[ident.Instance]view.Member
	missing   map[ident.Instance]view.Member
	lostUntil tick.Time
}

// New returns a Tracker that has pulled nothing.
func New(self ident.Instance) *Tracker {
	return &Tracker{self: self, alive: map[ident.Instance]view.Member{}, missing: map[ident.Instance]view.Member{}}
}

// IsComplete reports whether the instance has taken over what its domain knew when it joined.
func (t *Tracker) IsComplete() bool { return t.complete }

// LostFor returns for how long it must still be assumed that state was lost.
func (t *Tracker) LostFor(now tick.Time) time.Duration { return max(0, t.lostUntil.Sub(now)) }

// Follow takes in a view at the time now and returns the members to pull from.
func (t *Tracker) Follow(now tick.Time, v view.View, retention time.Duration) []view.Member {
	self, ok := v.Member(t.self)
	if !ok {
		return nil
	}
	if self.Incarnation != t.inc {
		t.restart(v, self)
		t.noteOwnLoss(now, v, self, retention)
	}
	for _, e := range v.Ended() {
		if e.At > t.seen {
			t.end(now, e, retention)
			t.seen = e.At
		}
	}
	t.alive = map[ident.Instance]view.Member{}
	for _, m := range v.Members() {
		if m.Name != t.self {
			t.alive[m.Name] = m
		}
	}
	return t.pending(v)
}

// restart begins the take-over by a new life. What it must pull is what the members before its join hold; those that
// its own join ended, or that ended since, are found among the ended ones.
func (t *Tracker) restart(v view.View, self view.Member) {
	t.inc, t.complete = self.Incarnation, false
	t.seen = self.Joined
	clear(t.missing)
	clear(t.alive)
	for _, m := range v.Members() {
		if m.Name != t.self && m.Joined < self.Joined {
			t.missing[m.Name] = m
			t.alive[m.Name] = m
		}
	}
	for _, e := range v.Ended() {
		if e.At > self.Joined && e.Member.Joined < self.Joined && e.Member.Name != t.self {
			t.missing[e.Member.Name] = e.Member
			t.alive[e.Member.Name] = e.Member
		}
	}
}

// noteOwnLoss notes that this life follows one whose state only it had.
func (t *Tracker) noteOwnLoss(now tick.Time, v view.View, self view.Member, retention time.Duration) {
	if len(t.missing) > 0 {
		return
	}
	for _, e := range v.Ended() {
		if e.At <= self.Joined {
			t.lostUntil = max(t.lostUntil, now.Add(retention))
		}
	}
}

// end notes that a member is gone with its copies.
func (t *Tracker) end(now tick.Time, e view.Ended, retention time.Duration) {
	if e.Member.Name == t.self {
		return
	}
	if m, ok := t.missing[e.Member.Name]; ok && m.Incarnation == e.Member.Incarnation {
		t.lostUntil = max(t.lostUntil, now.Add(retention))
		delete(t.missing, e.Member.Name)
	}
	if t.alive[e.Member.Name].Incarnation == e.Member.Incarnation {
		delete(t.alive, e.Member.Name)
	}
	for name, m := range t.alive {
		t.missing[name] = m
	}
}

// pending returns the members of the view that are still missing. One that left gracefully has handed its state over.
func (t *Tracker) pending(v view.View) []view.Member {
	var out []view.Member
	for name, m := range t.missing {
		if !v.Has(name, m.Incarnation) {
			delete(t.missing, name)
			continue
		}
		out = append(out, m)
	}
	if len(t.missing) == 0 {
		t.complete = true
	}
	return out
}

// Pulled notes that the state of a member was taken over, and how long that member must assume a loss.
func (t *Tracker) Pulled(now tick.Time, m view.Member, lost time.Duration) {
	if lost > 0 {
		t.lostUntil = max(t.lostUntil, now.Add(lost))
	}
	if have, ok := t.missing[m.Name]; ok && have.Incarnation == m.Incarnation {
		delete(t.missing, m.Name)
	}
	if len(t.missing) == 0 {
		t.complete = true
	}
}
