package cell

import (
	"fmt"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

// releaseMissing releases runs that are missing from lists that were requested after they were confirmed or stopped, or
// after the deadline of their start order, or with a higher fencing token, as executors reject that order from then on.
// The lists must have all ends: a run that truncated ones lack may have an end that follows.
func (c *Cell) releaseMissing(sent tick.Time, x *executor, h orders.Hold, l orders.Lists) {
	if len(x.runs) == 0 {
		return
	}
	listed := make(map[orders.Run]bool, len(l.Ended)+len(l.Running))
	for _, e := range l.Ended {
		listed[e.Run] = true
	}
	for _, r := range l.Running {
		listed[r.Run] = true
	}
	for _, r := range x.runs {
		if listed[r.id] || r.isPlaced {
			continue
		}
		isConfirmed := r.confirmedAt != 0 && r.confirmedAt.Before(sent)
		isStopped := r.stoppedAt != 0 && r.stoppedAt.Before(sent)
		isLate := r.startedAt.Add(c.params.LongestLease()).Before(sent)
		isRejected := r.token < h.FencingToken
		switch {
		case !isConfirmed && !isStopped && !isLate && !isRejected:
		case x.hasRestartedSince(r):
			c.releaseLost(r, true, fmt.Sprintf("executor restarted, started %d, then %d", r.incarnation, x.startedMS))
		default:
			c.releaseRun(r, orders.EndedLeaseExpired, fmt.Sprintf(
				"not in the list, confirmed %t, stopped %t, order late %t, rejected %t", isConfirmed, isStopped, isLate,
				isRejected)+r.listedEvidence())
		}
	}
}

// releaseExpired releases the runs of executors whose lease has certainly expired. A run that may have been done before
// is kept while service discovery lists its executor, whose next list tells: a second run would repeat its effects.
func (c *Cell) releaseExpired(now tick.Time) {
	longest := c.params.LongestLease()
	for _, x := range c.fleet {
		if now.After(max(x.leaseExpiresBy, x.lastResponseAt.Add(longest))) {
			// Orphaned runs end with the lease, even if the executor has listed them later than expected.
			clear(x.orphaned)
		}
		if !now.After(x.leaseExpiresBy) {
			continue
		}
		for _, r := range x.runs {
			if !r.isPlaced && !c.mayOutlast(now, r) && (!x.isListed || !c.mayBeDone(r)) {
				c.releaseLost(r, false, x.expiryEvidence(now)+r.listedEvidence())
			}
		}
	}
}

// listedEnd is the evidence for an end that the executor has listed.
const listedEnd = ""

// expiryEvidence states what shows that the executor's lease has expired.
func (x *executor) expiryEvidence(now tick.Time) string {
	return fmt.Sprintf("lease expired %v ago, last list %v ago, last order carried out %v ago, listed %t, confirmed at %q",
		inMillis(now.Sub(x.leaseExpiresBy)), inMillis(now.Sub(x.lastResponseAt)), inMillis(now.Sub(x.aliveAt)), x.isListed,
		x.confirmedAddress)
}

// mayBeDone reports whether the run may have been done before the lease of its executor expired.
func (c *Cell) mayBeDone(r *run) bool {
	if r.task.step.pb.LongRunning || r.task.done {
		return false
	}
	knownAt := max(r.startedAt, r.exec.endsKnownAt)
	return !knownAt.Add(c.earliestEnd(r)).After(r.exec.leaseExpiresBy)
}

// mayOutlast reports whether the run may last beyond the end of the lease that was granted, as another process than the
// one for which the order was made may have carried it out: on its clock, the deadline is that of another lease. That
// holds for runs that no list has shown, while service discovery lists the executor.
func (c *Cell) mayOutlast(now tick.Time, r *run) bool {
	if r.firstListedAt != 0 || !r.exec.isListed {
		return false
	}
	return !now.After(c.latestLeaseEnd(r)) || r.exec.isFencing
}
