// Package fresh decides whether data that is read from the store again and again is recent enough to act on.
//
// Data older than the limit must be read again first, for instance after the process was paused. This is bounded: where
// the store answers nothing to this process, its data cannot be refreshed, and another rule limits how long it may act
// (the leadership lease). Where the store answers other calls, the old data may be used again after a bound.
//
// # Usage
//
//	g := fresh.New(2500*time.Millisecond, bound)
//	if g.Permits(now, fresh.Reads{ConfirmedAt: c, FailedSentAt: f}, hasStoreAnswered) { act() }
package fresh

import (
	"time"

	"github.com/ibischute/ibischute/pkg/tick"
)

// Gate permits actions while the data is fresh. It is not safe for concurrent use.
type Gate struct {
	maxAge, bound time.Duration
	// closedSince is since when the Gate has permitted nothing; 0 if it does.
	closedSince tick.Time
}

// Reads is the state of the reads of the data.
type Reads struct {
	// ConfirmedAt is a time at which the data was up to date.
	ConfirmedAt tick.Time
	// FailedSentAt is when the last read that failed was sent; 0 if none has failed.
	FailedSentAt tick.Time
}

// New returns a Gate for data that is fresh up to maxAge. It stays closed for at most the bound. A bound of 0 means
// that the data need not be fresh.
func New(maxAge, bound time.Duration) *Gate { return &Gate{maxAge: maxAge, bound: bound} }

// Permits reports whether the data may be used. isStoreAnswering reports whether the store has just answered another
// call of this process.
func (g *Gate) Permits(now tick.Time, r Reads, isStoreAnswering bool) bool {
	hasTried := r.FailedSentAt != 0 && now.Sub(r.FailedSentAt) <= g.maxAge
	isStoreSilent := hasTried && !isStoreAnswering
	if g.bound == 0 || now.Sub(r.ConfirmedAt) <= g.maxAge || isStoreSilent {
		g.closedSince = 0
		return true
	}
	if g.closedSince == 0 {
		g.closedSince = now
	}
	return now.Sub(g.closedSince) > g.bound
}

// ClosedSince returns since when the data has been too old, or 0 if it is not.
func (g *Gate) ClosedSince() tick.Time { return g.closedSince }
