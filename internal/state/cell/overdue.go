package cell

import (
	"math"
	"time"

	"github.com/ibischute/ibischute/internal/state/interf"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// maxBestEffortDeferral is how long a forecast or a pause may keep a best-effort job without a run: half the time for
	// which a due task may have none.
	maxBestEffortDeferral = 1500 * time.Millisecond
	// maxThrottledDeferral is how long throttled runs may keep it from an executor in addition.
	maxThrottledDeferral = 500 * time.Millisecond
)

// updateIdle records since when the job has had a due task and no run.
func (j *job) updateIdle(now tick.Time, isDue bool) {
	switch {
	case !isDue || j.hasRuns():
		j.idleSince = 0
	case j.idleSince == 0:
		j.idleSince = now
	}
}

// isOverdue reports whether the job has had no run for maxBestEffortDeferral.
func (j *job) isOverdue(now tick.Time) bool {
	return j.idleSince != 0 && now.Sub(j.idleSince) >= maxBestEffortDeferral
}

// placeOverdue places one task of a best-effort step that no executor tolerates, so that its job does not wait without
// a bound for a forecast that may be wrong. The run is throttled to the headroom of the executor and provides samples
// that correct the forecast. It returns the number of placed runs.
func (c *Cell) placeOverdue(now tick.Time, p *pass, s *step) int {
	t := s.firstStartable(now)
	if t == nil {
		return 0
	}
	x, pace := p.mostHeadroom(t)
	if x == nil {
		return 0
	}
	c.placeRun(now, t, x, c.nextRunNumber(t))
	c.emit(Event{Name: "started-overdue", Task: t.id, Run: t.run.id.Number, Executor: x.entry.ID})
	t.run.pace, t.run.lowPaceSince = pace, now
	t.run.isPaceUnconfirmed = pace < fullPacePercent
	return 1
}

func (s *step) firstStartable(now tick.Time) *task {
	for _, t := range s.tasks {
		if t.isStartable(now) {
			return t
		}
	}
	return nil
}

// mostHeadroom returns the executor that can run a best-effort task at the highest pace, and that pace. It returns nil
// if no executor takes an overdue task.
func (p *pass) mostHeadroom(t *task) (*executor, int) {
	s, need := t.step, resourcesOf(t.step.pb)
	avoids := t.avoidsFailedOn(p)
	var best *executor
	highest := math.Inf(-1)
	p.forEachWithRoom(s, need, bestEffortCPUAtTargets, func(x *executor) {
		isCandidate := p.hasRoomFor(s, need, x) && x.takesOverdue(p.now, s.job)
		if !isCandidate || avoids && t.hasFailedOn(x) {
			return
		}
		if share := x.toleratedShare(s); share > highest {
			best, highest = x, share
		}
	})
	return best, max(paceStepPercent, int(highest*fullPacePercent)/paceStepPercent*paceStepPercent)
}

// takesOverdue reports whether a task of the overdue job may start on the executor although its runs do not tolerate
// it: no latency-critical run exceeds its target and, for some time, no best-effort run is throttled.
func (x *executor) takesOverdue(now tick.Time, j *job) bool {
	isUrgent := now.Sub(j.idleSince) >= maxBestEffortDeferral+maxThrottledDeferral
	return !x.hasRunOverTarget() && (isUrgent || !x.hasThrottledRun())
}

// hasThrottledRun reports whether a best-effort run of the executor is below its full pace.
func (x *executor) hasThrottledRun() bool {
	for _, r := range x.bestEffort {
		if r.pace < fullPacePercent {
			return true
		}
	}
	return false
}

// hasRunOverTarget reports whether a latency-critical run of the executor exceeds its target.
func (x *executor) hasRunOverTarget() bool {
	return x.knownTolerance().isOverTarget
}

// toleratedShare returns the share of its full pace at which the latency-critical runs tolerate a task of the step. It
// is at most 1, and negative if there is no headroom.
func (x *executor) toleratedShare(s *step) float64 {
	share := 1.0
	for _, l := range x.knownTolerance().limits {
		if added := addedLoad(l.regression, s); added > 0 {
			share = min(share, l.headroom/added)
		}
	}
	return share
}

// addedLoad returns the load that a best-effort task of the step adds at its full pace to a latency-critical run with
// the regression.
func addedLoad(g *interf.Regression, s *step) float64 {
	return g.Weight(s.pb.Image) * float64(s.pb.MilliCpu) / milliCPUPerCore
}
