package leader_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/queue"
)

// blindLog is a log that rejects reads of the executors' entries while isBlind is set.
type blindLog struct {
	logs.Log
	isBlind *atomic.Bool
}

func (l blindLog) Read(
	ctx context.Context, t logs.Topic, p logs.Part, from logs.Offset, wait time.Duration,
) (logs.Page, error) {
	if t == logs.Backends && l.isBlind.Load() {
		return logs.Page{}, fault.New(fault.CodeUnavailable, fault.NotRun, "rejected")
	}
	return l.Log.Read(ctx, t, p, from, wait)
}

// TestLeaderWithoutEntriesStartsOnlyWhereCapacityIsEnforced guards against starts on executors whose capacity may have
// shrunk since the leader last read their entries, while it still stores its records.
func TestLeaderWithoutEntriesStartsOnlyWhereCapacityIsEnforced(t *testing.T) {
	for _, enforces := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t)
			r.services = map[string]queue.Service{"svc": {Name: "svc", EnforcesCapacity: enforces}}
			isBlind := &atomic.Bool{}
			r.wrapLog = func(l logs.Log) logs.Log { return blindLog{l, isBlind} }
			r.startNodes(1)
			time.Sleep(3 * time.Second)
			isBlind.Store(true)
			time.Sleep(4 * time.Second)
			r.submit(rigJob(1, &jobpb.Step{}))
			time.Sleep(2 * time.Second)
			assert.Equal(t, r.calls.starts(jobID(1)) > 0, enforces)
			isBlind.Store(false)
			if !enforces {
				took := r.awaitStart(jobID(1))
				assert.Assert(t, took < maxDue, "the job starts after %v", took)
			}
		})
	}
}
