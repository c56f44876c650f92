// Package circ decides whether a dependency that gave no answer is worth another call.
//
// A circuit opens at a call without an answer and closes at the next sign of life. While it is open, one call in each
// interval is let through to look for such a sign.
//
// # Usage
//
//	c := circ.New(200 * time.Millisecond)
//	if !c.Allows(now) { /* refuse at once */ }
//	c.Failed(now)
//	c.Answered(now)
package circ

import (
	"sync"
	"time"

	"github.com/ibischute/ibischute/pkg/tick"
)

// Circuit is the state of one dependency. It is safe for concurrent use.
type Circuit struct {
	interval time.Duration

	mu sync.Mutex
	// openSince is when the first call of a row got no answer; 0 while the circuit is closed.
	openSince tick.Time
	probedAt  tick.Time
}

// New returns a closed Circuit that lets one call in each interval through while it is open.
func New(interval time.Duration) *Circuit { return &Circuit{interval: interval} }

// Allows reports whether a call may be made at now.
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

// IsOpen reports whether the last calls got no answer.
func (c *Circuit) IsOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openSince != 0
}

// Failed notes a call without an answer.
func (c *Circuit) Failed(now tick.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openSince == 0 {
		c.openSince = now
	}
	c.probedAt = now
}

// Answered notes an answer that came at the time. One from before the circuit opened closes nothing.
func (c *Circuit) Answered(at tick.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at >= c.openSince {
		c.openSince = 0
	}
}
