// Package circ implements a circuit breaker for calls to a dependency.
//
// A circuit opens when a call gets no response and closes at the next response. While it is open, one probe call per
// interval is allowed.
//
// # Usage
//
//	c := circ.New(200 * time.Millisecond)
//	if !c.Allows(now) { /* reject the call */ }
//	c.RecordNoResponse(now)
//	c.RecordResponse(now)
package circ

import (
	"sync"
	"time"

	"github.com/ibischute/ibischute/pkg/tick"
)

// Circuit is the circuit breaker of one dependency. It is safe for concurrent use.
type Circuit struct {
	interval time.Duration

	mu sync.Mutex
	// openSince is the time of the first call without a response; 0 while the circuit is closed.
	openSince tick.Time
	// probedAt is the time of the last probe call or failure.
	probedAt tick.Time
}

// New returns a closed Circuit that allows one probe call per interval while it is open.
func New(interval time.Duration) *Circuit { return &Circuit{interval: interval} }

// Allows reports whether a call may be made now. While the circuit is open, an allowed call counts as the probe of the
// interval.
func (c *Circuit) Allows(now tick.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openSince == 0 {
		return true
	}
	if now.Sub(c.probedAt) < c.interval {
		return false
	}
	c.probedAt = now
	return true
}

// IsOpen reports whether calls have failed since the last response.
func (c *Circuit) IsOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openSince != 0
}

// RecordNoResponse records a call without a response.
func (c *Circuit) RecordNoResponse(now tick.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openSince == 0 {
		c.openSince = now
	}
	c.probedAt = now
}

// RecordResponse records a response that was received at the given time. A response from before the circuit opened does
// not close it.
func (c *Circuit) RecordResponse(at tick.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at >= c.openSince {
		c.openSince = 0
	}
}
