package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
)

func fullStep(estimateMs uint32) *jobpb.Step {
	return &jobpb.Step{Count: 1, MilliCpu: 64000, MemoryMb: 1000, EstimateMs: estimateMs}
}

// TestOverloadServesTheSoonestDone replays a queue beyond the room: one executor, each job takes all of it.
func TestOverloadServesTheSoonestDone(t *testing.T) {
	b := newBench(t, machine("x"))
	b.accept("long", "q", fullStep(8000))
	b.pass(8 * time.Second)
	b.held("x")
	b.accept("middle", "q", fullStep(2000))
	b.accept("short", "q", fullStep(500))
	assert.DeepEqual(t, started(b.plan()), []string{"short"})
}

// TestOverloadPutsLateJobsBack replays a job that has missed its time while a fresh one, though longer, can be in time.
func TestOverloadPutsLateJobsBack(t *testing.T) {
	b := newBench(t, machine("x"))
	b.accept("late", "q", fullStep(500))
	b.pass(4 * time.Second)
	b.held("x")
	b.accept("fresh", "q", fullStep(2000))
	assert.DeepEqual(t, started(b.plan()), []string{"fresh"})
}

// TestShortTasksComeBeforeLastingOnes replays executors that lasting tasks would fill for good.
func TestShortTasksComeBeforeLastingOnes(t *testing.T) {
	b := newBench(t, machine("x"))
	lasting := fullStep(0)
	lasting.LongRunning = true
	b.accept("lasting", "q", lasting)
	b.accept("short", "q", fullStep(500))
	assert.DeepEqual(t, started(b.plan()), []string{"short"})
}

func TestPriorityComesFirst(t *testing.T) {
	b := newBench(t, machine("x"))
	b.accept("low", "low", fullStep(100))
	b.accept("high", "q", fullStep(5000))
	assert.DeepEqual(t, started(b.plan()), []string{"high"})
}

// TestStartsUnderWayAreBounded replays a burst beyond what a lead can send: what is not sent waits in order, and a stop
// does not wait behind it.
func TestStartsUnderWayAreBounded(t *testing.T) {
	b := newBench(t, machine("x"))
	b.accept("cancelled", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 5000})
	assert.Equal(t, len(b.plan()), 1)
	b.accept("wide", "q", &jobpb.Step{Count: 40, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 1000})
	b.cell.Plan(b.now, benchWallMS, Allowance{MaxStarts: 3, IsSole: true})
	b.commit()
	b.cell.Cancel(b.now, "cancelled")
	list := b.cell.Plan(b.now, benchWallMS, Allowance{MaxStarts: 3, IsSole: true})
	stops := 0
	for _, o := range list {
		if o.Stop != nil {
			stops++
		}
	}
	assert.Equal(t, len(started(list)), 3)
	assert.Equal(t, stops, 1)
	assert.Equal(t, len(started(b.cell.Plan(b.now, benchWallMS, Allowance{MaxStarts: 0, IsSole: true}))), 0)
	assert.Equal(t, len(started(b.cell.Plan(b.now, benchWallMS, unbounded))), 37)
}

// TestHeavyImageDoesNotHoldUpLightOnes replays filling tasks of an image that presses too much everywhere, ahead of
// tasks of an image that presses on nothing.
func TestHeavyImageDoesNotHoldUpLightOnes(t *testing.T) {
	b := newBench(t, machine("x"))
	b.accept("s", "q", serving("web"))
	s := starts(b.plan())[0]
	b.pass(time.Second)
	b.cell.interference.baseMS["web"] = 10
	b.cell.interference.regressions["web"] = &regression{images: []string{"heavy", "light"}, weights: []float64{0.2, 0}}
	b.held("x", row(s, 20, 100))
	heavy, light := filling("heavy"), filling("light")
	light.EstimateMs *= 2
	b.accept("first", "low", heavy)
	b.accept("second", "low", light)
	assert.DeepEqual(t, started(b.plan()), []string{"second"})
}
