package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

// waitForStart plans at intervals until a task of the job starts and returns the order. The executors answer holds
// and run nothing else meanwhile.
func (h *harness) waitForStart(job string, limit time.Duration, executors ...string) Order {
	h.t.Helper()
	const interval = 100 * time.Millisecond
	for range limit / interval {
		for _, o := range startOrders(h.planAndConfirm()) {
			if o.Start.Run.Task.Job == job {
				return o
			}
		}
		h.advance(interval)
		for _, id := range executors {
			h.reportRunning(id)
		}
	}
	h.t.Fatalf("no task of job %s has started for %v", job, limit)
	return Order{}
}

// failAll reports the given runs as failed.
func (h *harness) failAll(list []Order) {
	h.t.Helper()
	for _, o := range list {
		h.ends[o.Target.ID]++
		h.reportEnd(o, h.ends[o.Target.ID], orders.EndedFailed, "")
	}
}

// TestFailingJobsDoNotStopOtherJobs checks that executors are not blamed for jobs that fail wherever they run.
func TestFailingJobsDoNotStopOtherJobs(t *testing.T) {
	h := newHarness(t, testExecutor("a"), testExecutor("b"), testExecutor("c"))
	for i := range 6 {
		h.accept(fmt.Sprintf("fails%d", i), "q", &jobpb.Step{Count: 2, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 300})
	}
	for range 20 {
		h.failAll(startOrders(h.planAndConfirm()))
		h.advance(100 * time.Millisecond)
	}
	h.accept("sound", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 300})
	h.waitForStart("sound", longestWait, "a", "b", "c")
}

// TestFailingServersAreRestartedInTime checks long-running jobs whose runs fail again and again, on executors where
// nothing else runs.
func TestFailingServersAreRestartedInTime(t *testing.T) {
	const (
		interval = 100 * time.Millisecond
		serving  = 2 * time.Second
	)
	h := newHarness(t, testExecutor("a"), testExecutor("b"))
	endedAt := map[string]tick.Time{}
	started := map[string]Order{}
	startedAt := map[string]tick.Time{}
	for _, job := range []string{"s0", "s1"} {
		h.accept(job, "q", latencyCriticalStep("web"))
		endedAt[job] = h.now
	}
	for range time.Minute / interval {
		for _, o := range startOrders(h.planAndConfirm()) {
			job := o.Start.Run.Task.Job
			started[job], startedAt[job] = o, h.now
		}
		h.advance(interval)
		rows := map[string][]orders.Running{}
		var failed []Order
		for _, job := range []string{"s0", "s1"} {
			o, isRunning := started[job]
			switch {
			case !isRunning:
				wait := h.now.Sub(endedAt[job])
				assert.Assert(t, wait <= restartGrace+longestWait, "job %s has had no run for %v", job, wait)
			case h.now.Sub(startedAt[job]) >= serving:
				failed = append(failed, o)
				delete(started, job)
				endedAt[job] = h.now
			default:
				rows[o.Target.ID] = append(rows[o.Target.ID], runningRow(o, 10, 100))
			}
		}
		for _, o := range failed {
			h.ends[o.Target.ID]++
			h.reportEnd(o, h.ends[o.Target.ID], orders.EndedFailed, "", rows[o.Target.ID]...)
		}
		for _, id := range []string{"a", "b"} {
			h.reportRunning(id, rows[id]...)
		}
	}
}

// TestTaskRetriesWhereItFailedIfOthersAreTooSmall checks a task that has failed on both executors of sufficient size.
func TestTaskRetriesWhereItFailedIfOthersAreTooSmall(t *testing.T) {
	small := testExecutor("small")
	small.MilliCPU = 2000
	h := newHarness(t, testExecutor("a"), testExecutor("b"), small)
	h.accept("large", "q", &jobpb.Step{Count: 1, MilliCpu: 4000, MemoryMb: 100, EstimateMs: 300})
	for range 2 {
		h.failAll([]Order{h.waitForStart("large", longestWait, "a", "b", "small")})
	}
	h.waitForStart("large", longestWait, "a", "b", "small")
}

