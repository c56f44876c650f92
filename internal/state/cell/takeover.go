package cell

import (
	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

// LoadRoster takes an executor to which a former lead may have sent orders.
func (c *Cell) LoadRoster(r *jobpb.Roster) {
	x, ok := c.execs[r.Executor]
	if !ok {
		x = newExecutor(queue.Executor{ID: r.Executor, Address: r.Address})
		c.execs[r.Executor] = x
	}
	x.isRostered = true
	x.isFormer = true
	delete(c.rosters, r.Executor)
}

// isAwaited reports whether the executor may still run tasks that a former lead started.
func (c *Cell) isAwaited(now tick.Time, x *executor) bool {
	return x.isFormer && !x.isHeard && !x.isDead && now.Before(c.safeAt)
}

// mayBegin reports whether the store knows that the job may have begun, and has that recorded otherwise.
func (c *Cell) mayBegin(j *job) bool {
	if j.mark == unmarked {
		j.mark = markWanted
		c.dirty[j.id] = j
	}
	return j.mark == marked
}

// settle ends the takeover when no executor is awaited any more.
func (c *Cell) settle(now tick.Time) {
	if !c.inherits {
		return
	}
	for _, x := range c.execs {
		if c.isAwaited(now, x) {
			return
		}
	}
	c.inherits = false
	c.note(Event{Name: "takeover-settled"})
	for _, j := range c.active {
		j.isInherited = false
	}
}
