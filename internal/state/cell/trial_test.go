package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/orders"
)

// suspectAll puts all executors under suspicion by failures of different jobs.
func (h *harness) suspectAll(perExecutor int) {
	h.t.Helper()
	h.acceptMany("failing", perExecutor*len(h.cell.execs), &jobpb.Step{
		Count: 1, MilliCpu: 10_000, MemoryMb: 100, EstimateMs: 1000,
	})
	h.failAllAtOnce(startOrders(h.planAndConfirm()))
	for i := range perExecutor * len(h.cell.execs) {
		h.cell.Cancel(h.now, fmt.Sprintf("failing%d", i))
	}
	for _, x := range h.cell.execs {
		assert.Assert(h.t, x.suspicion.isActive(), "%s is not under suspicion", x.entry.ID)
	}
}

// TestGangNeverStartsOnSuspectExecutors checks a gang that needs more tasks on an executor than one.
func TestGangNeverStartsOnSuspectExecutors(t *testing.T) {
	h := newHarness(t, testExecutor("a"), testExecutor("b"))
	h.suspectAll(6)
	h.advance(2 * time.Second)
	h.accept("gang", "q", &jobpb.Step{Count: 4, MilliCpu: 20_000, MemoryMb: 100, EstimateMs: 1000, Gang: true})
	h.waitForStart("gang", time.Minute, "a", "b")
}

// TestFailingServersTakeEveryTrial checks a sound job beside long-running jobs that fail soon after each start.
func TestFailingServersTakeEveryTrial(t *testing.T) {
	for _, q := range []string{"q", "low"} {
		t.Run(q, func(t *testing.T) {
			h := newHarness(t, testExecutor("a"), testExecutor("b"))
			for i := range 4 {
				h.accept(fmt.Sprintf("server%d", i), "q", &jobpb.Step{
					Count: 1, MilliCpu: 1000, MemoryMb: 100, LongRunning: true,
				})
			}
			began := h.now
			for h.now.Sub(began) < time.Minute {
				list := startOrders(h.planAndConfirm())
				for _, o := range list {
					if o.Start.Run.Task.Job == "sound" {
						return
					}
				}
				h.advance(300 * time.Millisecond)
				h.failAllAtOnce(list)
				if h.now.Sub(began) > 600*time.Millisecond {
					h.accept("sound", q, &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 300})
				}
			}
			t.Fatal("the sound job has not started for a minute")
		})
	}
}

// TestHaltedTrialKeepsExecutorFromOtherTasks checks a trial run that is halted for a latency-critical run.
func TestHaltedTrialKeepsExecutorFromOtherTasks(t *testing.T) {
	const interval = 200 * time.Millisecond
	h := newHarness(t, testExecutor("a"))
	h.accept("server", "q", latencyCriticalStep("web"))
	server := startOrders(h.planAndConfirm())[0]
	h.reportRunning("a", runningRow(server, 10, 100))
	h.acceptMany("failing", 4, &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 1000})
	for i, o := range startOrders(h.planAndConfirm()) {
		h.reportEnd(o, uint64(i+1), orders.EndedFailed, "", runningRow(server, 10, 100))
		h.cell.Cancel(h.now, o.Start.Run.Task.Job)
	}
	assert.Assert(t, h.cell.execs["a"].suspicion.isActive())
	h.advance(2 * time.Second)
	h.reportRunning("a", runningRow(server, 10, 100))
	h.accept("filler", "q", bestEffortStep("batch"))
	list := startOrders(h.planAndConfirm())
	assert.Equal(t, len(list), 1)
	filler := list[0]
	for range 10 {
		h.advance(interval)
		h.reportRunning("a", runningRow(server, 60, 100), runningRow(filler, 0, 0))
		h.planAndConfirm()
	}
	assert.Equal(t, h.cell.execs["a"].bestEffort[0].pace, 0)
	h.accept("sound", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 300})
	for range time.Minute / interval {
		for _, o := range startOrders(h.planAndConfirm()) {
			if o.Start.Run.Task.Job == "sound" {
				return
			}
		}
		h.advance(interval)
		h.reportRunning("a", runningRow(server, 38, 100), runningRow(filler, 0, 0))
	}
	t.Fatal("the job has not started for a minute on an executor that uses 16 of 64 cores")
}

// TestTrialWithSlowProgressKeepsExecutorsFromOtherTasks checks a trial run of ten minutes whose progress is reported in
// whole percents.
func TestTrialWithSlowProgressKeepsExecutorsFromOtherTasks(t *testing.T) {
	const interval = 200 * time.Millisecond
	h := newHarness(t, testExecutor("a"))
	h.suspectAll(6)
	h.advance(2 * time.Second)
	h.accept("slow", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 600_000})
	slow := startOrders(h.planAndConfirm())[0]
	h.accept("sound", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 300})
	began := h.now
	for range time.Minute / interval {
		if len(startOrders(h.planAndConfirm())) > 0 {
			break
		}
		h.advance(interval)
		percent := int(h.now.Sub(began) * 100 / (600 * time.Second))
		h.reportRunning("a", runningRow(slow, 1000, percent))
	}
	assert.Assert(t, h.now.Sub(began) <= longestWait, "waited %v", h.now.Sub(began))
}

