package sched

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	abortTimeout  = 2 * time.Second
	abortInterval = 250 * time.Millisecond
	// firstAbortInterval is the pause after the first abort; it doubles up to abortInterval.
	firstAbortInterval = 5 * time.Millisecond
)

// ticket is the hold of one request on a slot. It is settled once.
type ticket struct {
	s        *Scheduler
	svc      *service
	executor ident.Executor
	address  string
	class    ident.Class
	id       ident.Request
	started  tick.Time
	once     sync.Once
}

// release frees the slot on evidence that the work ended.
func (t *ticket) release(ok bool) {
	t.once.Do(func() {
		t.report(ok)
		now := t.s.opts.Now()
		t.s.mu.Lock()
		t.svc.pool.Release(t.executor)
		t.s.pump(now, t.svc)
		t.s.mu.Unlock()
		t.s.inFlight.Add(-1)
	})
}

// report counts the result for ejection and for the usual time of the class.
func (t *ticket) report(ok bool) {
	now := t.s.opts.Now()
	took := now.Sub(t.started)
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	usual := t.svc.usualTime(t.class)
	t.svc.pool.Report(now, t.executor, ok, float64(took)/float64(usual))
	if ok {
		t.svc.usual[t.class] = usual + time.Duration(usualWeight*float64(took-usual))
	}
}

// abandon keeps the slot of a request whose caller left before the answer until the executor has ended the exchange.
// The executor is asked to abort again and again, since the first time it may not have seen the request yet.
func (t *ticket) abandon(ended <-chan outcome, endExchange context.CancelFunc) {
	t.once.Do(func() {
		t.s.mu.Lock()
		t.svc.pool.Drain(t.executor)
		t.s.mu.Unlock()
		wait := func(ctx context.Context) { t.awaitEnd(ctx, ended, endExchange) }
		if !t.s.drains.Go(context.Background(), wait) {
			wait(context.Background())
		}
	})
}

func (t *ticket) awaitEnd(ctx context.Context, ended <-chan outcome, endExchange context.CancelFunc) {
	defer endExchange()
	pause := firstAbortInterval
	for {
		t.abort(ctx)
		timer := time.NewTimer(pause)
		select {
		case o := <-ended:
			timer.Stop()
			if o.err == nil {
				_ = o.answer.Body.Close()
			}
			t.confirmEnd(ctx)
			return
		case <-timer.C:
		}
		if t.isGone() {
			endExchange()
		}
		pause = min(2*pause, abortInterval)
	}
}

// drained frees a draining slot.
func (t *ticket) drained() {
	now := t.s.opts.Now()
	t.s.mu.Lock()
	t.svc.pool.Drained(t.executor)
	t.s.pump(now, t.svc)
	t.s.mu.Unlock()
	t.s.inFlight.Add(-1)
}

// drain keeps the slot until the executor confirms that the work has ended.
func (t *ticket) drain() {
	t.once.Do(func() {
		t.s.mu.Lock()
		t.svc.pool.Drain(t.executor)
		t.s.mu.Unlock()
		if !t.s.drains.Go(context.Background(), t.confirmEnd) {
			t.confirmEnd(context.Background())
		}
	})
}

// confirmEnd asks the executor to abort until it confirms, or until the executor is gone.
func (t *ticket) confirmEnd(ctx context.Context) {
	for !t.abort(ctx) && !t.isGone() {
		tick.Pause(ctx, abortInterval)
	}
	t.drained()
}

func (t *ticket) abort(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, abortTimeout)
	defer cancel()
	return t.s.opts.Exec.Abort(ctx, t.address, t.id) == nil
}

// isGone reports whether the list has dropped the executor.
func (t *ticket) isGone() bool {
	for _, e := range t.s.opts.Roster().Entries {
		if e.Name == string(t.executor) {
			return false
		}
	}
	return true
}

// slotBody is an answer's body that settles the slot at its end.
type slotBody struct {
	body      io.ReadCloser
	ticket    *ticket
	isFailure bool
	// endExchange frees what the exchange with the executor holds.
	endExchange context.CancelFunc
}

func (b *slotBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.ticket.release(!b.isFailure)
	case err != nil:
		b.ticket.report(false)
		b.ticket.drain()
		err = fault.Wrap(err, fault.CodeTruncated, fault.Unknown, "the executor's answer was cut")
	}
	return n, err
}

// Close implements io.Closer. A body that is closed before its end was cancelled.
func (b *slotBody) Close() error {
	err := b.body.Close()
	b.endExchange()
	b.ticket.drain()
	return err
}
