// Package ahead reserves executors for waiting tasks that need more room than any executor has now, and decides which
// other tasks may start on a reserved executor meanwhile (EASY backfill; docs/design/look-ahead.md).
//
// # Usage
//
//	p := ahead.New()
//	expired := p.Begin(now, isWaiting, isUsable)
//	if !p.IsFull() && p.Wait(now, request, poolSize) {
//		made := p.Search(now, request, poolSize, executorAt)
//	}
//	if p.Admits(now, executor, claim, describe) { start(); p.Started(step, pool, priority, need) }
package ahead

import (
	"slices"
	"time"

	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// horizon is how far ahead a forecast may lie. It is longer than the short tasks of the workload take, including those
	// that take several times their estimate.
	horizon = 10 * time.Second
	// maxDelay is how long a forecast, which may be wrong, may delay a due task that an executor has the room for.
	maxDelay = 1500 * time.Millisecond
	// maxDelayGap is the time without a refusal after which a step no longer counts as delayed. It is longer than the
	// pause between two passes.
	maxDelayGap = 600 * time.Millisecond
	// minMargin and maxMargin bound the time after its forecast at which a reservation expires. minMargin covers the
	// report of an end, which comes with one of several lists a second, and some imprecision.
	minMargin = 500 * time.Millisecond
	maxMargin = maxDelay
	// marginShare is the margin as a share of the time from the reservation to its forecast.
	marginShare = 1
	// avoidedFor is how long a step does not reserve the executor of an expired reservation again.
	avoidedFor = 2 * maxMargin
	// maxPatience is how long a step waits at most until its reservation is no longer overtaken.
	maxPatience = 10 * time.Second
	// maxHolders bounds the steps of a pool that hold reservations.
	maxHolders = 4
	// maxReservedShare is the share of the executors of a pool that may be reserved. A single holder may exceed it.
	maxReservedShare = 0.125
	// forecastsPerPass bounds the executors and the ends of runs that one pass looks at, which bounds its processor time.
	forecastsPerPass = 2048
	// maxWaits bounds the waiting steps, maxDelayed the delayed steps, and maxAvoided the expired reservations that are
	// remembered.
	maxWaits   = 64
	maxDelayed = 256
	maxAvoided = 256
)

// wait is the state of a step that waits for room.
type wait struct {
	request Request
	// isOvertaken is true once smaller work was started while the step has waited.
	isOvertaken bool
	// next is the index of the next executor of the search, found the best places of the executors before.
	next  int
	found []place
	// reserved are the executors reserved for the step.
	reserved []string
	// pass is the last pass in which the step waited.
	pass int
}

// place is room for one task from a point in time.
type place struct {
	at       tick.Time
	executor string
}

// avoidance is an executor that a step does not reserve for some time.
type avoidance struct {
	step     Step
	executor string
}

// delay is since when reservations have kept a step from starting, with no pause of maxDelayGap, and when they last did
// so.
type delay struct {
	since, last tick.Time
}

// Planner has the reservations of one leader.
type Planner struct {
	waits        map[Step]*wait
	reservations map[string]*Reservation
	avoided      map[avoidance]tick.Time
	// delayed has the steps that reservations keep from starting.
	delayed map[Step]delay
	// pass counts the calls of Begin, waitsInPass the steps that wait in the present pass.
	pass, waitsInPass int
	// budget is the number of executors and ends of runs that the present pass may still look at.
	budget int
}

// New returns a Planner without reservations.
func New() *Planner {
	return &Planner{
		waits: map[Step]*wait{}, reservations: map[string]*Reservation{}, avoided: map[avoidance]tick.Time{},
		delayed: map[Step]delay{},
	}
}

// Begin starts a pass. It drops what concerns steps that no longer wait and executors that the step can no longer use,
// and returns the reservations that were not met in time. If one of a gang is dropped, so are the others.
func (p *Planner) Begin(
	now tick.Time, isWaiting func(Step) bool, isUsable func(s Step, executor string) bool,
) []Reservation {
	p.budget = forecastsPerPass
	p.pass++
	p.waitsInPass = 0
	p.forget(now, isWaiting)
	var expired []Reservation
	for s, w := range p.waits {
		isLost := slices.ContainsFunc(w.reserved, func(id string) bool { return !isUsable(s, id) })
		isExpired := slices.ContainsFunc(w.reserved, func(id string) bool {
			return !now.Before(p.reservations[id].expiresAt)
		})
		if isExpired {
			expired = append(expired, p.avoid(now, w)...)
		}
		if isLost || isExpired {
			p.drop(w)
		}
	}
	return expired
}

