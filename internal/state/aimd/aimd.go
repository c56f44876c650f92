// Package aimd limits the calls in flight to what a path of unknown capacity can carry, by additive increase and
// multiplicative decrease.
//
// It is designed for bursts that exceed the capacity of the caller's link or processor. Without a limit, every call of
// the burst times out, and the calls that the timeouts cause keep the path saturated after the burst.
//
// # Usage
//
//	w := aimd.New(128)
//	if inFlight < w.Limit() { send() }
//	w.Answered()            // for each response
//	w.TimedOut(now, sentAt) // for each call without one
package aimd

import "github.com/ibischute/ibischute/pkg/tick"

const (
	// minLimit keeps calls going while every one of them times out, so that the end of the overload is noticed.
	minLimit       = 2
	decreaseFactor = 0.5
)

// Window is the limit of the calls in flight.
type Window struct {
	limit, highest float64
	decreasedAt    tick.Time
}

// New returns a Window with its limit at highest, which it never exceeds.
func New(highest int) *Window {
	return &Window{limit: float64(highest), highest: float64(highest)}
}

// Limit returns how many calls may be in flight.
func (w *Window) Limit() int { return int(w.limit) }

// Answered raises the limit by one for each limit's worth of responses.
func (w *Window) Answered() {
	w.limit = min(w.highest, w.limit+1/w.limit)
}

// TimedOut lowers the limit for a call that was sent at the time sent and got no response by now. Calls that were sent
// before the limit was last lowered do not lower it again, as they belong to the same overload.
func (w *Window) TimedOut(now, sent tick.Time) {
	if sent.Before(w.decreasedAt) {
		return
	}
	w.decreasedAt = now
	w.limit = max(minLimit, decreaseFactor*w.limit)
}
