package cell

import (
	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/state/chain"
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

// LoadTerm states the last term record, or nil, and the epoch of the previous leader, or 0 if it is unknown. It must be
// called before Load, for the leader to rely on the placement that previous leaders have recorded, and to record that
// it keeps such records itself.
func (c *Cell) LoadTerm(t *jobpb.Term, previousEpoch uint64) {
	c.placements.chain = chain.New(c.epoch, previousEpoch, t)
	c.placements.needsTerm = true
}

// holdBack keeps the task from starting until the executor with the hash has responded or its lease has expired.
func (c *Cell) holdBack(t *task, hash uint32) {
	t.recordedOn, t.batchedOn = hash, hash
	if t.done || hash == 0 {
		return
	}
	t.heldFor = hash
	c.placements.held[hash] = append(c.placements.held[hash], t)
}

// releaseHeld lets the tasks start that were held back for executors that are no longer awaited.
func (c *Cell) releaseHeld(awaited map[uint32]bool) {
	for hash, tasks := range c.placements.held {
		if awaited[hash] {
			continue
		}
		for _, t := range tasks {
			t.heldFor = 0
		}
		delete(c.placements.held, hash)
	}
}

// completeTakeover releases the tasks that no executor can still run for a previous leader unknown to this one, and
// ends the takeover once that holds for all tasks.
func (c *Cell) completeTakeover(now tick.Time) {
	if !c.isTakingOver {
		return
	}
	awaited := map[uint32]bool{}
	for _, x := range c.execs {
		if c.isAwaited(now, x) {
			awaited[x.hash] = true
		}
	}
	c.releaseHeld(awaited)
	if len(awaited) > 0 {
		return
	}
	c.isTakingOver = false
	c.emit(Event{Name: "takeover-settled"})
	for _, j := range c.active {
		j.isInherited = false
	}
}
