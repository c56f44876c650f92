package cell

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/state/book"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

// The simulation of TestModel has executors that follow the published protocol, faults drawn from a seed, successive
// leaders, and checks of the guarantees given to users. Time is virtual.

// The durations of the election are those of package elect. A new leader takes over simElectionTimeout after the last
// heartbeat of the previous one. Until simSoleLeaderDuration after a heartbeat, a leader is certain that no other has
// taken over.
const (
	simLeaseDuration      = 5 * time.Second
	simElectionTimeout    = 1600 * time.Millisecond
	simSoleLeaderDuration = 1400 * time.Millisecond
	simMaxHold            = 6 * time.Second
	simStopTimeout        = 200 * time.Millisecond
	simStartUnixMS        = int64(1_700_000_000_000)
	simCallTimeout        = 800 * time.Millisecond
	simOverdue            = 100 * time.Millisecond
	// simHeartbeatInterval is the interval of the leader's heartbeats. Each one that is stored offers a fencing token.
	simHeartbeatInterval = 500 * time.Millisecond
	// simEndsPerList is the number of ends that executors list at a time.
	simEndsPerList = 500
)

type event struct {
	at  tick.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// faults are the fault probabilities of one schedule. Late requests arrive seconds after the caller has timed out.
type faults struct {
	requestLossRate, replyLossRate, lateRequestRate float64
	runFailureRate                                  float64
}

type simulation struct {
	rnd        *rand.Rand
	now        tick.Time
	seq        int
	queue      events
	params     Params
	faults     faults
	book       *book.Book
	fenceEpoch uint64
	// highestToken is the highest fencing token that a leader has been offered. The epoch of the next one is above it.
	highestToken uint64
	config       *queue.Configuration
	execs        []*simExecutor
	leaders      []*simLeader
	// hasHandovers makes leaders that are replaced state to their successors when leases end. handovers counts these.
	hasHandovers bool
	handovers    int
	jobs         map[string]*jobpb.Job
	// done has the tasks of which a run has ended as done.
	done map[orders.Task]bool
	// acked has the tasks of which an end as done was acknowledged to an executor, which then discarded it.
	acked map[orders.Task]bool
	// doneRuns has the runs of each task that have ended as done. The value is true once a later run of the task was
	// started.
	doneRuns    map[orders.Task]map[orders.Run]bool
	cancelled   map[string]tick.Time
	isStoreDown bool
	violations  []string
	startCount  int
	// linkCallTime is how long the leader's link takes for one call or reply; 0 for a link without limit. linkFreeAt is
	// when the link has sent what is queued.
	linkCallTime time.Duration
	linkFreeAt   tick.Time
	stopCalls    int
	// lostEnds has the tasks of which a run has ended as done on an executor that crashed before it was acknowledged.
	lostEnds map[orders.Task]bool
	// failingJobs has the jobs of which every run fails. Runs of long-running tasks fail within longestServing, unless
	// that is 0.
	failingJobs    map[string]bool
	longestServing time.Duration
	// disturbedUntil is when the last message that is delivered late arrives.
	disturbedUntil tick.Time
	// onEvent is called with each event of a leader, if it is set.
	onEvent func(e Event)
	// hasLongPolls is true if executors delay their responses to holds until a run ends, as holds ask for.
	hasLongPolls bool
	// startsBetweenPlans is true if leaders start placed runs as soon as their record is stored.
	startsBetweenPlans bool
	// hasDiscovery is true if entries of service discovery state the start of their process and outlive it for a while.
	hasDiscovery bool
	// formerVersions has the leaders, counted from 0, that are of a version without placement records.
	formerVersions map[int]bool
	// fixedTokens has the leaders, counted from 0, that are of a version whose fencing token is the epoch.
	fixedTokens map[int]bool
	// late carries out calls by the next process under the same id; nil if there are no such calls.
	late *simLateCalls
	// evacuatedAt is since when each failure domain is evacuated.
	evacuatedAt map[string]tick.Time
	// movedAway has the runs of long-running tasks that were stopped to move them, until their tasks are at work again.
	movedAway map[orders.Task]orders.Run
	moves     int
	// serveDelay is how long a long-running task takes to be at work after its start.
	serveDelay time.Duration
	// entries is set if executors write their entries with heartbeats.
	entries *simEntries
	// kinds is set if executors restart as other kinds.
	kinds *simKinds
	// capacities is set if the capacities of the executors change.
	capacities *simCapacities
	// foreign is set if another writer leaves entries among those of the executors.
	foreign *simForeignWriter
	// endsPerList is the number of ends that executors list at a time.
	endsPerList int
	// crashModel has the tasks that crash their executors; nil if there are none.
	crashModel *crashModel
}

// newEmptySimulation returns a simulation without executors, configuration and leader.
func newEmptySimulation(seed uint64, f faults) *simulation {
	return &simulation{
		rnd: rand.New(rand.NewPCG(seed, 7)), faults: f, book: book.New(), jobs: map[string]*jobpb.Job{},
		done: map[orders.Task]bool{}, acked: map[orders.Task]bool{}, cancelled: map[string]tick.Time{},
		doneRuns: map[orders.Task]map[orders.Run]bool{}, lostEnds: map[orders.Task]bool{}, failingJobs: map[string]bool{},
		evacuatedAt: map[string]tick.Time{}, movedAway: map[orders.Task]orders.Run{},
		params: Params{
			MaxHold: simMaxHold, StopTimeout: simStopTimeout, InterferenceBound: 4 * time.Second, Retention: time.Minute,
			// Half of the schedules run with it.
			LookAhead: seed%2 == 1,
		},
		now: tick.Time(time.Second), endsPerList: simEndsPerList,
	}
}

func newSimulation(seed uint64, f faults) *simulation {
	sim := newEmptySimulation(seed, f)
	sim.config = &queue.Configuration{Version: 1, Services: enforcing, Queues: []queue.Queue{
		{Name: "q", Service: "svc", MaxAttempts: 4, StretchFactor: 2, TargetMS: 1000},
	}}
	for i := range 6 {
		x := &simExecutor{
			sim: sim, id: fmt.Sprintf("x%d", i), address: fmt.Sprintf("x%d", i), labels: []string{string(rune('a' + i%2))},
			total: resources{milliCPU: 16000, memoryMB: 64000}, clockRate: 0.98 + 0.02*sim.rnd.Float64(),
			enforcesCapacity: sim.rnd.IntN(2) == 0,
		}
		x.restart()
		sim.execs = append(sim.execs, x)
	}
	sim.newLeader(sim.now)
	return sim
}

func (sim *simulation) after(d time.Duration, f func()) {
	sim.seq++
	heap.Push(&sim.queue, event{sim.now.Add(d), sim.seq, f})
}

func (sim *simulation) runUntil(d time.Duration) {
	end := tick.Time(d)
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.do()
	}
	sim.now = end
}

func (sim *simulation) wallMS() int64 { return simStartUnixMS + int64(sim.now)/int64(time.Millisecond) }

func (sim *simulation) recordViolation(format string, args ...any) {
	if len(sim.violations) < 20 {
		sim.violations = append(sim.violations, fmt.Sprintf("%8.3f ", float64(sim.now)/1e9)+fmt.Sprintf(format, args...))
	}
}

func (sim *simulation) chance(p float64) bool { return p > 0 && sim.rnd.Float64() < p }

// randomDuration returns a duration from lo to hi.
func (sim *simulation) randomDuration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(sim.rnd.Int64N(int64(hi-lo)+1))
}

func (sim *simulation) stepOf(t orders.Task) *jobpb.Step { return sim.jobs[t.Job].Steps[t.Step] }
