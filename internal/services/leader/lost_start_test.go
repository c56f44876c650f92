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

// TestLostStartOrderDelaysTaskLittle checks a lost start order on an executor that responds otherwise. The task must
// not wait for the timeout of the order, which exceeds the latency target of short jobs.
func TestLostStartOrderDelaysTaskLittle(t *testing.T) {
	const maxDelay = 500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.startNodes(1)
		r.submit(rigJob(1, &jobpb.Step{Count: executors}))
		time.Sleep(2 * time.Second)
		r.calls.edit(func() { r.calls.lostStarts = 1 })
		r.submit(rigJob(2, &jobpb.Step{LongRunning: true}))
		took := r.awaitStart(jobID(2))
		assert.Assert(t, took <= maxDelay, "the task starts after %v", took)
	})
}

// TestLostStartResponseKeepsRun checks a start that an executor carries out without a response. The list must confirm
// the run, which must not be stopped or started again.
func TestLostStartResponseKeepsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.startNodes(1)
		r.submit(rigJob(1, &jobpb.Step{Count: executors}))
		time.Sleep(2 * time.Second)
		r.calls.edit(func() { r.calls.lostResponses = 1 })
		r.submit(rigJob(2, &jobpb.Step{}))
		time.Sleep(3 * time.Second)
		assert.Equal(t, r.calls.starts(jobID(2)), 1)
		assert.Equal(t, r.calls.stops(jobID(2)), 0)
	})
}
