package cell

import (
	"fmt"
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/state/speed"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// costSlow is the cost of an executor that is rated slow. It outweighs every other cost.
	costSlow = 2000
	// maxSlowDeferral is how long a task may wait for room elsewhere while a slow executor has room. It is a third of the
	// time for which a preference may delay a due task, since other preferences may delay the task too.
	maxSlowDeferral = 500 * time.Millisecond
	// longestQuantile is the quantile of durations that hardly any task exceeds, minDurationSamples the number of samples
	// of a queue from which it is known.
	longestQuantile    = 0.95
	minDurationSamples = 30
	// maxListDelay is how late the response to a hold may be. The time of a later list is not known well enough to rate
	// the progress in it: the leader may have been paused.
	maxListDelay = 200 * time.Millisecond
	// minMoveGain is by how much a move must be faster than staying. An executor that recovers at half of the remaining
	// time then costs the run nothing.
	minMoveGain = 1.5
)

// rateRuns rates an executor by the progress of the running ones in a list that was just applied and was requested at
// sent.
func (c *Cell) rateRuns(now, sent tick.Time, h orders.Hold, x *executor, running []*run) {
	if now.Sub(sent) > h.Wait+maxListDelay {
		return
	}
	for _, r := range running {
		if !r.task.step.pb.LongRunning && !r.isMarkedForStopping {
			c.emitSpeedChange(x, c.speed.Observe(now, x.entry.ID, r.id, c.sampleOf(now, r)))
		}
	}
}

// sampleOf returns the progress of a run for its rating.
func (c *Cell) sampleOf(now tick.Time, r *run) speed.Sample {
	st := r.task.step
	s := speed.Sample{Percent: r.percent, IsResumed: r.isPartial, SteadySince: now}
	if r.pace == fullPacePercent && !r.isPaceUnconfirmed {
		s.SteadySince = 0
		if r.pacedAt != 0 {
			s.SteadySince = r.pacedAt.Add(c.params.PaceDelay)
		}
	}
	estimate, name := float64(st.estimate()), st.job.pb.Queue
	s.Typical = time.Duration(estimate * c.durations.Ratio(name, st.job.id, typicalQuantile))
	if ofQueue, _ := c.durations.Samples(name, st.job.id); ofQueue >= minDurationSamples {
		s.Longest = time.Duration(estimate * c.durations.Ratio(name, st.job.id, longestQuantile))
	}
	return s
}

func (c *Cell) emitSpeedChange(x *executor, change speed.Change) {
	switch change {
	case speed.Slow:
		c.emit(Event{
			Name: "executor-slow", Executor: x.entry.ID,
			Detail: fmt.Sprintf("%d runs, %d slow executors", len(x.runs), c.speed.Count()),
		})
	case speed.Recovered:
		c.emit(Event{Name: "executor-recovered", Executor: x.entry.ID})
	case speed.Unchanged:
	}
}

// expireSlow ends the ratings of slow executors that nothing confirms any more.
func (c *Cell) expireSlow(now tick.Time) {
	for _, id := range c.speed.Expire(now) {
		c.emit(Event{Name: "executor-recovered", Executor: id, Detail: "not confirmed"})
	}
}

// isAvoided reports whether the executor is slow and gets no run for now. If most executors are rated slow, none counts
// as slow: the cause is then not the executor.
func (c *Cell) isAvoided(now tick.Time, x *executor) bool {
	return c.isSlow(x) && !c.speed.Admits(now, x.entry.ID)
}

func (c *Cell) isSlow(x *executor) bool {
	n := c.speed.Count()
	return n > 0 && 2*n <= len(c.execs) && c.speed.IsSlow(x.entry.ID)
}

// wasMovedFrom returns a function that reports whether a task that was just moved should not start on the executor, as
// that is slow, not even as its trial.
func (c *Cell) wasMovedFrom(now tick.Time, t *task) func(x *executor) bool {
	isMoved := c.speed.Count() > 0 && !c.speed.MayMove(now, t.id)
	return func(x *executor) bool { return isMoved && c.isSlow(x) }
}

// defersSlow reports whether a task of the step should wait although the slow executor has room for it.
func (c *Cell) defersSlow(now tick.Time, s *step, x *executor) bool {
	if !c.isAvoided(now, x) {
		return false
	}
	if s.slowDeferredAt == 0 {
		s.slowDeferredAt = now
	}
	return now.Sub(s.slowDeferredAt) < maxSlowDeferral
}

// moveFromSlow marks runs on slow executors for stopping if they are certainly done sooner elsewhere, where there is
// room now.
func (c *Cell) moveFromSlow(now tick.Time, p *pass) {
	if c.params.Restore == 0 || c.speed.Count() == 0 {
		return
	}
	searches := 0
	// The random order of the map gives each executor the same chance of a search.
	for _, x := range c.execs {
		if !c.isSlow(x) || x.isTerminated || x.isUnresponsive {
			continue
		}
		for _, r := range x.runs {
			gain, ok := c.gainOfMove(now, r)
			if !ok {
				continue
			}
			if searches++; searches > maxMoveSearches {
				return
			}
			y, _ := p.candidates(r.task.step).cheapest(func(y *executor) bool {
				return !c.speed.IsSlow(y.entry.ID) && c.speed.MayUse(now, y.entry.ID) && !r.task.hasFailedOn(y)
			})
			if y == nil || !c.speed.Move(now, r.id.Task, y.entry.ID) {
				continue
			}
			c.markForStopping(r)
			c.emit(Event{
				Name: "run-moved", Task: r.id.Task, Run: r.id.Number, Executor: x.entry.ID,
				Detail: fmt.Sprintf("gain %v", inMillis(gain)),
			})
		}
	}
}

// gainOfMove returns how much sooner the run would be done elsewhere, if that is certain. It counts the stop, the
// restoring and the work since the last checkpoint that must be done again.
func (c *Cell) gainOfMove(now tick.Time, r *run) (time.Duration, bool) {
	pb := r.task.step.pb
	if c.isTakingOver && r.task.step.job.isInherited {
		// The task would not start again before the takeover ends.
		return 0, false
	}
	isMovable := pb.Checkpointing && !pb.LongRunning && !pb.Gang && !r.isMarkedForStopping && r.firstListedAt != 0
	if !isMovable || r.percent >= fullPacePercent || !c.speed.MayMove(now, r.id.Task) {
		return 0, false
	}
	here, rest, ok := c.speed.Remaining(r.id, r.percent)
	if !ok {
		return 0, false
	}
	lost := rest * time.Duration(max(0, r.percent-r.checkpointPercent)) / time.Duration(100-r.percent)
	elsewhere := c.params.StopTimeout + c.params.Restore + lost + rest
	return here - elsewhere, float64(here) > minMoveGain*float64(elsewhere)
}
