// Package health observes the calls of an instance to the log and keeps the circuit breaker of the log up to date.
//
// Every call counts: the reads of the configuration and of the intake topic run all the time, so that the circuit opens
// with the first of them that breaks and closes with the first that is answered.
//
// # Usage
//
//	h := health.New(store, circ.New(health.MinSilence), logger)
//	offset, err := h.Append(ctx, topic, part, records, condition)
package health

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/state/circ"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/tick"
)

// MinSilence is the shortest time without a response that counts as an outage. It is shorter than the timeouts of the
// calls that run all the time.
const MinSilence = 700 * time.Millisecond

// Log is a logs.Log that reports the outcome of each call to a circuit breaker.
type Log struct {
	log     logs.Log
	circuit *circ.Circuit
	logger  zerolog.Logger
}

// New returns a Log that passes calls to the given log.
func New(log logs.Log, c *circ.Circuit, logger zerolog.Logger) *Log {
	return &Log{log: log, circuit: c, logger: logger}
}

// Circuit returns the circuit breaker of the log.
func (l *Log) Circuit() *circ.Circuit { return l.circuit }

// Append implements logs.Log.
func (l *Log) Append(
	ctx context.Context, t logs.Topic, p logs.Part, records []logs.Record, c logs.Condition,
) (logs.Offset, error) {
	started := tick.Now()
	offset, err := l.log.Append(ctx, t, p, records, c)
	l.record(ctx, "append", started, err)
	return offset, err
}

// Read implements logs.Log. A read that waits for records owes a response only at the end of its wait.
func (l *Log) Read(
	ctx context.Context, t logs.Topic, p logs.Part, from logs.Offset, wait time.Duration,
) (logs.Page, error) {
	started := tick.Now()
	page, err := l.log.Read(ctx, t, p, from, wait)
	l.record(ctx, "read", started.Add(wait), err)
	return page, err
}

// Newest implements logs.Log.
func (l *Log) Newest(ctx context.Context, t logs.Topic, p logs.Part) ([]logs.Record, logs.Offset, error) {
	started := tick.Now()
	records, next, err := l.log.Newest(ctx, t, p)
	l.record(ctx, "newest", started, err)
	return records, next, err
}

// record reports a call whose response was due since the given time.
func (l *Log) record(ctx context.Context, call string, dueSince tick.Time, err error) {
	now := tick.Now()
	switch {
	case isServed(err):
		l.logClosed(call, l.circuit.RecordResponse(now))
	case isRefused(err):
		l.logClosed(call, l.circuit.RecordRefusal(now))
	case errors.Is(ctx.Err(), context.Canceled):
		// The instance gave up the call, for example because a parallel attempt succeeded.
	case isTimeout(ctx, err):
		l.logOpened(call, err, l.circuit.RecordSilence(dueSince, now))
	default:
		l.logOpened(call, err, l.circuit.RecordNoResponse(now))
	}
}

// isServed reports whether the error is a response of a log that serves calls.
func isServed(err error) bool {
	var conflict *logs.ConflictError
	var fenced *logs.FencedError
	var sequence *logs.SequenceError
	var trimmed *logs.TrimmedError
	return err == nil || errors.As(err, &conflict) || errors.As(err, &fenced) || errors.As(err, &sequence) ||
		errors.As(err, &trimmed)
}

// isRefused reports whether the error is a response other than those of isServed: an HTTP error or a malformed body.
func isRefused(err error) bool {
	return fault.IsErrCode(err, fault.CodeUnavailable) || fault.IsErrCode(err, fault.CodeBadRequest) ||
		fault.IsErrCode(err, fault.CodeUnknownOutcome) && fault.IsErrNotRun(err)
}

// isTimeout reports whether the call reached the log and ran into a deadline. A connection that could not be
// established in time is no timeout of the call.
func isTimeout(ctx context.Context, err error) bool {
	return ctx.Err() != nil ||
		!fault.IsErrCode(err, fault.CodeNotSent) && errors.Is(err, context.DeadlineExceeded)
}

// ReportSilence records that a call that is still under way has got no response since the given time.
func (l *Log) ReportSilence(since tick.Time) {
	l.logOpened("append", nil, l.circuit.RecordSilence(since, tick.Now()))
}

func (l *Log) logOpened(call string, err error, isChanged bool) {
	if isChanged {
		l.logger.Warn().Err(err).Str("call", call).Msg("store-circuit-opened")
	}
}

func (l *Log) logClosed(call string, isChanged bool) {
	if isChanged {
		l.logger.Info().Str("call", call).Msg("store-circuit-closed")
	}
}
