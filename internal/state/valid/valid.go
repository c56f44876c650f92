// Package valid checks jobs before they are recorded and after they have been read from the log, so that no job takes
// down the leader, which holds all due tasks in memory.
//
// # Usage
//
//	err := valid.Submitted.Check(job) // of a caller
//	err := valid.Recorded.Check(job)  // of a record in the log
package valid

import (
	"math"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/pkg/fault"
)

const (
	maxSteps = 1000
	// maxTasks limits the tasks of one occurrence.
	maxTasks = 100_000
	// maxDueTasks limits the tasks of all occurrences that are due when a job is accepted. A record may have more, because
	// earlier versions accepted such jobs, and an accepted job must not be lost. maxRecordedTasks is what a leader can
	// hold.
	maxDueTasks      = maxTasks
	maxRecordedTasks = 100 * maxTasks
	// minIntervalMS is the shortest interval of a job whose occurrences together exceed maxDueTasks.
	minIntervalMS = 1000
)

// Rules are the limits for jobs.
type Rules struct {
	minSteps      int
	maxDueTasks   uint64
	minIntervalMS int64
}

// The rules for submitted jobs and for those in the log, where a job without steps does no harm.
var (
	Submitted = Rules{minSteps: 1, maxDueTasks: maxDueTasks, minIntervalMS: minIntervalMS}
	Recorded  = Rules{maxDueTasks: maxRecordedTasks, minIntervalMS: 1}
)

// Check returns an error that says what is wrong with the job, or nil.
func (r Rules) Check(j *jobpb.Job) error {
	if len(j.Steps) < r.minSteps || len(j.Steps) > maxSteps {
		return badJob("no steps, or too many")
	}
	tasks := uint64(0)
	for i, s := range j.Steps {
		for _, d := range s.GetDependsOn() {
			if uint64(d) >= uint64(i) {
				return badJob("a step depends on a later one")
			}
		}
		tasks += uint64(s.GetCount())
		if s.GetCount() == 0 || tasks > maxTasks {
			return badJob("a step without tasks, or too many tasks")
		}
	}
	return r.checkOccurrences(j, tasks)
}

// checkOccurrences checks the due times of a job whose occurrences have the given number of tasks.
func (r Rules) checkOccurrences(j *jobpb.Job, tasks uint64) error {
	repeats := uint64(max(1, j.RepeatCount))
	if repeats == 1 {
		return nil
	}
	if j.IntervalMs < 0 || j.AcceptedMs < 0 || j.FirstDueMs < math.MinInt64/2 || j.FirstDueMs > math.MaxInt64/2 ||
		uint64(j.IntervalMs) > math.MaxInt64/2/repeats {
		return badJob("a due time out of range")
	}
	if repeats*tasks <= r.maxDueTasks {
		return nil
	}
	if j.IntervalMs < r.minIntervalMS {
		return badJob("too many tasks, or too short an interval")
	}
	if due := (j.AcceptedMs - j.FirstDueMs) / j.IntervalMs; due > 0 && min(uint64(due), repeats)*tasks > r.maxDueTasks {
		return badJob("too many tasks are due at once")
	}
	return nil
}

func badJob(detail string) error { return fault.New(fault.CodeBadRequest, fault.NotRun, detail) }
