package cell

import (
	"slices"
	"time"

	"github.com/ibischute/ibischute/internal/state/crash"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// stepTrialWork is how long a run of a step on trial has to work until the other tasks may start.
	stepTrialWork = time.Second
	// isolationWait is how long a task waits for an executor without another suspect for each of its crashes. Those with
	// open losses alone do not wait, since all tasks of an executor that is cut off have such losses.
	isolationWait = time.Second
	// costPerRunBesideSuspect is the cost of each run on an executor for a suspect, which may crash them all. It exceeds
	// the costs by which room is balanced, but not those of remote data and of failures.
	costPerRunBesideSuspect = 10
)

// stepTrial has the tasks of a step start one after another, because several of them may have crashed their executors.
type stepTrial struct {
	// since is when the trial began; 0 if the step is not on trial.
	since tick.Time
	// next is the task that may start, if any.
	next *task
}

func (tr *stepTrial) isActive() bool { return tr.since != 0 }

// updateTrials begins and ends the trials of steps, and selects the tasks that may start.
func (c *Cell) updateTrials(now tick.Time) {
	for s := range c.crashes.steps {
		if c.jobs[s.job.id] != s.job || s.job.occurrences == nil || !s.hasLosses() {
			s.trial = stepTrial{}
			delete(c.crashes.steps, s)
			continue
		}
		s.updateTrial(now)
	}
}

func (s *step) hasLosses() bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return !t.crashes.IsEmpty() })
}

func (s *step) updateTrial(now tick.Time) {
	s.trial.next = nil
	if s.isTrialPassed() {
		s.endTrial()
	}
	if !s.needsTrial() {
		s.trial.since = 0
		return
	}
	if s.trial.since == 0 {
		s.trial.since = now
	}
	if !s.hasTrialRun() && !s.awaitsJudgement() {
		s.trial.next = s.selectForTrial(now)
	}
}

// needsTrial reports whether tasks of the step may have crashed several executors that had just started them. The
// members of a gang start together.
func (s *step) needsTrial() bool {
	if s.pb.Gang {
		return false
	}
	lost := map[crashKey]bool{}
	for _, t := range s.tasks {
		if t.done || t.hasPassedTrial {
			continue
		}
		for _, l := range t.crashes.EarlyLosses() {
			lost[crashKey{l.Executor, l.Incarnation}] = true
		}
	}
	return len(lost) > 1
}

// isTrialPassed reports whether a run of the step's trial has worked for long enough.
func (s *step) isTrialPassed() bool {
	return s.trial.isActive() && slices.ContainsFunc(s.tasks, func(t *task) bool {
		return s.isOnTrial(t.run) && t.run.provenWork() >= stepTrialWork
	})
}

// endTrial lets all tasks start. Their former losses do not put the step on trial again.
func (s *step) endTrial() {
	s.trial = stepTrial{}
	for _, t := range s.tasks {
		t.hasPassedTrial = true
	}
}

// isOnTrial reports whether the run was started in the trial of the step.
func (s *step) isOnTrial(r *run) bool { return r != nil && r.createdAt >= s.trial.since }

// hasTrialRun reports whether a run of the trial is under way.
func (s *step) hasTrialRun() bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return s.isOnTrial(t.run) })
}

// awaitsJudgement reports whether a confirmed crash that is not judged yet may end the job.
func (s *step) awaitsJudgement() bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool {
		return !t.done && t.crashes.Crashes() >= crash.MaxCrashes
	})
}

// provenWork returns for how long lists have shown the run since its start was confirmed.
func (r *run) provenWork() time.Duration {
	if r.confirmedAt == 0 {
		return 0
	}
	return max(0, r.listedAt.Sub(r.confirmedAt))
}

// selectForTrial returns the startable task with the most losses, so that a step whose tasks all crash their executors
// is given up after the fewest crashes.
func (s *step) selectForTrial(now tick.Time) *task {
	var best *task
	for _, t := range s.tasks {
		if !t.isStartableAlone(now) {
			continue
		}
		if best == nil || len(t.crashes.EarlyLosses()) > len(best.crashes.EarlyLosses()) {
			best = t
		}
	}
	return best
}

// mayStart reports whether the trial of the step, if there is one, lets the task start.
func (tr *stepTrial) mayStart(t *task) bool { return !tr.isActive() || tr.next == t }

// bestForSuspect returns the executor for a task that may crash it: one without a suspect of another job, and among
// equally suited ones the one with the fewest runs. If there is none for some time, it returns any executor.
func (c *candidates) bestForSuspect(t *task) *executor {
	c.suspect = t
	x := c.bestOf(t)
	c.suspect = nil
	switch {
	case x != nil || len(c.list) == 0:
		return x
	case t.unisolatedSince == 0:
		t.unisolatedSince = c.pass.now
	}
	if c.pass.now.Sub(t.unisolatedSince) < isolationWait*time.Duration(t.crashes.Crashes()) {
		return nil
	}
	return c.bestOf(t)
}

// isolationCost returns the cost of an executor for the suspect that is being placed, if there is one, and whether it
// may be placed there.
func (c *candidates) isolationCost(x *executor) (float64, bool) {
	if c.suspect == nil {
		return 0, true
	}
	return costPerRunBesideSuspect * float64(len(x.runs)), !x.hasOtherSuspect(c.pass.now, c.suspect)
}

// guardTime is how long nothing else starts on an executor after a task with crashes, unless the run has worked for
// guardWork. Otherwise it would be unclear which task has crashed the executor, and more work would be lost. Two lists
// arrive in that time if the executor works.
const (
	guardTime = 2 * time.Second
	guardWork = 500 * time.Millisecond
)

// guard keeps the executor of the run from taking further tasks if the run may crash it.
func (x *executor) guard(r *run) {
	if r.task.crashes.Crashes() > 0 {
		x.guarded = r
	}
}

// isGuarded reports whether a task of the step has to wait until another task has shown that it does not crash the
// executor. The members of a gang start together.
func (x *executor) isGuarded(now tick.Time, s *step) bool {
	r := x.guarded
	if r == nil || x.runs[r.id.Task] != r || r.task.step == s && s.pb.Gang {
		return false
	}
	return r.provenWork() < guardWork && now.Sub(max(r.createdAt, r.startedAt)) < guardTime
}

// hasOtherSuspect reports whether a task of another job runs on the executor that may crash it. For a task with
// crashes, that is also any task that has just been started. Which of two tasks of one job has crashed an executor
// makes no difference to the job.
func (x *executor) hasOtherSuspect(now tick.Time, t *task) bool {
	hasCrashes := t.crashes.Crashes() > 0
	for id, r := range x.runs {
		isRecent := r.isPlaced || now.Sub(r.startedAt) <= crash.RecentStart
		if id.Job != t.id.Job && (r.task.crashes.IsSuspect() || hasCrashes && isRecent) {
			return true
		}
	}
	return false
}
