package cell

import (
	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

// LoadRoster adds an executor to which a previous leader may have sent orders.
func (c *Cell) LoadRoster(r *jobpb.Roster) {
	x, ok := c.execs[r.Executor]
	if !ok {
		x = newExecutor(queue.Executor{ID: r.Executor, Address: r.Address})
		c.execs[r.Executor] = x
	}
	x.isRostered = true
	x.isInherited = true
	delete(c.pendingRosters, r.Executor)
}

// isAwaited reports whether the executor may still run tasks that a previous leader started.
func (c *Cell) isAwaited(now tick.Time, x *executor) bool {
	return x.isInherited && !x.hasResponded && !x.isTerminated && now.Before(c.previousLeasesExpireAt)
}

// ensureStartRecorded reports whether the store has a record that the job may have started. If not, it schedules that
// record.
func (c *Cell) ensureStartRecorded(j *job) bool {
	if j.startRecord == startUnrecorded {
		j.startRecord = startRecordPending
		c.dirty[j.id] = j
	}
	return j.startRecord == startRecorded
}

// completeTakeover ends the takeover once no executor may still run tasks of a previous leader unknown to this one.
func (c *Cell) completeTakeover(now tick.Time) {
	if !c.isTakingOver {
		return
	}
	for _, x := range c.execs {
		if c.isAwaited(now, x) {
			return
		}
	}
	c.isTakingOver = false
	c.emit(Event{Name: "takeover-settled"})
	for _, j := range c.active {
		j.isInherited = false
	}
}
