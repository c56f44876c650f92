package intake

import (
	"context"
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
	// repeatInterval is the pause before a record whose outcome is unknown is appended again.
	repeatInterval = 200 * time.Millisecond
	// maxRepeating limits the records whose appending is repeated, and with them the requests that wait for it.
	maxRepeating = 1024
	// With these delays, the four repeats of a caller reach over an outage of 7 s.
	firstRetryAfter   = time.Second
	longestRetryAfter = 2 * time.Second
)

var refusalDelays = retry.NewSchedule(firstRetryAfter, longestRetryAfter)

// storeAndApply stores a record and applies it to the local replica. If no append was sent or each was refused, it
// returns at once with an error marked as not run. If the outcome is unknown, it repeats the append until it succeeds,
// isStored reports that the record is in the log, or the context ends.
func (i *Intake) storeAndApply(ctx context.Context, rec logs.Record, isStored func() bool) error {
	err := i.store(ctx, rec)
	if err != nil && !fault.IsErrNotRun(err) {
		err = i.repeat(ctx, rec, isStored, err)
	}
	if err != nil {
		return i.refuse(tick.Now(), rec, err)
	}
	i.opts.Replica.Add(rec)
	return nil
}

// repeat appends a record again whose first append failed with an unknown outcome. No refusal of a later append shows
// that the first one was not carried out or will not be, so that the outcome stays unknown until an append succeeds.
func (i *Intake) repeat(ctx context.Context, rec logs.Record, isStored func() bool, err error) error {
	defer i.repeating.Add(-1)
	if i.repeating.Add(1) > maxRepeating {
		return err
	}
	for {
		tick.Pause(ctx, repeatInterval)
		if isStored() {
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
		i.opts.Meter.Count("intake_retried", nil, 1)
		if i.store(ctx, rec) == nil || i.appendDespiteOutage(ctx, rec) == nil {
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

// store appends a record, or forwards it to the leader if that fails.
func (i *Intake) store(ctx context.Context, rec logs.Record) error {
	err := i.append(ctx, rec)
	if err == nil || ctx.Err() != nil {
		return err
	}
	return mergeErrors(err, i.forward(ctx, rec))
}

// mergeErrors returns the error of two attempts, or nil if the second one succeeded. The record is known not to be
// stored only if that holds for both.
func mergeErrors(first, second error) error {
	if second == nil {
		return nil
	}
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
	refusedOther       = "other"
)

// refuse returns the error for a caller whose record was not stored or whose outcome is unknown.
func (i *Intake) refuse(now tick.Time, rec logs.Record, err error) error {
	fe := fault.From(err)
	code := fault.CodeUnavailable
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
	return i.opts.Committer.Append(ctx, rec)
}

// forward sends a record to the leader, which appends it.
func (i *Intake) forward(ctx context.Context, rec logs.Record) error {
	client, ok := i.leaderClient()
	if !ok {
		return fault.New(fault.CodeNoOwner, fault.NotRun, "no other instance to append")
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	started := tick.Now()
	_, err := client.Record(ctx, &jobpb.RecordRequest{Cell: uint32(i.opts.Part), Key: rec.Key, Intake: rec.Value})
	if err = i.recordLeaderResult(ctx, started, err); err != nil {
		return err
	}
	i.opts.Meter.Count("intake_forwarded", nil, 1)
	i.opts.Logger.Info().Str("key", rec.Key).Msg("intake-forwarded")
	return nil
}
