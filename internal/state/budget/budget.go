// Package budget limits retries to a share of the traffic, so that retries do not double the load on a failing back
// end.
//
// # Usage
//
//	b := budget.New()
//	b.Deposit(10) // percent, for each first attempt
//	if b.Withdraw() { retry() }
package budget

import "sync"

const (
	// maxTokens limits the number of retries that can accumulate.
	maxTokens = 50
	// initialTokens allows retries before the first request has been counted.
	initialTokens = 5
)

// Budget is a token bucket of retries that is refilled by first attempts.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// New returns a Budget with the initial tokens.
func New() *Budget { return &Budget{tokens: initialTokens} }

// Deposit adds the given percentage of one retry, for a first attempt.
func (b *Budget) Deposit(percent float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxTokens, b.tokens+percent/100)
}

// Withdraw takes one token and reports whether one was available.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
