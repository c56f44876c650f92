// Package memex is an in-process stand-in for executors. It records a violation when a task runs twice at the same
// time, again after it is done, after its last permitted failure, too often after it has crashed three executors, or on
// an executor with too many tasks of its step, and when a start brings an executor that does not enforce its capacity
// over it. What no caller can prevent is counted apart (see Permitted).
//
// The spec of a job determines how its tasks behave (see Behavior).
//
// # Usage
//
//	f := memex.New()
//	f.Add("x1")
//	f.AddWithCapacity("x2", memex.Capacity{MilliCPU: 8000, MemoryMB: 4000})
//	reply := f.Start(ctx, orders.Target{ID: "x1"}, order)
package memex

import (
	"context"
	"sync"
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
	"github.com/ibischute/ibischute/platform/bodies"
)

const (
	callLatency = time.Millisecond
	// pollInterval is how often a waiting hold checks for ended runs.
	pollInterval = 5 * time.Millisecond
	// maxLeaseMS is the longest lease; a longer one is shortened.
	maxLeaseMS = 6000
)

// Capacity is the capacity of an executor, or a part of it.
type Capacity struct {
	MilliCPU, MemoryMB int64
}

func (c Capacity) minus(o Capacity) Capacity {
	return Capacity{c.MilliCPU - o.MilliCPU, c.MemoryMB - o.MemoryMB}
}

func (c Capacity) covers(o Capacity) bool {
	return c.MilliCPU >= o.MilliCPU && c.MemoryMB >= o.MemoryMB
}

type activeRun struct {
	run       orders.Run
	behavior  Behavior
	startedAt tick.Time
	// endsAt is when the run ends by itself, with endReason. It is 0 for a run that continues until it is stopped.
	endsAt    tick.Time
	endReason orders.EndReason
}

type executor struct {
	id string
	// incarnation is the start of the process in milliseconds since 1970, later than that of the one before.
	incarnation int64
	// startedAt is when the clock of the process showed 0.
	startedAt tick.Time
	// capacity limits the runs unless it is nil. former are the capacities before, oldest first. isUnenforced is true if
	// the executor starts what exceeds its capacity.
	capacity     *Capacity
	former       []formerCapacity
	isUnenforced bool
	// labels are those of the process.
	labels       []string
	token        orders.FencingToken
	endCount     uint64
	leaseUntilMS int64
	runs         map[orders.Task]activeRun
	// noEndBefore is a time before which no run ends by itself or with the lease.
	noEndBefore tick.Time
	// lastEnded is, by task, the highest run number that has ended or was stopped on this executor.
	lastEnded   map[orders.Task]uint64
	unackedEnds []orders.EndedRun
	fence       fence
	// unfenced are the runs whose starts were sent before the process was reached and carried out before it was fenced.
	unfenced map[orders.Run]bool
	// wasUnlisted means that the entry has expired before, listedAt when it was back, heardAt when the executor has first
	// answered a hold since then; 0 before.
	wasUnlisted       bool
	listedAt, heardAt tick.Time
}

// Fleet is a set of in-process executors.
type Fleet struct {
	mu        sync.Mutex
	executors map[string]*executor
	// incarnation is that of the executor that was started last.
	incarnation int64
	tasks       map[orders.Task]*taskHistory
	// startedJobs are the jobs of which at least one task was started.
	startedJobs map[string]bool
	violations  []string
	// permitted are the cases that would be violations but for what Permitted describes.
	permitted []string
	// lastTokens are the highest tokens that the former process of each id has received.
	lastTokens map[string]orders.FencingToken
	starts     int
	// startsOn counts the runs that were started on each executor.
	startsOn map[string]int
	seed     uint64
	// firstClock is what the clock of the first process of each id shows at its start. That of a next one shows 0.
	firstClock time.Duration
	// knownIDs are the ids under which a process has run.
	knownIDs map[string]bool
	// endsPerList is the maximum number of ends in a list.
	endsPerList int
	trace       func(format string, args ...any)
	// areFailuresOff means that runs that start from now on do not fail, except those that always do.
	areFailuresOff bool
	// onCrash is called after a run has crashed the executor with the id. If it is nil, the executor restarts after
	// crashDowntime.
	onCrash func(id string)
}