// TestTaskRetriesWhereItFailedIfOthersAreFull checks a task that has failed on both executors that have room.
func TestTaskRetriesWhereItFailedIfOthersAreFull(t *testing.T) {
	full := testExecutor("full")
	full.Labels = []string{"full"}
	h := newHarness(t, testExecutor("a"), testExecutor("b"), full)
	h.accept("fills", "q", &jobpb.Step{
		Count: 1, MilliCpu: 64000, MemoryMb: 100, EstimateMs: 60000, RequiresLabel: "full",
	})
	long := startOrders(h.planAndConfirm())
	assert.Equal(t, len(long), 1)
	h.accept("retries", "q", &jobpb.Step{Count: 1, MilliCpu: 4000, MemoryMb: 100, EstimateMs: 300})
	for range 2 {
		h.failAll([]Order{h.waitForStart("retries", longestWait, "a", "b")})
	}
	h.waitForStart("retries", longestWait, "a", "b")
}

// replaceSilent lets the executor of the task's first run fall silent until the task starts on the other one of a and
// b.
func (h *harness) replaceSilent(job string) (first, second Order) {
	h.t.Helper()
	first = h.waitForStart(job, longestWait, "a", "b")
	lost, other := first.Target.ID, "a"
	if lost == "a" {
		other = "b"
	}
	for range 10 {
		h.advance(time.Second)
		hold, _, _ := h.cell.Hold(h.now, lost)
		h.cell.HandleHoldReply(h.now, h.now, lost, hold, orders.Lists{}, orders.Reply{Outcome: orders.NoResponse})
		h.reportRunning(other)
		if list := startOrders(h.planAndConfirm()); len(list) > 0 {
			assert.Equal(h.t, list[0].Target.ID, other)
			return first, list[0]
		}
	}
	h.t.Fatalf("job %s has not started on executor %s", job, other)
	return Order{}, Order{}
}

// TestOrphanedRunOfVanishedExecutorBlocksNoTask checks an executor that comes back after its lease has expired, lists
// the run that has been replaced meanwhile, and is gone for good before its next list.
func TestOrphanedRunOfVanishedExecutorBlocksNoTask(t *testing.T) {
	h := newHarness(t, testExecutor("a"), testExecutor("b"))
	h.accept("j", "q", latencyCriticalStep("web"))
	first, second := h.replaceSilent("j")
	lost := first.Target.ID
	other := second.Target.ID
	h.reportRunning(lost, runningRow(first, 10, 100))
	h.reportEnd(second, 1, orders.EndedFailed, "")
	h.cell.Discover(h.now, []queue.Executor{testExecutor(other)})
	h.advance(h.cell.params.LongestLease())
	h.waitForStart("j", longestWait, other)
}

// newPolicyHarness returns a harness with a policy service and more executors than one request names, of which the
// last two have the label a.
func newPolicyHarness(t *testing.T) *harness {
	t.Helper()
	var list []queue.Executor
	for i := range minAdviceExecutors + 4 {
		x := testExecutor(fmt.Sprintf("x%02d", i))
		if i >= minAdviceExecutors+2 {
			x.Labels = []string{"a"}
		}
		list = append(list, x)
	}
	h := newHarness(t, list...)
	h.cell.Configure(&queue.Configuration{Version: 2, Services: enforcing, Queues: []queue.Queue{{
		Name: "q", Service: "svc", MaxAttempts: 4, StretchFactor: 2, TargetMS: 1000,
		Advice: &queue.AdviceTiming{Decision: 5 * time.Millisecond, Period: time.Millisecond, Validity: testTicketValidity},
	}}})
	return h
}

// testTicketValidity is longer than a task may wait.
const testTicketValidity = 20 * time.Second

// waitForPermittedStart plans until a task starts and returns the order. The policy service gives tickets for the
// executors for which isPermitted is true. The given runs keep running.
func (h *harness) waitForPermittedStart(limit time.Duration, isPermitted func(id string) bool, runs ...Order) Order {
	h.t.Helper()
	const interval = 100 * time.Millisecond
	for range limit / interval {
		if q, ok := h.cell.NextAdviceRequest(h.now); ok {
			a := orders.Advice{Tickets: map[string]string{}, Validity: testTicketValidity}
			for _, id := range q.Executors {
				if isPermitted(id) {
					a.Tickets[id] = "ticket"
				}
			}
			h.cell.HandleAdvice(h.now, h.now, q, a, nil)
		}
		if list := startOrders(h.planAndConfirm()); len(list) > 0 {
			return list[0]
		}
		h.advance(interval)
		for _, o := range runs {
			h.reportRunning(o.Target.ID, runningRow(o, 10, 100))
		}
	}
	h.t.Fatalf("no task has started for %v", limit)
	return Order{}
}

