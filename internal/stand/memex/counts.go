package memex

import (
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

// Violations returns the violations recorded so far.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.violations
}

// Starts returns how many runs were started.
func (f *Fleet) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// StartsOn returns how many runs were started on the executors with the ids.
func (f *Fleet) StartsOn(ids []string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, id := range ids {
		n += f.startsOn[id]
	}
	return n
}

// RunningOn returns how many runs are running on the executors with the ids.
func (f *Fleet) RunningOn(ids []string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advanceAll(tick.Now())
	n := 0
	for _, id := range ids {
		if x, ok := f.executors[id]; ok {
			n += len(x.runs)
		}
	}
	return n
}

// HasStarted returns whether at least one task of the job was started.
func (f *Fleet) HasStarted(job string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startedJobs[job]
}

// IsDone returns whether a run of the task has completed.
func (f *Fleet) IsDone(t orders.Task) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advanceAll(tick.Now())
	return f.task(t).wasDone
}

// Failures returns how many runs of the task have failed.
func (f *Fleet) Failures(t orders.Task) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advanceAll(tick.Now())
	return f.task(t).failures
}

// Incarnation returns the incarnation of an executor. An executor that is started later has a higher one.
func (f *Fleet) Incarnation(id string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.executors[id].incarnation
}

// Running returns how many runs are running on all executors.
func (f *Fleet) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, x := range f.executors {
		n += len(x.runs)
	}
	return n
}
