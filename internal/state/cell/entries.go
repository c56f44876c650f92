package cell

import (
	"fmt"

	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

// Discover applies the complete list of executors from service discovery, as of now.
func (c *Cell) Discover(now tick.Time, list []queue.Executor) { c.DiscoverAsOf(now, now, list) }

// DiscoverAsOf applies a complete list that was up to date at the time readAt.
func (c *Cell) DiscoverAsOf(now, readAt tick.Time, list []queue.Executor) {
	c.expireSlow(now)
	c.noteEntriesRead(readAt)
	listed := make(map[string]bool, len(list))
	latest := make(map[string]queue.Executor, len(list))
	c.unnamed.begin()
	for _, e := range list {
		listed[e.ID] = true
		if !c.namesExecutor(e) {
			c.noteUnnamed(e)
			continue
		}
		if e.StartedMS > latest[e.Address].StartedMS {
			latest[e.Address] = e
		}
		c.applyEntry(now, readAt, e)
	}
	for id, x := range c.execs {
		if !listed[id] && x.isListed {
			x.isListed = false
			c.emit(Event{Name: "executor-unlisted", Executor: id})
		}
		c.noteClaim(x, latest[x.entry.Address])
		if x.isDraining() || x.isTerminated || !x.isListed {
			c.retire(now, id, x)
		}
	}
}

func (c *Cell) applyEntry(now, readAt tick.Time, e queue.Executor) {
	x, ok := c.execs[e.ID]
	if !ok || x.isTerminated && x.isSucceededBy(e) {
		f := c.newFencing()
		if ok {
			f = fencing{token: x.token, needsToken: true}
		}
		next := newExecutor(e, f)
		// A previous leader may have sent orders to the new incarnation.
		next.isInherited = ok && x.isInherited
		next.isEntryOld = c.entries.gapEndedAt == readAt
		x = next
		c.setExecutor(x)
		c.emit(Event{Name: "executor-listed", Executor: e.ID, Detail: e.Address})
	}
	if x.isLate(e) {
		// The store may carry out a write after a later one. The next entry replaces both.
		x.isListed = true
		return
	}
	if x.claimsRestart(e) {
		c.fence(x, fmt.Sprintf("entry of the process started %d, known %d", e.StartedMS, x.startedMS))
	}
	if !e.Draining {
		c.observeIncarnation(x.hash, e.StartedMS, false)
	}
	c.noteCapacityRead(x, readAt, e)
	x.entry = e
	x.registration.Read(readAt, e)
	c.describe(now, x)
	x.isListed = true
	if !x.isRostered && !x.isTerminated && !x.isDraining() && !c.retired[e.ID] {
		c.pendingRosters[e.ID] = x
	}
}

// claimsRestart reports whether the entry is the first one that states another start than that of the known process.
func (x *executor) claimsRestart(e queue.Executor) bool {
	isOther := e.StartedMS != 0 && x.startedMS != 0 && e.StartedMS != x.startedMS
	return isOther && x.hasResponded && x.isSucceededBy(e)
}

// isNewerThan reports whether the known entry was written after e by the same process.
func (x *executor) isNewerThan(e queue.Executor) bool {
	isSameProcess := e.StartedMS != 0 && e.StartedMS == x.entry.StartedMS && e.Address == x.entry.Address
	return isSameProcess && e.Sequence != 0 && e.Sequence < x.entry.Sequence
}

// isLate reports whether the entry is older than the known one. If a further one follows that is older as well, the
// known one was not written by the executor.
func (x *executor) isLate(e queue.Executor) bool {
	if !x.isNewerThan(e) {
		x.lateSequence = 0
		return false
	}
	isFurther := x.lateSequence != 0 && e.Sequence > x.lateSequence
	x.lateSequence = e.Sequence
	return !isFurther
}

// isSucceededBy reports whether the entry belongs to a later incarnation of the executor.
func (x *executor) isSucceededBy(e queue.Executor) bool {
	return e.Address != x.entry.Address || e.StartedMS != 0 && e.StartedMS != x.entry.StartedMS
}

// retire removes a draining, terminated or unlisted executor from the roster once no run can exist on it, so that later
// leaders do not wait for it.
func (c *Cell) retire(now tick.Time, id string, x *executor) {
	if len(x.runs) > 0 || len(x.orphaned) > 0 || c.isAwaited(now, x) {
		return
	}
	delete(c.pendingRosters, id)
	if x.isRostered {
		x.isRostered = false
		c.retired[id] = true
	}
	if !x.isListed && (x.isTerminated || now.After(x.leaseExpiresBy)) {
		c.dropExecutor(id)
		c.speed.Drop(id)
	}
}
