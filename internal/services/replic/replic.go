// Package replic maintains an instance's replica of the job records of one cell.
//
// The leader is notified of every new intake record immediately. The other instances read at intervals, so that they
// can answer callers and can take over without a long read. Instances that are unlikely to take over read the progress
// topic, the larger one, only when it is needed.
//
// # Usage
//
//	r := replic.New(replic.Options{Log: log, Part: part, FollowsProgress: isLikelyNextLeader, Logger: logger})
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
	// followInterval is the pause between reads on an instance that is not the leader.
	followInterval = time.Second
	// leaderWait is how long a read of the leader waits for records.
	leaderWait  = time.Second
	callTimeout = 1200 * time.Millisecond
	// snapshotTimeout limits the read of the newest record of each key, which takes one call for each page. The log
	// limits each of these calls.
	snapshotTimeout = 10 * time.Second
	retryDelay      = 100 * time.Millisecond
	// maxTailGap is the time without a read after which the newest record of each key is read instead of all records
	// since, which are more.
	maxTailGap = 10 * time.Second
)

// Options configure a Replica.
type Options struct {
	Log  logs.Log
	Part logs.Part
	// FollowsProgress reports whether this instance reads the progress topic at intervals although it is not the leader.
	FollowsProgress func() bool
	Logger          zerolog.Logger
}

// Observer is called for each job that an intake record concerns.
type Observer func(now tick.Time, id string, e *book.Entry)

// Replica is an instance's copy of the recorded job state of a cell.
type Replica struct {
	opts Options

	// readMu serializes reads and guards refreshedAt; mu guards the other fields.
	readMu sync.Mutex
	// refreshedAt is when RefreshProgress last began a read.
	refreshedAt tick.Time

	mu       sync.Mutex
	book     *book.Book
	intake   *topic
	progress *topic
	// observe is set while this instance is the leader.
	observe Observer
	wake    chan struct{}
}

// topic is a log topic and the position up to which it was read.
type topic struct {
	logs.Topic
	tail *tail.Tail
	// completeAsOf is the start time of the last read that reached the end of the topic.
	completeAsOf tick.Time
}

func newTopic(log logs.Log, t logs.Topic, part logs.Part) *topic {
	return &topic{Topic: t, tail: newTail(log, t, part)}
}

func newTail(log logs.Log, t logs.Topic, part logs.Part) *tail.Tail {
	return tail.New(boundedLog{log}, t, part)
}

// boundedLog limits the time of each read.
type boundedLog struct{ logs.Log }

// Read implements logs.Log.
func (l boundedLog) Read(
	ctx context.Context, t logs.Topic, p logs.Part, from logs.Offset, wait time.Duration,
) (logs.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	return l.Log.Read(ctx, t, p, from, wait)
}

// Newest implements logs.Log.
func (l boundedLog) Newest(ctx context.Context, t logs.Topic, p logs.Part) ([]logs.Record, logs.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	return l.Log.Newest(ctx, t, p)
}

// New returns an empty Replica.
func New(o Options) *Replica {
	return &Replica{
		opts: o, book: book.New(), wake: make(chan struct{}, 1),
		intake: newTopic(o.Log, logs.Intake, o.Part), progress: newTopic(o.Log, logs.Progress, o.Part),
	}
}

// String returns the name of the service for logs.
func (r *Replica) String() string { return "replica" }

// Serve reads the topics until the context ends.
func (r *Replica) Serve(ctx context.Context) error {
	hasFailed := false
	for ctx.Err() == nil {
		wait, pause := time.Duration(0), followInterval
		if r.observer() != nil {
			wait, pause = leaderWait, 0
		}
		if hasFailed {
			// The first response after an outage closes the circuit breaker of the store, so it must not wait for records.
			wait = 0
		}
		err := r.read(ctx, wait)
		hasFailed = err != nil
		if hasFailed && ctx.Err() == nil {
			r.opts.Logger.Warn().Err(err).Msg("replica-read-failed")
			pause = retryDelay
		}
		wake.Wait(ctx, r.wake, pause)
	}
	return ctx.Err()
}

// Observe sets the observer of intake records; nil removes it.
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

// CatchUp reads both topics up to their ends.
func (r *Replica) CatchUp(ctx context.Context) error {
	start := tick.Now()
	for {
		if err := r.readBoth(ctx); err != nil {
			return err
		}
		r.mu.Lock()
		isFresh := !r.intake.completeAsOf.Before(start) && !r.progress.completeAsOf.Before(start)
		r.mu.Unlock()
		if isFresh {
			return nil
		}
	}
}

