package cell

import (
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

// retryAfterRefusal keeps a task that an executor refused from being tried again at once.
const retryAfterRefusal = 30 * time.Millisecond

// Order is an order to send. One of Start, Stop and Pace is set.
type Order struct {
	Target orders.Target
	Start  *orders.Start
	Stop   *orders.Stop
	Pace   *orders.Pace
}

// Replied applies the reply to an order.
func (c *Cell) Replied(now tick.Time, o Order, reply orders.Reply) {
	x, ok := c.execs[o.Target.ID]
	if !ok {
		return
	}
	c.heard(now, x, reply)
	switch {
	case o.Start != nil:
		c.started(now, x, o.Start.Run, reply)
	case o.Stop != nil:
		c.stopped(now, x, o.Stop.Run, reply)
	case o.Pace != nil:
		if r, ok := x.runs[o.Pace.Run.Task]; ok && r.id == o.Pace.Run {
			r.isPaceUnsure = reply.Outcome != orders.Done
		}
	}
}

func (c *Cell) started(now tick.Time, x *executor, id orders.Run, reply orders.Reply) {
	r, ok := x.runs[id.Task]
	if !ok || r.id != id {
		return
	}
	switch reply.Outcome {
	case orders.Done:
		if r.confirmedAt == 0 {
			r.confirmedAt = now
		}
		r.isDoubtful = false
		r.task.step.job.begun = true
		return
	case orders.Unanswered, orders.Outdated:
		// Numbers rise, so an outdated one means that the executor has a run of the task that this lead does not know.
		r.isDoubtful = true
		c.stopping[r] = true
		x.avoid(now, avoidAfterSilence)
		c.note(Event{Name: "start-unanswered", Task: id.Task, Run: id.Number, Executor: x.entry.ID, Detail: reply.Detail})
		return
	case orders.NotSent:
		x.avoid(now, avoidAfterSilence)
	case orders.NoTicket:
		r.task.step.dropTicket(x)
	case orders.Unhealthy, orders.NoRoom, orders.Malformed:
		x.avoid(now, avoidAfterRefusal)
	}
	r.task.retryAt = now.Add(retryAfterRefusal)
	c.note(Event{
		Name: "start-refused", Task: id.Task, Run: id.Number, Executor: x.entry.ID,
		Detail: reply.Outcome.String() + " " + reply.Detail,
	})
	c.release(r, orders.EndedAlone)
}

func (c *Cell) stopped(now tick.Time, x *executor, id orders.Run, reply orders.Reply) {
	if r, ok := x.runs[id.Task]; ok && r.id == id && reply.Outcome == orders.Done {
		r.stoppedAt = now
	}
}
