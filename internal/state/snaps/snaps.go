// Package snaps decides when a snapshot of a stream's state is due. A snapshot must be appended to the stream well
// before the log drops the records that the state was folded from.
//
// # Usage
//
//	c := snaps.New(500, 10*time.Minute, now)
//	c.Count() // for each record
//	if c.IsDue(now) { c.Reset(now); appendSnapshot() }
package snaps

import (
	"time"

	"github.com/ibischute/ibischute/pkg/tick"
)

// Cadence counts the records since the newest snapshot of a stream. It is not safe for concurrent use.
type Cadence struct {
	records  int
	interval time.Duration
	count    int
	lastAt   tick.Time
}

// New returns a Cadence that makes a snapshot due after the given number of records or the interval, counted from now.
func New(records int, interval time.Duration, now tick.Time) *Cadence {
	return &Cadence{records: records, interval: interval, lastAt: now}
}

// Count counts one record since the newest snapshot.
func (c *Cadence) Count() { c.count++ }

// Reset records that a snapshot was read, or is about to be appended.
func (c *Cadence) Reset(now tick.Time) { c.count, c.lastAt = 0, now }

// IsDue reports whether a snapshot is due. A stream without new records does not need one.
func (c *Cadence) IsDue(now tick.Time) bool {
	return c.count >= c.records || (c.count > 0 && now.Sub(c.lastAt) >= c.interval)
}
