package lead

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/modules/wake"
	"github.com/ibischute/ibischute/internal/state/cell"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// planShare is how many times as long as a plan takes the next one waits.
	planShare    = 4
	orderTimeout = 800 * time.Millisecond
	// holdSlack is how much longer than it may wait an executor may take to answer a hold.
	holdSlack = 600 * time.Millisecond
	// commitPause is the shortest time between two records, so that many changes share one.
	commitPause = 20 * time.Millisecond
	// producer names the leads of a cell to the log, which fences them by their epochs.
	producer = "lead"
)

// planLoop sends the cell's orders.
func (t *term) planLoop(ctx context.Context) {
	timer := time.NewTimer(planInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.planned:
		case <-timer.C:
		}
		begun := tick.Now()
		if t.opts.MayAct(begun) {
			t.plan(ctx)
		}
		// A slow plan leaves the processor to the answers that it needs.
		tick.Pause(ctx, max(planPause, planShare*tick.Now().Sub(begun)))
		timer.Reset(planInterval)
	}
}

func (t *term) plan(ctx context.Context) {
	t.mu.Lock()
	now := tick.Now()
	list := t.cell.Plan(now, tick.Wall().UnixMilli(), cell.Allowance{
		MaxStarts: maxStarts - int(t.starting.Load()), IsSole: t.opts.IsSole(now),
	})
	events := t.cell.Events()
	isFenced := t.cell.IsFenced()
	hasChanges := t.cell.HasChanges()
	t.mu.Unlock()
	t.logEvents(events)
	if isFenced {
		wake.Send(t.fenced)
	}
	if hasChanges {
		t.wakeCommit()
	}
	for _, o := range list {
		t.send(ctx, o)
	}
	wake.Send(t.advised)
}

// adviceLoop asks the policy service, one question at a time.
func (t *term) adviceLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.advised:
		}
		t.mu.Lock()
		q, ok := t.cell.Question(tick.Now())
		t.mu.Unlock()
		if ok {
			t.ask(ctx, q)
		}
	}
}

func (t *term) ask(ctx context.Context, q cell.Question) {
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	sent := tick.Now()
	a, err := t.opts.Advisor.Advise(ctx, q.Step, q.Executors)
	if err != nil {
		t.opts.Logger.Warn().Err(err).Str("job", q.Step.Job).Msg("advice-missing")
	}
	t.mu.Lock()
	t.cell.Advised(tick.Now(), sent, q, a, err)
	t.mu.Unlock()
	t.wakePlan()
}

func (t *term) logEvents(events []cell.Event) {
	for _, e := range events {
		t.opts.Meter.Count("decisions", map[string]string{"event": e.Name}, 1)
		l := t.opts.Logger.Info().Uint64("epoch", t.epoch)
		if e.Task.Job != "" {
			l = l.Str("job", e.Task.Job).Uint32("occurrence", e.Task.Occurrence).Uint32("step", e.Task.Step).
				Uint32("task", e.Task.Index)
		}
		if e.Run != 0 {
			l = l.Uint64("run", e.Run)
		}
		if e.Executor != "" {
			l = l.Str("executor", e.Executor)
		}
		if e.Detail != "" {
			l = l.Str("detail", e.Detail)
		}
		l.Msg(e.Name)
	}
}

// send carries out an order in the background. An order beyond the bound counts as not sent.
func (t *term) send(ctx context.Context, o cell.Order) {
	select {
	case t.slots <- struct{}{}:
	default:
		t.replied(o, orders.Reply{Outcome: orders.NotSent, Detail: "too many orders under way"})
		return
	}
	if o.Start != nil {
		t.starting.Add(1)
	}
	t.start(ctx, func(ctx context.Context) {
		defer func() { <-t.slots }()
		reply := t.carryOut(ctx, o)
		if o.Start != nil {
			t.starting.Add(-1)
		}
		t.replied(o, reply)
	})
}

func (t *term) carryOut(ctx context.Context, o cell.Order) orders.Reply {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !t.opts.MayAct(tick.Now()) {
		return orders.Reply{Outcome: orders.NotSent, Detail: "the right to lead has lapsed"}
	}
	switch {
	case o.Start != nil:
		return t.opts.Executors.Start(ctx, o.Target, *o.Start)
	case o.Stop != nil:
		return t.opts.Executors.Stop(ctx, o.Target, *o.Stop)
	}
	return t.opts.Executors.Pace(ctx, o.Target, *o.Pace)
}

func (t *term) replied(o cell.Order, r orders.Reply) {
	t.mu.Lock()
	t.cell.Replied(tick.Now(), o, r)
	h := t.holders[o.Target.ID]
	t.mu.Unlock()
	if h != nil {
		wake.Send(h.kick)
	}
	if r.Outcome != orders.Done || o.Start != nil {
		t.wakePlan()
	}
}

