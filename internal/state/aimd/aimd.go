// Package aimd limits the calls in flight to what a path of unknown capacity can carry, by additive increase and
// multiplicative decrease.
//
// It is designed for bursts that exceed the capacity of the caller's link or processor. Without a limit, every call of
// the burst times out, and the calls that the timeouts cause keep the path saturated after the burst. Single lost calls
// and single callees that do not respond are no sign of such a burst: other calls still get fast responses.
//
// # Usage
//
//	w := aimd.New(128, 400*time.Millisecond)
//	if inFlight < w.Limit() { send() }
//	w.Answered(now, sentAt) // for each response
//	w.TimedOut(now, sentAt) // for each call without one
package aimd

import (
	"time"

	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// minLimit keeps calls going while every one of them times out, so that the end of the overload is noticed.
	minLimit       = 2
	decreaseFactor = 0.5
)

// Window is the limit of the calls in flight.
type Window struct {
	limit, highest float64
	slow           time.Duration
	decreasedAt    tick.Time
	// fastSentAt is when the latest call with a fast response was sent.
	fastSentAt tick.Time
}

// New returns a Window with its limit at highest, which it never exceeds. Responses that take longer than slow indicate
// that the path is saturated.
func New(highest int, slow time.Duration) *Window {
	return &Window{limit: float64(highest), highest: float64(highest), slow: slow}
}

// Limit returns how many calls may be in flight.
func (w *Window) Limit() int { return int(w.limit) }

// Answered adapts the limit to a response at now to a call sent at the time sent. Fast responses raise the limit by one
// for each limit's worth of them, slow ones lower it.
func (w *Window) Answered(now, sent tick.Time) {
	if now.Sub(sent) > w.slow {
		w.decrease(now, sent)
		return
	}
	w.fastSentAt = max(w.fastSentAt, sent)
	w.limit = min(w.highest, w.limit+1/w.limit)
}

// TimedOut lowers the limit for a call that was sent at the time sent and got no response by now, unless a call sent
// after it got a fast one.
func (w *Window) TimedOut(now, sent tick.Time) {
	if !w.fastSentAt.After(sent) {
		w.decrease(now, sent)
	}
}

// decrease lowers the limit. Calls that were sent before the limit was last lowered do not lower it again, as they
// belong to the same overload.
func (w *Window) decrease(now, sent tick.Time) {
	if sent.Before(w.decreasedAt) {
		return
	}
	w.decreasedAt = now
	w.limit = max(minLimit, decreaseFactor*w.limit)
}
