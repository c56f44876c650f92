// Package tick provides the current time as a value that decision functions take as an argument.
//
// A Time counts nanoseconds since the machine booted (CLOCK_BOOTTIME). It includes the time during which the machine
// was suspended, so that a lease also expires during a suspension. It is not related to the wall clock.
//
// # Usage
//
//	now := tick.Now()
//	until := now.Add(4 * time.Second)
//	expired := !now.Before(until)
package tick

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Time is an instant on the boot-time clock, which includes suspended time.
type Time int64

// Now returns the current time. Only the outermost layers call it; decision functions take the time as an argument.
func Now() Time { return clockSource() }

// clockSource is the clock that Now reads; tests replace it.
var clockSource = bootTime

// SetSource replaces the clock for tests in virtual time, and returns a function that restores it.
func SetSource(f func() Time) (restore func()) {
	clockSource = f
	return func() { clockSource = bootTime }
}

func bootTime() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Time(time.Since(processStart))
	}
	return Time(ts.Nano())
}

var processStart = time.Now()

// Wall returns the wall-clock time. It is used for expiry times that are sent to other machines and for incarnation
// numbers.
func Wall() time.Time { return time.Now() }

// Add returns t plus d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }

// After reports whether t is later than u.
func (t Time) After(u Time) bool { return t > u }

// Pause sleeps for the duration or until the context ends.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
