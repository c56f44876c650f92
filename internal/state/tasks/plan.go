package tasks

import (
	"time"

	"github.com/ibischute/ibischute/pkg/demand"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

// Kind is what an Action does.
type Kind string

// The kinds of actions.
const (
	KindStart      Kind = "start"
	KindStop       Kind = "stop"
	KindCheckpoint Kind = "checkpoint"
)

// Action is an operation that the owner of the board has to carry out.
type Action struct {
	Kind   Kind
	Task   Task
	Worker ident.Worker
	Number AttemptNumber
}

const (
	// maxActions limits the number of actions in one plan.
	maxActions = 256
	// maxStartTries limits how often a start without a response is sent.
	maxStartTries = 3
	// retryInterval is the minimum time between two requests to checkpoint or stop an attempt; a start request is
	// repeated after four intervals.
	retryInterval = time.Second
)

// IsRecovered reports whether the board tracks every attempt that may be running: all workers have responded, or the
// leases that an earlier placer granted have expired.
func (b *Board) IsRecovered(now tick.Time) bool {
	if !now.Before(b.opts.Since.Add(b.opts.Lease)) {
		return true
	}
	for _, w := range b.workers {
		if !w.hasResponded {
			return false
		}
	}
	return len(b.workers) > 0
}

// Plan returns the actions that are due and records that they are in progress.
func (b *Board) Plan(now tick.Time) []Action {
	b.expire(now)
	b.evictFromLeavingWorkers()
	out := b.planStops(now, nil)
	out = b.planRetries(now, out)
	if !b.IsRecovered(now) {
		return out
	}
	for _, t := range b.sortedPending() {
		if len(out) >= maxActions {
			break
		}
		if b.isOverQuota(t) {
			continue
		}
		w := b.pickWorker(now, t)
		if w == nil {
			b.evictFor(now, t)
			continue
		}
		b.attemptCount++
		n := AttemptNumber(uint64(b.opts.Epoch)<<epochBits | b.attemptCount)
		b.assign(t, Attempt{
			Number: n, Worker: w.Name, Until: now.Add(b.opts.Lease), Tries: 1, lastRequestAt: now,
		}, PhaseStarting)
		out = append(out, Action{Kind: KindStart, Task: *t, Worker: w.Name, Number: n})
	}
	return out
}

// expire ends the attempts whose lease has expired without a response from their worker.
func (b *Board) expire(now tick.Time) {
	for _, t := range b.awaitingExpiry {
		if !now.Before(t.Attempt.Until) {
			b.endAttempt(t)
		}
	}
}

func (b *Board) planStops(now tick.Time, out []Action) []Action {
	for _, t := range b.stopping {
		if len(out) >= maxActions || now.Sub(t.Attempt.lastRequestAt) < retryInterval {
			continue
		}
		t.Attempt.lastRequestAt = now
		kind := KindStop
		if !t.Stop && !t.isCheckpointSaved {
			kind = KindCheckpoint
		} else if t.Phase == PhaseRunning {
			b.setPhase(t, PhaseStopping)
		}
		out = append(out, Action{Kind: kind, Task: *t, Worker: t.Attempt.Worker, Number: t.Attempt.Number})
	}
	return out
}

// planRetries sends starts without a response again, with the same attempt and worker, which is idempotent.
func (b *Board) planRetries(now tick.Time, out []Action) []Action {
	for _, t := range b.awaitingExpiry {
		if t.Phase != PhaseStarting || t.Stop || t.Attempt.Tries >= maxStartTries ||
			now.Sub(t.Attempt.lastRequestAt) < 4*retryInterval {
			continue
		}
		t.Attempt.Tries++
		t.Attempt.lastRequestAt = now
		out = append(out, Action{Kind: KindStart, Task: *t, Worker: t.Attempt.Worker, Number: t.Attempt.Number})
	}
	return out
}

// pickWorker returns the worker that the task fits on and whose dominant resource would be used least.
func (b *Board) pickWorker(now tick.Time, t *Task) *workerState {
	var best *workerState
	bestUse := 0.0
	for _, w := range b.workers {
		if !w.isSchedulable(now) || t.FailedOn[w.Name] || !t.Spec.Size.Fits(w.Capacity.Minus(w.used)) {
			continue
		}
		use := dominantUse(w.used.Plus(t.Spec.Size), w.Capacity)
		if best == nil || use < bestUse || (use == bestUse && w.Name < best.Name) {
			best, bestUse = w, use
		}
	}
	return best
}

func (w *workerState) isSchedulable(now tick.Time) bool {
	return w.hasResponded && !w.isUnreachable && !w.Leaving && !now.Before(w.quarantinedUntil)
}

func dominantUse(used, capacity demand.Vector) float64 {
	return max(ratio(int64(used.CPU), int64(capacity.CPU)), ratio(int64(used.Memory), int64(capacity.Memory)),
		ratio(used.Accelerators, capacity.Accelerators))
}

func ratio(a, b int64) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}
