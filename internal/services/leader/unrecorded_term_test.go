package leader_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/tick"
)

// progressRefusal refuses the appends of progress records, but not those without records, which set the epoch.
type progressRefusal struct {
	logs.Log
}

// Append implements logs.Log.
func (l progressRefusal) Append(
	ctx context.Context, t logs.Topic, p logs.Part, records []logs.Record, c logs.Condition,
) (logs.Offset, error) {
	if t == logs.Progress && len(records) > 0 {
		return 0, fault.New(fault.CodeUnavailable, fault.NotRun, "the log refuses progress records")
	}
	return l.Log.Append(ctx, t, p, records, c)
}

// awaitLeader waits until the instance leads.
func (n *rigNode) awaitLeader(t *testing.T) {
	t.Helper()
	for range 1000 {
		if n.elector.IsLeader(tick.Now()) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the instance does not lead")
}

// TestTasksStartSoonAfterLeaderThatRecordedNothing checks the loss of a leader that has won the election but stored no
// record. It has ordered no start, so its successor must still rely on the records of the leader before: only tasks
// that may run on the silent executor wait for its lease.
func TestTasksStartSoonAfterLeaderThatRecordedNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		first := r.startNodes(1)
		r.wrapLog = func(l logs.Log) logs.Log { return progressRefusal{l} }
		second := r.start("second")
		time.Sleep(2 * time.Second)
		// A started run of the job is over before the next leader begins; the second step is due then.
		job := rigJob(1, &jobpb.Step{})
		job.Steps = append(job.Steps, &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, DependsOn: []uint32{0}})
		var ranOn string
		r.calls.onStart = func(target orders.Target, _ orders.Start) { ranOn = target.ID }
		r.submit(job)
		time.Sleep(200 * time.Millisecond)
		r.calls.edit(func() {
			assert.Assert(t, ranOn != "", "the first step has not started")
			silent := "x0"
			if ranOn == silent {
				silent = "x1"
			}
			r.calls.silent[silent] = true
		})
		first.kill()
		second.awaitLeader(t)
		second.kill()
		r.wrapLog = func(l logs.Log) logs.Log { return l }
		third := r.start("third")
		third.awaitLeader(t)
		time.Sleep(maxDue)
		assert.Equal(t, r.calls.starts(jobID(1)), 2, "starts of the steps %v after the change of leader", maxDue)
	})
}
