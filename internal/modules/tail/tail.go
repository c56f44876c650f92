// Package tail reads a keyed topic from its newest records on.
//
// The first read, and one from behind what the log still has, returns the newest record of each key; others return what
// has come since.
//
// # Usage
//
//	t := tail.New(log, logs.Backends, 0)
//	batch, err := t.Read(ctx, time.Second)
package tail

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/ibischute/ibischute/internal/modules/logs"
)

// Tail is the place in one partition. It is not safe for concurrent use.
type Tail struct {
	log    logs.Log
	topic  logs.Topic
	part   logs.Part
	next   logs.Offset
	isRead bool
}

// Batch is the outcome of one read.
type Batch struct {
	Records []logs.Record
	// IsWhole means that the records are the newest of each key, so that a key that is missing has none.
	IsWhole bool
	// IsAtEnd means that the partition had no further records.
	IsAtEnd bool
	// Trimmed is set if the log no longer had the next record. It is set beside an error too.
	Trimmed *logs.TrimmedError
}

// New returns a Tail that has read nothing.
func New(log logs.Log, topic logs.Topic, part logs.Part) *Tail {
	return &Tail{log: log, topic: topic, part: part}
}

// Read reads once. It waits for records where there are none.
func (t *Tail) Read(ctx context.Context, wait time.Duration) (Batch, error) {
	if !t.isRead {
		return t.readNewest(ctx)
	}
	page, err := t.log.Read(ctx, t.topic, t.part, t.next, wait)
	var trimmed *logs.TrimmedError
	if errors.As(err, &trimmed) {
		b, err := t.readNewest(ctx)
		b.Trimmed = trimmed
		return b, err
	}
	if err != nil {
		return Batch{}, err
	}
	t.next = page.Next(t.next)
	return Batch{Records: page.Records, IsAtEnd: t.next >= page.End}, nil
}

func (t *Tail) readNewest(ctx context.Context) (Batch, error) {
	records, next, err := t.log.Newest(ctx, t.topic, t.part)
	if err != nil {
		return Batch{}, err
	}
	t.next, t.isRead = next, true
	return Batch{Records: records, IsWhole: true, IsAtEnd: true}, nil
}
