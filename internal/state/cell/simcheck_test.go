package cell

import (
	"time"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/orders"
)

// checkStart checks the guarantees about each start.
func (sim *simulation) checkStart(x *simExecutor, o orders.Start, step *jobpb.Step) {
	t := o.Run.Task
	sim.kinds.noteStart(step)
	sameStep := 0
	for _, y := range sim.execs {
		if y.isDown {
			continue
		}
		if len(y.runs) > 0 && y.clockMS() >= y.leaseDeadlineMS {
			y.endExpiredRuns()
		}
		if r, ok := y.runs[t]; ok {
			sim.recordViolation("task %v still runs on %s as run %d and starts on %s as run %d",
				t, y.id, r.id.Number, x.id, o.Run.Number)
		}
	}
	for _, r := range x.runs {
		if r.id.Task.Job == t.Job && r.id.Task.Step == t.Step {
			sameStep++
		}
	}
	for r := range sim.doneRuns[t] {
		sim.doneRuns[t][r] = true
	}
	if sim.acked[t] {
		sim.recordViolation("task %v starts although its end as done was acknowledged", t)
	}
	if step.MaxPerExecutor > 0 && sameStep >= int(step.MaxPerExecutor) {
		sim.recordViolation("task %v starts beside %d others of its step, more than MaxPerExecutor permits", t, sameStep)
	}
	if limit := sim.capacities.limit(x, o.Run); !x.enforcesCapacity && !limit.minus(x.used()).covers(resourcesOf(step)) {
		sim.recordViolation("run %v exceeds the resources of %s: total %v, used %v; started by epoch %d",
			o.Run, x.id, limit, x.used(), o.FencingToken)
	}
	if step.RequiresLabel != "" && x.labels[0] != step.RequiresLabel {
		sim.recordViolation("task %v starts on an executor without the required label %s", t, step.RequiresLabel)
	}
	if at, ok := sim.evacuatedAt[x.domain]; ok && sim.now.Sub(at) > evacuateWithin+longestLateRequest {
		sim.recordViolation("task %v starts on %s %v after the evacuation of its domain", t, x.id, sim.now.Sub(at))
	}
	for _, d := range step.DependsOn {
		for i := range sim.jobs[t.Job].Steps[d].Count {
			if !sim.done[orders.Task{Job: t.Job, Occurrence: t.Occurrence, Step: d, Index: i}] {
				sim.recordViolation("task %v starts before step %d is done", t, d)
			}
		}
	}
	if at, ok := sim.cancelled[t.Job]; ok && sim.now.Sub(at) > 15*time.Second {
		sim.recordViolation("task %v starts more than 15 s after its job was cancelled", t)
	}
}
