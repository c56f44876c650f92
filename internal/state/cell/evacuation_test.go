package cell

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/queue"
)

// The scenarios below evacuate domain a after evacuateAfter, at the virtual time evacuatedAt.
const (
	evacuateAfter = 5 * time.Second
	evacuatedAt   = evacuateAfter + time.Second
)

// newEvacuationScenario returns a scenario whose executors belong to the domains a and b in turn. Domain a is evacuated
// after evacuateAfter.
func newEvacuationScenario(executors int) *simulation {
	sim := newScenario(executors)
	sim.params.Restore, sim.params.CheckpointEvery = 100*time.Millisecond, time.Second
	sim.currentLeader().cell.params = sim.params
	for i, x := range sim.execs {
		x.domain = string(rune('a' + i%2))
	}
	sim.after(evacuateAfter, func() { sim.evacuate("a") })
	return sim
}

// countRuns returns the number of runs of the job in the domain.
func (sim *simulation) countRuns(job, domain string) int {
	n := 0
	for _, x := range sim.execs {
		for t := range x.runs {
			if t.Job == job && x.domain == domain {
				n++
			}
		}
	}
	return n
}

// checkNoViolations fails if a guarantee was violated.
func (sim *simulation) checkNoViolations(t *testing.T) {
	t.Helper()
	assert.Assert(t, len(sim.violations) == 0, strings.Join(sim.violations, "\n"))
}

// TestEvacuationMovesLongRunningTasks guards against long-running tasks that stay in the domain, and against more of
// them out of work at a time than their step permits. The latter is a violation (see noteMove).
func TestEvacuationMovesLongRunningTasks(t *testing.T) {
	for mayMiss := range uint32(4) {
		sim := newEvacuationScenario(6)
		sim.serveDelay = 800 * time.Millisecond
		sim.submitAfter(time.Second, "server", &jobpb.Step{
			Count: 12, MilliCpu: 2000, MemoryMb: 100, LongRunning: true, MaxPerExecutor: 4, MayMiss: mayMiss,
		})
		sim.runUntil(evacuatedAt)
		inA := sim.countRuns("server", "a")
		assert.Assert(t, inA >= 4, "%d tasks in domain a", inA)
		sim.runUntil(evacuatedAt + 20*time.Second)
		assert.Equal(t, sim.countRuns("server", "a"), 0, "may_miss %d", mayMiss)
		assert.Equal(t, sim.countRuns("server", "b"), 12)
		assert.Equal(t, sim.moves, inA)
		progress := sim.currentLeader().cell.Evacuations()
		assert.DeepEqual(t, progress, []EvacuationProgress{{Domain: "a", Moved: inA}})
		sim.checkNoViolations(t)
	}
}

// addDomainB adds an executor of domain b.
func (sim *simulation) addDomainB() {
	id := fmt.Sprintf("y%d", len(sim.execs))
	sim.addExecutor(id, id, "a", resources{milliCPU: 16000, memoryMB: 64000})
	sim.execs[len(sim.execs)-1].domain = "b"
}

// TestEvacuationMovesRunsWithCheckpoints checks that a run with checkpoints moves if it will not end soon, and that one
// without checkpoints ends where it is.
func TestEvacuationMovesRunsWithCheckpoints(t *testing.T) {
	sim := newEvacuationScenario(1)
	submit := func(id string, estimate time.Duration, isCheckpointing bool) {
		sim.submitAfter(evacuateAfter-600*time.Millisecond, id, &jobpb.Step{
			Count: 2, MilliCpu: 1000, MemoryMb: 100, EstimateMs: uint32(estimate.Milliseconds()),
			Checkpointing: isCheckpointing,
		})
	}
	submit("plain", 20*time.Second, false)
	submit("short", time.Second, true)
	submit("long", 20*time.Second, true)
	sim.after(evacuateAfter-100*time.Millisecond, sim.addDomainB)
	sim.runUntil(evacuatedAt + 3*time.Second)
	assert.Equal(t, sim.moves, 2)
	assert.Equal(t, sim.countRuns("long", "b"), 2)
	assert.Equal(t, sim.countRuns("plain", "a"), 2)
	sim.checkNoViolations(t)
}

