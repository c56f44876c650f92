// Package wake lets one goroutine wake another through a channel of capacity 1.
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

// Send sends unless a signal is waiting already.
func Send(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Wait waits for a signal, for the duration or for the end of the context, whatever comes first. A duration of 0 is no
// wait.
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
