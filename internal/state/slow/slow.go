// Package slow detects that calls to a dependency are slow, so that another path is used.
//
// Calls are slow from the moment at which one takes longer than a threshold, whether or not it has been answered. They
// count as slow for a hold time after that, because no calls are made that would show the contrary. Then the next call
// is a trial. If it is slow again, the hold time doubles, so that the trials of many instances do not themselves use up
// the capacity of the dependency.
//
// # Usage
//
//	d := slow.New(150*time.Millisecond, 0.3)
//	d.Began(now)
//	d.Ended(now, isAnswered)
//	if d.IsSlow(now) { /* use the other path */ }
package slow

import (
	"sync"
	"time"

	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// minHold is longer than callers wait, so that an instance makes at most one trial while a caller waits.
	minHold = 4 * time.Second
	maxHold = 32 * time.Second
)

// Detector observes calls that are made one at a time. It is safe for concurrent use.
type Detector struct {
	threshold time.Duration
	// spread is the share by which the hold times of this instance are longer, so that instances do not try together.
	spread float64

	mu sync.Mutex
	// beganAt is the start of the call under way; 0 if there is none.
	beganAt tick.Time
	hold    time.Duration
	until   tick.Time
}

// New returns a Detector for calls that are slow if they take longer than the threshold. The spread is in [0, 1) and
// differs between instances.
func New(threshold time.Duration, spread float64) *Detector {
	return &Detector{threshold: threshold, spread: spread}
}

// Began records the start of a call.
func (d *Detector) Began(now tick.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.beganAt = now
}

// Ended records the end of the call. A call without an answer says nothing about how fast the dependency is.
func (d *Detector) Ended(now tick.Time, isAnswered bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	took := now.Sub(d.beganAt)
	d.beganAt = 0
	switch {
	case !isAnswered:
	case took > d.threshold:
		d.hold = min(maxHold, max(minHold, 2*d.hold))
		d.until = now.Add(time.Duration((1 + d.spread) * float64(d.hold)))
	default:
		d.hold, d.until = 0, 0
	}
}

// IsSlow reports whether calls are slow.
func (d *Detector) IsSlow(now tick.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Before(d.until) || d.beganAt != 0 && now.Sub(d.beganAt) > d.threshold
}
