package cell

import (
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

// stopRetryPause is the shortest pause between two orders to stop the same run.
const stopRetryPause = 600 * time.Millisecond

// appendStopOrders appends the orders to stop runs that are marked for stopping, that a list after their unconfirmed
// start did not confirm, or that are orphaned. An executor that does not respond gets each order once, as repeated
// orders would add to the load of a saturated link.
func (c *Cell) appendStopOrders(now tick.Time, out []Order) []Order {
	for r := range c.stopping {
		if !r.isMarkedForStopping && !r.isStartUnconfirmed {
			delete(c.stopping, r)
			continue
		}
		if r.isStopDue(now) {
			r.stopSentAt = now
			out = append(out, c.stopOrder(now, r.exec, r.id))
		}
	}
	for _, x := range c.fleet {
		if len(x.orphaned) == 0 || !x.hasResponded {
			continue
		}
		for id, isSent := range x.orphaned {
			if !isSent && !x.isTerminated {
				x.orphaned[id] = true
				out = append(out, c.stopOrder(now, x, id))
			}
		}
	}
	return out
}

// isStopDue reports whether an order to stop the run must be sent now.
func (r *run) isStopDue(now tick.Time) bool {
	x := r.exec
	isUnconfirmed := r.isStartUnconfirmed && x.lastResponseAt.After(r.unconfirmedSince)
	if !x.hasResponded || !r.isMarkedForStopping && !isUnconfirmed {
		return false
	}
	return r.stopSentAt == 0 || now.Sub(r.stopSentAt) >= stopRetryPause && x.lastResponseAt.After(r.stopSentAt)
}

func (c *Cell) stopOrder(now tick.Time, x *executor, id orders.Run) Order {
	c.emit(Event{Name: "stop", Task: id.Task, Run: id.Number, Executor: x.entry.ID})
	return Order{Target: x.target(), Stop: &orders.Stop{Run: id, FencingToken: x.use()}, madeAt: now}
}

// drainMargin is the part of a draining executor's remaining time that is kept for stops and their checkpoints.
const drainMargin = 500 * time.Millisecond

// stopDraining stops the runs that will not be done before their executor leaves. That a former process was draining
// ends no run of the present one.
func (c *Cell) stopDraining(now tick.Time) {
	for _, x := range c.fleet {
		if !x.isDraining() || !x.isDescribed() || x.isTerminated {
			continue
		}
		left := x.described.drainDeadline.Sub(now) - drainMargin - c.params.StopTimeout
		for _, r := range x.runs {
			if r.task.step.pb.LongRunning || c.remainingTime(r) > left {
				c.markForStopping(r)
			}
		}
	}
}

const (
	// stallTimeout is how long a run may make no progress before it is moved.
	stallTimeout = 1800 * time.Millisecond
	// stallEstimateShare is the share of its estimate for which a run may make no progress, if that is longer than
	// stallTimeout. It allows for tasks that report progress in large steps.
	stallEstimateShare = 0.25
)

// stopStalled stops the stalled ones of the running runs in a list that was just applied, so that they resume
// elsewhere. A run that the list lacks may have an end that follows.
func (c *Cell) stopStalled(now tick.Time, x *executor, running []*run) {
	for _, r := range running {
		if isStalled(r) {
			c.markForStopping(r)
			x.suspicion.recordStall(now)
			c.emit(Event{Name: "run-stalled", Task: r.id.Task, Run: r.id.Number, Executor: x.entry.ID})
		}
	}
}

func isStalled(r *run) bool {
	s := r.task.step.pb
	if r.isMarkedForStopping || r.firstListedAt == 0 || r.pace < fullPacePercent || s.LongRunning || s.Gang {
		return false
	}
	timeout := max(stallTimeout, time.Duration(stallEstimateShare*float64(s.EstimateMs))*time.Millisecond)
	// Only lists report progress, so time without a response from the executor does not count.
	return r.exec.lastResponseAt.Sub(r.progressAt) > timeout
}
