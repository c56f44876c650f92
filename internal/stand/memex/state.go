package memex

import (
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

// TaskState is what has happened to a task.
type TaskState struct {
	Task orders.Task
	// IsRunning means that a run of the task is active; RunsOn is its executor.
	IsRunning bool
	RunsOn    string
	// Runs and Failures count the runs that were started and those that failed.
	Runs, Failures int
	IsDone         bool
	// LastRanAt is when the last run ended; 0 if none has.
	LastRanAt tick.Time
	// Crashes counts the executors that runs of the task have crashed, StartsAfterLimit the starts after three of them.
	Crashes, StartsAfterLimit int
	// Losses counts the runs that were lost because a task, this one or another, crashed their executor. LostAt is when
	// the last one was; 0 if none was.
	Losses int
	LostAt tick.Time
}

// TaskStates returns the states of the tasks.
func (f *Fleet) TaskStates(now tick.Time, tasks []orders.Task) []TaskState {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advanceAll(now)
	out := make([]TaskState, len(tasks))
	for i, t := range tasks {
		h := f.task(t)
		out[i] = TaskState{
			Task: t, Runs: h.runs, Failures: h.failures, IsDone: h.wasDone, LastRanAt: h.lastRanAt, Crashes: h.crashes,
			StartsAfterLimit: h.startsAfterLimit, Losses: h.losses, LostAt: h.lostAt,
		}
		for id, x := range f.executors {
			if _, ok := x.runs[t]; ok {
				out[i].IsRunning, out[i].RunsOn = true, id
			}
		}
	}
	return out
}

// WithRoom returns how many of the executors have room for the task.
func (f *Fleet) WithRoom(ids []string, t orders.Task, b Behavior) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, id := range ids {
		x, ok := f.executors[id]
		if !ok || !x.hasRoom(b) {
			continue
		}
		if b.MaxPerExecutor > 0 && x.countStep(t) >= b.MaxPerExecutor {
			continue
		}
		n++
	}
	return n
}

// RunningTasks returns the tasks with an active run.
func (f *Fleet) RunningTasks(now tick.Time) []orders.Task {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advanceAll(now)
	var out []orders.Task
	for _, x := range f.executors {
		for t := range x.runs {
			out = append(out, t)
		}
	}
	return out
}
