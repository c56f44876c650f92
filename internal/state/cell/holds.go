package cell

import (
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// maxHoldWait is the longest time for which an executor may delay its response to a hold until a run ends.
	maxHoldWait = time.Second
	// settleHoldWait is the same while it is open whether a run has started, which the next list tells.
	settleHoldWait = 100 * time.Millisecond
	// minWatchInterval is the shortest interval of holds that monitor the tail latencies of latency-critical runs.
	// maxWatchesPerSecond limits the rate of these holds over all executors.
	minWatchInterval    = 400 * time.Millisecond
	maxWatchesPerSecond = 600
	// pendingRecordPause is the longest delay of the next hold while the ends in the last list are not yet stored.
	pendingRecordPause = 250 * time.Millisecond
	// unresponsiveRetryPause is the pause after a hold without a response. It doubles with each further one, up to
	// maxRetryPause, which is also the pause for an executor without runs.
	unresponsiveRetryPause = 50 * time.Millisecond
	maxRetryPause          = 400 * time.Millisecond
	// ackValidity is how long after a response its cursors certainly belong to the process that still runs. Cursors start
	// over when an executor restarts, so a later acknowledgement could make the new process discard other ends.
	ackValidity = 250 * time.Millisecond
	// idlePollInterval is the interval of holds to an idle executor. Late orders and restarts may have changed its runs.
	idlePollInterval = 2 * time.Second
)

// Hold returns the next hold of the executor, or the pause until the next one if none is due. For an unknown or
// terminated executor the target is empty.
func (c *Cell) Hold(now tick.Time, id string) (orders.Hold, orders.Target, time.Duration) {
	x, ok := c.execs[id]
	if !ok || x.isTerminated {
		return orders.Hold{}, orders.Target{}, 0
	}
	x.heldAddress = x.entry.Address
	x.observeHold(now)
	c.raiseToken(x)
	h := orders.Hold{FencingToken: x.token}
	if x.needsToken {
		return h, x.target(), tokenPollPause
	}
	if !x.hasResponded || !x.hasClock {
		return h, x.target(), 0
	}
	hasRuns := x.hasOrderedRun() || len(x.orphaned) > 0
	if x.appliedCursor > x.storedCursor && now.Sub(x.lastResponseAt) < pendingRecordPause {
		return h, x.target(), pendingRecordPause
	}
	if !hasRuns && x.storedCursor <= x.ackSentCursor {
		return h, x.target(), max(0, idlePollInterval-now.Sub(x.lastResponseAt))
	}
	if x.isUnresponsive {
		// The last hold may have extended the lease although no response or a refusal was received. Further holds only
		// query the executor, so that the lease eventually expires.
		return h, x.target(), 0
	}
	h.FencingToken = x.use()
	if now.Sub(x.lastResponseAt) < ackValidity && x.storedCursor > x.ackSentCursor {
		h.AckCursor = x.storedCursor
	}
	if c.longestGrant(now) > 0 {
		h.DeadlineMS = c.extendLease(now, x)
	}
	if hasRuns && !x.hasMoreEnds && x.appliedCursor <= x.storedCursor {
		h.Wait = c.holdWait(x)
	}
	return h, x.target(), 0
}

// holdWait returns how long an executor with runs may delay its response to a hold.
func (c *Cell) holdWait(x *executor) time.Duration {
	switch {
	case x.hasUnsettledRun():
		return settleHoldWait
	case len(x.latencyCritical) > 0 && len(x.bestEffort) > 0:
		return c.watchInterval()
	}
	return maxHoldWait
}

// hasUnsettledRun reports whether it is open if a run of the executor has started.
func (x *executor) hasUnsettledRun() bool {
	for _, r := range x.runs {
		if r.isStartUnconfirmed {
			return true
		}
	}
	return false
}

// watchInterval returns the interval of holds to an executor with latency-critical and best-effort runs.
func (c *Cell) watchInterval() time.Duration {
	spread := time.Duration(len(c.execs)) * time.Second / maxWatchesPerSecond
	return min(maxHoldWait, max(minWatchInterval, spread))
}

// HandleHoldReply applies the reply to a hold that was sent at the time sent.
func (c *Cell) HandleHoldReply(now, sent tick.Time, id string, h orders.Hold, l orders.Lists, reply orders.Reply) {
	x, ok := c.execs[id]
	if !ok || x.heldAddress == "" {
		// The hold was sent to a former incarnation.
		return
	}
	c.observeHoldReply(now, sent, x, h, reply)
	x.isUnresponsive = reply.Outcome != orders.Done
	x.unansweredHolds++
	if !x.isUnresponsive {
		x.unansweredHolds = 0
	}
	isLost := reply.Outcome == orders.NoResponse || reply.Outcome == orders.NotSent
	if isLost && x.hasResponded {
		c.noteOutage(now, x, false)
	}
	c.applyLists(now, sent, x, h, l, reply)
}

// Query returns a hold that only requests the lists of the executor, and whether it can be sent.
func (c *Cell) Query(id string) (orders.Hold, orders.Target, bool) {
	x, ok := c.execs[id]
	if !ok || x.isTerminated || !x.hasResponded || x.heldAddress != x.entry.Address {
		return orders.Hold{}, orders.Target{}, false
	}
	return orders.Hold{FencingToken: x.token}, x.target(), true
}

// HandleQueryReply applies the reply to a query that was sent at the time sent. A query without a response changes
// nothing.
func (c *Cell) HandleQueryReply(
	now, sent tick.Time, to orders.Target, h orders.Hold, l orders.Lists, reply orders.Reply,
) {
	x, ok := c.execs[to.ID]
	if !ok || x.entry.Address != to.Address || x.heldAddress != to.Address {
		return
	}
	c.applyLists(now, sent, x, h, l, reply)
}

// RetryPause returns the pause after a hold that the executor did not carry out.
func (c *Cell) RetryPause(id string) time.Duration {
	x, ok := c.execs[id]
	if !ok || len(x.runs) == 0 {
		return maxRetryPause
	}
	pause := unresponsiveRetryPause
	for n := 1; n < x.unansweredHolds && pause < maxRetryPause && !x.isFencing; n++ {
		pause *= 2
	}
	return min(pause, maxRetryPause)
}

// IsAckDue reports whether there are stored ends that have not been acknowledged to the executor.
func (c *Cell) IsAckDue(id string) bool {
	x, ok := c.execs[id]
	return ok && x.storedCursor > x.ackSentCursor
}

// Executors returns the ids of the executors to send holds to.
func (c *Cell) Executors() []string {
	ids := make([]string, 0, len(c.execs))
	for id, x := range c.execs {
		if !x.isTerminated {
			ids = append(ids, id)
		}
	}
	return ids
}
