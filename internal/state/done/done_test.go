package done_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/state/done"
)

// taskID names a task of a job.
type taskID struct{ occurrence, step, index uint32 }

// progressOf returns the progress in which the tasks of the job are done that isDone reports.
func progressOf(j *jobpb.Job, isDone func(id taskID) bool) (p *jobpb.Progress, want map[taskID]bool) {
	p, want = &jobpb.Progress{}, map[taskID]bool{}
	for o := range j.RepeatCount {
		for s, step := range j.Steps {
			for i := range step.Count {
				id := taskID{o, uint32(s), i}
				if isDone(id) {
					want[id] = true
					p.Tasks = append(p.Tasks, &jobpb.TaskProgress{Occurrence: o, Step: uint32(s), Index: i, Done: true})
				}
			}
		}
	}
	return p, want
}

// TestTasksAreLostInRanges guards against a done task that starts again, and one that never starts.
func TestTasksAreLostInRanges(t *testing.T) {
	j := &jobpb.Job{RepeatCount: 40, Steps: []*jobpb.Step{{Count: 5}, {Count: 1}, {Count: 9}}}
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		ratio := rnd.Float64()
		p, want := progressOf(j, func(taskID) bool { return rnd.Float64() < ratio })
		done.Compact(p)
		assert.Equal(t, len(p.Tasks), 0)
		got := map[taskID]bool{}
		done.Visit(p.Done, j, func(occurrence, step, index uint32) {
			id := taskID{occurrence, step, index}
			assert.Assert(t, !got[id], "%v is named twice", id)
			got[id] = true
		})
		assert.DeepEqual(t, got, want)
	}
}

// TestFailedRunsOfDoneTaskAreForgotten guards against a failed run that counts again when its end is listed again.
func TestFailedRunsOfDoneTaskAreForgotten(t *testing.T) {
	p := &jobpb.Progress{Tasks: []*jobpb.TaskProgress{
		{Index: 0, Done: true},
		{Index: 1, Done: true, FailedRuns: []uint64{3}},
		{Index: 2, Checkpoint: "c"},
	}}
	done.Compact(p)
	assert.Equal(t, len(p.Tasks), 2)
	assert.Equal(t, len(p.Tasks[0].FailedRuns), 1)
	assert.Equal(t, p.Tasks[1].Checkpoint, "c")
}

// TestManyTasksInOrderExceedRecord guards against records that grow with each task of a job whose tasks are done in
// order.
func TestManyTasksInOrderExceedRecord(t *testing.T) {
	const maxBytes = 64
	j := &jobpb.Job{RepeatCount: 1000, Steps: []*jobpb.Step{{Count: 1000}}}
	p, _ := progressOf(j, func(id taskID) bool { return id.occurrence < 999 || id.index < 700 })
	done.Compact(p)
	assert.Assert(t, proto.Size(p) < maxBytes, "%d bytes", proto.Size(p))
}

// TestMalformedRangeEndsProcess guards against a range that names more tasks than the job has.
func TestMalformedRangeEndsProcess(t *testing.T) {
	j := &jobpb.Job{Steps: []*jobpb.Step{{Count: 3}}}
	ranges := []*jobpb.DoneRange{
		{Step: 7, Occurrences: 1, Indexes: 1},
		{Occurrences: math.MaxUint32, FirstIndex: 1, Indexes: math.MaxUint32},
		{FirstOccurrence: math.MaxUint32, Occurrences: math.MaxUint32, Indexes: math.MaxUint32},
	}
	visits := 0
	done.Visit(ranges, j, func(_, _, _ uint32) { visits++ })
	assert.Equal(t, visits, 2)
}