// New returns a Fleet without executors.
func New() *Fleet {
	return &Fleet{
		trace:     func(string, ...any) {},
		executors: map[string]*executor{}, tasks: map[orders.Task]*taskHistory{}, startedJobs: map[string]bool{},
		startsOn: map[string]int{}, lastTokens: map[string]orders.FencingToken{}, knownIDs: map[string]bool{},
		endsPerList: bodies.MaxEndsPerList,
	}
}

// LimitEnds sets the maximum number of ends in a list, for tests that cross it with few runs. Behind a client, which
// knows only the limit of the protocol, it must not be used.
func (f *Fleet) LimitEnds(perList int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endsPerList = perList
}

// SetSeed sets the seed of the draws of the runs that fail.
func (f *Fleet) SetSeed(seed uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seed = seed
}

// SetFirstClock sets what the clock of the first process of each id shows at its start, so that it is far ahead of that
// of a next process under the same id.
func (f *Fleet) SetFirstClock(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.firstClock = d
}

// StopFailures lets the runs that have not failed yet, and those that start from now on, not fail. Tasks that always
// fail are not affected.
func (f *Fleet) StopFailures() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.areFailuresOff = true
	for _, x := range f.executors {
		f.advance(x, tick.Now())
		for t, r := range x.runs {
			if r.behavior.LongRunning {
				r.endsAt = 0
				x.runs[t] = r
			}
		}
	}
}

// Add starts an executor with the id and unlimited capacity.
func (f *Fleet) Add(id string) { f.add(id, nil) }

// AddWithCapacity starts an executor that rejects what exceeds its capacity. If there is an executor with the id, it
// must have been removed.
func (f *Fleet) AddWithCapacity(id string, c Capacity) { f.add(id, &c) }

func (f *Fleet) add(id string, c *Capacity) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.startExecutor(id, c)
}

// startExecutor starts an executor. The caller holds the mutex.
func (f *Fleet) startExecutor(id string, c *Capacity) {
	zeroAt := tick.Now()
	if !f.knownIDs[id] {
		zeroAt = zeroAt.Add(-f.firstClock)
	}
	f.knownIDs[id] = true
	f.incarnation = max(f.incarnation+1, tick.Wall().UnixMilli())
	f.executors[id] = &executor{
		id: id, incarnation: f.incarnation, startedAt: zeroAt, capacity: c, runs: map[orders.Task]activeRun{},
		lastEnded: map[orders.Task]uint64{}, unfenced: map[orders.Run]bool{}, fence: fence{highest: f.lastTokens[id]},
	}
}

// SetLabels sets the labels of the executor's process.
func (f *Fleet) SetLabels(id string, labels ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if x, ok := f.executors[id]; ok {
		x.labels = labels
	}
}

// Remove ends an executor without notice: its runs end and its unacknowledged ends are lost.
func (f *Fleet) Remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if x, ok := f.executors[id]; ok {
		f.remove(id, x)
	}
}

// remove ends an executor. The caller holds the mutex.
func (f *Fleet) remove(id string, x *executor) {
	now := tick.Now()
	f.advance(x, now)
	for t := range x.runs {
		f.task(t).lastRanAt = now
	}
	for _, e := range x.unackedEnds {
		f.task(e.Run.Task).loseEnd(e)
	}
	f.lastTokens[id] = max(f.lastTokens[id], x.token)
	delete(f.executors, id)
}

// clock returns the executor's clock in milliseconds.
func (x *executor) clock(now tick.Time) int64 { return int64(now.Sub(x.startedAt) / time.Millisecond) }

func (f *Fleet) advanceAll(now tick.Time) {
	for _, x := range f.executors {
		f.advance(x, now)
	}
}

