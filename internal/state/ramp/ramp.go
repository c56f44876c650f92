// Package ramp limits the tasks on an executor that is slower for a while after its start (a cold executor).
//
// The limit rises with the share of the warm-up that is over, so that an executor that has just started does not get as
// many tasks as one that is warm.
//
// # Usage
//
//	r.Observe(now, remaining)
//	if limit, isCold := r.Limit(now, bounds, cores); isCold && tasks >= limit { skip() }
package ramp

import (
	"math"
	"time"

	"github.com/ibischute/ibischute/pkg/tick"
)

// Bounds limit the tasks on a cold executor. With an Overshoot of 0 there is no limit.
type Bounds struct {
	// Slack is the number of tasks that a cold executor may always run.
	Slack float64
	// Overshoot is multiplied by the share of the warm-up that is over and by the number of cores.
	Overshoot float64
}

// AtStart returns how many tasks an executor may run that has just started and may be cold, or false if there is no
// limit.
func (b Bounds) AtStart() (int, bool) {
	if b.Overshoot <= 0 {
		return 0, false
	}
	return max(1, int(math.Floor(b.Slack))), true
}

// Ramp is the warm-up of one process of an executor. The zero value is warm.
type Ramp struct {
	// warmAt is when the executor is warm, total its whole warm-up as far as it is known.
	warmAt tick.Time
	total  time.Duration
	// remaining is the last remaining time observed.
	remaining time.Duration
}

// Observe applies the remaining warm-up that the executor states. The same value again is the same statement, read once
// more, and does not prolong the warm-up. A higher value is that of a new process; a lower one ends the warm-up sooner
// or as expected, as a statement may have been read late.
func (r *Ramp) Observe(now tick.Time, remaining time.Duration) {
	until := now.Add(max(0, remaining))
	switch {
	case remaining > r.remaining:
		r.warmAt, r.total = until, remaining
	case remaining < r.remaining && until.Before(r.warmAt):
		r.warmAt = until
	}
	r.remaining = remaining
}

// IsCold reports whether the executor is still slow.
func (r *Ramp) IsCold(now tick.Time) bool { return now.Before(r.warmAt) }

// Limit returns how many tasks the executor may run, or false if there is no limit.
func (r *Ramp) Limit(now tick.Time, b Bounds, cores float64) (int, bool) {
	if b.Overshoot <= 0 || !r.IsCold(now) {
		return 0, false
	}
	share := 1 - min(1, float64(r.warmAt.Sub(now))/float64(r.total))
	limit := b.Slack + b.Overshoot*share*cores
	return max(1, int(math.Floor(limit))), true
}
