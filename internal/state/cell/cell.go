// Package cell schedules the jobs of one cell: it decides which task starts where, which run is stopped and which
// records are stored.
//
// A Cell belongs to one leader with one epoch and does not read the clock. Its caller reports events (jobs,
// cancellations, the configuration, the discovered executors, replies of executors) and carries out the orders, holds
// and records that the cell returns.
//
// Guarantees, and the files that implement them:
//   - A task has at most one run. A run is assumed to exist until its executor lists its end, a later list that has
//     all ends lacks it, its executor is known to have restarted, or the executor's lease has certainly expired
//     (lists.go, releases.go).
//   - An end is acknowledged to its executor, and a job is shown as ended, only after the record of it is stored
//     (record.go).
//   - The order to start a task is sent only after a record that names its executor is stored, which the log accepts
//     from the newest leader alone. Until then the run is placed: it holds its resources, but its executor does not
//     know of it (placed.go). So a new leader holds back only the tasks that may run on an executor that has not
//     listed all runs and ends and whose lease may last. Jobs whose record does not name the executors wait for all
//     executors (takeover.go).
//
// # Usage
//
//	c := cell.New(params, epoch, previousLeasesExpireAt)
//	c.Load(now, wallMS, entry)
//	for _, o := range c.Plan(now, wallMS, limits) { send(o) }
package cell

