package placer

import (
	"context"
	"fmt"

	"github.com/ibischute/ibischute/internal/modules/wire"
	"github.com/ibischute/ibischute/internal/modules/workio"
	"github.com/ibischute/ibischute/internal/state/tasks"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
)

// execute carries out an action on an attempt in the background and reports the result to the board.
func (p *Placer) execute(ctx context.Context, a tasks.Action) {
	p.mu.Lock()
	board := p.board
	task := p.taskOf(a)
	p.mu.Unlock()
	p.calls.Go(ctx, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		reference, err := p.callWorker(ctx, a, task)
		now := p.opts.Now()
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.board != board || board == nil {
			return
		}
		switch a.Kind {
		case tasks.KindStart:
			board.Started(now, a.Task.Spec.Key, a.Number, err)
		case tasks.KindStop:
			board.Stopped(a.Task.Spec.Key, a.Number, err)
		case tasks.KindCheckpoint:
			if err == nil {
				board.CheckpointSaved(a.Task.Spec.Key, a.Number, reference)
			}
		}
	})
}

// taskOf returns the task as it is sent to the worker. The caller must hold p.mu.
func (p *Placer) taskOf(a tasks.Action) workio.Task {
	t := workio.Task{
		ID: taskID(a.Task.Spec.Key), Attempt: uint64(a.Number), LeaseMS: p.workerLease().Milliseconds(),
		Size: a.Task.Spec.Size, Checkpoint: a.Task.Spec.Checkpoint,
	}
	if j, ok := p.fold.Get(a.Task.Spec.Key.Job); ok {
		t.RunMS = int64(j.Spec.GetRunMs())
		t.Command = j.Spec.GetCommand()
	}
	return t
}

// callWorker sends the action to the worker, right after checking that this instance may still place tasks.
func (p *Placer) callWorker(ctx context.Context, a tasks.Action, t workio.Task) (string, error) {
	if !p.opts.Member.MayAct(p.opts.Now(), ident.PlacerKey) {
		return "", fault.New(fault.CodeNotSent, fault.NotRun, "placer ownership or lease was lost")
	}
	p.opts.Logger.Debug().Str("task", string(t.ID)).Uint64("attempt", t.Attempt).Str("worker", string(a.Worker)).
		Str("action", string(a.Kind)).Msg("task-action")
	switch a.Kind {
	case tasks.KindStart:
		return "", p.opts.Workers.Start(ctx, a.Worker, t)
	case tasks.KindCheckpoint:
		return p.checkpoint(ctx, a, t)
	default:
		return "", p.opts.Workers.Stop(ctx, a.Worker, t)
	}
}

// checkpoint saves the progress of an attempt and records the reference in the job stream. The attempt may be stopped
// only after that.
func (p *Placer) checkpoint(ctx context.Context, a tasks.Action, t workio.Task) (string, error) {
	reference, err := p.opts.Workers.Checkpoint(ctx, a.Worker, t)
	if err != nil {
		return "", err
	}
	k := a.Task.Spec.Key
	rec := &wire.JobRecord{Kind: &wire.JobRecord_Checkpoint{Checkpoint: &wire.TaskCheckpoint{
		Job: string(k.Job), Task: k.Index, Attempt: uint64(a.Number), Reference: reference,
	}}}
	return reference, p.append(ctx, fmt.Sprintf("checkpoint-%s-%d", t.ID, t.Attempt), rec)
}
