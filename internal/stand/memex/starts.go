package memex

import (
	"context"
	"slices"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

// Start implements orders.Executors.
func (f *Fleet) Start(ctx context.Context, t orders.Target, o orders.Start) orders.Reply {
	return f.execute(ctx, t.ID, o.FencingToken, func(x *executor, r orders.Reply) orders.Reply {
		existing, isRunning := x.runs[o.Run.Task]
		switch {
		case o.StartedMS != 0 && o.StartedMS != x.incarnation:
			r = orders.Reply{Outcome: orders.OtherProcess}
		case isRunning && existing.run == o.Run:
		case o.Run.Number <= x.lastEnded[o.Run.Task]:
			x.extendLease(r.ClockMS, o.DeadlineMS)
			r.Outcome = orders.Outdated
		case o.DeadlineMS <= r.ClockMS:
			r.Outcome = orders.Late
		case !x.isUnenforced && !x.hasRoom(ParseBehavior(o.Spec)):
			x.extendLease(r.ClockMS, o.DeadlineMS)
			r.Outcome = orders.InsufficientResources
		default:
			f.beginRun(t.ID, x, o, r.ClockMS, newOrigin(ctx, x, o, tick.Now()))
		}
		return r
	})
}

// extendLease extends the lease to the deadline, but to at most maxLeaseMS from now on.
func (x *executor) extendLease(clockMS, deadlineMS int64) {
	x.leaseUntilMS = max(x.leaseUntilMS, min(deadlineMS, clockMS+maxLeaseMS))
}

// hasRoom reports whether the executor's free capacity covers a task.
func (x *executor) hasRoom(b Behavior) bool {
	if x.capacity == nil {
		return true
	}
	return x.free(*x.capacity).covers(b.Capacity)
}

func (f *Fleet) beginRun(id string, x *executor, o orders.Start, clockMS int64, from origin) {
	b := ParseBehavior(o.Spec)
	f.trace("%v starts on %s, token %d, deadline %d at clock %d, late %v, unfenced %v",
		o.Run, id, o.FencingToken, o.DeadlineMS, clockMS, from.isLate, from.isUnfenced)
	f.checkStart(id, x, o.Run, b, from)
	f.checkCapacity(id, x, o, b, from)
	if from.isUnfenced {
		x.unfenced[o.Run] = true
	}
	f.starts++
	f.startsOn[id]++
	f.startedJobs[o.Run.Task.Job] = true
	x.extendLease(clockMS, o.DeadlineMS)
	h := f.task(o.Run.Task)
	h.runs++
	r := activeRun{run: o.Run, behavior: b, startedAt: tick.Now()}
	duration, reason := h.draw(b, f.seed, o.Run.Task, f.areFailuresOff)
	if duration > 0 {
		r.endsAt, r.endReason = r.startedAt.Add(duration), reason
	}
	x.runs[o.Run.Task] = r
	if r.endsAt != 0 {
		x.noEndBefore = min(x.noEndBefore, r.endsAt)
	}
	if b.CrashesAfter > 0 {
		f.scheduleCrash(id, x, r)
	}
}

// checkStart records a violation if the task must not run again, is running on any executor, requires a label that this
// one has not, or exceeds the number of tasks of its step that may run there. Nothing tells a late start apart that the
// next process carries out.
func (f *Fleet) checkStart(id string, x *executor, run orders.Run, b Behavior, from origin) {
	h := f.task(run.Task)
	isUnfenced := from.isLate && from.isUnfenced
	f.advanceAll(tick.Now())
	if h.isDone() {
		f.reportViolation(isUnfenced || f.mayIgnoreDone(run.Task, from),
			"%v started on %s after its task was done%s", run, id, f.unreadDone(run.Task))
	}
	if b.MaxAttempts > 0 && h.ackedFailures >= b.MaxAttempts {
		f.reportViolation(isUnfenced, "%v started on %s after %d failed runs", run, id, h.ackedFailures)
	}
	if b.RequiresLabel != "" && !slices.Contains(x.labels, b.RequiresLabel) {
		f.reportViolation(from.isLate, "%v started on %s with the labels %v, it requires %s", run, id, x.labels,
			b.RequiresLabel)
	}
	f.checkCrashes(id, run)
	if b.MaxPerExecutor > 0 {
		if n := x.countStep(run.Task); n >= b.MaxPerExecutor {
			f.reportViolation(isUnfenced || x.mayIgnoreStep(run.Task, from),
				"%v started on %s beside %d tasks of its step", run, id, n)
		}
	}
	for otherID, otherExecutor := range f.executors {
		if r, ok := otherExecutor.runs[run.Task]; ok {
			f.reportViolation(isUnfenced || otherExecutor.mayIgnoreRun(r.run, from),
				"%v started on %s while %v runs on %s", run, id, r.run, otherID)
		}
	}
}

// countStep returns the number of runs of tasks of the same step.
func (x *executor) countStep(t orders.Task) int {
	n := 0
	for o := range x.runs {
		if o.Job == t.Job && o.Occurrence == t.Occurrence && o.Step == t.Step {
			n++
		}
	}
	return n
}
