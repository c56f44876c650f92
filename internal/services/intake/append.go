package intake

import (
	"context"
	"sync"
	"time"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/state/retry"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// forwardTimeout is long enough for the leader to make its own attempt to append.
	forwardTimeout = 900 * time.Millisecond
	// forwardDelay is the time after which the leader gets a record that this instance has not stored. It is at least the
	// time above which an append counts as slow.
	forwardDelay = 150 * time.Millisecond
	// slowForwardShare is the share of the remaining time that the leader has while the store is slow, before this
	// instance appends the record itself. The groups of the leader may wait for appends of other instances.
	slowForwardShare = 2.0 / 3
	// forwardLimit limits a call to the leader while the store is slow; the deadline of the caller is mostly shorter.
	forwardLimit = 10 * time.Second
	// storedCheckInterval is the interval of the checks whether a record was read whose append has no response. An append
	// to a healthy store takes less.
	storedCheckInterval = 20 * time.Millisecond
	// repeatInterval is the pause before a record whose outcome is unknown is appended again.
	repeatInterval = 200 * time.Millisecond
	// maxRepeating limits the records whose appending is repeated, and with them the requests that wait for it.
	maxRepeating = 1024
	// doubtLifetime is how long a lost append may still be carried out, with a margin: the platform speaks of seconds.
	// maxInDoubt limits the keys that are remembered.
	doubtLifetime = time.Minute
	maxInDoubt    = 4096
	// framingBytes is the size of the length prefixes of a record and of its key.
	framingBytes = 5
	// firstRetryAfter and longestRetryAfter bound the delays after which callers repeat a refused request. With them, the
	// four repeats of a caller span an outage of 7 s.
	firstRetryAfter   = time.Second
	longestRetryAfter = 2 * time.Second
)

var refusalDelays = retry.NewSchedule(firstRetryAfter, longestRetryAfter)

// storeAndApply stores a record and applies it to the local replica. If no append was sent or each was refused, also
// for former submissions of the record, it returns at once with an error marked as not run. If the outcome is unknown,
// it repeats the append until it succeeds, the record is read in the log, or the context ends.
func (i *Intake) storeAndApply(ctx context.Context, rec logs.Record) error {
	if limit := i.opts.MaxRecordBytes; limit > 0 && len(rec.Key)+len(rec.Value)+framingBytes > limit {
		return fault.New(fault.CodeBadRequest, fault.NotRun, "the job is larger than a record of the store may be")
	}
	err := i.inDoubtError(rec, i.untilStored(ctx, rec, i.store))
	if err != nil && !fault.IsErrNotRun(err) {
		err = i.repeat(ctx, rec, err)
	}
	if err != nil {
		return i.refuse(tick.Now(), rec, err)
	}
	i.inDoubt.Remove(rec.Key)
	i.opts.Replica.Add(rec)
	return nil
}

// untilStored calls a function that stores a record. It cancels the call and succeeds as soon as the record is read in
// the log, because the response to an append that has taken effect may be lost.
func (i *Intake) untilStored(
	ctx context.Context, rec logs.Record, store func(ctx context.Context, rec logs.Record) error,
) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	var result error
	go func() {
		result = store(ctx, rec)
		close(ended)
	}()
	check := time.NewTicker(storedCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-ended:
			return result
		case <-check.C:
			if i.opts.Replica.HasSubmission(rec.Key) {
				cancel()
				<-ended
				return nil
			}
		}
	}
}

// inDoubtError returns the error of a record with the outcome of all its appends from this instance: it is unknown if
// that of this append or of a former one is. It remembers the record then.
func (i *Intake) inDoubtError(rec logs.Record, err error) error {
	if err == nil {
		return nil
	}
	now := tick.Now()
	fe := *fault.From(err)
	if fe.Ran != fault.NotRun {
		i.inDoubt.Add(now, rec.Key)
		return err
	}
	if !i.inDoubt.Has(now, rec.Key) {
		return err
	}
	fe.Ran = fault.Unknown
	return &fe
}

