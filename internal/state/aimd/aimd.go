// Package aimd limits the calls in flight to what a path of unknown capacity can carry, by additive increase and
// multiplicative decrease.
//
// It is designed for bursts that exceed the capacity of the caller's link or processor. Without a limit, every call of
// the burst times out, and the calls that the timeouts cause keep the path saturated after the burst. Lost calls and
// callees that do not respond are no sign of such a burst: calls that were sent later still get fast responses. Such
// overtaken calls do not lower the limit. Once they are slow, they no longer count as in flight.
//
// Responses that arrive faster than the caller handles them wait for its processor. WithQueue bounds their number: the
// calls in flight are then at most those that a rate takes at the fastest response time, and the queue.
//
// # Usage
//
//	w := aimd.New(128, 400*time.Millisecond).WithQueue(32, 1000)
//	if w.Room(now) > 0 {
//		w.Sent(now)
//		send()
//	}
//	w.Answered(now, sentAt) // for each response
//	w.Failed(now, sentAt)   // for each call without one
package aimd

import (
	"math"
	"slices"
	"time"

	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// minLimit keeps calls going while every one of them times out, so that the end of the overload is noticed.
	minLimit       = 2
	decreaseFactor = 0.5
	// fastestPeriod is how long a response time counts as the fastest at least, and twice that at most.
	fastestPeriod = 5 * time.Second
)

// Window is the limit of the calls in flight.
type Window struct {
	limit, highest float64
	slow           time.Duration
	decreasedAt    tick.Time
	// fastSentAt is when the latest call with a fast response was sent.
	fastSentAt tick.Time
	// inFlight has the times at which the calls without an outcome were sent, in ascending order.
	inFlight []tick.Time
	// queue is the limit of the calls that wait for the caller, and perSecond the rate that is possible without them; 0 if
	// there is no such limit.
	queue, perSecond int
	// fastest is the shortest response time of the present period, which began at periodAt, and formerFastest that of the
	// period before; 0 without a response.
	fastest, formerFastest time.Duration
	periodAt               tick.Time
}

// New returns a Window with its limit at highest, which it never exceeds. Responses that take longer than slow indicate
// that the path is saturated.
func New(highest int, slow time.Duration) *Window {
	return &Window{limit: float64(highest), highest: float64(highest), slow: slow}
}

// WithQueue limits the calls in flight to those that a rate of perSecond takes at the fastest response time, and queue
// more.
func (w *Window) WithQueue(queue, perSecond int) *Window {
	w.queue, w.perSecond = queue, perSecond
	return w
}

// Limit returns how many calls may be in flight.
func (w *Window) Limit() int {
	if w.queue == 0 {
		return int(w.limit)
	}
	needed := int(math.Ceil(float64(w.perSecond) * w.fastestResponse().Seconds()))
	return min(int(w.limit), w.queue+needed)
}

// fastestResponse returns the shortest response time of late.
func (w *Window) fastestResponse() time.Duration {
	if w.formerFastest == 0 || w.fastest == 0 {
		return max(w.fastest, w.formerFastest)
	}
	return min(w.fastest, w.formerFastest)
}

// noteResponse applies a response time to the shortest one.
func (w *Window) noteResponse(now tick.Time, took time.Duration) {
	if now.Sub(w.periodAt) >= fastestPeriod {
		w.formerFastest, w.fastest, w.periodAt = w.fastest, 0, now
	}
	if w.fastest == 0 || took < w.fastest {
		w.fastest = took
	}
}

// Room returns how many calls may be sent now.
func (w *Window) Room(now tick.Time) int { return max(0, w.Limit()-w.InFlight(now)) }

// InFlight returns the number of calls that the path may still carry.
func (w *Window) InFlight(now tick.Time) int {
	n := 0
	for _, sent := range w.inFlight {
		if !w.isOvertaken(sent) || now.Sub(sent) <= w.slow {
			n++
		}
	}
	return n
}

// isOvertaken reports whether a call that was sent later than the given time has received a fast response.
func (w *Window) isOvertaken(sent tick.Time) bool { return w.fastSentAt.After(sent) }

// Sent counts a call that is sent now. Answered or Failed must be called once for it.
func (w *Window) Sent(now tick.Time) { w.inFlight = append(w.inFlight, now) }

// Answered adapts the limit to a response at now to a call sent at the time sent. Fast responses raise the limit by one
// for each limit's worth of them, slow ones lower it unless the call was overtaken.
func (w *Window) Answered(now, sent tick.Time) {
	w.remove(sent)
	w.noteResponse(now, now.Sub(sent))
	if now.Sub(sent) > w.slow {
		w.decreaseUnlessOvertaken(now, sent)
		return
	}
	w.fastSentAt = max(w.fastSentAt, sent)
	w.limit = min(w.highest, w.limit+1/w.limit)
}

// Withdrawn removes a call that was not made.
func (w *Window) Withdrawn(sent tick.Time) { w.remove(sent) }

// Failed lowers the limit for a call that was sent at the time sent and got no response by now, unless it was overtaken
// or failed fast: a broken connection says nothing about the capacity of the path.
func (w *Window) Failed(now, sent tick.Time) {
	w.remove(sent)
	if now.Sub(sent) > w.slow {
		w.decreaseUnlessOvertaken(now, sent)
	}
}

// remove removes a call from those in flight.
func (w *Window) remove(sent tick.Time) {
	if i := slices.Index(w.inFlight, sent); i >= 0 {
		w.inFlight = slices.Delete(w.inFlight, i, i+1)
	}
}

// decreaseUnlessOvertaken lowers the limit, unless a call that was sent later has received a fast response. Calls that
// were sent before the limit was last lowered do not lower it again, as they belong to the same overload.
func (w *Window) decreaseUnlessOvertaken(now, sent tick.Time) {
	if w.isOvertaken(sent) || sent.Before(w.decreasedAt) {
		return
	}
	w.decreasedAt = now
	w.limit = max(minLimit, decreaseFactor*w.limit)
}
