package cell

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/queue"
)

// heartbeat is the interval at which the test's executors rewrite their entries.
const heartbeat = 1100 * time.Millisecond

// enforcing are the services of tests whose executors refuse what exceeds their capacity.
var enforcing = map[string]queue.Service{
	"svc": {Name: "svc", EnforcesCapacity: true}, "other": {Name: "other", EnforcesCapacity: true},
}

// capacityHarness has the executor x with 8 cores, which does not enforce its capacity and writes an entry with each
// heartbeat.
type capacityHarness struct {
	*harness
	entry queue.Executor
}

func newCapacityHarness(t *testing.T) *capacityHarness {
	t.Helper()
	e := queue.Executor{ID: "x", Address: "x", Service: "svc", StartedMS: 1, Sequence: 1, MilliCPU: 8000, MemoryMB: 8000}
	h := &capacityHarness{harness: newHarness(t, e), entry: e}
	h.setEnforced(false)
	h.beat()
	return h
}

func (h *capacityHarness) setEnforced(enforces bool) {
	c := *h.cell.config
	c.Version++
	c.Services = map[string]queue.Service{"svc": {Name: "svc", EnforcesCapacity: enforces}}
	h.cell.Configure(&c)
}

// beat lets a heartbeat pass and reads the next entry.
func (h *capacityHarness) beat() {
	h.advance(heartbeat)
	h.entry.Sequence++
	h.cell.Discover(h.now, []queue.Executor{h.entry})
}

// resize changes the capacity with the next heartbeat.
func (h *capacityHarness) resize(milliCPU int64) {
	h.entry.MilliCPU = milliCPU
	h.beat()
}

func (h *capacityHarness) acceptTasks(job string, n uint32) {
	h.accept(job, "q", &jobpb.Step{Count: n, MilliCpu: 2000, MemoryMb: 100, EstimateMs: 60000})
}

func (h *capacityHarness) report(list ...Order) {
	rows := make([]orders.Running, len(list))
	for i, o := range list {
		rows[i] = runningRow(o, 0, 10)
	}
	h.reportRunning("x", rows...)
}

// plan plans without a reply to the orders.
func (h *capacityHarness) plan() []Order {
	h.commit()
	return h.cell.Plan(h.now, testWallMS, unbounded)
}

// TestShrunkExecutorKeepsRunsAndStartsNothing guards against runs that are stopped because the capacity of their
// executor has shrunk below what runs, and against starts before the rest fits.
func TestShrunkExecutorKeepsRunsAndStartsNothing(t *testing.T) {
	h := newCapacityHarness(t)
	h.acceptTasks("j", 3)
	running := startOrders(h.planAndConfirm())
	assert.Equal(t, len(running), 3)
	h.resize(4000)
	h.acceptTasks("k", 2)
	for range 10 {
		h.report(running...)
		assert.Equal(t, len(h.planAndConfirm()), 0)
		h.beat()
	}
	// Two of three runs fill the smaller capacity.
	h.reportEnd(running[0], 1, orders.EndedDone, "", runningRow(running[1], 0, 10), runningRow(running[2], 0, 10))
	assert.Equal(t, len(h.planAndConfirm()), 0)
	h.resize(8000)
	assert.Equal(t, len(startOrders(h.planAndConfirm())), 2)
}

// TestShrunkExecutorGetsNoPlacedRuns guards against start orders for placed runs that no longer fit.
func TestShrunkExecutorGetsNoPlacedRuns(t *testing.T) {
	h := newCapacityHarness(t)
	h.acceptTasks("j", 4)
	assert.Equal(t, len(h.cell.Plan(h.now, testWallMS, unbounded)), 0, "the placements are not recorded yet")
	h.resize(4000)
	assert.Equal(t, len(startOrders(h.plan())), 2)
}

