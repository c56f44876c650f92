package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/wire"
	"github.com/ibischute/ibischute/internal/state/view"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

const term = 2 * time.Second

func member(name string) *wire.Member {
	return &wire.Member{Name: name, Incarnation: 1, PeerAddress: name}
}

func join(name string) *wire.MemberRecord {
	return &wire.MemberRecord{Kind: &wire.MemberRecord_Join{Join: &wire.Join{Member: member(name)}}}
}

func admit(by, joiner string) *wire.MemberRecord {
	return &wire.MemberRecord{Kind: &wire.MemberRecord_Admit{Admit: &wire.Admit{By: member(by), Joiner: member(joiner)}}}
}

func fold(records ...*wire.MemberRecord) view.View {
	v := view.View{}
	for i, r := range records {
		v = v.Apply(r, ident.Offset(i))
	}
	return v
}

// TestPromiseOfJoinerDoesNotCount guards against a lease that relies on the promise of a joiner, found by the model
// test with seed 14372: in a view of two voting members and a joiner, the other voting member can fence alone.
func TestPromiseOfJoinerDoesNotCount(t *testing.T) {
	v := fold(join("a"), join("b"), admit("a", "b"), join("c"))
	h := NewHolder("a", term, NewGrantor(0, term))
	h.RecordPromise("c", 1, 100, v.Epoch(), nil)
	assert.Assert(t, !h.IsValid(50, v), "the promise of a joiner does not block a fence")
	h.RecordPromise("b", 1, 100, v.Epoch(), nil)
	assert.Assert(t, h.IsValid(50, v))
	assert.Assert(t, !h.IsValid(100, v), "an expired promise does not count")
}

func TestPromiseOfNewerViewDoesNotCount(t *testing.T) {
	v := fold(join("a"), join("b"), admit("a", "b"))
	h := NewHolder("a", term, NewGrantor(0, term))
	h.RecordPromise("b", 1, 100, v.Epoch()+1, nil)
	assert.Assert(t, !h.IsValid(50, v))
}

func TestReadExtendsLeaseByOneTerm(t *testing.T) {
	v := fold(join("a"), join("b"), admit("a", "b"))
	h := NewHolder("a", term, NewGrantor(0, term))
	h.RecordRead(10)
	assert.Equal(t, h.Until(10, v), tick.Time(10).Add(term))
	h.Reset()
	assert.Assert(t, !h.IsValid(11, v))
}

func TestGrantorCoSignsOnlyAfterPromiseExpired(t *testing.T) {
	g := NewGrantor(0, term)
	start := tick.Time(0).Add(WithDrift(term))
	assert.Assert(t, !g.CoSign(start-1, "a", 1), "an earlier incarnation may have given a promise")
	assert.Equal(t, g.Promise(start, "a", 1, term), term)
	assert.Assert(t, !g.CoSign(start.Add(term), "a", 1), "the promise is valid for a term on the slower clock")
	assert.Assert(t, g.CoSign(start.Add(WithDrift(term)), "a", 1))
	assert.Equal(t, g.Promise(start.Add(2*term), "a", 1, term), time.Duration(0), "co-signed, so no promise")
	assert.Equal(t, g.Promise(start.Add(2*term), "a", 2, term), term, "a later incarnation gets a promise")
}

// TestPromiseOfFencedPromiserDoesNotCount guards against a lease that relies on the promise of a fenced member, found
// by the model test with seed 1597589: of five members, one promising member was fenced with the co-signature of the
// other, which reduces the quorum for a fence of this instance.
func TestPromiseOfFencedPromiserDoesNotCount(t *testing.T) {
	v := fold(join("a"), join("b"), admit("a", "b"), join("c"), admit("a", "c"), admit("b", "c"),
		join("d"), admit("a", "d"), admit("b", "d"), join("e"), admit("a", "e"), admit("b", "e"), admit("c", "e"))
	h := NewHolder("a", term, NewGrantor(0, term))
	h.RecordPromise("b", 1, 100, v.Epoch(), nil)
	h.RecordPromise("c", 1, 100, v.Epoch(), nil)
	assert.Assert(t, h.IsValid(50, v))
	h.RecordPromise("c", 1, 100, v.Epoch(), []ident.Instance{"b"})
	assert.Assert(t, !h.IsValid(50, v), "b may be fenced")
	h.RecordPromise("d", 1, 100, v.Epoch(), nil)
	assert.Assert(t, h.IsValid(50, v), "c and d suffice")
}
