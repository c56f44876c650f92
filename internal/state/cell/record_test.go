package cell

import (
	"math"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/state/book"
	"github.com/ibischute/ibischute/internal/state/interf"
)

func TestModelRecordRestoresModel(t *testing.T) {
	old := New(Params{}, 1, 0)
	reg := &interf.Regression{}
	reg.AddDifference(0.2, map[string]float64{"heavy": 10})
	for range 50 {
		reg.AddDifference(0.2, map[string]float64{"heavy": 10})
		reg.AddDifference(0, map[string]float64{"light": 10})
	}
	old.interference.Regressions["web"] = reg
	old.interference.BaseMS["web"] = 9
	const samples = 100
	for i := range samples {
		old.durations.Observe("q", "j", []float64{1.2, 3.4}[i%2])
	}
	b, err := proto.Marshal(old.modelRecord())
	assert.NilError(t, err)
	m := &jobpb.Model{}
	assert.NilError(t, proto.Unmarshal(b, m))
	next := New(Params{}, 2, 0)
	next.LoadModel(m)
	for _, image := range []string{"heavy", "light"} {
		assert.Equal(t, next.interference.Weight("web", image), old.interference.Weight("web", image))
	}
	next.interference.Regressions["web"].Sweep()
	got := next.interference.Weight("web", "heavy")
	assert.Assert(t, got > 0.018 && got < 0.021, "weight after one more sweep: %.4f", got)
	assert.Equal(t, next.interference.BaseMS["web"], 9.0)
	for _, quantile := range []float64{0.1, 0.9} {
		want, got := old.durations.Ratio("q", "other", quantile), next.durations.Ratio("q", "other", quantile)
		assert.Assert(t, math.Abs(got/want-1) < 0.02, "quantile %v: %v instead of %v", quantile, got, want)
	}
	assert.Assert(t, math.Abs(m.Ratios[0].Ratio/2.3-1) < 0.01, "former versions read the mean: %v", m.Ratios[0].Ratio)
	formerly := New(Params{}, 3, 0)
	formerly.LoadModel(&jobpb.Model{Ratios: []*jobpb.QueueRatio{{Queue: "q", Ratio: 1.7}}})
	got = formerly.durations.Ratio("q", "other", 0.5)
	assert.Assert(t, got > 1.45 && got <= 1.71, "the mean of a former version: %v", got)
}

// TestTooLargeRecordIsNotTreatedAsStored checks a job whose record does not fit even without checkpoints.
func TestTooLargeRecordIsNotTreatedAsStored(t *testing.T) {
	const failedRuns, limit = 100, 50
	c := New(Params{}, 1, 0)
	j := c.addJob(0, &jobpb.Job{Id: "large", Steps: []*jobpb.Step{{Count: 1}}})
	x := &executor{appliedCursor: 3}
	c.execs["x"] = x
	failing := j.occurrences[0].steps[0].tasks[0]
	for n := range uint64(failedRuns) {
		failing.failedRuns = append(failing.failedRuns, n)
	}
	c.dirty[j.id] = j
	commit := func() (removed []string) {
		b, err := c.NextBatch()
		assert.NilError(t, err)
		_, removed = c.Fit(b, limit)
		c.Commit(0, b)
		return removed
	}
	for range 2 {
		assert.DeepEqual(t, commit(), []string{"p/large"})
		assert.Equal(t, x.storedCursor, uint64(0))
		assert.Equal(t, j.startRecord, startUnrecorded)
		x.appliedCursor++
	}
	c.endJob(0, j, jobpb.State_STATE_COMPLETED)
	assert.Equal(t, len(commit()), 0)
	assert.Equal(t, x.storedCursor, uint64(5))
	assert.Equal(t, j.recordedState, jobpb.State_STATE_COMPLETED)
}

