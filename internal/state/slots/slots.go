// Package slots accounts for the slots of the executors that an owner acts for.
//
// A slot is in use from the moment it is given out until there is evidence that the work on it has ended. Work that was
// cancelled holds its slot as draining. Slots that a former owner still uses are foreign.
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

// rampTime is how long a new executor takes to get its full share.
const rampTime = 5 * time.Second

// Spec is what the list says about an executor.
type Spec struct {
	Name    ident.Executor
	Address string
	Slots   int
	Leaving bool
	// Fresh makes the executor start slowly.
	Fresh bool
}

// Executor is the account of one executor.
type Executor struct {
	Spec
	// Acting reports whether this instance may give out the executor's slots.
	Acting bool
	// Counted reports whether Foreign is known.
	Counted bool
	// SaysLeaving is what the executor said about itself.
	SaysLeaving bool
	Used        int
	Draining    int
	Foreign     int
	since       tick.Time
}

// InUse returns the slots of this instance that are not proved free.
func (e *Executor) InUse() int { return e.Used + e.Draining }

func (e *Executor) free(now tick.Time) int {
	if !e.Acting || !e.Counted || e.Leaving || e.SaysLeaving {
		return 0
	}
	return max(0, e.limit(now)-e.InUse()-e.Foreign)
}

// limit returns the slots that a fresh executor is given so far.
func (e *Executor) limit(now tick.Time) int {
	age := now.Sub(e.since)
	if !e.Fresh || age >= rampTime {
		return e.Slots
	}
	return max(1, int(float64(e.Slots)*float64(age)/float64(rampTime)))
}

// Pool is the set of executors of one service. It is not safe for concurrent use.
type Pool struct {
	executors map[ident.Executor]*Executor
	names     []ident.Executor
	health    *outl.Detector
}

// New returns an empty Pool.
func New() *Pool { return &Pool{executors: map[ident.Executor]*Executor{}, health: outl.New()} }

// Put adds or updates an executor.
func (p *Pool) Put(now tick.Time, s Spec) {
	e, ok := p.executors[s.Name]
	if !ok {
		e = &Executor{Spec: s, since: now}
		p.executors[s.Name] = e
		p.names = slices.Sorted(maps.Keys(p.executors))
		return
	}
	s.Fresh = e.Fresh
	e.Spec = s
}

// Retain drops the executors that the predicate does not keep and that have no slot in use.
func (p *Pool) Retain(keep func(ident.Executor) bool) {
	for name, e := range p.executors {
		if keep(name) {
			continue
		}
		e.Leaving = true
		if e.InUse() == 0 {
			delete(p.executors, name)
			p.health.Remove(name)
		}
	}
	p.names = slices.Sorted(maps.Keys(p.executors))
}

// SetActing records whether this instance acts for the executor; it reports whether that is new.
func (p *Pool) SetActing(name ident.Executor, acting bool) bool {
	e, ok := p.executors[name]
	if !ok || e.Acting == acting {
		return false
	}
	e.Acting = acting
	e.Counted = false
	if acting {
		p.health.Add(name)
	} else {
		p.health.Remove(name)
	}
	return acting
}

// SetForeign records how many slots others still use.
func (p *Pool) SetForeign(name ident.Executor, n int) {
	if e, ok := p.executors[name]; ok {
		e.Foreign = max(0, n)
		e.Counted = true
	}
}

// SetSaysLeaving records what the executor said about itself.
func (p *Pool) SetSaysLeaving(name ident.Executor, leaving bool) {
	if e, ok := p.executors[name]; ok {
		e.SaysLeaving = leaving
	}
}

// Get returns the account of an executor.
func (p *Pool) Get(name ident.Executor) (Executor, bool) {
	e, ok := p.executors[name]
	if !ok {
		return Executor{}, false
	}
	return *e, true
}

// All returns the accounts in order of name.
func (p *Pool) All() []Executor {
	out := make([]Executor, 0, len(p.names))
	for _, n := range p.names {
		out = append(out, *p.executors[n])
	}
	return out
}

// Free returns the number of slots that can be given out.
func (p *Pool) Free(now tick.Time) int {
	n := 0
	for _, e := range p.executors {
		if !p.health.IsEjected(now, e.Name) {
			n += e.free(now)
		}
	}
	return n
}

// Capacity returns the number of slots of the executors that are in service here, free or not.
func (p *Pool) Capacity(now tick.Time) int {
	n := 0
	for _, e := range p.executors {
		if e.Acting && e.Counted && !e.Leaving && !e.SaysLeaving && !p.health.IsEjected(now, e.Name) {
			n += e.limit(now)
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

// Acquire gives out a slot of the executor with the least expected work ahead, that is its used share times its
// slowness.
func (p *Pool) Acquire(now tick.Time) (ident.Executor, bool) {
	var best *Executor
	bestCost := 0.0
	for _, name := range p.names {
		e := p.executors[name]
		if e.free(now) == 0 || p.health.IsEjected(now, name) {
			continue
		}
		cost := float64(e.InUse()+e.Foreign+1) / float64(e.Slots) * p.health.Slowness(name)
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

// Drain marks a slot whose work was cancelled but is not proved to have ended.
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

// Report counts the result of work for ejection.
func (p *Pool) Report(now tick.Time, name ident.Executor, ok bool, relative float64) {
	p.health.Report(now, name, ok, relative)
}

// IsEjected reports whether the executor is ejected.
func (p *Pool) IsEjected(now tick.Time, name ident.Executor) bool {
	return p.health.IsEjected(now, name)
}
