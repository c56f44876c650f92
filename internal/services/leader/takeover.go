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

// fenceRepeatInterval is the time without a response after which an append that fences former leaders is repeated. It
// has no effect but that of the first, so the repeats need not wait for each other.
const fenceRepeatInterval = 150 * time.Millisecond

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
	c.LoadLeaseEnds(et.StatedLeaseEnds)
	t.noteTerm(c)
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

// noteTerm states to the cell when the last heartbeat was stored, and the newest fencing token. The caller must hold
// the mutex if the cell is in use.
func (t *term) noteTerm(c *cell.Cell) {
	c.NoteHeartbeat(t.opts.HeartbeatAt())
	c.NoteToken(t.opts.FencingToken(t.epoch))
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
	a := newAttempts(ctx, func(ctx context.Context) error { return t.appendOnce(ctx, nil) })
	defer a.end()
	repeat := time.NewTicker(fenceRepeatInterval)
	defer repeat.Stop()
	a.send()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-a.results:
			a.pending--
			if r.err == nil {
				t.appendTimeout.Observe(r.took)
			}
			if r.err == nil || isFencedError(r.err) {
				return r.err
			}
			t.opts.Logger.Warn().Err(r.err).Msg("fence-append-failed")
		case <-repeat.C:
			if a.pending < maxPendingAttempts {
				a.send()
			}
		}
	}
}
