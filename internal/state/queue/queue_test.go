package queue

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

func popAll(q *Queue[string]) []string {
	var out []string
	for {
		v, ok := q.Pop()
		if !ok {
			return out
		}
		out = append(out, v)
	}
}

func TestOrderIsPriorityThenDeadline(t *testing.T) {
	q := New[string]()
	q.Push(Spec{Priority: 1, Tenant: "t", Share: 1, Deadline: 1}, "menu plan")
	q.Push(Spec{Priority: 0, Tenant: "t", Share: 1, Deadline: 30}, "late invoice")
	q.Push(Spec{Priority: 0, Tenant: "t", Share: 1, Deadline: 20}, "early invoice")
	assert.DeepEqual(t, popAll(q), []string{"early invoice", "late invoice", "menu plan"})
}

// TestBurstOfOneTenantDoesNotStarveAnother guards against starvation: 1000 requests of one tenant are queued before 10
// of another.
func TestBurstOfOneTenantDoesNotStarveAnother(t *testing.T) {
	q := New[string]()
	for range 1000 {
		q.Push(Spec{Tenant: "wave", Share: 1, Deadline: 1}, "wave")
	}
	for range 10 {
		q.Push(Spec{Tenant: "small", Share: 1, Deadline: 1000}, "small")
	}
	out := popAll(q)
	last := 0
	for i, v := range out {
		if v == "small" {
			last = i
		}
	}
	assert.Assert(t, last <= 20, "the last request of the small tenant is number %d", last)
}

func TestPopFollowsShares(t *testing.T) {
	q := New[string]()
	for range 300 {
		q.Push(Spec{Tenant: "double", Share: 2, Deadline: 1}, "double")
		q.Push(Spec{Tenant: "single", Share: 1, Deadline: 1}, "single")
	}
	count := 0
	for _, v := range popAll(q)[:150] {
		if v == "double" {
			count++
		}
	}
	assert.Assert(t, count >= 98 && count <= 102, "%d of 150", count)
}

// TestRandomOperationsLoseNoItem pushes, pops and removes at random and compares the queue with a map of its items.
func TestRandomOperationsLoseNoItem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int]()
		items := map[int]*Item[int]{}
		next := 0
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				items[next] = q.Push(Spec{
					Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
					Tenant:   ident.Tenant(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "tenant"))), Share: 1,
					Deadline: tick.Time(rapid.IntRange(0, 5).Draw(t, "deadline")),
				}, next)
				next++
			case 2:
				v, ok := q.Pop()
				assert.Equal(t, ok, len(items) > 0)
				if ok {
					assert.Assert(t, items[v] != nil, "popped twice")
					assert.Assert(t, !q.Remove(items[v]), "removed after it was popped")
					delete(items, v)
				}
			case 3:
				for k, it := range items {
					assert.Assert(t, q.Remove(it))
					delete(items, k)
					break
				}
			}
			assert.Equal(t, q.Len(), len(items))
			assert.Equal(t, q.LenAhead(2), len(items))
		}
	})
}

func BenchmarkPushPop(b *testing.B) {
	for _, depth := range []int{10, 1000} {
		b.Run(fmt.Sprint(depth), func(b *testing.B) {
			q := New[int]()
			for i := range depth {
				q.Push(Spec{Tenant: ident.Tenant(fmt.Sprint(i % 50)), Share: 1, Deadline: tick.Time(i)}, i)
			}
			b.ReportAllocs()
			for i := range b.N {
				q.Push(Spec{Tenant: "t", Share: 1, Deadline: tick.Time(i)}, i)
				q.Pop()
			}
		})
	}
}
