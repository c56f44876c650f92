// Package entry checks the entries of executors in service discovery. Other programs may write there too, so an entry
// that can be decoded may still have an address that no connection can be opened to, or numbers that overflow where the
// leader adds or converts them.
//
// # Usage
//
//	if err := entry.Check(e); err != nil { ... } // the entry names no executor to use
package entry

import (
	"net/netip"
	"time"

	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/queue"
)

const (
	// maxAmount limits each part of a capacity, so that the sum over millions of executors fits 64 bits.
	maxAmount = 1 << 40
	// maxSequence limits the number of an executor's writes. A process that writes a thousand times a second gets there
	// after 34 years.
	maxSequence = 1 << 40
	// maxRemaining limits the time for which an executor keeps serving or stays cold.
	maxRemaining = 365 * 24 * time.Hour
	// maxStartedMS limits the start time of a process, in milliseconds since 1970. It is in the year 2248. The local clock
	// is no limit: if it were wrong, no entry would name an executor.
	maxStartedMS = 1 << 43
)

// Check returns an error if the entry names no executor that can be used.
func Check(e queue.Executor) error {
	switch {
	case !isAddress(e.Address):
		return invalidError("address")
	case !isWithin(e.MilliCPU, maxAmount) || !isWithin(e.MemoryMB, maxAmount) || !isWithin(e.GPUs, maxAmount):
		return invalidError("capacity")
	case !isWithin(e.Sequence, maxSequence):
		return invalidError("sequence number")
	case !isWithin(e.RemainingMS, maxRemaining.Milliseconds()):
		return invalidError("remaining time")
	case !isWithin(e.ColdRemainingMS, maxRemaining.Milliseconds()):
		return invalidError("remaining time of the warm-up")
	case !isWithin(e.StartedMS, maxStartedMS):
		return invalidError("start time")
	}
	return nil
}

// isAddress reports whether the text is an IP address and a port to which a connection can be opened.
func isAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0
}

func isWithin(n, most int64) bool { return n >= 0 && n <= most }

func invalidError(field string) error {
	return fault.New(fault.CodeBadRequest, fault.NotRun, "entry of an executor with an invalid "+field)
}
