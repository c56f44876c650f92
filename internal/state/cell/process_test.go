package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/state/ramp"
	"github.com/ibischute/ibischute/pkg/queue"
)

// The executor of these tests has processes that start at these times, in milliseconds.
const (
	firstProcessMS  = 1000
	secondProcessMS = 9000
	thirdProcessMS  = 12000
)

// processHarness has the executor "a", which restarts under its id.
type processHarness struct {
	*harness
	sequence int64
}

// entryOf returns the next entry of the process that started at that time, which is of the kind.
func (h *processHarness) entryOf(startedMS int64, kind string) queue.Executor {
	h.sequence++
	e := executorAt("a", "10.0.0.1:80", startedMS)
	e.Labels, e.Domain, e.Sequence = []string{kind, "r1"}, "d0", h.sequence
	return e
}

func newProcessHarness(t *testing.T, kind string) *processHarness {
	t.Helper()
	h := &processHarness{}
	first := h.entryOf(firstProcessMS, kind)
	h.harness = newHarness(t)
	h.read(first)
	h.listProcess(firstProcessMS)
	return h
}

// read applies a list of entries and stores the records that follow from it.
func (h *processHarness) read(list ...queue.Executor) {
	h.t.Helper()
	h.cell.Discover(h.now, list)
	h.commit()
}

// listProcess has the process answer holds until its lists are applied. A restart takes a second hold, with a higher
// token.
func (h *processHarness) listProcess(startedMS int64) {
	h.t.Helper()
	for range 3 {
		h.advance(100 * time.Millisecond)
		hold, to, _ := h.cell.Hold(h.now, "a")
		assert.Equal(h.t, to.ID, "a")
		h.cell.HandleHoldReply(h.now, h.now, "a", hold, orders.Lists{StartedMS: startedMS}, doneAt(h.now))
	}
	assert.Equal(h.t, h.cell.execs["a"].startedMS, startedMS)
}

// restart crashes the known process; lists show the next one, of which no entry has been read.
func (h *processHarness) restart(startedMS int64) {
	h.t.Helper()
	h.noResponse("a")
	h.listProcess(startedMS)
}

// require accepts a job with one task that requires the kind, or any if that is empty.
func (h *processHarness) require(job, kind string) {
	h.accept(job, "q", &jobpb.Step{
		Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 5000, RequiresLabel: kind,
	})
}

// starts returns the jobs of which a task starts now.
func (h *processHarness) starts() []string {
	h.t.Helper()
	return startedJobs(startOrders(h.planAndConfirm()))
}

func (h *processHarness) checkStarts(jobs ...string) {
	h.t.Helper()
	assert.DeepEqual(h.t, append([]string{}, h.starts()...), append([]string{}, jobs...))
}

// TestStartStatesItsEntry checks that the event of a start names the process whose entry it is based on, and the age of
// the entry.
func TestStartStatesItsEntry(t *testing.T) {
	h := newProcessHarness(t, "a")
	h.require("j", "a")
	h.checkStarts("j")
	for _, event := range h.cell.Events() {
		if event.Name == "start" {
			assert.DeepEqual(t, event.Entry, &EntryRef{
				StartedMS: firstProcessMS, ListedMS: firstProcessMS, Age: 300 * time.Millisecond,
			})
			return
		}
	}
	t.Fatal("no start")
}

// TestNextProcessIsNotOfTheKindOfTheFormerOne guards against a task that starts on an executor without the label that
// it requires: the executor has restarted under its id as another kind, and its new entry has not been read.
func TestNextProcessIsNotOfTheKindOfTheFormerOne(t *testing.T) {
	h := newProcessHarness(t, "a")
	h.restart(secondProcessMS)
	h.require("former", "a")
	h.require("next", "b")
	h.checkStarts()
	h.read(h.entryOf(secondProcessMS, "b"))
	h.checkStarts("next")
}

// TestUnknownProcessRunsWhatRequiresNoLabel guards against a job that waits beside room that it may use: while no entry
// of the next process is read, only tasks that require a label wait.
func TestUnknownProcessRunsWhatRequiresNoLabel(t *testing.T) {
	h := newProcessHarness(t, "a")
	h.restart(secondProcessMS)
	h.advance(time.Minute)
	h.listProcess(secondProcessMS)
	h.require("labelled", "a")
	h.require("plain", "")
	h.checkStarts("plain")
}

// TestEntryOfFormerProcessDescribesNoOther guards against a start without the label, or a sound executor that gets
// nothing, because an entry of a former process is read late, or again, after that of the present one.
func TestEntryOfFormerProcessDescribesNoOther(t *testing.T) {
	h := newProcessHarness(t, "a")
	former := h.entryOf(firstProcessMS, "a")
	h.restart(secondProcessMS)
	h.read(h.entryOf(secondProcessMS, "b"))
	former.Draining, former.RemainingMS = true, 500
	h.read(former)
	h.listProcess(secondProcessMS)
	h.require("former", "a")
	h.require("present", "b")
	h.checkStarts("present")
}

