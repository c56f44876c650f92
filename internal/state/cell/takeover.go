package cell

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/state/chain"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

// A new leader does not know what runs on an executor that has not listed all its runs and ends. Until the executor's
// lease has expired (mayRunInherited), no task starts that may still run there. After that, a task that is not
// long-running may have been done there: it waits until the executor lists its ends or is no longer expected to
// (isAwaited, mayListEnds).

const (
	// awaitedReportAfter is how long the takeover lasts before the executors are logged that have not responded.
	awaitedReportAfter = time.Second
	// unreachedEndsWait is how long after its lease an executor that has not responded is awaited while service discovery
	// lists it, as it may list runs that were done before. Those of long-running tasks never are.
	unreachedEndsWait = 5 * time.Second
	// minEndsWait is how long the takeover lasts at least while an executor has not responded. Entries that expired in an
	// outage of the store are back within that time.
	minEndsWait = 3 * time.Second
	// maxAwaitedReported bounds the executors that are logged.
	maxAwaitedReported = 10
)

// LoadRoster adds an executor to which a previous leader may have sent orders.
func (c *Cell) LoadRoster(r *jobpb.Roster) {
	x, ok := c.execs[r.Executor]
	if !ok {
		x = newExecutor(queue.Executor{ID: r.Executor, Address: r.Address}, c.newFencing())
		c.setExecutor(x)
	}
	x.isRostered = true
	x.isInherited = true
	x.confirmedAddress = r.Address
	delete(c.pendingRosters, r.Executor)
}

// mayRunInherited reports whether the executor may still run tasks that a previous leader started and this one does not
// know of.
func (c *Cell) mayRunInherited(now tick.Time, x *executor) bool {
	return x.hasUnknownEnds() && now.Before(c.inheritedLeaseExpiry(x))
}

// isAwaited reports whether the executor may still run tasks that a previous leader started, or have ends of them that
// it has not listed. Those of an executor that has responded count until its lease expires, which holds of this leader
// extend. One that has not may still list ends after its lease.
func (c *Cell) isAwaited(now tick.Time, x *executor) bool {
	if !x.hasUnknownEnds() {
		return false
	}
	if x.hasResponded {
		return now.Before(x.leaseExpiresBy)
	}
	until := c.previousLeasesExpireAt
	if x.isListed {
		until = until.Add(unreachedEndsWait)
	}
	return c.takeoverBeganAt == 0 || now.Before(max(until, c.takeoverBeganAt.Add(minEndsWait)))
}

// hasUnknownEnds reports whether the executor may have runs of a previous leader, or ends of them, that it has not
// listed.
func (x *executor) hasUnknownEnds() bool {
	return x.isInherited && x.endsKnownAt == 0 && !x.isTerminated
}

// inheritedLeaseExpiry returns when the executor's lease has certainly expired, so that it runs no task that a previous
// leader started.
func (c *Cell) inheritedLeaseExpiry(x *executor) tick.Time {
	if x.hasResponded {
		return x.leaseExpiresBy
	}
	return c.formerLeaseExpiry(x)
}

// formerLeaseExpiry returns when the leases of the executor have certainly expired that previous leaders have granted.
func (c *Cell) formerLeaseExpiry(x *executor) tick.Time {
	if at, ok := c.statedLeaseEnds[x.entry.ID]; ok {
		return min(at, c.previousLeasesExpireAt)
	}
	return c.previousLeasesExpireAt
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
func (c *Cell) releaseHeld(now tick.Time) {
	if len(c.placements.held) == 0 {
		return
	}
	mayRun, mayListEnds := map[uint32]bool{}, map[uint32]bool{}
	for _, x := range c.execs {
		if c.mayRunInherited(now, x) {
			mayRun[x.hash] = true
		}
		if x.mayListEnds() || c.isAwaited(now, x) {
			mayListEnds[x.hash] = true
		}
	}
	for hash, tasks := range c.placements.held {
		name := ""
		left := slices.DeleteFunc(tasks, func(t *task) bool {
			isReleased := !mayRun[hash] && (t.step.pb.LongRunning || !mayListEnds[hash])
			if isReleased {
				t.heldFor = 0
				name = cmp.Or(name, c.executorName(hash))
				c.emit(Event{Name: "task-released", Task: t.id, Executor: name, Detail: c.releaseEvidence(now, name)})
			}
			return isReleased
		})
		c.placements.held[hash] = left
		if len(left) == 0 {
			delete(c.placements.held, hash)
		}
	}
}

// releaseEvidence states why no run of a previous leader is left on the executor that this one does not know of.
func (c *Cell) releaseEvidence(now tick.Time, id string) string {
	x, ok := c.execs[id]
	switch {
	case !ok || !x.isInherited:
		return "not in the roster"
	case x.isTerminated:
		return "another incarnation has answered"
	case x.endsKnownAt != 0:
		return "all runs and ends listed"
	}
	return fmt.Sprintf("lease expired %v ago, responded %t, listed %t",
		inMillis(now.Sub(c.inheritedLeaseExpiry(x))), x.hasResponded, x.isListed)
}

// completeTakeover releases the tasks that no executor can still run for a previous leader unknown to this one, and
// ends the takeover once that holds for all tasks.
func (c *Cell) completeTakeover(now tick.Time) {
	if c.takeoverBeganAt == 0 {
		c.takeoverBeganAt = now
	}
	c.releaseHeld(now)
	if !c.isTakingOver {
		return
	}
	mayRun, isAwaited := false, false
	for _, x := range c.execs {
		mayRun = mayRun || c.mayRunInherited(now, x)
		isAwaited = isAwaited || c.isAwaited(now, x)
	}
	if !mayRun {
		c.releaseLongRunning(now)
	}
	if isAwaited {
		c.reportAwaited(now)
		return
	}
	c.isTakingOver = false
	left := max(0, c.previousLeasesExpireAt.Sub(now))
	c.emit(Event{Name: "takeover-settled", Detail: fmt.Sprintf(
		"after %v, former leases expire in %v", inMillis(now.Sub(c.takeoverBeganAt)), inMillis(left))})
	for _, j := range c.active {
		c.endInheritance(j)
	}
}

// releaseLongRunning notes that no executor can still run a task for a previous leader. Jobs of long-running tasks need
// not wait for ends, since none of these tasks is ever done.
func (c *Cell) releaseLongRunning(now tick.Time) {
	if c.areInheritedRunsOver {
		return
	}
	c.areInheritedRunsOver = true
	c.emit(Event{Name: "inherited-runs-over", Detail: fmt.Sprintf("after %v", inMillis(now.Sub(c.takeoverBeganAt)))})
	for _, j := range c.active {
		if j.hasOnlyLongRunning() {
			c.endInheritance(j)
		}
	}
}

// endInheritance notes that the placement of the job's tasks is known. Its record is stored anew, so that the next
// leader relies on it.
func (c *Cell) endInheritance(j *job) {
	if j.isInherited {
		j.isInherited = false
		c.dirty[j.id] = j
	}
}

// hasOnlyLongRunning reports whether all tasks of the job run until it is cancelled.
func (j *job) hasOnlyLongRunning() bool {
	return !slices.ContainsFunc(j.pb.Steps, func(s *jobpb.Step) bool { return !s.LongRunning })
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
			"listed %t, draining %t, tasks held back %d, its lease expires in %v, all former leases in %v",
			x.isListed, x.isDraining(), len(c.placements.held[x.hash]), inMillis(c.inheritedLeaseExpiry(x).Sub(now)),
			inMillis(c.previousLeasesExpireAt.Sub(now)))})
	}
}
