package cell

import (
	"flag"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	crashSeeds = flag.Int("crash-seeds", 60, "number of schedules that TestCrashingTasks and TestLossesOfDomains run")
	crashFirst = flag.Uint64("crash-first", 1, "the first seed of these tests")
)

// lossSums are the sums of the counts of several schedules.
type lossSums struct{ crashes, startsAfterLimit, groupLosses int }

// runLossSchedules runs schedules like those of TestModel with losses of executors.
func runLossSchedules(t *testing.T, crashing bool) lossSums {
	var s lossSums
	for seed := *crashFirst; seed < *crashFirst+uint64(*crashSeeds); seed++ {
		var m *crashModel
		sim := runScheduleWith(seed, func(sim *simulation, length time.Duration) {
			m = sim.addLosses(seed, length, crashing)
		})
		m.checkEnds()
		s.crashes += total(m.crashes)
		s.startsAfterLimit += total(m.startsAfterLimit)
		s.groupLosses += m.groupLosses
		if len(sim.violations) > 0 {
			t.Errorf("seed %d: %v\n%s", seed, m, strings.Join(sim.violations[:min(maxPrinted, len(sim.violations))], "\n"))
		}
	}
	t.Logf("%+v", s)
	assert.Assert(t, s.groupLosses > 0, "no domain or rack was lost")
	return s
}

// TestCrashingTasks guards against tasks that crash one executor after another for ever, and against sound tasks that
// are given up because they shared executors with them or were lost with their domain or rack.
func TestCrashingTasks(t *testing.T) {
	s := runLossSchedules(t, true)
	assert.Assert(t, s.crashes > 2**crashSeeds, "only %d crashes", s.crashes)
}

// TestLossesOfDomains guards against sound tasks that are given up although no task crashes executors.
func TestLossesOfDomains(t *testing.T) { runLossSchedules(t, false) }
