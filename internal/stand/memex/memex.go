// Package memex is a stand-in for executors that runs in the process. It records every task that runs twice at a time
// or after it was done.
//
// # Usage
//
//	f := memex.New()
//	f.Add("x1")
//	reply := f.Reach().Start(ctx, orders.Target{ID: "x1"}, order)
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
	latency = time.Millisecond
	// workTime is how long each task works.
	workTime = 400 * time.Millisecond
	// pollInterval is how often a waiting hold looks for ends.
	pollInterval = 5 * time.Millisecond
)

type running struct {
	run  orders.Run
	till tick.Time
}

type executor struct {
	bornMS   int64
	bornAt   tick.Time
	epoch    uint64
	count    uint64
	deadline int64
	runs     map[orders.Task]running
	// over has the highest run of each task that has ended there.
	over  map[orders.Task]uint64
	ended []orders.Ended
}

// Fleet is a set of executors.
type Fleet struct {
	mu        sync.Mutex
	executors map[string]*executor
	done      map[orders.Task]bool
	// begun are the jobs of which a task was started.
	begun      map[string]bool
	violations []string
	starts     int
}

// New returns a Fleet without executors.
func New() *Fleet {
	return &Fleet{executors: map[string]*executor{}, done: map[orders.Task]bool{}, begun: map[string]bool{}}
}

// Add starts an executor.
func (f *Fleet) Add(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := tick.Now()
	f.executors[id] = &executor{
		bornMS: int64(now), bornAt: now, runs: map[orders.Task]running{}, over: map[orders.Task]uint64{},
	}
}

// Violations returns what was seen that must not be.
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

// Begun reports whether a task of the job was started.
func (f *Fleet) Begun(job string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.begun[job]
}

// Done reports whether a run of the task has ended as done.
func (f *Fleet) Done(t orders.Task) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, x := range f.executors {
		f.advance(x, tick.Now())
	}
	return f.done[t]
}

// Born returns the start of an executor's process.
func (f *Fleet) Born(id string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.executors[id].bornMS
}

// Running returns how many runs there are.
func (f *Fleet) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, x := range f.executors {
		n += len(x.runs)
	}
	return n
}

func (x *executor) clock(now tick.Time) int64 { return int64(now.Sub(x.bornAt) / time.Millisecond) }

// advance ends what is done or has lapsed.
func (f *Fleet) advance(x *executor, now tick.Time) {
	for t, r := range x.runs {
		how := orders.EndedDone
		switch {
		case !now.Before(r.till):
			f.done[t] = true
		case x.clock(now) >= x.deadline:
			how = orders.EndedLapsed
		default:
			continue
		}
		x.end(r.run, how)
	}
}

// end lists the end of a run.
func (x *executor) end(r orders.Run, how orders.Ending) {
	delete(x.runs, r.Task)
	x.over[r.Task] = max(x.over[r.Task], r.Number)
	x.count++
	x.ended = append(x.ended, orders.Ended{Number: x.count, Run: r, How: how})
}

// call finds the executor and checks the epoch. The caller holds the mutex.
func (f *Fleet) call(id string, epoch uint64) (*executor, orders.Reply) {
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

// order carries out an order at an executor, unless a lead of a higher epoch has called it.
func (f *Fleet) order(
	ctx context.Context, id string, epoch uint64, carryOut func(x *executor, r orders.Reply) orders.Reply,
) orders.Reply {
	tick.Pause(ctx, latency)
	f.mu.Lock()
	defer f.mu.Unlock()
	x, r := f.call(id, epoch)
	if x == nil {
		return r
	}
	return carryOut(x, r)
}

// Start implements orders.Executors.
func (f *Fleet) Start(ctx context.Context, t orders.Target, o orders.Start) orders.Reply {
	return f.order(ctx, t.ID, o.Epoch, func(x *executor, r orders.Reply) orders.Reply {
		had, isThere := x.runs[o.Run.Task]
		switch {
		case isThere && had.run == o.Run:
		case o.Run.Number <= x.over[o.Run.Task]:
			r.Outcome = orders.Outdated
		case o.DeadlineMS <= r.ClockMS:
			r.Outcome = orders.Late
		default:
			f.begin(t.ID, x, o)
		}
		return r
	})
}

func (f *Fleet) begin(id string, x *executor, o orders.Start) {
	f.check(id, o.Run)
	f.starts++
	f.begun[o.Run.Task.Job] = true
	x.deadline = max(x.deadline, o.DeadlineMS)
	x.runs[o.Run.Task] = running{run: o.Run, till: tick.Now().Add(workTime)}
}

func (f *Fleet) check(id string, run orders.Run) {
	now := tick.Now()
	if f.done[run.Task] {
		f.violations = append(f.violations, fmt.Sprintf("%v starts on %s after it was done", run, id))
	}
	for other, y := range f.executors {
		f.advance(y, now)
		if r, ok := y.runs[run.Task]; ok {
			f.violations = append(f.violations, fmt.Sprintf("%v starts on %s beside %v on %s", run, id, r.run, other))
		}
	}
}

// Stop implements orders.Executors.
func (f *Fleet) Stop(ctx context.Context, t orders.Target, o orders.Stop) orders.Reply {
	return f.order(ctx, t.ID, o.Epoch, func(x *executor, r orders.Reply) orders.Reply {
		if had, ok := x.runs[o.Run.Task]; ok && had.run == o.Run {
			x.end(o.Run, orders.EndedStopped)
		}
		// A run that is not there yet is rejected from now on.
		x.over[o.Run.Task] = max(x.over[o.Run.Task], o.Run.Number)
		return r
	})
}

// Pace implements orders.Executors.
func (f *Fleet) Pace(ctx context.Context, t orders.Target, o orders.Pace) orders.Reply {
	return f.order(ctx, t.ID, o.Epoch, func(_ *executor, r orders.Reply) orders.Reply { return r })
}

// Hold implements orders.Executors.
func (f *Fleet) Hold(ctx context.Context, t orders.Target, o orders.Hold) (orders.Lists, orders.Reply) {
	tick.Pause(ctx, latency)
	until := tick.Now().Add(o.Wait)
	for {
		l, r := f.hold(t, o)
		if r.Outcome != orders.Done || len(l.Ended) > 0 || !tick.Now().Before(until) || ctx.Err() != nil {
			return l, r
		}
		tick.Pause(ctx, pollInterval)
	}
}

func (f *Fleet) hold(t orders.Target, o orders.Hold) (orders.Lists, orders.Reply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	x, r := f.call(t.ID, o.Epoch)
	if x == nil {
		return orders.Lists{}, r
	}
	x.deadline = max(x.deadline, o.DeadlineMS)
	for len(x.ended) > 0 && x.ended[0].Number <= o.AckCursor {
		x.ended = x.ended[1:]
	}
	l := orders.Lists{BornMS: x.bornMS, Ended: append([]orders.Ended(nil), x.ended...)}
	for _, had := range x.runs {
		l.Running = append(l.Running, orders.Running{Run: had.run})
	}
	return l, r
}

// Forget implements orders.Executors.
func (f *Fleet) Forget(orders.Target) {}
