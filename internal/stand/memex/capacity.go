package memex

import (
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// capacityGrace is how long after a capacity has shrunk starts may still rely on the former one: the time in which
	// the change has to reach callers, and one heartbeat.
	capacityGrace = 4100 * time.Millisecond
	// maxFormer bounds the former capacities that an executor remembers.
	maxFormer = 64
)

// formerCapacity is a capacity that an executor had until the time.
type formerCapacity struct {
	capacity Capacity
	until    tick.Time
}

// AddUnenforced starts an executor with the capacity that starts whatever it is told to. A start that brings it over
// its capacity is a violation. If there is an executor with the id, it must have been removed.
func (f *Fleet) AddUnenforced(id string, c Capacity) {
	f.add(id, &c)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.executors[id].isUnenforced = true
}

// SetCapacity changes the capacity of an executor, if there is one with the id. What runs there continues.
func (f *Fleet) SetCapacity(id string, c Capacity) {
	f.mu.Lock()
	defer f.mu.Unlock()
	x, ok := f.executors[id]
	if !ok || x.capacity == nil {
		return
	}
	if len(x.former) == maxFormer {
		x.former = x.former[1:]
	}
	x.former = append(x.former, formerCapacity{*x.capacity, tick.Now()})
	x.capacity = &c
}

// CapacityOf returns the present capacity of an executor; it is zero for an executor without limit or an unknown one.
func (f *Fleet) CapacityOf(id string) Capacity {
	f.mu.Lock()
	defer f.mu.Unlock()
	if x, ok := f.executors[id]; ok && x.capacity != nil {
		return *x.capacity
	}
	return Capacity{}
}

// checkCapacity records a violation if a start brings an executor that does not enforce its capacity over it. Former
// capacities count for capacityGrace; for an order that is carried out late, as of the earliest time of its sending.
// They count without a bound for an order with a deadline on the clock of a former process.
func (f *Fleet) checkCapacity(id string, x *executor, o orders.Start, b Behavior, from origin) {
	if !x.isUnenforced {
		return
	}
	now := tick.Now()
	age := time.Duration(max(0, x.clock(now)-(o.DeadlineMS-maxLeaseMS))) * time.Millisecond
	limit := *x.capacity
	isForFormer := o.DeadlineMS > x.clock(now)+maxLeaseMS
	for _, c := range x.former {
		if isForFormer || now.Sub(c.until)-age <= capacityGrace {
			limit = Capacity{max(limit.MilliCPU, c.capacity.MilliCPU), max(limit.MemoryMB, c.capacity.MemoryMB)}
		}
	}
	if free := x.free(limit); !free.covers(b.Capacity) {
		isUnfenced := len(x.unfenced) > 0 && x.fence.isOpen(from.sentAt) || from.isLate && from.isUnfenced
		f.reportViolation(isUnfenced,
			"%v brings %s over its capacity: it needs %v, and %v of %v is free", o.Run, id, b.Capacity, free, limit)
	}
}

// free returns what the runs leave of a capacity.
func (x *executor) free(c Capacity) Capacity {
	for _, r := range x.runs {
		c = c.minus(r.behavior.Capacity)
	}
	return c
}
