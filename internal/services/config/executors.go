package config

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/modules/tail"
	"github.com/ibischute/ibischute/pkg/queue"
)

// DecodeExecutor decodes the entry of an executor.
type DecodeExecutor func(id string, value []byte) (queue.Executor, error)

const (
	// maxReported is the number of keys with unreadable entries that are logged. Each is logged again only after it had a
	// readable entry or was removed.
	maxReported = 64
	// maxReasonBytes limits the logged reason, which may quote the entry.
	maxReasonBytes = 200
)

// ExecutorReader reads the entries of the executors. It is not safe for concurrent use.
type ExecutorReader struct {
	tail    *tail.Tail
	decode  DecodeExecutor
	logger  zerolog.Logger
	entries map[string]queue.Executor
	// reported has the keys whose present entry was logged as unreadable.
	reported map[string]bool
}

// NewExecutorReader returns an ExecutorReader that has not read any entry.
func NewExecutorReader(log logs.Log, decode DecodeExecutor, logger zerolog.Logger) *ExecutorReader {
	return &ExecutorReader{
		tail: tail.New(log, logs.Backends, 0), decode: decode, logger: logger, entries: map[string]queue.Executor{},
		reported: map[string]bool{},
	}
}

// Read fetches the entries that have changed and returns all current ones. It reads on where the log returns only a
// part of the changes, so that the list is up to date as of the call.
func (r *ExecutorReader) Read(ctx context.Context, timeout time.Duration) ([]queue.Executor, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for isAtEnd := false; !isAtEnd; {
		b, err := r.tail.Read(ctx, 0)
		if err != nil {
			return nil, err
		}
		r.applyBatch(b)
		isAtEnd = b.IsAtEnd
	}
	list := make([]queue.Executor, 0, len(r.entries))
	for _, e := range r.entries {
		list = append(list, e)
	}
	return list, nil
}

func (r *ExecutorReader) applyBatch(b tail.Batch) {
	if b.IsSnapshot {
		clear(r.entries)
		r.keepReported(b.Records)
	}
	for _, rec := range b.Records {
		r.apply(rec)
	}
}

func (r *ExecutorReader) apply(rec logs.Record) {
	if len(rec.Value) == 0 {
		delete(r.entries, rec.Key)
		delete(r.reported, rec.Key)
		return
	}
	e, err := r.decode(rec.Key, rec.Value)
	if err != nil {
		r.report(rec.Key, err)
		delete(r.entries, rec.Key)
		return
	}
	r.entries[rec.Key] = e
	delete(r.reported, rec.Key)
}

// keepReported forgets the reported keys that a snapshot lacks.
func (r *ExecutorReader) keepReported(snapshot []logs.Record) {
	before := r.reported
	r.reported = make(map[string]bool, len(before))
	for _, rec := range snapshot {
		if before[rec.Key] {
			r.reported[rec.Key] = true
		}
	}
}

// report logs an unreadable entry, unless the one before was logged or too many keys have such entries.
func (r *ExecutorReader) report(key string, err error) {
	if r.reported[key] || len(r.reported) >= maxReported {
		return
	}
	r.reported[key] = true
	reason := err.Error()
	r.logger.Warn().Str("executor", key).Int("unreadable-entries", len(r.reported)).
		Str("error", reason[:min(len(reason), maxReasonBytes)]).Msg("executor-entry-unreadable")
}
