// Package commit appends records to the log in groups, so that many writers share the log's few appends.
//
// Records that arrive while an append is under way go together into the next one. A record whose append had no answer
// is reported as unknown; the writers' records are idempotent, so that they may append it again.
//
// # Usage
//
//	g := commit.New(log, stream, now)
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
	maxWaiting    = 4096
	maxGroup      = 512
	minInterval   = 50 * time.Millisecond
	appendTimeout = 3 * time.Second
)

type pending struct {
	record logio.Record
	done   chan error
}

// Group is the writer of one stream.
type Group struct {
	log     logio.Log
	stream  ident.Stream
	waiting chan pending
}

// New returns a Group that appends once it is served.
func New(log logio.Log, stream ident.Stream) *Group {
	return &Group{log: log, stream: stream, waiting: make(chan pending, maxWaiting)}
}

// String names the service in logs.
func (*Group) String() string { return "group-commit" }

// Append waits until the record is in the log.
func (g *Group) Append(ctx context.Context, r logio.Record) error {
	p := pending{record: r, done: make(chan error, 1)}
	select {
	case g.waiting <- p:
	default:
		return fault.New(fault.CodeOverloaded, fault.NotRun, "too many records wait for the log").WithRetry(time.Second)
	}
	select {
	case err := <-p.done:
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
		case first := <-g.waiting:
			g.appendGroup(ctx, g.gather(first))
			tick.Pause(ctx, minInterval)
		}
	}
}

func (g *Group) gather(first pending) []pending {
	group := []pending{first}
	for len(group) < maxGroup {
		select {
		case p := <-g.waiting:
			group = append(group, p)
		default:
			return group
		}
	}
	return group
}

func (g *Group) appendGroup(ctx context.Context, group []pending) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	records := make([]logio.Record, len(group))
	for i, p := range group {
		records[i] = p.record
	}
	_, err := g.log.Append(ctx, g.stream, records)
	for _, p := range group {
		p.done <- err
	}
}
