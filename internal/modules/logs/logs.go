// Package logs defines the interface to the platform's log for `ibischute node`: partitioned topics with conditional
// appends and producer epochs. Package logio is the one for `ibischute serve`.
//
// A keyed topic retains the newest record of each key; other topics drop records after a retention period.
//
// # Usage
//
//	at, err := log.Append(ctx, logs.Intake, part, []logs.Record{{Key: id, Value: b}}, logs.Condition{})
//	page, err := log.Read(ctx, logs.Intake, part, from, time.Second)
package logs

import (
	"context"
	"strconv"
	"time"
)

// Topic identifies a topic of the log.
type Topic struct {
	Name  string
	Keyed bool
}

// MaxKeyBytes is the maximum length of a key.
const MaxKeyBytes = 255

// Part is the number of a partition of a topic.
type Part uint32

// Offset is the position of a record in a partition.
type Offset uint64

// Record is one record of a partition. Key is empty in topics that are not keyed. In a keyed topic, a record with an
// empty value deletes its key.
type Record struct {
	Key    string
	Value  []byte
	Offset Offset
}

// Condition is the precondition of an append. The zero value always holds.
type Condition struct {
	// At is the required end offset of the partition, if not nil.
	At *Offset
	// Producer, Epoch and Sequence fence lower epochs and detect duplicate appends. They are ignored if Producer is
	// empty.
	Producer string
	Epoch    uint64
	Sequence uint64
}

// Page is the result of a read: the records, the end of the partition and its first retained offset.
type Page struct {
	Records []Record
	End     Offset
	First   Offset
}

// Next returns the offset after the last record of the page, or from if the page is empty.
func (p Page) Next(from Offset) Offset {
	if len(p.Records) == 0 {
		return from
	}
	return p.Records[len(p.Records)-1].Offset + 1
}

// Log is a client of the platform's log.
type Log interface {
	// Append adds the records atomically and returns the offset of the first one.
	Append(ctx context.Context, t Topic, p Part, records []Record, c Condition) (Offset, error)
	// Read returns records starting at the offset and waits up to wait for the first one.
	Read(ctx context.Context, t Topic, p Part, from Offset, wait time.Duration) (Page, error)
	// Newest returns the newest record of each key and the offset from which to read all later records.
	Newest(ctx context.Context, t Topic, p Part) ([]Record, Offset, error)
}

// ConflictError reports an append that was rejected because the partition does not end at Condition.At.
type ConflictError struct {
	End Offset
}

// Error implements error.
func (e *ConflictError) Error() string {
	return "append conflict: the partition ends at " + strconv.FormatUint(uint64(e.End), 10)
}

// FencedError reports an append that was rejected because the partition has records of a higher epoch.
type FencedError struct{}

// Error implements error.
func (e *FencedError) Error() string { return "a higher epoch has written to the partition" }

// SequenceError reports an append that was rejected because its sequence number is not the next one.
type SequenceError struct {
	Expected uint64
}

// Error implements error.
func (e *SequenceError) Error() string {
	return "unexpected sequence number: the next one is " + strconv.FormatUint(e.Expected, 10)
}

// TrimmedError reports a read of records that are no longer retained.
type TrimmedError struct {
	First Offset
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return "offset no longer retained: the first retained one is " + strconv.FormatUint(uint64(e.First), 10)
}

// The topics that ibischute uses. The partition is the number of the cell.
var (
	// Intake contains the jobs and cancellations submitted by callers. Every instance writes to it.
	Intake = Topic{Name: "intake", Keyed: true}
	// Progress contains the newest state of each job and the executors in use. The leader of the cell writes to it.
	Progress = Topic{Name: "progress", Keyed: true}
	// Election contains the leadership claims and heartbeats of the leaders of the cells.
	Election = Topic{Name: "election"}
	// Operator contains the configuration and the requests of the operator. It is read-only for ibischute.
	Operator = Topic{Name: "operator", Keyed: true}
	// Backends contains the entries of the executors. It is read-only for ibischute.
	Backends = Topic{Name: "backends", Keyed: true}
)
