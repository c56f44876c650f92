package memex

import (
	"context"
	"fmt"
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
	"github.com/ibischute/ibischute/platform/exsrv"
)

// reactionTime is how long after a response callers may still send calls that ignore it.
const reactionTime = 300 * time.Millisecond

// entryReactionTime is the time in which an entry has to reach callers.
const entryReactionTime = 3 * time.Second

// fence tells which calls for a former process the process of an executor may still carry out. No caller can prevent
// that before it has reached the process and has shown it a token that is higher than those of all earlier calls.
type fence struct {
	// isExpected means that there may be late calls for a former process. It is false unless ExpectLateCalls was called.
	isExpected bool
	// highest is the highest token of the calls that were sent before the process was reached.
	highest orders.FencingToken
	// reachedAt is when the process has first answered a hold, closedAt when it has first answered one with a token above
	// highest; 0 before.
	reachedAt, closedAt tick.Time
	// lastAnswerAt is when the process has last answered a hold; 0 before.
	lastAnswerAt tick.Time
}

// ExpectLateCalls states that there may be late calls for a former process of the executor with the id. A violation
// that follows from one of them, before the present process was reached and fenced, is a permitted case.
func (f *Fleet) ExpectLateCalls(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if x, ok := f.executors[id]; ok {
		x.fence.isExpected = true
	}
}

// Permitted returns what would be violations but for one of these: they involve a run whose start was sent before the
// process that carried it out, a next one under the same id, was reached, and carried out before it was fenced; or a
// done end that nobody has read on an executor whose entry has expired.
func (f *Fleet) Permitted() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.permitted
}

// SetListed states whether there is an entry of the executor with the id.
func (f *Fleet) SetListed(id string, isListed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	x, ok := f.executors[id]
	switch {
	case !ok:
	case !isListed:
		x.wasUnlisted, x.listedAt, x.heardAt = true, 0, 0
	case x.listedAt == 0:
		x.listedAt = tick.Now()
	}
}

// mayBeGone reports whether a start that was sent at the time may treat the executor as gone: until its entry is back
// and has reached callers, or it has answered a hold since.
func (x *executor) mayBeGone(sentAt tick.Time) bool {
	if !x.wasUnlisted || x.listedAt == 0 {
		return x.wasUnlisted
	}
	return sentAt.Before(x.listedAt.Add(entryReactionTime)) && mayIgnore(sentAt, x.heardAt)
}

// receipt returns when a call was received and whether it is carried out later.
func receipt(ctx context.Context, now tick.Time) (at tick.Time, isLate bool) {
	if at, ok := exsrv.Receipt(ctx); ok {
		return at, true
	}
	return now, false
}

// mayIgnore reports whether a call that was sent at the time sentAt may ignore a response given at the time answeredAt,
// which is 0 before there was one.
func mayIgnore(sentAt, answeredAt tick.Time) bool {
	return answeredAt == 0 || sentAt.Before(answeredAt.Add(reactionTime))
}

// noteCall notes the token of a call that changes something.
func (g *fence) noteCall(token orders.FencingToken, sentAt tick.Time) {
	if mayIgnore(sentAt, g.reachedAt) && g.closedAt == 0 {
		g.highest = max(g.highest, token)
	}
}

// noteAnswer notes that a hold was answered.
func (g *fence) noteAnswer(token orders.FencingToken, now tick.Time) {
	g.lastAnswerAt = now
	if g.reachedAt == 0 {
		g.reachedAt = now
	}
	if g.closedAt == 0 && token > g.highest {
		g.closedAt = now
	}
}

// isOpen reports whether a call that was sent at the time may ignore what the process has carried out before it was
// fenced.
func (g *fence) isOpen(sentAt tick.Time) bool { return g.isExpected && mayIgnore(sentAt, g.closedAt) }

// origin is where a start comes from.
type origin struct {
	sentAt tick.Time
	isLate bool
	// isUnfenced means that the start was sent before the process was reached, and is carried out before it is fenced.
	isUnfenced bool
}

// newOrigin returns the origin of a start. One that arrives at once with a deadline on the clock of the process shows
// that its sender has had a response of the process.
func newOrigin(ctx context.Context, x *executor, o orders.Start, now tick.Time) origin {
	sentAt, isLate := receipt(ctx, now)
	knowsClock := !isLate && o.DeadlineMS <= x.clock(now)+maxLeaseMS
	isUnfenced := x.fence.isExpected && x.fence.closedAt == 0 && mayIgnore(sentAt, x.fence.reachedAt) && !knowsClock
	return origin{sentAt: sentAt, isLate: isLate, isUnfenced: isUnfenced}
}

// mayIgnoreRun reports whether a start may ignore a run that is there, or an end that is listed there.
func (x *executor) mayIgnoreRun(r orders.Run, o origin) bool {
	return x.unfenced[r] && x.fence.isOpen(o.sentAt)
}

// mayIgnoreDone reports whether a start may ignore that its task is done.
func (f *Fleet) mayIgnoreDone(t orders.Task, o origin) bool {
	if f.task(t).isDoneAcked {
		return false
	}
	for _, x := range f.executors {
		for _, e := range x.unackedEnds {
			if e.Run.Task == t && e.Reason == orders.EndedDone && !x.mayIgnoreRun(e.Run, o) && !x.mayBeGone(o.sentAt) {
				return false
			}
		}
	}
	return true
}

// unreadDone describes the done ends of a task that nobody has acknowledged.
func (f *Fleet) unreadDone(t orders.Task) string {
	text := ""
	for id, x := range f.executors {
		for _, e := range x.unackedEnds {
			if e.Run.Task == t && e.Reason == orders.EndedDone {
				silence := tick.Now().Sub(x.fence.lastAnswerAt)
				text += fmt.Sprintf(", unread on %s, which has answered no hold for %v", id, silence)
			}
		}
	}
	return text
}

// mayIgnoreStep reports whether a start may ignore a task of its step that is on the executor.
func (x *executor) mayIgnoreStep(t orders.Task, o origin) bool {
	for other, r := range x.runs {
		isOfStep := other.Job == t.Job && other.Occurrence == t.Occurrence && other.Step == t.Step
		if isOfStep && x.mayIgnoreRun(r.run, o) {
			return true
		}
	}
	return false
}
