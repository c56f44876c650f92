package cell

import (
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/state/book"
	"github.com/ibischute/ibischute/internal/state/chain"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

// newChainHarness returns the harness of a new leader of epoch 7 with a term record. Neither of its executors x and y
// has responded.
func newChainHarness(t *testing.T, previousEpoch uint64, term *jobpb.Term, entries ...*book.Entry) *harness {
	t.Helper()
	h := &harness{t: t, now: tick.Time(time.Hour), ends: map[string]uint64{}}
	h.cell = New(Params{
		MaxHold: 6 * time.Second, StopTimeout: 200 * time.Millisecond, Retention: time.Minute,
	}, 7, h.now.Add(10*time.Second-unreachedEndsWait))
	h.cell.Configure(&queue.Configuration{Version: 1, Services: enforcing, Queues: []queue.Queue{
		{Name: "q", Service: "svc", MaxAttempts: 3},
	}})
	h.cell.LoadTerm(term, previousEpoch, 0)
	for _, id := range []string{"x", "y"} {
		h.cell.LoadRoster(&jobpb.Roster{Executor: id, Address: id})
	}
	for _, e := range entries {
		h.cell.Load(h.now, testWallMS, e)
	}
	h.cell.Discover(h.now, []queue.Executor{testExecutor("x"), testExecutor("y")})
	return h
}

// placedEntry is a job whose record by the leader of the epoch names the executor of its task.
func placedEntry(id string, epoch uint64, executor string) *book.Entry {
	p := &jobpb.Progress{Job: id, State: jobpb.State_STATE_RUNNING, PlacementEpoch: epoch}
	if executor != "" {
		p.Tasks = []*jobpb.TaskProgress{{Executor: chain.Hash(executor)}}
	}
	return bookEntry(id, p)
}

// TestTakeoverHoldsBackOnlyTasksOfSilentExecutors checks that one silent executor does not delay tasks that cannot run
// on it, and delays those that may until its lease has expired.
func TestTakeoverHoldsBackOnlyTasksOfSilentExecutors(t *testing.T) {
	h := newChainHarness(t, 5, &jobpb.Term{Epoch: 5, Since: 3},
		placedEntry("on-x", 5, "x"), placedEntry("on-y", 4, "y"), placedEntry("on-none", 3, ""), placedEntry("old", 2, ""))
	h.reportRunning("x")
	assert.DeepEqual(t, startedSet(h.planAndConfirm()), map[string]bool{"on-x": true, "on-none": true})
	h.advance(10*time.Second - time.Millisecond)
	assert.Equal(t, len(startedJobs(h.planAndConfirm())), 0)
	h.advance(time.Millisecond)
	assert.DeepEqual(t, startedSet(h.planAndConfirm()), map[string]bool{"on-y": true, "old": true})
}

// TestTakeoverAfterBrokenChainWaitsForAllExecutors checks that placement is not relied on if a leader without such
// records may have started tasks since.
func TestTakeoverAfterBrokenChainWaitsForAllExecutors(t *testing.T) {
	for name, h := range map[string]*harness{
		"former version last": newChainHarness(t, 6, &jobpb.Term{Epoch: 5, Since: 3}, placedEntry("j", 5, "x")),
		"no term":             newChainHarness(t, 5, nil, placedEntry("j", 5, "x")),
		"unknown predecessor": newChainHarness(t, 0, &jobpb.Term{Epoch: 5, Since: 3}, placedEntry("j", 5, "x")),
		"record before chain": newChainHarness(t, 5, &jobpb.Term{Epoch: 5, Since: 5}, placedEntry("j", 4, "x")),
		"former version":      newChainHarness(t, 5, &jobpb.Term{Epoch: 5, Since: 3}, placedEntry("j", 0, "")),
	} {
		h.reportRunning("x")
		assert.Equal(t, len(startedJobs(h.planAndConfirm())), 0, name)
		h.reportRunning("y")
		assert.Equal(t, len(startedJobs(h.planAndConfirm())), 1, name)
	}
}

func startedSet(list []Order) map[string]bool {
	set := map[string]bool{}
	for _, id := range startedJobs(list) {
		set[id] = true
	}
	return set
}

// TestRecordOfNewLeaderKeepsHeldTasks checks that a second change of leader does not lose where a task may run.
func TestRecordOfNewLeaderKeepsHeldTasks(t *testing.T) {
	e := placedEntry("j", 5, "y")
	e.Job.Steps[0].Count = 2
	h := newChainHarness(t, 5, &jobpb.Term{Epoch: 5, Since: 3}, e)
	h.reportRunning("x")
	h.cell.Plan(h.now, testWallMS, unbounded)
	log := h.store()
	next, _ := log.Job("j")
	assert.Equal(t, next.Progress.PlacementEpoch, uint64(7))
	assert.Equal(t, len(next.Progress.Tasks), 2)
	assert.Equal(t, next.Progress.Tasks[0].Executor, chain.Hash("y"))
	assert.Equal(t, next.Progress.Tasks[1].Executor, chain.Hash("x"))
	assert.Equal(t, log.Term().Epoch, uint64(7))
	assert.Equal(t, log.Term().Since, uint64(3))
}

// TestRecordOfJobWithUnknownPlacementNamesNone checks that a new leader does not vouch for runs that it does not know
// yet.
func TestRecordOfJobWithUnknownPlacementNamesNone(t *testing.T) {
	h := newChainHarness(t, 5, nil, placedEntry("j", 5, "y"))
	h.cell.dirty["j"] = h.cell.jobs["j"]
	log := h.store()
	next, _ := log.Job("j")
	assert.Equal(t, next.Progress.PlacementEpoch, uint64(0))
}

// store commits a batch and returns its records, together with the jobs.
func (h *harness) store() *book.Book {
	h.t.Helper()
	batch, err := h.cell.NextBatch()
	assert.NilError(h.t, err)
	log := book.New()
	for _, r := range batch.Records {
		assert.NilError(h.t, log.Progress(r))
	}
	for _, j := range h.cell.jobs {
		rec, err := intakeRecord(book.JobKey(j.id), &jobpb.Intake{Job: j.pb})
		assert.NilError(h.t, err)
		_, err = log.Intake(rec)
		assert.NilError(h.t, err)
	}
	h.cell.Commit(h.now, batch)
	return log
}

// TestNoStartBeforeTermIsStored checks that a successor that finds no term record of a leader can rely on its having
// started nothing, also where the executor of a task is recorded already.
func TestNoStartBeforeTermIsStored(t *testing.T) {
	h := newChainHarness(t, 5, &jobpb.Term{Epoch: 5, Since: 3}, placedEntry("j", 5, "x"))
	h.reportRunning("x")
	h.reportRunning("y")
	assert.Equal(t, len(startedJobs(h.cell.Plan(h.now, testWallMS, unbounded))), 0)
	h.commit()
	assert.Equal(t, len(startedJobs(h.cell.Plan(h.now, testWallMS, unbounded))), 1)
}

// newHarnessWithPlacedRun returns a harness with a placed run of the job j on the executor x.
func newHarnessWithPlacedRun(t *testing.T, s *jobpb.Step) (*harness, *run) {
	t.Helper()
	h := newHarness(t, testExecutor("x"))
	h.accept("j", "q", s)
	assert.Equal(t, len(h.cell.Plan(h.now, testWallMS, unbounded)), 0)
	r := h.cell.jobs["j"].occurrences[0].steps[0].tasks[0].run
	assert.Assert(t, r != nil && r.isPlaced)
	return h, r
}

// TestPlacedRunGetsNoOrders checks that no lease, stop or pace order refers to a run whose executor does not know it,
// and that neither an expired lease nor a list without it ends the placement.
func TestPlacedRunGetsNoOrders(t *testing.T) {
	h, r := newHarnessWithPlacedRun(t, bestEffortStep("sum"))
	for range 5 {
		h.advance(3 * time.Second)
		hold, _, _ := h.cell.Hold(h.now, "x")
		assert.Equal(t, hold.DeadlineMS, int64(0), "an executor without runs needs no lease")
		h.reportRunning("x")
		assert.Equal(t, len(h.cell.Plan(h.now, testWallMS, unbounded)), 0)
		assert.Assert(t, r.isPlaced && r.task.run == r)
	}
	assert.Equal(t, h.cell.Usage(h.now).Placed, 1)
	assert.Equal(t, h.cell.Usage(h.now).BestEffort, 0)
	h.commit()
	list := h.cell.Plan(h.now, testWallMS, unbounded)
	assert.Equal(t, len(startedJobs(list)), 1)
}

// TestPlacedRunIsWithdrawn checks the events after which a placed run must not start. None of them may leave an
// order or occupied resources behind.
func TestPlacedRunIsWithdrawn(t *testing.T) {
	for name, withdraw := range map[string]func(h *harness){
		"cancelled": func(h *harness) { h.cell.Cancel(h.now, "j") },
		"draining": func(h *harness) {
			e := testExecutor("x")
			e.Draining, e.RemainingMS = true, 8000
			h.cell.Discover(h.now, []queue.Executor{e})
		},
		"unlisted":   func(h *harness) { h.cell.Discover(h.now, nil) },
		"terminated": func(h *harness) { h.cell.markTerminated(h.cell.execs["x"], "test") },
		"unresponsive": func(h *harness) {
			hold, _, _ := h.cell.Hold(h.now, "x")
			h.cell.HandleHoldReply(h.now, h.now, "x", hold, orders.Lists{}, orders.Reply{Outcome: orders.NoResponse})
		},
		"too small": func(h *harness) {
			e := testExecutor("x")
			e.MilliCPU = 100
			h.cell.Discover(h.now, []queue.Executor{e})
		},
		"run elsewhere": func(h *harness) {
			h.reportRunning("x", orders.Running{Run: orders.Run{Task: orders.Task{Job: "j"}, Number: 99}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h, r := newHarnessWithPlacedRun(t, &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 1000})
			x := r.exec
			batch, err := h.cell.NextBatch()
			assert.NilError(t, err)
			withdraw(h)
			h.cell.Commit(h.now, batch)
			for _, o := range h.cell.Plan(h.now, testWallMS, unbounded) {
				assert.Assert(t, o.Start == nil, "a start order for a withdrawn run")
				assert.Assert(t, o.Stop == nil || o.Stop.Run != r.id, "a stop order for a run that was never started")
			}
			assert.Assert(t, !r.isPlaced)
			assert.Equal(t, x.used, resources{})
		})
	}
}

// TestGangStartsTogetherOnceRecorded checks that a gang of which one member can no longer start is withdrawn as one.
func TestGangStartsTogetherOnceRecorded(t *testing.T) {
	h := newHarness(t, testExecutor("x"), testExecutor("y"))
	gang := &jobpb.Step{Count: 2, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 1000, Gang: true, MaxPerExecutor: 1}
	h.accept("j", "q", gang)
	h.cell.Plan(h.now, testWallMS, unbounded)
	batch, err := h.cell.NextBatch()
	assert.NilError(t, err)
	h.cell.execs["y"].quarantine(h.now, time.Second)
	h.cell.Commit(h.now, batch)
	assert.Equal(t, len(h.cell.Plan(h.now, testWallMS, unbounded)), 0)
	assert.Equal(t, h.cell.execs["x"].used, resources{})
	h.advance(time.Second)
	h.reportRunning("x")
	h.reportRunning("y")
	list := h.planAndConfirm()
	assert.Equal(t, len(startedJobs(list)), 2)
	assert.Equal(t, list[0].Start.Run.Number, list[1].Start.Run.Number)
}

// TestTaskMovedAfterBatchIsRecordedAgain checks a batch that names an executor on which the task no longer starts. Only
// the record that names its new executor permits the start.
func TestTaskMovedAfterBatchIsRecordedAgain(t *testing.T) {
	h := newHarness(t, testExecutor("x"), testExecutor("y"))
	h.accept("j", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 1000})
	h.cell.Plan(h.now, testWallMS, unbounded)
	first := h.cell.jobs["j"].occurrences[0].steps[0].tasks[0].run.exec
	batch, err := h.cell.NextBatch()
	assert.NilError(t, err)
	first.quarantine(h.now, time.Second)
	assert.Equal(t, len(h.cell.Plan(h.now, testWallMS, unbounded)), 0)
	h.cell.Commit(h.now, batch)
	assert.Equal(t, len(h.cell.Plan(h.now, testWallMS, unbounded)), 0, "the stored record names the other executor")
	h.commit()
	list := startOrders(h.cell.Plan(h.now, testWallMS, unbounded))
	assert.Equal(t, len(list), 1)
	assert.Assert(t, list[0].Target.ID != first.entry.ID)
}

