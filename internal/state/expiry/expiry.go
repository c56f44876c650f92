// Package expiry encodes by when the leases of executors will have expired, for a leader that ends its term to tell its
// successor.
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

const (
	// maxLeft is the longest time that a message may state. Those with more are ignored.
	maxLeft = time.Hour
	// maxBytes limits the size of the messages, so that they fit a record. messageBytes is that of a message without the
	// id of its executor.
	maxBytes     = 128 << 10
	messageBytes = 12
)

// Times has by when the leases of executors will have expired, by the ids of the executors. Nothing is known of an
// executor that it lacks.
type Times map[string]tick.Time

// Messages returns the times as messages that are sent at now, rounded up, or none if they are too large.
func (t Times) Messages(now tick.Time) []*jobpb.ExecutorLease {
	list := make([]*jobpb.ExecutorLease, 0, len(t))
	size := 0
	for id, at := range t {
		size += messageBytes + len(id)
		left := max(0, at.Sub(now)+time.Millisecond-1)
		list = append(list, &jobpb.ExecutorLease{Executor: id, LeftMs: uint64(left.Milliseconds())})
	}
	if size > maxBytes {
		return nil
	}
	return list
}

// Read returns the times that messages state which were received at now. They are later than those of the sender by the
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
