package confs

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/pkg/queue"
)

// DecodeExecutor reads the entry of an executor.
type DecodeExecutor func(id string, value []byte) (queue.Executor, error)

// Roster reads the entries of the executors. It is not safe for concurrent use.
type Roster struct {
	log     logs.Log
	decode  DecodeExecutor
	logger  zerolog.Logger
	next    logs.Offset
	isRead  bool
	entries map[string]queue.Executor
}

// NewRoster returns an empty Roster.
func NewRoster(log logs.Log, decode DecodeExecutor, logger zerolog.Logger) *Roster {
	return &Roster{log: log, decode: decode, logger: logger, entries: map[string]queue.Executor{}}
}

// Read brings the entries up to date and returns them.
func (r *Roster) Read(ctx context.Context, timeout time.Duration) ([]queue.Executor, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := r.read(ctx); err != nil {
		return nil, err
	}
	list := make([]queue.Executor, 0, len(r.entries))
	for _, e := range r.entries {
		list = append(list, e)
	}
	return list, nil
}

func (r *Roster) read(ctx context.Context) error {
	if !r.isRead {
		return r.readNewest(ctx)
	}
	page, err := r.log.Read(ctx, logs.Backends, 0, r.next, 0)
	var trimmed *logs.TrimmedError
	if errors.As(err, &trimmed) {
		return r.readNewest(ctx)
	}
	if err != nil {
		return err
	}
	r.next = page.Next(r.next)
	for _, rec := range page.Records {
		r.apply(rec)
	}
	return nil
}

func (r *Roster) readNewest(ctx context.Context) error {
	records, next, err := r.log.Newest(ctx, logs.Backends, 0)
	if err != nil {
		return err
	}
	clear(r.entries)
	for _, rec := range records {
		r.apply(rec)
	}
	r.next, r.isRead = next, true
	return nil
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
