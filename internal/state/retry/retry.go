// Package retry decides after which time a caller may repeat a refused request.
//
// The delays are whole seconds, because that is what the header Retry-After carries. They grow with the time for which
// the dependency has been down, so that few repeats span an outage. Callers are spread by a hash of their key: at
// first half of them get a second more, and the share grows with the delay.
//
// # Usage
//
//	d := retry.NewSchedule(time.Second, 2*time.Second).After(circuit.DownFor(now), "j/5c0e7a21d94b36f8")
package retry

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Schedule computes the delays. It is safe for concurrent use.
type Schedule struct {
	first, longest time.Duration
}

// NewSchedule returns a Schedule whose delays begin at first and do not exceed longest. Both must be whole seconds.
func NewSchedule(first, longest time.Duration) Schedule {
	return Schedule{first: first, longest: longest}
}

// spreadSteps is the number of groups into which the hash divides the callers.
const spreadSteps = 1 << 16

// initialShare is the part of a second by which the delays exceed first on average at the beginning, which spreads
// callers that are refused at the same time.
const initialShare = time.Second / 2

// After returns the delay for the caller with the key when the dependency has been down for the given time. It is the
// sum of first, initialShare and the time down, rounded down or up depending on the key, and at most longest.
func (s Schedule) After(down time.Duration, key string) time.Duration {
	offset := time.Second * time.Duration(xxhash.Sum64String(key)%spreadSteps) / spreadSteps
	grown := min(max(0, down), s.longest-s.first)
	return min(s.longest, (s.first + initialShare + grown + offset).Truncate(time.Second))
}
