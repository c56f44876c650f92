package cell

import (
	"fmt"
	"time"

	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// maxCapacityAge is how old the known capacity of an executor that does not enforce it may be for a start. An order
	// takes up to 0.8 s, and together with it a start relies on a capacity that was read at most 3 s ago.
	maxCapacityAge = 2200 * time.Millisecond
	// entryRewriteTime is the time within which executors write their entries again after the store was down.
	entryRewriteTime = 2500 * time.Millisecond
)

// entryReads is what the cell knows about the reads of the executors' entries.
type entryReads struct {
	// readAt is when the entries were last read, gapEndedAt when they were first read or could be read again.
	readAt, gapEndedAt tick.Time
	// haveSequences is true once an entry with a further sequence of the same process was read.
	haveSequences bool
}

// setCapacity applies the capacity that an entry states.
func (c *Cell) setCapacity(x *executor, total resources) {
	if x.isListed && x.total != total {
		c.emit(Event{
			Name: "executor-capacity-changed", Executor: x.entry.ID,
			Detail: fmt.Sprintf("from %v to %v", x.total, total),
		})
	}
	x.total = total
}

// enforcesCapacity reports whether the executors of the service refuse what exceeds their capacity. Those of a service
// that the configuration does not name may not.
func (c *Cell) enforcesCapacity(service string) bool {
	return c.config != nil && c.config.Services[service].EnforcesCapacity
}

// knowsCapacity reports whether a start on the executor may rely on its capacity. An executor that enforces it refuses
// what does not fit. For another one, the entry must be recent and that of the present process.
func (x *executor) knowsCapacity(now tick.Time) bool {
	if x.enforcesCapacity {
		return true
	}
	return x.registration.IsNewestOwn() && now.Sub(x.capacityReadAt) <= maxCapacityAge
}

// noteEntriesRead records that the entries were read at the time readAt. After a gap, and at the first read, they may
// be from before an outage of the store, in which executors could not rewrite them.
func (c *Cell) noteEntriesRead(readAt tick.Time) {
	isGap := c.entries.readAt == 0 || readAt.Sub(c.entries.readAt) > maxCapacityAge
	c.entries.readAt = readAt
	if !isGap {
		return
	}
	c.entries.gapEndedAt = readAt
	for _, x := range c.execs {
		x.isEntryOld = true
	}
}

// noteCapacityRead records as of when the entry, which was read at the time readAt, states the capacity. An entry from
// before a gap does not, until it was rewritten. Where entries state no sequence that rises with each write, this is
// assumed after entryRewriteTime.
func (c *Cell) noteCapacityRead(x *executor, readAt tick.Time, e queue.Executor) {
	// A change since before the gap may be from right before the outage.
	isAfterGap := readAt.After(c.entries.gapEndedAt)
	isSameProcess := x.entry.StartedMS == e.StartedMS
	isRewritten := isAfterGap && (!isSameProcess || x.entry.Sequence != e.Sequence)
	c.entries.haveSequences = c.entries.haveSequences || isRewritten && isSameProcess
	isTimeOver := !c.entries.haveSequences && readAt.Sub(c.entries.gapEndedAt) >= entryRewriteTime
	if isRewritten || isTimeOver {
		x.isEntryOld = false
	}
	if !x.isEntryOld {
		x.capacityReadAt = readAt
	}
}
