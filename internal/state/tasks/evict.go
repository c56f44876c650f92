package tasks

import (
	"cmp"
	"slices"
	"time"

	"github.com/ibischute/ibischute/pkg/demand"
	"github.com/ibischute/ibischute/pkg/tick"
)

// maxVictims bounds the evictions for one urgent task.
const maxVictims = 8

// evictions is the budget of evictions: it fills by the hour and holds at most a tenth of an hour's worth, one at
// least.
type evictions struct {
	perHour int
	tokens  float64
	at      tick.Time
}

func (e *evictions) available(now tick.Time) int {
	full := max(1, float64(e.perHour)/10)
	if e.perHour == 0 {
		return 0
	}
	if e.at == 0 {
		e.tokens = full
	} else {
		e.tokens = min(full, e.tokens+now.Sub(e.at).Hours()*float64(e.perHour))
	}
	e.at = now
	return int(e.tokens)
}

// Evict asks for a checkpoint of a running task and its end; it reports whether the task runs.
func (b *Board) Evict(k Key) bool {
	t, ok := b.tasks[k]
	if !ok || t.Phase != PhaseRunning || t.Evict || t.Stop {
		return false
	}
	t.Evict = true
	b.stopping[k] = t
	return true
}

// Saved takes in that the checkpoint of an evicted task is in the log; only then is the attempt stopped.
func (b *Board) Saved(k Key, n Number, reference string) {
	t, ok := b.tasks[k]
	if !ok || t.Attempt.Number != n || !t.Evict {
		return
	}
	t.Spec.Checkpoint, t.saved = reference, true
	t.Attempt.tried = 0
}

// clearLeaving evicts what runs on workers that are leaving, which costs no budget.
func (b *Board) clearLeaving() {
	for _, w := range b.workers {
		if !w.Leaving || w.silent {
			continue
		}
		for k := range w.tasks {
			b.Evict(k)
		}
	}
}

func (b *Board) isOverQuota(t *Task) bool {
	if b.opts.Policy.MaxCPU == nil {
		return false
	}
	most := b.opts.Policy.MaxCPU(t.Spec.Team)
	return most > 0 && b.fair.used[t.Spec.Team]+t.Spec.Size.CPU > most
}

// makeRoom evicts the fewest and smallest tasks that are not urgent from one worker, so that an urgent task fits there,
// if the budget allows it. While evictions for the task are under way it waits for them.
func (b *Board) makeRoom(now tick.Time, t *Task) {
	if !t.Spec.Urgent || now.Sub(t.askedRoom) < roomInterval && t.askedRoom != 0 {
		return
	}
	var best []*Task
	for _, w := range b.workers {
		if !w.isOpen(now) || t.FailedOn[w.Name] {
			continue
		}
		victims := b.victims(w, t.Spec.Size)
		if victims != nil && (best == nil || cost(victims) < cost(best)) {
			best = victims
		}
	}
	if len(best) == 0 || len(best) > b.evicted.available(now) {
		return
	}
	t.askedRoom = now
	b.evicted.tokens -= float64(len(best))
	for _, v := range best {
		b.Evict(v.Spec.Key)
	}
}

// roomInterval is how long an urgent task waits for the room that was made for it.
const roomInterval = 3 * time.Second

// victims returns tasks of the worker whose end lets the size fit, or nil.
func (b *Board) victims(w *workerState, size demand.Vector) []*Task {
	var candidates []*Task
	for k := range w.tasks {
		if t := b.tasks[k]; t.Phase == PhaseRunning && !t.Spec.Urgent && !t.Evict && !t.Stop {
			candidates = append(candidates, t)
		}
	}
	slices.SortFunc(candidates, func(x, y *Task) int {
		if c := cmp.Compare(y.Spec.Size.CPU, x.Spec.Size.CPU); c != 0 {
			return c
		}
		return cmp.Compare(y.Attempt.Confirmed, x.Attempt.Confirmed)
	})
	free := w.Capacity.Minus(w.used)
	var out []*Task
	for _, c := range candidates {
		if len(out) >= maxVictims {
			return nil
		}
		free = free.Plus(c.Spec.Size)
		out = append(out, c)
		if size.Fits(free) {
			return out
		}
	}
	return nil
}

// cost weighs victims by their number, then by their processors.
func cost(victims []*Task) float64 {
	sum := 0.0
	for _, v := range victims {
		sum += victimCost + float64(v.Spec.Size.CPU)
	}
	return sum
}

// victimCost makes one victim more cost more than any size.
const victimCost = 1e9
