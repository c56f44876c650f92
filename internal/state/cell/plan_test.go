package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/state/interf"
)

func fullExecutorStep(estimateMs uint32) *jobpb.Step {
	return &jobpb.Step{Count: 1, MilliCpu: 64000, MemoryMb: 1000, EstimateMs: estimateMs}
}

// TestOverloadStartsShortestJobFirst checks a queue that exceeds the capacity: there is one executor, and each job
// takes all of it.
func TestOverloadStartsShortestJobFirst(t *testing.T) {
	h := newHarness(t, testExecutor("x"))
	h.accept("long", "q", fullExecutorStep(8000))
	h.advance(8 * time.Second)
	h.reportRunning("x")
	h.accept("middle", "q", fullExecutorStep(2000))
	h.accept("short", "q", fullExecutorStep(500))
	assert.DeepEqual(t, startedJobs(h.planAndConfirm()), []string{"short"})
}

// TestOverloadStartsLateJobsLast checks that a job that is already late starts after a new one that can still be in
// time, although the new one takes longer.
func TestOverloadStartsLateJobsLast(t *testing.T) {
	h := newHarness(t, testExecutor("x"))
	h.accept("late", "q", fullExecutorStep(500))
	h.advance(4 * time.Second)
	h.reportRunning("x")
	h.accept("fresh", "q", fullExecutorStep(2000))
	assert.DeepEqual(t, startedJobs(h.planAndConfirm()), []string{"fresh"})
}

// TestShortTasksStartBeforeLongRunningOnes guards against long-running tasks that occupy executors permanently while
// short tasks wait.
func TestShortTasksStartBeforeLongRunningOnes(t *testing.T) {
	h := newHarness(t, testExecutor("x"))
	step := fullExecutorStep(0)
	step.LongRunning = true
	h.accept("lasting", "q", step)
	h.accept("short", "q", fullExecutorStep(500))
	assert.DeepEqual(t, startedJobs(h.planAndConfirm()), []string{"short"})
}

func TestPriorityComesFirst(t *testing.T) {
	h := newHarness(t, testExecutor("x"))
	h.accept("low", "low", fullExecutorStep(100))
	h.accept("high", "q", fullExecutorStep(5000))
	assert.DeepEqual(t, startedJobs(h.planAndConfirm()), []string{"high"})
}

// TestStartsPerPlanAreLimited checks a burst of more starts than a leader can send: the others wait in order, and a
// stop does not wait behind them.
func TestStartsPerPlanAreLimited(t *testing.T) {
	h := newHarness(t, testExecutor("x"))
	h.accept("cancelled", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 5000})
	assert.Equal(t, len(h.planAndConfirm()), 1)
	h.accept("wide", "q", &jobpb.Step{Count: 40, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 1000})
	h.cell.Plan(h.now, testWallMS, PlanLimits{MaxStarts: 3, IsSoleLeader: true})
	h.commit()
	h.cell.Cancel(h.now, "cancelled")
	list := h.cell.Plan(h.now, testWallMS, PlanLimits{MaxStarts: 3, IsSoleLeader: true})
	stops := 0
	for _, o := range list {
		if o.Stop != nil {
			stops++
		}
	}
	assert.Equal(t, len(startedJobs(list)), 3)
	assert.Equal(t, stops, 1)
	assert.Equal(t, len(startedJobs(h.cell.Plan(h.now, testWallMS, PlanLimits{MaxStarts: 0, IsSoleLeader: true}))), 0)
	assert.Equal(t, len(startedJobs(h.cell.Plan(h.now, testWallMS, unbounded))), 37)
}

// TestInterferingImageDoesNotBlockOthers checks best-effort tasks of an image that causes too much interference on
// every executor. They are ahead of tasks of an image without interference and must not delay these.
func TestInterferingImageDoesNotBlockOthers(t *testing.T) {
	h := newHarness(t, testExecutor("x"))
	h.accept("s", "q", latencyCriticalStep("web"))
	lc := startOrders(h.planAndConfirm())[0]
	h.advance(time.Second)
	h.cell.interference.BaseMS["web"] = 10
	h.cell.interference.Regressions["web"] = &interf.Regression{
		Images: []string{"heavy", "light"}, Weights: []float64{0.2, 0},
	}
	h.reportRunning("x", runningRow(lc, 20, 100))
	heavy, light := bestEffortStep("heavy"), bestEffortStep("light")
	light.EstimateMs *= 2
	h.accept("first", "low", heavy)
	h.accept("second", "low", light)
	assert.DeepEqual(t, startedJobs(h.planAndConfirm()), []string{"second"})
}
