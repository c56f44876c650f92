package leader_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
)

// TestTaskOfLostStartOrderStartsAgain checks a start order that never arrives at an executor on which nothing ends.
func TestTaskOfLostStartOrderStartsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.startNodes(1)
		r.calls.edit(func() { r.calls.lostStarts = 1 })
		r.submit(rigJob(1, &jobpb.Step{LongRunning: true}))
		// The order times out in this time.
		time.Sleep(time.Second)
		took := r.awaitStart(jobID(1))
		assert.Assert(t, took <= maxDue, "the task starts after %v", took)
	})
}
