package cell

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/pkg/tick"
)

// maxLongRunningGap is the longest time for which a long-running task may be without a run on a full fleet, from the
// last sign of its run on.
const maxLongRunningGap = 9 * time.Second

// longRunningCheck observes for how long the tasks of a job have no run.
type longRunningCheck struct {
	sim     *simulation
	job     string
	count   int
	since   tick.Time
	longest time.Duration
}

func (k *longRunningCheck) check() {
	k.sim.after(loopInterval, k.check)
	running := 0
	for _, x := range k.sim.execs {
		for t := range x.runs {
			if t.Job == k.job && !x.isDown {
				running++
			}
		}
	}
	if running >= k.count || k.since == 0 {
		k.since = k.sim.now
	}
	k.longest = max(k.longest, k.sim.now.Sub(k.since))
}

// TestLongRunningTaskStartsBesideOverload checks a long-running task that loses its executor while short jobs fill the
// rest of the fleet and more of them wait than fit. They must not take every place that becomes free.
func TestLongRunningTaskStartsBesideOverload(t *testing.T) {
	sim := newScenario(4)
	sim.submitAfter(2*time.Second, "server", &jobpb.Step{Count: 2, MilliCpu: 8000, MemoryMb: 100, LongRunning: true})
	for i := range 350 {
		sim.submitAfter(4*time.Second+time.Duration(i)*130*time.Millisecond, fmt.Sprintf("short%d", i), &jobpb.Step{
			Count: 1, MilliCpu: 8000, MemoryMb: 100, EstimateMs: 1000,
		})
	}
	sim.after(12*time.Second, func() {
		for _, x := range sim.execs {
			for task := range x.runs {
				if task.Job == "server" && !x.isDown {
					x.crashForGood()
					return
				}
			}
		}
	})
	k := &longRunningCheck{sim: sim, job: "server", count: 2}
	sim.after(4*time.Second, k.check)
	sim.runUntil(40 * time.Second)
	assert.Assert(t, len(sim.violations) == 0, strings.Join(sim.violations, "\n"))
	assert.Assert(t, k.longest <= maxLongRunningGap, "a long-running task had no run for %v", k.longest)
}
