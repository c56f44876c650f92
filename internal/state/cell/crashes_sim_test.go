package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/state/crash"
	"github.com/ibischute/ibischute/pkg/tick"
)

// crasher lets the runs of some tasks crash their executors in a simulation.
type crasher struct {
	sim *simulation
	// isBad reports whether a run of the task crashes its executor once it has worked for delay. The executor is back
	// after down.
	isBad       func(t orders.Task) bool
	delay, down time.Duration
	// crashes has the executors that each task has crashed, starts the runs of each job that were seen.
	crashes map[orders.Task][]string
	starts  map[orders.Run]bool
	// startsAfterLast counts the runs of each task that were seen after its crash.MaxCrashes-th crash.
	startsAfterLast map[orders.Task]int
	// mostDown is the largest number of executors that were down at the same time.
	mostDown int
}

const crasherInterval = 5 * time.Millisecond

// newCrasher starts to crash the executors of bad tasks.
func newCrasher(sim *simulation, isBad func(t orders.Task) bool) *crasher {
	k := &crasher{
		sim: sim, isBad: isBad, delay: 2 * crasherInterval, down: 2500 * time.Millisecond,
		crashes: map[orders.Task][]string{}, starts: map[orders.Run]bool{}, startsAfterLast: map[orders.Task]int{},
	}
	k.loop()
	return k
}

func isOfJob(id string) func(t orders.Task) bool {
	return func(t orders.Task) bool { return t.Job == id }
}

func (k *crasher) loop() {
	k.sim.after(crasherInterval, k.loop)
	down := 0
	for _, x := range k.sim.execs {
		k.crashIfBad(x)
		if x.isDown {
			down++
		}
	}
	k.mostDown = max(k.mostDown, down)
}

func (k *crasher) crashIfBad(x *simExecutor) {
	var crashing []orders.Task
	for _, t := range x.sortedTasks() {
		r := x.runs[t]
		if !k.starts[r.id] {
			k.starts[r.id] = true
			if len(k.crashes[t]) >= crash.MaxCrashes {
				k.startsAfterLast[t]++
			}
		}
		if k.isBad(t) && k.sim.now.Sub(r.startedAt) >= k.delay {
			crashing = append(crashing, t)
		}
	}
	for _, t := range crashing {
		k.crashes[t] = append(k.crashes[t], x.id)
	}
	if len(crashing) > 0 {
		x.crashListed(k.down)
	}
}

// crashListed crashes the executor, whose entry remains until it is back.
func (x *simExecutor) crashListed(down time.Duration) {
	x.crash(down)
	x.entryExpiresAt = x.sim.now.Add(longestEntry)
	x.sim.after(down+200*time.Millisecond, func() { x.entryStartedMS = x.startedMS })
}

func (k *crasher) startsOf(job string) int {
	n := 0
	for r := range k.starts {
		if r.Task.Job == job {
			n++
		}
	}
	return n
}

func (sim *simulation) assertState(t *testing.T, id string, want jobpb.State) {
	t.Helper()
	got, _ := sim.currentLeader().cell.State(id)
	assert.Equal(t, got, want, "job %s", id)
}

func shortStep(n uint32) *jobpb.Step {
	return &jobpb.Step{Count: n, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 1000}
}

// serverStep returns a step of long-running tasks.
func serverStep(n uint32) *jobpb.Step {
	s := shortStep(n)
	s.LongRunning = true
	return s
}

// repeatLoss calls lose again and again, at most limit times, with the number of the call and an executor that runs the
// first task of the job and is not cut off. It looks for one at the interval, and returns the number of calls so far.
func (sim *simulation) repeatLoss(
	job string, interval time.Duration, limit int, lose func(number int, x *simExecutor),
) *int {
	losses, task := 0, orders.Task{Job: job}
	var watch func()
	watch = func() {
		sim.after(interval, watch)
		i := slices.IndexFunc(sim.execs, func(x *simExecutor) bool { return x.runs[task] != nil && !x.isPartitioned })
		if i < 0 || losses == limit {
			return
		}
		losses++
		lose(losses, sim.execs[i])
	}
	watch()
	return &losses
}

