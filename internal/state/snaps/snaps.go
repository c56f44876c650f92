// Package snaps decides when a snapshot of a stream's state is due. A snapshot must be appended to the stream well
// before the log drops the records that the state was folded from.
//
// # Usage
//
//	s := snaps.New(500, 10*time.Minute, now)
//	s.Count() // for each record
//	if s.IsDue(now) { s.Reset(now); appendSnapshot() }
package snaps

import (
	"time"

	"github.com/ibischute/ibischute/pkg/tick"
)

// Schedule decides when the next snapshot of a stream is due. It counts the records since the newest snapshot, and is
// not safe for concurrent use.
type Schedule struct {
	records  int
	interval time.Duration
	count    int
	lastAt   tick.Time
}

// New returns a Schedule that makes a snapshot due after the given number of records or the interval, counted from
// now.
func New(records int, interval time.Duration, now tick.Time) *Schedule {
	return &Schedule{records: records, interval: interval, lastAt: now}
}

// Count counts one record since the newest snapshot.
func (s *Schedule) Count() { s.count++ }

// Reset records that a snapshot was read, or is about to be appended.
func (s *Schedule) Reset(now tick.Time) { s.count, s.lastAt = 0, now }

// IsDue reports whether a snapshot is due. A stream without new records does not need one.
func (s *Schedule) IsDue(now tick.Time) bool {
	return s.count >= s.records || (s.count > 0 && now.Sub(s.lastAt) >= s.interval)
}
