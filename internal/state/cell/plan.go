package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

// PlanLimits limits what a plan may do.
type PlanLimits struct {
	// MaxStarts bounds the number of starts.
	MaxStarts int
	// IsSoleLeader is true if no other leader can have taken over. Otherwise another leader may know the outcome of a run
	// whose lease has expired here, so that its task must not be started again.
	IsSoleLeader bool
}

// Plan returns the orders to send now. It assumes that the starts, stops and pace changes will be carried out until a
// reply says otherwise.
func (c *Cell) Plan(now tick.Time, wallMS int64, limits PlanLimits) []Order {
	if limits.IsSoleLeader {
		c.releaseExpired(now)
	}
	c.completeTakeover(now)
	for _, j := range c.active {
		j.materializeDue(wallMS)
	}
	if c.isFenced {
		return nil
	}
	c.stopDraining(now)
	p := c.newPlacement(now)
	out := c.adjustPaces(now, p, nil)
	moved := c.finishMoves(now, p, limits.MaxStarts)
	out = append(out, moved...)
	mayMove := limits.MaxStarts > len(moved) && c.isMoveSearchDue(now)
	if mayMove {
		// Before waiting tasks take the room: under a load that fills the other domains, none would be left later.
		c.planMoves(now, p, true)
	}
	out = append(out, c.placeWaiting(now, p, limits.MaxStarts-len(moved))...)
	if mayMove {
		c.planMoves(now, p, false)
	}
	return c.appendStopOrders(now, out)
}

// urgency orders waiting jobs, lower values first. It is designed for overload, when not every job can be done in time:
// within a priority, jobs that can still be in time come first, and of these the ones with the least remaining work, so
// that as many jobs as possible are done in time. Under overload, ordering by least slack would finish every job a
// little late.
type urgency struct {
	priority  int
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
	ratio := c.durations.ratioOf(j.pb.Queue)
	criticalPath := time.Duration(float64(j.criticalPath) * ratio)
	latencyTarget := time.Duration(float64(criticalPath)*j.queue.StretchFactor) +
		time.Duration(j.queue.TargetMS)*time.Millisecond
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

func (u urgency) compare(v urgency) int {
	return cmp.Or(
		cmp.Compare(u.priority, v.priority), cmp.Compare(u.lateness, v.lateness), cmp.Compare(u.remaining, v.remaining),
	)
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

// remainingCriticalPath estimates the duration of the longest chain of unfinished steps in the oldest unfinished
// occurrence.
func (j *job) remainingCriticalPath() time.Duration {
	for _, o := range j.occurrences {
		if o.unfinished == 0 {
			continue
		}
		ends := make([]time.Duration, len(o.steps))
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

// waitingSteps returns the ready steps with waiting tasks, those of the most urgent jobs first.
func (c *Cell) waitingSteps(now tick.Time) []*step {
	type entry struct {
		urgency urgency
		steps   []*step
	}
	var entries []entry
	for _, j := range c.active {
		if c.isTakingOver && j.isInherited {
			continue
		}
		var steps []*step
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.waiting > 0 && s.isReady() {
					steps = append(steps, s)
				}
			}
		}
		j.updateIdle(now, len(steps) > 0)
		if len(steps) > 0 {
			entries = append(entries, entry{c.urgencyOf(now, j), steps})
		}
	}
	slices.SortStableFunc(entries, func(a, b entry) int { return a.urgency.compare(b.urgency) })
	var out []*step
	for _, e := range entries {
		out = append(out, e.steps...)
	}
	return out
}

// placeWaiting places waiting tasks and returns the orders to start them.
func (c *Cell) placeWaiting(now tick.Time, p *placement, maxStarts int) []Order {
	steps := c.waitingSteps(now)
	var out []Order
	for _, s := range steps {
		remaining := maxStarts - len(out)
		if remaining <= 0 {
			break
		}
		if s.pb.Gang {
			out = append(out, c.startGang(now, p, s)...)
			continue
		}
		started := c.startTasks(now, p, s, remaining)
		if len(started) == 0 && s.pb.Fills && s.job.isOverdue(now) {
			started = c.startOverdue(now, p, s)
		}
		out = append(out, started...)
	}
	return out
}

func (c *Cell) startTasks(now tick.Time, p *placement, s *step, maxStarts int) []Order {
	var out []Order
	cands := p.candidates(s)
	for _, t := range s.tasks {
		if len(out) == maxStarts || len(cands.list) == 0 {
			break
		}
		if !t.isStartable(now) {
			continue
		}
		x := cands.best(t)
		if x == nil {
			continue
		}
		if !c.ensureStartRecorded(s.job) {
			break
		}
		out = append(out, c.startRun(now, t, x, c.nextRunNumber(t)))
		cands.update(x)
	}
	return out
}

// startRun creates a run and returns the order to start it.
func (c *Cell) startRun(now tick.Time, t *task, x *executor, number uint64) Order {
	r := c.createRun(now, t, x, number)
	if t.step.pb.Fills {
		x.noBestEffortUntil = max(x.noBestEffortUntil, now.Add(bestEffortStartInterval))
	}
	c.emit(Event{Name: "start", Task: t.id, Run: number, Executor: x.entry.ID})
	return Order{Target: x.target(), Start: &orders.Start{
		Run: r.id, Spec: t.step.job.pb.Spec, Checkpoint: t.checkpoint, DeadlineMS: c.extendLease(now, x), Epoch: c.epoch,
		Ticket: t.step.ticketFor(x),
	}}
}

// startGang starts all tasks of a gang together, or none.
func (c *Cell) startGang(now tick.Time, p *placement, s *step) []Order {
	if s.waiting < s.unfinished {
		return nil
	}
	var placed []*executor
	cands := p.candidates(s)
	for _, t := range s.tasks {
		if !t.isStartable(now) {
			break
		}
		x := cands.best(t)
		if x == nil {
			break
		}
		// The resources are reserved at once, so that the placement of the next member accounts for this one.
		c.createRun(now, t, x, 0)
		cands.update(x)
		placed = append(placed, x)
	}
	for _, t := range s.tasks[:len(placed)] {
		c.withdrawRun(t.run)
	}
	if len(placed) < len(s.tasks) || !c.ensureStartRecorded(s.job) {
		return nil
	}
	number := uint64(0)
	for _, t := range s.tasks {
		number = max(number, c.nextRunNumber(t))
	}
	var out []Order
	for i, t := range s.tasks {
		out = append(out, c.startRun(now, t, placed[i], number))
	}
	return out
}

// withdrawRun removes a run for which no order was sent.
func (c *Cell) withdrawRun(r *run) {
	r.exec.removeRun(r)
	r.task.run = nil
	r.task.step.waiting++
}
