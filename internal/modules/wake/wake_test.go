package wake_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/wake"
)

func TestWaitEndsAtFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := make(chan struct{}, 1)
		wake.Send(c)
		wake.Send(c)
		elapsed := func(ctx context.Context, d time.Duration) time.Duration {
			start := time.Now()
			wake.Wait(ctx, c, d)
			return time.Since(start)
		}
		assert.Equal(t, elapsed(t.Context(), 0), time.Duration(0))
		assert.Equal(t, elapsed(t.Context(), time.Second), time.Duration(0), "two signals must wake Wait only once")
		assert.Equal(t, elapsed(t.Context(), time.Second), time.Second)
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		assert.Equal(t, elapsed(ended, time.Second), time.Duration(0))
	})
}