// TestEvacuationStopsNothingWithoutRoom guards against runs that are stopped although no other executor has the room.
func TestEvacuationStopsNothingWithoutRoom(t *testing.T) {
	sim := newEvacuationScenario(2)
	sim.submitAfter(time.Second, "server", &jobpb.Step{
		Count: 2, MilliCpu: 10000, MemoryMb: 100, LongRunning: true, MayMiss: 2,
	})
	sim.submitAfter(2*time.Second, "long", &jobpb.Step{
		Count: 2, MilliCpu: 6000, MemoryMb: 100, EstimateMs: 60000, Checkpointing: true,
	})
	sim.runUntil(evacuatedAt + 10*time.Second)
	assert.Equal(t, sim.moves, 0)
	assert.Equal(t, sim.stopCalls, 0)
	assert.Equal(t, sim.countRuns("server", "a"), 1)
	assert.Equal(t, sim.countRuns("long", "a"), 1)
	sim.checkNoViolations(t)
}

// TestEvacuationMovesGangAsOne guards against gangs of which a part is stopped, and against gangs that are stopped
// without room for all members.
func TestEvacuationMovesGangAsOne(t *testing.T) {
	for _, free := range []bool{true, false} {
		sim := newEvacuationScenario(4)
		sim.submitAfter(time.Second, "gang", &jobpb.Step{
			Count: 4, MilliCpu: 8000, MemoryMb: 100, EstimateMs: 60000, Checkpointing: true, Gang: true, MaxPerExecutor: 1,
		})
		if free {
			sim.after(3*time.Second, sim.addDomainB)
			sim.after(3*time.Second, sim.addDomainB)
		}
		sim.runUntil(evacuatedAt - time.Second)
		assert.Equal(t, sim.countRuns("gang", "a"), 2)
		sim.runUntil(evacuatedAt + 3*time.Second)
		if free {
			assert.Equal(t, sim.moves, 4)
			assert.Equal(t, sim.countRuns("gang", "b"), 4)
		} else {
			assert.Equal(t, sim.stopCalls, 0)
			assert.Equal(t, sim.countRuns("gang", "a"), 2)
		}
		sim.checkNoViolations(t)
	}
}

// submitFillingJobs submits jobs of short tasks every 10 ms from the given time on, which fill every executor.
func (sim *simulation) submitFillingJobs(from time.Duration, jobs int, estimateMS uint32) {
	for i := range jobs {
		sim.submitAfter(from+time.Duration(i)*10*time.Millisecond, fmt.Sprintf("job%d", i), &jobpb.Step{
			Count: 4, MilliCpu: 2000, MemoryMb: 100, EstimateMs: estimateMS,
		})
	}
}

// TestEvacuationMovesLongRunningTasksUnderLoad guards against long-running tasks that never leave the domain because
// waiting tasks take all room as soon as there is some.
func TestEvacuationMovesLongRunningTasksUnderLoad(t *testing.T) {
	sim := newEvacuationScenario(2)
	sim.submitAfter(time.Second, "server", &jobpb.Step{
		Count: 6, MilliCpu: 2000, MemoryMb: 100, LongRunning: true, MaxPerExecutor: 6,
	})
	sim.submitFillingJobs(2*time.Second, 800, 300)
	sim.runUntil(evacuatedAt + 6*time.Second)
	assert.Equal(t, sim.countRuns("server", "a"), 0)
	assert.Equal(t, sim.countRuns("server", "b"), 6)
	sim.checkNoViolations(t)
}

