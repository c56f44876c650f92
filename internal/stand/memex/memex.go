// Package memex is an in-process stand-in for executors. It records a violation when a task runs twice at the same time
// or again after it is done.
//
// # Usage
//
//	f := memex.New()
//	f.Add("x1")
//	reply := f.Start(ctx, orders.Target{ID: "x1"}, order)
package memex

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	callLatency = time.Millisecond
	// taskDuration is how long each task runs.
	taskDuration = 400 * time.Millisecond
	// pollInterval is how often a waiting hold checks for ended runs.
	pollInterval = 5 * time.Millisecond
)

type activeRun struct {
	run    orders.Run
	endsAt tick.Time
}

type executor struct {
	incarnation  int64
	startedAt    tick.Time
	epoch        uint64
	endCount     uint64
	leaseUntilMS int64
	runs         map[orders.Task]activeRun
	// lastEnded is, by task, the highest run number that has ended or was stopped on this executor.
	lastEnded   map[orders.Task]uint64
	unackedEnds []orders.EndedRun
}

// Fleet is a set of in-process executors.
type Fleet struct {
	mu        sync.Mutex
	executors map[string]*executor
	done      map[orders.Task]bool
	// startedJobs are the jobs of which at least one task was started.
	startedJobs map[string]bool
	violations  []string
	starts      int
}

// New returns a Fleet without executors.
func New() *Fleet {
	return &Fleet{executors: map[string]*executor{}, done: map[orders.Task]bool{}, startedJobs: map[string]bool{}}
}

// Add starts an executor with the id.
func (f *Fleet) Add(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := tick.Now()
	f.executors[id] = &executor{
		incarnation: int64(now), startedAt: now, runs: map[orders.Task]activeRun{}, lastEnded: map[orders.Task]uint64{},
	}
}

// Violations returns the violations recorded so far.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.violations
}

// Starts returns how many runs were started.
func (f *Fleet) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// HasStarted returns whether at least one task of the job was started.
func (f *Fleet) HasStarted(job string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startedJobs[job]
}

// IsDone returns whether a run of the task has completed.
func (f *Fleet) IsDone(t orders.Task) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, x := range f.executors {
		f.advance(x, tick.Now())
	}
	return f.done[t]
}

// Incarnation returns the incarnation of an executor. An executor that is started later has a higher one.
func (f *Fleet) Incarnation(id string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.executors[id].incarnation
}

// Running returns how many runs are running on all executors.
func (f *Fleet) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, x := range f.executors {
		n += len(x.runs)
	}
	return n
}

// clock returns the time since the start of the executor in milliseconds.
func (x *executor) clock(now tick.Time) int64 { return int64(now.Sub(x.startedAt) / time.Millisecond) }

// advance ends the runs that are done and, once the executor's lease has expired, all others.
func (f *Fleet) advance(x *executor, now tick.Time) {
	for t, r := range x.runs {
		reason := orders.EndedDone
		switch {
		case !now.Before(r.endsAt):
			f.done[t] = true
		case x.clock(now) >= x.leaseUntilMS:
			reason = orders.EndedLeaseExpired
		default:
			continue
		}
		x.end(r.run, reason)
	}
}

// end removes a run and adds it to the ends that wait for acknowledgement.
func (x *executor) end(r orders.Run, reason orders.EndReason) {
	delete(x.runs, r.Task)
	x.lastEnded[r.Task] = max(x.lastEnded[r.Task], r.Number)
	x.endCount++
	x.unackedEnds = append(x.unackedEnds, orders.EndedRun{Cursor: x.endCount, Run: r, Reason: reason})
}

// accept returns the executor unless it is unknown or has seen a higher epoch, and raises its epoch. The caller
// holds the mutex.
func (f *Fleet) accept(id string, epoch uint64) (*executor, orders.Reply) {
	x, ok := f.executors[id]
	if !ok {
		return nil, orders.Reply{Outcome: orders.NotSent}
	}
	now := tick.Now()
	f.advance(x, now)
	r := orders.Reply{Outcome: orders.Done, ClockMS: x.clock(now)}
	if epoch < x.epoch {
		r.Outcome = orders.Fenced
		return nil, r
	}
	x.epoch = epoch
	return x, r
}

