package leader_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/stand/memex"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// planWork and callWork are the processor time of a plan of the large fleet, and of each half of a call.
	planWork = 2500 * time.Microsecond
	callWork = 80 * time.Microsecond
	// usualShare and shortShare are the cores of the leader before and after shortageAt. Executors are lost then, too.
	usualShare, shortShare = 0.8, 0.12
	shortageAt             = 3 * time.Second
	// shortageLength is how long the shortage is observed, settleTime how long the long-running tasks have to start.
	shortageLength = 15 * time.Second
	// maxLongRunningGap is how long a long-running task may have no run while there is room for it: 3 s from 6 s after its
	// last run on.
	maxLongRunningGap = 9 * time.Second
	// longRunningShare is the share of the cores that long-running tasks need.
	longRunningShare = 0.6
	// shortPause and statementPause are the times between two jobs.
	shortPause     = time.Second * 10 / 132
	statementPause = time.Second * 10 / 153
	busyMilliCPU   = 64000
	checkInterval  = 20 * time.Millisecond
	settleTime     = 4 * time.Second
)

// busyExecutors charges the work of calls to the processor.
type busyExecutors struct {
	orders.Executors
	processor *processor
}

func (b *busyExecutors) Start(ctx context.Context, t orders.Target, o orders.Start) orders.Reply {
	b.processor.run(callWork)
	defer b.processor.run(callWork)
	return b.Executors.Start(ctx, t, o)
}

func (b *busyExecutors) Stop(ctx context.Context, t orders.Target, o orders.Stop) orders.Reply {
	b.processor.run(callWork)
	defer b.processor.run(callWork)
	return b.Executors.Stop(ctx, t, o)
}

func (b *busyExecutors) Pace(ctx context.Context, t orders.Target, o orders.Pace) orders.Reply {
	b.processor.run(callWork)
	defer b.processor.run(callWork)
	return b.Executors.Pace(ctx, t, o)
}

func (b *busyExecutors) Hold(ctx context.Context, t orders.Target, o orders.Hold) (orders.Lists, orders.Reply) {
	b.processor.run(callWork)
	defer b.processor.run(callWork)
	return b.Executors.Hold(ctx, t, o)
}

// busyFleet is the large deployment with a leader whose processor is short.
type busyFleet struct {
	*lossWatch
	processor *processor
	rnd       *rand.Rand
	nextID    int
	// lasting are the tasks of the long-running jobs, waitsSince is since when each has no run.
	lasting    []orders.Task
	waitsSince map[orders.Task]time.Time
	longest    time.Duration
	worst      orders.Task
	// behaviors and queueOf have those of each job, starts counts the runs that were started of each queue.
	behaviors map[string]memex.Behavior
	queueOf   map[string]queue.Name
	starts    map[queue.Name]int
	// ids are the executors that are not lost.
	ids []string
}

func newBusyFleet(t *testing.T, share float64) *busyFleet {
	t.Helper()
	f := &busyFleet{
		lossWatch: newLossWatch(t), processor: &processor{cores: share}, rnd: rand.New(rand.NewPCG(1, 1)),
		waitsSince: map[orders.Task]time.Time{}, behaviors: map[string]memex.Behavior{}, starts: map[queue.Name]int{},
		queueOf: map[string]queue.Name{},
	}
	for i := range fleetSize {
		id := fmt.Sprintf("x%d", i)
		f.fleet.Remove(id)
		f.fleet.AddWithCapacity(id, memex.Capacity{MilliCPU: busyMilliCPU, MemoryMB: 4 * busyMilliCPU})
		f.ids = append(f.ids, id)
	}
	f.calls.Executors = &busyExecutors{f.fleet, f.processor}
	f.calls.onStart = func(_ orders.Target, o orders.Start) { f.starts[f.queueOf[o.Run.Task.Job]]++ }
	f.decode = func(id string, _ []byte) (queue.Executor, error) {
		return queue.Executor{ID: id, Address: id, Service: "svc", MilliCPU: busyMilliCPU, MemoryMB: 4 * busyMilliCPU}, nil
	}
	f.queues = []queue.Queue{
		{Name: "short", Service: "svc", MaxAttempts: 4, StretchFactor: 1.5, TargetMS: 250},
		{Name: "best-effort", Service: "svc", MaxAttempts: 4, StretchFactor: 2, TargetMS: 1000, Priority: 2},
		{Name: "long-running", Service: "svc", MaxAttempts: 3, StretchFactor: 2.2, TargetMS: 2500},
	}
	f.wrapLease = func(holdsLease func(tick.Time) bool) func(tick.Time) bool {
		return func(now tick.Time) bool {
			if isCalledByPlanLoop() {
				f.processor.run(planWork)
			}
			return holdsLease(now)
		}
	}
	return f
}

// draw draws from a lognormal distribution with the mean, up to the limit.
func (f *busyFleet) draw(mean, spread, limit float64) uint32 {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return uint32(max(1, min(limit, math.Exp(math.Log(mean)-sigma*sigma/2+sigma*f.rnd.NormFloat64()))))
}

func (f *busyFleet) submitTo(q queue.Name, b memex.Behavior, steps ...*jobpb.Step) string {
	f.nextID++
	id := jobID(f.nextID)
	b.Capacity = memex.Capacity{MilliCPU: int64(steps[0].MilliCpu), MemoryMB: int64(steps[0].MemoryMb)}
	if steps[0].Fills {
		b.Capacity.MilliCPU = 0
	}
	f.calls.edit(func() { f.behaviors[id], f.queueOf[id] = b, q })
	f.submit(&jobpb.Job{Id: id, Queue: string(q), Service: "svc", Spec: b.Spec(), Steps: steps})
	return id
}

