package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

// Allowance is what a plan may do.
type Allowance struct {
	// MaxStarts bounds the starts.
	MaxStarts int
	// IsSole means that no other lead can have taken over. Otherwise another may know what became of a run whose lease
	// has lapsed here, so that it is not started again.
	IsSole bool
}

// Plan returns the orders to send now. It takes what they start, stop or pace as under way.
func (c *Cell) Plan(now tick.Time, wallMS int64, a Allowance) []Order {
	if a.IsSole {
		c.lapse(now)
	}
	c.settle(now)
	for _, j := range c.active {
		j.due(wallMS)
	}
	if c.isFenced {
		return nil
	}
	c.clearDraining(now)
	p := c.newPlacement(now)
	out := c.steer(now, p, nil)
	out = append(out, c.starts(now, p, a.MaxStarts)...)
	return c.stops(now, out)
}

// urgency orders jobs that wait: lower values first. It answers a load beyond the room, when not every job can be done
// in time: within a priority those that still can come first, and of these the ones that are soonest done, so that the
// most callers get their results in time. Orders by the least slack finish every job a little late under such a load.
type urgency struct {
	priority  int
	lateness  int
	remaining time.Duration
}

// The classes of lateness. Tasks that run until they are cancelled come after those that soon give their room back, but
// before jobs that are worth nothing any more.
const (
	onTime = iota
	late
	lasting
	tooLate
)

// tooLateFactor is how many times its objective a job may take before its completion is worth nothing.
const tooLateFactor = 3

