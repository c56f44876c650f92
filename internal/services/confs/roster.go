package confs

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/modules/tail"
	"github.com/ibischute/ibischute/pkg/queue"
)

// DecodeExecutor reads the entry of an executor.
type DecodeExecutor func(id string, value []byte) (queue.Executor, error)

// Roster reads the entries of the executors. It is not safe for concurrent use.
type Roster struct {
	tail    *tail.Tail
	decode  DecodeExecutor
	logger  zerolog.Logger
	entries map[string]queue.Executor
}

// NewRoster returns an empty Roster.
func NewRoster(log logs.Log, decode DecodeExecutor, logger zerolog.Logger) *Roster {
	return &Roster{
		tail: tail.New(log, logs.Backends, 0), decode: decode, logger: logger, entries: map[string]queue.Executor{},
	}
}

// Read brings the entries up to date and returns them.
func (r *Roster) Read(ctx context.Context, timeout time.Duration) ([]queue.Executor, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	b, err := r.tail.Read(ctx, 0)
	if err != nil {
		return nil, err
	}
	if b.IsWhole {
		clear(r.entries)
	}
	for _, rec := range b.Records {
		r.apply(rec)
	}
	list := make([]queue.Executor, 0, len(r.entries))
	for _, e := range r.entries {
		list = append(list, e)
	}
	return list, nil
}

func (r *Roster) apply(rec logs.Record) {
	if len(rec.Value) == 0 {
		delete(r.entries, rec.Key)
		return
	}
	e, err := r.decode(rec.Key, rec.Value)
	if err != nil {
		if _, ok := r.entries[rec.Key]; ok {
			r.logger.Warn().Err(err).Str("executor", rec.Key).Msg("executor-entry-unreadable")
		}
		delete(r.entries, rec.Key)
		return
	}
	r.entries[rec.Key] = e
}
