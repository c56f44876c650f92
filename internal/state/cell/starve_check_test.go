package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/state/book"
	"github.com/ibischute/ibischute/pkg/tick"
)

// check updates how long jobs have had nothing running.
func (s *starveSim) check() {
	usable := 0
	for _, x := range s.execs {
		if c := s.cell.execs[x.id]; c.isUsable(s.now) {
			usable++
		}
	}
	if s.now.Sub(s.start) > time.Second {
		s.result.fewestUsable = min(s.result.fewestUsable, usable)
	}
	switch {
	case usable > 0:
		s.result.unusableSince = 0
	case s.result.unusableSince == 0:
		s.result.unusableSince = s.now
	default:
		s.result.longestUnusable = max(s.result.longestUnusable, s.now.Sub(s.result.unusableSince))
	}
	running := map[orders.Task]bool{}
	hasRuns := map[string]bool{}
	for _, x := range s.execs {
		for _, r := range x.runs {
			running[r.id.Task] = true
			hasRuns[r.id.Task.Job] = true
		}
	}
	for _, j := range s.jobs {
		if j.isOver {
			continue
		}
		c := s.cell.jobs[j.id]
		if c == nil || book.IsFinal(c.state) {
			j.isOver = true
			if c != nil && c.state == jobpb.State_STATE_COMPLETED {
				j.took = s.now.Sub(j.acceptedAt)
			}
			continue
		}
		if j.kind == "long-running" {
			for _, t := range c.occurrences[0].steps[0].tasks {
				s.checkWait(j, t.id.Index, t, !running[t.id], starveRestartGrace)
			}
			continue
		}
		t := dueTask(c)
		s.checkWait(j, 0, t, !hasRuns[j.id] && t != nil, starveBound)
	}
}

// dueTask returns a task of a ready step that has no run.
func dueTask(j *job) *task {
	for _, st := range j.occurrences[0].steps {
		if st.waiting == 0 || !st.isReady() {
			continue
		}
		for _, t := range st.tasks {
			if !t.done && t.run == nil {
				return t
			}
		}
	}
	return nil
}

func (s *starveSim) checkWait(j *starveJob, index uint32, t *task, waits bool, bound time.Duration) {
	if s.ignoresWaits {
		return
	}
	if !waits || !s.hasRoomTwice(t) {
		delete(j.waitsSince, index)
		return
	}
	since, ok := j.waitsSince[index]
	if !ok {
		j.waitsSince[index] = s.now
		return
	}
	wait := s.now.Sub(since)
	if wait > bound && wait-starveTick <= bound {
		s.result.over[j.kind]++
		s.result.causes[j.kind+": "+s.refusals(t, false)]++
		s.countOverestimates(t)
		if j.movedAt != 0 && since.Sub(j.movedAt) < time.Second {
			s.result.overAfterMove++
		}
	}
	if wait > s.result.longest[j.kind] {
		s.result.longest[j.kind] = wait
		pb := t.step.pb
		s.result.detail[j.kind] = fmt.Sprintf("%s %s %d mCPU: %s", t.id.Job, pb.Image, pb.MilliCpu, s.refusals(t, true))
	}
}

// hasRoomTwice reports whether at least two executors have the room for the task. For a best-effort task that is memory
// alone.
func (s *starveSim) hasRoomTwice(t *task) bool {
	n := 0
	for _, x := range s.execs {
		if x.hasRoomFor(t) {
			n++
		}
	}
	return n >= 2
}

func (x *starveExecutor) hasRoomFor(t *task) bool {
	n := 0
	for _, r := range x.runs {
		if r.id.Task.Job == t.id.Job && r.id.Task.Step == t.id.Step {
			n++
		}
	}
	isApart := t.step.pb.MaxPerExecutor == 0 || n < int(t.step.pb.MaxPerExecutor)
	return isApart && x.free().covers(resourcesOf(t.step.pb))
}

// refusals describes why the executors that have the room for a task do not get it: how many for each reason, or only
// the reasons.
func (s *starveSim) refusals(t *task, counts bool) string {
	n := map[string]int{}
	for _, x := range s.execs {
		if x.hasRoomFor(t) {
			n[s.refusal(t, s.cell.execs[x.id])]++
		}
	}
	out := ""
	for _, k := range []string{
		"usable", "quarantined", "unusable", "unlisted room", "failed on", "near target", "forecast", "pause", "cpu",
	} {
		switch {
		case n[k] > 0 && counts:
			out += fmt.Sprintf("%s %d, ", k, n[k])
		case n[k] > 0:
			out += k + ", "
		}
	}
	return out
}