// TestUnansweredStartsCountAgainstShrunkCapacity guards against starts beside runs whose start order got no response,
// or that are being stopped.
func TestUnansweredStartsCountAgainstShrunkCapacity(t *testing.T) {
	h := newCapacityHarness(t)
	h.acceptTasks("j", 3)
	h.plan()
	sent := startOrders(h.plan())
	assert.Equal(t, len(sent), 3)
	h.resize(4000)
	h.cell.HandleReply(h.now, sent[0], orders.Reply{Outcome: orders.NoResponse})
	h.cell.Cancel(h.now, "j")
	h.acceptTasks("k", 1)
	h.plan()
	assert.Equal(t, len(startOrders(h.plan())), 0)
	h.beat()
	h.report(sent...)
	assert.Equal(t, len(startOrders(h.plan())), 0, "runs that are being stopped still count")
	h.beat()
	h.report(sent[0], sent[1])
	assert.Equal(t, len(startOrders(h.plan())), 0)
	h.beat()
	h.report(sent[0])
	h.plan()
	assert.Equal(t, len(startOrders(h.plan())), 1)
}

// TestShrunkExecutorTakesNoMovedRun guards against room that was kept for a move before the capacity shrank.
func TestShrunkExecutorTakesNoMovedRun(t *testing.T) {
	h := newCapacityHarness(t)
	h.acceptTasks("j", 1)
	o := startOrders(h.planAndConfirm())[0]
	x, task := h.cell.execs["x"], h.cell.task(o.Start.Run.Task)
	h.acceptTasks("k", 1)
	waiting := h.cell.jobs["k"].occurrences[0].steps[0].tasks[0]
	x.keepRoom(waiting)
	h.resize(2000)
	h.report(o)
	x.releaseRoom(waiting)
	assert.Assert(t, !h.cell.newPass(h.now).takesMoved(waiting.step, x))
	assert.Assert(t, task.run != nil)
}

// TestShrunkExecutorTakesNoBestEffortTask guards against best-effort tasks, whose CPU is accounted for separately, on
// an executor over its capacity.
func TestShrunkExecutorTakesNoBestEffortTask(t *testing.T) {
	h := newCapacityHarness(t)
	h.acceptTasks("j", 3)
	running := startOrders(h.planAndConfirm())
	h.resize(4000)
	h.report(running...)
	h.accept("k", "q", &jobpb.Step{Count: 1, MemoryMb: 100, EstimateMs: 1000, Fills: true, Image: "i"})
	assert.Equal(t, len(startOrders(h.planAndConfirm())), 0)
}

// TestAdoptedRunsCountAgainstShrunkCapacity guards against a new leader that starts runs beside those of a former one,
// which exceed the shrunk capacity.
func TestAdoptedRunsCountAgainstShrunkCapacity(t *testing.T) {
	h := newCapacityHarness(t)
	h.entry.MilliCPU = 2000
	h.cell = New(h.cell.params, 2, h.now)
	h.cell.Configure(&queue.Configuration{Version: 1, Queues: []queue.Queue{{Name: "q", Service: "svc", MaxAttempts: 3}}})
	h.acceptTasks("j", 2)
	h.beat()
	h.beat()
	h.commit()
	rows := make([]orders.Running, 2)
	for i := range rows {
		rows[i] = orders.Running{Run: orders.Run{Task: orders.Task{Job: "j", Index: uint32(i)}, Number: 1}}
	}
	h.reportRunning("x", rows...)
	h.acceptTasks("k", 1)
	assert.Equal(t, len(h.cell.execs["x"].runs), 2)
	assert.Equal(t, len(h.planAndConfirm()), 0)
}

// TestOlderEntryDoesNotRestoreCapacity guards against a write of an executor that the store carries out after a newer
// one: starts would rely on the capacity from before it shrank.
func TestOlderEntryDoesNotRestoreCapacity(t *testing.T) {
	h := newCapacityHarness(t)
	older := h.entry
	h.resize(2000)
	h.cell.Discover(h.now, []queue.Executor{older})
	h.acceptTasks("j", 4)
	assert.Equal(t, len(startOrders(h.planAndConfirm())), 1)
}

