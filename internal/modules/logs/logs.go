// Package logs is the interface to the platform's log: topics of partitions, with conditions and producer epochs.
//
// A keyed topic retains the newest record of each key; any other topic forgets its records after a while.
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

// Topic names a topic of the log.
type Topic struct {
	Name  string
	Keyed bool
}

// Part numbers a partition of a topic.
type Part uint32

// Offset is the position of a record in a partition.
type Offset uint64

// Record is one record. Key is empty outside keyed topics. A keyed record with an empty value removes its key.
type Record struct {
	Key    string
	Value  []byte
	Offset Offset
}

// Condition restricts an append. The zero value appends always.
type Condition struct {
	// At, unless nil, demands that the partition ends there.
	At *Offset
	// Producer, Epoch and Sequence, unless Producer is empty, fence lower epochs and recognize repeats.
	Producer string
	Epoch    uint64
	Sequence uint64
}

// Page is the answer to a read: the records, the end of the partition and its first retained offset.
type Page struct {
	Records []Record
	End     Offset
	First   Offset
}

// Next returns the offset after the page's last record, or from if the page is empty.
func (p Page) Next(from Offset) Offset {
	if len(p.Records) == 0 {
		return from
	}
	return p.Records[len(p.Records)-1].Offset + 1
}

// Log is the platform's log.
type Log interface {
	// Append adds the records, all or none, and returns the offset of the first one.
	Append(ctx context.Context, t Topic, p Part, records []Record, c Condition) (Offset, error)
	// Read returns records from the offset on and waits up to wait for the first one.
	Read(ctx context.Context, t Topic, p Part, from Offset, wait time.Duration) (Page, error)
	// Newest returns the newest record of each key, and an offset from which a read misses no later record.
	Newest(ctx context.Context, t Topic, p Part) ([]Record, Offset, error)
}

// ConflictError reports an append whose condition on the end of the partition did not hold.
type ConflictError struct {
	End Offset
}

// Error implements error.
func (e *ConflictError) Error() string {
	return "the partition ends at " + strconv.FormatUint(uint64(e.End), 10)
}

// FencedError reports an append with an epoch below one that the partition has seen.
type FencedError struct{}

// Error implements error.
func (e *FencedError) Error() string { return "a higher epoch has written to the partition" }

// SequenceError reports an append whose sequence number does not follow the last one.
type SequenceError struct {
	Expected uint64
}

// Error implements error.
func (e *SequenceError) Error() string {
	return "the next sequence number is " + strconv.FormatUint(e.Expected, 10)
}

// TrimmedError reports a read of records that are no longer retained.
type TrimmedError struct {
	First Offset
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return "the first retained offset is " + strconv.FormatUint(uint64(e.First), 10)
}

// The topics that ibischute keeps. The partition is the number of the cell.
var (
	// Intake has the jobs and cancels that callers handed in, written by every instance.
	Intake = Topic{Name: "intake", Keyed: true}
	// Progress has the newest state of each job and the executors in use, written by the lead of the cell.
	Progress = Topic{Name: "progress", Keyed: true}
	// Election has the claims and heartbeats of the leads of the cells.
	Election = Topic{Name: "election"}
	// Operator has the configuration and requests of the operator; it is read only.
	Operator = Topic{Name: "operator", Keyed: true}
	// Backends has the entries of the executors; it is read only.
	Backends = Topic{Name: "backends", Keyed: true}
)
