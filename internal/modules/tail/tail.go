// Package tail follows a partition of a keyed topic, starting with the newest record of each key.
//
// The first read, and any read whose offset is no longer retained, returns the newest record of each key. Other reads
// return the records appended since the previous read.
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

// Tail is a reader of one partition. It is not safe for concurrent use.
type Tail struct {
	log     logs.Log
	topic   logs.Topic
	part    logs.Part
	next    logs.Offset
	hasRead bool
}

// Batch is the result of one read.
type Batch struct {
	Records []logs.Record
	// IsSnapshot means that Records contains the newest record of every key, so a key that is missing has no record.
	IsSnapshot bool
	// IsAtEnd means that the partition had no further records.
	IsAtEnd bool
	// Trimmed is set if the next record was no longer retained, also if Read returns an error.
	Trimmed *logs.TrimmedError
}

// New returns a Tail whose first read returns the newest record of each key.
func New(log logs.Log, topic logs.Topic, part logs.Part) *Tail {
	return &Tail{log: log, topic: topic, part: part}
}

// Read returns the next records. If there are none, it waits up to wait for them; reading the newest record of each key
// does not wait.
func (t *Tail) Read(ctx context.Context, wait time.Duration) (Batch, error) {
	if !t.hasRead {
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
	t.next, t.hasRead = next, true
	return Batch{Records: records, IsSnapshot: true, IsAtEnd: true}, nil
}
