// Package doubt remembers the keys of records whose outcome is unknown, so that a later refusal of the same record is
// not taken as proof that it will never be stored.
//
// # Usage
//
//	s := doubt.New(4096, time.Minute)
//	s.Add(now, "j/5c0e7a21d94b36f8")
//	if s.Has(now, key) { /* the outcome is unknown */ }
package doubt

import (
	"sync"
	"time"

	"github.com/ibischute/ibischute/pkg/tick"
)

// Set is a bounded set of keys that expire. It is safe for concurrent use.
type Set struct {
	capacity int
	lifetime time.Duration

	mu    sync.Mutex
	until map[string]tick.Time
	// order has the keys in the order in which they were added last, with their expiry. A key that was added again or
	// removed has former entries in it.
	order []expiry
}

type expiry struct {
	key   string
	until tick.Time
}

// New returns an empty Set that keeps each key for the lifetime, and at most as many as the capacity, the newest ones.
func New(capacity int, lifetime time.Duration) *Set {
	return &Set{capacity: capacity, lifetime: lifetime, until: map[string]tick.Time{}}
}

// Add adds a key, or renews it.
func (s *Set) Add(now tick.Time, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpired(now)
	if len(s.order) >= s.capacity {
		s.dropFirst()
	}
	until := now.Add(s.lifetime)
	s.until[key] = until
	s.order = append(s.order, expiry{key, until})
}

// Has reports whether the key was added within the lifetime and not removed.
func (s *Set) Has(now tick.Time, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpired(now)
	_, ok := s.until[key]
	return ok
}

// Remove removes a key whose outcome is known.
func (s *Set) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.until, key)
}

// dropExpired drops the expired keys. The caller must hold the mutex.
func (s *Set) dropExpired(now tick.Time) {
	for len(s.order) > 0 && !now.Before(s.order[0].until) {
		s.dropFirst()
	}
}

// dropFirst drops the oldest entry, and its key unless that was added again. The caller must hold the mutex.
func (s *Set) dropFirst() {
	first := s.order[0]
	s.order = s.order[1:]
	if s.until[first.key] == first.until {
		delete(s.until, first.key)
	}
}
