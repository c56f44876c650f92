package jobs

import (
	"github.com/ibischute/ibischute/internal/modules/wire"
	"github.com/ibischute/ibischute/pkg/ident"
)

// maxEndedInSnapshot limits the number of ended jobs in a snapshot. They are kept for operators and to recognize
// repeated submissions.
const maxEndedInSnapshot = 500

// Snapshot returns the state after all records before the offset next.
func (f *Fold) Snapshot(next ident.Offset) *wire.JobSnapshot {
	out := &wire.JobSnapshot{Next: uint64(next)}
	recent := map[ident.Job]bool{}
	for _, id := range f.ended[max(0, len(f.ended)-maxEndedInSnapshot):] {
		recent[id] = true
	}
	for _, j := range f.All() {
		if j.Phase.IsEnded() && !recent[j.ID()] {
			continue
		}
		s := &wire.JobState{Spec: j.Spec, Phase: string(j.Phase), Reason: j.Reason}
		for _, t := range j.Tasks {
			s.Tasks = append(s.Tasks, &wire.TaskState{Done: t.Done, Checkpoint: t.Checkpoint, CheckpointBy: t.CheckpointBy})
		}
		out.Jobs = append(out.Jobs, s)
	}
	return out
}

// FromSnapshot restores a Fold from a snapshot.
func FromSnapshot(s *wire.JobSnapshot) *Fold {
	f := New()
	for _, js := range s.GetJobs() {
		j := &Job{Spec: js.GetSpec(), Phase: Phase(js.GetPhase()), Reason: js.GetReason()}
		for _, t := range js.GetTasks() {
			j.Tasks = append(j.Tasks, Task{
				Done: t.GetDone(), Checkpoint: t.GetCheckpoint(), CheckpointBy: t.GetCheckpointBy(),
			})
			if t.GetDone() {
				j.done++
			}
		}
		f.jobs[j.ID()] = j
		f.order = append(f.order, j.ID())
		if j.Phase.IsEnded() {
			f.ended = append(f.ended, j.ID())
		}
	}
	return f
}
