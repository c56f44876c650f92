package leader_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

// slowLog takes the time for each append.
type slowLog struct {
	logs.Log
	time *time.Duration
}

// Append implements logs.Log.
func (l slowLog) Append(
	ctx context.Context, t logs.Topic, p logs.Part, records []logs.Record, c logs.Condition,
) (logs.Offset, error) {
	tick.Pause(ctx, *l.time)
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	return l.Log.Append(ctx, t, p, records, c)
}

// slowExecutors delays holds.
type slowExecutors struct {
	orders.Executors
	time *time.Duration
}

// Hold implements orders.Executors.
func (s slowExecutors) Hold(ctx context.Context, t orders.Target, o orders.Hold) (orders.Lists, orders.Reply) {
	tick.Pause(ctx, *s.time)
	return s.Executors.Hold(ctx, t, o)
}

// TestRunsLapseInSlowTakeover guards against leases of living executors that end because the store and the executors
// are slow while the leader changes.
func TestRunsLapseInSlowTakeover(t *testing.T) {
	const slowHold = 550 * time.Millisecond
	for _, slowAppend := range []time.Duration{400, 600, 700, 800} {
		slowAppend *= time.Millisecond
		t.Run(slowAppend.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t)
				var appendTime, holdTime time.Duration
				r.wrapLog = func(l logs.Log) logs.Log { return slowLog{l, &appendTime} }
				r.calls.Executors = slowExecutors{r.fleet, &holdTime}
				first := r.startNodes(3)
				r.submitLongRunning(1)
				r.awaitHeartbeat()
				appendTime, holdTime = slowAppend, slowHold
				first.kill()
				time.Sleep(6 * time.Second)
				appendTime, holdTime = 0, 0
				time.Sleep(12 * time.Second)
				assert.Equal(t, r.calls.starts(jobID(1)), 1, "the run has lapsed")
			})
		})
	}
}
