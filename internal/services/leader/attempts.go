package leader

import (
	"context"
	"time"

	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// maxPendingAttempts limits the attempts of an append that have no response.
	maxPendingAttempts = 6
	// maxRepeatDelay is shorter than callTimeout, so that an attempt is always pending.
	maxRepeatDelay = callTimeout - 100*time.Millisecond
	// quickRepeats is the number of repeats with the delay lossyRepeatDelay while the store loses responses.
	quickRepeats     = 3
	lossyRepeatDelay = 100 * time.Millisecond
	// lossyAppends is the number of appends after which a store that loses no further response counts as losing none.
	lossyAppends = 20
)

// attempts are the concurrent calls for one append. One goroutine uses it.
type attempts struct {
	ctx     context.Context
	cancel  context.CancelFunc
	call    func(ctx context.Context) error
	results chan attemptResult
	// sent is the number of calls, pending that of those whose result was not received.
	sent, pending int
}

type attemptResult struct {
	err  error
	took time.Duration
}

func newAttempts(ctx context.Context, call func(ctx context.Context) error) *attempts {
	ctx, cancel := context.WithCancel(ctx)
	return &attempts{ctx: ctx, cancel: cancel, call: call, results: make(chan attemptResult, maxPendingAttempts)}
}

// send starts a call.
func (a *attempts) send() {
	a.sent++
	a.pending++
	go func() {
		ctx, cancel := context.WithTimeout(a.ctx, callTimeout)
		defer cancel()
		sent := tick.Now()
		err := a.call(ctx)
		a.results <- attemptResult{err, tick.Now().Sub(sent)}
	}()
}

// end cancels the pending calls and waits for their end.
func (a *attempts) end() {
	a.cancel()
	for ; a.pending > 0; a.pending-- {
		<-a.results
	}
}

// repeats decides when an append whose response is overdue is repeated. The delay doubles with each repeat, because the
// store may have become slow and repeats would add to its load. Only while the store has been seen to lose responses
// and to answer repeats at once, the first repeats follow each other quickly.
type repeats struct {
	// lossy is the number of further appends for which the store counts as losing responses.
	lossy int
	// isSlow is whether the last response came after it was overdue. The repeats that were sent in vain are ahead of the
	// next append then.
	isSlow bool
	// overdue is the time after which a response to the present append is overdue.
	overdue time.Duration
}

// begin returns the delays for an append whose responses are overdue after the given time.
func (r *repeats) begin(overdue time.Duration) *repeatDelays {
	r.overdue = overdue
	switch {
	case r.isSlow:
		return &repeatDelays{delay: maxRepeatDelay}
	case r.lossy > 0:
		r.lossy--
		return &repeatDelays{delay: min(overdue, lossyRepeatDelay), quick: quickRepeats}
	}
	return &repeatDelays{delay: overdue}
}

// observe applies the time that the first response to an append took after its attempt, and the number of attempts.
func (r *repeats) observe(took time.Duration, sent int) {
	r.isSlow = took > r.overdue
	switch {
	case r.isSlow:
		r.lossy = 0
	case sent > 1:
		r.lossy = lossyAppends
	}
}

// repeatDelays are the delays between the attempts of an append.
type repeatDelays struct {
	delay time.Duration
	// quick is the number of attempts that are left before the delay doubles.
	quick int
}

// next returns the delay before the next attempt.
func (d *repeatDelays) next() time.Duration {
	delay := min(d.delay, maxRepeatDelay)
	if d.quick--; d.quick <= 0 {
		d.delay = 2 * delay
	}
	return delay
}
