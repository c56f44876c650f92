// Package lead does the work of a cell's lead: it feeds the cell what it learns and carries out what the cell decides.
//
// # Usage
//
//	l := lead.New(options)
//	elector := elect.New(elect.Options{Lead: l.Run, ...})
package lead

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/modules/meter"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/modules/wake"
	"github.com/ibischute/ibischute/internal/services/confs"
	"github.com/ibischute/ibischute/internal/services/elect"
	"github.com/ibischute/ibischute/internal/services/replic"
	"github.com/ibischute/ibischute/internal/state/book"
	"github.com/ibischute/ibischute/internal/state/cell"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// planInterval is the longest time between two plans, planPause the shortest.
	planInterval = 100 * time.Millisecond
	planPause    = 4 * time.Millisecond
	// discoveryInterval is how often the entries of the executors are read.
	discoveryInterval = 500 * time.Millisecond
	// modelRounds is after how many readings of the discovery what was learnt is recorded.
	modelRounds = 6
	callTimeout = 1200 * time.Millisecond
	retryPause  = 100 * time.Millisecond
	// maxStarts bounds the starts under way. Further ones wait with the cell, where they are in order.
	maxStarts = 128
	// maxOrders bounds all orders under way.
	maxOrders = 1024
)

// Options configure a Lead.
type Options struct {
	Log       logs.Log
	Part      logs.Part
	Executors orders.Executors
	// Advisor is nil where there is no policy service.
	Advisor orders.Advisor
	Replica *replic.Replica
	Config  *confs.Follower
	Decode  confs.DecodeExecutor
	Params  cell.Params
	// MayAct reports whether the right to act holds.
	MayAct func(now tick.Time) bool
	// IsSole reports whether no other instance can have taken over.
	IsSole func(now tick.Time) bool
	Meter  *meter.Meter
	Logger zerolog.Logger
}

// Lead is the work of one instance for the terms in which it leads.
type Lead struct {
	opts Options

	mu   sync.Mutex
	term *term
}

// New returns a Lead without a term.
func New(o Options) *Lead { return &Lead{opts: o} }

// term is the work of one term.
type term struct {
	*Lead
	epoch   uint64
	mu      sync.Mutex
	cell    *cell.Cell
	planned chan struct{}
	changed chan struct{}
	advised chan struct{}
	fenced  chan struct{}
	holders map[string]*holder
	slots   chan struct{}
	// starting counts the starts under way.
	starting atomic.Int64
	wg       sync.WaitGroup
	sequence uint64
}

// Run leads until the context ends or a higher epoch shows.
func (l *Lead) Run(ctx context.Context, t elect.Term) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tm := &term{
		Lead: l, epoch: t.Epoch, planned: make(chan struct{}, 1), changed: make(chan struct{}, 1),
		advised: make(chan struct{}, 1),
		fenced:  make(chan struct{}, 1), holders: map[string]*holder{}, slots: make(chan struct{}, maxOrders),
	}
	if err := tm.takeOver(ctx, t); err != nil {
		return err
	}
	defer l.retire()
	tm.start(ctx, tm.planLoop)
	tm.start(ctx, tm.commitLoop)
	tm.start(ctx, tm.discoverLoop)
	tm.start(ctx, tm.configLoop)
	if l.opts.Advisor != nil {
		tm.start(ctx, tm.adviceLoop)
	}
	var err error
	select {
	case <-ctx.Done():
	case <-tm.fenced:
		err = &logs.FencedError{}
	}
	cancel()
	tm.wg.Wait()
	return err
}

// start runs f until it returns; Run waits for it.
func (t *term) start(ctx context.Context, f func(ctx context.Context)) {
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		f(ctx)
	}()
}

// takeOver fences former leads and builds the cell from the log.
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
	c := cell.New(t.opts.Params, et.Epoch, et.SafeAt)
	c.Configure(cfg)
	t.opts.Replica.Observe(t.observe)
	jobs := 0
	t.opts.Replica.Visit(func(b *book.Book) {
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
	t.adopt(t)
	t.opts.Logger.Info().Uint64("epoch", t.epoch).Int("jobs", jobs).Dur("took", tick.Now().Sub(now)).Msg("cell-loaded")
	return nil
}

// awaitConfig waits for a configuration, since an instance may win the election before it has read one.
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

// adopt makes the term the one that questions are answered from.
func (l *Lead) adopt(t *term) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term = t
}

