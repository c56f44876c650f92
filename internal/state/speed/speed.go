// Package speed rates executors by the progress of their runs.
//
// Each run has a rate in each window of its progress. That of the first window is compared with runs of the same step
// on other executors, or with the expected duration if there are too few of these; later ones with the run's own rate.
// A result counts for some seconds only, and a run that stays at the same low rate counts once. So a task that takes
// several times as long as others is no sign of a slow executor, while a drop in the rate of several runs is one at
// once.
//
// # Usage
//
//	m := speed.New()
//	switch m.Observe(now, "x1", run, sample) { case speed.Slow: ... case speed.Recovered: ... }
//	if m.Admits(now, "x1") {
//		m.Begin(now, "x1", run)
//	}
//	here, elsewhere, ok := m.Remaining(run, percent)
//	if ok && wins(here, elsewhere) && m.Move(now, task, "x2") { ... }
//	m.End(run)
//	m.Drop("x1")
package speed

import (
	"slices"
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

// Change is how the rating of an executor has changed.
type Change int

// The changes of a rating.
const (
	Unchanged Change = iota
	Slow
	Recovered
)

const (
	// slowShare is the share of the expected rate up to which a run counts as slow.
	slowShare = 0.5
	// minWindow is the shortest window. Lists come with delays of up to a quarter of it that do not show.
	minWindow = 400 * time.Millisecond
	// minGrains is the number of steps of reported progress that a run at slowShare must make in a window.
	minGrains = 2
	// resultValidity is how long the result of a window counts. Executors are listed once a second or more often, so that
	// all runs on an executor have a result in this time.
	resultValidity = 2 * time.Second
	// maxResults is the number of results of an executor that count at most, the newest ones. Each new one is compared
	// with all of them, and thousands of short runs may end on an executor in resultValidity.
	maxResults = 128
	// minSlowWeight is the weight of slow results from which an executor may be slow, minSlowShare the share of its
	// results that must be slow. If 3 % of the tasks are as slow as that, 3 of 3 results are by chance once in 37,000
	// times.
	minSlowWeight = 3
	minSlowShare  = 0.75
	// dropWeight is the weight of a run that has become slower, which a slow task does not do.
	dropWeight = 1.5
	// minNormalResults is the number of results of runs at their normal rate from which an executor has recovered. Its
	// trial alone suffices.
	minNormalResults = 2
	// trialPause is the time without any start on a slow executor before a trial. It grows with the trials that failed, up
	// to maxTrialPauses times, so that an executor that stays slow costs few tasks.
	trialPause     = 1500 * time.Millisecond
	maxTrialPauses = 4
	// maxUnconfirmed is how long an executor is rated slow without any sign that it still is. The runs on it may be too
	// short for a rate.
	maxUnconfirmed = 10 * time.Second
	// trialTimeout is how long a trial without a result keeps others from starting.
	trialTimeout = 3 * time.Second
)

// Model rates executors and limits the moves of runs from the slow ones. It is not safe for concurrent use.
type Model struct {
	executors map[string]*executor
	runs      map[orders.Run]*run
	// steps has the steps of the runs, whose tasks have the index 0 as keys.
	steps map[orders.Task]*step
	// trials has the executors of the runs that are on trial.
	trials map[orders.Run]*executor
	slow   int
	moves  moves
}

// executor is the rating of one executor.
type executor struct {
	runs    map[orders.Run]*run
	results []result
	isSlow  bool
	// slowAt is when the executor was last found slow: by its runs, or by a trial that failed.
	slowAt tick.Time
	// confirmedAt is when a run last showed that the executor is slow.
	confirmedAt  tick.Time
	trial        orders.Run
	trialAt      tick.Time
	failedTrials int
}

// result is the result of the last window of a run.
type result struct {
	at     tick.Time
	run    orders.Run
	isSlow bool
	weight float64
	// isByEstimate is true if the run was compared with its expected duration, which may be wrong for its whole job.
	isByEstimate bool
}

// New returns a Model in which no executor is slow.
func New() *Model {
	return &Model{
		executors: map[string]*executor{}, runs: map[orders.Run]*run{}, steps: map[orders.Task]*step{},
		trials: map[orders.Run]*executor{},
		moves:  moves{movedAt: map[orders.Task]tick.Time{}, usedAt: map[string]tick.Time{}},
	}
}

// Observe applies the progress of a run according to a list of the executor.
func (m *Model) Observe(now tick.Time, id string, run orders.Run, s Sample) Change {
	if s.Typical <= 0 {
		return Unchanged
	}
	x := m.executor(id)
	r := m.track(x, id, run, s)
	res, ok := r.observe(now, s)
	if r.hasDropped {
		x.confirmedAt = now
	}
	if !ok {
		return Unchanged
	}
	return m.apply(now, x, res)
}

// Done applies that a run is done after it has worked for the duration. Short runs have no result before their end.
func (m *Model) Done(now tick.Time, id string, run orders.Run, worked time.Duration, s Sample) Change {
	r, ok := m.runs[run]
	if s.Typical <= 0 || s.Longest <= 0 || s.IsResumed || ok && r.rate > 0 {
		return Unchanged
	}
	isSlow := float64(worked) >= float64(s.Typical)/slowShare
	if isSlow && worked < s.Longest {
		return Unchanged
	}
	return m.apply(now, m.executor(id), result{at: now, run: run, isSlow: isSlow, weight: 1, isByEstimate: true})
}

// End drops a run that is over.
func (m *Model) End(run orders.Run) {
	if x, ok := m.trials[run]; ok {
		m.endTrial(x)
	}
	r, ok := m.runs[run]
	if !ok {
		return
	}
	delete(m.runs, run)
	delete(r.executor.runs, run)
	if r.step.runs--; r.step.runs == 0 {
		delete(m.steps, stepOf(run.Task))
	}
}

// Drop forgets the rating of an executor that has gone or restarted.
func (m *Model) Drop(id string) {
	x, ok := m.executors[id]
	if !ok {
		return
	}
	for run := range x.runs {
		m.End(run)
	}
	if x.isSlow {
		m.markRecovered(x)
	}
	delete(m.executors, id)
}

// Count returns the number of slow executors.
func (m *Model) Count() int { return m.slow }

// IsSlow reports whether the executor is slow.
func (m *Model) IsSlow(id string) bool {
	x, ok := m.executors[id]
	return ok && x.isSlow
}

// Admits reports whether a run may be started on the executor: it is not slow, or its next trial is due.
func (m *Model) Admits(now tick.Time, id string) bool {
	x, ok := m.executors[id]
	if !ok || !x.isSlow {
		return true
	}
	isOnTrial := x.trial.Number != 0 && now.Sub(x.trialAt) < trialTimeout
	return !isOnTrial && now.Sub(x.slowAt) >= trialPause*time.Duration(1+min(x.failedTrials, maxTrialPauses-1))
}

// Begin puts a new run on trial if the executor is slow and has none.
func (m *Model) Begin(now tick.Time, id string, run orders.Run) {
	if x, ok := m.executors[id]; ok && x.isSlow && m.Admits(now, id) {
		m.endTrial(x)
		x.trial, x.trialAt = run, now
		m.trials[run] = x
	}
}

func (m *Model) endTrial(x *executor) {
	delete(m.trials, x.trial)
	x.trial = orders.Run{}
}

func (m *Model) executor(id string) *executor {
	x, ok := m.executors[id]
	if !ok {
		x = &executor{runs: map[orders.Run]*run{}}
		m.executors[id] = x
	}
	return x
}

// apply adds a result to an executor and returns how that changes its rating.
func (m *Model) apply(now tick.Time, x *executor, res result) Change {
	isTrial := x.isSlow && x.trial == res.run
	x.add(now, res)
	if res.isSlow {
		x.confirmedAt = now
	}
	switch {
	case !x.isSlow && x.looksSlow():
		x.isSlow, x.slowAt, x.failedTrials = true, now, 0
		x.results = nil
		m.slow++
		for _, r := range x.runs {
			r.wasOnSlow = true
		}
		return Slow
	case x.isSlow && (isTrial && !res.isSlow || x.looksNormal()):
		m.markRecovered(x)
		return Recovered
	case isTrial:
		m.endTrial(x)
		x.slowAt = now
		x.failedTrials++
	}
	return Unchanged
}

func (m *Model) markRecovered(x *executor) {
	m.endTrial(x)
	x.isSlow = false
	x.results = nil
	m.slow--
	for _, r := range x.runs {
		r.beganOnSlow = false
	}
}

// Expire ends the ratings of slow executors without a sign of it for some seconds and returns the ids of these
// executors.
func (m *Model) Expire(now tick.Time) []string {
	var ids []string
	for id, x := range m.executors {
		if x.isSlow && now.Sub(x.confirmedAt) >= maxUnconfirmed {
			m.markRecovered(x)
			ids = append(ids, id)
		}
	}
	return ids
}

// add replaces the result of the same run and drops those that are no longer valid, and the oldest beyond maxResults.
func (x *executor) add(now tick.Time, res result) {
	if len(x.results) == maxResults {
		x.results = slices.Delete(x.results, 0, 1)
	}
	kept := x.results[:0]
	for _, o := range x.results {
		if o.run != res.run && now.Sub(o.at) < resultValidity {
			kept = append(kept, o)
		}
	}
	x.results = append(kept, res)
}

// looksSlow reports whether the valid results show that the executor is slow. Results by the expected duration count
// once for each job, as the estimate of a job may be wrong. Results from before a drop in the rate of a run need not be
// slow, as the executor may have turned slow since.
func (x *executor) looksSlow() bool {
	slow, weight, all, hasDrop := 0, 0.0, 0, false
	jobs := map[string]bool{}
	for _, r := range slices.Backward(x.results) {
		if r.isByEstimate && r.isSlow {
			if jobs[r.run.Task.Job] {
				continue
			}
			jobs[r.run.Task.Job] = true
		}
		all++
		if r.isSlow {
			slow++
			weight += r.weight
			hasDrop = hasDrop || r.weight == dropWeight
		}
		if hasDrop && weight >= minSlowWeight && float64(slow) >= minSlowShare*float64(all) {
			return true
		}
	}
	return weight >= minSlowWeight && float64(slow) >= minSlowShare*float64(all)
}

// looksNormal reports whether the valid results show that runs on the executor progress normally again. The expected
// duration alone does not show it, as it may be too long.
func (x *executor) looksNormal() bool {
	normal, all := 0, 0
	for _, r := range x.results {
		if r.isSlow {
			all++
		} else if !r.isByEstimate {
			normal, all = normal+1, all+1
		}
	}
	return normal >= minNormalResults && 2*normal > all
}
