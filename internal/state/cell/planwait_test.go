package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
)

// TestWaitForPlanIsPartOfFirstWait guards against waits for the next plan that no stage of the start delays contains.
func TestWaitForPlanIsPartOfFirstWait(t *testing.T) {
	const planWait = 400 * time.Millisecond
	h := newHarness(t, testExecutor("a"))
	h.accept("job", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 300})
	h.advance(planWait)
	h.planAndConfirm()
	for _, e := range h.cell.Events() {
		if e.FirstWait != nil {
			assert.Assert(t, e.FirstWait.Duration >= planWait, "a task that waited %v for a plan counts as waiting %v", planWait,
				e.FirstWait.Duration)
			assert.Assert(t, e.Stages.Placing >= planWait, "placing took %v", e.Stages.Placing)
			return
		}
	}
	t.Fatal("the task has not started")
}