// repeat appends a record again whose first append failed with an unknown outcome. No refusal of a later append shows
// that the first one was not carried out or will not be, so that the outcome stays unknown until an append succeeds.
func (i *Intake) repeat(ctx context.Context, rec logs.Record, err error) error {
	defer i.repeating.Add(-1)
	if i.repeating.Add(1) > maxRepeating {
		return err
	}
	for {
		tick.Pause(ctx, repeatInterval)
		if i.opts.Replica.HasSubmission(rec.Key) {
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
		i.opts.Meter.Count("intake_retried", nil, 1)
		if i.untilStored(ctx, rec, i.store) == nil || i.untilStored(ctx, rec, i.appendDespiteOutage) == nil {
			i.opts.Logger.Info().Str("key", rec.Key).Msg("intake-stored-by-retry")
			return nil
		}
	}
}

// appendDespiteOutage appends a record while the circuit of the store is open. That is for records whose outcome is
// unknown anyway.
func (i *Intake) appendDespiteOutage(ctx context.Context, rec logs.Record) error {
	if !i.opts.StoreCircuit.IsOpen() {
		return fault.New(fault.CodeUnavailable, fault.NotRun, "the store was called")
	}
	return i.opts.Committer.Append(ctx, rec)
}

// store makes one attempt to have a record appended by this instance and by the leader, in the order that the state of
// the store suggests. The second one gets the record if the first one has failed or takes long.
func (i *Intake) store(ctx context.Context, rec logs.Record) error {
	own := func(ctx context.Context) error { return i.append(ctx, rec) }
	now := tick.Now()
	if !i.CanForward() {
		return own(ctx)
	}
	if i.opts.StoreCircuit.IsOpen() || !i.opts.Committer.IsSlow(now) {
		return race(ctx, forwardDelay, own, func(ctx context.Context) error {
			return i.forward(ctx, rec, forwardTimeout, causeOwnFailed)
		})
	}
	timeout := forwardTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Duration(slowForwardShare * float64(deadline.Sub(tick.Wall())))
	}
	return race(ctx, timeout, func(ctx context.Context) error {
		return i.forward(ctx, rec, forwardLimit, causeSlow)
	}, own)
}

// race calls first, and second after the delay or as soon as first has failed. It returns when one of them has
// succeeded or both have failed.
func race(ctx context.Context, delay time.Duration, first, second func(ctx context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan error, 2)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { results <- first(ctx) })
	running := 1
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var failed error
	select {
	case err := <-results:
		running--
		if err == nil || ctx.Err() != nil {
			return err
		}
		failed = err
	case <-timer.C:
	}
	running++
	wg.Go(func() { results <- second(ctx) })
	for running > 0 {
		err := <-results
		running--
		if err == nil {
			return nil
		}
		if failed == nil {
			failed = err
			continue
		}
		failed = mergeErrors(failed, err)
	}
	return failed
}

// mergeErrors returns the error of two failed attempts. The record is known not to be stored only if that holds for
// both.
func mergeErrors(first, second error) error {
	e := *fault.From(first)
	if !fault.IsErrNotRun(second) {
		e.Ran = fault.Unknown
	}
	return &e
}

// The reasons for refusing a record, for the metrics.
const (
	refusedStoreSilent = "store-silent"
	refusedStore       = "store-refused"
	refusedOverloaded  = "queue-full"
	refusedDeadline    = "deadline"
	refusedMalformed   = "malformed"
	refusedOther       = "other"
)

