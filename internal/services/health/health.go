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
	"sync"
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

const (
	// maxResponseAge is the age of the last response above which Confirm makes a call of its own. The reads that run all
	// the time are answered a few times a second, so that most submissions need no such call.
	maxResponseAge = 300 * time.Millisecond
	// probeTimeout is long enough for the silence of the log to open the circuit.
	probeTimeout = MinSilence + 50*time.Millisecond
)

// Log is a logs.Log that reports the outcome of each call to a circuit breaker.
type Log struct {
	log     logs.Log
	circuit *circ.Circuit
	logger  zerolog.Logger

	// mu guards the fields below.
	mu sync.Mutex
	// operatorPart and operatorNext are where the operator's topic was last read to, if isOperatorRead.
	operatorPart   logs.Part
	operatorNext   logs.Offset
	isOperatorRead bool
	// probe is closed at the end of the probe under way; nil if there is none.
	probe chan struct{}
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
	l.record(ctx, "append", started, started, err)
	return offset, err
}

// Read implements logs.Log. A read that waits for records owes a response only at the end of its wait.
func (l *Log) Read(
	ctx context.Context, t logs.Topic, p logs.Part, from logs.Offset, wait time.Duration,
) (logs.Page, error) {
	started := tick.Now()
	page, err := l.log.Read(ctx, t, p, from, wait)
	l.record(ctx, "read", started, started.Add(wait), err)
	if err == nil && t == logs.Operator {
		l.mu.Lock()
		l.operatorPart, l.operatorNext, l.isOperatorRead = p, page.Next(from), true
		l.mu.Unlock()
	}
	return page, err
}

// Confirm returns an error marked as not run unless the log has responded lately. If the last response is too old, it
// reads the operator's topic, which seldom has new records, and waits for the response. A call with an effect that is
// made after it is unlikely to be lost in an outage that nobody has noticed yet.
func (l *Log) Confirm(ctx context.Context) error {
	now := tick.Now()
	if now.Sub(l.circuit.LastResponseAt()) <= maxResponseAge {
		return nil
	}
	probe, ok := l.startProbe(ctx)
	if !ok {
		return nil
	}
	select {
	case <-probe:
	case <-ctx.Done():
		return fault.FromContext(ctx, fault.NotRun)
	}
	if l.circuit.LastResponseAt().Before(now) {
		return fault.New(fault.CodeUnavailable, fault.NotRun, "the store does not answer")
	}
	return nil
}

// startProbe starts a read unless one is under way, and returns a channel that is closed at its end. It returns false
// if there is nothing to read.
func (l *Log) startProbe(ctx context.Context) (<-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.probe != nil || !l.isOperatorRead {
		return l.probe, l.probe != nil
	}
	probe := make(chan struct{})
	l.probe = probe
	part, next := l.operatorPart, l.operatorNext
	go func() {
		// The caller that started the probe may leave before the others that wait for it.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
		defer cancel()
		_, _ = l.Read(ctx, logs.Operator, part, next, 0)
		l.mu.Lock()
		l.probe = nil
		l.mu.Unlock()
		close(probe)
	}()
	return probe, true
}

// Newest implements logs.Log.
func (l *Log) Newest(ctx context.Context, t logs.Topic, p logs.Part) ([]logs.Record, logs.Offset, error) {
	started := tick.Now()
	records, next, err := l.log.Newest(ctx, t, p)
	l.record(ctx, "newest", started, started, err)
	return records, next, err
}

// record reports a call that was sent at the given time and whose response was due since dueSince.
func (l *Log) record(ctx context.Context, call string, sent, dueSince tick.Time, err error) {
	now := tick.Now()
	switch {
	case isServed(err):
		l.logClosed(call, l.circuit.RecordResponse(sent, now))
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