// execute applies an order to an executor, unless a leader with a higher epoch has already called the executor.
func (f *Fleet) execute(
	ctx context.Context, id string, epoch uint64, apply func(x *executor, r orders.Reply) orders.Reply,
) orders.Reply {
	tick.Pause(ctx, callLatency)
	f.mu.Lock()
	defer f.mu.Unlock()
	x, r := f.accept(id, epoch)
	if x == nil {
		return r
	}
	return apply(x, r)
}

// Start implements orders.Executors.
func (f *Fleet) Start(ctx context.Context, t orders.Target, o orders.Start) orders.Reply {
	return f.execute(ctx, t.ID, o.Epoch, func(x *executor, r orders.Reply) orders.Reply {
		existing, isRunning := x.runs[o.Run.Task]
		switch {
		case isRunning && existing.run == o.Run:
		case o.Run.Number <= x.lastEnded[o.Run.Task]:
			r.Outcome = orders.Outdated
		case o.DeadlineMS <= r.ClockMS:
			r.Outcome = orders.Late
		default:
			f.beginRun(t.ID, x, o)
		}
		return r
	})
}

func (f *Fleet) beginRun(id string, x *executor, o orders.Start) {
	f.checkStart(id, o.Run)
	f.starts++
	f.startedJobs[o.Run.Task.Job] = true
	x.leaseUntilMS = max(x.leaseUntilMS, o.DeadlineMS)
	x.runs[o.Run.Task] = activeRun{run: o.Run, endsAt: tick.Now().Add(taskDuration)}
}

// checkStart records a violation if the task is already done or is running on any executor.
func (f *Fleet) checkStart(id string, run orders.Run) {
	now := tick.Now()
	if f.done[run.Task] {
		f.violations = append(f.violations, fmt.Sprintf("%v started on %s after its task was done", run, id))
	}
	for otherID, otherExecutor := range f.executors {
		f.advance(otherExecutor, now)
		if r, ok := otherExecutor.runs[run.Task]; ok {
			f.violations = append(f.violations, fmt.Sprintf("%v started on %s while %v runs on %s", run, id, r.run, otherID))
		}
	}
}

// Stop implements orders.Executors.
func (f *Fleet) Stop(ctx context.Context, t orders.Target, o orders.Stop) orders.Reply {
	return f.execute(ctx, t.ID, o.Epoch, func(x *executor, r orders.Reply) orders.Reply {
		if existing, ok := x.runs[o.Run.Task]; ok && existing.run == o.Run {
			x.end(o.Run, orders.EndedStopped)
		}
		// If the run has not started yet, its start order is rejected from now on.
		x.lastEnded[o.Run.Task] = max(x.lastEnded[o.Run.Task], o.Run.Number)
		return r
	})
}

// Pace implements orders.Executors.
func (f *Fleet) Pace(ctx context.Context, t orders.Target, o orders.Pace) orders.Reply {
	return f.execute(ctx, t.ID, o.Epoch, func(_ *executor, r orders.Reply) orders.Reply { return r })
}

// Hold implements orders.Executors.
func (f *Fleet) Hold(ctx context.Context, t orders.Target, o orders.Hold) (orders.Lists, orders.Reply) {
	tick.Pause(ctx, callLatency)
	until := tick.Now().Add(o.Wait)
	for {
		l, r := f.tryHold(t, o)
		if r.Outcome != orders.Done || len(l.Ended) > 0 || !tick.Now().Before(until) || ctx.Err() != nil {
			return l, r
		}
		tick.Pause(ctx, pollInterval)
	}
}

func (f *Fleet) tryHold(t orders.Target, o orders.Hold) (orders.Lists, orders.Reply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	x, r := f.accept(t.ID, o.Epoch)
	if x == nil {
		return orders.Lists{}, r
	}
	x.leaseUntilMS = max(x.leaseUntilMS, o.DeadlineMS)
	for len(x.unackedEnds) > 0 && x.unackedEnds[0].Cursor <= o.AckCursor {
		x.unackedEnds = x.unackedEnds[1:]
	}
	l := orders.Lists{StartedMS: x.incarnation, Ended: append([]orders.EndedRun(nil), x.unackedEnds...)}
	for _, active := range x.runs {
		l.Running = append(l.Running, orders.Running{Run: active.run})
	}
	return l, r
}

// CloseConnections implements orders.Executors.
func (f *Fleet) CloseConnections(orders.Target) {}
