package cell

import (
	"time"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/pkg/tick"
)

// unreachedAfter is how long the takeover lasts before the executors are recorded that have not responded.
const unreachedAfter = time.Second

// LoadEarlierLeases states the epoch of the previous leader, or 0 if it is unknown, and when the leases have expired
// that were granted by the leaders before that one.
func (c *Cell) LoadEarlierLeases(previousEpoch uint64, expireAt tick.Time) {
	c.previousEpoch, c.earlierLeasesExpireAt = previousEpoch, expireAt
}

// inherit takes over from the former incarnation of the executor what its roster record states.
func (x *executor) inherit(former *executor) {
	// A previous leader may have sent orders to the new incarnation.
	x.isInherited = former.isInherited
	x.unreachedBy, x.isRecordedUnreached = former.unreachedBy, former.isRecordedUnreached
}

// recordUnreached has the executors recorded that have left a hold of this leader unanswered and got no lease of it.
// From then on, it grants them none until a record without that is stored, so the next leader need not wait for leases
// of this one.
func (c *Cell) recordUnreached(now tick.Time) {
	if c.areUnreachedRecorded || now.Sub(c.takeoverBeganAt) < unreachedAfter {
		return
	}
	c.areUnreachedRecorded = true
	for id, x := range c.execs {
		if x.isRostered && x.isUnreached() && x.unansweredHolds > 0 && c.mayRunInherited(now, x) {
			x.isRecordedUnreached = true
			c.pendingRosters[id] = x
		}
	}
}

// isUnreached reports whether the executor has never responded to this leader, and so got no lease of it.
func (x *executor) isUnreached() bool { return !x.hasResponded && x.leaseExpiresBy == 0 }

// noteReached has the record of an executor that has responded replaced if it states that it is unreached.
func (c *Cell) noteReached(x *executor) {
	if x.isRecordedUnreached {
		c.pendingRosters[x.entry.ID] = x
	}
}

// rosterRecord returns the roster record of the executor.
func (c *Cell) rosterRecord(x *executor) *jobpb.Roster {
	r := &jobpb.Roster{Executor: x.entry.ID, Address: x.entry.Address}
	if x.isRecordedUnreached && x.isUnreached() {
		r.UnreachedEpoch = c.epoch
	}
	return r
}
