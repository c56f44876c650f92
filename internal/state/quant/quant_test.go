package quant_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/state/quant"
)

// assertNear checks that a value is wrong by at most the factor 1+tolerance.
func assertNear(t *testing.T, got, want, tolerance float64) {
	t.Helper()
	assert.Assert(t, math.Abs(math.Log(got/want)) <= math.Log(1+tolerance), "got %.3f, want %.3f", got, want)
}

// observeJobs adds jobs whose estimates are wrong by e^deviation, with a few tasks each that differ little.
func observeJobs(m *quant.Model, rnd *rand.Rand, jobs int, deviation float64) {
	for i := range jobs {
		id := fmt.Sprintf("former%d", i)
		factor := math.Exp(deviation * rnd.NormFloat64())
		for range 6 {
			m.Observe("q", id, factor*math.Exp(0.1*rnd.NormFloat64()))
		}
		m.Forget(id)
	}
}

func TestModelWithoutSamplesTrustsEstimates(t *testing.T) {
	m := quant.New()
	for _, p := range []float64{0, 0.5, 0.9, 1} {
		assert.Equal(t, m.Ratio("q", "j", p), 1.0)
	}
}

func TestQuantilesOfQueue(t *testing.T) {
	m := quant.New()
	rnd := rand.New(rand.NewPCG(1, 1))
	observeJobs(m, rnd, 300, 0.9)
	assertNear(t, m.Ratio("q", "new", 0.5), 1, 0.15)
	assertNear(t, m.Ratio("q", "new", 0.9), math.Exp(0.9*1.2816), 0.2)
	assert.Equal(t, m.Ratio("other", "new", 0.9), 1.0, "queues are independent")
}

// TestEstimateIsRightAfterFewTasksOfJob guards against ordering a job for all its life by an estimate that is wrong by
// a factor for the whole job.
func TestEstimateIsRightAfterFewTasksOfJob(t *testing.T) {
	m := quant.New()
	rnd := rand.New(rand.NewPCG(2, 2))
	observeJobs(m, rnd, 300, 0.9)
	for _, factor := range []float64{0.25, 4} {
		id := fmt.Sprint(factor)
		for range 4 {
			m.Observe("q", id, factor)
		}
		assertNear(t, m.Ratio("q", id, 0.5), factor, 0.25)
		assertNear(t, m.Ratio("q", id, 0.9), factor*math.Exp(0.1*1.2816), 0.4)
	}
	m.Forget("4")
	assertNear(t, m.Ratio("q", "4", 0.5), 1, 0.15)
}

// TestOneStragglerDoesNotChangeJob guards against taking a heavy tail for a wrong estimate.
func TestOneStragglerDoesNotChangeJob(t *testing.T) {
	m := quant.New()
	rnd := rand.New(rand.NewPCG(3, 3))
	observeJobs(m, rnd, 100, 0)
	for _, ratio := range []float64{1, 1, 7, 1, 1} {
		m.Observe("q", "j", ratio)
	}
	assertNear(t, m.Ratio("q", "j", 0.5), 1, 0.1)
}

// TestModelFollowsChange checks that a queue whose tasks now take longer is not rated by old samples.
func TestModelFollowsChange(t *testing.T) {
	m := quant.New()
	for i := range 5000 {
		m.Observe("q", fmt.Sprint(i), 1)
	}
	for i := range 2100 {
		m.Observe("q", fmt.Sprint(i), 3)
	}
	assertNear(t, m.Ratio("q", "new", 0.05), 3, 0.05)
}

func TestUnusableRatiosAreIgnored(t *testing.T) {
	m := quant.New()
	for _, r := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		m.Observe("q", "j", r)
	}
	m.Load([]*jobpb.QueueRatio{
		{Queue: "q"}, {Queue: "q", Ratio: math.NaN()}, {Queue: "q", Ratio: -1, Quantiles: []float64{math.Inf(1)}, Samples: 3},
	})
	assert.Equal(t, m.Ratio("q", "j", 0.9), 1.0)
	assert.Equal(t, len(m.Save()), 0)
}

// TestSavedModelRestoresQuantiles checks what a new leader starts with.
func TestSavedModelRestoresQuantiles(t *testing.T) {
	m := quant.New()
	rnd := rand.New(rand.NewPCG(4, 4))
	observeJobs(m, rnd, 300, 0.9)
	m.Observe("q", "j", 9)
	next := quant.New()
	next.Load(m.Save())
	for _, p := range []float64{0.1, 0.5, 0.9, 0.95} {
		assertNear(t, next.Ratio("q", "j", p), m.Ratio("q", "new", p), 0.06)
	}
	_, ofJob := next.Samples("q", "j")
	assert.Equal(t, ofJob, 0, "jobs start anew")
}

// TestRecordsOfBothVersions checks that the mean of a former version is read, and that it can read the mean.
func TestRecordsOfBothVersions(t *testing.T) {
	m := quant.New()
	m.Load([]*jobpb.QueueRatio{{Queue: "q", Ratio: 2}})
	assertNear(t, m.Ratio("q", "j", 0.5), 2, 0.2)
	saved := m.Save()
	assert.Equal(t, len(saved), 1)
	assertNear(t, saved[0].Ratio, 2, 0.01)
}

// TestMemoryIsBounded guards against keeping every job and queue that was ever seen.
func TestMemoryIsBounded(t *testing.T) {
	m := quant.New()
	for i := range 500 {
		m.Observe(fmt.Sprint("queue", i), "j", 2)
	}
	assert.Equal(t, len(m.Save()), 128)
	for i := range 30_000 {
		m.Observe("q", fmt.Sprint(i), 2)
	}
	_, first := m.Samples("q", "0")
	_, last := m.Samples("q", "29999")
	assert.Equal(t, first, 0)
	assert.Equal(t, last, 1)
}

// TestRatiosArePositiveAndAscending checks any samples: a higher quantile is never lower, and no result is unusable.
func TestRatiosArePositiveAndAscending(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := quant.New()
		for _, r := range rapid.SliceOfN(rapid.Float64Range(1e-6, 1e6), 0, 200).Draw(t, "ratios") {
			m.Observe("q", rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "job"), r)
		}
		last := 0.0
		for _, p := range []float64{0, 0.05, 0.5, 0.9, 1} {
			r := m.Ratio("q", "a", p)
			assert.Assert(t, r > 0 && !math.IsInf(r, 0) && r >= last*(1-1e-9), "quantile %v: %v after %v", p, r, last)
			last = r
		}
	})
}

func BenchmarkRatio(b *testing.B) {
	m := quant.New()
	rnd := rand.New(rand.NewPCG(5, 5))
	observeJobs(m, rnd, 300, 0.9)
	m.Observe("q", "j", 2)
	for b.Loop() {
		m.Ratio("q", "j", 0.5)
	}
}

func BenchmarkObserve(b *testing.B) {
	m := quant.New()
	for b.Loop() {
		m.Observe("q", "j", 2)
		m.Ratio("q", "j", 0.5)
	}
}
