// Package queue orders waiting requests by class priority, then fairly between tenants, then by deadline.
//
// Between the tenants of one priority it is start-time fair queueing: each tenant has a virtual time that advances by
// the inverse of its share with every request it takes out, and the tenant with the lowest virtual time goes first.
// One tenant's wave so delays the others by at most one request at a time.
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

// Spec is what the order depends on.
type Spec struct {
	// Priority orders classes; 0 goes first.
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

// Queue is the ordered set of waiting elements. It is not safe for concurrent use.
type Queue[T any] struct {
	levels map[int]*level[T]
	order  []int
	size   int
	seq    uint64
}

// New returns an empty Queue.
func New[T any]() *Queue[T] { return &Queue[T]{levels: map[int]*level[T]{}} }

// Len returns the number of queued elements.
func (q *Queue[T]) Len() int { return q.size }

// LenAhead returns the number of queued elements of the priority and the more urgent ones.
func (q *Queue[T]) LenAhead(priority int) int {
	n := 0
	for _, p := range q.order {
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

// ActiveShares returns the sum of the shares of the tenants that wait at the priority, the tenant's own included.
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

// Push adds a value.
func (q *Queue[T]) Push(s Spec, v T) *Item[T] {
	l := q.level(s.Priority)
	t := l.tenant(s)
	q.seq++
	it := &Item[T]{spec: s, value: v, seq: q.seq, tenant: t}
	heap.Push(&t.items, it)
	if len(t.items) == 1 {
		t.virtual = max(t.virtual, l.virtual)
		heap.Push(&l.active, t)
	}
	l.size++
	q.size++
	return it
}

// Pop takes out the first value.
func (q *Queue[T]) Pop() (T, bool) {
	for _, p := range q.order {
		l := q.levels[p]
		if l.size == 0 {
			continue
		}
		t := l.active[0]
		it := t.items[0]
		l.virtual = t.virtual
		t.virtual += 1 / t.share
		q.Remove(it)
		return it.value, true
	}
	var zero T
	return zero, false
}

// Remove takes out an element; it reports false if the element is not queued any more.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	if it.index == removed {
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
	if t.virtual <= l.virtual || len(l.tenants) > maxIdleTenants {
		delete(l.tenants, t.name)
	}
	return true
}

// maxIdleTenants bounds the tenants whose virtual time is kept while they have nothing queued.
const maxIdleTenants = 1024

func (q *Queue[T]) level(priority int) *level[T] {
	l, ok := q.levels[priority]
	if !ok {
		l = &level[T]{tenants: map[ident.Tenant]*tenantQueue[T]{}}
		q.levels[priority] = l
		q.order = append(q.order, priority)
		slices.Sort(q.order)
	}
	return l
}

type level[T any] struct {
	tenants map[ident.Tenant]*tenantQueue[T]
	active  indexedHeap[*tenantQueue[T]]
	virtual float64
	size    int
}

func (l *level[T]) tenant(s Spec) *tenantQueue[T] {
	t, ok := l.tenants[s.Tenant]
	if !ok {
		t = &tenantQueue[T]{name: s.Tenant, virtual: l.virtual}
		l.tenants[s.Tenant] = t
	}
	t.share = s.Share
	if t.share <= 0 {
		t.share = 1
	}
	return t
}

type tenantQueue[T any] struct {
	name    ident.Tenant
	share   float64
	virtual float64
	index   int
	items   indexedHeap[*Item[T]]
}

// element is what an indexedHeap orders; it is told its place, so that it can be taken out from the middle.
type element[E any] interface {
	less(other E) bool
	moved(index int)
}

// indexedHeap implements heap.Interface.
type indexedHeap[E element[E]] []E

func (h indexedHeap[E]) Len() int           { return len(h) }
func (h indexedHeap[E]) Less(i, j int) bool { return h[i].less(h[j]) }

func (h indexedHeap[E]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].moved(i)
	h[j].moved(j)
}

func (h *indexedHeap[E]) Push(x any) {
	e, _ := x.(E)
	e.moved(len(*h))
	*h = append(*h, e)
}

func (h *indexedHeap[E]) Pop() any {
	old := *h
	e := old[len(old)-1]
	var none E
	old[len(old)-1] = none
	*h = old[:len(old)-1]
	e.moved(removed)
	return e
}

// removed is the place of an element that is in no heap.
const removed = -1

func (i *Item[T]) less(o *Item[T]) bool {
	if i.spec.Deadline != o.spec.Deadline {
		return i.spec.Deadline.Before(o.spec.Deadline)
	}
	return i.seq < o.seq
}

func (i *Item[T]) moved(index int) { i.index = index }

func (t *tenantQueue[T]) less(o *tenantQueue[T]) bool {
	if t.virtual != o.virtual {
		return t.virtual < o.virtual
	}
	return t.name < o.name
}

func (t *tenantQueue[T]) moved(index int) { t.index = index }