// TestTaskStartsAtOnceOnRecordedExecutor checks that the restart of a task on the executor that the record names needs
// no other record.
func TestTaskStartsAtOnceOnRecordedExecutor(t *testing.T) {
	h := newHarness(t, testExecutor("x"))
	h.accept("j", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 1000})
	first := h.planAndConfirm()
	h.reportEnd(first[0], 1, orders.EndedLeaseExpired, "")
	second := h.confirm(h.cell.Plan(h.now, testWallMS, unbounded))
	assert.Equal(t, len(startedJobs(second)), 1)
	h.reportEnd(second[0], 2, orders.EndedFailed, "")
	h.commit()
	assert.Equal(t, len(startedJobs(h.cell.Plan(h.now, testWallMS, unbounded))), 0, "the last record names no executor")
}

// TestTooLargePlacementIsLeftOut checks a job whose record fits only without the executors of its tasks. The tasks
// start, and a new leader waits for all executors.
func TestTooLargePlacementIsLeftOut(t *testing.T) {
	h := newHarness(t, testExecutor("x"))
	h.accept("j", "q", &jobpb.Step{Count: 8, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 1000})
	h.cell.Plan(h.now, testWallMS, unbounded)
	b, err := h.cell.NextBatch()
	assert.NilError(t, err)
	reduced, removed := h.cell.Fit(b, 20)
	assert.DeepEqual(t, reduced, []string{"p/j"})
	assert.Equal(t, len(removed), 0)
	p := &jobpb.Progress{}
	assert.NilError(t, proto.Unmarshal(b.Records[0].Value, p))
	assert.Equal(t, p.PlacementEpoch, uint64(0))
	h.cell.Commit(h.now, b)
	assert.Equal(t, len(startedJobs(h.cell.Plan(h.now, testWallMS, unbounded))), 8)
}

