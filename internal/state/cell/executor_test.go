package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/pkg/queue"
)

func at(id, address string, bornMS int64) queue.Executor {
	e := machine(id)
	e.Address, e.BornMS = address, bornMS
	return e
}

// TestStaleEntryAtTheSameAddress plays an entry that outlives its process beside that of the next process.
func TestStaleEntryAtTheSameAddress(t *testing.T) {
	stale, fresh := at("old", "10.0.0.1:80", 1000), at("new", "10.0.0.1:80", 9000)
	b := newBench(t, stale)
	b.cell.Discover(b.now, []queue.Executor{stale, fresh})
	b.commit()
	b.held("new")
	b.accept("j", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 5000})
	list := b.plan()
	assert.Equal(t, list[0].Target.ID, "new")
	b.pass(500 * time.Millisecond)
	b.cell.Discover(b.now, []queue.Executor{fresh, stale})
	assert.Equal(t, len(b.cell.execs["new"].runs), 1, "a run was given up on a live executor")
}

func TestSuccessorAtTheAddressEndsTheFormerProcess(t *testing.T) {
	former := at("old", "10.0.0.1:80", 1000)
	b := newBench(t, former, machine("other"))
	step := &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 5000}
	b.accept("j", "q", step)
	first := b.plan()
	b.pass(500 * time.Millisecond)
	b.cell.Discover(b.now, []queue.Executor{at("new", "10.0.0.1:80", 9000), machine("other")})
	again := started(b.plan())
	if first[0].Target.ID == "old" {
		assert.DeepEqual(t, again, []string{"j"})
		return
	}
	assert.Equal(t, len(again), 0)
}