func (c *Cell) urgencyOf(now tick.Time, j *job) urgency {
	ratio := c.pace.of(j.pb.Queue)
	chain := time.Duration(float64(j.chain) * ratio)
	objective := time.Duration(float64(chain)*j.queue.StretchFactor) + time.Duration(j.queue.TargetMS)*time.Millisecond
	left := time.Duration(float64(j.remainingChain()) * ratio)
	slack := j.accepted.Add(objective).Sub(now) - left
	u := urgency{priority: j.queue.Priority, remaining: left}
	switch {
	case j.isLasting():
		u.lateness = lasting
	case j.pb.RepeatCount > 0:
	case slack < -objective*(tooLateFactor-1):
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

// isLasting reports whether the job has tasks that run until it is cancelled.
func (j *job) isLasting() bool {
	for _, s := range j.pb.Steps {
		if s.LongRunning {
			return true
		}
	}
	return false
}

// remainingChain estimates the longest chain of the steps that are not done, in the oldest open occurrence.
func (j *job) remainingChain() time.Duration {
	for _, o := range j.occurrences {
		if o.left == 0 {
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
			if s.left > 0 {
				ends[i] += time.Duration(s.pb.EstimateMs) * time.Millisecond
			}
			longest = max(longest, ends[i])
		}
		return longest
	}
	return j.chain
}

// waitingSteps returns the open steps with tasks to start, the most urgent jobs first.
func (c *Cell) waitingSteps(now tick.Time) []*step {
	type entry struct {
		urgency urgency
		steps   []*step
	}
	var entries []entry
	for _, j := range c.active {
		if c.inherits && j.isInherited {
			continue
		}
		var steps []*step
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.idle > 0 && s.isOpen() {
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

// starts places waiting tasks.
func (c *Cell) starts(now tick.Time, p *placement, maxStarts int) []Order {
	steps := c.waitingSteps(now)
	var out []Order
	for _, s := range steps {
		room := maxStarts - len(out)
		if room <= 0 {
			break
		}
		if s.pb.Gang {
			out = append(out, c.startGang(now, p, s)...)
			continue
		}
		out = append(out, c.startTasks(now, p, s, room)...)
	}
	return out
}

func (c *Cell) startTasks(now tick.Time, p *placement, s *step, room int) []Order {
	var out []Order
	places := p.candidates(s)
	for _, t := range s.tasks {
		if len(out) == room || len(places.list) == 0 {
			break
		}
		if !t.mayStart(now) {
			continue
		}
		x := places.best(t)
		if x == nil {
			continue
		}
		if !c.mayBegin(s.job) {
			break
		}
		out = append(out, c.start(now, t, x, c.nextNumber(t)))
		places.update(x)
	}
	return out
}

// start begins a run and returns the order for it.
func (c *Cell) start(now tick.Time, t *task, x *executor, number uint64) Order {
	r := c.begin(now, t, x, number)
	if t.step.pb.Fills {
		x.noFillUntil = max(x.noFillUntil, now.Add(fillPause))
	}
	c.note(Event{Name: "start", Task: t.id, Run: number, Executor: x.entry.ID})
	return Order{Target: x.target(), Start: &orders.Start{
		Run: r.id, Spec: t.step.job.pb.Spec, Checkpoint: t.checkpoint, DeadlineMS: c.extend(now, x), Epoch: c.epoch,
		Ticket: t.step.ticketFor(x),
	}}
}

// startGang starts all tasks of a gang together, or none.
func (c *Cell) startGang(now tick.Time, p *placement, s *step) []Order {
	if s.idle < s.left {
		return nil
	}
	var placed []*executor
	places := p.candidates(s)
	for _, t := range s.tasks {
		if !t.mayStart(now) {
			break
		}
		x := places.best(t)
		if x == nil {
			break
		}
		// The room is taken at once, so that the next member is placed beside this one.
		c.begin(now, t, x, 0)
		places.update(x)
		placed = append(placed, x)
	}
	for _, t := range s.tasks[:len(placed)] {
		c.withdraw(t.run)
	}
	if len(placed) < len(s.tasks) || !c.mayBegin(s.job) {
		return nil
	}
	number := uint64(0)
	for _, t := range s.tasks {
		number = max(number, c.nextNumber(t))
	}
	var out []Order
	for i, t := range s.tasks {
		out = append(out, c.start(now, t, placed[i], number))
	}
	return out
}

// withdraw takes back a run of which no order was sent.
func (c *Cell) withdraw(r *run) {
	r.exec.remove(r)
	r.task.run = nil
	r.task.step.idle++
}

const (
	// stopRetry is the pause between two orders to stop the same run.
	stopRetry = 600 * time.Millisecond
	// doubtPatience is how long a list may confirm a start without an answer before the run is stopped.
	doubtPatience = 400 * time.Millisecond
)

// stops appends the orders to stop what must end.
func (c *Cell) stops(now tick.Time, out []Order) []Order {
	for r := range c.stopping {
		if !r.isUnwanted && !r.isDoubtful {
			delete(c.stopping, r)
			continue
		}
		isDue := r.isUnwanted || now.Sub(r.startedAt) > doubtPatience
		isSent := r.stopSentAt != 0 && now.Sub(r.stopSentAt) < stopRetry
		if isDue && !isSent && r.exec.isHeard {
			r.stopSentAt = now
			out = append(out, c.stop(r.exec, r.id))
		}
	}
	for _, x := range c.execs {
		for id, isSent := range x.surplus {
			if !isSent && !x.isDead {
				x.surplus[id] = true
				out = append(out, c.stop(x, id))
			}
		}
	}
	return out
}

func (c *Cell) stop(x *executor, id orders.Run) Order {
	c.note(Event{Name: "stop", Task: id.Task, Run: id.Number, Executor: x.entry.ID})
	return Order{Target: x.target(), Stop: &orders.Stop{Run: id, Epoch: c.epoch}}
}

// drainReserve is kept of a leaving executor's time for stops and their checkpoints.
const drainReserve = 500 * time.Millisecond

// clearDraining stops the runs that will not be done when their executor leaves.
func (c *Cell) clearDraining(now tick.Time) {
	for _, x := range c.execs {
		if !x.entry.Draining || x.isDead {
			continue
		}
		left := x.drainBy.Sub(now) - drainReserve - c.params.StopTimeout
		for _, r := range x.runs {
			if r.task.step.pb.LongRunning || c.remaining(r) > left {
				c.unwant(r)
			}
		}
	}
}

// remaining estimates how long a run still takes.
func (c *Cell) remaining(r *run) time.Duration {
	estimate := float64(r.task.step.pb.EstimateMs) * c.pace.of(r.task.step.job.pb.Queue)
	return time.Duration(estimate*float64(100-r.percent)/100) * time.Millisecond
}

const (
	// stallPatience is how long a run may show no progress before it is moved.
	stallPatience = 1800 * time.Millisecond
	// avoidAfterStall is how long an executor is left alone on which runs stand still.
	avoidAfterStall = 4 * time.Second
	// stallShare is the share of a run's estimate that it may go without progress, for runs of coarse progress.
	stallShare = 0.25
)

// clearStalled stops the runs of a fresh list that make no progress, so that they resume elsewhere.
func (c *Cell) clearStalled(now tick.Time, x *executor) {
	for _, r := range x.runs {
		if isStalled(r) {
			c.unwant(r)
			x.avoid(now, avoidAfterStall)
			c.note(Event{Name: "run-stalled", Task: r.id.Task, Run: r.id.Number, Executor: x.entry.ID})
		}
	}
}

func isStalled(r *run) bool {
	s := r.task.step.pb
	if r.isUnwanted || r.firstAt == 0 || r.pace < fullPace || s.LongRunning || s.Gang {
		return false
	}
	patience := max(stallPatience, time.Duration(stallShare*float64(s.EstimateMs))*time.Millisecond)
	// Only lists show progress, so silence of the executor is no standstill.
	return r.exec.heardAt.Sub(r.percentAt) > patience
}
