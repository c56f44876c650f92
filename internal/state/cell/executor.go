package cell

import (
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/state/chain"
	"github.com/ibischute/ibischute/internal/state/regis"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

// maxClockDrift is the fraction by which an executor's clock may run slower than the local one.
const maxClockDrift = 0.02

// executor is the tracked state of one executor.
type executor struct {
	fencing
	// entry is the newest one in service discovery. It may be that of another process than the one that sends lists.
	entry queue.Executor
	// registration tells which entry describes the present process, described is what was last applied of it.
	registration regis.Registration
	described    description
	// hash names the executor in the records of jobs.
	hash uint32
	// lateSequence is the sequence of the last entry if that is older than the known one, and 0 otherwise.
	lateSequence int64
	// isListed is true while service discovery lists the executor.
	isListed bool
	// isRostered is true if a stored record shows that this leader may send orders to the executor.
	isRostered bool
	// isInherited is true if a previous leader may have sent orders to the executor.
	isInherited bool
	// hasResponded is true if the present process has sent lists that answer a call with the present token; it then
	// rejects earlier calls, and those of previous leaders.
	hasResponded bool
	// endsKnownAt is when the executor last sent a list that had all ends; 0 if its present process has sent none, so that
	// a former leader may have started runs there that this one does not know.
	endsKnownAt tick.Time
	// isEvacuated is true if the operator has evacuated the executor's failure domain.
	isEvacuated bool
	// As of the last pass, coldLimit is the number of tasks that the executor may run, and isCold is false if there is no
	// limit.
	coldLimit int
	isCold    bool
	// isTerminated is true if the incarnation of the executor is over.
	isTerminated bool
	// startedMS is the start time of the executor's process according to its last list; 0 before the first one.
	// entry.StartedMS is the start time according to service discovery.
	startedMS int64
	// restartedAt is when the executor was first known to have restarted under its id; 0 if it was not.
	restartedAt tick.Time
	// listedClockMS is the executor's clock as of its last list.
	listedClockMS int64

	total, used resources
	// enforcesCapacity is true if the executor refuses what exceeds its capacity.
	enforcesCapacity bool
	// capacityReadAt is the last time as of which the entry states the capacity.
	capacityReadAt tick.Time
	// isEntryOld is true if the entry may be from before an outage of the store.
	isEntryOld bool
	runs       map[orders.Task]*run
	// kept has the moving tasks for which room is kept until they start here.
	kept map[*task]bool
	// latencyCritical are the runs with a latency target, bestEffort the best-effort runs.
	latencyCritical, bestEffort []*run
	// latencyCriticalMilliCPU and bestEffortMilliCPU are the CPU requests of these runs.
	latencyCriticalMilliCPU, bestEffortMilliCPU int64
	// tolerance summarizes the runs with a latency target.
	tolerance tolerance
	// orphaned has the listed runs that this leader does not track, which must end. The value is true once the order to
	// stop the run was sent.
	orphaned map[orders.Run]bool

	// clockOffsetMS is the lower bound of the offset of the executor's clock to the local one, as of clockSampledAt.
	clockOffsetMS  float64
	clockSampledAt tick.Time
	hasClock       bool
	// leaseExpiresBy is when the executor's lease has certainly expired unless it is extended, as it was last at
	// extendedAt.
	leaseExpiresBy, extendedAt tick.Time
	lastResponseAt             tick.Time
	// aliveAt is when the executor last carried out an order, lastResponseAt when it last sent its lists, orderRepliedAt
	// when it last confirmed an order to a run.
	aliveAt, orderRepliedAt tick.Time
	// heldAddress is the address for which the last hold was returned; empty before the first one.
	heldAddress string
	// confirmedAddress is where the executor last carried out an order, or that of its roster record before that.
	confirmedAddress string
	// claim is the entry of another executor at the same address that states a later start. isClaimUnchecked is true
	// until the executor has been asked about it.
	claim            claim
	isClaimUnchecked bool
	// isMisdirected is true if another executor answers at the address of the entry, where this one was never confirmed.
	isMisdirected bool
	// hasMoreEnds is true if the executor may have ends that its last list lacks.
	hasMoreEnds bool
	// isUnresponsive is true if the last hold got no response or was refused, and unansweredHolds the number of such holds
	// since the last response.
	isUnresponsive  bool
	unansweredHolds int

	// Ended runs are numbered by cursors. appliedCursor is the last one applied from the executor's lists,
	// batchedCursor the last one in a batch, storedCursor the last one stored, and ackSentCursor the last one
	// acknowledged to the executor.
	appliedCursor, batchedCursor, storedCursor, ackSentCursor uint64

	// quarantinedUntil is the time until which no runs are started on the executor, because it refused an order or did
	// not respond to one.
	quarantinedUntil tick.Time
	suspicion        suspicion
	// guarded is the last run here of a task that has counted crashes.
	guarded *run
	// hasReplied is true if the executor has replied since paces were last adjusted.
	hasReplied bool
	// pacesAdjustedAt is the lastResponseAt of the list for which paces were last adjusted. No best-effort task starts
	// before noBestEffortUntil.
	pacesAdjustedAt, noBestEffortUntil tick.Time
	// throttledAt is when best-effort runs were last throttled, throttledTailRatio the highest ratio of tail latency to
	// target of the latency-critical runs at that time.
	throttledAt        tick.Time
	throttledTailRatio float64
	// roomIndex is the last one that the executor was in, at the position.
	roomIndex *roomIndex
	position  int
	observed  observation
}

func (x *executor) target() orders.Target {
	return orders.Target{ID: x.entry.ID, Address: x.entry.Address}
}

func (x *executor) free() resources { return x.total.minus(x.used) }

func newExecutor(e queue.Executor, f fencing) *executor {
	return &executor{
		fencing: f, entry: e, hash: chain.Hash(e.ID),
		runs: map[orders.Task]*run{}, orphaned: map[orders.Run]bool{},
		kept: map[*task]bool{},
	}
}

// markTerminated records that the executor's incarnation is over and releases its runs, which have ended with it.
func (c *Cell) markTerminated(x *executor, reason string) {
	if x.isTerminated {
		return
	}
	x.isTerminated = true
	c.emit(Event{Name: "executor-gone", Executor: x.entry.ID, Detail: reason})
	for _, r := range x.runs {
		c.releaseLost(r, true, reason)
	}
	c.observeIncarnation(x.hash, x.processStart()+1, true)
	c.speed.Drop(x.entry.ID)
}

// sampleClock updates the clock offset from the response to a call that ended at now. The executor read its clock
// before now, so the difference is a lower bound of the offset. It replaces the previous bound unless that is higher.
func (x *executor) sampleClock(now tick.Time, clockMS int64) {
	if clockMS == 0 {
		return
	}
	offset := float64(clockMS) - millis(now)
	if previous := x.clockOffset(now); x.hasClock && previous > offset {
		offset = previous
	}
	x.clockOffsetMS, x.clockSampledAt, x.hasClock = offset, now, true
}

// clockOffset returns a lower bound of the offset in milliseconds of the executor's clock to the local one.
func (x *executor) clockOffset(now tick.Time) float64 {
	return x.clockOffsetMS - maxClockDrift*(millis(now)-millis(x.clockSampledAt))
}

func millis(t tick.Time) float64 { return float64(t) / float64(time.Millisecond) }

// isUsable reports whether tasks may be started on the executor. An executor with orphaned runs, or with unknown ones
// whose ends it has not listed, is not usable, since their resources are not accounted for.
func (x *executor) isUsable(now tick.Time) bool {
	isConfirmed := x.hasResponded && x.confirmedAddress == x.entry.Address
	isRegistered := x.isListed && x.isRostered && isConfirmed && x.endsKnownAt != 0 && x.hasClock
	isAvailable := !x.isTerminated && !x.isUnresponsive && !x.isDraining() && len(x.orphaned) == 0
	return isRegistered && isAvailable && !x.isEvacuated && x.knowsCapacity(now) && !now.Before(x.quarantinedUntil)
}