// TestTaskRetriesWhereItFailedIfOthersAreRejected checks a task that has failed on both executors that the policy
// service permits.
func TestTaskRetriesWhereItFailedIfOthersAreRejected(t *testing.T) {
	h := newPolicyHarness(t)
	h.accept("j", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 300})
	isPermitted := func(id string) bool { return id == "x00" || id == "x01" }
	for range 2 {
		h.failAll([]Order{h.waitForPermittedStart(longestWait, isPermitted)})
	}
	h.waitForPermittedStart(longestWait, isPermitted)
}

// TestAdviceIsRequestedForExecutorsWithLabel checks a step that requires a label which few executors have.
func TestAdviceIsRequestedForExecutorsWithLabel(t *testing.T) {
	h := newPolicyHarness(t)
	h.accept("j", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 300, RequiresLabel: "a"})
	h.waitForPermittedStart(longestWait, func(string) bool { return true })
}

// TestAdviceIsRequestedBeyondAntiAffinity checks a step that has a ticket for an executor that already runs as many
// tasks of it as it may.
func TestAdviceIsRequestedBeyondAntiAffinity(t *testing.T) {
	h := newPolicyHarness(t)
	s := latencyCriticalStep("web")
	s.Count, s.MaxPerExecutor = 2, 1
	h.accept("j", "q", s)
	isPermitted := func(id string) bool { return id == "x00" || id >= "x10" }
	first := h.waitForPermittedStart(longestWait, isPermitted)
	h.waitForPermittedStart(restartGrace+longestWait, isPermitted, first)
}

// TestAdviceIsRequestedAfterItsQueueWasRemoved checks an accepted job whose queue, the only one with a policy service,
// is removed from the configuration.
func TestAdviceIsRequestedAfterItsQueueWasRemoved(t *testing.T) {
	h := newHarness(t, testExecutor("a"))
	with := queue.Queue{
		Name: "q", Service: "svc", MaxAttempts: 3, StretchFactor: 2, TargetMS: 1000,
		Advice: &queue.AdviceTiming{Decision: 10 * time.Millisecond},
	}
	h.cell.Configure(&queue.Configuration{Version: 2, Services: enforcing, Queues: []queue.Queue{with}})
	h.accept("job", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 300})
	h.cell.Configure(&queue.Configuration{Version: 3, Services: enforcing})
	h.planAndConfirm()
	_, ok := h.cell.NextAdviceRequest(h.now)
	assert.Assert(t, ok, "no advice is requested for the step")
}

// TestOrphanedRunListedJustNowIsForgotten checks a task that an executor has listed as running since the last plan.
func TestOrphanedRunListedJustNowIsForgotten(t *testing.T) {
	h := newHarness(t, testExecutor("a"), testExecutor("b"))
	h.accept("j", "q", latencyCriticalStep("web"))
	first, second := h.replaceSilent("j")
	lost := first.Target.ID
	h.reportEnd(second, 1, orders.EndedFailed, "")
	h.reportRunning(lost, runningRow(first, 10, 100))
	assert.Equal(t, len(startOrders(h.planAndConfirm())), 0, "the task runs on %s", lost)
}

// TestTaskWaitsForStopThatIsNeverConfirmed checks a lost start whose stop the executor refuses, while it answers holds.
func TestTaskWaitsForStopThatIsNeverConfirmed(t *testing.T) {
	const interval = 100 * time.Millisecond
	h := newHarness(t, testExecutor("a"), testExecutor("b"))
	h.accept("job", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 300})
	h.cell.Plan(h.now, testWallMS, unbounded)
	h.commit()
	first := startOrders(h.cell.Plan(h.now, testWallMS, unbounded))[0]
	h.advance(800 * time.Millisecond)
	h.cell.HandleReply(h.now, first, orders.Reply{Outcome: orders.NoResponse})
	stops := 0
	for range time.Minute / interval {
		for _, o := range h.cell.Plan(h.now, testWallMS, unbounded) {
			if o.Start != nil {
				return
			}
			stops++
			h.cell.HandleReply(h.now, o, orders.Reply{Outcome: orders.Unhealthy, ClockMS: testClock(h.now)})
		}
		h.commit()
		h.advance(interval)
		h.reportRunning("a")
		h.reportRunning("b")
	}
	t.Fatalf("the job has not started for a minute, after %d stops", stops)
}

