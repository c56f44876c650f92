package cell

import (
	"time"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/state/crash"
	"github.com/ibischute/ibischute/pkg/tick"
)

// step has the tasks of one step of one occurrence.
type step struct {
	job        *job
	occurrence *occurrence
	pb         *jobpb.Step
	index      uint32
	tasks      []*task
	// unfinished counts the tasks that are not done, waiting those of them that have no run.
	unfinished, waiting int
	// advice has the policy service's decisions, if the queue has such a service.
	advice *stepAdvice
	// gangFailures are the run numbers of the gang's failed attempts.
	gangFailures []uint64
	// readyAt is when the step became ready, or when a plan of a new leader first found it so; 0 before.
	readyAt tick.Time
	// waitsSince is since when Diagnose has seen a due task of the step without a run; 0 if there is none.
	// waitReportedAt is when it last reported the cause.
	waitsSince, waitReportedAt tick.Time
	// slowDeferredAt is when a task of the step was first kept from a slow executor.
	slowDeferredAt tick.Time
	// trial is the trial of a step whose tasks may crash their executors.
	trial stepTrial
}

type task struct {
	id         orders.Task
	step       *step
	done       bool
	failedRuns []uint64
	checkpoint string
	run        *run
	startCount uint64
	// heldFor is the hash of the executor on which a previous leader may have started the task and that has not responded
	// yet; 0 if there is none. recordedOn and batchedOn are the hashes of the executors that the last stored and the last
	// batched record name for the task; 0 for none.
	heldFor, recordedOn, batchedOn uint32
	// retryAt is the earliest time for the next start. It delays the retry of a task whose start was refused.
	retryAt tick.Time
	// orphanedOn is the executor that listed an orphaned run of the task, if any.
	orphanedOn *executor
	// failedOn has the ids of the executors on which runs of the task have failed, the last time at lastFailedAt.
	// failuresInRow counts the failures since a run that had worked.
	failedOn      []string
	lastFailedAt  tick.Time
	failuresInRow int
	// crashes has the losses of the task. lostRunStartedAt is when the last lost run was started by this leader.
	crashes          crash.History
	lostRunStartedAt tick.Time
	// workSinceLoss is how long the ended runs since the last loss have worked.
	workSinceLoss time.Duration
	// hasPassedTrial is true if a run of the step has worked since the last loss. unisolatedSince is since when a suspect
	// has found room only beside another one; 0 if it has not.
	hasPassedTrial  bool
	unisolatedSince tick.Time
}

func newStep(j *job, o *occurrence, index uint32, pb *jobpb.Step) *step {
	n := int(pb.Count)
	s := &step{job: j, occurrence: o, pb: pb, index: index, unfinished: n, waiting: n, tasks: make([]*task, n)}
	for i := range s.tasks {
		s.tasks[i] = &task{
			step: s, id: orders.Task{Job: j.id, Occurrence: o.index, Step: index, Index: uint32(i)},
		}
	}
	return s
}

// isReady reports whether all steps that the step depends on are done.
func (s *step) isReady() bool {
	for _, d := range s.pb.DependsOn {
		if int(d) < len(s.occurrence.steps) && s.occurrence.steps[d].unfinished > 0 {
			return false
		}
	}
	return true
}

// isStartable reports whether the task may be started at now: its retry delay is over, no executor is known to run it,
// and its losses and those of its step permit it.
func (t *task) isStartable(now tick.Time) bool {
	return t.step.trial.mayStart(t) && t.isStartableAlone(now)
}

// isStartableAlone is isStartable regardless of the other tasks of the step.
func (t *task) isStartableAlone(now tick.Time) bool {
	if t.done || t.run != nil || t.heldFor != 0 || now.Before(t.retryAt) || !t.crashes.MayStart(now) {
		return false
	}
	if t.orphanedOn != nil && !t.orphanedOn.hasOrphanedRun(t.id) {
		t.orphanedOn = nil
	}
	return t.orphanedOn == nil
}

// hasOrphanedRun reports whether the executor has an orphaned run of the task.
func (x *executor) hasOrphanedRun(id orders.Task) bool {
	if x.isTerminated {
		return false
	}
	for r := range x.orphaned {
		if r.Task == id {
			return true
		}
	}
	return false
}

// noteReady notes which steps of the occurrence have become ready.
func (o *occurrence) noteReady(now tick.Time) {
	for _, s := range o.steps {
		if s.readyAt == 0 && s.isReady() {
			s.readyAt = now
		}
	}
}

func (t *task) markDone() {
	t.done = true
	t.step.unfinished--
	if t.run == nil {
		t.step.waiting--
	}
	if t.step.unfinished == 0 {
		t.step.occurrence.unfinished--
	}
}
