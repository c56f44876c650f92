package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/ibischute/ibischute/pkg/tick"
)

// PlanLimits limits what a plan may do.
type PlanLimits struct {
	// MaxStarts bounds the number of start orders.
	MaxStarts int
	// IsSoleLeader is true if no other leader can have taken over. Otherwise another leader may know the outcome of a run
	// whose lease has expired here, so that its task must not be started again.
	IsSoleLeader bool
	// IsStoreStalled is true while the store takes no records. Then only tasks start whose executor is recorded already.
	IsStoreStalled bool
}

// Plan returns the orders to send now. It assumes that the starts, stops and pace changes will be carried out until a
// reply says otherwise.
func (c *Cell) Plan(now tick.Time, wallMS int64, limits PlanLimits) []Order {
	if limits.IsSoleLeader {
		c.releaseExpired(now)
	}
	c.completeTakeover(now)
	c.judgeCrashes(now)
	for _, j := range c.active {
		j.materializeDue(wallMS)
	}
	if c.isFenced {
		return nil
	}
	c.updateTrials(now)
	c.withdrawUnfit(now)
	if limits.IsStoreStalled {
		c.withdrawUnbatched()
	}
	c.stopDraining(now)
	p := c.newPass(now)
	c.beginLookAhead(now)
	out := c.adjustPaces(now, p, nil)
	if limits.IsStoreStalled {
		c.placeRecorded(now, p)
	} else {
		c.finishMoves(now, p, c.placements.room(highestPriority))
		mayMove := limits.MaxStarts > 0 && c.isMoveSearchDue(now)
		if mayMove && c.mayMoveLongRunning(now) {
			// Long-running tasks come first, as waiting tasks would take all room on a full fleet.
			c.planMoves(now, p, true)
		}
		c.placeWaiting(now, p)
		if mayMove {
			c.planMoves(now, p, false)
		}
	}
	started := c.startRecorded(now, limits.MaxStarts)
	if len(started) < limits.MaxStarts && !limits.IsStoreStalled {
		c.moveFromSlow(now, p)
	}
	return c.appendStopOrders(now, append(out, started...))
}

// urgency orders waiting jobs, lower values first. It is designed for overload, when not every job can be done in time:
// within a priority, jobs that can still be in time come first, and of these the ones with the least remaining work, so
// that as many jobs as possible are done in time. Under overload, ordering by least slack would finish every job a
// little late.
type urgency struct {
	priority int
	// isMovedUp is true for the job that comes first within its priority because it has waited long.
	isMovedUp bool
	lateness  int
	remaining time.Duration
}

// The classes of lateness. Long-running tasks come after tasks that release their resources soon, but before jobs whose
// completion no longer has any value.
const (
	onTime = iota
	late
	longRunning
	tooLate
)

// tooLateFactor is the multiple of a job's latency target after which its completion no longer has any value.
const tooLateFactor = 3

func (c *Cell) urgencyOf(now tick.Time, j *job) urgency {
	// The ratio of the whole queue keeps the order of its jobs. With ratios of their own, jobs that turn out long would
	// fall behind new ones in the middle of their work, and more jobs would end late.
	ratio := c.durations.Mean(j.pb.Queue)
	latencyTarget := c.latencyTargetOf(j)
	left := time.Duration(float64(j.remainingCriticalPath()) * ratio)
	slack := j.acceptedAt.Add(latencyTarget).Sub(now) - left
	u := urgency{priority: j.queue.Priority, remaining: left}
	switch {
	case j.isLongRunning():
		u.lateness = longRunning
	case j.pb.RepeatCount > 0:
		// The slack is relative to the acceptance of the job, which says nothing about occurrences that are due later.
	case slack < -latencyTarget*(tooLateFactor-1):
		u.lateness = tooLate
	case slack < 0:
		u.lateness = late
	}
	return u
}

// latencyTargetOf returns the time from the acceptance of a job within which it should be done.
func (c *Cell) latencyTargetOf(j *job) time.Duration {
	criticalPath := time.Duration(float64(j.criticalPath) * c.durations.Mean(j.pb.Queue))
	return time.Duration(float64(criticalPath)*j.queue.StretchFactor) + time.Duration(j.queue.TargetMS)*time.Millisecond
}

func (u urgency) compare(v urgency) int {
	if u.priority == v.priority && u.isMovedUp != v.isMovedUp {
		if u.isMovedUp {
			return -1
		}
		return 1
	}
	switch {
	case u.priority != v.priority:
		return cmp.Compare(u.priority, v.priority)
	case u.lateness != v.lateness:
		return cmp.Compare(u.lateness, v.lateness)
	}
	return cmp.Compare(u.remaining, v.remaining)
}

// isLongRunning reports whether the job has tasks that run until it is cancelled.
func (j *job) isLongRunning() bool {
	for _, s := range j.pb.Steps {
		if s.LongRunning {
			return true
		}
	}
	return false
}

// stepsOfMostJobs is the number of steps that few jobs exceed.
const stepsOfMostJobs = 16

