package cell

import (
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/state/expiry"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// leaseExpiryMargin is added to the duration of a lease before it counts as expired.
	leaseExpiryMargin = 50 * time.Millisecond
	// fullLeaseAge is how long ago an executor may have carried out an order to be granted the longest lease.
	fullLeaseAge = 300 * time.Millisecond
	// minLeaseRatio is the shortest lease that is granted, as a ratio to the longest one.
	minLeaseRatio = 0.5
)

// extendLease returns the deadline, on the executor's clock, of a lease that begins now. It records by when that lease
// will have expired on the local clock.
func (c *Cell) extendLease(now tick.Time, x *executor) int64 {
	d := c.leaseDuration(now, x)
	x.extendedAt = now
	x.leaseExpiresBy = max(x.leaseExpiresBy, now.Add(longestOnLocalClock(d)))
	return int64(millis(now)+x.clockOffset(now)) + d.Milliseconds()
}

// leaseDuration returns the duration of a lease that begins now. It is shorter the longer the executor has not carried
// out an order, so that a lease granted to one that has crashed meanwhile ends soon after the leases before. The next
// leader counts the leases from the last heartbeat, so none outlasts that by more than the longest lease.
func (c *Cell) leaseDuration(now tick.Time, x *executor) time.Duration {
	age := max(0, now.Sub(x.aliveAt)-fullLeaseAge)
	shortest := time.Duration(minLeaseRatio * float64(c.params.MaxHold))
	return min(max(shortest, c.params.MaxHold-age), c.longestGrant(now))
}

// longestGrant is the duration of the longest lease that the leader may grant now; it is not positive once no lease may
// begin.
func (c *Cell) longestGrant(now tick.Time) time.Duration {
	if c.heartbeatAt == 0 {
		return c.params.MaxHold
	}
	return c.params.MaxHold - now.Sub(c.heartbeatAt)
}

// NoteHeartbeat states when the last stored heartbeat of this leader was sent.
func (c *Cell) NoteHeartbeat(at tick.Time) { c.heartbeatAt = max(c.heartbeatAt, at) }

// NoteToken states a fencing token that is higher than those of all former leaders and lower than those of all later
// ones.
func (c *Cell) NoteToken(t orders.FencingToken) { c.token = max(c.token, t) }

// LoadLeaseEnds states by when the leases of each executor will have expired that previous leaders have granted. It
// must be called before the first plan.
func (c *Cell) LoadLeaseEnds(ends expiry.Times) { c.statedLeaseEnds = ends }

// LeaseEnds returns by when the leases of each executor will have expired that leaders up to this one have granted.
// Former leaders had no runs on an executor that is not inherited. While another process than the known one may run at
// an executor, a late call may extend its lease, so its end is not stated.
func (c *Cell) LeaseEnds() expiry.Times {
	ends := make(expiry.Times, len(c.execs))
	for id, x := range c.execs {
		if x.isFencing {
			continue
		}
		ends[id] = x.leaseExpiresBy
		if x.isInherited {
			ends[id] = max(x.leaseExpiresBy, c.formerLeaseExpiry(x))
		}
		for _, r := range x.runs {
			if !r.isPlaced && r.firstListedAt == 0 {
				ends[id] = max(ends[id], c.latestLeaseEnd(r))
			}
		}
	}
	return ends
}

// latestLeaseEnd returns when the lease of a run is over that no list has shown, if another process has carried out the
// start and the calls that extended the lease since.
func (c *Cell) latestLeaseEnd(r *run) tick.Time {
	if r.confirmedAt != 0 {
		return r.exec.leaseExpiresBy
	}
	return max(r.startedAt, r.exec.extendedAt).Add(c.params.LongestLease())
}

// longestOnLocalClock is the longest time on the local clock for which a lease of the duration can last.
func longestOnLocalClock(d time.Duration) time.Duration {
	return time.Duration(float64(d)/(1-maxClockDrift)) + leaseExpiryMargin
}

// LongestLease is the longest time on the local clock for which a lease granted now can last.
func (p Params) LongestLease() time.Duration { return longestOnLocalClock(p.MaxHold) }
