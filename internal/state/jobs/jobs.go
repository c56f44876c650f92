// Package jobs folds a domain's job stream into the durable state of the jobs and their tasks.
//
// A job is in one named phase and changes it only along the edges of the transition table; an illegal transition
// returns a typed error and changes nothing. With an explicit state machine, recovery only has to read the phase; see
// docs/design/batch.md, which cites the paper that describes this approach.
//
// # Usage
//
//	f := jobs.New()
//	err := f.Apply(record)
//	j, ok := f.Get("statements-november")
package jobs

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/ibischute/ibischute/internal/modules/wire"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
)

// Phase is the durable state of a job.
type Phase string

// The phases of a job.
const (
	PhaseAccepted  Phase = "accepted"
	PhaseFinished  Phase = "finished"
	PhaseCancelled Phase = "cancelled"
	PhaseGivenUp   Phase = "given-up"
)

var transitions = map[Phase][]Phase{
	"":            {PhaseAccepted},
	PhaseAccepted: {PhaseFinished, PhaseCancelled, PhaseGivenUp},
}

// ValidateTransition returns an error unless the transition to the next phase is allowed. Terminal phases allow none.
func (p Phase) ValidateTransition(next Phase) error {
	if slices.Contains(transitions[p], next) {
		return nil
	}
	return fault.New(fault.CodeIllegalState, fault.NotRun, "a job cannot go from "+string(p)+" to "+string(next))
}

// IsEnded reports whether the phase is terminal.
func (p Phase) IsEnded() bool { return len(transitions[p]) == 0 }

// maxEnded limits the number of ended jobs that are kept for operators to query.
const maxEnded = 5000

// Task is the durable state of one task.
type Task struct {
	Done       bool
	Checkpoint string
	// CheckpointBy is the number of the attempt that wrote the checkpoint.
	CheckpointBy uint64
}

// Job is a job with its tasks.
type Job struct {
	Spec   *wire.JobSpec
	Phase  Phase
	Reason string
	Tasks  []Task
	done   int
}

// ID returns the ID of the job.
func (j *Job) ID() ident.Job { return ident.Job(j.Spec.GetId()) }

// DoneTasks returns the number of completed tasks.
func (j *Job) DoneTasks() int { return j.done }

// Fold is the state of the job stream. It is not safe for concurrent use.
type Fold struct {
	jobs  map[ident.Job]*Job
	order []ident.Job
	ended []ident.Job
}

// New returns an empty Fold.
func New() *Fold { return &Fold{jobs: map[ident.Job]*Job{}} }

// Get returns a job.
func (f *Fold) Get(id ident.Job) (*Job, bool) {
	j, ok := f.jobs[id]
	return j, ok
}

// All returns the jobs in the order in which they were accepted.
func (f *Fold) All() []*Job {
	out := make([]*Job, 0, len(f.order))
	for _, id := range f.order {
		if j, ok := f.jobs[id]; ok {
			out = append(out, j)
		}
	}
	return out
}

// Apply folds one record. A record that repeats recorded state changes nothing and is not an error. The same holds for
// a snapshot, which only repeats the state folded from the records before it.
func (f *Fold) Apply(rec *wire.JobRecord) error {
	switch k := rec.GetKind().(type) {
	case *wire.JobRecord_Accept:
		return f.accept(k.Accept)
	case *wire.JobRecord_Done:
		return f.taskDone(k.Done)
	case *wire.JobRecord_Checkpoint:
		return f.checkpoint(k.Checkpoint)
	case *wire.JobRecord_Cancel:
		return f.end(ident.Job(k.Cancel.GetId()), PhaseCancelled, "cancelled")
	case *wire.JobRecord_Snapshot:
		return nil
	case *wire.JobRecord_GiveUp:
		return f.end(ident.Job(k.GiveUp.GetJob()), PhaseGivenUp, k.GiveUp.GetReason())
	}
	return fault.New(fault.CodeBadRequest, fault.NotRun, "job record has no kind")
}

func (f *Fold) accept(spec *wire.JobSpec) error {
	id := ident.Job(spec.GetId())
	if old, ok := f.jobs[id]; ok {
		if proto.Equal(old.Spec, spec) {
			return nil
		}
		return fault.New(fault.CodeConflict, fault.NotRun, "job "+string(id)+" was accepted with another specification")
	}
	f.jobs[id] = &Job{Spec: spec, Phase: PhaseAccepted, Tasks: make([]Task, spec.GetTasks())}
	f.order = append(f.order, id)
	return nil
}

// task returns a task of a job. The task is nil if the job has ended or the task is done, so that there is nothing to
// change.
func (f *Fold) task(id string, index uint32) (*Job, *Task, error) {
	j, ok := f.jobs[ident.Job(id)]
	if !ok || int(index) >= len(j.Tasks) {
		return nil, nil, fault.New(fault.CodeNotFound, fault.NotRun, "no such task of job "+id)
	}
	if j.Phase.IsEnded() || j.Tasks[index].Done {
		return j, nil, nil
	}
	return j, &j.Tasks[index], nil
}

func (f *Fold) taskDone(d *wire.TaskDone) error {
	j, t, err := f.task(d.GetJob(), d.GetTask())
	if err != nil || t == nil {
		return err
	}
	t.Done = true
	j.done++
	if j.done == len(j.Tasks) {
		return f.end(j.ID(), PhaseFinished, "")
	}
	return nil
}

// checkpoint records a checkpoint reference unless a later attempt has already recorded one.
func (f *Fold) checkpoint(c *wire.TaskCheckpoint) error {
	_, t, err := f.task(c.GetJob(), c.GetTask())
	if err != nil || t == nil || c.GetAttempt() < t.CheckpointBy {
		return err
	}
	t.Checkpoint, t.CheckpointBy = c.GetReference(), c.GetAttempt()
	return nil
}

func (f *Fold) end(id ident.Job, next Phase, reason string) error {
	j, ok := f.jobs[id]
	if !ok {
		return fault.New(fault.CodeNotFound, fault.NotRun, "no job "+string(id))
	}
	if j.Phase == next {
		return nil
	}
	if err := j.Phase.ValidateTransition(next); err != nil {
		return err
	}
	j.Phase, j.Reason = next, reason
	f.ended = append(f.ended, id)
	if len(f.ended) > maxEnded {
		f.remove(f.ended[0])
		f.ended = f.ended[1:]
	}
	return nil
}

func (f *Fold) remove(id ident.Job) {
	delete(f.jobs, id)
	f.order = slices.DeleteFunc(f.order, func(o ident.Job) bool { return o == id })
}
