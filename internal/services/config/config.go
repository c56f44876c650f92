// Package config reads the operator's configuration and the entries of the executors from the platform's log.
//
// # Usage
//
//	f := config.New(log, decode, logger)
//	go f.Serve(ctx)
//	c, ok := f.Current()
package config

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/modules/tail"
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

// Follower keeps the newest configuration. It is safe for concurrent use.
type Follower struct {
	tail   *tail.Tail
	decode Decode
	logger zerolog.Logger

	mu      sync.Mutex
	current *queue.Configuration
	// lastReadAt is when a read last succeeded.
	lastReadAt tick.Time
	changed    chan struct{}
}

// New returns a Follower without a configuration.
func New(log logs.Log, decode Decode, logger zerolog.Logger) *Follower {
	return &Follower{
		tail: tail.New(log, logs.Operator, 0), decode: decode, logger: logger, changed: make(chan struct{}),
	}
}

// String names the service in logs.
func (f *Follower) String() string { return "configuration" }

// Current returns the newest configuration, or false if none has been read.
func (f *Follower) Current() (*queue.Configuration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.current != nil
}

// LastReadAt returns when the log was last read successfully.
func (f *Follower) LastReadAt() tick.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastReadAt
}

// Changed returns a channel that is closed when the configuration changes next.
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
	ctx, cancel := context.WithTimeout(ctx, maxReadWait+callTimeout)
	defer cancel()
	b, err := f.tail.Read(ctx, maxReadWait)
	if err != nil {
		return err
	}
	f.apply(b.Records)
	return nil
}

func (f *Follower) apply(records []logs.Record) {
	for _, r := range records {
		c, err := f.decode(r.Key, r.Value)
		if err != nil {
			f.logger.Error().Err(err).Str("key", r.Key).Msg("operator-record-unreadable")
			continue
		}
		if c != nil {
			f.set(c)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastReadAt = tick.Now()
}

func (f *Follower) set(c *queue.Configuration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil && c.Version <= f.current.Version {
		return
	}
	f.current = c
	close(f.changed)
	f.changed = make(chan struct{})
	f.logger.Info().Uint64("version", uint64(c.Version)).Int("queues", len(c.Queues)).Msg("configuration-in-force")
}
