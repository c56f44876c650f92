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
