// Package suprv runs the long-lived parts of an instance under a supervisor tree and bounded short goroutines.
//
// # Usage
//
//	g := suprv.NewGroup(64)
//	if !g.Go(ctx, func(ctx context.Context) { call(ctx) }) { /* the bound is reached */ }
//	g.Wait(ctx)
package suprv

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"
)

const (
	failureBackoff = 200 * time.Millisecond
	stopTimeout    = 5 * time.Second
)

// Service is a long-lived part of an instance. Serve returns when its context ends.
type Service = suture.Service

// New returns a supervisor that logs the failures of its services.
func New(name string, log zerolog.Logger) *suture.Supervisor {
	return suture.New(name, suture.Spec{
		FailureBackoff: failureBackoff,
		Timeout:        stopTimeout,
		EventHook: func(e suture.Event) {
			log.Error().Str("supervisor", name).Str("detail", e.String()).Msg("service-failed")
		},
	})
}

// Group runs at most a fixed number of goroutines at a time.
type Group struct {
	slots chan struct{}
	ended chan struct{}
}

// NewGroup returns a Group of at most limit goroutines.
func NewGroup(limit int) *Group {
	return &Group{slots: make(chan struct{}, limit), ended: make(chan struct{}, limit)}
}

// Go runs f unless the bound is reached, which it reports as false. The end of f frees its place.
func (g *Group) Go(ctx context.Context, f func(ctx context.Context)) bool {
	g.reap()
	select {
	case g.slots <- struct{}{}:
	default:
		return false
	}
	go func() {
		defer func() { g.ended <- struct{}{} }()
		f(ctx)
	}()
	return true
}

func (g *Group) reap() {
	for {
		select {
		case <-g.ended:
			<-g.slots
		default:
			return
		}
	}
}

// Wait blocks until every goroutine has ended or the context ends.
func (g *Group) Wait(ctx context.Context) {
	for range cap(g.slots) {
		g.reap()
		if len(g.slots) == 0 {
			return
		}
		select {
		case <-g.ended:
			<-g.slots
		case <-ctx.Done():
			return
		}
	}
}
