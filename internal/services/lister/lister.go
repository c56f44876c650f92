// Package lister polls the platform for the instance list and keeps the last one while the platform is unreachable.
//
// # Usage
//
//	l := lister.New(source, logger)
//	supervisor.Add(l)
//	entries := l.List().Filter(roster.KindExecutor, "catania")
package lister

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/ibischute/ibischute/internal/modules/roster"
)

const (
	fetchInterval = time.Second
	fetchTimeout  = 2 * time.Second
)

// Lister polls and caches the instance list. It is safe for concurrent use.
type Lister struct {
	source roster.Source
	logger zerolog.Logger
	list   atomic.Pointer[roster.List]
}

// New returns a Lister with an empty list.
func New(s roster.Source, logger zerolog.Logger) *Lister {
	l := &Lister{source: s, logger: logger}
	l.list.Store(&roster.List{})
	return l
}

// String names the service in logs.
func (*Lister) String() string { return "lister" }

// List returns the list from the last successful fetch.
func (l *Lister) List() roster.List { return *l.list.Load() }

// Serve implements suprv.Service.
func (l *Lister) Serve(ctx context.Context) error {
	t := time.NewTicker(fetchInterval)
	defer t.Stop()
	isUnreachable := false
	for {
		err := l.fetch(ctx)
		if (err != nil) != isUnreachable {
			isUnreachable = err != nil
			l.logger.Warn().Bool("reachable", !isUnreachable).Msg("instance-list-reachability")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

func (l *Lister) fetch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	list, isNew, err := l.source.Fetch(ctx)
	if isNew && err == nil {
		l.list.Store(&list)
	}
	return err
}
