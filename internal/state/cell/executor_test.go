package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/pkg/queue"
)

func executorAt(id, address string, startedMS int64) queue.Executor {
	e := testExecutor(id)
	e.Address, e.StartedMS = address, startedMS
	return e
}

// TestStaleEntryAtSameAddress guards against terminating a live executor because the discovery entry of the previous
// process at its address has outlived that process.
func TestStaleEntryAtSameAddress(t *testing.T) {
	stale, fresh := executorAt("old", "10.0.0.1:80", 1000), executorAt("new", "10.0.0.1:80", 9000)
	h := newHarness(t, stale)
	h.cell.Discover(h.now, []queue.Executor{stale, fresh})
	h.commit()
	h.reportRunning("new")
	h.accept("j", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 5000})
	list := h.planAndConfirm()
	assert.Equal(t, list[0].Target.ID, "new")
	h.advance(500 * time.Millisecond)
	h.cell.Discover(h.now, []queue.Executor{fresh, stale})
	assert.Equal(t, len(h.cell.execs["new"].runs), 1, "the run on the live executor was released")
}

func TestNewerExecutorAtSameAddressTerminatesOlder(t *testing.T) {
	former := executorAt("old", "10.0.0.1:80", 1000)
	h := newHarness(t, former, testExecutor("other"))
	step := &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 5000}
	h.accept("j", "q", step)
	first := h.planAndConfirm()
	h.advance(500 * time.Millisecond)
	h.cell.Discover(h.now, []queue.Executor{executorAt("new", "10.0.0.1:80", 9000), testExecutor("other")})
	again := startedJobs(h.planAndConfirm())
	if first[0].Target.ID == "old" {
		assert.DeepEqual(t, again, []string{"j"})
		return
	}
	assert.Equal(t, len(again), 0)
}