// TestOlderEntryKeepsExecutorListed checks that an entry that is older than a known one still lists the executor.
func TestOlderEntryKeepsExecutorListed(t *testing.T) {
	h := newCapacityHarness(t)
	older := h.entry
	h.beat()
	h.cell.Discover(h.now, nil)
	h.cell.Discover(h.now, []queue.Executor{older})
	assert.Assert(t, h.cell.execs["x"].isListed)
}

// TestStartsNeedRecentCapacity guards against starts on an executor that does not enforce its capacity while service
// discovery cannot be read: its capacity may have shrunk long ago.
func TestStartsNeedRecentCapacity(t *testing.T) {
	for _, enforces := range []bool{false, true} {
		h := newCapacityHarness(t)
		h.setEnforced(enforces)
		h.advance(maxCapacityAge)
		h.report()
		h.acceptTasks("j", 1)
		running := startOrders(h.planAndConfirm())
		assert.Equal(t, len(running), 1)
		h.acceptTasks("k", 1)
		h.plan()
		h.advance(100 * time.Millisecond)
		h.report(running...)
		assert.Equal(t, len(startOrders(h.plan())) == 1, enforces)
	}
}

// TestEntriesFromBeforeGapAreNotRecent guards against starts on entries that executors could not rewrite while the
// store was down, and that their first write after it, delayed in the store, does not replace at once.
func TestEntriesFromBeforeGapAreNotRecent(t *testing.T) {
	h := newCapacityHarness(t)
	h.advance(10 * time.Second)
	h.report()
	h.acceptTasks("j", 1)
	// This write came after the last read before the outage.
	h.entry.Sequence++
	for range 10 {
		h.cell.Discover(h.now, []queue.Executor{h.entry})
		assert.Equal(t, len(startOrders(h.planAndConfirm())), 0)
		h.advance(500 * time.Millisecond)
	}
	h.beat()
	assert.Equal(t, len(startOrders(h.planAndConfirm())), 1)
}

// TestEntriesWithoutSequenceBecomeRecent guards against executors that are not used any more after a gap because their
// entries do not tell when they were written.
func TestEntriesWithoutSequenceBecomeRecent(t *testing.T) {
	h := newCapacityHarness(t)
	h.entry.Sequence = 0
	h.replaceLeader()
	h.acceptTasks("j", 1)
	for range entryRewriteTime / (500 * time.Millisecond) {
		assert.Equal(t, len(startOrders(h.planAndConfirm())), 0)
		h.advance(500 * time.Millisecond)
		h.cell.Discover(h.now, []queue.Executor{h.entry})
	}
	assert.Equal(t, len(startOrders(h.planAndConfirm())), 1)
}

// replaceLeader replaces the cell by that of a new leader, which has read the entry once and has a list of x.
func (h *capacityHarness) replaceLeader() {
	cfg := h.cell.config
	h.cell = New(h.cell.params, 2, h.now)
	h.cell.Configure(cfg)
	h.cell.LoadRoster(&jobpb.Roster{Executor: "x", Address: "x"})
	h.cell.Discover(h.now, []queue.Executor{h.entry})
	h.report()
}

// TestNewLeaderNeedsRewrittenEntries guards against a leader that takes over right after an outage of the store and
// relies on entries from before it.
func TestNewLeaderNeedsRewrittenEntries(t *testing.T) {
	h := newCapacityHarness(t)
	h.replaceLeader()
	h.acceptTasks("j", 1)
	assert.Equal(t, len(startOrders(h.planAndConfirm())), 0)
	h.beat()
	assert.Equal(t, len(startOrders(h.planAndConfirm())), 1)
}