// TestProcessAfterTwoRestartsIsOfUnknownKind guards against a start without the label after a second restart, whose
// entry may be preceded by a late one of the process in between.
func TestProcessAfterTwoRestartsIsOfUnknownKind(t *testing.T) {
	h := newProcessHarness(t, "a")
	h.restart(secondProcessMS)
	between := h.entryOf(secondProcessMS, "b")
	h.restart(thirdProcessMS)
	h.require("first", "a")
	h.require("second", "b")
	h.checkStarts()
	h.read(between)
	h.listProcess(thirdProcessMS)
	h.checkStarts()
	h.read(h.entryOf(thirdProcessMS, "a"))
	h.checkStarts("first")
}

// TestPlacementBeforeRestartIsChecked guards against a start without the label on an executor that has restarted since
// the task was placed there: its record is stored, and its order is made or sent, only afterwards.
func TestPlacementBeforeRestartIsChecked(t *testing.T) {
	h := newProcessHarness(t, "a")
	h.require("j", "a")
	assert.Equal(t, len(h.cell.Plan(h.now, testWallMS, unbounded)), 0, "the placement is not recorded yet")
	h.restart(secondProcessMS)
	h.commit()
	assert.Equal(t, len(h.cell.StartRecorded(h.now, unbounded.MaxStarts)), 0)
	h.checkStarts()
}

// TestOrderBeforeRestartIsNotSent guards against a start without the label whose order was made before the restart was
// noticed and waits for a connection.
func TestOrderBeforeRestartIsNotSent(t *testing.T) {
	for name, event := range map[string]func(h *processHarness){
		"crash":   func(h *processHarness) { h.noResponse("a") },
		"list":    func(h *processHarness) { h.restart(secondProcessMS) },
		"entry":   func(h *processHarness) { h.read(h.entryOf(secondProcessMS, "b")) },
		"kind":    func(h *processHarness) { h.read(h.entryOf(firstProcessMS, "b")) },
		"removed": func(h *processHarness) { h.cell.Cancel(h.now, "j"); h.cell.dropExecutor("a") },
	} {
		t.Run(name, func(t *testing.T) {
			h := newProcessHarness(t, "a")
			h.require("j", "a")
			h.cell.Plan(h.now, testWallMS, unbounded)
			h.commit()
			list := startOrders(h.cell.Plan(h.now, testWallMS, unbounded))
			assert.Equal(t, len(list), 1)
			assert.Equal(t, h.cell.StartBlockedBy(h.now, list[0]), "")
			event(h)
			assert.Assert(t, h.cell.StartBlockedBy(h.now, list[0]) != "")
		})
	}
}

// TestNextLeaderDoesNotUseEntryOfFormerProcess guards against a start without the label by a new leader that has read
// the entry of a process that is over.
func TestNextLeaderDoesNotUseEntryOfFormerProcess(t *testing.T) {
	h := &processHarness{harness: newHarness(t)}
	h.read(h.entryOf(firstProcessMS, "a"))
	h.listProcess(secondProcessMS)
	h.require("j", "a")
	h.checkStarts()
	h.read(h.entryOf(secondProcessMS, "a"))
	h.checkStarts("j")
}

// TestGangGetsNoMemberOnUnknownProcess guards against a member of a gang that starts without the label.
func TestGangGetsNoMemberOnUnknownProcess(t *testing.T) {
	h := newProcessHarness(t, "a")
	h.accept("gang", "q", &jobpb.Step{
		Count: 2, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 5000, RequiresLabel: "a", Gang: true,
	})
	h.cell.Plan(h.now, testWallMS, unbounded)
	h.restart(secondProcessMS)
	h.checkStarts()
	h.read(h.entryOf(secondProcessMS, "a"))
	h.checkStarts("gang", "gang")
}

// TestReservationEndsWithItsKind guards against a job that waits beside room that it may use: the room is reserved for
// a step that requires the kind of the former process.
func TestReservationEndsWithItsKind(t *testing.T) {
	h := newProcessHarness(t, "a")
	h.accept("blocker", "q", &jobpb.Step{Count: 1, MilliCpu: 40000, MemoryMb: 100, EstimateMs: 4000})
	list := startOrders(h.planAndConfirm())
	assert.Equal(t, len(list), 1)
	h.accept("large", "q", &jobpb.Step{Count: 1, MilliCpu: 60000, MemoryMb: 100, EstimateMs: 5000, RequiresLabel: "a"})
	h.planAndConfirm()
	h.accept("small", "low", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 500})
	h.require("other", "")
	h.planAndConfirm()
	h.planAndConfirm()
	assert.Assert(t, h.cell.lookAhead.planner.IsReserved("a"))
	h.restart(secondProcessMS)
	h.checkStarts("blocker")
	assert.Assert(t, !h.cell.lookAhead.planner.IsReserved("a"))
}