// TestEvacuationKeepsRoomForMoves guards against waiting tasks that take the room for which a run was stopped: under a
// load that fills every executor, a long-running task would wait for long, as shorter ones go first.
func TestEvacuationKeepsRoomForMoves(t *testing.T) {
	sim := newEvacuationScenario(1)
	sim.submitAfter(time.Second, "server", &jobpb.Step{
		Count: 4, MilliCpu: 3000, MemoryMb: 100, LongRunning: true, MayMiss: 4,
	})
	// The record of the new executor may take 600 ms. Before that, the executor has room for nothing.
	sim.after(evacuateAfter-900*time.Millisecond, sim.addDomainB)
	sim.submitFillingJobs(evacuateAfter+50*time.Millisecond, 400, 500)
	longest := sim.trackAbsence("server", 4)
	sim.runUntil(evacuatedAt + 15*time.Second)
	assert.Equal(t, sim.moves, 4)
	assert.Assert(t, *longest < 600*time.Millisecond, "a task that was moved had no run for %v", *longest)
	sim.checkNoViolations(t)
}

// trackAbsence returns the longest time for which the job has had fewer runs than tasks since the evacuation.
func (sim *simulation) trackAbsence(job string, tasks int) *time.Duration {
	longest := new(time.Duration)
	var check func(since time.Duration)
	check = func(since time.Duration) {
		if sim.countRuns(job, "a")+sim.countRuns(job, "b") == tasks {
			since = 0
		}
		*longest = max(*longest, since)
		sim.after(loopInterval, func() { check(since + loopInterval) })
	}
	sim.after(evacuateAfter, func() { check(0) })
	return longest
}

// TestEvacuationOfSilentExecutorsStopsNothing checks a domain that is already cut off: its runs cannot be stopped, and
// start again elsewhere when their leases have expired.
func TestEvacuationOfSilentExecutorsStopsNothing(t *testing.T) {
	sim := newEvacuationScenario(4)
	sim.submitAfter(time.Second, "server", &jobpb.Step{
		Count: 4, MilliCpu: 2000, MemoryMb: 100, LongRunning: true, MaxPerExecutor: 2, MayMiss: 4,
	})
	sim.after(evacuateAfter-2*time.Second, func() {
		for _, x := range sim.execs {
			x.isPartitioned = x.domain == "a"
		}
	})
	sim.runUntil(evacuatedAt + 20*time.Second)
	assert.Equal(t, sim.moves, 0)
	assert.Equal(t, sim.countRuns("server", "b"), 4)
	sim.checkNoViolations(t)
}

// TestNewLeaderContinuesEvacuation checks a leader that is lost in the middle of the moves.
func TestNewLeaderContinuesEvacuation(t *testing.T) {
	sim := newEvacuationScenario(6)
	sim.serveDelay = 800 * time.Millisecond
	sim.submitAfter(time.Second, "server", &jobpb.Step{
		Count: 12, MilliCpu: 2000, MemoryMb: 100, LongRunning: true, MaxPerExecutor: 4, MayMiss: 1,
	})
	sim.after(evacuateAfter+2*time.Second, sim.replaceLeader)
	sim.runUntil(evacuatedAt + 30*time.Second)
	assert.Equal(t, sim.countRuns("server", "a"), 0)
	assert.Equal(t, sim.countRuns("server", "b"), 12)
	sim.checkNoViolations(t)
}

// TestNewLeaderStopsNothingThatItCannotStart checks that no task is out of work for long because it is moved while the
// new leader still waits for an executor that has gone.
func TestNewLeaderStopsNothingThatItCannotStart(t *testing.T) {
	sim := newEvacuationScenario(2)
	sim.submitAfter(time.Second, "server", &jobpb.Step{
		Count: 4, MilliCpu: 2000, MemoryMb: 100, LongRunning: true, MaxPerExecutor: 4, MayMiss: 4,
	})
	sim.after(3*time.Second, sim.addDomainB)
	sim.after(evacuateAfter-500*time.Millisecond, func() {
		sim.execs[2].crashForGood()
		sim.replaceLeader()
	})
	longest := sim.trackAbsence("server", 4)
	sim.runUntil(evacuatedAt + 20*time.Second)
	assert.Equal(t, sim.countRuns("server", "b"), 4)
	assert.Assert(t, *longest < time.Second, "a task that was moved had no run for %v", *longest)
	sim.checkNoViolations(t)
}

