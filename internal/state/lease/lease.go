// Package lease decides whether an entry instance may act for its failure domain.
//
// A Keeper holds the instance's own lease. It is valid while
//
//   - a read of the domain's stream that started less than one term ago showed no fence of the instance, or
//   - promises that have not run out keep every fence from gathering its quorum.
//
// A Grantor is the other side: it promises not to co-sign a fence and co-signs only where no promise stands.
// Both are pure; the present time is an argument. docs/design/ownership.md argues the safety.
//
// # Usage
//
//	k := lease.NewKeeper("cat-1", term, grantor)
//	k.Read(startOfRead)
//	k.Promise("cat-2", incarnation, until, peerEpoch, signed)
//	if k.IsValid(now, view) { send() }
package lease

import (
	"maps"
	"slices"
	"time"

	"github.com/ibischute/ibischute/internal/state/view"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

// DriftShare is the share of a term by which two clocks may differ over that term.
const DriftShare = 0.05

// WithDrift returns the term as another clock may see it at the longest.
func WithDrift(term time.Duration) time.Duration {
	return term + time.Duration(float64(term)*DriftShare)
}

type promise struct {
	incarnation ident.Incarnation
	until       tick.Time
	epoch       ident.Offset
	// signed are the members whose fences the promiser has co-signed.
	signed []ident.Instance
}

// stands reports whether the promise is from this life of the member, counts in the View and has not run out.
func (p promise) stands(now tick.Time, m view.Member, v view.View) bool {
	return p.incarnation == m.Incarnation && p.epoch <= v.Epoch() && now.Before(p.until)
}

// Keeper holds the evidence for an instance's own lease.
type Keeper struct {
	self     ident.Instance
	term     time.Duration
	readAt   tick.Time
	hasRead  bool
	grantor  *Grantor
	promises map[ident.Instance]promise
}

// NewKeeper returns a Keeper without any evidence; the Grantor is the same instance's.
func NewKeeper(self ident.Instance, term time.Duration, g *Grantor) *Keeper {
	return &Keeper{self: self, term: term, grantor: g, promises: map[ident.Instance]promise{}}
}

// Read records that a read of the stream up to its end started at the time given.
func (k *Keeper) Read(started tick.Time) {
	if !k.hasRead || started.After(k.readAt) {
		k.readAt, k.hasRead = started, true
	}
}

// Promise records that the incarnation of a member, whose View had the epoch and that has co-signed the fences of the
// members given, will not co-sign a fence of this instance before until.
func (k *Keeper) Promise(
	from ident.Instance, inc ident.Incarnation, until tick.Time, epoch ident.Offset, signed []ident.Instance,
) {
	k.promises[from] = promise{incarnation: inc, until: until, epoch: epoch, signed: signed}
}

// Reset drops all evidence; for a new incarnation.
func (k *Keeper) Reset() {
	k.hasRead = false
	clear(k.promises)
}

// IsValid reports whether the instance may act at the time now.
func (k *Keeper) IsValid(now tick.Time, v view.View) bool { return now.Before(k.Until(now, v)) }

// Until returns the instant at which the lease lapses if no further evidence arrives. A promise from a member that
// knows a newer View does not count, because that View may need more promises; neither does one from a member that is
// not voting, because it keeps nobody else from making up a quorum.
func (k *Keeper) Until(now tick.Time, v view.View) tick.Time {
	var until tick.Time
	if k.hasRead {
		until = k.readAt.Add(k.term)
	}
	if byPromises := k.untilByPromises(now, v); byPromises.After(until) {
		until = byPromises
	}
	return until
}

func (k *Keeper) untilByPromises(now tick.Time, v view.View) tick.Time {
	if _, isMember := v.Member(k.self); !isMember {
		return 0
	}
	need := v.BlockQuorum(k.self)
	if need == 0 {
		return now.Add(k.term)
	}
	doubtful := k.doubtful(now, v)
	var standing []tick.Time
	for _, m := range v.Members() {
		p, ok := k.promises[m.Name]
		if ok && m.Voting && m.Name != k.self && !doubtful[m.Name] && p.stands(now, m, v) {
			standing = append(standing, p.until)
		}
	}
	return nthLatest(standing, need)
}

// doubtful returns the members that may have been fenced without this instance's knowledge, because it or one of its
// promisers has co-signed their fence. Their promises do not count: without them the quorum for a fence is smaller. A
// fence that none of the promisers has co-signed cannot have gathered its own quorum.
func (k *Keeper) doubtful(now tick.Time, v view.View) map[ident.Instance]bool {
	out := map[ident.Instance]bool{}
	for _, name := range k.grantor.Signed() {
		out[name] = true
	}
	for _, m := range v.Members() {
		p, ok := k.promises[m.Name]
		if !ok || !p.stands(now, m, v) {
			continue
		}
		for _, name := range p.signed {
			out[name] = true
		}
	}
	return out
}

// nthLatest returns the n-th latest of the times, or zero if there are fewer.
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

type grant struct {
	incarnation ident.Incarnation
	until       tick.Time
}

// Grantor gives promises and co-signatures.
type Grantor struct {
	term      time.Duration
	notBefore tick.Time
	granted   map[ident.Instance]grant
	signed    map[ident.Instance]ident.Incarnation
}

// NewGrantor returns a Grantor that co-signs nothing for one term, since an earlier life of this instance may have
// given promises that it does not know.
func NewGrantor(now tick.Time, term time.Duration) *Grantor {
	return &Grantor{
		term: term, notBefore: now.Add(WithDrift(term)),
		granted: map[ident.Instance]grant{}, signed: map[ident.Instance]ident.Incarnation{},
	}
}

// Delay makes the Grantor co-sign nothing for a further term; called when the instance becomes a voting member.
func (g *Grantor) Delay(now tick.Time) {
	g.notBefore = now.Add(WithDrift(g.term))
}

// Promise decides on a promise to the incarnation and returns for how long it stands; zero is a refusal.
func (g *Grantor) Promise(now tick.Time, to ident.Instance, inc ident.Incarnation, d time.Duration) time.Duration {
	if signed, ok := g.signed[to]; ok && signed >= inc {
		return 0
	}
	old, known := g.granted[to]
	if known && old.incarnation > inc {
		return 0
	}
	d = min(d, g.term)
	g.granted[to] = grant{incarnation: inc, until: now.Add(WithDrift(d))}
	return d
}

// CoSign decides on a co-signature under a fence of the incarnation. A signature ends all promises to it.
func (g *Grantor) CoSign(now tick.Time, target ident.Instance, inc ident.Incarnation) bool {
	if now.Before(g.notBefore) {
		return false
	}
	p, ok := g.granted[target]
	if ok && p.incarnation <= inc && now.Before(p.until) {
		return false
	}
	g.signed[target] = max(inc, g.signed[target])
	return true
}

// Signed returns the members whose fences were co-signed and that are not forgotten.
func (g *Grantor) Signed() []ident.Instance { return slices.Sorted(maps.Keys(g.signed)) }

// Forget drops what is kept about instances that are not members any more.
func (g *Grantor) Forget(now tick.Time, v view.View) {
	for name, p := range g.granted {
		if _, ok := v.Member(name); !ok && !now.Before(p.until) {
			delete(g.granted, name)
		}
	}
	for name := range g.signed {
		if _, ok := v.Member(name); !ok {
			delete(g.signed, name)
		}
	}
}
