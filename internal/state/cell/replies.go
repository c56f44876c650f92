package cell

import (
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

// retryPauseAfterRefusal is the pause before the next start of a task after an executor refused it.
const retryPauseAfterRefusal = 30 * time.Millisecond

// Order is an order to send. One of Start, Stop and Pace is set.
type Order struct {
	Target orders.Target
	Start  *orders.Start
	Stop   *orders.Stop
	Pace   *orders.Pace
	// madeAt is when the order was made, not later than it is sent.
	madeAt tick.Time
}

// token returns the fencing token of the order.
func (o Order) token() orders.FencingToken {
	switch {
	case o.Start != nil:
		return o.Start.FencingToken
	case o.Stop != nil:
		return o.Stop.FencingToken
	case o.Pace != nil:
		return o.Pace.FencingToken
	}
	return 0
}

// HandleReply applies the reply to an order.
func (c *Cell) HandleReply(now tick.Time, o Order, reply orders.Reply) {
	x, ok := c.execs[o.Target.ID]
	if !ok {
		return
	}
	c.observeOrderReply(x, o, reply)
	if c.applyReply(now, x, o.Target.Address, o.token(), reply) {
		x.orderRepliedAt = now
	}
	c.checkClock(now, x, o, reply)
	c.checkProcess(x, o, reply)
	switch {
	case o.Start != nil:
		c.applyStartReply(now, x, o.Start.Run, reply)
	case o.Stop != nil:
		c.applyStopReply(now, x, o.Stop.Run, reply)
	case o.Pace != nil:
		if r, ok := x.runs[o.Pace.Run.Task]; ok && r.id == o.Pace.Run {
			r.isPaceUnconfirmed = reply.Outcome != orders.Done
		}
	}
}

func (c *Cell) applyStartReply(now tick.Time, x *executor, id orders.Run, reply orders.Reply) {
	r, ok := x.runs[id.Task]
	if !ok || r.id != id {
		return
	}
	switch reply.Outcome {
	case orders.Done:
		if r.confirmedAt == 0 {
			r.confirmedAt = now
		}
		r.isStartUnconfirmed = false
		r.task.step.job.hasStarted = true
		return
	case orders.NoResponse, orders.Outdated:
		// Run numbers increase, so an outdated one means that the executor has seen a later run of the task that this
		// leader does not track.
		c.doubtStart(now, r)
		if reply.Outcome == orders.Outdated || !x.lastResponseAt.After(r.startedAt) {
			// An executor that has responded since the start was sent has lost a single order or response.
			x.quarantine(now, quarantineAfterNoResponse)
		}
		c.emit(Event{Name: "start-unanswered", Task: id.Task, Run: id.Number, Executor: x.entry.ID, Detail: reply.Detail})
		return
	case orders.NotSent:
		x.quarantine(now, quarantineAfterNoResponse)
	case orders.NoTicket:
		r.task.step.dropTicket(x)
	case orders.Unhealthy, orders.InsufficientResources, orders.Malformed:
		x.quarantine(now, quarantineAfterRefusal)
	}
	r.task.retryAt = now.Add(retryPauseAfterRefusal)
	c.emit(Event{
		Name: "start-refused", Task: id.Task, Run: id.Number, Executor: x.entry.ID,
		Detail: reply.Outcome.String() + " " + reply.Detail,
	})
	c.releaseRun(r, orders.EndedNotStarted, reply.Outcome.String())
}

// DoubtStart records that the response to a start order is overdue, so that the next list of the executor settles
// whether the run is there. It reports whether that is open.
func (c *Cell) DoubtStart(now tick.Time, o Order) bool {
	x, ok := c.execs[o.Target.ID]
	if !ok || o.Start == nil {
		return false
	}
	r, ok := x.runs[o.Start.Run.Task]
	if !ok || r.id != o.Start.Run || r.confirmedAt != 0 {
		return false
	}
	c.doubtStart(now, r)
	c.emit(Event{Name: "start-overdue", Task: r.id.Task, Run: r.id.Number, Executor: x.entry.ID})
	return true
}

func (c *Cell) doubtStart(now tick.Time, r *run) {
	if r.isStartUnconfirmed {
		return
	}
	r.isStartUnconfirmed, r.unconfirmedSince = true, now
	c.stopping[r] = true
}

// HasUnsettledRun reports whether it is open if a run of the executor has started.
func (c *Cell) HasUnsettledRun(id string) bool {
	x, ok := c.execs[id]
	return ok && x.hasUnsettledRun()
}

func (c *Cell) applyStopReply(now tick.Time, x *executor, id orders.Run, reply orders.Reply) {
	r, ok := x.runs[id.Task]
	if !ok || r.id != id || reply.Outcome != orders.Done || r.stoppedAt != 0 {
		// A repeated confirmation must not discard the list that was requested after the first one.
		return
	}
	r.stoppedAt = now
}
