package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/state/book"
	"github.com/ibischute/ibischute/internal/state/chain"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

// newTakeoverHarness returns the harness of a new leader whose roster has the executors x and y. Neither has responded
// to this leader yet.
func newTakeoverHarness(t *testing.T, entries ...*book.Entry) *harness {
	t.Helper()
	h := &harness{t: t, now: tick.Time(time.Hour)}
	awaitedUntil := h.now.Add(10 * time.Second)
	h.cell = New(Params{MaxHold: 6 * time.Second, Retention: time.Minute}, 7, awaitedUntil.Add(-unreachedEndsWait))
	h.cell.Configure(&queue.Configuration{Version: 1, Services: enforcing, Queues: []queue.Queue{
		{Name: "q", Service: "svc", MaxAttempts: 3},
	}})
	for _, id := range []string{"x", "y"} {
		h.cell.LoadRoster(&jobpb.Roster{Executor: id, Address: id})
	}
	for _, e := range entries {
		h.cell.Load(h.now, testWallMS, e)
	}
	h.cell.Discover(h.now, []queue.Executor{testExecutor("x"), testExecutor("y")})
	return h
}

func bookEntry(id string, p *jobpb.Progress) *book.Entry {
	step := &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 1000}
	return &book.Entry{
		Job:      &jobpb.Job{Id: id, Queue: "q", Service: "svc", Steps: []*jobpb.Step{step}, AcceptedMs: testWallMS},
		Progress: p,
	}
}

func startedJobs(list []Order) []string {
	var ids []string
	for _, o := range list {
		if o.Start != nil {
			ids = append(ids, o.Start.Run.Task.Job)
		}
	}
	return ids
}

func TestTakeoverDelaysOnlyJobsThatMayHaveStarted(t *testing.T) {
	begun := &jobpb.Progress{Job: "begun", State: jobpb.State_STATE_RUNNING}
	h := newTakeoverHarness(t, bookEntry("begun", begun), bookEntry("fresh", nil))
	h.reportRunning("x")
	list := h.planAndConfirm()
	assert.DeepEqual(t, startedJobs(list), []string{"fresh"})
	for i := range 9 {
		h.advance(time.Second)
		h.reportRunning("x", runningRow(list[0], 0, 10+i))
		assert.Equal(t, len(startedJobs(h.planAndConfirm())), 0)
	}
	h.advance(2 * time.Second)
	h.reportRunning("x", runningRow(list[0], 0, 30))
	assert.DeepEqual(t, startedJobs(h.planAndConfirm()), []string{"begun"})
}

func TestTakeoverCompletesWhenAllExecutorsHaveResponded(t *testing.T) {
	h := newTakeoverHarness(t, bookEntry("begun", &jobpb.Progress{Job: "begun", State: jobpb.State_STATE_RUNNING}))
	h.reportRunning("x")
	assert.Equal(t, len(startedJobs(h.planAndConfirm())), 0)
	h.reportRunning("y")
	assert.DeepEqual(t, startedJobs(h.planAndConfirm()), []string{"begun"})
}

func TestTakeoverAdoptsListedRuns(t *testing.T) {
	h := newTakeoverHarness(t, bookEntry("begun", &jobpb.Progress{Job: "begun", State: jobpb.State_STATE_RUNNING}))
	run := orders.Run{Task: orders.Task{Job: "begun"}, Number: 3}
	h.reportRunning("y", orders.Running{Run: run, Percent: 10})
	h.reportRunning("x")
	for range 5 {
		h.advance(500 * time.Millisecond)
		assert.Equal(t, len(h.planAndConfirm()), 0)
	}
}

func TestJobWithStartRecordButNoRunIsStillWaiting(t *testing.T) {
	old := newHarness(t, testExecutor("x"))
	old.accept("j", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 1000})
	assert.Equal(t, len(old.cell.Plan(old.now, testWallMS, unbounded)), 0)
	batch, err := old.cell.NextBatch()
	assert.NilError(t, err)
	log := book.New()
	for _, r := range batch.Records {
		assert.NilError(t, log.Progress(r))
	}
	job := bookEntry("j", nil).Job
	rec, err := intakeRecord(book.JobKey("j"), &jobpb.Intake{Job: job})
	assert.NilError(t, err)
	_, err = log.Intake(rec)
	assert.NilError(t, err)
	assert.Equal(t, log.CountQueued("q"), 1)
	log.Jobs(func(e *book.Entry) {
		next := newTakeoverHarness(t, e)
		assert.Equal(t, next.cell.Waiting("q"), 1)
		next.reportRunning("x")
		assert.Equal(t, len(startedJobs(next.planAndConfirm())), 0)
	})
}

