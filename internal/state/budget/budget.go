// Package budget bounds retries to a share of the traffic, so that a failing back end is not met with double load.
//
// # Usage
//
//	b := budget.New()
//	b.Deposit(10) // percent, for each first attempt
//	if b.Withdraw() { retry() }
package budget

import "sync"

const (
	// maxTokens bounds the retries that can be saved up.
	maxTokens = 50
	// initialTokens allows retries before there was any traffic.
	initialTokens = 5
)

// Budget is a bucket of retries that first attempts fill.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// New returns a Budget with a few retries in it.
func New() *Budget { return &Budget{tokens: initialTokens} }

// Deposit counts a first attempt that allows the percentage of a retry.
func (b *Budget) Deposit(percent float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxTokens, b.tokens+percent/100)
}

// Withdraw takes one retry out and reports whether there was one.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
