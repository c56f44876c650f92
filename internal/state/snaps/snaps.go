// Package snaps decides when the state of a stream is due to be appended to it again, well before the log drops the
// records that the state is made of.
//
// # Usage
//
//	c := snaps.New(500, 10*time.Minute, now)
//	c.Count() // for each record
//	if c.IsDue(now) { c.Seen(now); appendSnapshot() }
package snaps

import (
	"time"

	"github.com/ibischute/ibischute/pkg/tick"
)

// Cadence counts what follows the newest snapshot of a stream. It is not safe for concurrent use.
type Cadence struct {
	records  int
	interval time.Duration
	count    int
	at       tick.Time
}

// New returns a Cadence of at most so many records and so much time after a snapshot, counted from now.
func New(records int, interval time.Duration, now tick.Time) *Cadence {
	return &Cadence{records: records, interval: interval, at: now}
}

// Count counts a record after the newest snapshot.
func (c *Cadence) Count() { c.count++ }

// Seen notes that a snapshot was read, or is about to be appended.
func (c *Cadence) Seen(now tick.Time) { c.count, c.at = 0, now }

// IsDue reports whether a snapshot is due. A stream without new records needs none.
func (c *Cadence) IsDue(now tick.Time) bool {
	return c.count >= c.records || (c.count > 0 && now.Sub(c.at) >= c.interval)
}
