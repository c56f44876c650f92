// Package commit implements group commit for the log: records of concurrent writers are appended in batches, which
// keeps the number of append calls low.
//
// Records that arrive while an append is in progress are batched into the next one. If an append gets no response, the
// outcome of its records is reported as unknown. Records are idempotent, so writers may append them again.
//
// # Usage
//
//	g := commit.New(log, stream)
//	supervisor.Add(g)
//	err := g.Append(ctx, logio.Record{ID: id, Data: data})
package commit

import (
	"context"
	"time"

	"github.com/ibischute/ibischute/pkg/tick"

	"github.com/ibischute/ibischute/internal/modules/logio"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
)

const (
	maxQueued         = 4096
	maxGroupSize      = 512
	minAppendInterval = 50 * time.Millisecond
	appendTimeout     = 3 * time.Second
)

type pendingAppend struct {
	record logio.Record
	result chan error
}

// Group batches the appends to one stream.
type Group struct {
	log    logio.Log
	stream ident.Stream
	queue  chan pendingAppend
}

// New returns a Group that starts appending once Serve runs.
func New(log logio.Log, stream ident.Stream) *Group {
	return &Group{log: log, stream: stream, queue: make(chan pendingAppend, maxQueued)}
}

// String names the service in logs.
func (*Group) String() string { return "group-commit" }

// Append queues the record and blocks until its append has completed or ctx ends.
func (g *Group) Append(ctx context.Context, r logio.Record) error {
	p := pendingAppend{record: r, result: make(chan error, 1)}
	select {
	case g.queue <- p:
	default:
		return fault.New(fault.CodeOverloaded, fault.NotRun, "too many records wait for the log").WithRetry(time.Second)
	}
	select {
	case err := <-p.result:
		return err
	case <-ctx.Done():
		return fault.New(fault.CodeUnknownOutcome, fault.Unknown, "the log has not answered yet").WithRetry(time.Second)
	}
}

// Serve implements suprv.Service.
func (g *Group) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-g.queue:
			g.appendGroup(ctx, g.collect(first))
			tick.Pause(ctx, minAppendInterval)
		}
	}
}

func (g *Group) collect(first pendingAppend) []pendingAppend {
	group := []pendingAppend{first}
	for len(group) < maxGroupSize {
		select {
		case p := <-g.queue:
			group = append(group, p)
		default:
			return group
		}
	}
	return group
}

func (g *Group) appendGroup(ctx context.Context, group []pendingAppend) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	records := make([]logio.Record, len(group))
	for i, p := range group {
		records[i] = p.record
	}
	_, err := g.log.Append(ctx, g.stream, records)
	for _, p := range group {
		p.result <- err
	}
}
