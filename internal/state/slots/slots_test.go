package slots

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

func pool(names ...ident.Executor) *Pool {
	p := New()
	for _, n := range names {
		p.Put(0, Spec{Name: n, Slots: 8})
		p.SetActing(n, true)
		p.SetForeign(n, 0)
	}
	return p
}

func TestExecutorWithUnknownForeignSlotsIsNotUsed(t *testing.T) {
	p := New()
	p.Put(0, Spec{Name: "e", Slots: 8})
	p.SetActing("e", true)
	assert.Equal(t, p.Free(0), 0, "the number of foreign slots is not known yet")
	p.SetForeign("e", 5)
	assert.Equal(t, p.Free(0), 3)
}

func TestDrainingSlotStaysInUse(t *testing.T) {
	p := pool("e")
	for range 8 {
		_, ok := p.Acquire(0)
		assert.Assert(t, ok)
	}
	p.Drain("e")
	_, ok := p.Acquire(0)
	assert.Assert(t, !ok, "the work on the slot may still run")
	p.Drained("e")
	_, ok = p.Acquire(0)
	assert.Assert(t, ok)
}

func TestLeavingExecutorGetsNoNewWork(t *testing.T) {
	p := pool("e", "f")
	p.SetReportsLeaving("e", true)
	p.Put(0, Spec{Name: "f", Slots: 8, Leaving: true})
	_, ok := p.Acquire(0)
	assert.Assert(t, !ok)
}

func TestFreshExecutorStartsSlowly(t *testing.T) {
	p := New()
	p.Put(0, Spec{Name: "e", Slots: 8, SlowStart: true})
	p.SetActing("e", true)
	p.SetForeign("e", 0)
	assert.Equal(t, p.Free(0), 1)
	assert.Equal(t, p.Free(tick.Time(0).Add(slowStartPeriod/2)), 4)
	assert.Equal(t, p.Free(tick.Time(0).Add(slowStartPeriod)), 8)
}

func TestAtMostHalfOfExecutorsAreEjected(t *testing.T) {
	p := pool("a", "b", "c", "d")
	for _, e := range []ident.Executor{"a", "b", "c", "d"} {
		for range 20 {
			p.Report(1, e, false, 1)
		}
	}
	assert.Equal(t, p.Free(1), 16, "at most half of the executors are ejected")
}

func TestSlowExecutorIsEjectedTemporarily(t *testing.T) {
	p := pool("a", "b", "c")
	for range 30 {
		p.Report(1, "a", true, 10)
		p.Report(1, "b", true, 1)
		p.Report(1, "c", true, 1)
	}
	assert.Assert(t, p.IsEjected(1, "a"))
	assert.Assert(t, !p.IsEjected(tick.Time(1).Add(time.Minute), "a"))
}

// TestSlotsAreNeverOverused acquires, releases and drains slots at random and checks that no executor has more slots in
// use than it has.
func TestSlotsAreNeverOverused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := pool("a", "b")
		used := map[ident.Executor]int{}
		draining := map[ident.Executor]int{}
		for range rapid.IntRange(0, 100).Draw(t, "steps") {
			e := rapid.SampledFrom([]ident.Executor{"a", "b"}).Draw(t, "executor")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				if name, ok := p.Acquire(0); ok {
					used[name]++
					assert.Assert(t, used[name]+draining[name] <= 8)
				}
			case 2:
				if used[e] > 0 {
					p.Release(e)
					used[e]--
				}
			case 3:
				if used[e] > 0 {
					p.Drain(e)
					used[e]--
					draining[e]++
				}
			case 4:
				if draining[e] > 0 {
					p.Drained(e)
					draining[e]--
				}
			}
			got, _ := p.Get(e)
			assert.Equal(t, got.InUse(), used[e]+draining[e])
		}
	})
}

func BenchmarkAcquireRelease(b *testing.B) {
	for _, n := range []int{8, 65} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var names []ident.Executor
			for i := range n {
				names = append(names, ident.Executor(fmt.Sprintf("e%d", i)))
			}
			p := pool(names...)
			b.ReportAllocs()
			for range b.N {
				e, _ := p.Acquire(0)
				p.Release(e)
			}
		})
	}
}