// TestTaskThatCrashesEveryExecutorIsGivenUp checks that such a task is not started again for ever, and that its job is
// shown as failed.
func TestTaskThatCrashesEveryExecutorIsGivenUp(t *testing.T) {
	for _, down := range []time.Duration{800 * time.Millisecond, 2500 * time.Millisecond, 5 * time.Second} {
		t.Run(down.String(), func(t *testing.T) {
			sim := newScenario(6)
			k := newCrasher(sim, isOfJob("bad"))
			k.down = down
			sim.submitAfter(2*time.Second, "bad", shortStep(1))
			sim.submitAfter(2*time.Second, "good", shortStep(3))
			sim.runUntil(40 * time.Second)
			sim.assertState(t, "bad", jobpb.State_STATE_FAILED)
			sim.assertState(t, "good", jobpb.State_STATE_COMPLETED)
			assert.Equal(t, k.startsOf("bad"), crash.MaxCrashes)
		})
	}
}

// TestKindsOfTasksThatCrashExecutorsAreGivenUp checks tasks whose ends are handled differently.
func TestKindsOfTasksThatCrashExecutorsAreGivenUp(t *testing.T) {
	gang := shortStep(3)
	gang.Gang, gang.MaxPerExecutor = true, 1
	for name, test := range map[string]struct {
		step *jobpb.Step
		bad  func(t orders.Task) bool
	}{
		"long-running task": {serverStep(1), isOfJob("bad")},
		"gang":              {gang, isOfJob("bad")},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newScenario(8)
			k := newCrasher(sim, test.bad)
			sim.submitAfter(2*time.Second, "bad", test.step)
			sim.runUntil(60 * time.Second)
			sim.assertState(t, "bad", jobpb.State_STATE_FAILED)
			for task, n := range k.startsAfterLast {
				assert.Equal(t, n, 0, "%v", task)
			}
		})
	}
}

// TestOccurrenceThatCrashesExecutorsIsGivenUp checks that the job fails with one of its occurrences.
func TestOccurrenceThatCrashesExecutorsIsGivenUp(t *testing.T) {
	sim := newScenario(6)
	k := newCrasher(sim, func(t orders.Task) bool { return t.Occurrence == 1 })
	sim.after(2*time.Second, func() {
		sim.submit(&jobpb.Job{
			Id: "bad", Queue: "q", Service: "svc", Spec: "s", Steps: []*jobpb.Step{shortStep(1)},
			RepeatCount: 3, FirstDueMs: sim.wallMS(), IntervalMs: 3000,
		})
	})
	sim.runUntil(40 * time.Second)
	sim.assertState(t, "bad", jobpb.State_STATE_FAILED)
	assert.Equal(t, len(k.crashes[orders.Task{Job: "bad", Occurrence: 1}]), crash.MaxCrashes)
}

// TestTaskThatCrashesExecutorsLaterIsGivenUp checks a task whose runs work for some seconds before the crash.
func TestTaskThatCrashesExecutorsLaterIsGivenUp(t *testing.T) {
	sim := newScenario(6)
	k := newCrasher(sim, isOfJob("bad"))
	k.delay = 4 * time.Second
	s := shortStep(1)
	s.EstimateMs = 30_000
	sim.submitAfter(2*time.Second, "bad", s)
	sim.runUntil(60 * time.Second)
	sim.assertState(t, "bad", jobpb.State_STATE_FAILED)
	assert.Equal(t, k.startsOf("bad"), crash.MaxCrashes)
}