// TestTaskOfHungExecutorWaitsWhileItIsListed checks a task that may be done on an executor that hangs.
func TestTaskOfHungExecutorWaitsWhileItIsListed(t *testing.T) {
	const interval = 100 * time.Millisecond
	h := newHarness(t, testExecutor("a"), testExecutor("b"))
	h.accept("job", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 300})
	first := startOrders(h.planAndConfirm())[0]
	for range time.Minute / interval {
		h.advance(interval)
		hold, _, _ := h.cell.Hold(h.now, first.Target.ID)
		h.cell.HandleHoldReply(
			h.now, h.now, first.Target.ID, hold, orders.Lists{}, orders.Reply{Outcome: orders.NoResponse})
		for _, id := range []string{"a", "b"} {
			if id != first.Target.ID {
				h.reportRunning(id)
			}
		}
		if len(startOrders(h.planAndConfirm())) > 0 {
			return
		}
	}
	t.Fatal("the task has not started again for a minute")
}

// TestRetriesUseUpAttemptsOnOneExecutor checks a task that fails on one executor while the other is full for a while.
func TestRetriesUseUpAttemptsOnOneExecutor(t *testing.T) {
	const interval = 100 * time.Millisecond
	h := newHarness(t, testExecutor("a"), testExecutor("b"))
	h.accept("full", "q", &jobpb.Step{Count: 2, MilliCpu: 60_000, MemoryMb: 100, EstimateMs: 6000, MaxPerExecutor: 1})
	full := startOrders(h.planAndConfirm())
	assert.Equal(t, len(full), 2)
	h.reportEnd(full[0], 1, orders.EndedDone, "")
	h.ends[full[0].Target.ID] = 1
	h.accept("victim", "q", &jobpb.Step{Count: 1, MilliCpu: 10_000, MemoryMb: 100, EstimateMs: 1000})
	began := h.now
	for h.now.Sub(began) < 8*time.Second {
		h.failAll(startOrders(h.planAndConfirm()))
		h.advance(interval)
		h.reportRunning(full[1].Target.ID, runningRow(full[1], 1000, 10+int(h.now.Sub(began)/(100*time.Millisecond))))
		h.commit()
		state, _ := h.cell.State("victim")
		assert.Assert(t, state != jobpb.State_STATE_FAILED, "failed after %v on one executor", h.now.Sub(began))
	}
}

// TestLastAttemptWaitsForExecutorThatStaysFull checks a task with one attempt left, while the only other executor is
// full for good.
func TestLastAttemptWaitsForExecutorThatStaysFull(t *testing.T) {
	const interval = 100 * time.Millisecond
	h := newHarness(t, testExecutor("a"), testExecutor("b"))
	h.accept("full", "q", &jobpb.Step{Count: 2, MilliCpu: 60_000, MemoryMb: 100, EstimateMs: 1000, MaxPerExecutor: 1})
	full := startOrders(h.planAndConfirm())
	assert.Equal(t, len(full), 2)
	h.reportEnd(full[0], 1, orders.EndedDone, "")
	h.ends[full[0].Target.ID] = 1
	h.accept("job", "q", &jobpb.Step{Count: 1, MilliCpu: 10_000, MemoryMb: 100, EstimateMs: 1000})
	starts := 0
	for range 30 * time.Second / interval {
		list := startOrders(h.planAndConfirm())
		starts += len(list)
		h.failAll(list)
		h.advance(interval)
		h.reportRunning(full[1].Target.ID, runningRow(full[1], 1000, starts))
	}
	assert.Equal(t, starts, 3, "the last attempt is never made")
}

