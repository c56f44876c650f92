// Package share divides resources between two sides that both wait for them: the smaller side gets a fixed share of
// what is given out while it waits, the other side the rest. What a side does not take, the other one may.
//
// # Usage
//
//	b := share.New(1.0/3, limit)
//	b.Begin(isWaiting)
//	if b.IsDue() { n := b.Units(size); b.Took(size * n) } else { b.OthersTook(size) }
package share

import "math"

// Balance is a deficit counter: what the smaller side is owed.
type Balance struct {
	share, limit float64
	// owed is negative if the smaller side has had more than its share.
	owed float64
}

// New returns a balance for the share of the smaller side, between 0 and 1. What a side is owed never exceeds the
// limit, so that it can't take everything after it had no use for its share.
func New(share, limit float64) *Balance { return &Balance{share: share, limit: limit} }

// Begin notes whether the smaller side waits. A side that does not wait is owed nothing.
func (b *Balance) Begin(isWaiting bool) {
	if !isWaiting {
		b.owed = min(b.owed, 0)
	}
}

// IsDue reports whether it is the turn of the smaller side.
func (b *Balance) IsDue() bool { return b.owed >= 0 }

// Units returns how many units of the size the smaller side may take in a row: until it has had its share. It is at
// least 1 if the smaller side is due, and 0 otherwise.
func (b *Balance) Units(size float64) int {
	switch {
	case !b.IsDue():
		return 0
	case size <= 0:
		return math.MaxInt32
	}
	return int(min(math.MaxInt32, b.owed/((1-b.share)*size))) + 1
}

// Took notes that the smaller side took an amount.
func (b *Balance) Took(amount float64) { b.add(-(1 - b.share) * amount) }

// OthersTook notes that the other side took an amount.
func (b *Balance) OthersTook(amount float64) { b.add(b.share * amount) }

func (b *Balance) add(amount float64) { b.owed = max(-b.limit, min(b.limit, b.owed+amount)) }
