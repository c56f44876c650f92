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

// reservation is the slot held by one request. It is settled once: released, or drained until the work has ended.
type reservation struct {
	s        *Scheduler
	svc      *service
	executor ident.Executor
	address  string
	class    ident.Class
	id       ident.Request
	started  tick.Time
	once     sync.Once
}

// release frees the slot on evidence that the work has ended.
func (r *reservation) release(ok bool) {
	r.once.Do(func() {
		r.report(ok)
		now := r.s.opts.Now()
		r.s.mu.Lock()
		r.svc.pool.Release(r.executor)
		r.s.grantSlots(now, r.svc)
		r.s.mu.Unlock()
		r.s.inFlight.Add(-1)
	})
}

// report records the result for outlier detection and, if the request succeeded, updates the mean service time of the
// class.
func (r *reservation) report(ok bool) {
	now := r.s.opts.Now()
	took := now.Sub(r.started)
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	mean := r.svc.meanServiceTime(r.class)
	r.svc.pool.Report(now, r.executor, ok, float64(took)/float64(mean))
	if ok {
		r.svc.meanServiceTimes[r.class] = mean + time.Duration(serviceTimeWeight*float64(took-mean))
	}
}

// drainExchange keeps the slot of a request whose caller left before the answer until the executor has ended the
// exchange. The abort is repeated, because the executor may not have received the request at the first one.
func (r *reservation) drainExchange(results <-chan sendResult, endExchange context.CancelFunc) {
	r.once.Do(func() {
		r.s.mu.Lock()
		r.svc.pool.Drain(r.executor)
		r.s.mu.Unlock()
		wait := func(ctx context.Context) { r.awaitExchangeEnd(ctx, results, endExchange) }
		if !r.s.drains.Go(context.Background(), wait) {
			wait(context.Background())
		}
	})
}

func (r *reservation) awaitExchangeEnd(ctx context.Context, results <-chan sendResult, endExchange context.CancelFunc) {
	defer endExchange()
	pause := firstAbortInterval
	for {
		r.abort(ctx)
		timer := time.NewTimer(pause)
		select {
		case o := <-results:
			timer.Stop()
			if o.err == nil {
				_ = o.answer.Body.Close()
			}
			r.confirmEnd(ctx)
			return
		case <-timer.C:
		}
		if r.isDelisted() {
			endExchange()
		}
		pause = min(2*pause, abortInterval)
	}
}

// releaseDrained frees a draining slot.
func (r *reservation) releaseDrained() {
	now := r.s.opts.Now()
	r.s.mu.Lock()
	r.svc.pool.Drained(r.executor)
	r.s.grantSlots(now, r.svc)
	r.s.mu.Unlock()
	r.s.inFlight.Add(-1)
}

// drain keeps the slot until the executor confirms that the work has ended.
func (r *reservation) drain() {
	r.once.Do(func() {
		r.s.mu.Lock()
		r.svc.pool.Drain(r.executor)
		r.s.mu.Unlock()
		if !r.s.drains.Go(context.Background(), r.confirmEnd) {
			r.confirmEnd(context.Background())
		}
	})
}

// confirmEnd sends aborts until the executor confirms one or is removed from the instance list.
func (r *reservation) confirmEnd(ctx context.Context) {
	for !r.abort(ctx) && !r.isDelisted() {
		tick.Pause(ctx, abortInterval)
	}
	r.releaseDrained()
}

func (r *reservation) abort(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, abortTimeout)
	defer cancel()
	return r.s.opts.Exec.Abort(ctx, r.address, r.id) == nil
}

// isDelisted reports whether the executor is no longer in the instance list.
func (r *reservation) isDelisted() bool {
	for _, e := range r.s.opts.Roster().Entries {
		if e.Name == string(r.executor) {
			return false
		}
	}
	return true
}

// slotBody is the body of an answer that settles the slot at its end.
type slotBody struct {
	body        io.ReadCloser
	reservation *reservation
	isFailure   bool
	// endExchange releases the resources of the exchange with the executor.
	endExchange context.CancelFunc
}

func (b *slotBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.reservation.release(!b.isFailure)
	case err != nil:
		b.reservation.report(false)
		b.reservation.drain()
		err = fault.Wrap(err, fault.CodeTruncated, fault.Unknown, "the executor's answer was cut")
	}
	return n, err
}

// Close implements io.Closer. A body that is closed before its end counts as cancelled, so its slot is drained.
func (b *slotBody) Close() error {
	err := b.body.Close()
	b.endExchange()
	b.reservation.drain()
	return err
}