// commitLoop stores what the cell wants recorded, one batch at a time.
func (t *term) commitLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.changed:
		}
		if err := t.commit(ctx); err != nil {
			if isFenced(err) {
				wake.Send(t.fenced)
			}
			return
		}
		tick.Pause(ctx, commitPause)
	}
}

func (t *term) commit(ctx context.Context) error {
	t.mu.Lock()
	var batch *cell.Batch
	var err error
	if t.cell.HasChanges() {
		batch, err = t.cell.Cut()
	}
	t.mu.Unlock()
	if batch == nil || err != nil {
		return err
	}
	if err := t.store(ctx, batch); err != nil {
		return err
	}
	t.mu.Lock()
	t.cell.Commit(tick.Now(), batch)
	kicks := t.waiting()
	t.mu.Unlock()
	for _, h := range kicks {
		wake.Send(h.kick)
	}
	t.wakePlan()
	return nil
}

// waiting returns the holders whose executors wait for an acknowledgement. The mutex is held.
func (t *term) waiting() []*holder {
	var out []*holder
	for id, h := range t.holders {
		if t.cell.IsAckDue(id) {
			out = append(out, h)
		}
	}
	return out
}

// store appends a batch until the log has it or refuses this lead for good.
func (t *term) store(ctx context.Context, b *cell.Batch) error {
	if len(b.Records) == 0 {
		return nil
	}
	for ctx.Err() == nil {
		err := t.append(ctx, b.Records)
		if err == nil {
			t.sequence++
			return nil
		}
		if isFenced(err) {
			return err
		}
		t.opts.Logger.Warn().Err(err).Int("records", len(b.Records)).Msg("record-unstored")
		tick.Pause(ctx, retryPause)
	}
	return ctx.Err()
}

// append makes one attempt with the next sequence number. The log recognizes a repeat of the same number.
func (t *term) append(ctx context.Context, records []logs.Record) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := t.opts.Log.Append(ctx, logs.Progress, t.opts.Part, records, logs.Condition{
		Producer: producer, Epoch: t.epoch, Sequence: t.sequence,
	})
	var sequence *logs.SequenceError
	if errors.As(err, &sequence) && sequence.Expected > t.sequence {
		t.opts.Logger.Warn().Uint64("expected", sequence.Expected).Uint64("sequence", t.sequence).Msg("sequence-adopted")
		t.sequence = sequence.Expected
		return fault.Wrap(err, fault.CodeUnavailable, fault.NotRun, "sequence number")
	}
	return err
}

func isFenced(err error) bool {
	var f *logs.FencedError
	return errors.As(err, &f)
}

// holder keeps the lease of one executor and reads its lists.
type holder struct {
	id   string
	kick chan struct{}
}

// hold starts a holder for each executor that has none.
func (t *term) hold(ctx context.Context, ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		if _, ok := t.holders[id]; ok {
			continue
		}
		h := &holder{id: id, kick: make(chan struct{}, 1)}
		t.holders[id] = h
		t.start(ctx, func(ctx context.Context) { t.holdLoop(ctx, h) })
	}
}

func (t *term) holdLoop(ctx context.Context, h *holder) {
	var target orders.Target
	for ctx.Err() == nil {
		t.mu.Lock()
		order, to, pause := t.cell.Hold(tick.Now(), h.id)
		isGone := to.ID == ""
		if isGone {
			delete(t.holders, h.id)
		}
		t.mu.Unlock()
		if isGone {
			t.opts.Executors.Forget(target)
			return
		}
		target = to
		if pause == 0 {
			pause = t.holdOnce(ctx, h, to, order)
		}
		wake.Wait(ctx, h.kick, pause)
	}
}

// holdOnce sends one hold and returns the pause before the next.
func (t *term) holdOnce(ctx context.Context, h *holder, to orders.Target, o orders.Hold) time.Duration {
	if !t.opts.MayAct(tick.Now()) {
		return retryPause
	}
	ctx, cancel := context.WithTimeout(ctx, o.Wait+holdSlack)
	defer cancel()
	sent := tick.Now()
	lists, reply := t.opts.Executors.Hold(ctx, to, o)
	t.mu.Lock()
	t.cell.Held(tick.Now(), sent, h.id, o, lists, reply)
	hasChanges := t.cell.HasChanges()
	pause := t.cell.SilentPause(h.id)
	t.mu.Unlock()
	if hasChanges {
		t.wakeCommit()
	}
	if reply.Outcome == orders.Done {
		t.wakePlan()
		return 0
	}
	return pause
}