// avoid keeps the step from reserving the same executors again for some time, and returns its reservations.
func (p *Planner) avoid(now tick.Time, w *wait) []Reservation {
	var out []Reservation
	for _, id := range w.reserved {
		out = append(out, *p.reservations[id])
		if len(p.avoided) < maxAvoided {
			p.avoided[avoidance{w.request.Step, id}] = now.Add(avoidedFor)
		}
	}
	return out
}

// forget drops the state of steps that no longer wait, and avoidances that are over.
func (p *Planner) forget(now tick.Time, isWaiting func(Step) bool) {
	for s, w := range p.waits {
		if !isWaiting(s) {
			p.drop(w)
			delete(p.waits, s)
		}
	}
	for s := range p.delayed {
		if !isWaiting(s) {
			delete(p.delayed, s)
		}
	}
	for a, until := range p.avoided {
		if !now.Before(until) {
			delete(p.avoided, a)
		}
	}
}

// drop removes the reservations of a waiting step.
func (p *Planner) drop(w *wait) {
	for _, id := range w.reserved {
		delete(p.reservations, id)
	}
	w.reserved = nil
	w.restart()
}

// restart begins the search anew.
func (w *wait) restart() { w.next, w.found = 0, nil }

// IsIdle reports whether no step waits for room, so that there is nothing to decide.
func (p *Planner) IsIdle() bool { return len(p.waits) == 0 }

// IsReserved reports whether the executor is reserved.
func (p *Planner) IsReserved(executor string) bool { return p.reservations[executor] != nil }

// IsFull reports whether as many steps have waited in the present pass as are considered. Further ones are less urgent.
func (p *Planner) IsFull() bool { return p.waitsInPass >= maxWaits }

// Wait notes that a step fits on none of the executors of its pool. It returns whether to search for a reservation.
func (p *Planner) Wait(now tick.Time, r Request, poolSize int) bool {
	w, ok := p.waits[r.Step]
	p.waitsInPass++
	if !ok {
		if len(p.waits) == maxWaits && !p.evict() {
			return false
		}
		w = &wait{}
		p.waits[r.Step] = w
	}
	w.request, w.pass = r, p.pass
	if !w.isOvertaken || !r.IsWide && !w.isPatienceOver(now) {
		return false
	}
	return len(w.reserved) == 0 && p.budget > 0 && p.mayReserve(r, poolSize)
}

// evict forgets a step without reservations that has not waited in the present pass so far, which means that it is less
// urgent than those that have. It returns false if there is none.
func (p *Planner) evict() bool {
	for s, w := range p.waits {
		if w.pass < p.pass && len(w.reserved) == 0 {
			delete(p.waits, s)
			return true
		}
	}
	return false
}

// mayReserve reports whether the limits permit reservations for one more step.
func (p *Planner) mayReserve(r Request, poolSize int) bool {
	holders, executors := 0, 0
	for _, w := range p.waits {
		if w.request.Pool == r.Pool && len(w.reserved) > 0 {
			holders++
			executors += len(w.reserved)
		}
	}
	if holders == 0 {
		return true
	}
	return holders < maxHolders && float64(executors+r.Tasks) <= maxReservedShare*float64(poolSize)
}

// Started notes the start of a task. Steps of the same pool that need more have been overtaken, unless their priority
// is lower.
func (p *Planner) Started(s Step, pool string, priority int, need Resources) {
	for o, w := range p.waits {
		r := w.request
		switch {
		case o == s:
			// Further tasks of the step may wait.
			p.drop(w)
		case r.Pool != pool || priority < r.Priority:
		case need.MilliCPU == 0 && need.GPUs == 0 && !r.IsShortOfMemory:
			// Best-effort tasks take room only by their memory.
		case r.Need.Slots > 0 || !need.coversRoom(r.Need.Times(r.Tasks)):
			w.isOvertaken = true
		}
	}
}
