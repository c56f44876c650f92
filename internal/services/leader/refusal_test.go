package leader_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
)

// TestRunsOfExecutorThatRefusesHoldsAreReplaced checks an executor that responds, but refuses to extend its lease, so
// that its runs end with the lease.
func TestRunsOfExecutorThatRefusesHoldsAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.startNodes(1)
		r.submit(rigJob(1, &jobpb.Step{Count: executors, LongRunning: true, MaxPerExecutor: 2}))
		time.Sleep(2 * time.Second)
		r.calls.edit(func() {
			for i := range executors - 1 {
				r.calls.refusing[fmt.Sprintf("x%d", i)] = true
			}
		})
		// All runs have ended by then, and x3 has room.
		time.Sleep(params.LongestLease())
		took := r.awaitStart(jobID(1))
		assert.Assert(t, took <= maxDue, "a run is replaced after %v", took)
	})
}
