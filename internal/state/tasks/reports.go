package tasks

import (
	"time"

	"github.com/ibischute/ibischute/pkg/demand"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

// SeenState is what a worker says about an attempt.
type SeenState int

// The states that a worker reports.
const (
	SeenRunning SeenState = iota
	SeenFinished
	SeenFailed
	SeenEnded
)

// Seen is one attempt in a worker's list.
type Seen struct {
	Key    Key
	Number Number
	State  SeenState
	Size   demand.Vector
	// Name tells strangers apart.
	Name string
}

// quarantine of workers that fail what they start.
const (
	failedJobsToQuarantine = 3
	quarantineTime         = 30 * time.Second
)

// Listed takes in a worker's list. The request for it was sent at the time given; what was confirmed later may be
// missing from the list. Leases were renewed if renewed is true.
func (b *Board) Listed(now, sent tick.Time, name ident.Worker, list []Seen, renewed bool) {
	w, ok := b.workers[name]
	if !ok {
		return
	}
	w.heard, w.silent, w.heardAt = true, false, now
	b.dropStrangers(w)
	present := map[Key]Number{}
	for _, s := range list {
		if s.State == SeenRunning {
			present[s.Key] = s.Number
		}
		b.see(now, w, s, renewed)
	}
	for k := range w.tasks {
		t := b.tasks[k]
		if t.Phase == PhaseStarting || t.Phase == PhaseFinished || !t.Attempt.Confirmed.Before(sent) {
			continue
		}
		if present[k] != t.Attempt.Number {
			b.end(t)
		}
	}
}

func (b *Board) dropStrangers(w *workerState) {
	for name, size := range w.strangers {
		w.used = w.used.Minus(size)
		delete(w.strangers, name)
	}
}

func (b *Board) see(now tick.Time, w *workerState, s Seen, renewed bool) {
	t, known := b.tasks[s.Key]
	isOwn := known && t.Attempt.Worker == w.Name && t.Attempt.Number == s.Number
	switch {
	case s.State == SeenRunning && isOwn:
		b.confirm(now, t, renewed)
	case s.State == SeenRunning && known && t.Phase == PhasePending && t.Attempt.Number == 0:
		b.adopt(now, w, t, s)
	case s.State == SeenRunning:
		w.strangers[s.Name] = s.Size
		w.used = w.used.Plus(s.Size)
	case s.State == SeenFinished && known && (isOwn || t.Phase == PhasePending):
		b.finish(t)
		clear(w.failedJobs)
	case s.State == SeenFailed && isOwn && t.Phase != PhaseFinished:
		b.failed(now, w, t)
	case s.State == SeenEnded && isOwn && t.Phase != PhaseFinished:
		b.end(t)
	}
}

// confirm notes that the worker runs the attempt.
func (b *Board) confirm(now tick.Time, t *Task, renewed bool) {
	if t.Phase == PhaseStarting || t.Phase == PhaseUncertain {
		b.setPhase(t, PhaseRunning)
	}
	if t.Attempt.Confirmed == 0 {
		t.Attempt.Confirmed = now
	}
	if renewed {
		t.Attempt.Until = now.Add(b.opts.Lease)
	}
}

// adopt takes over an attempt that an earlier placer started. How long its lease runs is not known.
func (b *Board) adopt(now tick.Time, w *workerState, t *Task, s Seen) {
	b.assign(t, Attempt{Number: s.Number, Worker: w.Name, Until: now.Add(b.opts.Lease), Confirmed: now}, PhaseRunning)
}

func (b *Board) finish(t *Task) {
	b.release(t)
	b.setPhase(t, PhaseFinished)
	delete(b.pending, t.Spec.Key)
	delete(b.stopping, t.Spec.Key)
	b.finished[t.Spec.Key] = t
}

func (b *Board) failed(now tick.Time, w *workerState, t *Task) {
	t.FailedOn[w.Name] = true
	w.failedJobs[t.Spec.Key.Job] = true
	if len(w.failedJobs) >= failedJobsToQuarantine {
		b.quarantine(now, w)
	}
	b.end(t)
	if most := b.opts.Policy.MaxFailures; most > 0 && len(t.FailedOn) >= most && b.tasks[t.Spec.Key] == t {
		delete(b.pending, t.Spec.Key)
		b.hopeless[t.Spec.Key] = t
	}
}

// quarantine rests a worker on which different jobs fail. That they failed there tells nothing about the jobs, so that
// tasks may be tried elsewhere as if they had not. After the rest the next task is the probe.
func (b *Board) quarantine(now tick.Time, w *workerState) {
	w.quarantinedUntil = now.Add(quarantineTime)
	for k := range w.failedJobs {
		delete(w.failedJobs, k)
	}
	for _, t := range b.tasks {
		delete(t.FailedOn, w.Name)
	}
	for k, t := range b.hopeless {
		if len(t.FailedOn) < b.opts.Policy.MaxFailures {
			delete(b.hopeless, k)
			b.pending[k] = t
		}
	}
}

// Hopeless returns the tasks that failed on as many workers as the policy allows.
func (b *Board) Hopeless() []Task {
	out := make([]Task, 0, len(b.hopeless))
	for _, t := range b.hopeless {
		out = append(out, *t)
	}
	return out
}

// Quarantined returns the workers that rest because different jobs failed on them.
func (b *Board) Quarantined(now tick.Time) []ident.Worker {
	var out []ident.Worker
	for _, name := range b.Workers() {
		if now.Before(b.workers[name].quarantinedUntil) {
			out = append(out, name)
		}
	}
	return out
}

// Unreachable takes in that a worker did not answer. A renewal that was sent may have reached it all the same.
func (b *Board) Unreachable(now tick.Time, name ident.Worker, renewing bool) {
	w, ok := b.workers[name]
	if !ok {
		return
	}
	w.silent = true
	for k := range w.tasks {
		t := b.tasks[k]
		if t.Phase == PhaseRunning {
			b.setPhase(t, PhaseUncertain)
			if renewing {
				t.Attempt.Until = now.Add(b.opts.Lease)
			}
		}
	}
}

// Started takes in the outcome of a start.
func (b *Board) Started(now tick.Time, k Key, n Number, err error) {
	t, ok := b.tasks[k]
	if !ok || t.Attempt.Number != n || t.Phase != PhaseStarting {
		return
	}
	switch {
	case err == nil:
		b.confirm(now, t, true)
		t.Attempt.Until = now.Add(b.opts.Lease)
	case fault.IsErrNotRun(err) && t.Attempt.Tries == 1:
		if fault.IsErrCode(err, fault.CodeConflict) {
			t.FailedOn[t.Attempt.Worker] = true
		}
		b.end(t)
	default:
		t.Attempt.Until = now.Add(b.opts.Lease)
	}
}

// Stopped takes in the outcome of a stop.
func (b *Board) Stopped(k Key, n Number, err error) {
	t, ok := b.tasks[k]
	if !ok || t.Attempt.Number != n {
		return
	}
	if err == nil || fault.IsErrCode(err, fault.CodeConflict) {
		b.end(t)
	}
}

// Renewals returns the attempts on a worker whose leases are to be extended. None is while the worker is silent, so
// that they run out in bounded time.
func (b *Board) Renewals(name ident.Worker) map[Key]Number {
	w, ok := b.workers[name]
	if !ok || w.silent {
		return nil
	}
	out := map[Key]Number{}
	for k := range w.tasks {
		if t := b.tasks[k]; t.Phase == PhaseRunning && !t.Stop {
			out[k] = t.Attempt.Number
		}
	}
	return out
}

// Finished returns the tasks whose success is to be recorded.
func (b *Board) Finished() []Task {
	out := make([]Task, 0, len(b.finished))
	for _, t := range b.finished {
		out = append(out, *t)
	}
	return out
}
