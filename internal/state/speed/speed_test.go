package speed_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/state/speed"
	"github.com/ibischute/ibischute/pkg/tick"
)

// listIntervals are irregular, so that the progress in them has no common divisor.
var listIntervals = []time.Duration{
	430 * time.Millisecond, 560 * time.Millisecond, 510 * time.Millisecond, 490 * time.Millisecond,
}

func runOf(job string, index int) orders.Run {
	return orders.Run{Task: orders.Task{Job: job, Index: uint32(index)}, Number: 1}
}

// bench observes runs of tasks that take 10 s at full speed.
type bench struct {
	model   *speed.Model
	now     tick.Time
	percent map[orders.Run]float64
	// longest is what hardly any task exceeds; 0 if that is not known.
	longest time.Duration
	resumed bool
	steady  tick.Time
	// count counts the intervals between lists, interval is the last one.
	count    int
	interval time.Duration
}

func newBench() *bench {
	return &bench{
		model: speed.New(), now: tick.Time(time.Hour), percent: map[orders.Run]float64{}, longest: 15 * time.Second,
	}
}

const benchDuration = 10 * time.Second

// list advances the runs on the executor at the speed for the time of a list and returns the change.
func (b *bench) list(id string, rate float64, runs ...orders.Run) speed.Change {
	out := speed.Unchanged
	for _, r := range runs {
		b.percent[r] += 100 * rate * b.interval.Seconds() / benchDuration.Seconds()
		c := b.model.Observe(b.now, id, r, speed.Sample{
			Percent: int(b.percent[r]), Typical: benchDuration, Longest: b.longest,
			IsResumed: b.resumed, SteadySince: b.steady,
		})
		if c != speed.Unchanged {
			out = c
		}
	}
	return out
}

func (b *bench) advance() {
	b.interval = listIntervals[b.count%len(listIntervals)]
	b.count++
	b.now = b.now.Add(b.interval)
}

// lists repeats list n times and returns the last change.
func (b *bench) lists(n int, id string, rate float64, runs ...orders.Run) speed.Change {
	out := speed.Unchanged
	for range n {
		b.advance()
		if c := b.list(id, rate, runs...); c != speed.Unchanged {
			out = c
		}
	}
	return out
}

// newSlowBench returns a bench and the runs of the executor x, which became slow after some lists.
func newSlowBench() (*bench, []orders.Run) {
	b := newBench()
	runs := runsOfJobs(3, "j")
	b.lists(4, "x", 1, runs...)
	b.lists(3, "x", 0.2, runs...)
	return b, runs
}

func runsOfJobs(n int, prefix string) (out []orders.Run) {
	for i := range n {
		out = append(out, runOf(fmt.Sprint(prefix, i), 0))
	}
	return out
}

func TestDropOfSeveralRunsShowsSlowExecutor(t *testing.T) {
	b := newBench()
	runs := runsOfJobs(3, "j")
	assert.Equal(t, b.lists(4, "x", 1, runs...), speed.Unchanged)
	assert.Equal(t, b.lists(2, "x", 0.2, runs...), speed.Slow)
	assert.Assert(t, b.model.IsSlow("x"))
	assert.Equal(t, b.model.Count(), 1)
	assert.Assert(t, !b.model.Admits(b.now, "x"))
	assert.Assert(t, b.model.WasOnSlow(runs[0]))
	here, elsewhere, ok := b.model.Remaining(runs[0], 20)
	assert.Assert(t, ok)
	assert.Assert(t, here > 20*time.Second && here <= 40*time.Second, "here %v", here)
	assert.Assert(t, elsewhere > 7*time.Second && elsewhere < 10*time.Second, "elsewhere %v", elsewhere)
}

func TestOneRunIsNoSign(t *testing.T) {
	b := newBench()
	runs := runsOfJobs(3, "j")
	b.lists(4, "x", 1, runs...)
	for range 6 {
		b.advance()
		assert.Equal(t, b.list("x", 1, runs[1:]...), speed.Unchanged)
		assert.Equal(t, b.list("x", 0.1, runs[0]), speed.Unchanged)
	}
}

