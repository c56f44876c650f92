package leader_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
)

// maxDueAfterLoss is maxDue after the loss of an instance, which counts as a disruption for 4 s.
const maxDueAfterLoss = maxDue + 4*time.Second

// replacement is the replacement of a leader while one executor does not respond.
type replacement struct {
	// unlisted is since when the executor has had no entry; silent is since when it has not responded.
	unlisted, silent time.Duration
	isUnlisted       bool
	isPlanned        bool
}

// replaceLeader returns the time from the loss of a leader to the next start of a job that had already started.
func replaceLeader(t *testing.T, c replacement) time.Duration {
	t.Helper()
	took := dueLimit
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		first := r.startNodes(3)
		r.submit(rigJob(1, &jobpb.Step{Count: 8, LongRunning: true, MaxPerExecutor: 2}))
		time.Sleep(3 * time.Second)
		r.calls.edit(func() { r.calls.silent["x0"] = true })
		time.Sleep(c.silent - c.unlisted)
		if c.isUnlisted {
			r.record(logs.Backends, "x0", nil)
		}
		time.Sleep(c.unlisted)
		if c.isPlanned {
			first.elector.Resign()
		} else {
			first.kill()
		}
		took = r.awaitStart(jobID(1))
	})
	return took
}

// TestTasksStartSoonAfterLossOfExecutorAndLeader checks jobs that have started when the leader is killed while an
// executor that has just gone is still in the roster.
func TestTasksStartSoonAfterLossOfExecutorAndLeader(t *testing.T) {
	took := replaceLeader(t, replacement{silent: 5 * time.Second, unlisted: 1500 * time.Millisecond, isUnlisted: true})
	assert.Assert(t, took <= maxDueAfterLoss, "a task starts after %v", took)
}

// TestTasksStartSoonAfterPlannedStopOfLeader checks the same with a leader that resigns.
func TestTasksStartSoonAfterPlannedStopOfLeader(t *testing.T) {
	took := replaceLeader(t, replacement{
		silent: 5 * time.Second, unlisted: 1500 * time.Millisecond, isUnlisted: true, isPlanned: true,
	})
	assert.Assert(t, took <= maxDueAfterLoss, "a task starts after %v", took)
}

// TestExecutorThatLeftLongAgoDelaysNoTakeover checks that the roster does not keep executors that have left.
func TestExecutorThatLeftLongAgoDelaysNoTakeover(t *testing.T) {
	took := replaceLeader(t, replacement{silent: 12 * time.Second, unlisted: 8 * time.Second, isUnlisted: true})
	assert.Assert(t, took <= maxDue, "a task starts after %v", took)
}
