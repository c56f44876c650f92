package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// busyPlanInterval is the time between two plans of a leader of the large deployment whose processor is short, and
	// busyStoreTime how long it takes to store a batch.
	busyPlanInterval = 120 * time.Millisecond
	busyStoreTime    = 200 * time.Millisecond
	// longRoomShare is the share of the cores that long-running tasks ask for, longRoomFailures how often each fails.
	longRoomShare    = 0.92
	longRoomFailures = 0.004
	longRoomSeeds    = 3
)

// roomCheck observes long-running tasks that have no run although at least two executors have the room.
type roomCheck struct {
	sim *starveSim
	// downSince is since when a task has no run, roomSince since when there has been room for it all the while.
	downSince, roomSince map[orders.Task]tick.Time
	// starved are the tasks that had no run for starveRestartGrace and then room for starveBound.
	starved map[orders.Task]bool
	longest time.Duration
}

func newRoomCheck(s *starveSim) *roomCheck {
	return &roomCheck{
		sim: s, downSince: map[orders.Task]tick.Time{}, roomSince: map[orders.Task]tick.Time{},
		starved: map[orders.Task]bool{},
	}
}

func (k *roomCheck) check() {
	isRunning := map[orders.Task]bool{}
	for _, x := range k.sim.execs {
		for _, r := range x.runs {
			isRunning[r.id.Task] = true
		}
	}
	for _, j := range k.sim.jobs {
		c := k.sim.cell.jobs[j.id]
		if j.kind != "long-running" || c == nil {
			continue
		}
		for _, t := range c.occurrences[0].steps[0].tasks {
			k.checkTask(t, isRunning[t.id])
		}
	}
}

func (k *roomCheck) checkTask(t *task, isRunning bool) {
	now := k.sim.now
	if isRunning {
		delete(k.downSince, t.id)
		delete(k.roomSince, t.id)
		return
	}
	if _, ok := k.downSince[t.id]; !ok {
		k.downSince[t.id] = now
	}
	k.longest = max(k.longest, now.Sub(k.downSince[t.id]))
	if now.Sub(k.downSince[t.id]) < starveRestartGrace || !k.sim.hasRoomTwice(t) {
		delete(k.roomSince, t.id)
		return
	}
	if _, ok := k.roomSince[t.id]; !ok {
		k.roomSince[t.id] = now
	}
	if now.Sub(k.roomSince[t.id]) >= starveBound {
		k.starved[t.id] = true
	}
}

// runRoomCheck runs the simulation of a full fleet on which long-running tasks fail.
func runRoomCheck(t *testing.T, seed uint64, planInterval, storeTime time.Duration) *roomCheck {
	t.Helper()
	f := newFullFleet(seed, longRoomShare, planInterval)
	f.storeTime = storeTime
	k := newRoomCheck(f.starveSim)
	f.onTick = func(since time.Duration) {
		f.submit(since)
		if since >= fullFleetMeasuredFrom {
			f.longRunningFailures = longRoomFailures
			k.check()
		}
	}
	f.run()
	t.Logf("seed %d, a plan each %v, batches stored in %v: %d long-running tasks starved, the longest wait %v, "+
		"%.2f of the short jobs in time", seed, planInterval, storeTime, len(k.starved), k.longest, f.shortInTime())
	return k
}

// TestLongRunningTasksStarveBesideUnusedRoom guards against long-running tasks that do not start again although there
// is room: short tasks take each place, and leave it empty for as long as a busy leader needs to record them.
func TestLongRunningTasksStarveBesideUnusedRoom(t *testing.T) {
	for seed := uint64(1); seed <= longRoomSeeds; seed++ {
		k := runRoomCheck(t, seed, busyPlanInterval, busyStoreTime)
		assert.Check(t, len(k.starved) == 0, "%d tasks starved, seed %d", len(k.starved), seed)
	}
}

const (
	// lossAt is when a third of the fleet is lost. Its long-running tasks start again from restartAt on, when the leases
	// have expired; short jobs are observed from then until lossMeasuredTo.
	lossAt         = 10 * time.Second
	restartAt      = 16 * time.Second
	lossMeasuredTo = 34 * time.Second
	// longRunningShareBeforeLoss is the share of the cores that long-running tasks ask for.
	longRunningShareBeforeLoss = 0.61
	// lossPlanInterval is the time between two plans.
	lossPlanInterval = 60 * time.Millisecond
	// lossFloor is the lowest floor of short jobs on the large deployment, on days on which executors are lost.
	lossFloor = 0.25
)

// loseThird ends every third executor for good.
func (s *starveSim) loseThird() {
	var rest []*starveExecutor
	var list []queue.Executor
	for i, x := range s.execs {
		if i%3 == 1 {
			delete(s.byID, x.id)
			continue
		}
		rest = append(rest, x)
		list = append(list, queue.Executor{
			ID: x.id, Address: x.id, Service: "svc", MilliCPU: x.total.milliCPU, MemoryMB: x.total.memoryMB,
		})
	}
	s.execs = rest
	s.cell.Discover(s.now, list)
}

// TestShortJobsStarveBesideRestartedLongRunningTasks guards against short jobs that get nothing while hundreds of
// long-running tasks start again, and against long-running tasks that do not.
func TestShortJobsStarveBesideRestartedLongRunningTasks(t *testing.T) {
	for seed := uint64(1); seed <= longRoomSeeds; seed++ {
		f := newFullFleet(seed, longRunningShareBeforeLoss, lossPlanInterval)
		f.measuredFrom, f.measuredTo = restartAt, lossMeasuredTo
		k := newRoomCheck(f.starveSim)
		mostDown := 0
		f.onTick = func(since time.Duration) {
			f.submit(since)
			if since == lossAt {
				f.loseThird()
			}
			if since >= lossAt {
				k.check()
				mostDown = max(mostDown, len(k.downSince))
			}
		}
		f.run()
		t.Logf("seed %d: of %d long-running tasks without a run %d starved, %d have none at the end, the longest wait %v; "+
			"%.2f short in time", seed, mostDown, len(k.starved), len(k.downSince), k.longest, f.shortInTime())
		assert.Check(t, len(k.starved) == 0, "%d tasks starved, seed %d", len(k.starved), seed)
		assert.Check(t, f.shortInTime() >= lossFloor)
	}
}