func TestJobStartsOnlyAfterStartRecordIsStored(t *testing.T) {
	h := newHarness(t, testExecutor("x"))
	h.accept("j", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 1000})
	assert.Equal(t, len(h.cell.Plan(h.now, testWallMS, unbounded)), 0)
	batch, err := h.cell.NextBatch()
	assert.NilError(t, err)
	assert.Equal(t, len(h.cell.Plan(h.now, testWallMS, unbounded)), 0)
	h.cell.Commit(h.now, batch)
	assert.Equal(t, len(h.cell.Plan(h.now, testWallMS, unbounded)), 1)
}

// TestLeaderWithoutConfigurationUsesLimitsOfJob checks an instance that becomes leader right after its start, before it
// has read a configuration.
func TestLeaderWithoutConfigurationUsesLimitsOfJob(t *testing.T) {
	h := &harness{t: t, now: tick.Time(time.Hour)}
	h.cell = New(Params{MaxHold: 6 * time.Second, Retention: time.Minute}, 7, h.now)
	e := bookEntry("j", nil)
	e.Job.MaxAttempts = 3
	h.cell.Load(h.now, testWallMS, e)
	list := []queue.Executor{testExecutor("x"), testExecutor("y")}
	h.cell.Discover(h.now, list)
	// Without a configuration, the executors may not enforce their capacity, so their entries must be recent.
	for range 2 {
		h.advance(entryRewriteTime / 2)
		h.cell.Discover(h.now, list)
	}
	h.commit()
	h.reportRunning("x")
	h.reportRunning("y")
	first := startOrders(h.planAndConfirm())
	assert.Equal(t, len(first), 1)
	h.reportEnd(first[0], 1, orders.EndedFailed, "")
	assert.Equal(t, len(startOrders(h.planAndConfirm())), 1, "one of three attempts has failed")
}

// TestUsageCountsAwaitedExecutors checks the figure by which operators see why a new leader starts nothing yet.
func TestUsageCountsAwaitedExecutors(t *testing.T) {
	h := newTakeoverHarness(t)
	assert.Equal(t, h.cell.Usage(h.now).AwaitedExecutors, 2)
	h.reportRunning("x")
	assert.Equal(t, h.cell.Usage(h.now).AwaitedExecutors, 1)
	h.reportRunning("y")
	h.planAndConfirm()
	assert.Equal(t, h.cell.Usage(h.now).AwaitedExecutors, 0)
}

// TestLateTakeoverStartsTasksBeforeExecutorsRespond guards against tasks that start again before the executor on which
// they were done has been asked, as all former leases have expired when the takeover begins.
func TestLateTakeoverStartsTasksBeforeExecutorsRespond(t *testing.T) {
	h := newTakeoverHarness(t, bookEntry("begun", &jobpb.Progress{Job: "begun", State: jobpb.State_STATE_RUNNING}))
	h.advance(time.Minute)
	h.cell.Discover(h.now, []queue.Executor{testExecutor("x")})
	h.reportRunning("x")
	assert.Equal(t, len(startedJobs(h.planAndConfirm())), 0, "y has not responded")
	h.advance(minEndsWait - time.Millisecond)
	h.reportRunning("x")
	assert.Equal(t, len(startedJobs(h.planAndConfirm())), 0, "y has not responded")
	h.advance(time.Millisecond)
	assert.DeepEqual(t, startedJobs(h.planAndConfirm()), []string{"begun"})
}

// TestNewLeaderForgetsFailuresOfGang guards against a gang that starts again after its last permitted attempt, because
// a task that has not failed itself stands behind those that have in the record.
func TestNewLeaderForgetsFailuresOfGang(t *testing.T) {
	progress := &jobpb.Progress{Job: "g", State: jobpb.State_STATE_RUNNING, Tasks: []*jobpb.TaskProgress{
		{Index: 0, FailedRuns: []uint64{1}},
		{Index: 1, FailedRuns: []uint64{1, 2}},
		{Index: 2, Executor: chain.Hash("x")},
	}}
	e := bookEntry("g", progress)
	e.Job.Steps[0].Count, e.Job.Steps[0].Gang = 3, true
	h := newTakeoverHarness(t, e)
	h.reportRunning("x")
	h.reportRunning("y")
	list := startOrders(h.planAndConfirm())
	assert.Equal(t, len(list), 3)
	h.reportEnd(list[0], 1, orders.EndedFailed, "")
	h.commit()
	state, _ := h.cell.State("g")
	assert.Equal(t, state, jobpb.State_STATE_FAILED, "the gang has failed three times")
}
