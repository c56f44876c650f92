// Package tick gives the present time as a value that deciding functions take as an argument.
//
// A Time counts nanoseconds since the machine was started, including the time it was suspended, so that a lease
// lapses during a suspension as well. It says nothing about the calendar.
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

// Time is an instant on the clock that counts suspended time.
type Time int64

// Now reads the clock. Only the outermost layers call it; deciding functions take the result.
func Now() Time { return source() }

// source is where Now reads the time.
var source = bootTime

// SetSource replaces the clock for tests in virtual time, and returns a function that sets it back.
func SetSource(f func() Time) (restore func()) {
	source = f
	return func() { source = bootTime }
}

func bootTime() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Time(time.Since(processStart))
	}
	return Time(ts.Nano())
}

var processStart = time.Now()

// Wall returns the calendar time; used for expiries that cross machines and for incarnation numbers.
func Wall() time.Time { return time.Now() }

// Add returns the instant d later.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }

// After reports whether t is later than u.
func (t Time) After(u Time) bool { return t > u }

// Pause waits for the duration or until the context ends.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
