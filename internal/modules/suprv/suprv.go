// Package suprv runs the long-lived services of an instance under a supervisor tree, and limits the number of
// short-lived goroutines.
//
// # Usage
//
//	g := suprv.NewGroup(64)
//	if !g.Go(ctx, func(ctx context.Context) { call(ctx) }) { /* the limit is reached */ }
//	g.Wait(ctx)
package suprv

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	failureBackoff  = 200 * time.Millisecond
	shutdownTimeout = 5 * time.Second
)

// Service is a long-lived service of an instance. Serve returns when its context ends.
type Service = suture.Service

// New returns a supervisor that logs the events of its services, such as failures and backoff.
func New(name string, log zerolog.Logger) *suture.Supervisor {
	return suture.New(name, suture.Spec{
		FailureBackoff: failureBackoff,
		Timeout:        shutdownTimeout,
		EventHook: func(e suture.Event) {
			log.Error().Str("supervisor", name).Str("detail", e.String()).Msg("supervisor-event")
		},
	})
}

// Group runs goroutines and limits how many run concurrently.
type Group struct {
	slots chan struct{}
	ended chan struct{}
}

// NewGroup returns a Group that runs at most limit goroutines concurrently.
func NewGroup(limit int) *Group {
	return &Group{slots: make(chan struct{}, limit), ended: make(chan struct{}, limit)}
}

// Go starts f in a goroutine, or returns false if the limit is reached. After f has returned, the next call of Go
// or Wait releases the goroutine's slot.
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

// Every returns a service that calls f at every interval.
func Every(name string, interval time.Duration, f func(ctx context.Context)) Service {
	return &periodicService{name: name, interval: interval, f: f}
}

type periodicService struct {
	name     string
	interval time.Duration
	f        func(ctx context.Context)
}

// String names the service in logs.
func (s *periodicService) String() string { return s.name }

// Serve implements Service.
func (s *periodicService) Serve(ctx context.Context) error {
	t := time.NewTicker(s.interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			s.f(ctx)
		}
	}
}

// Repeat returns a service that calls f in a loop and pauses after an error.
func Repeat(name string, pause time.Duration, f func(ctx context.Context) error) Service {
	return &repeatService{name: name, pause: pause, f: f}
}

type repeatService struct {
	name  string
	pause time.Duration
	f     func(ctx context.Context) error
}

// String names the service in logs.
func (s *repeatService) String() string { return s.name }

// Serve implements Service.
func (s *repeatService) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := s.f(ctx); err != nil {
			tick.Pause(ctx, s.pause)
		}
	}
	return ctx.Err()
}