// TestNewLeaderKeepsCountOfCrashes checks that a change of leader after each crash does not start the count anew.
func TestNewLeaderKeepsCountOfCrashes(t *testing.T) {
	for _, after := range []time.Duration{20 * time.Millisecond, time.Second, 4 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			sim := newScenario(6)
			k := newCrasher(sim, isOfJob("bad"))
			sim.submitAfter(2*time.Second, "bad", shortStep(1))
			task, replaced := orders.Task{Job: "bad"}, 1
			var watch func()
			watch = func() {
				sim.after(10*time.Millisecond, watch)
				if len(k.crashes[task]) > replaced {
					replaced = len(k.crashes[task])
					sim.after(after, sim.replaceLeader)
				}
			}
			watch()
			sim.runUntil(120 * time.Second)
			sim.assertState(t, "bad", jobpb.State_STATE_FAILED)
			assert.Equal(t, k.startsAfterLast[task], 0)
			assert.Assert(t, replaced > 1)
		})
	}
}

// TestSoundTaskBesideCrashingTaskIsNotGivenUp checks tasks that are lost with the executors that others crash, on so
// few executors that they meet again.
func TestSoundTaskBesideCrashingTaskIsNotGivenUp(t *testing.T) {
	sim := newScenario(3)
	newCrasher(sim, func(t orders.Task) bool { return t.Job[:3] == "bad" })
	for i := range 8 {
		sim.submitAfter(time.Duration(2+4*i)*time.Second, fmt.Sprintf("bad%d", i), shortStep(1))
	}
	sim.submitAfter(time.Second, "server", serverStep(6))
	sim.submitAfter(2*time.Second, "good", shortStep(6))
	sim.runUntil(90 * time.Second)
	for i := range 8 {
		sim.assertState(t, fmt.Sprintf("bad%d", i), jobpb.State_STATE_FAILED)
	}
	sim.assertState(t, "good", jobpb.State_STATE_COMPLETED)
	sim.assertState(t, "server", jobpb.State_STATE_RUNNING)
}

// TestTaskLostWithItsDomainIsNotGivenUp checks tasks that lose their executors soon after each start, each time with
// all executors of the failure domain.
func TestTaskLostWithItsDomainIsNotGivenUp(t *testing.T) {
	sim := newScenario(12)
	for i, x := range sim.execs {
		x.domain = fmt.Sprintf("d%d", i%3)
	}
	sim.submitAfter(3*time.Second, "server", serverStep(1))
	losses := sim.repeatLoss("server", 50*time.Millisecond, 5, func(_ int, first *simExecutor) {
		for _, x := range sim.execs {
			if x.domain == first.domain && !x.isDown {
				x.crashListed(2 * time.Second)
			}
		}
	})
	sim.runUntil(60 * time.Second)
	assert.Equal(t, *losses, 5)
	sim.assertState(t, "server", jobpb.State_STATE_RUNNING)
}

// TestTaskThatIsOnlyCutOffIsNotGivenUp checks that executors out of reach for longer than their leases do not count as
// crashed.
func TestTaskThatIsOnlyCutOffIsNotGivenUp(t *testing.T) {
	sim := newScenario(6)
	sim.submitAfter(2*time.Second, "server", serverStep(1))
	losses := sim.repeatLoss("server", 100*time.Millisecond, 4, func(_ int, x *simExecutor) {
		x.isPartitioned = true
		sim.after(8*time.Second, func() { x.isPartitioned = false })
	})
	sim.runUntil(80 * time.Second)
	assert.Equal(t, *losses, 4)
	sim.assertState(t, "server", jobpb.State_STATE_RUNNING)
}

