// Package owner decides which keys an entry instance may act on.
//
// The owner of a key in the current View acts on it only once no other instance can still act on it under an older
// View: no other member owned the key in the View that it last acknowledged or in a later one, and the grace period has
// passed for every member that was fenced or removed by an operator and may have owned the key.
//
// # Usage
//
//	t := owner.NewTable("cat-1", fenceGrace)
//	t.Advance(now, view)
//	t.Acknowledge("cat-2", incarnation, epoch, held)
//	if t.IsActing(now, key) { ... }
package owner

import (
	"time"

	"github.com/ibischute/ibischute/internal/state/view"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

// maxHistory limits the number of earlier Views that a Table keeps. A member whose acknowledgement is older than the
// history blocks the keys of others until it catches up or is fenced.
const maxHistory = 32

type acknowledgement struct {
	incarnation ident.Incarnation
	epoch       ident.Offset
	held        map[ident.Key]int
}

// fencedMember is a member that was fenced or removed by an operator, and may act on its keys until mayActUntil.
type fencedMember struct {
	ended       view.Ended
	mayActUntil tick.Time
}

// Table tracks the ownership of keys in a failure domain as seen by one instance.
type Table struct {
	self       ident.Instance
	fenceGrace time.Duration
	history    []view.View
	acks       map[ident.Instance]acknowledgement
	fenced     []fencedMember
}

// NewTable returns a Table. fenceGrace is how long a fenced member may still act after this instance has adopted the
// View without it.
func NewTable(self ident.Instance, fenceGrace time.Duration) *Table {
	return &Table{self: self, fenceGrace: fenceGrace, acks: map[ident.Instance]acknowledgement{}}
}

// View returns the current View.
func (t *Table) View() view.View {
	if len(t.history) == 0 {
		return view.View{}
	}
	return t.history[len(t.history)-1]
}

// Advance adopts a View at the time now.
func (t *Table) Advance(now tick.Time, v view.View) {
	previous := t.View()
	if len(t.history) > 0 && v.Epoch() <= previous.Epoch() {
		t.history[len(t.history)-1] = v
		return
	}
	t.history = append(t.history, v)
	if len(t.history) > maxHistory {
		t.history = t.history[1:]
	}
	for _, e := range v.Ended() {
		if e.At > previous.Epoch() && !e.IsTerminated {
			t.fenced = append(t.fenced, fencedMember{ended: e, mayActUntil: now.Add(t.fenceGrace)})
		}
	}
	t.prune(now)
}

// Restart adopts a View whose predecessors are unknown. Every member that was fenced or removed by an operator may
// still act for the grace period, and every member of the View blocks its keys until it acknowledges the View.
func (t *Table) Restart(now tick.Time, v view.View) {
	t.history, t.fenced = nil, nil
	t.Advance(now, v)
}

func (t *Table) prune(now tick.Time) {
	kept := t.fenced[:0]
	for _, f := range t.fenced {
		if now.Before(f.mayActUntil) {
			kept = append(kept, f)
		}
	}
	t.fenced = kept
	for name := range t.acks {
		if _, ok := t.View().Member(name); !ok {
			delete(t.acks, name)
		}
	}
}

// Acknowledge records that a member has adopted the View of the epoch. held is the number of slots that it still uses,
// for each key that it does not own any more.
func (t *Table) Acknowledge(
	from ident.Instance, inc ident.Incarnation, epoch ident.Offset, held map[ident.Key]int,
) {
	old, ok := t.acks[from]
	if ok && (old.incarnation > inc || (old.incarnation == inc && old.epoch > epoch)) {
		return
	}
	t.acks[from] = acknowledgement{incarnation: inc, epoch: epoch, held: held}
}

// IsOwner reports whether the instance owns the key in the current View.
func (t *Table) IsOwner(key ident.Key) bool {
	owner, ok := t.View().Owner(key)
	return ok && owner == t.self
}

// IsActing reports whether the instance may act on the key. It does not check the instance's lease.
func (t *Table) IsActing(now tick.Time, key ident.Key) bool {
	if !t.IsOwner(key) {
		return false
	}
	for _, m := range t.View().Members() {
		if m.Name != t.self && t.mayActUnderOldView(m, key) {
			return false
		}
	}
	for _, f := range t.fenced {
		if now.Before(f.mayActUntil) && t.mayHaveOwned(f.ended.Member, key, f.ended.Member.Joined, f.ended.At) {
			return false
		}
	}
	return true
}

// Held returns the number of slots of the key that former owners still use.
func (t *Table) Held(key ident.Key) int {
	n := 0
	for _, a := range t.acks {
		n += a.held[key]
	}
	return n
}

func (t *Table) mayActUnderOldView(m view.Member, key ident.Key) bool {
	acked := m.Joined
	if a, ok := t.acks[m.Name]; ok && a.incarnation == m.Incarnation && a.epoch > acked {
		acked = a.epoch
	}
	return t.mayHaveOwned(m, key, acked, t.View().Epoch())
}

// mayHaveOwned reports whether the member may have owned the key in a View with an epoch in [from, before).
func (t *Table) mayHaveOwned(m view.Member, key ident.Key, from, before ident.Offset) bool {
	if from >= before {
		return false
	}
	if t.history[0].Epoch() > from {
		return true
	}
	for _, v := range t.history {
		if v.Epoch() < from || v.Epoch() >= before || !v.Has(m.Name, m.Incarnation) {
			continue
		}
		if owner, ok := v.Owner(key); ok && owner == m.Name {
			return true
		}
	}
	return false
}
