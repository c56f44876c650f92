package leader_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/queue"
)

// giveCheckpoint makes the executors report the checkpoint for each task that runs.
func giveCheckpoint(checkpoint string) func(string, *orders.Lists) {
	return func(_ string, l *orders.Lists) {
		for i := range l.Running {
			l.Running[i].Checkpoint = checkpoint
		}
		for i := range l.Ended {
			l.Ended[i].Checkpoint, l.Ended[i].Reason = checkpoint, orders.EndedFailed
		}
	}
}

// checkOtherJobStarts runs a job whose tasks fail with a checkpoint and then expects that another job starts.
func checkOtherJobStarts(r *rig, checkpoint string) {
	r.t.Helper()
	r.startNodes(1)
	r.calls.edit(func() { r.calls.editLists = giveCheckpoint(checkpoint) })
	r.submit(rigJob(1, &jobpb.Step{Checkpointing: true}))
	time.Sleep(time.Second)
	r.calls.edit(func() { r.calls.editLists = giveCheckpoint("") })
	r.submit(rigJob(2, &jobpb.Step{}))
	took := r.awaitStart(jobID(2))
	assert.Assert(r.t, took <= maxDue, "the other job starts after %v", took)
}

// TestInvalidCheckpointKeepsOtherJobsStarting checks a checkpoint that no record can hold.
func TestInvalidCheckpointKeepsOtherJobsStarting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { checkOtherJobStarts(newRig(t), "\xff") })
}

// TestInvalidExecutorIDKeepsJobsStarting checks an entry with an id that no record can hold.
func TestInvalidExecutorIDKeepsJobsStarting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.startNodes(1)
		r.record(logs.Backends, "\xff", []byte("x"))
		time.Sleep(time.Second)
		r.submit(rigJob(1, &jobpb.Step{}))
		took := r.awaitStart(jobID(1))
		assert.Assert(t, took <= maxDue, "the job starts after %v", took)
	})
}

// TestJobsStartAfterRecordCouldNotBeEncoded checks a leader that cannot encode a record for a while.
func TestJobsStartAfterRecordCouldNotBeEncoded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		var isInvalid atomic.Bool
		isInvalid.Store(true)
		r.decode = func(id string, value []byte) (queue.Executor, error) {
			e, err := decodeExecutor(id, value)
			if isInvalid.Load() {
				e.Address = "\xff"
			}
			return e, err
		}
		r.startNodes(1)
		isInvalid.Store(false)
		r.submit(rigJob(1, &jobpb.Step{}))
		took := r.awaitStart(jobID(1))
		assert.Assert(t, took <= maxDue, "the job starts after %v", took)
	})
}

// TestInvalidCheckpointKeepsPrevious checks that a task resumes from its last checkpoint that a record can hold.
func TestInvalidCheckpointKeepsPrevious(t *testing.T) {
	const valid = "caf\u00e9 <&> \ufffd"
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.startNodes(1)
		r.calls.edit(func() {
			r.calls.editLists = func(id string, l *orders.Lists) {
				if r.calls.starts(jobID(1)) < 2 {
					giveCheckpoint(valid)(id, l)
					return
				}
				giveCheckpoint("\xff")(id, l)
			}
		})
		r.submit(rigJob(1, &jobpb.Step{Checkpointing: true}))
		for range 3 {
			r.awaitStart(jobID(1))
		}
		assert.DeepEqual(t, r.calls.startCheckpoints(jobID(1)), []string{"", valid, valid})
	})
}
