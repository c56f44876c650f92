// Package logio defines the interface to the platform's append-only log for `ibischute serve`; package logs is the one
// for `ibischute node`.
//
// # Usage
//
//	first, err := log.Append(ctx, ident.ConfigStream, []logio.Record{{ID: id, Data: data}})
//	batch, err := log.Read(ctx, ident.ConfigStream, from, wait)
//
// Errors are of type *fault.Error: CodeUnavailable with Ran NotRun if nothing was appended, CodeUnknownOutcome if the
// response was lost, and CodeTrimmed if the offset is no longer retained.
package logio

import (
	"context"
	"time"

	"github.com/ibischute/ibischute/pkg/ident"
)

// Record is one entry of a stream. The writer assigns the ID, which identifies the record after a lost response.
type Record struct {
	Offset ident.Offset `json:"offset"`
	ID     string       `json:"id"`
	Data   []byte       `json:"data"`
}

// Batch is the result of a read.
type Batch struct {
	// Earliest is the oldest retained offset.
	Earliest ident.Offset `json:"earliest"`
	// Next is the offset after the last record of the stream at the time of the read.
	Next    ident.Offset `json:"next"`
	Records []Record     `json:"records"`
}

// Log is the platform's log service.
type Log interface {
	// Append adds the records in order and returns the offset of the first.
	Append(ctx context.Context, s ident.Stream, records []Record) (ident.Offset, error)
	// Read returns records starting at an offset. It waits up to the duration for the first record. With CodeTrimmed,
	// the batch contains the earliest retained offset.
	Read(ctx context.Context, s ident.Stream, from ident.Offset, wait time.Duration) (Batch, error)
}
