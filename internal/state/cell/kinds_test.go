package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/queue"
)

func starts(list []Order) []Order {
	var out []Order
	for _, o := range list {
		if o.Start != nil {
			out = append(out, o)
		}
	}
	return out
}

// ended lists the end of a run on its executor, with the rows of what runs on there.
func (b *bench) ended(o Order, number uint64, how orders.Ending, checkpoint string, rows ...orders.Running) {
	h, _, _ := b.cell.Hold(b.now, o.Target.ID)
	b.cell.Held(b.now, b.now, o.Target.ID, h, orders.Lists{BornMS: 1, Running: rows, Ended: []orders.Ended{{
		Number: number, Run: o.Start.Run, How: how, Checkpoint: checkpoint,
	}}}, orders.Reply{Outcome: orders.Done, ClockMS: 1000})
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	b := newBench(t, machine("a"), machine("b"))
	gang := &jobpb.Step{Count: 3, MilliCpu: 40000, MemoryMb: 100, EstimateMs: 1000, Gang: true}
	b.accept("wide", "q", gang)
	assert.Equal(t, len(starts(b.plan())), 0, "two of three members fit")
	b.accept("fits", "q", &jobpb.Step{Count: 2, MilliCpu: 40000, MemoryMb: 100, EstimateMs: 1000, Gang: true})
	list := starts(b.plan())
	assert.Equal(t, len(list), 2)
	assert.Equal(t, list[0].Start.Run.Number, list[1].Start.Run.Number)
	b.ended(list[0], 1, orders.EndedDone, "")
	b.commit()
	state, _ := b.cell.State("fits")
	assert.Equal(t, state, jobpb.State_STATE_COMPLETED, "one end as done stands for the gang")
}

func TestGangFailsAsOne(t *testing.T) {
	b := newBench(t, machine("a"), machine("b"))
	b.accept("g", "q", &jobpb.Step{
		Count: 2, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 1000, Gang: true, Checkpointing: true,
	})
	list := starts(b.plan())
	assert.Equal(t, len(list), 2)
	b.ended(list[0], 1, orders.EndedFailed, "saved")
	assert.Equal(t, len(starts(b.plan())), 0, "the other member still runs")
	b.ended(list[1], 2, orders.EndedBroken, "saved")
	again := starts(b.plan())
	assert.Equal(t, len(again), 2)
	for _, o := range again {
		assert.Equal(t, o.Start.Checkpoint, "saved")
		assert.Assert(t, o.Start.Run.Number > list[0].Start.Run.Number)
	}
}

func TestOccurrencesStartWhenDue(t *testing.T) {
	b := newBench(t, machine("a"))
	b.cell.Accept(b.now, &jobpb.Job{
		Id: "timed", Queue: "q", Service: "svc", RepeatCount: 2, FirstDueMs: benchWallMS + 1000, IntervalMs: 1000,
		Steps: []*jobpb.Step{{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 500}},
	})
	at := func(ms int64) []Order {
		list := b.cell.Plan(b.now, benchWallMS+ms, unbounded)
		b.commit()
		return starts(append(list, b.cell.Plan(b.now, benchWallMS+ms, unbounded)...))
	}
	assert.Equal(t, len(at(900)), 0)
	first := at(1000)
	assert.Equal(t, len(first), 1)
	assert.Equal(t, first[0].Start.Run.Task.Occurrence, uint32(0))
	assert.Equal(t, len(at(1900)), 0)
	second := at(2000)
	assert.Equal(t, second[0].Start.Run.Task.Occurrence, uint32(1), "occurrences may overlap")
	b.ended(first[0], 1, orders.EndedDone, "")
	b.commit()
	state, _ := b.cell.State("timed")
	assert.Equal(t, state, jobpb.State_STATE_RUNNING)
	b.ended(second[0], 2, orders.EndedDone, "")
	b.commit()
	state, _ = b.cell.State("timed")
	assert.Equal(t, state, jobpb.State_STATE_COMPLETED)
}

func TestStepWaitsForTheStepsBefore(t *testing.T) {
	b := newBench(t, machine("a"))
	step := &jobpb.Step{Count: 2, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 500}
	after := &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 500, DependsOn: []uint32{0}}
	b.accept("j", "q", step, after)
	list := starts(b.plan())
	assert.Equal(t, len(list), 2)
	b.ended(list[0], 1, orders.EndedDone, "", orders.Running{Run: list[1].Start.Run, Percent: 50})
	assert.Equal(t, len(starts(b.plan())), 0)
	b.ended(list[1], 2, orders.EndedDone, "")
	assert.Equal(t, len(starts(b.plan())), 1)
}

func TestJobFailsWithItsLastAttempt(t *testing.T) {
	b := newBench(t, machine("a"), machine("b"), machine("c"), machine("d"))
	b.accept("j", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 500})
	used := map[string]bool{}
	for n := range 3 {
		list := starts(b.plan())
		assert.Equal(t, len(list), 1, "attempt %d", n)
		assert.Assert(t, !used[list[0].Target.ID], "it failed there before")
		used[list[0].Target.ID] = true
		b.ended(list[0], 1, orders.EndedFailed, "")
		b.pass(10 * time.Millisecond)
	}
	assert.Equal(t, len(starts(b.plan())), 0)
	b.commit()
	state, _ := b.cell.State("j")
	assert.Equal(t, state, jobpb.State_STATE_FAILED)
}

