// Package queue orders waiting requests by class priority, then fairly between tenants, then by deadline.
//
// Tenants of the same priority are ordered by start-time fair queueing: each tenant has a virtual time that advances by
// the inverse of its share with every request taken from the queue, and the tenant with the lowest virtual time is
// served first. A burst of one tenant therefore delays the others by at most one request at a time.
//
// # Usage
//
//	q := queue.New[*waiter]()
//	item := q.Push(queue.Spec{Priority: 0, Tenant: "t", Share: 1, Deadline: d}, w)
//	w, ok := q.Pop()
//	q.Remove(item)
package queue

import (
	"container/heap"
	"slices"

	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

// Spec holds the properties that determine the position in the queue.
type Spec struct {
	// Priority is the priority of the class; 0 is served first.
	Priority int
	Tenant   ident.Tenant
	// Share is the tenant's weight.
	Share    float64
	Deadline tick.Time
}

// Item is one queued element.
type Item[T any] struct {
	spec   Spec
	value  T
	index  int
	seq    uint64
	tenant *tenantQueue[T]
}

// Value returns the queued value.
func (i *Item[T]) Value() T { return i.value }

// Queue is a queue of elements ordered by their Spec. It is not safe for concurrent use.
type Queue[T any] struct {
	levels     map[int]*level[T]
	priorities []int
	size       int
	seq        uint64
}

// New returns an empty Queue.
func New[T any]() *Queue[T] { return &Queue[T]{levels: map[int]*level[T]{}} }

// Len returns the number of queued elements.
func (q *Queue[T]) Len() int { return q.size }

// LenAhead returns the number of queued elements with the given priority or a higher one (a lower number).
func (q *Queue[T]) LenAhead(priority int) int {
	n := 0
	for _, p := range q.priorities {
		if p <= priority {
			n += q.levels[p].size
		}
	}
	return n
}

// LenTenant returns the number of queued elements of the tenant at the priority.
func (q *Queue[T]) LenTenant(priority int, t ident.Tenant) int {
	l, ok := q.levels[priority]
	if !ok || l.tenants[t] == nil {
		return 0
	}
	return len(l.tenants[t].items)
}

// ActiveShares returns the sum of the given share and the shares of the other tenants with elements at the priority.
func (q *Queue[T]) ActiveShares(priority int, t ident.Tenant, share float64) float64 {
	sum := share
	l, ok := q.levels[priority]
	if !ok {
		return sum
	}
	for _, tq := range l.active {
		if tq.name != t {
			sum += tq.share
		}
	}
	return sum
}

// Push adds a value to the queue.
func (q *Queue[T]) Push(s Spec, v T) *Item[T] {
	l := q.level(s.Priority)
	t := l.tenant(s)
	q.seq++
	it := &Item[T]{spec: s, value: v, seq: q.seq, tenant: t}
	heap.Push(&t.items, it)
	if len(t.items) == 1 {
		t.virtualTime = max(t.virtualTime, l.virtualTime)
		heap.Push(&l.active, t)
	}
	l.size++
	q.size++
	return it
}

// Pop removes and returns the first value.
func (q *Queue[T]) Pop() (T, bool) {
	for _, p := range q.priorities {
		l := q.levels[p]
		if l.size == 0 {
			continue
		}
		t := l.active[0]
		it := t.items[0]
		l.virtualTime = t.virtualTime
		t.virtualTime += 1 / t.share
		q.Remove(it)
		return it.value, true
	}
	var zero T
	return zero, false
}

// Remove removes an element. It reports false if the element is not queued any more.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	if it.index == notQueued {
		return false
	}
	t := it.tenant
	l := q.levels[it.spec.Priority]
	heap.Remove(&t.items, it.index)
	l.size--
	q.size--
	if len(t.items) > 0 {
		heap.Fix(&l.active, t.index)
		return true
	}
	heap.Remove(&l.active, t.index)
	// A tenant whose virtual time is not ahead of the level's would be added again with the same virtual time.
	if t.virtualTime <= l.virtualTime || len(l.tenants) > maxIdleTenants {
		delete(l.tenants, t.name)
	}
	return true
}

// maxIdleTenants is the number of tenants of one priority above which the virtual time of a tenant is not kept once it
// has no queued elements.
const maxIdleTenants = 1024

func (q *Queue[T]) level(priority int) *level[T] {
	l, ok := q.levels[priority]
	if !ok {
		l = &level[T]{tenants: map[ident.Tenant]*tenantQueue[T]{}}
		q.levels[priority] = l
		q.priorities = append(q.priorities, priority)
		slices.Sort(q.priorities)
	}
	return l
}

type level[T any] struct {
	tenants     map[ident.Tenant]*tenantQueue[T]
	active      indexedHeap[*tenantQueue[T]]
	virtualTime float64
	size        int
}

func (l *level[T]) tenant(s Spec) *tenantQueue[T] {
	t, ok := l.tenants[s.Tenant]
	if !ok {
		t = &tenantQueue[T]{name: s.Tenant, virtualTime: l.virtualTime}
		l.tenants[s.Tenant] = t
	}
	t.share = s.Share
	if t.share <= 0 {
		t.share = 1
	}
	return t
}

type tenantQueue[T any] struct {
	name        ident.Tenant
	share       float64
	virtualTime float64
	index       int
	items       indexedHeap[*Item[T]]
}

// element is an element of an indexedHeap. It stores its index, so that it can be removed from the middle of the heap.
type element[E any] interface {
	less(other E) bool
	setIndex(index int)
}

// indexedHeap implements heap.Interface.
type indexedHeap[E element[E]] []E

func (h indexedHeap[E]) Len() int           { return len(h) }
func (h indexedHeap[E]) Less(i, j int) bool { return h[i].less(h[j]) }

func (h indexedHeap[E]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].setIndex(i)
	h[j].setIndex(j)
}

func (h *indexedHeap[E]) Push(x any) {
	e, _ := x.(E)
	e.setIndex(len(*h))
	*h = append(*h, e)
}

func (h *indexedHeap[E]) Pop() any {
	old := *h
	e := old[len(old)-1]
	var zero E
	old[len(old)-1] = zero
	*h = old[:len(old)-1]
	e.setIndex(notQueued)
	return e
}

// notQueued is the index of an element that is not in a heap.
const notQueued = -1

func (i *Item[T]) less(o *Item[T]) bool {
	if i.spec.Deadline != o.spec.Deadline {
		return i.spec.Deadline.Before(o.spec.Deadline)
	}
	return i.seq < o.seq
}

func (i *Item[T]) setIndex(index int) { i.index = index }

func (t *tenantQueue[T]) less(o *tenantQueue[T]) bool {
	if t.virtualTime != o.virtualTime {
		return t.virtualTime < o.virtualTime
	}
	return t.name < o.name
}

func (t *tenantQueue[T]) setIndex(index int) { t.index = index }
