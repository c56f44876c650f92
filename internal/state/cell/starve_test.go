package cell

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
)

// TestDeploymentWithoutFailuresStartsAllTasks checks that long-running and short tasks start at once if no run fails
// and no best-effort task interferes.
func TestDeploymentWithoutFailuresStartsAllTasks(t *testing.T) {
	l := largeDeployment(22)
	l.usualWeight, l.hopelessShare, l.failureRate, l.longRunningFailures = 0, 0, 0, 0
	r := newStarveSim(l, 1).run()
	r.log(t, "22 executors")
	assert.Assert(t, r.longest["long-running"] < time.Second)
	assert.Assert(t, r.longest["short"] < time.Second)
	assert.Equal(t, r.fewestUsable, 22)
}

// TestDeploymentKeepsInterferenceBound checks that no latency-critical task exceeds its target for the interference
// bound because of best-effort tasks.
func TestDeploymentKeepsInterferenceBound(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		s := newStarveSim(largeDeployment(22), seed)
		r := s.run()
		r.log(t, fmt.Sprintf("22 executors, seed %d", seed))
		assert.Assert(t, r.longestHarm < s.cell.params.InterferenceBound, "%v", r.longestHarm)
	}
}

// TestLargeBestEffortTaskStartsBesideOneImage checks that a large task of an interfering image starts where each
// executor has one latency-critical task: its headroom suffices when its own load is low.
func TestLargeBestEffortTaskStartsBesideOneImage(t *testing.T) {
	s := newQuietSim(4)
	s.weights[imagePair{"lc0", "be0"}] = 0.0234
	s.acceptLargeAfterSmall("be0")
	s.checkBestEffortStarts(t)
}

// TestForecastRefusesEveryExecutor guards against a best-effort job that never starts, since at any time one
// latency-critical task of each executor has less headroom than the job's only task adds.
func TestForecastRefusesEveryExecutor(t *testing.T) {
	s := newQuietSim(4)
	s.acceptServing("lc1", math.Pi)
	s.weights[imagePair{"lc0", "be0"}], s.weights[imagePair{"lc1", "be0"}] = 0.03, 0.03
	s.acceptLargeAfterSmall("be0")
	s.checkBestEffortStarts(t)
}

// TestDeploymentStartsBestEffortJobs guards against best-effort jobs that the forecast refuses on every executor of the
// simulated deployment for many seconds.
func TestDeploymentStartsBestEffortJobs(t *testing.T) {
	l := largeDeployment(66)
	l.hopelessShare, l.failureRate, l.longRunningFailures = 0, 0, 0
	newStarveSim(l, 2).checkBestEffortStarts(t)
}

// TestOverestimatedWeightIsNotCorrected guards against a best-effort job that waits because the weight of its image was
// learned too high: no run of the image corrects the weight, as none starts beside a latency-critical task.
func TestOverestimatedWeightIsNotCorrected(t *testing.T) {
	const overestimated, evidence = 0.05, 44
	s := newQuietSim(4)
	s.length = 10 * time.Minute
	s.weights[imagePair{"lc0", "be0"}] = 0.001
	s.cell.interference.Restore([]*jobpb.ImageFit{{
		Serving: "lc0", Images: []string{"be0"}, Weights: []float64{overestimated}, Evidence: []float64{evidence},
	}})
	delete(s.cell.interference.BaseMS, "lc0")
	s.onTick = func(since time.Duration) {
		if since == 10*time.Second {
			s.acceptFilling("be0", 1, 14000, 1000)
		}
	}
	s.checkBestEffortStarts(t)
}

// TestStartsOfLightImageExcludeOthers guards against a best-effort job that waits as long as tasks of an image without
// interference start: each start renews the pause for images with some interference.
func TestStartsOfLightImageExcludeOthers(t *testing.T) {
	s := newQuietSim(2)
	s.ownLoad, s.swing = 0.2, 0
	s.weights[imagePair{"lc0", "be1"}] = 0.008
	s.onTick = func(since time.Duration) {
		if since%(100*time.Millisecond) == 0 {
			s.acceptFilling("be0", 4, 1000, 300)
		}
		if since == 10*time.Second {
			s.acceptFilling("be1", 1, 8000, 2000)
		}
	}
	s.checkBestEffortStarts(t)
}

// TestFailingJobsQuarantineAllExecutors guards against a job that waits because runs of two jobs that always fail have
// failed on every executor.
func TestFailingJobsQuarantineAllExecutors(t *testing.T) {
	for _, n := range []int{4, 8, 22} {
		s := newQuietSim(n)
		failing := &jobpb.Step{Count: uint32(n), MilliCpu: 4000, MemoryMb: 1000, EstimateMs: 400, MaxPerExecutor: 1}
		s.onTick = func(since time.Duration) {
			switch since {
			case 10 * time.Second, 10*time.Second + 400*time.Millisecond:
				s.accept(&starveJob{isHopeless: true}, "short", failing)
			case 11 * time.Second:
				s.accept(&starveJob{}, "short", &jobpb.Step{Count: 1, MilliCpu: 4000, MemoryMb: 1000, EstimateMs: 400})
			}
		}
		r := s.run()
		r.log(t, fmt.Sprintf("%d executors", n))
		assert.Check(t, r.longest["short"] <= starveBound, "waited %v: %s", r.longest["short"], r.detail["short"])
		assert.Check(t, r.longestUnusable <= starveBound, "no executor was usable for %v", r.longestUnusable)
	}
}

// TestDeploymentRestartsLongRunningTasks guards against long-running tasks that wait because the executors that have
// the room are quarantined for failures of other long-running tasks.
func TestDeploymentRestartsLongRunningTasks(t *testing.T) {
	l := largeDeployment(66)
	l.usualWeight, l.hopelessShare, l.failureRate, l.longRunningFailures = 0, 0, 0, 0.03
	r := newStarveSim(l, 1).run()
	r.log(t, "66 executors")
	longest := r.longest["long-running"]
	assert.Assert(t, longest <= starveRestartGrace, "waited %v: %s", longest, r.detail["long-running"])
}