// TestNextProcessDrainsByItsOwnEntry guards against runs that are stopped by the deadline of a former process, and
// against starts on an executor that may still be draining.
func TestNextProcessDrainsByItsOwnEntry(t *testing.T) {
	h := newProcessHarness(t, "a")
	draining := h.entryOf(firstProcessMS, "a")
	draining.Draining, draining.RemainingMS = true, 1000
	h.read(draining)
	h.restart(secondProcessMS)
	h.require("j", "")
	h.checkStarts()
	next := h.entryOf(secondProcessMS, "a")
	next.Draining, next.RemainingMS = true, 8000
	h.read(next)
	assert.Equal(t, h.cell.execs["a"].described.drainDeadline, h.now.Add(8*time.Second))
	h.read(h.entryOf(secondProcessMS, "a"))
	h.checkStarts("j")
}

// TestRunOfUnknownProcessIsNotStoppedByFormerDrain guards against a long-running task that is stopped because a former
// process of its executor was draining: its entry is read late.
func TestRunOfUnknownProcessIsNotStoppedByFormerDrain(t *testing.T) {
	h := newProcessHarness(t, "a")
	draining := h.entryOf(firstProcessMS, "a")
	draining.Draining, draining.RemainingMS = true, 1000
	h.restart(secondProcessMS)
	h.accept("server", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, LongRunning: true})
	h.checkStarts("server")
	h.read(draining)
	h.planAndConfirm()
	r := h.cell.jobs["server"].occurrences[0].steps[0].tasks[0].run
	assert.Assert(t, r != nil && !r.isMarkedForStopping)
}

// TestUnknownProcessMayBeCold guards against more tasks than a cold executor may run, on a process whose entry has not
// been read, and against one that gets none.
func TestUnknownProcessMayBeCold(t *testing.T) {
	h := newProcessHarness(t, "a")
	h.cell.params.Cold = ramp.Bounds{Slack: 2, Overshoot: 1}
	h.restart(secondProcessMS)
	h.accept("j", "q", &jobpb.Step{Count: 10, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 5000})
	assert.Equal(t, len(h.starts()), 2)
	h.read(h.entryOf(secondProcessMS, "a"))
	assert.Equal(t, len(h.starts()), 8)
}

// TestOutageIsThatOfTheLostProcess guards against a crash that counts against a task although the whole kind or rack of
// the lost process crashed: the entry of the next process, which is of another kind, is read first.
func TestOutageIsThatOfTheLostProcess(t *testing.T) {
	h := newProcessHarness(t, "a")
	h.read(h.entryOf(secondProcessMS, "b"))
	h.listProcess(secondProcessMS)
	o := h.cell.crashes.outages[h.cell.execs["a"].hash]
	assert.Assert(t, o != nil)
	assert.DeepEqual(t, o.entry.Labels, []string{"a", "r1"})
}

// TestStartIsForTheProcessOfItsPlacement guards against a start that the next process carries out before the leader
// knows of the restart, so that neither a list nor an entry can tell.
func TestStartIsForTheProcessOfItsPlacement(t *testing.T) {
	h := newProcessHarness(t, "a")
	h.require("labelled", "a")
	h.require("plain", "")
	list := startOrders(h.planAndConfirm())
	assert.Equal(t, len(list), 2)
	for _, o := range list {
		assert.Equal(t, o.Start.StartedMS, int64(firstProcessMS))
	}
}

// TestExecutorWhoseProcessHasChangedIsFenced guards against further starts on an executor on which another process has
// answered in the place of the one that a start was for.
func TestExecutorWhoseProcessHasChangedIsFenced(t *testing.T) {
	h := newProcessHarness(t, "a")
	h.require("j", "a")
	h.cell.Plan(h.now, testWallMS, unbounded)
	h.commit()
	list := startOrders(h.cell.Plan(h.now, testWallMS, unbounded))
	assert.Equal(t, len(list), 1)
	h.cell.HandleReply(h.now, list[0], orders.Reply{Outcome: orders.OtherProcess})
	assert.Assert(t, h.cell.IsFencing("a"))
	h.advance(time.Second)
	h.checkStarts()
	h.listProcess(secondProcessMS)
	h.read(h.entryOf(secondProcessMS, "a"))
	h.checkStarts("j")
}