import (
	"slices"
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/state/delay"
	"github.com/ibischute/ibischute/internal/state/expiry"
	"github.com/ibischute/ibischute/internal/state/interf"
	"github.com/ibischute/ibischute/internal/state/quant"
	"github.com/ibischute/ibischute/internal/state/ramp"
	"github.com/ibischute/ibischute/internal/state/speed"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

// Params are the timing parameters of the deployment.
type Params struct {
	// MaxHold is the longest lease of an executor.
	MaxHold time.Duration
	// StopTimeout is the longest time that a stop takes.
	StopTimeout time.Duration
	// InterferenceBound is the longest time for which a latency-critical task may exceed its latency target.
	InterferenceBound time.Duration
	// PaceDelay is the time until a pace order takes effect.
	PaceDelay time.Duration
	// Restore is how long a run takes to resume from a checkpoint, and CheckpointEvery the time between two checkpoints; 0
	// if it is not known.
	Restore, CheckpointEvery time.Duration
	// Cold limits the tasks on executors that have just started.
	Cold ramp.Bounds
	// Notice is how long a long-running task may be out of work before it counts as away.
	Notice time.Duration
	// Retention is how long an ended job is shown.
	Retention time.Duration
	// LookAhead is true if executors are reserved for tasks that need more room than any executor has free, and jobs that
	// have waited long move up.
	LookAhead bool
}

// Cell is the state of one cell under one leader.
type Cell struct {
	params Params
	epoch  uint64
	// token is the highest fencing token of the leader. droppedToken is the highest one of the calls to executors that
	// were dropped.
	token, droppedToken orders.FencingToken
	// previousLeasesExpireAt is the time from which no run of a previous leader can still hold a lease.
	previousLeasesExpireAt tick.Time
	// statedLeaseEnds is by when the leases of each executor will have expired, if the previous leader has stated it.
	statedLeaseEnds expiry.Times
	isTakingOver    bool
	// heartbeatAt is when the last stored heartbeat of this leader was sent; 0 if it is not stated.
	heartbeatAt tick.Time
	// takeoverBeganAt is the time of the first plan, and isAwaitedReported true once the awaited executors are logged.
	takeoverBeganAt   tick.Time
	isAwaitedReported bool
	// areInheritedRunsOver is true once no executor can still run a task for a previous leader unknown to this one.
	areInheritedRunsOver bool
	config               *queue.Configuration
	jobs                 map[string]*job
	active               []*job
	// execs has the executors by their ids, fleet in the order of these.
	execs map[string]*executor
	fleet fleet
	// roomIndexes has those of the last pass by service. ratings counts the executors that the pass has rated, for tests.
	roomIndexes map[string]*roomIndex
	ratings     int
	entries     entryReads
	unnamed     unnamedEntries
	evacuation  evacuation
	// replied has the executors that have replied since paces were last adjusted, in the order of their replies.
	replied []*executor
	// unbatched has the executors that may have listed ends that are in no batch yet.
	unbatched map[*executor]bool
	// waiting is reused to order the waiting jobs.
	waiting waitingJobs
	// dirty has the jobs whose progress is to be recorded with the next batch.
	dirty map[string]*job
	// pendingRosters has the executors whose roster records are to be stored. No run is started on an executor before
	// that, so that later leaders know which executors to wait for.
	pendingRosters map[string]*executor
	// retired has the ids of the executors whose roster records are to be deleted, so that later leaders do not wait for
	// them.
	retired map[string]bool
	// stopping has the runs that are marked for stopping and those whose start is unconfirmed.
	stopping map[*run]bool
	// delayed counts the tasks and runs that Diagnose has found, by cause. nextChecked is the index in active of the job
	// with which its next call begins.
	delayed      map[WaitCause]int
	nextChecked  int
	events       []Event
	durations    *quant.Model
	speed        *speed.Model
	interference *interf.Model
	lookAhead    *lookAhead
	isFenced     bool
	// needsAdvice is true if a queue has or had a policy service.
	needsAdvice bool
	// isAdvicePending is true while a request to the policy service is outstanding; nextAdviceAt is the earliest time for
	// the next one.
	isAdvicePending bool
	nextAdviceAt    tick.Time
	// isModelRecordDue is true if the next batch is to have a record of the learned model.
	isModelRecordDue bool
	// placements are the records that name the executors of the tasks.
	placements placements
	crashes    crashes
}

// New returns the Cell of the leader with the epoch. Until previousLeasesExpireAt, executors that have not responded to
// this leader may run tasks that a previous leader started.
func New(p Params, epoch uint64, previousLeasesExpireAt tick.Time) *Cell {
	return &Cell{
		params: p, epoch: epoch, token: orders.FencingToken(epoch),
		previousLeasesExpireAt: previousLeasesExpireAt, isTakingOver: true,
		jobs: map[string]*job{}, execs: map[string]*executor{}, roomIndexes: map[string]*roomIndex{},
		unbatched: map[*executor]bool{},
		dirty:     map[string]*job{}, pendingRosters: map[string]*executor{}, retired: map[string]bool{},
		stopping: map[*run]bool{}, evacuation: evacuation{moved: map[string]int{}, futileSearches: map[bool]int{}},
		durations: quant.New(), speed: speed.New(), interference: interf.New(),
		placements: placements{held: map[uint32][]*task{}}, lookAhead: newLookAhead(p), crashes: newCrashes(),
	}
}

// Event is a decision or a change of tracked state, for the log.
type Event struct {
	Name     string
	Task     orders.Task
	Run      uint64
	Executor string
	Detail   string
	// FirstWait is set for the first start of a task by this leader.
	FirstWait *FirstWait
	// Queue and Stages are set with FirstWait: the queue of the task and the parts of the wait.
	Queue  queue.Name
	Stages delay.Stages
	// Entry is set for a start: the entry of the executor on which it is based.
	Entry *EntryRef
}

// EntryRef names an entry of service discovery on which a start is based.
type EntryRef struct {
	// StartedMS is the start time of the process that wrote the entry, ListedMS that of the process that sent the
	// executor's last list.
	StartedMS, ListedMS int64
	// Age is how long ago the leader first read the entry as it was last written.
	Age time.Duration
}

// maxEvents bounds the events between two calls of Events.
const maxEvents = 2000

func (c *Cell) emit(e Event) {
	if len(c.events) < maxEvents {
		c.events = append(c.events, e)
	}
}

// Events returns the events since the last call.
func (c *Cell) Events() []Event {
	e := c.events
	c.events = nil
	return e
}

// IsFenced reports whether an executor has seen a higher epoch, which means that another leader has taken over.
func (c *Cell) IsFenced() bool { return c.isFenced }

// Configure applies a configuration. Versions older than the present one are ignored.
func (c *Cell) Configure(cfg *queue.Configuration) {
	if c.config != nil && cfg.Version < c.config.Version {
		return
	}
	c.config = cfg
	// Jobs of a queue that was removed keep its policy service.
	c.needsAdvice = c.needsAdvice || slices.ContainsFunc(cfg.Queues, func(q queue.Queue) bool { return q.Advice != nil })
	for _, x := range c.execs {
		x.enforcesCapacity = c.enforcesCapacity(x.service())
	}
	for _, j := range c.active {
		j.configure(cfg)
	}
	c.placements.sort()
}