func (s *starveSim) refusal(t *task, x *executor) string {
	st := t.step
	switch {
	case s.now.Before(x.quarantinedUntil):
		return "quarantined"
	case !x.isUsable(s.now):
		return "unusable"
	case !x.allows(st, resourcesOf(st.pb)):
		return "unlisted room"
	case t.avoidsFailedOn(s.cell.newPass(s.now)) && slices.Contains(t.failedOn, x.entry.ID):
		return "failed on"
	case !st.pb.Fills:
		return "usable"
	}
	pauseOver := x.noBestEffortUntil
	_, ok := toleratesBestEffort(s.now, x, st)
	_, okLater := toleratesBestEffort(pauseOver, x, st)
	switch {
	case ok && x.freeBestEffortMilliCPU() < int64(st.pb.MilliCpu):
		return "cpu"
	case ok:
		return "usable"
	case okLater:
		return "pause"
	case slices.ContainsFunc(x.latencyCritical, func(r *run) bool { return r.isNearTarget }):
		return "near target"
	}
	return "forecast"
}

// starveResult are the findings of one simulation.
type starveResult struct {
	// longest is the longest wait of each kind of job, detail its circumstances, and over the number of waits beyond the
	// bound.
	longest map[string]time.Duration
	detail  map[string]string
	over    map[string]int
	jobs    map[string]int
	causes  map[string]int
	// longestUnusable is the longest time in which no executor was usable, fewestUsable their lowest number.
	longestUnusable time.Duration
	unusableSince   tick.Time
	fewestUsable    int
	longestHarm     time.Duration
	moved, halted   int
	// overAfterMove counts the waits beyond the bound that began with the stop of a moved run, mostMoves the most moves of
	// one job.
	overAfterMove, mostMoves int
	// refusedByForecast counts the executors that refused a wait over the bound by the forecast, overestimated those of
	// them that the true weights would have permitted.
	refusedByForecast, overestimated int
	// quarantines is the number of quarantines, by the event that announces them.
	quarantines map[string]int
}

// checkBestEffortStarts runs the simulation and checks that no best-effort job waits for longer than the bound.
func (s *starveSim) checkBestEffortStarts(t *testing.T) {
	t.Helper()
	r := s.run()
	r.log(t, fmt.Sprintf("%d executors", s.executors))
	longest := r.longest["best-effort"]
	assert.Assert(t, longest <= starveBound, "waited %v: %s", longest, r.detail["best-effort"])
}

// countOverestimates counts the executors that refuse the task by the forecast although the true weights permit it.
func (s *starveSim) countOverestimates(t *task) {
	pb := t.step.pb
	for _, x := range s.execs {
		c := s.cell.execs[x.id]
		if !x.hasRoomFor(t) || s.refusal(t, c) != "forecast" {
			continue
		}
		s.result.refusedByForecast++
		isPermitted := true
		for _, lc := range c.latencyCritical {
			added := s.weights[imagePair{lc.task.step.pb.Image, pb.Image}] * float64(pb.MilliCpu) / milliCPUPerCore
			isPermitted = isPermitted && added <= lc.headroom
		}
		if isPermitted {
			s.result.overestimated++
		}
	}
}

func (r *starveResult) log(t *testing.T, name string) {
	t.Helper()
	t.Logf("%s: jobs %v, waits over the bound %v, causes %v", name, r.jobs, r.over, r.causes)
	for k, d := range r.longest {
		t.Logf("   longest %s %v: %s", k, d, r.detail[k])
	}
	t.Logf("   unusable %v, fewest usable %d, over target %v, moved %d, halted %d, quarantines %v", r.longestUnusable,
		r.fewestUsable, r.longestHarm, r.moved, r.halted, r.quarantines)
	t.Logf("   overestimated %d of %d, after a move %d, most moves of a job %d", r.overestimated, r.refusedByForecast,
		r.overAfterMove, r.mostMoves)
}