// TestUnreadableRecords checks that records that cannot be read make a new leader wait, instead of relying on the
// records before them.
func TestUnreadableRecords(t *testing.T) {
	log := book.New()
	h := newHarness(t, testExecutor("x"))
	h.accept("j", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 1000})
	h.cell.LoadTerm(nil, 0, 0)
	h.cell.Plan(h.now, testWallMS, unbounded)
	b, err := h.cell.NextBatch()
	assert.NilError(t, err)
	for _, r := range b.Records {
		assert.NilError(t, log.Progress(r))
	}
	rec, err := intakeRecord(book.JobKey("j"), &jobpb.Intake{Job: h.cell.jobs["j"].pb})
	assert.NilError(t, err)
	_, err = log.Intake(rec)
	assert.NilError(t, err)
	assert.Assert(t, log.Term() != nil)
	malformed := []byte{0xff}
	assert.Assert(t, log.Progress(logs.Record{Key: book.TermKey(), Value: malformed}) != nil)
	assert.Assert(t, log.Term() == nil)
	for _, id := range []string{"j", "other"} {
		assert.Assert(t, log.Progress(logs.Record{Key: book.ProgressKey(id), Value: malformed}) != nil)
	}
	e, ok := log.Job("j")
	assert.Assert(t, ok)
	assert.Assert(t, e.Progress != nil)
	assert.Equal(t, e.Progress.PlacementEpoch, uint64(0))
	assert.Equal(t, e.State(), jobpb.State_STATE_QUEUED)
}

