package cell

import "github.com/ibischute/ibischute/pkg/tick"

// requiredProcess returns the start time of the process that alone may get the start of a task of the step, because the
// start relies on what only the entry of that process states: its labels, or its capacity if it does not enforce that.
// It returns 0 if any process of the executor may get the start.
func (x *executor) requiredProcess(s *step) int64 {
	if s.pb.RequiresLabel == "" && x.enforcesCapacity {
		return 0
	}
	return x.startedMS
}

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