// TestExecutorRecoversWhenRunsProgress checks that a slow executor is used again without a trial.
func TestExecutorRecoversWhenRunsProgress(t *testing.T) {
	b, runs := newSlowBench()
	assert.Assert(t, b.model.IsSlow("x"))
	assert.Equal(t, b.lists(2, "x", 1, runs...), speed.Recovered)
	assert.Equal(t, b.model.Count(), 0)
	assert.Assert(t, b.model.Admits(b.now, "x"))
}

// TestTrialEndsOrProlongsSlowness checks an executor without runs: it gets one run after a pause, and the run decides.
func TestTrialEndsOrProlongsSlowness(t *testing.T) {
	b, runs := newSlowBench()
	for _, r := range runs {
		b.model.End(r)
	}
	waitForTrial := func() time.Duration {
		began := b.now
		for !b.model.Admits(b.now, "x") {
			b.advance()
			assert.Assert(t, b.now.Sub(began) < time.Minute, "no trial")
		}
		return b.now.Sub(began)
	}
	assert.Assert(t, waitForTrial() <= 1500*time.Millisecond)
	first := runOf("first", 0)
	b.model.Begin(b.now, "x", first)
	assert.Assert(t, !b.model.Admits(b.now, "x"), "one trial at a time")
	assert.Equal(t, b.lists(4, "x", 0.2, first), speed.Unchanged)
	b.model.End(first)
	assert.Assert(t, waitForTrial() <= 3*time.Second)
	second := runOf("second", 0)
	b.model.Begin(b.now, "x", second)
	assert.Equal(t, b.lists(4, "x", 1, second), speed.Recovered)
}

// TestNewRunsAreComparedWithSameStepElsewhere guards against a wrong estimate of a job: its runs are slow by the model
// on all executors, but only on one by their peers.
func TestNewRunsAreComparedWithSameStepElsewhere(t *testing.T) {
	b := newBench()
	var here, there []orders.Run
	for i := range 4 {
		here = append(here, runOf("j", i))
		there = append(there, runOf("j", 10+i))
	}
	for range 10 {
		b.advance()
		assert.Equal(t, b.list("y", 0.3, there...), speed.Unchanged)
	}
	assert.Equal(t, b.lists(8, "x", 0.06, here...), speed.Slow)
	assert.Assert(t, !b.model.IsSlow("y"))
}

// TestWrongEstimateOfOneJobIsNoSign guards against taking all runs of a job whose estimate is wrong for several signs.
func TestWrongEstimateOfOneJobIsNoSign(t *testing.T) {
	b := newBench()
	var runs []orders.Run
	for i := range 6 {
		runs = append(runs, runOf("j", i))
	}
	assert.Equal(t, b.lists(10, "x", 0.2, runs...), speed.Unchanged)
}

func TestUnknownDurationsAreNoSign(t *testing.T) {
	b := newBench()
	b.longest = 0
	assert.Equal(t, b.lists(10, "x", 0.2, runsOfJobs(5, "j")...), speed.Unchanged)
	for _, r := range runsOfJobs(5, "done") {
		s := speed.Sample{Typical: time.Second}
		assert.Equal(t, b.model.Done(b.now, "x", r, time.Minute, s), speed.Unchanged)
	}
}

func TestThrottledRunsAreNoSign(t *testing.T) {
	b := newBench()
	runs := runsOfJobs(5, "j")
	b.lists(4, "x", 1, runs...)
	for range 8 {
		b.advance()
		b.steady = b.now
		assert.Equal(t, b.list("x", 0.1, runs...), speed.Unchanged)
	}
	assert.Equal(t, b.lists(6, "x", 1, runs...), speed.Unchanged, "the pace was raised a moment ago")
}

// TestRestoringRunsAreNoSign checks runs that make no progress at first since they restore a checkpoint.
func TestRestoringRunsAreNoSign(t *testing.T) {
	b := newBench()
	b.resumed = true
	runs := runsOfJobs(5, "j")
	for _, r := range runs {
		b.percent[r] = 40
	}
	assert.Equal(t, b.lists(6, "x", 0, runs...), speed.Unchanged)
	assert.Equal(t, b.lists(4, "x", 1, runs...), speed.Unchanged)
}