// TestOnlyRecordedTasksStartWhileStoreIsStalled checks that tasks whose record names an executor with room start
// without the store, and that placed runs that need a record do not keep that room from them.
func TestOnlyRecordedTasksStartWhileStoreIsStalled(t *testing.T) {
	stalled := unbounded
	stalled.IsStoreStalled = true
	large := &jobpb.Step{Count: 1, MilliCpu: 64000, MemoryMb: 100, EstimateMs: 1000}
	h := newHarness(t, testExecutor("x"))
	h.accept("recorded", "low", large)
	first := h.planAndConfirm()
	h.reportEnd(first[0], 1, orders.EndedLeaseExpired, "")
	h.accept("new", "q", large)
	assert.Equal(t, len(h.cell.Plan(h.now, testWallMS, unbounded)), 0)
	assert.Assert(t, h.cell.jobs["new"].occurrences[0].steps[0].tasks[0].run.isPlaced)
	list := h.confirm(h.cell.Plan(h.now, testWallMS, stalled))
	assert.DeepEqual(t, startedJobs(list), []string{"recorded"})
	h.reportEnd(list[0], 2, orders.EndedDone, "")
	assert.Equal(t, len(h.cell.Plan(h.now, testWallMS, stalled)), 0)
	assert.DeepEqual(t, startedJobs(h.planAndConfirm()), []string{"new"})
}