// fence makes the log refuse the records of former leads.
func (t *term) fence(ctx context.Context) error {
	for ctx.Err() == nil {
		err := t.append(ctx, nil)
		if err == nil || isFenced(err) {
			return err
		}
		t.opts.Logger.Warn().Err(err).Msg("fence-unstored")
		tick.Pause(ctx, retryPause)
	}
	return ctx.Err()
}

// retire ends the term.
func (l *Lead) retire() {
	l.opts.Replica.Observe(nil)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term = nil
}

func (l *Lead) current() *term {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term
}

// observe takes an intake record. The replica's mutex is held, so it must not call the replica.
func (t *term) observe(now tick.Time, id string, e *book.Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cell == nil {
		return
	}
	t.cell.Accept(now, e.Job)
	if e.Cancelled {
		t.cell.Cancel(now, id)
	}
	t.wakePlan()
	t.wakeCommit()
}

func (t *term) wakePlan() { wake.Send(t.planned) }

func (t *term) wakeCommit() { wake.Send(t.changed) }

// Show returns the state of a job. It fails unless this instance leads.
func (l *Lead) Show(now tick.Time, id string) (jobpb.State, bool, error) {
	t := l.current()
	if t == nil || !l.opts.MayAct(now) {
		return jobpb.State_STATE_UNKNOWN, false, notLead()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.cell.State(id)
	return s, ok, nil
}

// Waiting counts the jobs of a queue that have not begun. It fails unless this instance leads.
func (l *Lead) Waiting(now tick.Time, q queue.Name) (int, error) {
	t := l.current()
	if t == nil || !l.opts.MayAct(now) {
		return 0, notLead()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cell.Waiting(q), nil
}

func notLead() error {
	return fault.New(fault.CodeNoOwner, fault.NotRun, "this instance does not lead the cell")
}

// configLoop passes on each new configuration.
func (t *term) configLoop(ctx context.Context) {
	for ctx.Err() == nil {
		changed := t.opts.Config.Changed()
		if cfg, ok := t.opts.Config.Current(); ok {
			t.mu.Lock()
			t.cell.Configure(cfg)
			t.mu.Unlock()
			t.wakePlan()
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// discoverLoop keeps the cell's executors, and a holder for each, up to date.
func (t *term) discoverLoop(ctx context.Context) {
	roster := confs.NewRoster(t.opts.Log, t.opts.Decode, t.opts.Logger)
	for round := 1; ctx.Err() == nil; round++ {
		list, err := roster.Read(ctx, callTimeout)
		if err != nil && ctx.Err() == nil {
			t.opts.Logger.Warn().Err(err).Msg("discovery-unread")
		}
		t.mu.Lock()
		if err == nil {
			t.cell.Discover(tick.Now(), list)
		}
		usage := t.cell.Usage()
		if round%modelRounds == 0 {
			t.cell.SaveModel()
		}
		ids := t.cell.Executors()
		t.mu.Unlock()
		t.hold(ctx, ids)
		t.logUsage(usage)
		t.wakePlan()
		t.wakeCommit()
		tick.Pause(ctx, discoveryInterval)
	}
}

func (t *term) logUsage(u cell.Usage) {
	t.gaugeUsage(u)
	t.opts.Logger.Info().Uint64("epoch", t.epoch).Int("jobs", u.Jobs).Int64("cores", u.Cores).
		Int64("used-cores", u.UsedCores).Int64("lasting-cores", u.LastingCores).Int64("filling-cores", u.FillingCores).
		Int("waiting-short", u.WaitingShort).Int("waiting-lasting", u.WaitingLasting).
		Int("waiting-filling", u.WaitingFilling).Int("serving", u.Serving).Int("over-target", u.OverTarget).
		Int("filling", u.Filling).Int("slowed", u.Slowed).Msg("cell-usage")
}

func (t *term) gaugeUsage(u cell.Usage) {
	for name, v := range map[string]int64{
		"jobs": int64(u.Jobs), "cores": u.Cores, "cores_used": u.UsedCores, "cores_lasting": u.LastingCores,
		"cores_filling": u.FillingCores, "waiting_short": int64(u.WaitingShort),
		"waiting_lasting": int64(u.WaitingLasting), "waiting_filling": int64(u.WaitingFilling),
		"serving": int64(u.Serving), "over_target": int64(u.OverTarget),
		"filling": int64(u.Filling), "slowed": int64(u.Slowed),
	} {
		t.opts.Meter.Gauge("cell_"+name, nil, float64(v))
	}
}
