package leader_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/pkg/tick"
)

// TestPlanResumesSoonAfterStall checks a process that stands still for a while in the middle of a plan.
func TestPlanResumesSoonAfterStall(t *testing.T) {
	const stall = 1400 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		var isStallDue atomic.Bool
		// An idle leader checks its lease only before it plans.
		r.wrapLease = func(holdsLease func(tick.Time) bool) func(tick.Time) bool {
			return func(now tick.Time) bool {
				if isStallDue.Swap(false) {
					time.Sleep(stall)
				}
				return holdsLease(now)
			}
		}
		r.startNodes(3)
		isStallDue.Store(true)
		for isStallDue.Load() {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(stall)
		r.submit(rigJob(1, &jobpb.Step{}))
		took := r.awaitStart(jobID(1))
		assert.Assert(t, took <= maxDue, "the job starts after %v", took)
	})
}
