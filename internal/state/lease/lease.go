// Package lease decides whether an entry instance may act for its failure domain.
//
// A fence is a record that removes a member that does not respond; see package view.
//
// A Holder holds the instance's own lease, which is valid while
//
//   - a read of the domain's stream that started less than one term ago showed no fence of the instance, or
//   - unexpired promises keep every fence from gathering its quorum.
//
// A Grantor is the other side: it promises not to co-sign a fence, and co-signs a fence only when it has no unexpired
// promise to the target. Both are pure; the current time is an argument. docs/design/ownership.md argues the safety.
//
// # Usage
//
//	h := lease.NewHolder("cat-1", term, grantor)
//	h.RecordRead(startOfRead)
//	h.RecordPromise("cat-2", incarnation, until, peerEpoch, coSigned)
//	if h.IsValid(now, view) { send() }
package lease

import (
	"maps"
	"slices"
	"time"

	"github.com/ibischute/ibischute/internal/state/view"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

// DriftShare is the maximum drift between two clocks, as a share of the elapsed time.
const DriftShare = 0.05

// WithDrift returns the longest duration that another clock may measure for the term.
func WithDrift(term time.Duration) time.Duration {
	return term + time.Duration(float64(term)*DriftShare)
}

type promise struct {
	incarnation ident.Incarnation
	until       tick.Time
	epoch       ident.Offset
	// coSigned are the members whose fences the promising member has co-signed.
	coSigned []ident.Instance
}

// isValid reports whether the promise is from the current incarnation of the member, was made under a View that is not
// newer than v, and has not expired.
func (p promise) isValid(now tick.Time, m view.Member, v view.View) bool {
	return p.incarnation == m.Incarnation && p.epoch <= v.Epoch() && now.Before(p.until)
}

// Holder holds the evidence for the lease of one instance.
type Holder struct {
	self     ident.Instance
	term     time.Duration
	readAt   tick.Time
	hasRead  bool
	grantor  *Grantor
	promises map[ident.Instance]promise
}

// NewHolder returns a Holder without evidence. The Grantor must be that of the same instance.
func NewHolder(self ident.Instance, term time.Duration, g *Grantor) *Holder {
	return &Holder{self: self, term: term, grantor: g, promises: map[ident.Instance]promise{}}
}

// RecordRead records that a read of the stream up to its end started at the given time.
func (h *Holder) RecordRead(started tick.Time) {
	if !h.hasRead || started.After(h.readAt) {
		h.readAt, h.hasRead = started, true
	}
}

// RecordPromise records that a member will not co-sign a fence of this instance before until. The epoch is that of
// the member's View, and coSigned are the members whose fences it has co-signed.
func (h *Holder) RecordPromise(
	from ident.Instance, inc ident.Incarnation, until tick.Time, epoch ident.Offset, coSigned []ident.Instance,
) {
	h.promises[from] = promise{incarnation: inc, until: until, epoch: epoch, coSigned: coSigned}
}

// Reset drops all evidence. It is called for a new incarnation.
func (h *Holder) Reset() {
	h.hasRead = false
	clear(h.promises)
}

// IsValid reports whether the instance may act at the time now.
func (h *Holder) IsValid(now tick.Time, v view.View) bool { return now.Before(h.Until(now, v)) }

// Until returns the time at which the lease expires if no further evidence arrives. A promise from a member with a
// newer View does not count, because that View may need more promises; neither does one from a non-voting member,
// because its promise cannot keep a fence from gathering its quorum.
func (h *Holder) Until(now tick.Time, v view.View) tick.Time {
	var until tick.Time
	if h.hasRead {
		until = h.readAt.Add(h.term)
	}
	if byPromises := h.untilByPromises(now, v); byPromises.After(until) {
		until = byPromises
	}
	return until
}

// untilByPromises returns the time until which unexpired promises block every fence of this instance. A fence of the
// only member can never gather co-signatures, so no promises are needed then.
func (h *Holder) untilByPromises(now tick.Time, v view.View) tick.Time {
	if _, isMember := v.Member(h.self); !isMember {
		return 0
	}
	quorum := v.BlockQuorum(h.self)
	if quorum == 0 {
		return now.Add(h.term)
	}
	possiblyFenced := h.possiblyFenced(now, v)
	var expiries []tick.Time
	for _, m := range v.Members() {
		p, ok := h.promises[m.Name]
		if ok && m.Voting && m.Name != h.self && !possiblyFenced[m.Name] && p.isValid(now, m, v) {
			expiries = append(expiries, p.until)
		}
	}
	return nthLatest(expiries, quorum)
}

// possiblyFenced returns the members that may have been fenced without this instance's knowledge, because this instance
// or a member with a valid promise has co-signed their fence. Their promises do not count: once they are fenced, a
// fence of this instance needs a smaller quorum. A fence that none of the promising members has co-signed cannot have
// gathered its own quorum.
func (h *Holder) possiblyFenced(now tick.Time, v view.View) map[ident.Instance]bool {
	out := map[ident.Instance]bool{}
	for _, name := range h.grantor.CoSigned() {
		out[name] = true
	}
	for _, m := range v.Members() {
		p, ok := h.promises[m.Name]
		if !ok || !p.isValid(now, m, v) {
			continue
		}
		for _, name := range p.coSigned {
			out[name] = true
		}
	}
	return out
}

// nthLatest returns the n-th latest of the times, or 0 if there are fewer.
func nthLatest(times []tick.Time, n int) tick.Time {
	if len(times) < n {
		return 0
	}
	for i := range n {
		for j := i + 1; j < len(times); j++ {
			if times[j].After(times[i]) {
				times[i], times[j] = times[j], times[i]
			}
		}
	}
	return times[n-1]
}

// grant is a promise that this instance has given.
type grant struct {
	incarnation ident.Incarnation
	until       tick.Time
}

// Grantor decides on promises and co-signatures.
type Grantor struct {
	term        time.Duration
	coSignAfter tick.Time
	grants      map[ident.Instance]grant
	coSigned    map[ident.Instance]ident.Incarnation
}

// NewGrantor returns a Grantor that co-signs nothing for one term, because an earlier incarnation of this instance may
// have given promises that are not recorded.
func NewGrantor(now tick.Time, term time.Duration) *Grantor {
	return &Grantor{
		term: term, coSignAfter: now.Add(WithDrift(term)),
		grants: map[ident.Instance]grant{}, coSigned: map[ident.Instance]ident.Incarnation{},
	}
}

// Delay blocks co-signatures for another term. It is called when the instance becomes a voting member.
func (g *Grantor) Delay(now tick.Time) {
	g.coSignAfter = now.Add(WithDrift(g.term))
}

// Promise decides on a promise to the incarnation for the requested duration d, which is limited to one term. It
// returns how long the promise is valid; 0 means that the request is rejected.
func (g *Grantor) Promise(now tick.Time, to ident.Instance, inc ident.Incarnation, d time.Duration) time.Duration {
	if coSigned, ok := g.coSigned[to]; ok && coSigned >= inc {
		return 0
	}
	old, known := g.grants[to]
	if known && old.incarnation > inc {
		return 0
	}
	d = min(d, g.term)
	g.grants[to] = grant{incarnation: inc, until: now.Add(WithDrift(d))}
	return d
}

// CoSign decides whether to co-sign a fence of the incarnation. It rejects the fence while a promise to the incarnation
// or an earlier one is valid. Once it has co-signed, Promise rejects that incarnation and earlier ones.
func (g *Grantor) CoSign(now tick.Time, target ident.Instance, inc ident.Incarnation) bool {
	if now.Before(g.coSignAfter) {
		return false
	}
	p, ok := g.grants[target]
	if ok && p.incarnation <= inc && now.Before(p.until) {
		return false
	}
	g.coSigned[target] = max(inc, g.coSigned[target])
	return true
}

// CoSigned returns the names of the instances whose fence this instance has co-signed, except those that Prune removed.
func (g *Grantor) CoSigned() []ident.Instance { return slices.Sorted(maps.Keys(g.coSigned)) }

// Prune removes the co-signatures and the expired promises of instances that are not members any more.
func (g *Grantor) Prune(now tick.Time, v view.View) {
	for name, p := range g.grants {
		if _, ok := v.Member(name); !ok && !now.Before(p.until) {
			delete(g.grants, name)
		}
	}
	for name := range g.coSigned {
		if _, ok := v.Member(name); !ok {
			delete(g.coSigned, name)
		}
	}
}
