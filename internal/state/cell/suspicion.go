package cell

import (
	"time"

	"github.com/ibischute/ibischute/pkg/tick"
)

// suspicion is the circuit breaker of an executor on which runs fail or stall. After failures of several jobs, nothing
// starts on the executor for suspicionPause. Then it gets one run at a time, its trial, until a run works on it. The
// pause does not grow, because the executor may be the only one that has room for a task.
type suspicion struct {
	// failures counts the failed runs since the last one that worked, at most maxFailuresCounted. Consecutive failures of
	// the same job, which is lastFailedJob, count once, since the job itself may be the cause.
	failures      int
	lastFailedJob string
	// lastFailedAt is when a run last failed that was started since the failure before.
	lastFailedAt tick.Time
	// trial is the run that is on trial, if any.
	trial *run
}

const (
	// failuresBeforeSuspicion is the number of failures of different jobs from which an executor is under suspicion.
	failuresBeforeSuspicion = 2
	// maxFailuresCounted bounds the count of failures.
	maxFailuresCounted = 5
	// suspicionPause is a third of the time for which a due task may have no run, so that two trials fit into the rest. It
	// is shorter than failedOnPause, so that tasks that have just failed do not take all trials.
	suspicionPause = time.Second
	// trialTimeout is how long a trial that neither fails nor shows progress keeps others from starting. It includes the
	// time for which the run waits for its record after the pause.
	trialTimeout = 1500 * time.Millisecond
	// trialPlacementLead is how long before the end of the pause the trial is placed, so that its record is stored by
	// then.
	trialPlacementLead = 400 * time.Millisecond
	// provenAfter is how long a run must have made progress on an executor to show that the executor works.
	provenAfter = time.Second
)

// recordFailure counts the failure of a run of the job that was started at the given time. It returns whether the
// executor is under suspicion. The failure of a run that is older than the last failure does not prolong the pause.
func (s *suspicion) recordFailure(now, startedAt tick.Time, jobID string) bool {
	if !s.isActive() || startedAt.After(s.lastFailedAt) {
		s.lastFailedAt = now
	}
	if s.lastFailedJob != jobID {
		s.lastFailedJob = jobID
		s.failures = min(s.failures+1, maxFailuresCounted)
	}
	return s.isActive()
}

// recordStall puts the executor under suspicion, because a run has stalled on it.
func (s *suspicion) recordStall(now tick.Time) {
	s.failures = max(s.failures, failuresBeforeSuspicion)
	s.lastFailedAt = now
}

// clear ends the suspicion.
func (s *suspicion) clear() { *s = suspicion{} }

func (s *suspicion) isActive() bool { return s.failures >= failuresBeforeSuspicion }

// admits reports whether a task of the step may be placed on the executor. The members of a gang are one trial.
func (s *suspicion) admits(now tick.Time, st *step) bool {
	switch {
	case !s.isActive():
		return true
	case s.trial != nil && st.pb.Gang && s.trial.task.step == st:
		return true
	case s.trial != nil && now.Sub(max(s.trial.createdAt, s.pauseEnd())) < trialTimeout:
		return false
	}
	return !now.Before(s.pauseEnd().Add(-trialPlacementLead))
}

// pauseEnd returns the time until which nothing starts on the executor.
func (s *suspicion) pauseEnd() tick.Time { return s.lastFailedAt.Add(suspicionPause) }

// isPausing reports whether the executor is under suspicion and its pause is not over.
func (s *suspicion) isPausing(now tick.Time) bool { return s.isActive() && now.Before(s.pauseEnd()) }

// begin puts a new run on trial if the executor is under suspicion.
func (s *suspicion) begin(r *run) {
	if s.isActive() {
		s.trial = r
	}
}

// end ends the trial of a run that is over.
func (s *suspicion) end(r *run) {
	if s.trial == r {
		s.trial = nil
	}
}

// isClearedBy reports whether the work of a run ends the suspicion: the run is the trial, or was started since the last
// failure.
func (s *suspicion) isClearedBy(r *run) bool {
	return r.hasWorked && (r == s.trial || r.startedAt.After(s.lastFailedAt))
}

// updateWork records whether the run has made progress for long enough to show that its executor can run it.
func (r *run) updateWork(now tick.Time) {
	if r.firstListedAt == 0 || now.Sub(r.firstListedAt) < provenAfter {
		return
	}
	if r.task.step.pb.LongRunning {
		r.hasWorked = r.hasWorked || r.percent == fullPacePercent
		return
	}
	r.hasWorked = r.hasWorked || r.percent > r.firstPercent
}