// TestAdviceIsRequestedBeyondExecutorsWhereTaskFailed checks a task that has failed on all executors that it has
// tickets for.
func TestAdviceIsRequestedBeyondExecutorsWhereTaskFailed(t *testing.T) {
	h := newPolicyHarness(t)
	h.accept("j", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 300})
	isPermitted := func(id string) bool { return id == "x00" || id == "x01" || id >= "x10" }
	for range 2 {
		h.failAll([]Order{h.waitForPermittedStart(longestWait, isPermitted)})
	}
	third := h.waitForPermittedStart(longestWait, isPermitted)
	assert.Assert(t, third.Target.ID >= "x10", "the task starts on %s, where it has failed", third.Target.ID)
}

// acceptBesideServersNearTarget lets all latency-critical runs be near their target and submits a best-effort task.
func (h *harness) acceptBesideServersNearTarget() {
	for _, x := range h.cell.execs {
		for _, r := range x.latencyCritical {
			r.isNearTarget = true
		}
		x.forgetTolerance()
	}
	h.accept("best-effort", "q", &jobpb.Step{
		Count: 1, MilliCpu: 8000, MemoryMb: 100, EstimateMs: 1000, Fills: true, Image: "batch",
	})
}

// TestAdviceIsRequestedBeyondInterference checks a best-effort task whose tickets are for executors with
// latency-critical runs that are near their target.
func TestAdviceIsRequestedBeyondInterference(t *testing.T) {
	h := newPolicyHarness(t)
	h.accept("fills", "q", &jobpb.Step{
		Count: 2, MilliCpu: 32000, MemoryMb: 255000, EstimateMs: 60000, MaxPerExecutor: 1, RequiresLabel: "a",
	})
	h.waitForPermittedStart(longestWait, func(string) bool { return true })
	servers := latencyCriticalStep("web")
	servers.Count, servers.MaxPerExecutor, servers.MemoryMb = minAdviceExecutors+2, 1, 2000
	h.accept("servers", "q", servers)
	h.waitForPermittedStart(longestWait, func(string) bool { return true })
	h.acceptBesideServersNearTarget()
	started := h.waitForPermittedStart(longestWait, func(string) bool { return true })
	assert.Assert(t, h.cell.execs[started.Target.ID].satisfies("a"))
}

// TestAdviceIsRequestedForOverdueTask checks an overdue best-effort task whose tickets are for executors with
// latency-critical runs that exceed their target.
func TestAdviceIsRequestedForOverdueTask(t *testing.T) {
	h := newPolicyHarness(t)
	servers := latencyCriticalStep("web")
	servers.Count, servers.MaxPerExecutor = uint32(len(h.cell.execs)), 1
	h.accept("servers", "q", servers)
	h.waitForPermittedStart(longestWait, func(string) bool { return true })
	h.acceptBesideServersNearTarget()
	q, ok := h.cell.NextAdviceRequest(h.now)
	assert.Assert(t, ok)
	a := orders.Advice{Tickets: map[string]string{}, Validity: testTicketValidity}
	for _, id := range q.Executors {
		a.Tickets[id] = "ticket"
		for _, r := range h.cell.execs[id].latencyCritical {
			r.usage = int64(servers.TargetMs) + 1
		}
		h.cell.execs[id].forgetTolerance()
	}
	h.cell.HandleAdvice(h.now, h.now, q, a, nil)
	started := h.waitForPermittedStart(longestWait, func(string) bool { return true })
	assert.Assert(t, !slices.Contains(q.Executors, started.Target.ID))
}

// TestLaterStepIsOverdueAtOnce checks a best-effort job of which a step becomes due after an earlier one had waited.
func TestLaterStepIsOverdueAtOnce(t *testing.T) {
	h := newHarness(t, testExecutor("a"))
	first, second := bestEffortStep("sum"), bestEffortStep("sum")
	second.DependsOn = []uint32{0}
	h.accept("j", "q", first, second)
	h.cell.execs["a"].quarantine(h.now, 2*time.Second)
	for range 2 {
		h.planAndConfirm()
		h.advance(time.Second)
		h.reportRunning("a")
	}
	list := startOrders(h.planAndConfirm())
	assert.Equal(t, len(list), 1)
	h.advance(time.Second)
	h.planAndConfirm()
	h.reportEnd(list[0], 1, orders.EndedDone, "")
	h.cell.execs["a"].quarantine(h.now, time.Second)
	h.planAndConfirm()
	assert.Assert(t, !h.cell.jobs["j"].isOverdue(h.now), "the second step has only just become due")
}