// remainingCriticalPath estimates the duration of the longest chain of unfinished steps in the oldest unfinished
// occurrence.
func (j *job) remainingCriticalPath() time.Duration {
	for _, o := range j.occurrences {
		if o.unfinished == 0 {
			continue
		}
		var few [stepsOfMostJobs]time.Duration
		ends := few[:]
		if len(o.steps) > len(few) {
			ends = make([]time.Duration, len(o.steps))
		}
		longest := time.Duration(0)
		for i, s := range o.steps {
			for _, d := range s.pb.DependsOn {
				if int(d) < i {
					ends[i] = max(ends[i], ends[d])
				}
			}
			if s.unfinished > 0 {
				ends[i] += time.Duration(s.pb.EstimateMs) * time.Millisecond
			}
			longest = max(longest, ends[i])
		}
		return longest
	}
	return j.criticalPath
}

// waitingSteps returns the ready steps with waiting tasks, those of the most urgent jobs first. The result is valid
// until the next call.
func (c *Cell) waitingSteps(now tick.Time) []*step {
	w := &c.waiting
	w.jobs, w.steps, w.ordered = w.jobs[:0], w.steps[:0], w.ordered[:0]
	for _, j := range c.active {
		if c.isTakingOver && j.isInherited {
			continue
		}
		first := len(w.steps)
		w.steps = j.appendWaitingSteps(now, w.steps)
		steps := w.steps[first:]
		j.updateIdle(now, len(steps) > 0)
		if len(steps) > 0 {
			c.countWaiting(now, j)
			w.jobs = append(w.jobs, waitingJob{j, c.urgencyOf(now, j), steps, len(w.jobs)})
		}
	}
	c.moveUpAged(now, w.jobs)
	slices.SortFunc(w.jobs, func(a, b waitingJob) int {
		if n := a.urgency.compare(b.urgency); n != 0 {
			return n
		}
		return cmp.Compare(a.place, b.place)
	})
	for _, e := range w.jobs {
		w.ordered = append(w.ordered, e.steps...)
	}
	return w.ordered
}

// appendWaitingSteps appends the ready steps of the job with waiting tasks.
func (j *job) appendWaitingSteps(now tick.Time, steps []*step) []*step {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.waiting == 0 || !s.isReady() {
				continue
			}
			if s.readyAt == 0 {
				s.readyAt = now
			}
			steps = append(steps, s)
		}
	}
	return steps
}

// placeWaiting places waiting tasks, as many as the limit of placed runs permits and the rest of a gang.
func (c *Cell) placeWaiting(now tick.Time, p *pass) {
	c.evacuation.isShortOfRoom = false
	for _, s := range c.waitingSteps(now) {
		limit := c.placements.room(s.job.queue.Priority)
		if limit <= 0 {
			return
		}
		if s.pb.Gang {
			c.placeGang(now, p, s)
			continue
		}
		placed := c.placeTasks(now, p, s, limit)
		if placed == 0 && s.pb.Fills && s.job.isOverdue(now) {
			c.placeOverdue(now, p, s)
		}
	}
}

// placeTasks places tasks of the step and returns their number.
func (c *Cell) placeTasks(now tick.Time, p *pass, s *step, limit int) int {
	n := 0
	cands := p.candidates(s)
	for _, t := range s.tasks {
		if n == limit || len(cands.list) == 0 {
			break
		}
		if !t.isStartable(now) {
			continue
		}
		x := cands.best(t)
		if x == nil || c.defersSlow(now, s, x) {
			continue
		}
		c.placeRun(now, t, x, c.nextRunNumber(t))
		n++
		cands.update(x)
	}
	if n < limit && len(cands.list) == 0 && s.firstStartable(now) != nil {
		c.evacuation.isShortOfRoom = c.evacuation.isShortOfRoom || !s.pb.Fills && !s.pb.LongRunning
		c.awaitRoom(now, p, s)
	}
	return n
}

// placeGang places all tasks of a gang, or none, and returns their number.
func (c *Cell) placeGang(now tick.Time, p *pass, s *step) int {
	if s.waiting < s.unfinished {
		return 0
	}
	var targets []*executor
	lacksRoom := false
	cands := p.candidates(s)
	for _, t := range s.tasks {
		if !t.isStartable(now) {
			break
		}
		x := cands.best(t)
		if x == nil {
			lacksRoom = len(cands.list) == 0
			break
		}
		// The run takes its resources at once, so that the search for the next member accounts for it.
		c.createRun(now, t, x, 0)
		cands.update(x)
		targets = append(targets, x)
	}
	for _, t := range s.tasks[:len(targets)] {
		c.detachRun(t.run)
	}
	if lacksRoom {
		c.awaitRoom(now, p, s)
	}
	if len(targets) < len(s.tasks) {
		return 0
	}
	number := uint64(0)
	for _, t := range s.tasks {
		number = max(number, c.nextRunNumber(t))
	}
	for i, t := range s.tasks {
		c.placeRun(now, t, targets[i], number)
	}
	return len(targets)
}
