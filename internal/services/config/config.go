// Package config reads the operator's configuration, the failure domains that the operator has evacuated, and the
// entries of the executors from the platform's log.
//
// # Usage
//
//	f := config.New(log, decode, logger)
//	go f.Serve(ctx)
//	c, ok := f.Current()
package config

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/modules/tail"
	"github.com/ibischute/ibischute/internal/state/fresh"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	maxReadWait = time.Second
	callTimeout = 900 * time.Millisecond
	retryDelay  = 100 * time.Millisecond
)

// Decode decodes a configuration from a record of the operator topic. It returns nil for any other kind of record.
type Decode func(key string, value []byte) (*queue.Configuration, error)

// DecodeEvacuation returns the failure domain whose evacuation a record with the key requests, and whether the key is
// one of such a record.
type DecodeEvacuation func(key string) (domain string, isEvacuation bool, err error)

// Follower keeps the newest configuration and the set of evacuated failure domains. It is safe for concurrent use.
type Follower struct {
	tail             *tail.Tail
	decode           Decode
	decodeEvacuation DecodeEvacuation
	logger           zerolog.Logger

	mu      sync.Mutex
	current *queue.Configuration
	// evacuated is the sorted list of evacuated domains. It is replaced when it changes, never modified.
	evacuated []string
	// lastReadAt is when a read last succeeded.
	lastReadAt tick.Time
	reads      fresh.Reads
	changed    chan struct{}
}

// New returns a Follower without a configuration.
func New(log logs.Log, decode Decode, logger zerolog.Logger) *Follower {
	return &Follower{
		tail: tail.New(log, logs.Operator, 0), decode: decode, logger: logger, changed: make(chan struct{}),
	}
}

// WithEvacuations makes the Follower read evacuations. It must be called before Serve.
func (f *Follower) WithEvacuations(d DecodeEvacuation) *Follower {
	f.decodeEvacuation = d
	return f
}

// String names the service in logs.
func (f *Follower) String() string { return "configuration" }

// Current returns the newest configuration, or false if none has been read.
func (f *Follower) Current() (*queue.Configuration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.current != nil
}

// Evacuated returns the evacuated failure domains in alphabetical order. The caller must not modify the list.
func (f *Follower) Evacuated() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuated
}

// LastReadAt returns when the log was last read successfully.
func (f *Follower) LastReadAt() tick.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastReadAt
}

// Changed returns a channel that is closed when the configuration or the set of evacuated domains changes next.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Serve reads the log until the context ends.
func (f *Follower) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.read(ctx); err != nil && ctx.Err() == nil {
			f.logger.Warn().Err(err).Msg("configuration-read-failed")
			tick.Pause(ctx, retryDelay)
		}
	}
	return ctx.Err()
}

func (f *Follower) read(ctx context.Context) error {
	sent := tick.Now()
	wait := f.readWait(sent)
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	b, err := f.tail.Read(ctx, wait)
	if err == nil {
		f.apply(b)
	}
	if err != nil || b.IsAtEnd {
		f.recordRead(sent, wait, err)
	}
	return err
}

// readWait returns for how long the next read waits for records. It does not wait after a failure or a pause of the
// process, because the content may have changed meanwhile.
func (f *Follower) readWait(now tick.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.reads.ConfirmedAt) > maxReadWait {
		return 0
	}
	return maxReadWait
}

// recordRead records the outcome of a read that has failed or has reached the end of the log. What a read returns is up
// to date when its wait is over at the latest: if it takes longer, its answer may have arrived long ago and the process
// may have been paused.
func (f *Follower) recordRead(sent tick.Time, wait time.Duration, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.reads.FailedSentAt = sent
		return
	}
	f.reads.ConfirmedAt = min(tick.Now(), sent.Add(wait))
}

// Reads returns the state of the reads.
func (f *Follower) Reads() fresh.Reads {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads
}

// apply applies a batch of records. Evacuations come first, so that whoever sees a new configuration also sees the
// evacuations that were read with it.
func (f *Follower) apply(b tail.Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastReadAt = tick.Now()
	f.applyEvacuations(b)
	for _, r := range b.Records {
		c, err := f.decode(r.Key, r.Value)
		if err != nil {
			f.logger.Error().Err(err).Str("key", r.Key).Msg("operator-record-unreadable")
			continue
		}
		if c != nil {
			f.set(c)
		}
	}
}

// applyEvacuations updates the evacuated domains. A snapshot replaces them: a domain that it lacks is not evacuated.
func (f *Follower) applyEvacuations(b tail.Batch) {
	if f.decodeEvacuation == nil {
		return
	}
	next := map[string]bool{}
	if !b.IsSnapshot {
		for _, d := range f.evacuated {
			next[d] = true
		}
	}
	for _, r := range b.Records {
		domain, isEvacuation, err := f.decodeEvacuation(r.Key)
		if err != nil {
			f.logger.Error().Err(err).Str("key", r.Key).Msg("operator-record-unreadable")
			continue
		}
		if isEvacuation {
			next[domain] = len(r.Value) > 0
		}
	}
	maps.DeleteFunc(next, func(_ string, isRequested bool) bool { return !isRequested })
	evacuated := slices.Sorted(maps.Keys(next))
	if slices.Equal(evacuated, f.evacuated) {
		return
	}
	f.evacuated = evacuated
	f.notify()
	f.logger.Info().Strs("domains", evacuated).Msg("evacuations-in-force")
}

// notify closes the channel of Changed. The caller must hold the mutex.
func (f *Follower) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// set replaces the configuration by a newer one. The caller must hold the mutex.
func (f *Follower) set(c *queue.Configuration) {
	if f.current != nil && c.Version <= f.current.Version {
		return
	}
	f.current = c
	f.notify()
	f.logger.Info().Uint64("version", uint64(c.Version)).Int("queues", len(c.Queues)).Msg("configuration-in-force")
}
