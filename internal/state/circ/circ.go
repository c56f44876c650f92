// Package circ implements a circuit breaker for calls to a dependency.
//
// A circuit opens when a call gets no response and closes at the next response to any call. It admits no probe calls of
// its own: the caller needs other calls, such as periodic reads, whose responses close the circuit.
//
// # Usage
//
//	c := circ.New(700 * time.Millisecond)
//	c.RecordNoResponse(now)      // a call broke
//	c.RecordSilence(since, now)  // a call timed out
//	c.RecordResponse(sent, now)  // a call got a response
//	if c.IsOpen() { /* reject the call */ }
package circ

import (
	"sync"
	"time"

	"github.com/ibischute/ibischute/pkg/tick"
)

// Circuit is the circuit breaker of one dependency. It is safe for concurrent use.
type Circuit struct {
	minSilence time.Duration

	mu     sync.Mutex
	isOpen bool
	// isDown is set while calls are not served. Then downSince is the time of the last call that was served, or of the
	// first one that was not, if none was.
	isDown    bool
	downSince tick.Time
	// notServedAt is the time of the first call that was not served.
	notServedAt tick.Time
	// lastResponseAt is the time of the last response, lastServedAt that of the last one that was no refusal.
	lastResponseAt, lastServedAt tick.Time
}

// New returns a closed Circuit. A call that times out opens it only if the dependency was silent for minSilence, so
// that calls with short deadlines of their own do not open it.
func New(minSilence time.Duration) *Circuit { return &Circuit{minSilence: minSilence} }

// IsOpen reports whether a call got no response and no response to any call has arrived since.
func (c *Circuit) IsOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isOpen
}

// DownFor returns for how long at most the dependency has been down: the time since the last call that was served. It
// is 0 if no call has failed since.
func (c *Circuit) DownFor(now tick.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isDown {
		return 0
	}
	return max(0, now.Sub(c.downSince))
}

// LastResponseAt returns the time of the last response to any call.
func (c *Circuit) LastResponseAt() tick.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastResponseAt
}

// RecordNoResponse records a call that broke at the given time, for example because its connection was reset. It
// reports whether this opened the circuit.
func (c *Circuit) RecordNoResponse(now tick.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open(now)
}

// RecordSilence records a call whose response was due since the given time and had not arrived when the call was given
// up. It opens the circuit unless the silence was too short or another call got a response meanwhile: then the
// dependency is reachable, and this call was lost or is slow. It reports whether this opened the circuit.
func (c *Circuit) RecordSilence(since, now tick.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(since) < c.minSilence || !c.lastResponseAt.Before(since) {
		return false
	}
	return c.open(now)
}

// open opens the circuit and reports whether it was closed. The caller must hold the mutex.
func (c *Circuit) open(now tick.Time) bool {
	c.setDown(now)
	wasOpen := c.isOpen
	c.isOpen = true
	return !wasOpen
}

// RecordResponse records a response of a dependency that served a call sent at the given time. It reports whether this
// closed the circuit. A call that was sent before another one was not served, such as a read that waits for records,
// does not show that calls are served again.
func (c *Circuit) RecordResponse(sent, now tick.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isDown || !sent.Before(c.notServedAt) {
		c.isDown = false
		c.lastServedAt = max(c.lastServedAt, now)
	}
	return c.close(now)
}

// RecordRefusal records a response of a dependency that refuses calls. The dependency is reachable, so the circuit
// closes, but it counts as down. It reports whether this closed the circuit.
func (c *Circuit) RecordRefusal(now tick.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setDown(now)
	return c.close(now)
}

// setDown records that a call was not served. The caller must hold the mutex.
func (c *Circuit) setDown(now tick.Time) {
	if c.isDown {
		return
	}
	c.isDown, c.downSince, c.notServedAt = true, now, now
	if c.lastServedAt != 0 {
		c.downSince = c.lastServedAt
	}
}

// close closes the circuit and reports whether it was open. The caller must hold the mutex.
func (c *Circuit) close(now tick.Time) bool {
	wasOpen := c.isOpen
	c.isOpen = false
	c.lastResponseAt = max(c.lastResponseAt, now)
	return wasOpen
}
