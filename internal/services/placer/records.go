package placer

import (
	"context"
	"fmt"

	"github.com/ibischute/ibischute/internal/modules/wire"
	"github.com/ibischute/ibischute/internal/state/tasks"
)

// recordFinished appends the ends of tasks. The record is idempotent and sent until it has come back from the log.
func (p *Placer) recordFinished(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.board.Finished() {
		k := t.Spec.Key
		rec := &wire.JobRecord{Kind: &wire.JobRecord_Done{Done: &wire.TaskDone{
			Job: string(k.Job), Task: k.Index, Attempt: uint64(t.Attempt.Number),
		}}}
		p.recordLater(ctx, k, "done-"+string(taskID(k)), rec)
	}
}

// recordHopeless gives up the jobs whose tasks failed on as many workers as the bundle allows.
func (p *Placer) recordHopeless(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.board.Hopeless() {
		k := t.Spec.Key
		rec := &wire.JobRecord{Kind: &wire.JobRecord_GiveUp{GiveUp: &wire.JobGiveUp{
			Job: string(k.Job), Reason: fmt.Sprintf("task %d failed on %d workers", k.Index, len(t.FailedOn)),
		}}}
		p.recordLater(ctx, k, "give-up-"+string(taskID(k)), rec)
	}
}

// recordLater appends the record of a task's end once; after a failure it is appended again. It needs the lock.
func (p *Placer) recordLater(ctx context.Context, k tasks.Key, id string, rec *wire.JobRecord) {
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