// TestRestartedExecutorNeedsEntryOfItsProcess guards against starts on the capacity of the former process of an
// executor, after a list of the new one was read before its entry.
func TestRestartedExecutorNeedsEntryOfItsProcess(t *testing.T) {
	h := newCapacityHarness(t)
	list := func(clockMS int64) {
		hold, _, _ := h.cell.Hold(h.now, "x")
		reply := orders.Reply{Outcome: orders.Done, ClockMS: clockMS}
		h.cell.HandleHoldReply(h.now, h.now, "x", hold, orders.Lists{StartedMS: 2}, reply)
	}
	list(1)
	list(2)
	h.acceptTasks("j", 4)
	assert.Equal(t, len(startOrders(h.planAndConfirm())), 0)
	h.entry.StartedMS, h.entry.Sequence, h.entry.MilliCPU = 2, 0, 2000
	h.beat()
	list(3)
	assert.Equal(t, len(startOrders(h.planAndConfirm())), 1)
}

// TestOrphanedRunsCountAgainstShrunkCapacity guards against starts beside a run that was started late and that this
// leader does not track.
func TestOrphanedRunsCountAgainstShrunkCapacity(t *testing.T) {
	h := newCapacityHarness(t)
	h.resize(2000)
	h.reportRunning("x", orders.Running{Run: orders.Run{Task: orders.Task{Job: "late"}, Number: 1}})
	h.acceptTasks("j", 1)
	assert.Equal(t, len(startOrders(h.planAndConfirm())), 0)
	h.report()
	assert.Equal(t, len(startOrders(h.planAndConfirm())), 1)
}

// TestCapacityChangeIsReported checks the event about a changed capacity.
func TestCapacityChangeIsReported(t *testing.T) {
	h := newCapacityHarness(t)
	h.acceptTasks("j", 3)
	assert.Equal(t, len(startOrders(h.planAndConfirm())), 3)
	h.cell.Events()
	h.resize(4000)
	events := h.cell.Events()
	assert.Equal(t, len(events), 1)
	assert.Equal(t, events[0].Name, "executor-capacity-changed")
	assert.Equal(t, events[0].Detail, "from 8000 mCPU, 8000 MB, 0 GPUs to 4000 mCPU, 8000 MB, 0 GPUs")
	assert.Equal(t, h.cell.Usage(h.now).OverCapacity, 1)
}

// TestDiagnosisNamesUnknownCapacity checks the reported cause of tasks that wait for a recent entry.
func TestDiagnosisNamesUnknownCapacity(t *testing.T) {
	h := newCapacityHarness(t)
	h.advance(maxCapacityAge)
	h.acceptTasks("j", 1)
	events := h.diagnoseAfter(3 * time.Second)
	assert.Equal(t, len(events), 1)
	assert.Equal(t, events[0].Detail, "capacity-unknown for 3s, started 0 times; executors: capacity-unknown 1")
}

// TestShrunkExecutorsDoNotStayReserved guards against small tasks that wait behind the reservation of a task that no
// executor is large enough for since the capacities have shrunk.
func TestShrunkExecutorsDoNotStayReserved(t *testing.T) {
	const longestSmallWait = 3 * time.Second
	r := newAheadRig(t, testExecutor("a"), testExecutor("b"))
	r.stream("early", smallStreamInterval, 2*time.Second, smallStep())
	r.submit("large", "q", fullExecutorStep(1000))
	for i := 0; r.countEvents("reserved") == 0; i++ {
		r.stream(fmt.Sprintf("overtaking%d-", i), smallStreamInterval, smallStreamInterval, smallStep())
	}
	_, hasStarted := r.waitOf("large")
	assert.Assert(t, !hasStarted)
	shrunk := slices.Clone(r.executors)
	for i := range shrunk {
		shrunk[i].MilliCPU /= 2
	}
	r.cell.Discover(r.now, shrunk)
	r.stream("small", 3*smallStreamInterval, 8*time.Second, smallStep())
	for job := range r.acceptedAt {
		wait, ok := r.waitOf(job)
		if !strings.HasPrefix(job, "small") || !ok && r.now.Sub(r.acceptedAt[job]) < longestSmallWait {
			continue
		}
		assert.Assert(t, ok && wait < longestSmallWait, "%s started %t after %v", job, ok, wait)
	}
}
