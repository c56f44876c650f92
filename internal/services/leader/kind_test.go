package leader_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/stand/memex"
	"github.com/ibischute/ibischute/pkg/queue"
)

// writeKind writes the entry of the executor's process, which is of the kind.
func (r *rig) writeKind(id, kind string) {
	r.fleet.SetLabels(id, kind)
	r.record(logs.Backends, id, fmt.Appendf(nil, "%d %s", r.fleet.Incarnation(id), kind))
}

// restartAs restarts the executor under its id as the kind, without an entry of the next process.
func (r *rig) restartAs(id, kind string) {
	r.fleet.Remove(id)
	r.fleet.Add(id)
	r.fleet.SetLabels(id, kind)
}

func decodeKind(id string, value []byte) (queue.Executor, error) {
	e, err := decodeExecutor(id, value)
	kind := ""
	if _, scanErr := fmt.Sscanf(string(value), "%d %s", &e.StartedMS, &kind); scanErr == nil {
		e.Labels = []string{kind}
	}
	return e, err
}

// TestRestartedExecutorsServeBeforeTheirEntries guards against jobs that wait beside room that they may use, and tasks
// that start without their label, after all executors have restarted as another kind: while the leader cannot read
// their entries, and while the entries are old and the leader is replaced.
func TestRestartedExecutorsServeBeforeTheirEntries(t *testing.T) {
	for name, isReplaced := range map[string]bool{"entries unread": false, "entries old, leader replaced": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t)
				isBlind := &atomic.Bool{}
				r.decode = decodeKind
				r.wrapLog = func(l logs.Log) logs.Log { return blindLog{l, isBlind} }
				r.forEachExecutor(func(id string) { r.writeKind(id, "a") })
				first := r.startNodes(2)
				time.Sleep(3 * time.Second)
				isBlind.Store(!isReplaced)
				r.forEachExecutor(func(id string) { r.restartAs(id, "b") })
				if isReplaced {
					first.kill()
				}
				r.submit(labelledJob(1, "a"))
				r.submit(labelledJob(2, ""))
				limit := maxDue
				if isReplaced {
					limit = maxDueAfterLoss
				}
				took := r.awaitStart(jobID(2))
				assert.Assert(t, took <= limit, "the job without a label starts after %v", took)
				time.Sleep(5 * time.Second)
				r.forEachExecutor(func(id string) { r.writeKind(id, "b") })
				isBlind.Store(false)
				r.submit(labelledJob(3, "b"))
				took = r.awaitStart(jobID(3))
				assert.Assert(t, took <= maxDue, "the job of the present kind starts after %v", took)
				assert.Equal(t, r.calls.starts(jobID(1)), 0, "the job requires the former kind")
				assert.Equal(t, len(r.fleet.Violations()), 0, "%v", r.fleet.Violations())
			})
		})
	}
}

// labelledJob returns a job whose task requires the kind, or any if that is empty. Its spec says so, too, for the check
// of the fleet.
func labelledJob(n int, kind string) *jobpb.Job {
	j := rigJob(n, &jobpb.Step{RequiresLabel: kind})
	j.Spec = memex.Behavior{Duration: 400 * time.Millisecond, RequiresLabel: kind}.Spec()
	return j
}

func (r *rig) forEachExecutor(f func(id string)) {
	for i := range executors {
		f(fmt.Sprintf("x%d", i))
	}
}