// advance ends the runs that are over by themselves and, once the executor's lease has expired, all others.
func (f *Fleet) advance(x *executor, now tick.Time) {
	if now.Before(x.noEndBefore) {
		return
	}
	leaseEndsAt := x.leaseEndsAt()
	x.noEndBefore = leaseEndsAt
	for _, r := range x.runs {
		endsByItself := r.endsAt != 0 && r.endsAt.Before(leaseEndsAt)
		switch {
		case endsByItself && !now.Before(r.endsAt):
			f.end(x, r.run, r.endReason, r.endsAt)
		case endsByItself:
			x.noEndBefore = min(x.noEndBefore, r.endsAt)
		case !now.Before(leaseEndsAt):
			f.end(x, r.run, orders.EndedLeaseExpired, leaseEndsAt)
		}
	}
}

func (x *executor) leaseEndsAt() tick.Time {
	return x.startedAt.Add(time.Duration(x.leaseUntilMS) * time.Millisecond)
}

// end removes a run and adds it to the ends that wait for acknowledgement.
func (f *Fleet) end(x *executor, r orders.Run, reason orders.EndReason, at tick.Time) {
	f.task(r.Task).recordEnd(reason, at)
	delete(x.runs, r.Task)
	x.lastEnded[r.Task] = max(x.lastEnded[r.Task], r.Number)
	x.endCount++
	x.unackedEnds = append(x.unackedEnds, orders.EndedRun{Cursor: x.endCount, Run: r, Reason: reason})
	f.trace("%v ended on %s as %s, end %d", r, x.id, reason, x.endCount)
}

func (f *Fleet) executor(id string) *executor {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.executors[id]
}

// accept returns the executor unless it is no longer the given one or has received a higher fencing token, and notes
// the token. The caller holds the mutex.
func (f *Fleet) accept(id string, x *executor, token orders.FencingToken) (*executor, orders.Reply) {
	if x == nil || f.executors[id] != x {
		return nil, orders.Reply{Outcome: orders.NotSent}
	}
	now := tick.Now()
	f.advance(x, now)
	r := orders.Reply{Outcome: orders.Done, ClockMS: x.clock(now)}
	if token < x.token {
		r.Outcome = orders.Fenced
		return nil, r
	}
	x.token = token
	return x, r
}

// execute applies an order to an executor, unless the executor has received a higher fencing token.
func (f *Fleet) execute(
	ctx context.Context, id string, token orders.FencingToken, apply func(x *executor, r orders.Reply) orders.Reply,
) orders.Reply {
	target := f.executor(id)
	tick.Pause(ctx, callLatency)
	f.mu.Lock()
	defer f.mu.Unlock()
	x, r := f.accept(id, target, token)
	if x == nil {
		return r
	}
	sentAt, _ := receipt(ctx, tick.Now())
	x.fence.noteCall(token, sentAt)
	return apply(x, r)
}

// Stop implements orders.Executors.
func (f *Fleet) Stop(ctx context.Context, t orders.Target, o orders.Stop) orders.Reply {
	return f.execute(ctx, t.ID, o.FencingToken, func(x *executor, r orders.Reply) orders.Reply {
		if existing, ok := x.runs[o.Run.Task]; ok && existing.run == o.Run {
			f.end(x, o.Run, orders.EndedStopped, tick.Now())
		}
		// If the run has not started yet, its start order is rejected from now on.
		x.lastEnded[o.Run.Task] = max(x.lastEnded[o.Run.Task], o.Run.Number)
		return r
	})
}

// Pace implements orders.Executors.
func (f *Fleet) Pace(ctx context.Context, t orders.Target, o orders.Pace) orders.Reply {
	return f.execute(ctx, t.ID, o.FencingToken, func(_ *executor, r orders.Reply) orders.Reply { return r })
}

// CloseConnections implements orders.Executors.
func (f *Fleet) CloseConnections(orders.Target) {}