// refuse returns the error for a caller whose record was not stored or whose outcome is unknown.
func (i *Intake) refuse(now tick.Time, rec logs.Record, err error) error {
	fe := fault.From(err)
	code := fault.CodeUnavailable
	if fe.Ran == fault.NotRun && fe.Code == fault.CodeBadRequest {
		code = fe.Code
	}
	if fe.Ran == fault.NotRun {
		i.opts.Meter.Count("intake_refused", map[string]string{"reason": i.refusalReason(now, fe)}, 1)
	} else {
		code = fault.CodeUnknownOutcome
		i.opts.Meter.Count("intake_unknown", nil, 1)
	}
	delay := refusalDelays.After(i.opts.StoreCircuit.DownFor(now), rec.Key)
	i.opts.Logger.Warn().Err(err).Str("key", rec.Key).Str("ran", string(fe.Ran)).Dur("retry-after", delay).
		Msg("intake-store-failed")
	return fault.Wrap(err, code, fe.Ran, "the record was not stored").WithRetry(delay)
}

func (i *Intake) refusalReason(now tick.Time, fe *fault.Error) string {
	switch {
	case fe.Code == fault.CodeOverloaded:
		return refusedOverloaded
	case fe.Code == fault.CodeBadRequest:
		return refusedMalformed
	case fe.Code == fault.CodeDeadline || fe.Code == fault.CodeCancelled:
		return refusedDeadline
	case i.opts.StoreCircuit.IsOpen():
		return refusedStoreSilent
	case i.opts.StoreCircuit.DownFor(now) > 0:
		return refusedStore
	}
	return refusedOther
}

// setGauges reports the state of the circuits in the metrics.
func (i *Intake) setGauges(now tick.Time) {
	i.opts.Meter.Gauge("store_circuit_open", nil, gaugeOf(i.opts.StoreCircuit.IsOpen()))
	i.opts.Meter.Gauge("store_down_seconds", nil, i.opts.StoreCircuit.DownFor(now).Seconds())
	i.opts.Meter.Gauge("leader_circuit_open", nil, gaugeOf(i.leaderCircuit.IsOpen()))
	i.opts.Meter.Gauge("intake_repeating", nil, float64(i.repeating.Load()))
}

func gaugeOf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// append appends a record from this instance. It fails at once while the circuit of the store is open: a submission is
// never the probe, because its outcome would be unknown.
func (i *Intake) append(ctx context.Context, rec logs.Record) error {
	if i.opts.StoreCircuit.IsOpen() {
		return fault.New(fault.CodeUnavailable, fault.NotRun, "the store does not answer")
	}
	if err := i.opts.ConfirmStore(ctx); err != nil {
		return err
	}
	return i.opts.Committer.Append(ctx, rec)
}

// The causes of forwarding a record, for the metrics.
const (
	causeOwnFailed = "own-append-failed"
	causeSlow      = "store-slow"
)

// CanForward reports whether another instance leads and may get records. While the store responds to no call of this
// instance, the leader must have responded lately: an instance that is cut off from both would send it records whose
// outcome is unknown then.
func (i *Intake) CanForward() bool {
	if i.opts.StoreCircuit.IsOpen() && tick.Now().Sub(i.leaderCircuit.LastResponseAt()) > maxLeaderResponseAge {
		return false
	}
	_, ok := i.leaderClient()
	return ok
}

// forward sends a record to the leader, which appends it.
func (i *Intake) forward(ctx context.Context, rec logs.Record, timeout time.Duration, cause string) error {
	client, ok := i.leaderClient()
	if !ok || !i.CanForward() {
		return fault.New(fault.CodeNoOwner, fault.NotRun, "no other instance to append")
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	started := tick.Now()
	_, err := client.Record(ctx, &jobpb.RecordRequest{Cell: uint32(i.opts.Part), Key: rec.Key, Intake: rec.Value})
	if err = i.recordLeaderResult(ctx, started, err); err != nil {
		return err
	}
	i.opts.Meter.Count("intake_forwarded", map[string]string{"cause": cause}, 1)
	i.opts.Logger.Info().Str("key", rec.Key).Str("cause", cause).Msg("intake-forwarded")
	return nil
}