// TestCoarseProgressIsNoSign checks tasks that report progress in large steps, with long times without any between.
func TestCoarseProgressIsNoSign(t *testing.T) {
	const interval = 500 * time.Millisecond
	m := speed.New()
	now := tick.Time(time.Hour)
	for i := range 40 {
		now = now.Add(interval)
		for _, r := range runsOfJobs(5, "j") {
			percent := min(99, int(time.Duration(i)*interval*100/(20*time.Second))/25*25)
			c := m.Observe(now, "x", r, speed.Sample{Percent: percent, Typical: 20 * time.Second, Longest: 30 * time.Second})
			assert.Equal(t, c, speed.Unchanged)
		}
	}
}

// TestShortRunsCountAtTheirEnd checks runs that end before a window is over.
func TestShortRunsCountAtTheirEnd(t *testing.T) {
	m := speed.New()
	now := tick.Time(time.Hour)
	s := speed.Sample{Typical: 100 * time.Millisecond, Longest: 200 * time.Millisecond}
	var last speed.Change
	for _, r := range runsOfJobs(3, "slow") {
		last = m.Done(now, "x", r, 500*time.Millisecond, s)
	}
	assert.Equal(t, last, speed.Slow)
	for _, r := range runsOfJobs(3, "usual") {
		assert.Equal(t, m.Done(now, "y", r, 100*time.Millisecond, s), speed.Unchanged)
	}
}

func TestMovesAreLimited(t *testing.T) {
	m := speed.New()
	now := tick.Time(time.Hour)
	task := orders.Task{Job: "j"}
	assert.Assert(t, m.Move(now, task, "x"))
	assert.Assert(t, !m.Move(now.Add(time.Second), task, "y"), "each task at most once in some seconds")
	assert.Assert(t, m.Move(now.Add(6*time.Second), task, "y"))
	assert.Assert(t, !m.Move(now.Add(6*time.Second), orders.Task{Job: "k"}, "y"), "the room is being taken")
	moved := 0
	now = now.Add(20 * time.Second)
	for i := range 1000 {
		if m.Move(now, orders.Task{Job: fmt.Sprint(i)}, fmt.Sprint(i)) {
			moved++
		}
		now = now.Add(time.Millisecond)
	}
	assert.Assert(t, moved > 20 && moved <= 80, "%d moves in a second", moved)
}

// TestRatingExpires guards against avoiding an executor for good whose runs are too short for a rate.
func TestRatingExpires(t *testing.T) {
	b, runs := newSlowBench()
	for range 40 {
		b.lists(1, "x", 0.2, runs...)
		assert.Equal(t, len(b.model.Expire(b.now)), 0, "the runs are still slow")
	}
	for _, r := range runs {
		b.model.End(r)
	}
	began := b.now
	for b.model.IsSlow("x") {
		b.advance()
		if ids := b.model.Expire(b.now); len(ids) > 0 {
			assert.DeepEqual(t, ids, []string{"x"})
		}
		assert.Assert(t, b.now.Sub(began) < 11*time.Second)
	}
	assert.Equal(t, b.model.Count(), 0)
}

// TestLostTrialIsFollowedByAnother checks a trial of which no list ever shows a run.
func TestLostTrialIsFollowedByAnother(t *testing.T) {
	b, _ := newSlowBench()
	b.now = b.now.Add(2 * time.Second)
	trial := runOf("lost", 0)
	b.model.Begin(b.now, "x", trial)
	assert.Assert(t, !b.model.Admits(b.now, "x"))
	b.model.End(trial)
	assert.Assert(t, b.model.Admits(b.now, "x"))
}

// TestDroppedExecutorIsForgotten checks that a restarted executor is rated anew and that no state of runs is left.
func TestDroppedExecutorIsForgotten(t *testing.T) {
	b, runs := newSlowBench()
	b.model.Drop("x")
	assert.Assert(t, !b.model.IsSlow("x"))
	assert.Equal(t, b.model.Count(), 0)
	_, _, ok := b.model.Remaining(runs[0], 50)
	assert.Assert(t, !ok)
	b.model.End(runs[0])
	b.model.Drop("unknown")
}