// TestFailedOnEveryExecutorWithItsLabel plays a task that may run on one executor only and has failed there.
func TestFailedOnEveryExecutorWithItsLabel(t *testing.T) {
	only, other := machine("only"), machine("other")
	only.Labels, other.Labels = []string{"a"}, []string{"b"}
	b := newBench(t, only, other)
	b.accept("j", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 500, RequiresLabel: "a"})
	for n := range uint64(2) {
		list := starts(b.plan())
		assert.Equal(t, len(list), 1, "attempt %d", n+1)
		b.ended(list[0], n+1, orders.EndedFailed, "")
		b.pass(time.Second)
		b.held("only")
		b.held("other")
	}
	assert.Equal(t, len(starts(b.plan())), 1, "the last attempt")
}

func TestLastingTaskIsRestartedHoweverItEnds(t *testing.T) {
	b := newBench(t, machine("a"), machine("b"))
	b.accept("j", "q", serving("web"))
	for n := range uint64(8) {
		list := starts(b.plan())
		assert.Equal(t, len(list), 1, "start %d", n)
		b.ended(list[0], n+1, orders.EndedFailed, "")
		b.pass(20 * time.Second)
		b.held("a")
		b.held("b")
	}
	state, _ := b.cell.State("j")
	assert.Equal(t, state, jobpb.State_STATE_RUNNING)
}

func TestDrainingExecutorGetsNothingAndIsCleared(t *testing.T) {
	b := newBench(t, machine("a"))
	b.accept("j", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 60000, Checkpointing: true})
	list := starts(b.plan())
	leaving := machine("a")
	leaving.Draining, leaving.RemainingMS = true, 2000
	b.cell.Discover(b.now, []queue.Executor{leaving, machine("b")})
	b.commit()
	b.held("b")
	b.accept("k", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 100})
	var stopped []Order
	for _, o := range b.plan() {
		if o.Stop != nil {
			stopped = append(stopped, o)
		} else {
			assert.Equal(t, o.Target.ID, "b")
		}
	}
	assert.Equal(t, len(stopped), 1, "it would not be done in time")
	b.ended(list[0], 1, orders.EndedStopped, "saved")
	again := starts(b.plan())
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Target.ID, "b")
	assert.Equal(t, again[0].Start.Checkpoint, "saved")
}

func TestConfigurationMovesAQueue(t *testing.T) {
	other := machine("o")
	other.Service = "other"
	b := newBench(t, machine("a"), other)
	moved := queue.Queue{Name: "q", Service: "other", MaxAttempts: 3}
	b.cell.Configure(&queue.Configuration{Version: 2, Queues: []queue.Queue{moved}})
	b.accept("j", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 500})
	list := starts(b.plan())
	assert.Equal(t, list[0].Target.ID, "o")
	stale := queue.Queue{Name: "q", Service: "svc", MaxAttempts: 3}
	b.cell.Configure(&queue.Configuration{Version: 1, Queues: []queue.Queue{stale}})
	b.accept("k", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 500})
	assert.Equal(t, starts(b.plan())[0].Target.ID, "o", "an older version changes nothing")
}

func TestLabelsRacksAndAntiAffinity(t *testing.T) {
	near, far := machine("near"), machine("far")
	near.Labels, far.Labels = []string{"a", "r1"}, []string{"b", "r2"}
	b := newBench(t, near, far)
	b.accept("data", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 500, DataRack: "r2"})
	assert.Equal(t, starts(b.plan())[0].Target.ID, "far")
	b.accept("label", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 500, RequiresLabel: "a"})
	assert.Equal(t, starts(b.plan())[0].Target.ID, "near")
	b.accept("none", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 500, RequiresLabel: "c"})
	assert.Equal(t, len(starts(b.plan())), 0)
	b.accept("apart", "q", &jobpb.Step{Count: 3, MilliCpu: 100, MemoryMb: 100, EstimateMs: 500, MaxPerExecutor: 1})
	assert.Equal(t, len(starts(b.plan())), 2)
}

// TestLateNewsOfADoneRunEndsTheLaterOne plays an executor that is out of reach until its lease has lapsed, and then
// lists that the run was done before.
func TestLateNewsOfADoneRunEndsTheLaterOne(t *testing.T) {
	b := newBench(t, machine("a"), machine("b"))
	b.accept("j", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 20000})
	first := starts(b.plan())[0]
	other := "a"
	if first.Target.ID == "a" {
		other = "b"
	}
	for range 8 {
		b.pass(time.Second)
		h, _, _ := b.cell.Hold(b.now, first.Target.ID)
		b.cell.Held(b.now, b.now, first.Target.ID, h, orders.Lists{}, orders.Reply{Outcome: orders.Unanswered})
		b.held(other)
		if again := starts(b.plan()); len(again) > 0 {
			assert.Equal(t, again[0].Target.ID, other, "a silent executor gets no starts")
			break
		}
	}
	b.ended(first, 1, orders.EndedDone, "")
	stops := 0
	for _, o := range b.plan() {
		assert.Assert(t, o.Start == nil)
		if o.Stop != nil {
			stops++
		}
	}
	assert.Equal(t, stops, 1)
	state, _ := b.cell.State("j")
	assert.Equal(t, state, jobpb.State_STATE_COMPLETED)
}

func TestStandstillIsMoved(t *testing.T) {
	b := newBench(t, machine("a"), machine("b"))
	b.accept("j", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 2000, Checkpointing: true})
	first := starts(b.plan())[0]
	stops := 0
	for range 6 {
		b.pass(500 * time.Millisecond)
		b.held(first.Target.ID, orders.Running{Run: first.Start.Run, Percent: 30})
		for _, o := range b.plan() {
			if o.Stop != nil {
				stops++
			}
		}
	}
	assert.Assert(t, stops > 0)
	b.ended(first, 1, orders.EndedStopped, "saved")
	again := starts(b.plan())
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].Target.ID != first.Target.ID)
}
