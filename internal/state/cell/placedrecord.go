package cell

import (
	"github.com/ibischute/ibischute/internal/state/book"
	"github.com/ibischute/ibischute/pkg/tick"
)

// possibleExecutor returns the hash of the executor on which the task may run, or may be started next; 0 if there is
// none.
func (t *task) possibleExecutor() uint32 {
	switch {
	case t.done:
		return 0
	case t.run != nil:
		return t.run.exec.hash
	case t.heldFor != 0:
		return t.heldFor
	case t.orphanedOn != nil && t.orphanedOn.hasOrphanedRun(t.id):
		return t.orphanedOn.hash
	}
	return 0
}

// maxAdvance bounds the waiting tasks of a job that are recorded in advance, for the size of its record.
const maxAdvance = 1024

// recordInAdvance names executors for waiting tasks, so that these can start there while the store takes no records:
// for a ready step the executors of its own runs in turn, where places become free next, and for a later one that of
// the task of the same index of the step before.
func (j *job) recordInAdvance() {
	left := maxAdvance
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.waiting == 0 || s.pb.Gang {
				continue
			}
			next := s.expectedExecutors()
			for i, t := range s.tasks {
				isNamed := t.done || t.run != nil || t.batchedOn != 0
				if isNamed || len(next) == 0 || left == 0 {
					continue
				}
				t.batchedOn = next[i%len(next)]
				left--
			}
		}
	}
}

// expectedExecutors returns the hashes of the executors on which tasks of the step may find room next, by the index of
// the task.
func (s *step) expectedExecutors() []uint32 {
	var out []uint32
	if s.isReady() {
		for _, t := range s.tasks {
			if t.run != nil && !t.run.isPlaced {
				out = append(out, t.run.exec.hash)
			}
		}
		return out
	}
	for _, d := range s.pb.DependsOn {
		if int(d) >= len(s.occurrence.steps) || len(out) > 0 {
			continue
		}
		for _, t := range s.occurrence.steps[d].tasks {
			if t.run != nil {
				out = append(out, t.run.exec.hash)
			}
		}
	}
	return out
}

// addPlaced adds the placed runs of the job, whose executors the records of the batch name.
func (b *Batch) addPlaced(j *job) {
	j.forEachTask(func(t *task) {
		if t.run != nil && t.run.isPlaced {
			t.run.isBatched = true
			b.placed = append(b.placed, t.run)
		}
	})
}

// forgetPlacement notes that the record of the job with the key names no executors.
func (b *Batch) forgetPlacement(key string) {
	for j := range b.states {
		if book.ProgressKey(j.id) == key {
			j.forEachTask(func(t *task) { t.batchedOn = 0 })
		}
	}
}

// commitPlacements applies that the batch is stored to the placement of tasks.
func (c *Cell) commitPlacements(now tick.Time, b *Batch) {
	c.placements.isTermStored = c.placements.isTermStored || b.hasTerm
	for j := range b.states {
		j.forEachTask(func(t *task) { t.recordedOn = t.batchedOn })
	}
	for _, r := range b.placed {
		if !r.isRecorded {
			r.isRecorded, r.recordedAt = true, now
		}
	}
}

func (j *job) forEachTask(f func(t *task)) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				f(t)
			}
		}
	}
}
