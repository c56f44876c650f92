package tasks

import (
	"time"

	"github.com/ibischute/ibischute/pkg/demand"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

// ReportedState is the state of an attempt as reported by its worker.
type ReportedState int

// The states that a worker reports.
const (
	ReportedRunning ReportedState = iota
	ReportedFinished
	ReportedFailed
	// ReportedEnded means that the attempt was stopped or that its lease has expired.
	ReportedEnded
)

// ReportedAttempt is one attempt in the list reported by a worker.
type ReportedAttempt struct {
	Key    Key
	Number AttemptNumber
	State  ReportedState
	Size   demand.Vector
	// Name distinguishes attempts that the board does not track.
	Name string
}

// Workers on which tasks of several different jobs fail are quarantined.
const (
	failedJobsToQuarantine = 3
	quarantineTime         = 30 * time.Second
)

// ApplyReport applies the list of attempts reported by a worker. The request for the list was sent at the time sent;
// attempts confirmed after that may be missing from it. renewed reports whether the request renewed the leases.
func (b *Board) ApplyReport(now, sent tick.Time, name ident.Worker, list []ReportedAttempt, renewed bool) {
	w, ok := b.workers[name]
	if !ok {
		return
	}
	w.hasResponded, w.isUnreachable, w.lastResponseAt = true, false, now
	b.clearUnknownAttempts(w)
	present := map[Key]AttemptNumber{}
	for _, s := range list {
		if s.State == ReportedRunning {
			present[s.Key] = s.Number
		}
		b.applyAttempt(now, w, s, renewed)
	}
	for k := range w.tasks {
		t := b.tasks[k]
		if t.Phase == PhaseStarting || t.Phase == PhaseFinished || !t.Attempt.Confirmed.Before(sent) {
			continue
		}
		if present[k] != t.Attempt.Number {
			b.endAttempt(t)
		}
	}
}

func (b *Board) clearUnknownAttempts(w *workerState) {
	for name, size := range w.unknownAttempts {
		w.used = w.used.Minus(size)
		delete(w.unknownAttempts, name)
	}
}

func (b *Board) applyAttempt(now tick.Time, w *workerState, s ReportedAttempt, renewed bool) {
	t, known := b.tasks[s.Key]
	isOwn := known && t.Attempt.Worker == w.Name && t.Attempt.Number == s.Number
	switch {
	case s.State == ReportedRunning && isOwn:
		b.confirm(now, t, renewed)
	case s.State == ReportedRunning && known && t.Phase == PhasePending && t.Attempt.Number == 0:
		b.adopt(now, w, t, s)
	case s.State == ReportedRunning:
		w.unknownAttempts[s.Name] = s.Size
		w.used = w.used.Plus(s.Size)
	case s.State == ReportedFinished && known && (isOwn || t.Phase == PhasePending):
		b.markFinished(t)
		clear(w.failedJobs)
	case s.State == ReportedFailed && isOwn && t.Phase != PhaseFinished:
		b.recordFailure(now, w, t)
	case s.State == ReportedEnded && isOwn && t.Phase != PhaseFinished:
		b.endAttempt(t)
	}
}

// confirm records that the worker runs the attempt.
func (b *Board) confirm(now tick.Time, t *Task, renewed bool) {
	if t.Phase == PhaseStarting || t.Phase == PhaseUnconfirmed {
		b.setPhase(t, PhaseRunning)
	}
	if t.Attempt.Confirmed == 0 {
		t.Attempt.Confirmed = now
	}
	if renewed {
		t.Attempt.Until = now.Add(b.opts.Lease)
	}
}

// adopt tracks an attempt that an earlier placer started. The expiry of its lease is unknown, so a full lease is
// assumed.
func (b *Board) adopt(now tick.Time, w *workerState, t *Task, s ReportedAttempt) {
	b.assign(t, Attempt{Number: s.Number, Worker: w.Name, Until: now.Add(b.opts.Lease), Confirmed: now}, PhaseRunning)
}

func (b *Board) markFinished(t *Task) {
	b.release(t)
	b.setPhase(t, PhaseFinished)
	delete(b.pending, t.Spec.Key)
	delete(b.stopping, t.Spec.Key)
	b.finished[t.Spec.Key] = t
}

func (b *Board) recordFailure(now tick.Time, w *workerState, t *Task) {
	t.FailedOn[w.Name] = true
	w.failedJobs[t.Spec.Key.Job] = true
	if len(w.failedJobs) >= failedJobsToQuarantine {
		b.quarantine(now, w)
	}
	b.endAttempt(t)
	if limit := b.opts.Policy.MaxFailures; limit > 0 && len(t.FailedOn) >= limit && b.tasks[t.Spec.Key] == t {
		delete(b.pending, t.Spec.Key)
		b.exhausted[t.Spec.Key] = t
	}
}

// quarantine takes a worker on which tasks of several jobs failed out of use for quarantineTime. Its failures do not
// count against the tasks, because the worker is the likely cause. After the quarantine the worker is used again, and
// its failures are counted from zero.
func (b *Board) quarantine(now tick.Time, w *workerState) {
	w.quarantinedUntil = now.Add(quarantineTime)
	for k := range w.failedJobs {
		delete(w.failedJobs, k)
	}
	for _, t := range b.tasks {
		delete(t.FailedOn, w.Name)
	}
	for k, t := range b.exhausted {
		if len(t.FailedOn) < b.opts.Policy.MaxFailures {
			delete(b.exhausted, k)
			b.pending[k] = t
		}
	}
}

// ReachedMaxFailures returns the tasks that have failed on the maximum number of workers that the policy allows.
func (b *Board) ReachedMaxFailures() []Task {
	out := make([]Task, 0, len(b.exhausted))
	for _, t := range b.exhausted {
		out = append(out, *t)
	}
	return out
}

// Quarantined returns the workers that are quarantined, in sorted order.
func (b *Board) Quarantined(now tick.Time) []ident.Worker {
	var out []ident.Worker
	for _, name := range b.Workers() {
		if now.Before(b.workers[name].quarantinedUntil) {
			out = append(out, name)
		}
	}
	return out
}

// Unreachable records that a worker did not respond. A renewal in the request may have reached the worker nevertheless,
// so its leases are then tracked as renewed.
func (b *Board) Unreachable(now tick.Time, name ident.Worker, renewalSent bool) {
	w, ok := b.workers[name]
	if !ok {
		return
	}
	w.isUnreachable = true
	for k := range w.tasks {
		t := b.tasks[k]
		if t.Phase == PhaseRunning {
			b.setPhase(t, PhaseUnconfirmed)
			if renewalSent {
				t.Attempt.Until = now.Add(b.opts.Lease)
			}
		}
	}
}

// Started records the outcome of a start request. If the worker rejected the first request with CodeConflict, the task
// counts as failed on the worker.
func (b *Board) Started(now tick.Time, k Key, n AttemptNumber, err error) {
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
		b.endAttempt(t)
	default:
		t.Attempt.Until = now.Add(b.opts.Lease)
	}
}

// Stopped records the outcome of a stop request.
func (b *Board) Stopped(k Key, n AttemptNumber, err error) {
	t, ok := b.tasks[k]
	if !ok || t.Attempt.Number != n {
		return
	}
	if err == nil || fault.IsErrCode(err, fault.CodeConflict) {
		b.endAttempt(t)
	}
}

// Renewals returns the attempts on a worker whose leases are to be renewed. It returns none while the worker is
// unreachable, so that the leases expire in bounded time.
func (b *Board) Renewals(name ident.Worker) map[Key]AttemptNumber {
	w, ok := b.workers[name]
	if !ok || w.isUnreachable {
		return nil
	}
	out := map[Key]AttemptNumber{}
	for k := range w.tasks {
		if t := b.tasks[k]; t.Phase == PhaseRunning && !t.Stop {
			out[k] = t.Attempt.Number
		}
	}
	return out
}

// Finished returns the tasks whose completion is still to be recorded.
func (b *Board) Finished() []Task {
	out := make([]Task, 0, len(b.finished))
	for _, t := range b.finished {
		out = append(out, *t)
	}
	return out
}
