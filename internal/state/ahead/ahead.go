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
	"cmp"
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

// Resources are amounts of room on an executor. Slots are the tasks of one step that an executor may still take under
// anti-affinity.
type Resources struct {
	MilliCPU, MemoryMB, GPUs, Slots int64
}

// Plus returns the sum of the amounts.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.GPUs + o.GPUs, r.Slots + o.Slots}
}

// Times returns n times the amounts.
func (r Resources) Times(n int) Resources {
	k := int64(n)
	return Resources{r.MilliCPU * k, r.MemoryMB * k, r.GPUs * k, r.Slots * k}
}

// Covers reports whether no amount is less than that of o.
func (r Resources) Covers(o Resources) bool { return r.coversRoom(o) && r.Slots >= o.Slots }

// coversRoom is Covers without the slots.
func (r Resources) coversRoom(o Resources) bool {
	return r.MilliCPU >= o.MilliCPU && r.MemoryMB >= o.MemoryMB && r.GPUs >= o.GPUs
}

// Step identifies a step of a job.
type Step struct {
	Job               string
	Occurrence, Index uint32
}

// Request describes a step that waits for room.
type Request struct {
	Step Step
	// Pool is the set of executors that may take the step, for example those of a service.
	Pool string
	// Priority is the rank of the step; lower values go first.
	Priority int
	// Need is the room for one task.
	Need Resources
	// Tasks is the number of tasks that have to start together: the members of a gang, or 1.
	Tasks int
	// IsWide is true if the step needs a large part of an executor, or several executors. Other steps mostly find room
	// without a reservation.
	IsWide bool
	// IsShortOfMemory is true if no executor has the memory free.
	IsShortOfMemory bool
	// Since is when the step began to wait, Patience how long it waits until its reservation is no longer overtaken.
	Since    tick.Time
	Patience time.Duration
}

// Release is room that a run will give back.
type Release struct {
	At   tick.Time
	Room Resources
}

// Executor describes the room on an executor now and the room that its runs will release. Runs that end at no known
// time are left out.
type Executor struct {
	ID       string
	Free     Resources
	Releases []Release
}

// Claim describes a task that may start on a reserved executor.
type Claim struct {
	Step     Step
	Priority int
	Need     Resources
	// EndsAt is when the task would end; 0 if that is not known.
	EndsAt tick.Time
	// IsLongRunning is true if the task runs until it is cancelled. It must not wait behind a reservation for long, as it
	// serves its own callers.
	IsLongRunning bool
}

// Reservation keeps the room of a step on one executor.
type Reservation struct {
	Step     Step
	Executor string
	// RoomAt is when the room is expected to be there.
	RoomAt tick.Time

	priority  int
	need      Resources
	expiresAt tick.Time
}

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

