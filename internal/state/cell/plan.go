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
	out = append(out, c.placeWaiting(now, p, limits.MaxStarts)...)
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
		out = append(out, c.startTasks(now, p, s, remaining)...)
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

const (
	// stopRetryPause is the pause between two orders to stop the same run.
	stopRetryPause = 600 * time.Millisecond
	// startConfirmTimeout is how long an unconfirmed start may remain so before the run is stopped. Until then a list may
	// confirm it.
	startConfirmTimeout = 400 * time.Millisecond
)

// appendStopOrders appends the orders to stop runs that are marked for stopping, unconfirmed for too long, or orphaned.
func (c *Cell) appendStopOrders(now tick.Time, out []Order) []Order {
	for r := range c.stopping {
		if !r.isMarkedForStopping && !r.isStartUnconfirmed {
			delete(c.stopping, r)
			continue
		}
		isDue := r.isMarkedForStopping || now.Sub(r.startedAt) > startConfirmTimeout
		isSent := r.stopSentAt != 0 && now.Sub(r.stopSentAt) < stopRetryPause
		if isDue && !isSent && r.exec.hasResponded {
			r.stopSentAt = now
			out = append(out, c.stopOrder(r.exec, r.id))
		}
	}
	for _, x := range c.execs {
		for id, isSent := range x.orphaned {
			if !isSent && !x.isTerminated {
				x.orphaned[id] = true
				out = append(out, c.stopOrder(x, id))
			}
		}
	}
	return out
}

func (c *Cell) stopOrder(x *executor, id orders.Run) Order {
	c.emit(Event{Name: "stop", Task: id.Task, Run: id.Number, Executor: x.entry.ID})
	return Order{Target: x.target(), Stop: &orders.Stop{Run: id, Epoch: c.epoch}}
}

// drainReserve is the part of a draining executor's remaining time that is reserved for stops and their checkpoints.
const drainReserve = 500 * time.Millisecond

// stopDraining stops the runs that will not be done before their executor leaves.
func (c *Cell) stopDraining(now tick.Time) {
	for _, x := range c.execs {
		if !x.entry.Draining || x.isTerminated {
			continue
		}
		left := x.drainDeadline.Sub(now) - drainReserve - c.params.StopTimeout
		for _, r := range x.runs {
			if r.task.step.pb.LongRunning || c.remainingTime(r) > left {
				c.markForStopping(r)
			}
		}
	}
}

// remainingTime estimates the remaining duration of a run.
func (c *Cell) remainingTime(r *run) time.Duration {
	estimate := float64(r.task.step.pb.EstimateMs) * c.durations.ratioOf(r.task.step.job.pb.Queue)
	return time.Duration(estimate*float64(100-r.percent)/100) * time.Millisecond
}

const (
	// stallTimeout is how long a run may make no progress before it is moved.
	stallTimeout = 1800 * time.Millisecond
	// quarantineAfterStall is the quarantine of an executor on which a run has stalled.
	quarantineAfterStall = 4 * time.Second
	// stallEstimateShare is the share of its estimate for which a run may make no progress, if that is longer than
	// stallTimeout. It allows for tasks that report progress in large steps.
	stallEstimateShare = 0.25
)

// stopStalled stops the stalled runs of an executor that has just sent a list, so that they resume elsewhere.
func (c *Cell) stopStalled(now tick.Time, x *executor) {
	for _, r := range x.runs {
		if isStalled(r) {
			c.markForStopping(r)
			x.quarantine(now, quarantineAfterStall)
			c.emit(Event{Name: "run-stalled", Task: r.id.Task, Run: r.id.Number, Executor: x.entry.ID})
		}
	}
}

func isStalled(r *run) bool {
	s := r.task.step.pb
	if r.isMarkedForStopping || r.firstListedAt == 0 || r.pace < fullPacePercent || s.LongRunning || s.Gang {
		return false
	}
	timeout := max(stallTimeout, time.Duration(stallEstimateShare*float64(s.EstimateMs))*time.Millisecond)
	// Only lists report progress, so time without a response from the executor does not count.
	return r.exec.lastResponseAt.Sub(r.progressAt) > timeout
}
