package copies

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/wire"
	"github.com/ibischute/ibischute/internal/state/view"
	"github.com/ibischute/ibischute/pkg/ident"
)

const retention = time.Minute

type domain struct {
	v  view.View
	at ident.Offset
}

func (d *domain) apply(rec *wire.MemberRecord) {
	d.v = d.v.Apply(rec, d.at)
	d.at++
}

func wireMember(name string, inc uint64) *wire.Member {
	return &wire.Member{Name: name, Incarnation: inc, PeerAddress: name}
}

func (d *domain) join(name string, inc uint64) {
	d.apply(&wire.MemberRecord{Kind: &wire.MemberRecord_Join{Join: &wire.Join{Member: wireMember(name, inc)}}})
	for _, m := range d.v.Members() {
		d.apply(&wire.MemberRecord{Kind: &wire.MemberRecord_Admit{Admit: &wire.Admit{
			By: wireMember(string(m.Name), uint64(m.Incarnation)), Joiner: wireMember(name, inc),
		}}})
	}
}

func (d *domain) leave(name string, inc uint64) {
	d.apply(&wire.MemberRecord{Kind: &wire.MemberRecord_Leave{Leave: &wire.Leave{Member: wireMember(name, inc)}}})
}

// newDomain returns a domain that a, b and c have joined in this order, and the tracker of c.
func newDomain() (*domain, *Tracker) {
	d := &domain{}
	d.join("a", 1)
	d.join("b", 1)
	d.join("c", 1)
	return d, New("c")
}

// newPulledDomain returns the domain of newDomain with a tracker that has pulled from all earlier members.
func newPulledDomain() (*domain, *Tracker) {
	d, tr := newDomain()
	pullAll(tr, d.v)
	return d, tr
}

func pullAll(t *Tracker, v view.View) {
	for _, m := range t.UpdateView(1, v, retention) {
		t.Pulled(1, m, 0)
	}
}

func TestJoinerPullsFromAllEarlierMembers(t *testing.T) {
	d, tr := newDomain()
	missing := tr.UpdateView(1, d.v, retention)
	assert.Equal(t, len(missing), 2)
	tr.Pulled(1, missing[0], 0)
	assert.Assert(t, !tr.IsComplete(), "the other earlier member may hold the only copy")
	tr.Pulled(1, missing[1], 0)
	assert.Assert(t, tr.IsComplete())
}

func TestSequentialLossesLoseNoState(t *testing.T) {
	d, tr := newPulledDomain()
	d.join("a", 2)
	pullAll(tr, d.v)
	d.join("b", 2)
	tr.UpdateView(1, d.v, retention)
	assert.Equal(t, tr.LossRemaining(1), time.Duration(0), "the replicas were restored in between")
}

func TestSimultaneousLossesAreDetected(t *testing.T) {
	d, tr := newPulledDomain()
	d.join("a", 2)
	d.join("b", 2)
	tr.UpdateView(1, d.v, retention)
	assert.Equal(t, tr.LossRemaining(1), retention)
	fresh := New("a")
	for _, m := range fresh.UpdateView(1, d.v, retention) {
		fresh.Pulled(1, m, tr.LossRemaining(1))
	}
	assert.Equal(t, fresh.LossRemaining(1), retention, "a joiner takes over the assumed loss")
}

func TestGracefulLeaveIsNoLoss(t *testing.T) {
	d, tr := newPulledDomain()
	d.leave("a", 1)
	d.leave("b", 1)
	tr.UpdateView(1, d.v, retention)
	assert.Equal(t, tr.LossRemaining(1), time.Duration(0))
}

func TestRestartOfOnlyMemberIsLoss(t *testing.T) {
	d := &domain{}
	d.join("a", 1)
	d.join("a", 2)
	tr := New("a")
	tr.UpdateView(1, d.v, retention)
	assert.Equal(t, tr.LossRemaining(1), retention)
}
