package placer

import (
	"context"
	"fmt"

	"github.com/ibischute/ibischute/internal/modules/wire"
	"github.com/ibischute/ibischute/internal/state/tasks"
)

// recordFinished appends the completions of tasks.
func (p *Placer) recordFinished(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.board.Finished() {
		k := t.Spec.Key
		rec := &wire.JobRecord{Kind: &wire.JobRecord_Done{Done: &wire.TaskDone{
			Job: string(k.Job), Task: k.Index, Attempt: uint64(t.Attempt.Number),
		}}}
		p.recordAsync(ctx, k, "done-"+string(taskID(k)), rec)
	}
}

// recordFailedJobs appends a failure record for each job with a task that failed on as many workers as the bundle
// allows.
func (p *Placer) recordFailedJobs(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.board.ReachedMaxFailures() {
		k := t.Spec.Key
		rec := &wire.JobRecord{Kind: &wire.JobRecord_GiveUp{GiveUp: &wire.JobGiveUp{
			Job: string(k.Job), Reason: fmt.Sprintf("task %d failed on %d workers", k.Index, len(t.FailedOn)),
		}}}
		p.recordAsync(ctx, k, "give-up-"+string(taskID(k)), rec)
	}
}

// recordAsync appends the record of a task's end. If that fails, the next call appends it again, because the record is
// idempotent. The caller must hold p.mu.
func (p *Placer) recordAsync(ctx context.Context, k tasks.Key, id string, rec *wire.JobRecord) {
	if p.recorded[k] {
		return
	}
	p.recorded[k] = p.calls.Go(ctx, func(ctx context.Context) {
		if err := p.append(ctx, id, rec); err != nil {
			p.mu.Lock()
			delete(p.recorded, k)
			p.mu.Unlock()
		}
	})
}