// Begin starts a pass. It drops what concerns steps that no longer wait and executors that are no longer usable, and
// returns the reservations that were not met in time. If one of a gang is dropped, so are the others.
func (p *Planner) Begin(now tick.Time, isWaiting func(Step) bool, isUsable func(executor string) bool) []Reservation {
	p.budget = forecastsPerPass
	p.pass++
	p.waitsInPass = 0
	p.forget(now, isWaiting)
	var expired []Reservation
	for _, w := range p.waits {
		isLost := slices.ContainsFunc(w.reserved, func(id string) bool { return !isUsable(id) })
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

// Search looks for the executors on which the room for the request is there first, among n executors. It returns the
// reservations that it has made: one for a task, one or more for a gang. A search of many executors continues in the
// next pass. The function at describes an executor; its result is not retained. It returns false for an executor that
// cannot take the step, or has no room for it at any time.
func (p *Planner) Search(now tick.Time, r Request, n int, at func(i int) (Executor, bool)) []Reservation {
	w := p.waits[r.Step]
	if w == nil {
		return nil
	}
	for ; w.next < n && p.budget > 0; w.next++ {
		x, ok := at(w.next)
		p.budget -= 1 + len(x.Releases)
		if !ok || p.reservations[x.ID] != nil {
			continue
		}
		if _, isAvoided := p.avoided[avoidance{r.Step, x.ID}]; !isAvoided {
			w.consider(now, x)
		}
	}
	if w.next < n {
		return nil
	}
	return p.reserve(now, w)
}

// consider adds the places on the executor to the best ones that the search has found.
func (w *wait) consider(now tick.Time, x Executor) {
	r := w.request
	limit := now.Add(horizon)
	if len(w.found) == r.Tasks {
		limit = w.found[len(w.found)-1].at
	}
	all := x.Free
	for _, e := range x.Releases {
		if !e.At.After(limit) {
			all = all.Plus(e.Room)
		}
	}
	if !all.Covers(r.Need) {
		return
	}
	slices.SortFunc(x.Releases, func(a, b Release) int { return cmp.Compare(a.At, b.At) })
	free, at := x.Free, now
	for i := 0; ; i++ {
		for n := 0; n < r.Tasks && free.Covers(r.Need); n++ {
			free = free.Plus(r.Need.Times(-1))
			if !w.add(place{at, x.ID}) {
				return
			}
		}
		if i == len(x.Releases) || x.Releases[i].At.After(limit) {
			return
		}
		at = max(at, x.Releases[i].At)
		free = free.Plus(x.Releases[i].Room)
	}
}

// add adds a place and keeps the earliest ones, as many as the request has tasks. It returns false if the place is not
// among them.
func (w *wait) add(p place) bool {
	i, _ := slices.BinarySearchFunc(w.found, p, func(a, b place) int {
		if a.at <= b.at {
			return -1
		}
		return 1
	})
	if i >= w.request.Tasks {
		return false
	}
	w.found = slices.Insert(w.found, i, p)
	w.found = w.found[:min(len(w.found), w.request.Tasks)]
	return true
}

// reserve reserves the places that the search has found, if they are enough.
func (p *Planner) reserve(now tick.Time, w *wait) []Reservation {
	r, found := w.request, w.found
	w.restart()
	if len(found) < r.Tasks || r.Tasks == 0 {
		return nil
	}
	roomAt := max(now, found[len(found)-1].at)
	margin := time.Duration(marginShare * float64(roomAt.Sub(now)))
	margin = min(maxMargin, max(minMargin, margin))
	var out []Reservation
	for _, f := range found {
		if v := p.reservations[f.executor]; v != nil {
			v.need = v.need.Plus(r.Need)
			continue
		}
		p.reservations[f.executor] = &Reservation{
			Step: r.Step, Executor: f.executor, RoomAt: roomAt,
			priority: r.Priority, need: r.Need, expiresAt: roomAt.Add(margin),
		}
		w.reserved = append(w.reserved, f.executor)
	}
	for _, id := range w.reserved {
		out = append(out, *p.reservations[id])
	}
	return out
}

// Admits reports whether the reservations permit a task to start on the executor, which describe describes.
func (p *Planner) Admits(now tick.Time, executor string, c Claim, describe func() Executor) bool {
	v := p.reservations[executor]
	if v == nil || v.Step == c.Step || c.Priority < v.priority {
		return true
	}
	if c.EndsAt != 0 && !c.EndsAt.After(v.RoomAt) {
		return true
	}
	x := describe()
	room := x.Free.Plus(c.Need.Times(-1))
	for _, e := range x.Releases {
		if !e.At.After(v.RoomAt) {
			room = room.Plus(e.Room)
		}
	}
	if room.coversRoom(v.need) {
		return true
	}
	return p.isDelayedTooLong(now, c.Step) && (c.IsLongRunning || !p.hasPrecedence(now, v.Step))
}

// isDelayedTooLong notes that a reservation keeps the step from starting, and reports whether reservations have done so
// for maxDelay.
func (p *Planner) isDelayedTooLong(now tick.Time, s Step) bool {
	d, ok := p.delayed[s]
	if !ok && len(p.delayed) == maxDelayed {
		return false
	}
	if !ok || now.Sub(d.last) > maxDelayGap {
		d.since = now
	}
	d.last = now
	p.delayed[s] = d
	return now.Sub(d.since) >= maxDelay
}

// hasPrecedence reports whether the step has waited longer than its patience, and longest among the holders of
// reservations in its pool that have.
func (p *Planner) hasPrecedence(now tick.Time, s Step) bool {
	w := p.waits[s]
	if w == nil || !w.isPatienceOver(now) {
		return false
	}
	for _, o := range p.waits {
		isOtherHolder := o != w && o.request.Pool == w.request.Pool && len(o.reserved) > 0 && o.isPatienceOver(now)
		if isOtherHolder && o.isBefore(w) {
			return false
		}
	}
	return true
}

func (w *wait) isPatienceOver(now tick.Time) bool {
	return now.Sub(w.request.Since) >= min(maxPatience, w.request.Patience)
}

// isBefore orders waiting steps by the time since when they wait.
func (w *wait) isBefore(o *wait) bool {
	if w.request.Since != o.request.Since {
		return w.request.Since.Before(o.request.Since)
	}
	return w.request.Step.Job < o.request.Step.Job
}