// TestJobOfManyDoneTasksOutgrowsItsRecord guards against a job that comes again and again until its record exceeds the
// log's limit, so that no end is acknowledged any more.
func TestJobOfManyDoneTasksOutgrowsItsRecord(t *testing.T) {
	const occurrences, tasks, limit = 5000, 8, 256 << 10
	pb := &jobpb.Job{Id: "j", Queue: "q", RepeatCount: occurrences + 1, Steps: []*jobpb.Step{{Count: tasks}}}
	c := New(Params{}, 1, 0)
	j := c.addJob(0, pb)
	j.materialize(occurrences)
	for _, o := range j.occurrences[:occurrences] {
		for _, task := range o.steps[0].tasks {
			task.markDone()
		}
	}
	j.occurrences[occurrences].steps[0].tasks[3].checkpoint = "saved"
	c.dirty[j.id] = j
	b, err := c.NextBatch()
	assert.NilError(t, err)
	assert.Assert(t, len(b.Records[0].Value) > limit, "the record has only %d bytes", len(b.Records[0].Value))
	reduced, removed := c.Fit(b, limit)
	assert.DeepEqual(t, reduced, []string{"p/j"})
	assert.Equal(t, len(removed), 0)
	p := &jobpb.Progress{}
	assert.NilError(t, proto.Unmarshal(b.Records[0].Value, p))
	next := New(Params{}, 2, 0)
	next.Load(0, 0, &book.Entry{Job: pb, Progress: p})
	loaded := next.jobs["j"]
	assert.Equal(t, len(loaded.occurrences), occurrences+1)
	for _, o := range loaded.occurrences[:occurrences] {
		assert.Equal(t, o.unfinished, 0, "occurrence %d", o.index)
	}
	last := loaded.occurrences[occurrences].steps[0]
	assert.Equal(t, last.unfinished, tasks)
	assert.Equal(t, last.tasks[3].checkpoint, "saved")
}

// TestScatteredDoneTasksOutgrowTheirRecord guards against a record that fits without checkpoints, but is left out
// because ranges take more space.
func TestScatteredDoneTasksOutgrowTheirRecord(t *testing.T) {
	const tasks, limit = 2000, 10_000
	c := New(Params{}, 1, 0)
	j := c.addJob(0, &jobpb.Job{Id: "j", Steps: []*jobpb.Step{{Count: tasks}}})
	for i, task := range j.occurrences[0].steps[0].tasks {
		task.done = i%2 == 0
		if !task.done {
			task.checkpoint = "checkpoint"
		}
	}
	c.dirty[j.id] = j
	b, err := c.NextBatch()
	assert.NilError(t, err)
	reduced, removed := c.Fit(b, limit)
	assert.DeepEqual(t, reduced, []string{"p/j"})
	assert.Equal(t, len(removed), 0)
	p := &jobpb.Progress{}
	assert.NilError(t, proto.Unmarshal(b.Records[0].Value, p))
	assert.Equal(t, len(p.Tasks), tasks/2)
}

// TestTooLargeRecordIsStoredWithoutCheckpoints checks that the ends of a job are stored if its checkpoints do not fit.
func TestTooLargeRecordIsStoredWithoutCheckpoints(t *testing.T) {
	const limit = 50
	c := New(Params{}, 1, 0)
	j := c.addJob(0, &jobpb.Job{Id: "large", Steps: []*jobpb.Step{{Count: 2}}})
	tasks := j.occurrences[0].steps[0].tasks
	tasks[0].checkpoint = strings.Repeat("c", limit)
	tasks[1].done = true
	c.dirty[j.id] = j
	b, err := c.NextBatch()
	assert.NilError(t, err)
	reduced, removed := c.Fit(b, limit)
	assert.DeepEqual(t, reduced, []string{"p/large"})
	assert.Equal(t, len(removed), 0)
	p := &jobpb.Progress{}
	assert.NilError(t, proto.Unmarshal(b.Records[0].Value, p))
	assert.Equal(t, len(p.Tasks), 1)
	assert.Assert(t, p.Tasks[0].Done)
}
