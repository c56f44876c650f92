package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/pkg/queue"
)

// contendedExecutors have contendedPlaces for tasks of either kind.
const (
	contendedExecutors = 6
	contendedPlaces    = 48
)

func (h *harness) acceptContending(longRunning, short int) {
	if longRunning > 0 {
		h.accept("long-running", "q", &jobpb.Step{
			Count: uint32(longRunning), MilliCpu: 8000, MemoryMb: 1000, LongRunning: true,
		})
	}
	for i := range short {
		h.accept(fmt.Sprintf("short%d", i), "q", &jobpb.Step{Count: 1, MilliCpu: 8000, MemoryMb: 1000, EstimateMs: 60_000})
	}
}

// addContended adds the executors.
func (h *harness) addContended() {
	h.t.Helper()
	var list []queue.Executor
	for i := range contendedExecutors {
		list = append(list, testExecutor(fmt.Sprintf("x%d", i)))
	}
	h.cell.Discover(h.now, list)
	h.commit()
	h.reportContended()
}

func (h *harness) reportContended() {
	for i := range contendedExecutors {
		h.reportRunning(fmt.Sprintf("x%d", i))
	}
}

// countLongRunning returns how many of the jobs are the long-running one.
func countLongRunning(jobs []string) int {
	n := 0
	for _, j := range jobs {
		if j == "long-running" {
			n++
		}
	}
	return n
}

// TestOverdueLongRunningTasksShareRoom guards against one kind of task that takes every place that becomes free:
// hundreds of long-running tasks that have waited, or short ones.
func TestOverdueLongRunningTasksShareRoom(t *testing.T) {
	for _, c := range []struct {
		longRunning, short int
		waited             time.Duration
		want               int
	}{
		{300, 300, longRunningPatience, contendedPlaces / 3},
		{300, 300, longRunningPatience - 1, 0},
		{300, 10, longRunningPatience, contendedPlaces - 10},
		{1, 300, longRunningPatience, 1},
		{300, 0, 0, contendedPlaces},
	} {
		h := newHarness(t)
		h.acceptContending(c.longRunning, 0)
		h.planStarts(0)
		h.advance(c.waited)
		h.acceptContending(0, c.short)
		h.addContended()
		h.planStarts(0)
		placed := len(h.cell.placements.placed)
		longRunning := 0
		for _, r := range h.cell.placements.placed {
			if r.task.step.pb.LongRunning {
				longRunning++
			}
		}
		assert.Check(t, placed == contendedPlaces, "%v: %d placed", c, placed)
		assert.Check(t, longRunning == c.want, "%v: %d long-running", c, longRunning)
	}
}

// TestOverdueLongRunningTasksShareStarts guards against long-running tasks that are placed and wait for their order
// behind all short ones that were placed before, and against short ones that wait for all long-running ones.
func TestOverdueLongRunningTasksShareStarts(t *testing.T) {
	h := newHarness(t)
	h.acceptContending(0, contendedPlaces/2)
	h.addContended()
	h.planStarts(0)
	h.acceptContending(contendedPlaces/2, 0)
	h.planStarts(0)
	h.commit()
	assert.Equal(t, countLongRunning(h.planStarts(6)), 0)
	h.advance(longRunningPatience)
	h.reportContended()
	assert.Equal(t, countLongRunning(h.planStarts(9)), 3)
	assert.Equal(t, countLongRunning(h.planStarts(9)), 3)
}
