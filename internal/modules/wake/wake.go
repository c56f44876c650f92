// Package wake signals between goroutines through a channel of capacity 1.
//
// # Usage
//
//	changed := make(chan struct{}, 1)
//	wake.Send(changed)
//	wake.Wait(ctx, changed, time.Second)
package wake

import (
	"context"
	"time"
)

// Send sends a signal unless one is already pending.
func Send(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Wait blocks until a signal arrives, the duration elapses or the context ends. With a duration of 0 it returns
// immediately.
func Wait(ctx context.Context, c <-chan struct{}, d time.Duration) {
	if d == 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-c:
	case <-timer.C:
	}
}
