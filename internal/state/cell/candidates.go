package cell

import (
	"math"
	"slices"
	"time"

	"github.com/ibischute/ibischute/pkg/tick"
)

// candidate is an executor that can take a task of a step, with its cost.
type candidate struct {
	exec *executor
	cost float64
}

// candidates are the executors that can take tasks of one step. They are rated once for all tasks of the step; a start
// changes the rating of its executor only.
type candidates struct {
	pass *pass
	step *step
	need resources
	list []candidate
	// suspect is the task that is being placed if it may crash its executor.
	suspect *task
}

// candidates rates the executors for a step.
func (p *pass) candidates(s *step) *candidates {
	c := &candidates{pass: p, step: s, need: resourcesOf(s.pb)}
	service := s.job.queue.Service
	if p.isUnplaceable(service, c.need, s) {
		return c
	}
	p.isLimitedByReservation = false
	p.forEachWithRoom(s, c.need, bestEffortCPUBelowTargets, func(x *executor) {
		if cost, ok := p.rateExecutor(s, c.need, x); ok {
			c.list = append(c.list, candidate{x, cost})
		}
	})
	// The result applies to other steps unless it may be due to this step's tickets, to its anti-affinity, to
	// reservations, or to the resources that earlier members of its gang hold temporarily.
	isReusable := s.advice == nil && s.pb.MaxPerExecutor == 0 && !s.pb.Gang && !p.isLimitedByReservation
	if len(c.list) == 0 && isReusable && len(p.unplaceable[service]) < maxUnplaceable {
		p.unplaceable[service] = append(p.unplaceable[service], requestOf(s, c.need))
	}
	return c
}

// best returns the cheapest executor for the task, or nil. Executors on which the task has failed come last.
func (c *candidates) best(t *task) *executor {
	if t.crashes.IsSuspect() {
		return c.bestForSuspect(t)
	}
	return c.bestOf(t)
}

// bestOf is best without regard to losses of the task.
func (c *candidates) bestOf(t *task) *executor {
	if len(t.failedOn) == 0 {
		isMovedFrom := c.pass.wasMovedFrom(t)
		if x, _ := c.cheapest(func(x *executor) bool { return !isMovedFrom(x) }); x != nil {
			return x
		}
		x, _ := c.cheapest(func(*executor) bool { return true })
		return x
	}
	isSuited := func(x *executor) bool { return t.isSuitedTo(c.pass.now, x) }
	other, lowest := c.cheapest(func(x *executor) bool { return isSuited(x) && !t.hasFailedOn(x) })
	if other != nil && !t.step.pb.LongRunning || t.avoidsFailedOn(c.pass) {
		return other
	}
	failed, cost := c.cheapest(func(x *executor) bool { return isSuited(x) && t.hasFailedOn(x) })
	if other != nil && lowest <= cost+costFailedOn {
		return other
	}
	return failed
}

// isSuitedTo reports whether the task may start on the executor as far as suspicion goes. A task that has just failed
// is not suited to try a suspect executor.
func (t *task) isSuitedTo(now tick.Time, x *executor) bool {
	isPaused := len(t.failedOn) > 0 && now.Sub(t.lastFailedAt) < t.trialPause()
	return !isPaused || !x.suspicion.isActive()
}

// trialPause returns for how long after a failure the task takes no trial on a suspect executor. It grows with the
// failures in a row of a long-running task, whose attempts are not limited.
func (t *task) trialPause() time.Duration {
	if !t.step.pb.LongRunning {
		return failedOnPause
	}
	return failedOnPause * time.Duration(min(t.failuresInRow, maxTrialPauses))
}

// cheapest returns the cheapest executor for which the condition holds, or nil, and its cost.
func (c *candidates) cheapest(isPermitted func(x *executor) bool) (*executor, float64) {
	var best *executor
	lowest := math.Inf(1)
	for _, k := range c.list {
		extra, isIsolated := c.isolationCost(k.exec)
		if k.cost+extra < lowest && isIsolated && isPermitted(k.exec) {
			best, lowest = k.exec, k.cost+extra
		}
	}
	return best, lowest
}

// update rates an executor again after a start.
func (c *candidates) update(x *executor) {
	i := slices.IndexFunc(c.list, func(k candidate) bool { return k.exec == x })
	if i < 0 {
		return
	}
	cost, ok := c.pass.rateExecutor(c.step, c.need, x)
	if !ok {
		c.list = slices.Delete(c.list, i, i+1)
		return
	}
	c.list[i].cost = cost
}