// TestSiblingsThatCrashExecutorsAreNotRetriedAtOnce checks a step whose tasks all crash their executors, which takes
// down as many executors as start at once.
func TestSiblingsThatCrashExecutorsAreNotRetriedAtOnce(t *testing.T) {
	for _, down := range []time.Duration{800 * time.Millisecond, 2500 * time.Millisecond, 5 * time.Second} {
		t.Run(down.String(), func(t *testing.T) {
			const width = 8
			sim := newScenario(12)
			k := newCrasher(sim, isOfJob("bad"))
			k.down = down
			step := shortStep(width)
			step.MaxPerExecutor = 1
			sim.submitAfter(2*time.Second, "bad", step)
			sim.runUntil(5 * time.Second)
			assert.Equal(t, k.mostDown, width)
			k.mostDown = 0
			sim.runUntil(10 * time.Second)
			k.mostDown = 0
			sim.runUntil(60 * time.Second)
			assert.Assert(t, k.mostDown <= 1, "%d executors were down at once", k.mostDown)
			sim.assertState(t, "bad", jobpb.State_STATE_FAILED)
			assert.Assert(t, k.startsOf("bad") < width+crash.MaxCrashes, "%d starts", k.startsOf("bad"))
		})
	}
}

// TestSoundStepIsSoonOffTrial checks that the tasks of a step that has lost several executors for other reasons all
// start soon after one of them has worked.
func TestSoundStepIsSoonOffTrial(t *testing.T) {
	sim := newScenario(12)
	step := serverStep(8)
	step.MaxPerExecutor = 1
	sim.submitAfter(2*time.Second, "job", step)
	sim.after(2500*time.Millisecond, func() {
		for _, x := range sim.execs {
			if len(x.runs) > 0 {
				x.crashListed(time.Second)
			}
		}
	})
	sim.runUntil(9 * time.Second)
	n := 0
	for _, x := range sim.execs {
		n += len(x.runs)
	}
	assert.Equal(t, n, 8)
	sim.assertState(t, "job", jobpb.State_STATE_RUNNING)
}

// TestNewLeaderKnowsCommonCause checks a task that is lost with all executors of its rack while the leader changes as
// well, so that the new one has not seen the others go.
func TestNewLeaderKnowsCommonCause(t *testing.T) {
	sim := newScenario(12)
	for i, x := range sim.execs {
		x.labels = []string{fmt.Sprintf("r%d", i%3)}
	}
	sim.submitAfter(3*time.Second, "server", serverStep(1))
	losses := sim.repeatLoss("server", 50*time.Millisecond, 5, func(number int, first *simExecutor) {
		if number == 1 {
			// From this loss on, the records name the run.
			first.crashListed(time.Second)
			return
		}
		for _, x := range sim.execs {
			if x.labels[0] == first.labels[0] && !x.isDown {
				x.crashListed(4*time.Second + sim.randomDuration(0, time.Second))
			}
		}
		sim.replaceLeader()
	})
	sim.runUntil(120 * time.Second)
	assert.Equal(t, *losses, 5)
	sim.assertState(t, "server", jobpb.State_STATE_RUNNING)
}

// TestStepThatIsCutOffIsNotOnTrial checks that the tasks of a step start again at once after the leases of the
// executors of their failure domain have expired.
func TestStepThatIsCutOffIsNotOnTrial(t *testing.T) {
	sim := newScenario(18)
	for i, x := range sim.execs {
		x.domain, x.labels = fmt.Sprintf("d%d", i%2), nil
	}
	var from, to tick.Time
	sim.onEvent = func(e Event) {
		switch {
		case e.Name == "task-lost" && from == 0:
			from = sim.now
		case e.Name == "start" && from != 0 && e.Task.Job == "job":
			to = sim.now
		}
	}
	step := serverStep(6)
	step.MaxPerExecutor = 1
	sim.submitAfter(2*time.Second, "job", step)
	sim.after(3200*time.Millisecond, func() {
		for i, x := range sim.execs {
			if i%2 == 0 {
				x.isPartitioned = true
				sim.after(15*time.Second, func() { x.isPartitioned = false })
			}
		}
	})
	sim.runUntil(15 * time.Second)
	assert.Assert(t, from != 0)
	assert.Assert(t, to.Sub(from) < time.Second, "the last task has started %v after the first loss", to.Sub(from))
}