func (r *Replica) readBoth(ctx context.Context) error {
	r.readMu.Lock()
	defer r.readMu.Unlock()
	if err := r.readTopic(ctx, r.intake, 0); err != nil {
		return err
	}
	return r.readProgress(ctx)
}

// readProgress reads the progress topic. The caller must hold r.readMu.
func (r *Replica) readProgress(ctx context.Context) error {
	if r.progressAge() > maxTailGap {
		r.progress.tail = newTail(r.opts.Log, logs.Progress, r.opts.Part)
	}
	return r.readTopic(ctx, r.progress, 0)
}

// progressAge returns the time since the progress topic was last read to its end.
func (r *Replica) progressAge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return tick.Now().Sub(r.progress.completeAsOf)
}

// read reads the intake topic once, and the progress topic if this instance follows it. On the leader, which writes the
// progress topic, reads of the intake topic wait for records.
func (r *Replica) read(ctx context.Context, wait time.Duration) error {
	r.readMu.Lock()
	defer r.readMu.Unlock()
	if err := r.readTopic(ctx, r.intake, wait); err != nil {
		return err
	}
	if wait > 0 || !r.opts.FollowsProgress() {
		return nil
	}
	return r.readProgress(ctx)
}

// RefreshProgress reads the progress topic unless it began to do so within the last followInterval or another read is
// under way, so that callers do not queue up while the store does not respond. It takes callTimeout at most, because a
// caller waits for it.
func (r *Replica) RefreshProgress(ctx context.Context) error {
	if !r.readMu.TryLock() {
		return nil
	}
	defer r.readMu.Unlock()
	now := tick.Now()
	if r.progressAge() < followInterval || now.Sub(r.refreshedAt) < followInterval {
		return nil
	}
	r.refreshedAt = now
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.readProgress(ctx)
}

func (r *Replica) readTopic(ctx context.Context, t *topic, wait time.Duration) error {
	startedAt := tick.Now()
	b, err := t.tail.Read(ctx, wait)
	if b.Trimmed != nil {
		r.opts.Logger.Info().Str("topic", t.Name).Uint64("first", uint64(b.Trimmed.First)).Msg("replica-behind-retention")
	}
	if err != nil {
		return err
	}
	if b.IsSnapshot && t == r.progress {
		r.clearRoster()
	}
	r.apply(t.Topic, b.Records)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !b.IsAtEnd {
		return nil
	}
	t.completeAsOf = startedAt
	if !b.IsSnapshot && wait > 0 && len(b.Records) == 0 {
		// A read that waited for records was at the end of the topic the whole time.
		t.completeAsOf = tick.Now().Add(-retryDelay)
	}
	return nil
}

// clearRoster forgets the executors of the roster. A snapshot has no records of those that were removed meanwhile.
func (r *Replica) clearRoster() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.book.ClearRoster()
}

func (r *Replica) apply(t logs.Topic, records []logs.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rec := range records {
		if t == logs.Progress {
			if err := r.book.Progress(rec); err != nil {
				r.opts.Logger.Error().Err(err).Msg("record-unreadable")
			}
			continue
		}
		id, err := r.book.Intake(rec)
		if err != nil {
			r.opts.Logger.Error().Err(err).Msg("record-unreadable")
			continue
		}
		r.notifyObserver(id)
	}
}

// notifyObserver passes a job to the observer. The caller must hold r.mu.
func (r *Replica) notifyObserver(id string) {
	if r.observe == nil {
		return
	}
	if e, ok := r.book.Job(id); ok {
		r.observe(tick.Now(), id, e)
	}
}

// Add applies an intake record that this instance has just stored, before it is read from the log.
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

// HasSubmission reports whether an intake record with the key is known to be stored.
func (r *Replica) HasSubmission(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.HasSubmission(key)
}

// Waiting returns the number of jobs of a queue that have no recorded start.
func (r *Replica) Waiting(queue string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.CountQueued(queue)
}

// CompleteAsOf returns the time as of which all intake records are known.
func (r *Replica) CompleteAsOf() tick.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.intake.completeAsOf
}

// Visit calls f with the book, which f must not retain.
func (r *Replica) Visit(f func(b *book.Book)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.book)
}
