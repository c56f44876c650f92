package cell

import (
	"fmt"
	"time"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/state/chain"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// awaitedReportAfter is how long the takeover lasts before the executors are logged that have not responded.
	awaitedReportAfter = time.Second
	// maxAwaitedReported bounds the executors that are logged.
	maxAwaitedReported = 10
)

// LoadRoster adds an executor to which a previous leader may have sent orders.
func (c *Cell) LoadRoster(r *jobpb.Roster) {
	x, ok := c.execs[r.Executor]
	if !ok {
		x = newExecutor(queue.Executor{ID: r.Executor, Address: r.Address})
		c.setExecutor(x)
	}
	x.isRostered = true
	x.isInherited = true
	delete(c.pendingRosters, r.Executor)
}

// isAwaited reports whether the executor may still run tasks that a previous leader started, or have ends of them that
// it has not listed. Those ends count until its lease expires, which holds of this leader extend.
func (c *Cell) isAwaited(now tick.Time, x *executor) bool {
	switch {
	case !x.isInherited || x.endsKnownAt != 0 || x.isTerminated:
		return false
	case x.hasResponded:
		return !now.After(x.leaseExpiresBy)
	}
	return now.Before(c.previousLeasesExpireAt)
}

// LoadTerm states the last term record, or nil, the epoch of the previous leader, or 0 if it is unknown, and the epoch
// since which all leaders up to that one have stored a term record before their first start, or 0. It must be called
// before Load, for the leader to rely on the placement that previous leaders have recorded, and to record that it keeps
// such records itself.
func (c *Cell) LoadTerm(t *jobpb.Term, previousEpoch, recordedSince uint64) {
	c.placements.chain = chain.New(c.epoch, previousEpoch, recordedSince, t)
	c.placements.needsTerm = true
	c.emit(Event{Name: "takeover-began", Detail: fmt.Sprintf(
		"%v; previous epoch %d, recorded since %d, term record of epoch %d",
		c.placements.chain, previousEpoch, recordedSince, t.GetEpoch())})
}

// holdBack keeps the task from starting until the executor with the hash has listed all its runs and ends or its lease
// has expired.
func (c *Cell) holdBack(t *task, hash uint32) {
	t.recordedOn, t.batchedOn = hash, hash
	if t.done || hash == 0 {
		return
	}
	t.heldFor = hash
	c.placements.held[hash] = append(c.placements.held[hash], t)
}

// mayListEnds reports whether the executor has responded, but may have ends of tasks that a previous leader started
// which it has not listed. Its next list tells, as long as service discovery lists it.
func (x *executor) mayListEnds() bool {
	return x.isInherited && x.hasResponded && x.endsKnownAt == 0 && x.isListed && !x.isTerminated
}

// releaseHeld lets the tasks start that were held back for executors on which they can neither run nor have been done.
// A task that may have been done is held back even beyond the lease: a second run would repeat its effects.
func (c *Cell) releaseHeld(awaited map[uint32]bool) {
	if len(c.placements.held) == 0 {
		return
	}
	mayListEnds := map[uint32]bool{}
	for _, x := range c.execs {
		if x.mayListEnds() {
			mayListEnds[x.hash] = true
		}
	}
	for hash, tasks := range c.placements.held {
		if awaited[hash] || mayListEnds[hash] {
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
		c.releaseHeld(nil)
		return
	}
	if c.takeoverBeganAt == 0 {
		c.takeoverBeganAt = now
	}
	awaited := map[uint32]bool{}
	for _, x := range c.execs {
		if c.isAwaited(now, x) {
			awaited[x.hash] = true
		}
	}
	c.releaseHeld(awaited)
	if len(awaited) > 0 {
		c.reportAwaited(now)
		return
	}
	c.isTakingOver = false
	left := max(0, c.previousLeasesExpireAt.Sub(now))
	c.emit(Event{Name: "takeover-settled", Detail: fmt.Sprintf(
		"after %v, former leases expire in %v", inMillis(now.Sub(c.takeoverBeganAt)), inMillis(left))})
	for _, j := range c.active {
		j.isInherited = false
	}
}

// reportAwaited logs once the executors for which tasks are held back.
func (c *Cell) reportAwaited(now tick.Time) {
	if c.isAwaitedReported || now.Sub(c.takeoverBeganAt) < awaitedReportAfter {
		return
	}
	c.isAwaitedReported = true
	left := maxAwaitedReported
	for id, x := range c.execs {
		if left == 0 || !c.isAwaited(now, x) {
			continue
		}
		left--
		c.emit(Event{Name: "executor-awaited", Executor: id, Detail: fmt.Sprintf(
			"listed %t, draining %t, tasks held back %d, former leases expire in %v",
			x.isListed, x.entry.Draining, len(c.placements.held[x.hash]), c.previousLeasesExpireAt.Sub(now))})
	}
}
