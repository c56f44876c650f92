package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/state/book"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

// successor returns the bench of a new lead that finds two executors on the roster, of which only x answers.
func successor(t *testing.T, entries ...*book.Entry) *bench {
	t.Helper()
	b := &bench{t: t, now: tick.Time(time.Hour)}
	b.cell = New(Params{MaxHold: 6 * time.Second, Retention: time.Minute}, 7, b.now.Add(10*time.Second))
	b.cell.Configure(&queue.Configuration{Version: 1, Queues: []queue.Queue{{Name: "q", Service: "svc", MaxAttempts: 3}}})
	for _, id := range []string{"x", "y"} {
		b.cell.LoadRoster(&jobpb.Roster{Executor: id, Address: id})
	}
	for _, e := range entries {
		b.cell.Load(b.now, benchWallMS, e)
	}
	b.cell.Discover(b.now, []queue.Executor{machine("x"), machine("y")})
	return b
}

func entryOf(id string, p *jobpb.Progress) *book.Entry {
	step := &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 1000}
	return &book.Entry{
		Job:      &jobpb.Job{Id: id, Queue: "q", Service: "svc", Steps: []*jobpb.Step{step}, AcceptedMs: benchWallMS},
		Progress: p,
	}
}

func started(list []Order) []string {
	var ids []string
	for _, o := range list {
		if o.Start != nil {
			ids = append(ids, o.Start.Run.Task.Job)
		}
	}
	return ids
}

func TestTakeoverWaitsOnlyForWhatMayHaveBegun(t *testing.T) {
	begun := &jobpb.Progress{Job: "begun", State: jobpb.State_STATE_RUNNING}
	b := successor(t, entryOf("begun", begun), entryOf("fresh", nil))
	b.held("x")
	list := b.plan()
	assert.DeepEqual(t, started(list), []string{"fresh"})
	for i := range 9 {
		b.pass(time.Second)
		b.held("x", row(list[0], 0, 10+i))
		assert.Equal(t, len(started(b.plan())), 0)
	}
	b.pass(2 * time.Second)
	b.held("x", row(list[0], 0, 30))
	assert.DeepEqual(t, started(b.plan()), []string{"begun"})
}

func TestTakeoverSettlesWhenAllHaveAnswered(t *testing.T) {
	b := successor(t, entryOf("begun", &jobpb.Progress{Job: "begun", State: jobpb.State_STATE_RUNNING}))
	b.held("x")
	assert.Equal(t, len(started(b.plan())), 0)
	b.held("y")
	assert.DeepEqual(t, started(b.plan()), []string{"begun"})
}

func TestTakeoverAdoptsWhatRuns(t *testing.T) {
	b := successor(t, entryOf("begun", &jobpb.Progress{Job: "begun", State: jobpb.State_STATE_RUNNING}))
	run := orders.Run{Task: orders.Task{Job: "begun"}, Number: 3}
	b.held("y", orders.Running{Run: run, Percent: 10})
	b.held("x")
	for range 5 {
		b.pass(500 * time.Millisecond)
		assert.Equal(t, len(b.plan()), 0)
	}
}

func TestMarkedJobsThatHaveNotBegunStillWait(t *testing.T) {
	old := newBench(t, machine("x"))
	old.accept("j", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 1000})
	assert.Equal(t, len(old.cell.Plan(old.now, benchWallMS, unbounded)), 0)
	batch, err := old.cell.Cut()
	assert.NilError(t, err)
	log := book.New()
	for _, r := range batch.Records {
		assert.NilError(t, log.Progress(r))
	}
	job := entryOf("j", nil).Job
	rec, err := intakeRecord(book.JobKey("j"), &jobpb.Intake{Job: job})
	assert.NilError(t, err)
	_, err = log.Intake(rec)
	assert.NilError(t, err)
	assert.Equal(t, log.Waiting("q"), 1)
	log.Jobs(func(e *book.Entry) {
		next := successor(t, e)
		assert.Equal(t, next.cell.Waiting("q"), 1)
		next.held("x")
		assert.Equal(t, len(started(next.plan())), 0)
	})
}

func TestJobBeginsOnlyAfterItsMarkIsStored(t *testing.T) {
	b := newBench(t, machine("x"))
	b.accept("j", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 1000})
	assert.Equal(t, len(b.cell.Plan(b.now, benchWallMS, unbounded)), 0)
	batch, err := b.cell.Cut()
	assert.NilError(t, err)
	assert.Equal(t, len(b.cell.Plan(b.now, benchWallMS, unbounded)), 0)
	b.cell.Commit(b.now, batch)
	assert.Equal(t, len(b.cell.Plan(b.now, benchWallMS, unbounded)), 1)
}

// TestLeadWithoutConfigurationKeepsTheJobsOwnLimits plays an instance that wins right after its start, before it has
// read a configuration.
func TestLeadWithoutConfigurationKeepsTheJobsOwnLimits(t *testing.T) {
	b := &bench{t: t, now: tick.Time(time.Hour)}
	b.cell = New(Params{MaxHold: 6 * time.Second, Retention: time.Minute}, 7, b.now)
	e := entryOf("j", nil)
	e.Job.MaxAttempts = 3
	b.cell.Load(b.now, benchWallMS, e)
	b.cell.Discover(b.now, []queue.Executor{machine("x"), machine("y")})
	b.commit()
	b.held("x")
	b.held("y")
	first := starts(b.plan())
	assert.Equal(t, len(first), 1)
	b.ended(first[0], 1, orders.EndedFailed, "")
	assert.Equal(t, len(starts(b.plan())), 1, "one of three attempts has failed")
}
