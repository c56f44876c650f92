package cell

import (
	"time"

	"github.com/ibischute/ibischute/pkg/tick"
)

// maxCapacityAge is how old the known capacity of an executor that does not enforce it may be for a start. An order
// takes up to 0.8 s, and together with it a start relies on a capacity that was read at most 3 s ago.
const maxCapacityAge = 2200 * time.Millisecond

// enforcesCapacity reports whether the executors of the service refuse what exceeds their capacity. Those of a service
// that the configuration does not name may not.
func (c *Cell) enforcesCapacity(service string) bool {
	return c.config != nil && c.config.Services[service].EnforcesCapacity
}

// KnowsCapacity reports whether a start on the executor may rely on its capacity. An executor that enforces it refuses
// what does not fit. For another one, the entry must be recent and that of the present process.
func (c *Cell) KnowsCapacity(now tick.Time, id string) bool {
	x, ok := c.execs[id]
	return ok && x.knowsCapacity(now)
}

func (x *executor) knowsCapacity(now tick.Time) bool {
	if x.enforcesCapacity {
		return true
	}
	return x.hasEntryOfProcess() && now.Sub(x.capacityReadAt) <= maxCapacityAge
}

// hasEntryOfProcess reports whether the entry belongs to the process that sent the last list. A new process may have
// another capacity.
func (x *executor) hasEntryOfProcess() bool {
	return x.entry.StartedMS == 0 || x.startedMS == 0 || x.entry.StartedMS == x.startedMS
}
