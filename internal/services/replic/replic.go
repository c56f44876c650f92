// Package replic keeps an instance's copy of what the log says of the jobs of one cell.
//
// A lead is told of every new intake record at once; the other instances read at intervals, so that they can answer
// callers and take over without a long read.
//
// # Usage
//
//	r := replic.New(log, part, logger)
//	go r.Serve(ctx)
//	entry, ok := r.Job(id)
package replic

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/modules/tail"
	"github.com/ibischute/ibischute/internal/modules/wake"
	"github.com/ibischute/ibischute/internal/state/book"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	followInterval = time.Second
	leadWait       = time.Second
	callTimeout    = 1200 * time.Millisecond
	retryPause     = 100 * time.Millisecond
)

// Observer is told of each job that an intake record concerns.
type Observer func(now tick.Time, id string, e *book.Entry)

// Replica is the copy.
type Replica struct {
	logger zerolog.Logger

	// reading serializes reads; mu guards the rest.
	reading sync.Mutex
	mu      sync.Mutex
	book    *book.Book
	intake  *topic
	progr   *topic
	observe Observer
	wake    chan struct{}
}

// topic is one topic and how far it was read.
type topic struct {
	logs.Topic
	tail *tail.Tail
	// freshAt is when a read was begun that reached the end of the topic.
	freshAt tick.Time
}

func newTopic(log logs.Log, t logs.Topic, part logs.Part) *topic {
	return &topic{Topic: t, tail: tail.New(log, t, part)}
}

// New returns an empty Replica.
func New(log logs.Log, part logs.Part, logger zerolog.Logger) *Replica {
	return &Replica{
		logger: logger, book: book.New(), wake: make(chan struct{}, 1),
		intake: newTopic(log, logs.Intake, part), progr: newTopic(log, logs.Progress, part),
	}
}

// String names the service in logs.
func (r *Replica) String() string { return "replica" }

// Serve reads the topics until the context ends.
func (r *Replica) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		wait, pause := time.Duration(0), followInterval
		if r.observer() != nil {
			wait, pause = leadWait, 0
		}
		if err := r.read(ctx, wait); err != nil && ctx.Err() == nil {
			r.logger.Warn().Err(err).Msg("replica-unread")
			pause = retryPause
		}
		wake.Wait(ctx, r.wake, pause)
	}
	return ctx.Err()
}

// Observe sets who is told of intake records; nil ends that.
func (r *Replica) Observe(o Observer) {
	r.mu.Lock()
	r.observe = o
	r.mu.Unlock()
	wake.Send(r.wake)
}

func (r *Replica) observer() Observer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.observe
}

// CatchUp reads both topics to their ends.
func (r *Replica) CatchUp(ctx context.Context) error {
	start := tick.Now()
	for {
		if err := r.readBoth(ctx); err != nil {
			return err
		}
		r.mu.Lock()
		isFresh := !r.intake.freshAt.Before(start) && !r.progr.freshAt.Before(start)
		r.mu.Unlock()
		if isFresh {
			return nil
		}
	}
}

func (r *Replica) readBoth(ctx context.Context) error {
	r.reading.Lock()
	defer r.reading.Unlock()
	if err := r.readTopic(ctx, r.intake, 0); err != nil {
		return err
	}
	return r.readTopic(ctx, r.progr, 0)
}

// read reads once: the intake alone for a lead, both topics otherwise.
func (r *Replica) read(ctx context.Context, wait time.Duration) error {
	if wait == 0 {
		return r.readBoth(ctx)
	}
	r.reading.Lock()
	defer r.reading.Unlock()
	return r.readTopic(ctx, r.intake, wait)
}

func (r *Replica) readTopic(ctx context.Context, t *topic, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	begun := tick.Now()
	b, err := t.tail.Read(ctx, wait)
	if b.Trimmed != nil {
		r.logger.Info().Str("topic", t.Name).Uint64("first", uint64(b.Trimmed.First)).Msg("replica-behind-retention")
	}
	if err != nil {
		return err
	}
	r.apply(t.Topic, b.Records)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !b.IsAtEnd {
		return nil
	}
	t.freshAt = begun
	if !b.IsWhole && wait > 0 && len(b.Records) == 0 {
		// A read that waited for records was at the end all the while.
		t.freshAt = tick.Now().Add(-retryPause)
	}
	return nil
}

func (r *Replica) apply(t logs.Topic, records []logs.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rec := range records {
		if t == logs.Progress {
			if err := r.book.Progress(rec); err != nil {
				r.logger.Error().Err(err).Msg("record-unreadable")
			}
			continue
		}
		id, err := r.book.Intake(rec)
		if err != nil {
			r.logger.Error().Err(err).Msg("record-unreadable")
			continue
		}
		r.tell(id)
	}
}

// tell passes a job on to the observer. The mutex is held.
func (r *Replica) tell(id string) {
	if r.observe == nil {
		return
	}
	if e, ok := r.book.Job(id); ok {
		r.observe(tick.Now(), id, e)
	}
}

// Add takes an intake record that this instance has just stored, ahead of its read.
func (r *Replica) Add(rec logs.Record) {
	r.apply(logs.Intake, []logs.Record{rec})
}

// Job returns the recorded state of a job.
func (r *Replica) Job(id string) (jobpb.State, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.book.Job(id)
	if !ok {
		return jobpb.State_STATE_UNKNOWN, false
	}
	return e.State(), true
}

// Waiting counts the jobs of a queue without recorded progress.
func (r *Replica) Waiting(queue string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.Waiting(queue)
}

// FreshAt returns as of when the intake is known completely.
func (r *Replica) FreshAt() tick.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.intake.freshAt
}

// Visit calls f with the book, which f must not keep.
func (r *Replica) Visit(f func(b *book.Book)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.book)
}
