package leader_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// startRate is the number of starts a second that one leader must make (docs/design/start-orders.md).
	startRate = 900
	// slowCheck is how long the check of the leadership lease takes on a slow processor.
	slowCheck = 30 * time.Millisecond
	wideTasks = 2048
)

// TestStartsWaitForPlansOfSlowLeader guards against a rate of starts that depends on how long plans take.
func TestStartsWaitForPlansOfSlowLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.wrapLease = func(f func(tick.Time) bool) func(tick.Time) bool {
			return func(now tick.Time) bool {
				time.Sleep(slowCheck)
				return f(now)
			}
		}
		r.decode = func(id string, _ []byte) (queue.Executor, error) {
			return queue.Executor{
				ID: id, Address: id, Service: "svc", MilliCPU: 1000 * wideTasks, MemoryMB: 100 * wideTasks,
			}, nil
		}
		r.startNodes(1)
		since := time.Now()
		r.submit(rigJob(1, &jobpb.Step{Count: wideTasks}))
		for r.calls.starts(jobID(1)) < wideTasks && time.Since(since) < dueLimit {
			time.Sleep(5 * time.Millisecond)
		}
		took := time.Since(since)
		t.Logf("%d starts in %v", r.calls.starts(jobID(1)), took)
		assert.Assert(t, took <= wideTasks*time.Second/startRate, "%d starts take %v", wideTasks, took)
	})
}