func (f *busyFleet) submitLongRunning() (milliCPU float64) {
	s := &jobpb.Step{
		Count: f.draw(24, 0.4, 48), MilliCpu: f.draw(13000, 0.25, 20000), MemoryMb: f.draw(26000, 0.3, 51000),
		LongRunning: true, TargetMs: 60_000, Image: fmt.Sprintf("lc%d", f.rnd.IntN(16)),
	}
	id := f.submitTo("long-running", memex.Behavior{LongRunning: true}, s)
	for i := range s.Count {
		task := orders.Task{Job: id, Index: i}
		f.lasting = append(f.lasting, task)
		f.waitsSince[task] = time.Now()
	}
	return float64(s.Count) * float64(s.MilliCpu)
}

// fill submits long-running jobs that need longRunningShare of the cores, and waits for them to start.
func (f *busyFleet) fill() {
	for milliCPU := 0.0; milliCPU < longRunningShare*fleetSize*busyMilliCPU; {
		milliCPU += f.submitLongRunning()
		time.Sleep(checkInterval)
	}
	time.Sleep(settleTime)
}

func (f *busyFleet) submitShort() {
	ms := f.draw(800, 0.5, 2000)
	f.submitChain("short", ms, 0.6, &jobpb.Step{
		Count: f.draw(9.4, 0.8, 56), MilliCpu: f.draw(21000, 0.45, 64000), MemoryMb: f.draw(42000, 0.3, 84000),
	})
}

func (f *busyFleet) submitStatement() {
	ms := f.draw(2700, 0.5, 6800)
	f.submitChain("best-effort", ms, 0.9, &jobpb.Step{
		Count: f.draw(39, 0.6, 160), MilliCpu: f.draw(7000, 0.3, 14000), MemoryMb: f.draw(13000, 0.3, 26000),
		Fills: true, Image: fmt.Sprintf("be%d", f.rnd.IntN(30)), Checkpointing: true,
	})
}

// submitChain submits a job of the step and, with the given probability, a second one like it.
func (f *busyFleet) submitChain(q queue.Name, ms uint32, second float64, s *jobpb.Step) {
	s.EstimateMs = ms
	steps := []*jobpb.Step{s}
	if f.rnd.Float64() < second {
		next := proto.CloneOf(s)
		next.DependsOn = []uint32{0}
		steps = append(steps, next)
	}
	f.submitTo(q, memex.Behavior{Duration: time.Duration(ms) * time.Millisecond}, steps...)
}

// check updates for how long long-running tasks have no run.
func (f *busyFleet) check() {
	now := time.Now()
	isRunning := map[orders.Task]bool{}
	for _, task := range f.fleet.RunningTasks(tick.Now()) {
		isRunning[task] = true
	}
	for _, task := range f.lasting {
		if isRunning[task] {
			f.waitsSince[task] = now
			continue
		}
		if !f.hasRoom(task) {
			f.waitsSince[task] = now
			continue
		}
		if d := now.Sub(f.waitsSince[task]); d > f.longest {
			f.longest, f.worst = d, task
		}
	}
}

// hasRoom reports whether at least two of the executors that are left have the room for the task.
func (f *busyFleet) hasRoom(task orders.Task) bool {
	return f.fleet.WithRoom(f.ids, task, f.behaviors[task.Job]) >= 2
}

// submitFor submits short and best-effort jobs at their rates for some time.
func (f *busyFleet) submitFor(length time.Duration) {
	began := time.Now()
	var nextShort, nextStatement time.Duration
	for since := time.Duration(0); since < length; since = time.Since(began) {
		for ; since >= nextShort; nextShort += shortPause {
			f.submitShort()
		}
		for ; since >= nextStatement; nextStatement += statementPause {
			f.submitStatement()
		}
		f.check()
		time.Sleep(checkInterval)
	}
}

// logStarts logs the starts of each queue since the last call.
func (f *busyFleet) logStarts(when string) {
	f.calls.edit(func() {
		f.t.Logf("%s: %v starts, longest wait of a long-running task %v", when, f.starts, f.longest)
		clear(f.starts)
	})
}

// TestLongRunningTasksStarveBehindPlacedShortOnes guards against long-running tasks that are not started again, with
// room for them, since the processor of the leader permits fewer starts than there are runs of short jobs placed.
func TestLongRunningTasksStarveBehindPlacedShortOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newBusyFleet(t, usualShare)
		f.startNodes(1)
		f.fill()
		f.logStarts("idle")
		f.submitFor(shortageAt)
		f.logStarts("before the shortage")
		f.processor.set(shortShare, false)
		f.loseExecutors()
		f.submitFor(shortageLength)
		f.logStarts("in the shortage")
		assert.Check(t, f.longest <= maxLongRunningGap, "task %v had no run for %v", f.worst, f.longest)
	})
}

// loseExecutors removes 1 % of the executors.
func (f *busyFleet) loseExecutors() {
	for id := range f.lost {
		f.fleet.Remove(id)
		f.record(logs.Backends, id, nil)
	}
	f.ids = slices.DeleteFunc(f.ids, func(id string) bool { return f.lost[id] })
}
