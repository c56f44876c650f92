package cell

import (
	"fmt"
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

// An executor that has restarted under its id knows no fencing token, so it carries out any call that reaches it, also
// one that was meant for its former process and is executed seconds late. Therefore each process of an executor gets
// calls with a higher token than all calls before. Until a list answers a call with that token, the executor counts as
// one that has not responded: it only gets calls that request its lists, so nothing is started and no lease extended.
// From the answer on, the process rejects every earlier call, and the list shows what such calls have left there.

const (
	// tokenPollPause is the pause before the next call while a higher fencing token is awaited.
	tokenPollPause = 50 * time.Millisecond
	// clockResolution is the precision of an executor's clock in milliseconds.
	clockResolution = 2
)

// fencing is the state of the fencing tokens of the calls to one executor.
type fencing struct {
	// token is that of the next call. isTokenUsed is true once a call with it may have changed something.
	token       orders.FencingToken
	isTokenUsed bool
	// hasUnanswered is true if a call with the token got no response: it may be carried out later.
	hasUnanswered bool
	// needsToken is true until a higher token is available, which the next call must have.
	needsToken bool
	// isFencing is true from the evidence for another process than the known one until lists answer the present token.
	isFencing bool
}

// raise replaces the token by the newest one if that is higher.
func (f *fencing) raise(newest orders.FencingToken) {
	if newest <= f.token {
		return
	}
	f.token, f.isTokenUsed, f.hasUnanswered, f.needsToken = newest, false, false, false
}

// use returns the token for a call that may change something on the executor.
func (f *fencing) use() orders.FencingToken {
	f.isTokenUsed = true
	return f.token
}

// isCurrent reports whether a call with the token is one of the present ones.
func (f *fencing) isCurrent(t orders.FencingToken) bool { return t == f.token && !f.needsToken }

// newFencing returns the state for an executor that this leader does not know yet. An executor that was dropped may be
// listed again.
func (c *Cell) newFencing() fencing {
	if c.droppedToken == 0 {
		return fencing{token: orders.FencingToken(c.epoch)}
	}
	return fencing{token: c.droppedToken, needsToken: true}
}

// fence has the executor answer a call with a higher token before it is used again, because another process than the
// known one may run there.
func (c *Cell) fence(x *executor, evidence string) {
	x.hasResponded, x.endsKnownAt = false, 0
	x.needsToken, x.isFencing = true, true
	c.emit(Event{Name: "executor-fencing", Executor: x.entry.ID, Detail: fmt.Sprintf("%s, token %d", evidence, x.token)})
}

// awaitLease notes that the executor may have a lease that began until just now.
func (c *Cell) awaitLease(now tick.Time, x *executor) {
	x.leaseExpiresBy = max(x.leaseExpiresBy, now.Add(c.params.LongestLease()))
}

// raiseToken raises the token of an executor that needs a higher one, and of one that has not answered a call: the next
// one that reaches it has that call rejected, and the list that answers it shows what the calls before have left.
func (c *Cell) raiseToken(x *executor) {
	if x.needsToken || x.hasUnanswered && x.isTokenUsed {
		x.raise(c.token)
	}
}

// noteUnanswered notes that a call with the token got no response.
func (x *executor) noteUnanswered(t orders.FencingToken, reply orders.Reply) {
	if reply.Outcome == orders.NoResponse && t == x.token {
		x.hasUnanswered = true
	}
}

// isOfOtherProcess reports whether lists that answer a present call are of another process than the known one.
func (x *executor) isOfOtherProcess(l orders.Lists) bool {
	return l.StartedMS != 0 && x.startedMS != 0 && l.StartedMS != x.startedMS
}

// isClockBehind reports whether the clock in the reply to a call that was sent at the time sent, or later, is behind
// that of the known process. Clocks start over with each process.
func (x *executor) isClockBehind(now, sent tick.Time, clockMS int64) bool {
	if !x.hasClock || clockMS == 0 {
		return false
	}
	return float64(clockMS)+clockResolution < millis(sent)+x.clockOffset(now)
}

// identifyProcess reports whether the lists in the reply to the hold, sent at the time, are the present ones. If they
// are those of another process than the known one, it applies that the executor has restarted, or has it fenced first.
func (c *Cell) identifyProcess(
	now, sent tick.Time, x *executor, h orders.Hold, l orders.Lists, reply orders.Reply,
) bool {
	if !x.isCurrent(h.FencingToken) || x.isOvertaken(sent, l, reply) {
		return false
	}
	if !x.isOfOtherProcess(l) {
		return true
	}
	if x.isTokenUsed {
		c.awaitLease(now, x)
		c.fence(x, fmt.Sprintf("lists of the process started %d, known %d", l.StartedMS, x.startedMS))
		return false
	}
	c.noteOutage(now, x, true)
	c.observeRestart(now, x, h, l, reply)
	c.handleRestart(now, x)
	return true
}

// IsFencing reports whether another process than the known one may run at the executor, which is to answer a hold with
// a higher token before it is used.
func (c *Cell) IsFencing(id string) bool {
	x, ok := c.execs[id]
	return ok && x.isFencing
}

// checkClock fences the executor if the reply to the order cannot be of the known process. That of another executor
// says nothing.
func (c *Cell) checkClock(now tick.Time, x *executor, o Order, reply orders.Reply) {
	isOwn := o.Target.Address == x.entry.Address && reply.Outcome != orders.OtherIncarnation
	if !isOwn || !x.isClockBehind(now, o.madeAt, reply.ClockMS) {
		return
	}
	c.awaitLease(now, x)
	if x.hasResponded {
		expected := millis(o.madeAt) + x.clockOffset(now)
		c.fence(x, fmt.Sprintf("clock %d, at least %.0f expected", reply.ClockMS, expected))
	}
}

// checkProcess fences the executor if another process than the one that the start order is for has answered in its
// place.
func (c *Cell) checkProcess(x *executor, o Order, reply orders.Reply) {
	isForKnown := o.Start != nil && o.Start.StartedMS == x.startedMS && x.hasResponded
	if reply.Outcome == orders.OtherProcess && isForKnown {
		c.fence(x, fmt.Sprintf("another process than that started %d has answered", x.startedMS))
	}
}

// isOvertaken reports whether the lists, which answer a call sent at the time, are older than those applied before.
// Responses on different connections may overtake each other, and the process that answers a call sent before the last
// lists arrived may be a former one.
func (x *executor) isOvertaken(sent tick.Time, l orders.Lists, reply orders.Reply) bool {
	if x.isOfOtherProcess(l) {
		return sent.Before(x.lastResponseAt)
	}
	return l.StartedMS == x.startedMS && reply.ClockMS < x.listedClockMS
}