// coldExecutor returns the entry of an executor that has just started.
func coldExecutor(id string) queue.Executor {
	e := testExecutor(id)
	e.StartedMS, e.ColdRemainingMS = 1, 4000
	return e
}

// newColdHarness returns a harness with a warm executor w and a cold one c.
func newColdHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t)
	h.cell.params.Cold = coldBounds
	h.cell.Discover(h.now, []queue.Executor{testExecutor("w"), coldExecutor("c")})
	h.commit()
	h.reportRunning("w")
	h.reportRunning("c")
	return h
}

// countStartsOn counts the start orders for an executor.
func countStartsOn(list []Order, id string) int {
	n := 0
	for _, o := range startOrders(list) {
		if o.Target.ID == id {
			n++
		}
	}
	return n
}

// TestColdExecutorGetsTasksByRamp guards against an executor that gets as many tasks right after its start as one that
// is warm, for instance when all executors of a domain return during a burst.
func TestColdExecutorGetsTasksByRamp(t *testing.T) {
	h := newColdHarness(t)
	h.accept("j", "low", &jobpb.Step{Count: 200, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 60000})
	list := h.planAndConfirm()
	assert.Equal(t, countStartsOn(list, "w"), 64)
	assert.Equal(t, countStartsOn(list, "c"), 5)
	// The entry is read again without a change.
	h.advance(2 * time.Second)
	h.cell.Discover(h.now, []queue.Executor{testExecutor("w"), coldExecutor("c")})
	assert.Equal(t, countStartsOn(h.planAndConfirm(), "c"), 48)
	h.advance(2 * time.Second)
	assert.Equal(t, countStartsOn(h.planAndConfirm(), "c"), 11)
}

// TestUrgentTasksPreferWarmExecutors checks latency-critical tasks and those of the highest priority. An executor that
// is cold takes them only if no other has the room.
func TestUrgentTasksPreferWarmExecutors(t *testing.T) {
	for name, step := range map[string]*jobpb.Step{
		"latency-critical": {Count: 3, MilliCpu: 1000, MemoryMb: 100, LongRunning: true, TargetMs: 50, Image: "i"},
		"priority 0":       {Count: 3, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 60000},
	} {
		h := newColdHarness(t)
		// The cold executor is the one with less free capacity, which tasks prefer otherwise.
		h.accept("j", "q", step)
		list := h.planAndConfirm()
		assert.Equal(t, countStartsOn(list, "w"), 3, name)
		h.accept("k", "q", &jobpb.Step{Count: 63, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 60000})
		list = h.planAndConfirm()
		assert.Equal(t, countStartsOn(list, "w"), 61, name)
		assert.Equal(t, countStartsOn(list, "c"), 2, name)
	}
}

// TestRampIsOffWithoutBounds checks that a deployment without bounds is served as before.
func TestRampIsOffWithoutBounds(t *testing.T) {
	h := newColdHarness(t)
	h.cell.params.Cold.Overshoot = 0
	h.accept("j", "q", &jobpb.Step{Count: 200, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 60000})
	assert.Equal(t, countStartsOn(h.planAndConfirm(), "c"), 64)
}

// TestWithheldStartKeepsExecutorUsable guards against an executor that is avoided because an order for it was withheld.
func TestWithheldStartKeepsExecutorUsable(t *testing.T) {
	h := newHarness(t, testExecutor("x"))
	h.accept("j", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 1000})
	h.cell.Plan(h.now, testWallMS, unbounded)
	h.commit()
	list := startOrders(h.cell.Plan(h.now, testWallMS, unbounded))
	assert.Equal(t, len(list), 1)
	h.cell.HandleReply(h.now, list[0], orders.Reply{Outcome: orders.Withheld})
	h.advance(2 * retryPauseAfterRefusal)
	assert.Equal(t, len(startOrders(h.cell.Plan(h.now, testWallMS, unbounded))), 1)
}
