package leader

import (
	"context"
	"time"

	"github.com/ibischute/ibischute/internal/services/elect"
	"github.com/ibischute/ibischute/internal/state/book"
	"github.com/ibischute/ibischute/internal/state/cell"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

// minFenceTimeout is the timeout of the first append that fences former leaders. It doubles with each one that fails,
// as the store may be slow.
const minFenceTimeout = 200 * time.Millisecond

// takeOver fences former leaders and builds the cell from the log.
func (t *term) takeOver(ctx context.Context, et elect.Term) error {
	if err := t.fence(ctx); err != nil {
		return err
	}
	if err := t.opts.Replica.CatchUp(ctx); err != nil {
		return err
	}
	cfg, err := t.awaitConfig(ctx)
	if err != nil {
		return err
	}
	now := tick.Now()
	c := cell.New(t.opts.Params, et.Epoch, et.ExecutorLeasesExpireAt)
	c.Configure(cfg)
	t.evacuated = t.opts.Config.Evacuated()
	c.SetEvacuated(now, t.evacuated)
	t.opts.Replica.Observe(t.acceptJob)
	jobs := 0
	t.opts.Replica.Visit(func(b *book.Book) {
		c.LoadTerm(b.Term(), et.PreviousEpoch, et.RecordedSince)
		b.Roster(c.LoadRoster)
		c.LoadModel(b.Model())
		b.Jobs(func(e *book.Entry) {
			jobs++
			c.Load(now, tick.Wall().UnixMilli(), e)
		})
		t.mu.Lock()
		t.cell = c
		t.mu.Unlock()
	})
	t.setTerm(t)
	t.opts.Logger.Info().Uint64("epoch", t.epoch).Int("jobs", jobs).Dur("took", tick.Now().Sub(now)).Msg("cell-loaded")
	return nil
}

// awaitConfig waits for a configuration, as an instance may win the election before it has read one.
func (t *term) awaitConfig(ctx context.Context) (*queue.Configuration, error) {
	for ctx.Err() == nil {
		changed := t.opts.Config.Changed()
		if cfg, ok := t.opts.Config.Current(); ok {
			return cfg, nil
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return nil, ctx.Err()
}

// fence makes the log reject the records of former leaders, by an append of no records with the new epoch.
func (t *term) fence(ctx context.Context) error {
	for timeout := minFenceTimeout; ctx.Err() == nil; timeout = min(2*timeout, callTimeout) {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		err := t.append(callCtx, nil)
		cancel()
		if err == nil || isFencedError(err) {
			return err
		}
		t.opts.Logger.Warn().Err(err).Msg("fence-append-failed")
		tick.Pause(ctx, retryDelay)
	}
	return ctx.Err()
}
