package cell

import (
	"fmt"
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

// clockTolerance is by how much a reply's clock may differ from that of the known process before it is reported. It is
// longer than the longest time that a call takes.
const clockTolerance = 2 * time.Second

// observation is what is kept of an executor for the log alone, to show for which of its processes a call was
// meant, and which one replied. No decision depends on it.
type observation struct {
	// heldStartedMS is the start of the process for which the last hold was made, heldClockMS its clock at that time.
	heldStartedMS, heldClockMS int64
	// offsetMS is the offset of the clock in the list that showed a restart; hasOffset is false before that.
	offsetMS  float64
	hasOffset bool
	// clockEvent is how the clock of the last reply differed from that of the known process; empty if it did not.
	clockEvent string
}

// observeHold notes for which process a hold is made.
func (x *executor) observeHold(now tick.Time) {
	x.observed.heldStartedMS, x.observed.heldClockMS = x.startedMS, 0
	if x.hasClock {
		x.observed.heldClockMS = int64(millis(now) + x.clockOffset(now))
	}
}

// observeHoldReply reports a hold without a response that extends a lease or acknowledges ends, as it may be carried
// out later by another process.
func (c *Cell) observeHoldReply(now, sent tick.Time, x *executor, h orders.Hold, reply orders.Reply) {
	if reply.Outcome != orders.NoResponse || h.DeadlineMS == 0 && h.AckCursor == 0 {
		return
	}
	c.emit(Event{Name: "hold-unanswered", Executor: x.entry.ID, Detail: fmt.Sprintf(
		"deadline %d, cursor %d, token %d, for the process started %d with its clock at %d, sent %v ago",
		h.DeadlineMS, h.AckCursor, h.FencingToken, x.observed.heldStartedMS, x.observed.heldClockMS,
		inMillis(now.Sub(sent)))})
}

// observeOrderReply reports an order without a response, as it may be carried out later by another process.
func (c *Cell) observeOrderReply(x *executor, o Order, reply orders.Reply) {
	if reply.Outcome != orders.NoResponse {
		return
	}
	id, kind := o.describe()
	startedMS := x.startedMS
	if r, ok := x.runs[id.Task]; ok && r.id == id {
		startedMS = r.incarnation
	}
	c.emit(Event{Name: "order-unanswered", Task: id.Task, Run: id.Number, Executor: x.entry.ID, Detail: fmt.Sprintf(
		"%s, for the process started %d", kind, startedMS)})
}

// describe returns the run of the order and what it says.
func (o Order) describe() (orders.Run, string) {
	switch {
	case o.Start != nil:
		return o.Start.Run, fmt.Sprintf("start, deadline %d, token %d", o.Start.DeadlineMS, o.Start.FencingToken)
	case o.Stop != nil:
		return o.Stop.Run, fmt.Sprintf("stop, token %d", o.Stop.FencingToken)
	}
	return o.Pace.Run, fmt.Sprintf("pace %d, token %d", o.Pace.Percent, o.Pace.FencingToken)
}

// observeClock reports that a reply's clock cannot be that of the known process, once until the next one that can.
func (c *Cell) observeClock(now tick.Time, x *executor, reply orders.Reply) {
	known, isKnown := x.observed.offsetMS, x.observed.hasOffset
	if x.hasClock {
		known, isKnown = x.clockOffset(now), true
	}
	if !isKnown || reply.ClockMS == 0 {
		return
	}
	difference := float64(reply.ClockMS) - millis(now) - known
	name := clockEvent(difference)
	if name != "" && name != x.observed.clockEvent {
		c.emit(Event{Name: name, Executor: x.entry.ID, Detail: fmt.Sprintf(
			"outcome %v, clock %d, that of the known process is about %.0f, which started %d, sampled %t",
			reply.Outcome, reply.ClockMS, millis(now)+known, x.startedMS, x.hasClock)})
	}
	x.observed.clockEvent = name
}

// clockEvent returns the name of the event for a clock that differs by the milliseconds from that of the known process;
// empty if the difference may be the time that the call took.
func clockEvent(difference float64) string {
	switch tolerance := millis(tick.Time(clockTolerance)); {
	case difference > tolerance:
		return "clock-ahead"
	case difference < -tolerance:
		return "clock-behind"
	}
	return ""
}

// observeRestart reports that a list shows another process than the known one. The hold is the one that it replies to.
func (c *Cell) observeRestart(now tick.Time, x *executor, h orders.Hold, l orders.Lists, reply orders.Reply) {
	offset := float64(reply.ClockMS) - millis(now)
	c.emit(Event{Name: "executor-reborn", Executor: x.entry.ID, Detail: fmt.Sprintf(
		"started %d, then %d, clock offset %.0f, then %.0f, cursor sent %d, in reply to deadline %d, cursor %d, token %d",
		x.startedMS, l.StartedMS, x.clockOffset(now), offset, x.ackSentCursor, h.DeadlineMS, h.AckCursor, h.FencingToken)})
	x.observed.offsetMS, x.observed.hasOffset, x.observed.clockEvent = offset, true, ""
}

// observeEnd reports ends that the executor has forgotten although no list has had them. A former leader may have
// acknowledged those that the first list lacks.
func (c *Cell) observeEnd(x *executor, e orders.EndedRun, isFirst bool) {
	if isFirst || e.Cursor <= x.appliedCursor+1 {
		return
	}
	c.emit(Event{Name: "ends-forgotten", Executor: x.entry.ID, Detail: fmt.Sprintf(
		"cursors %d to %d were never listed, stored %d, sent %d, process started %d", x.appliedCursor+1, e.Cursor-1,
		x.storedCursor, x.ackSentCursor, x.startedMS)})
}

// listedEvidence states which process the run was ordered from or listed by, and whether the last list had it running.
func (r *run) listedEvidence() string {
	x := r.exec
	return fmt.Sprintf(", process of the run %d, of the last list %d, listed %t, running in the last list %t",
		r.incarnation, x.startedMS, r.listedAt != 0, r.listedAt != 0 && r.listedAt == x.lastResponseAt)
}
