package cell

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
)

var (
	slowSeeds = flag.Int("slow-seeds", 40, "number of schedules that TestMovesKeepGuarantees runs")
	slowFirst = flag.Uint64("slow-first", 1, "the first seed of TestMovesKeepGuarantees")
)

// runSlowSchedule simulates executors that are slow at times, beside lost messages, crashes and takeovers.
func runSlowSchedule(seed uint64) (sim *simulation, moves int) {
	const length = 40 * time.Second
	sim = newSimulation(seed, faults{requestLossRate: 0.02, replyLossRate: 0.02, lateRequestRate: 0.02})
	sim.params.Restore = 300 * time.Millisecond
	sim.leaders[0].cell.params = sim.params
	for i := range 60 {
		sim.after(sim.randomDuration(0, length), func() {
			sim.submit(&jobpb.Job{Id: fmt.Sprintf("%016x", i), Queue: "q", Service: "svc", Spec: "s", Steps: []*jobpb.Step{{
				Count: uint32(4 + sim.rnd.IntN(8)), MilliCpu: 1000, MemoryMb: 1000,
				EstimateMs: uint32(1000 + sim.rnd.IntN(3000)), Checkpointing: true,
			}}})
		})
	}
	for range 4 {
		x := sim.execs[sim.rnd.IntN(len(sim.execs))]
		sim.after(sim.randomDuration(10*time.Second, length), func() {
			x.slowFactor = 6
			sim.after(6500*time.Millisecond, func() { x.slowFactor = 0 })
		})
	}
	sim.after(sim.randomDuration(15*time.Second, length), sim.takeover)
	x := sim.execs[sim.rnd.IntN(len(sim.execs))]
	sim.after(sim.randomDuration(15*time.Second, length), func() { x.crash(2 * time.Second) })
	sim.after(length+10*time.Second, func() { sim.faults = faults{} })
	sim.onEvent = func(e Event) {
		if e.Name == "run-moved" {
			moves++
		}
	}
	sim.runUntil(length + 60*time.Second)
	sim.checkFinalState()
	return sim, moves
}

// TestMovesKeepGuarantees checks that moves from slow executors neither let a task run twice nor lose a job, with lost
// and late messages, a crash and a change of leader.
func TestMovesKeepGuarantees(t *testing.T) {
	moves := 0
	for seed := *slowFirst; seed < *slowFirst+uint64(*slowSeeds); seed++ {
		sim, n := runSlowSchedule(seed)
		moves += n
		assert.Check(t, len(sim.violations) == 0, "seed %d:\n%s", seed, strings.Join(sim.violations, "\n"))
	}
	t.Logf("%d moves", moves)
	assert.Assert(t, moves >= *slowSeeds, "only %d moves", moves)
}
