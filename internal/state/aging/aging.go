// Package aging decides when a waiting job moves up within its priority. Jobs are ordered by their lateness and their
// remaining work, so that large ones, and those that are late after an overload, could wait without a bound.
//
// A large job moves up while large jobs are started too rarely compared with the others. Other jobs move up at a low
// rate, since moving up all jobs that are late would make every job late under overload.
//
// # Usage
//
//	b := aging.New()
//	isLarge := b.Arrived(now, priority, work)
//	b.Started(now, priority, isLarge)
//	if b.MayMoveUp(now, priority, isLarge, relativeWait) { b.MovedUp(now, priority) }
package aging

import (
	"math"
	"time"

	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// largeFactor is the work from which a job is large, as a multiple of the mean work.
	largeFactor = 4
	// newestJobWeight is the weight of the newest job in the moving average of the work.
	newestJobWeight = 0.02
	// minServedRatio is the lowest share of large jobs that are started, relative to that of the other jobs.
	minServedRatio = 0.5
	// halfLife is the time after which a job counts half.
	halfLife = 30 * time.Second
	// largeWait and otherWait are the waits from which a large job and another one may move up, as multiples of the job's
	// latency target.
	largeWait = 1
	otherWait = 2
	// otherInterval is the shortest time between two moves of jobs that are not large, or not behind. At tens of starts a
	// second, this is a few percent of them.
	otherInterval = 500 * time.Millisecond
	// maxPriorities bounds the priorities that are distinguished.
	maxPriorities = 64
)

// Balance counts the jobs that have arrived and started.
type Balance struct {
	classes map[int]*class
}

// class has the jobs of one priority.
type class struct {
	meanWork float64
	// large and rest count the large jobs and the others.
	large, rest counts
	countedAt   tick.Time
	// movedUpAt is when a job was last moved up.
	movedUpAt tick.Time
}

// counts are numbers of jobs, of which older ones count less.
type counts struct {
	arrived, started float64
}

// New returns an empty Balance.
func New() *Balance { return &Balance{classes: map[int]*class{}} }

// Arrived counts a job that begins to wait. It returns whether the job is large. The unit of the work is arbitrary.
func (b *Balance) Arrived(now tick.Time, priority int, work float64) bool {
	c, ok := b.classes[priority]
	switch {
	case !ok && len(b.classes) == maxPriorities:
		return false
	case !ok:
		c = &class{meanWork: work, countedAt: now}
		b.classes[priority] = c
	}
	isLarge := work >= largeFactor*c.meanWork && work > 0
	c.meanWork += newestJobWeight * (work - c.meanWork)
	c.decay(now)
	c.countsOf(isLarge).arrived++
	return isLarge
}

// Started counts the start of a job that was counted by Arrived.
func (b *Balance) Started(now tick.Time, priority int, isLarge bool) {
	if c, ok := b.classes[priority]; ok {
		c.decay(now)
		c.countsOf(isLarge).started++
	}
}

// MayMoveUp reports whether a job may move up now that has waited for the given multiple of its latency target.
func (b *Balance) MayMoveUp(now tick.Time, priority int, isLarge bool, relativeWait float64) bool {
	if isLarge && relativeWait >= largeWait && b.IsBehind(priority) {
		return true
	}
	c, ok := b.classes[priority]
	return ok && relativeWait >= otherWait && now.Sub(c.movedUpAt) >= otherInterval
}

// MovedUp notes that a job of the priority moves up.
func (b *Balance) MovedUp(now tick.Time, priority int) {
	if c, ok := b.classes[priority]; ok {
		c.movedUpAt = now
	}
}

// IsBehind reports whether large jobs of the priority are started less than minServedRatio times as often as others.
func (b *Balance) IsBehind(priority int) bool {
	c, ok := b.classes[priority]
	return ok && c.large.started*c.rest.arrived < minServedRatio*c.rest.started*c.large.arrived
}

func (c *class) countsOf(isLarge bool) *counts {
	if isLarge {
		return &c.large
	}
	return &c.rest
}

// decay reduces the counts by the time since they were last reduced.
func (c *class) decay(now tick.Time) {
	f := math.Exp2(-float64(now.Sub(c.countedAt)) / float64(halfLife))
	c.countedAt = now
	for _, k := range []*counts{&c.large, &c.rest} {
		k.arrived *= f
		k.started *= f
	}
}
