package tasks

import (
	"cmp"
	"slices"
	"time"

	"github.com/ibischute/ibischute/pkg/demand"
	"github.com/ibischute/ibischute/pkg/tick"
)

// maxVictims limits the number of evictions for one urgent task.
const maxVictims = 8

// evictionBudget is a token bucket that is refilled at the hourly rate and holds at most a tenth of an hour's
// evictions, but at least one.
type evictionBudget struct {
	perHour    int
	tokens     float64
	refilledAt tick.Time
}

func (e *evictionBudget) available(now tick.Time) int {
	maxTokens := max(1, float64(e.perHour)/10)
	if e.perHour == 0 {
		return 0
	}
	if e.refilledAt == 0 {
		e.tokens = maxTokens
	} else {
		e.tokens = min(maxTokens, e.tokens+now.Sub(e.refilledAt).Hours()*float64(e.perHour))
	}
	e.refilledAt = now
	return int(e.tokens)
}

// Evict requests a checkpoint and then the stop of a running task. It reports whether the eviction was started.
func (b *Board) Evict(k Key) bool {
	t, ok := b.tasks[k]
	if !ok || t.Phase != PhaseRunning || t.Evict || t.Stop {
		return false
	}
	t.Evict = true
	b.stopping[k] = t
	return true
}

// CheckpointSaved records that the checkpoint of an evicted task is in the log. The attempt is stopped only after that.
func (b *Board) CheckpointSaved(k Key, n AttemptNumber, reference string) {
	t, ok := b.tasks[k]
	if !ok || t.Attempt.Number != n || !t.Evict {
		return
	}
	t.Spec.Checkpoint, t.isCheckpointSaved = reference, true
	t.Attempt.lastRequestAt = 0
}

// evictFromLeavingWorkers evicts the tasks on workers that are leaving. These evictions do not count against the
// budget.
func (b *Board) evictFromLeavingWorkers() {
	for _, w := range b.workers {
		if !w.Leaving || w.isUnreachable {
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
	maxCPU := b.opts.Policy.MaxCPU(t.Spec.Team)
	return maxCPU > 0 && b.fairShares.used[t.Spec.Team]+t.Spec.Size.CPU > maxCPU
}

// evictFor evicts tasks that are not urgent from one worker, so that the urgent task t fits there, if the budget allows
// it. It selects the worker with the lowest evictionCost. Evictions for the same task are at least evictionInterval
// apart, so that those under way can complete.
func (b *Board) evictFor(now tick.Time, t *Task) {
	if !t.Spec.Urgent || now.Sub(t.evictedForAt) < evictionInterval && t.evictedForAt != 0 {
		return
	}
	var best []*Task
	for _, w := range b.workers {
		if !w.isSchedulable(now) || t.FailedOn[w.Name] {
			continue
		}
		victims := b.victims(w, t.Spec.Size)
		if victims != nil && (best == nil || evictionCost(victims) < evictionCost(best)) {
			best = victims
		}
	}
	if len(best) == 0 || len(best) > b.evictionBudget.available(now) {
		return
	}
	t.evictedForAt = now
	b.evictionBudget.tokens -= float64(len(best))
	for _, v := range best {
		b.Evict(v.Spec.Key)
	}
}

// evictionInterval is the minimum time between evictions for the same urgent task.
const evictionInterval = 3 * time.Second

// victims returns tasks of the worker whose eviction frees enough capacity for the size, or nil. Larger tasks are
// evicted first, and among equal ones those that were confirmed last.
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

// evictionCost returns a cost that orders sets of victims by their number first, then by their CPU.
func evictionCost(victims []*Task) float64 {
	sum := 0.0
	for _, v := range victims {
		sum += costPerVictim + float64(v.Spec.Size.CPU)
	}
	return sum
}

// costPerVictim is larger than any CPU size, so that fewer victims always cost less.
const costPerVictim = 1e9
