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

// Action is something for the board's owner to carry out.
type Action struct {
	Kind   Kind
	Task   Task
	Worker ident.Worker
	Number Number
}

const (
	// maxActions bounds the actions of one plan.
	maxActions = 256
	// maxTries bounds how often a start without an answer is sent again.
	maxTries = 3
	// retryInterval is the pause between tries of a start or a stop.
	retryInterval = time.Second
)

// IsRecovered reports whether the board knows of every attempt that may run: all workers were heard, or the leases of
// those that were not have run out.
func (b *Board) IsRecovered(now tick.Time) bool {
	if !now.Before(b.opts.Since.Add(b.opts.Lease)) {
		return true
	}
	for _, w := range b.workers {
		if !w.heard {
			return false
		}
	}
	return len(b.workers) > 0
}

// Plan returns what is to be done now and notes that it is under way.
func (b *Board) Plan(now tick.Time) []Action {
	b.expire(now)
	b.clearLeaving()
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
		w := b.pick(now, t)
		if w == nil {
			b.makeRoom(now, t)
			continue
		}
		b.count++
		n := Number(uint64(b.opts.Epoch)<<epochBits | b.count)
		b.assign(t, Attempt{Number: n, Worker: w.Name, Until: now.Add(b.opts.Lease), Tries: 1, tried: now}, PhaseStarting)
		out = append(out, Action{Kind: KindStart, Task: *t, Worker: w.Name, Number: n})
	}
	return out
}

// expire ends the attempts whose lease has run out without word from their worker.
func (b *Board) expire(now tick.Time) {
	for _, t := range b.waiting {
		if !now.Before(t.Attempt.Until) {
			b.end(t)
		}
	}
}

func (b *Board) planStops(now tick.Time, out []Action) []Action {
	for _, t := range b.stopping {
		if len(out) >= maxActions || now.Sub(t.Attempt.tried) < retryInterval {
			continue
		}
		t.Attempt.tried = now
		kind := KindStop
		if !t.Stop && !t.saved {
			kind = KindCheckpoint
		} else if t.Phase == PhaseRunning {
			b.setPhase(t, PhaseStopping)
		}
		out = append(out, Action{Kind: kind, Task: *t, Worker: t.Attempt.Worker, Number: t.Attempt.Number})
	}
	return out
}

// planRetries sends starts without an answer again: the same attempt at the same worker, which is idempotent.
func (b *Board) planRetries(now tick.Time, out []Action) []Action {
	for _, t := range b.waiting {
		if t.Phase != PhaseStarting || t.Stop || t.Attempt.Tries >= maxTries || now.Sub(t.Attempt.tried) < 4*retryInterval {
			continue
		}
		t.Attempt.Tries++
		t.Attempt.tried = now
		out = append(out, Action{Kind: KindStart, Task: *t, Worker: t.Attempt.Worker, Number: t.Attempt.Number})
	}
	return out
}

// pick returns the worker with the lowest use of its most used resource that the task fits on.
func (b *Board) pick(now tick.Time, t *Task) *workerState {
	var best *workerState
	bestUse := 0.0
	for _, w := range b.workers {
		if !w.isOpen(now) || t.FailedOn[w.Name] || !t.Spec.Size.Fits(w.Capacity.Minus(w.used)) {
			continue
		}
		use := dominantUse(w.used.Plus(t.Spec.Size), w.Capacity)
		if best == nil || use < bestUse || (use == bestUse && w.Name < best.Name) {
			best, bestUse = w, use
		}
	}
	return best
}

func (w *workerState) isOpen(now tick.Time) bool {
	return w.heard && !w.silent && !w.Leaving && !now.Before(w.quarantinedUntil)
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