// TestTaskWithRecordUnderWayDoesNotStartWhileStoreIsStalled checks a batch that names another executor than the stored
// record and whose outcome is open.
func TestTaskWithRecordUnderWayDoesNotStartWhileStoreIsStalled(t *testing.T) {
	stalled := unbounded
	stalled.IsStoreStalled = true
	h := newHarness(t, testExecutor("x"), testExecutor("y"))
	h.accept("j", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 1000})
	first := h.planAndConfirm()[0]
	h.reportEnd(first, 1, orders.EndedLeaseExpired, "")
	used := h.cell.execs[first.Target.ID]
	used.quarantine(h.now, time.Second)
	assert.Equal(t, len(h.cell.Plan(h.now, testWallMS, unbounded)), 0, "the other executor is not recorded")
	batch, err := h.cell.NextBatch()
	assert.NilError(t, err)
	h.advance(time.Second)
	h.reportRunning("x")
	h.reportRunning("y")
	assert.Equal(t, len(h.cell.Plan(h.now, testWallMS, stalled)), 0)
	h.cell.Commit(h.now, batch)
	assert.Equal(t, len(startedJobs(h.cell.Plan(h.now, testWallMS, stalled))), 1, "the stored record names the other one")
}

// TestTasksStartThoughStoreIsAlwaysSlow checks a store that takes longer for each batch than the time after which it
// counts as stalled. Placements that are withdrawn and made again would let nothing start.
func TestTasksStartThoughStoreIsAlwaysSlow(t *testing.T) {
	stalled := unbounded
	stalled.IsStoreStalled = true
	h := newHarness(t, testExecutor("x"))
	started := 0
	for i := range 5 {
		h.accept(string(rune('a'+i)), "q", &jobpb.Step{Count: 2, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 1000})
		started += len(startedJobs(h.cell.Plan(h.now, testWallMS, unbounded)))
		batch, err := h.cell.NextBatch()
		assert.NilError(t, err)
		h.advance(500 * time.Millisecond)
		started += len(startedJobs(h.cell.Plan(h.now, testWallMS, stalled)))
		h.cell.Commit(h.now, batch)
		started += len(startedJobs(h.cell.Plan(h.now, testWallMS, unbounded)))
	}
	assert.Equal(t, started, 10)
}

// TestWaitingTasksAreRecordedInAdvance checks a step with more tasks than there is room for: while the store takes no
// records, its waiting tasks start where others of the step end.
func TestWaitingTasksAreRecordedInAdvance(t *testing.T) {
	stalled := unbounded
	stalled.IsStoreStalled = true
	h := newHarness(t, testExecutor("x"))
	h.accept("j", "q", &jobpb.Step{Count: 6, MilliCpu: 32000, MemoryMb: 100, EstimateMs: 1000})
	running := startOrders(h.planAndConfirm())
	assert.Equal(t, len(running), 2)
	// A leader that follows knows both the runs and the tasks that may start next.
	h.cell.dirty["j"] = h.cell.jobs["j"]
	log := h.store()
	e, _ := log.Job("j")
	assert.Equal(t, len(e.Progress.Tasks), 6)
	cursor := uint64(0)
	for range 2 {
		var next []Order
		for _, o := range running {
			cursor++
			h.reportEnd(o, cursor, orders.EndedDone, "")
			next = append(next, startOrders(h.confirm(h.cell.Plan(h.now, testWallMS, stalled)))...)
		}
		assert.Equal(t, len(next), 2)
		running = next
	}
}

