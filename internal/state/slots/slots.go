// Package slots tracks the slots of the executors that an owner acts for.
//
// A slot is in use from its assignment until the work on it has provably ended. After a cancellation the slot is
// draining until then. Slots that a former owner still uses are foreign.
//
// # Usage
//
//	p := slots.New()
//	p.Put(now, slots.Spec{Name: "cat-ex-1", Slots: 8})
//	p.SetActing("cat-ex-1", true); p.SetForeign("cat-ex-1", 0)
//	e, ok := p.Acquire(now)
//	p.Release(e)
package slots

import (
	"maps"
	"slices"
	"time"

	"github.com/ibischute/ibischute/internal/state/outl"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

// slowStartPeriod is how long a new executor takes to get all of its slots.
const slowStartPeriod = 5 * time.Second

// Spec describes an executor as given in the executor list.
type Spec struct {
	Name    ident.Executor
	Address string
	Slots   int
	Leaving bool
	// SlowStart enables the slow start: the number of usable slots grows over slowStartPeriod.
	SlowStart bool
}

// Executor is the state of one executor.
type Executor struct {
	Spec
	// Acting reports whether this instance may assign the executor's slots.
	Acting bool
	// IsForeignKnown reports whether the number of foreign slots is known.
	IsForeignKnown bool
	// ReportsLeaving reports whether the executor itself announced that it is leaving.
	ReportsLeaving bool
	Used           int
	Draining       int
	Foreign        int
	addedAt        tick.Time
}

// InUse returns the number of this instance's slots whose work has not provably ended.
func (e *Executor) InUse() int { return e.Used + e.Draining }

func (e *Executor) free(now tick.Time) int {
	if !e.Acting || !e.IsForeignKnown || e.Leaving || e.ReportsLeaving {
		return 0
	}
	return max(0, e.slotLimit(now)-e.InUse()-e.Foreign)
}

// slotLimit returns the number of usable slots, which grows during the slow start.
func (e *Executor) slotLimit(now tick.Time) int {
	age := now.Sub(e.addedAt)
	if !e.SlowStart || age >= slowStartPeriod {
		return e.Slots
	}
	return max(1, int(float64(e.Slots)*float64(age)/float64(slowStartPeriod)))
}

// Pool is the set of executors of one service. It is not safe for concurrent use.
type Pool struct {
	executors map[ident.Executor]*Executor
	names     []ident.Executor
	outliers  *outl.Detector
}

// New returns an empty Pool.
func New() *Pool { return &Pool{executors: map[ident.Executor]*Executor{}, outliers: outl.New()} }

// Put adds or updates an executor. An update does not change SlowStart.
func (p *Pool) Put(now tick.Time, s Spec) {
	e, ok := p.executors[s.Name]
	if !ok {
		e = &Executor{Spec: s, addedAt: now}
		p.executors[s.Name] = e
		p.names = slices.Sorted(maps.Keys(p.executors))
		return
	}
	s.SlowStart = e.SlowStart
	e.Spec = s
}

// Retain marks the executors for which keep is false as leaving, and removes those that have no slots in use.
func (p *Pool) Retain(keep func(ident.Executor) bool) {
	for name, e := range p.executors {
		if keep(name) {
			continue
		}
		e.Leaving = true
		if e.InUse() == 0 {
			delete(p.executors, name)
			p.outliers.Remove(name)
		}
	}
	p.names = slices.Sorted(maps.Keys(p.executors))
}

// SetActing records whether this instance acts for the executor. It reports true if the instance did not act
// for it before and now does.
func (p *Pool) SetActing(name ident.Executor, acting bool) bool {
	e, ok := p.executors[name]
	if !ok || e.Acting == acting {
		return false
	}
	e.Acting = acting
	e.IsForeignKnown = false
	if acting {
		p.outliers.Add(name)
	} else {
		p.outliers.Remove(name)
	}
	return acting
}

// SetForeign records the number of slots that other instances still use.
func (p *Pool) SetForeign(name ident.Executor, n int) {
	if e, ok := p.executors[name]; ok {
		e.Foreign = max(0, n)
		e.IsForeignKnown = true
	}
}

// SetReportsLeaving records whether the executor itself announced that it is leaving.
func (p *Pool) SetReportsLeaving(name ident.Executor, leaving bool) {
	if e, ok := p.executors[name]; ok {
		e.ReportsLeaving = leaving
	}
}

// Get returns a copy of the state of an executor.
func (p *Pool) Get(name ident.Executor) (Executor, bool) {
	e, ok := p.executors[name]
	if !ok {
		return Executor{}, false
	}
	return *e, true
}

// All returns copies of the executors, ordered by name.
func (p *Pool) All() []Executor {
	out := make([]Executor, 0, len(p.names))
	for _, n := range p.names {
		out = append(out, *p.executors[n])
	}
	return out
}

// Free returns the number of slots that can be assigned.
func (p *Pool) Free(now tick.Time) int {
	n := 0
	for _, e := range p.executors {
		if !p.outliers.IsEjected(now, e.Name) {
			n += e.free(now)
		}
	}
	return n
}

// Capacity returns the number of slots, free or in use, of the executors that this instance can assign work to.
func (p *Pool) Capacity(now tick.Time) int {
	n := 0
	for _, e := range p.executors {
		if e.Acting && e.IsForeignKnown && !e.Leaving && !e.ReportsLeaving && !p.outliers.IsEjected(now, e.Name) {
			n += e.slotLimit(now)
		}
	}
	return n
}

// IsActing reports whether this instance acts for any executor.
func (p *Pool) IsActing() bool {
	for _, e := range p.executors {
		if e.Acting {
			return true
		}
	}
	return false
}

// Acquire assigns a slot of the executor with the lowest expected load: the share of its slots in use times its
// relative latency.
func (p *Pool) Acquire(now tick.Time) (ident.Executor, bool) {
	var best *Executor
	bestCost := 0.0
	for _, name := range p.names {
		e := p.executors[name]
		if e.free(now) == 0 || p.outliers.IsEjected(now, name) {
			continue
		}
		cost := float64(e.InUse()+e.Foreign+1) / float64(e.Slots) * p.outliers.RelativeLatency(name)
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best == nil {
		return "", false
	}
	best.Used++
	return best.Name, true
}

// Release frees a slot whose work has ended.
func (p *Pool) Release(name ident.Executor) {
	if e, ok := p.executors[name]; ok && e.Used > 0 {
		e.Used--
	}
}

// Drain marks a slot as draining, because its work was cancelled but has not provably ended.
func (p *Pool) Drain(name ident.Executor) {
	if e, ok := p.executors[name]; ok && e.Used > 0 {
		e.Used--
		e.Draining++
	}
}

// Drained frees a draining slot.
func (p *Pool) Drained(name ident.Executor) {
	if e, ok := p.executors[name]; ok && e.Draining > 0 {
		e.Draining--
	}
}

// Report records the result of work for outlier detection.
func (p *Pool) Report(now tick.Time, name ident.Executor, ok bool, relativeLatency float64) {
	p.outliers.Report(now, name, ok, relativeLatency)
}

// IsEjected reports whether the outlier detection has ejected the executor.
func (p *Pool) IsEjected(now tick.Time, name ident.Executor) bool {
	return p.outliers.IsEjected(now, name)
}
