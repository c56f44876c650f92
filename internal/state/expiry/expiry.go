// Package expiry passes on when the leases of executors expire, from a leader that ends its term to its successor.
//
// # Usage
//
//	list := expiry.Times{"x1": until}.Messages(now)
//	ends := expiry.Read(receivedAt, list)
package expiry

import (
	"time"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/pkg/tick"
)

// maxLeft is the longest time that a message may state. Those with more are ignored.
const maxLeft = time.Hour

// Times has when the leases of executors have expired, by the ids of the executors.
type Times map[string]tick.Time

// Messages returns the ends as messages that are sent at now, rounded up.
func (e Times) Messages(now tick.Time) []*jobpb.ExecutorLease {
	list := make([]*jobpb.ExecutorLease, 0, len(e))
	for id, at := range e {
		left := max(0, at.Sub(now)+time.Millisecond-1)
		list = append(list, &jobpb.ExecutorLease{Executor: id, LeftMs: uint64(left.Milliseconds())})
	}
	return list
}

// Read returns the ends that messages state which were received at now. They are later than those of the sender by the
// time that the messages were on their way.
func Read(now tick.Time, list []*jobpb.ExecutorLease) Times {
	ends := make(Times, len(list))
	for _, l := range list {
		if l.LeftMs > uint64(maxLeft.Milliseconds()) {
			continue
		}
		ends[l.Executor] = now.Add(time.Duration(l.LeftMs) * time.Millisecond)
	}
	return ends
}