// TestRaisedPaceProvesNothing checks that a best-effort run without progress does not end a suspicion.
func TestRaisedPaceProvesNothing(t *testing.T) {
	h := newHarness(t, testExecutor("a"))
	h.suspectAll(6)
	h.advance(2 * time.Second)
	h.accept("filler", "q", bestEffortStep("batch"))
	o := startOrders(h.planAndConfirm())[0]
	x := h.cell.execs["a"]
	h.reportRunning("a", runningRow(o, 0, 0))
	h.cell.setPace(h.now, x, x.bestEffort[0], 50)
	h.advance(600 * time.Millisecond)
	h.cell.setPace(h.now, x, x.bestEffort[0], 100)
	h.advance(600 * time.Millisecond)
	h.reportRunning("a", runningRow(o, 0, 0))
	assert.Assert(t, x.suspicion.isActive(), "the run has made no progress")
}

// TestFailuresOfOldRunsRenewThePause checks a due task while runs that were started before the suspicion fail one by
// one.
func TestFailuresOfOldRunsRenewThePause(t *testing.T) {
	const runs = 16
	h := newHarness(t, testExecutor("a"))
	h.acceptMany("old", runs, &jobpb.Step{Count: 1, MilliCpu: 4000, MemoryMb: 100, EstimateMs: 30_000})
	old := startOrders(h.planAndConfirm())
	assert.Equal(t, len(old), runs)
	failOldest := func() {
		var rows []orders.Running
		for _, o := range old[1:] {
			rows = append(rows, runningRow(o, 1000, 10))
		}
		h.ends["a"]++
		h.reportEnd(old[0], h.ends["a"], orders.EndedFailed, "", rows...)
		h.cell.Cancel(h.now, old[0].Start.Run.Task.Job)
		old = old[1:]
	}
	for range 4 {
		failOldest()
	}
	assert.Assert(t, h.cell.execs["a"].suspicion.isActive())
	h.accept("sound", "q", &jobpb.Step{Count: 1, MilliCpu: 4000, MemoryMb: 100, EstimateMs: 300})
	began := h.now
	for range 2 * (runs - 4) {
		if len(startOrders(h.planAndConfirm())) > 0 {
			break
		}
		h.advance(500 * time.Millisecond)
		if len(old) > 1 {
			failOldest()
		}
	}
	assert.Assert(t, h.now.Sub(began) <= longestWait, "waited %v", h.now.Sub(began))
}

// TestTrialBesideFailureOfOldRunKeepsExecutorForEver checks a long-running trial run that works, beside an older run
// that fails after the trial has begun.
func TestTrialBesideFailureOfOldRunKeepsExecutorForEver(t *testing.T) {
	const interval = 200 * time.Millisecond
	for _, failsLate := range []bool{false, true} {
		t.Run(fmt.Sprintf("fails late %t", failsLate), func(t *testing.T) {
			h := newHarness(t, testExecutor("a"))
			h.acceptMany("old", 3, longRunningStep)
			list := startOrders(h.planAndConfirm())
			old := list[2]
			for i, o := range list[:2] {
				h.reportEnd(o, uint64(i+1), orders.EndedFailed, "", runningRow(old, 10, 100))
				h.cell.Cancel(h.now, o.Start.Run.Task.Job)
			}
			h.advance(2 * time.Second)
			h.reportRunning("a", runningRow(old, 10, 100))
			h.accept("trial", "q", longRunningStep)
			trial := startOrders(h.planAndConfirm())[0]
			h.advance(interval)
			h.reportRunning("a", runningRow(old, 10, 100), runningRow(trial, 10, 100))
			if failsLate {
				h.advance(interval)
				h.reportEnd(old, 3, orders.EndedFailed, "", runningRow(trial, 10, 100))
				h.cell.Cancel(h.now, old.Start.Run.Task.Job)
			}
			h.accept("sound", "q", ordinaryStep)
			began := h.now
			for range time.Minute / interval {
				if len(startOrders(h.planAndConfirm())) > 0 {
					assert.Assert(t, h.now.Sub(began) <= longestWait)
					return
				}
				h.advance(interval)
				if failsLate {
					h.reportRunning("a", runningRow(trial, 10, 100))
				} else {
					h.reportRunning("a", runningRow(old, 10, 100), runningRow(trial, 10, 100))
				}
			}
			t.Fatal("the job has not started for a minute on an executor that uses 10 of 64 cores")
		})
	}
}