// planStarts plans with a limit of start orders and returns the jobs of which tasks start.
func (h *harness) planStarts(limit int) []string {
	return startedJobs(h.confirm(h.cell.Plan(h.now, testWallMS, PlanLimits{MaxStarts: limit, IsSoleLeader: true})))
}

// TestPlacedRunsStartByPriority guards against an urgent task whose order waits behind those of tasks that were placed
// before it, also after the priorities were changed.
func TestPlacedRunsStartByPriority(t *testing.T) {
	h := newHarness(t, testExecutor("x"))
	h.accept("low1", "low", smallStep())
	h.accept("low2", "low", smallStep())
	h.planStarts(0)
	h.accept("urgent", "q", smallStep())
	h.planStarts(0)
	h.commit()
	assert.DeepEqual(t, h.planStarts(1), []string{"urgent"})
	h.cell.Configure(&queue.Configuration{Version: 2, Services: enforcing, Queues: []queue.Queue{
		{Name: "q", Service: "svc", MaxAttempts: 3, Priority: 1}, {Name: "low", Service: "svc", MaxAttempts: 3},
	}})
	h.accept("late", "q", smallStep())
	h.planStarts(0)
	h.commit()
	assert.DeepEqual(t, h.planStarts(3), []string{"low1", "low2", "late"})
}

// TestPlacedRunsKeepUrgentTaskFromExecutor guards against an urgent task that gets no executor while as many runs of
// lower priorities are placed as may be.
func TestPlacedRunsKeepUrgentTaskFromExecutor(t *testing.T) {
	const taskMB = 100
	x := testExecutor("x")
	x.MilliCPU, x.MemoryMB = 2000*maxPlaced, 2*taskMB*maxPlaced
	h := newHarness(t, x)
	h.accept("low", "low", &jobpb.Step{Count: 2 * maxPlaced, MilliCpu: 500, MemoryMb: taskMB, EstimateMs: 1000})
	h.planStarts(0)
	assert.Equal(t, h.cell.Usage(h.now).Placed, maxPlaced)
	h.accept("urgent", "q", smallStep())
	h.planStarts(0)
	h.commit()
	assert.DeepEqual(t, h.planStarts(1), []string{"urgent"})
	assert.Equal(t, h.cell.Usage(h.now).Placed, maxPlaced)
}

// TestUntrustedRecordIsKeptByTakeover guards against a record that no later leader relies on either, so that the tasks
// of the job wait for all executors after each change of leader.
func TestUntrustedRecordIsKeptByTakeover(t *testing.T) {
	entry := placedEntry("old", 2, "x")
	entry.Job.Steps[0].LongRunning = true
	h := newChainHarness(t, 5, &jobpb.Term{Epoch: 5, Since: 3}, entry)
	h.reportRunning("x", orders.Running{Run: orders.Run{Task: orders.Task{Job: "old"}, Number: 1}, Percent: 100})
	h.reportRunning("y")
	h.cell.Plan(h.now, testWallMS, unbounded)
	batch, err := h.cell.NextBatch()
	assert.NilError(t, err)
	i := slices.IndexFunc(batch.Records, func(r logs.Record) bool { return r.Key == book.ProgressKey("old") })
	assert.Assert(t, i >= 0, "the placement of the job is not recorded")
	p := &jobpb.Progress{}
	assert.NilError(t, proto.Unmarshal(batch.Records[i].Value, p))
	assert.Equal(t, p.PlacementEpoch, uint64(7))
	assert.Equal(t, p.Tasks[0].Executor, chain.Hash("x"))
}
