package cell

import "github.com/ibischute/ibischute/pkg/tick"

// StartBlockedBy returns why a start order must not be sent, or an empty string if it may be. It is to be called right
// before the order is sent: an order may wait for a connection, and meanwhile its executor may have restarted.
func (c *Cell) StartBlockedBy(now tick.Time, o Order) string {
	x, ok := c.execs[o.Target.ID]
	if !ok {
		return "the executor is gone"
	}
	r, ok := x.runs[o.Start.Run.Task]
	switch {
	case !ok || r.id != o.Start.Run:
		return "the run is over"
	case x.isEvacuated:
		return "the failure domain is evacuated"
	case x.isDraining():
		return "the executor is draining"
	case !x.hasResponded || x.isUnresponsive || x.hasRestartedSince(r):
		return "the executor may have restarted"
	case !x.knowsCapacity(now):
		return "the capacity of the executor is not known"
	case !x.satisfies(r.task.step.pb.RequiresLabel):
		return "the executor is not known to have the label"
	}
	return ""
}
