package cell

import (
	"fmt"
	"math"
	"time"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/pkg/tick"
)

// starveLoad are the parameters of one simulated load. Rates are per executor and second.
type starveLoad struct {
	executors int
	length    time.Duration
	// usualWeight is the load that a core of a best-effort image adds which is not heavy, heavyFactor the multiple of it
	// of a heavy image.
	usualWeight, heavyFactor float64
	ownLoad, swing           float64
	// isPhaseOfImage is true if the tasks of one latency-critical image peak together.
	isPhaseOfImage bool
	// longRunningJobs, bestEffortJobs and shortJobs are the jobs for each executor: at the start, and per second.
	longRunningJobs, bestEffortJobs, shortJobs float64
	// trafficEnds is when no more jobs are submitted; 0 for never.
	trafficEnds time.Duration
	// tailNoise is the relative error of a reported tail latency.
	tailNoise float64
	// hopelessShare is the share of short jobs of which every run fails, failureRate the share of the other runs that
	// fail, and longRunningFailures the failures of each long-running task per second.
	hopelessShare, failureRate, longRunningFailures float64
	// planInterval is the time between two plans, maxStarts the most start orders of one plan.
	planInterval time.Duration
	maxStarts    int
	// storeTime is how long the store takes for a batch. If it is 0, placed runs start with the next plan.
	storeTime time.Duration
}

func largeDeployment(executors int) starveLoad {
	return starveLoad{
		executors: executors, length: 60 * time.Second, usualWeight: 0.004, heavyFactor: 4.5, ownLoad: 0.45, swing: 0.5,
		longRunningJobs: 0.77, bestEffortJobs: 0.085, shortJobs: 0.078, tailNoise: 0.05,
		hopelessShare: 0.03, failureRate: 0.005, longRunningFailures: 0.01,
		planInterval: starveTick, maxStarts: unbounded.MaxStarts,
	}
}

type starveJob struct {
	id, kind   string
	pb         *jobpb.Job
	isHopeless bool
	cancelAt   tick.Time
	isOver     bool
	acceptedAt tick.Time
	// took is the time from the acceptance of the job until it was shown as completed; 0 before.
	took    time.Duration
	movedAt tick.Time
	moves   int
	// waitsSince is since when each task of a long-running job, or the whole of another job, has waited.
	waitsSince map[uint32]tick.Time
}

// count rounds the number of something that all executors have together.
func (s *starveSim) count(perExecutor float64) int {
	return int(math.Round(perExecutor * float64(s.executors)))
}

const (
	starveServingImages    = 5
	starveBestEffortImages = 9
	starveHeavyShare       = 0.6
)

func (s *starveSim) drawImages() {
	for i := range starveServingImages {
		s.phases[fmt.Sprintf("lc%d", i)] = s.rnd.Float64() * 2 * math.Pi
	}
	for b := range starveBestEffortImages {
		w := s.usualWeight * s.rnd.Float64()
		if s.rnd.Float64() < starveHeavyShare {
			w = s.usualWeight * (1 + s.rnd.Float64()*(s.heavyFactor-1))
		}
		for i := range starveServingImages {
			s.weights[imagePair{fmt.Sprintf("lc%d", i), fmt.Sprintf("be%d", b)}] = w * (0.7 + 0.6*s.rnd.Float64())
		}
	}
}

// spread draws from a lognormal distribution with the mean, up to the limit.
func (s *starveSim) spread(mean, spread, limit float64) float64 {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return min(limit, math.Exp(math.Log(mean)-sigma*sigma/2+sigma*s.rnd.NormFloat64()))
}

func (s *starveSim) accept(j *starveJob, q string, steps ...*jobpb.Step) {
	s.nextID++
	j.id, j.kind = fmt.Sprintf("%s-%d", q, s.nextID), q
	j.pb = &jobpb.Job{Id: j.id, Queue: q, Service: "svc", Steps: steps}
	j.waitsSince, j.acceptedAt = map[uint32]tick.Time{}, s.now
	s.jobs = append(s.jobs, j)
	s.byJob[j.id] = j
	s.result.jobs[q]++
	s.cell.Accept(s.now, j.pb)
}

func (s *starveSim) acceptLongRunning() {
	step := &jobpb.Step{
		Count:    uint32(max(1, s.spread(6, 0.4, 12))),
		MilliCpu: uint32(s.spread(13000, 0.25, 20000)), MemoryMb: uint32(s.spread(26000, 0.3, 51000)),
		LongRunning: true, TargetMs: starveTargetMS, Image: fmt.Sprintf("lc%d", s.rnd.IntN(starveServingImages)),
	}
	if s.rnd.Float64() < 0.5 {
		step.MaxPerExecutor = 2
	}
	stay := time.Duration(s.spread(70, 0.5, 210) * float64(time.Second))
	s.accept(&starveJob{cancelAt: s.now.Add(stay)}, "long-running", step)
}

func (s *starveSim) acceptBestEffort() {
	var steps []*jobpb.Step
	image := fmt.Sprintf("be%d", s.rnd.IntN(starveBestEffortImages))
	for i := range int(max(1, s.spread(2, 0.4, 5))) {
		step := &jobpb.Step{
			Count:    uint32(max(1, s.spread(8, 0.6, 32))),
			MilliCpu: uint32(s.spread(7000, 0.3, 14000)), MemoryMb: uint32(s.spread(13000, 0.3, 26000)),
			EstimateMs: uint32(max(100, s.spread(2700, 0.5, 6800))), Fills: true, Image: image,
			Checkpointing: s.rnd.Float64() < 0.85,
		}
		if i > 0 {
			step.DependsOn = []uint32{uint32(i - 1)}
		}
		steps = append(steps, step)
	}
	s.accept(&starveJob{isHopeless: s.rnd.Float64() < s.hopelessShare/3}, "best-effort", steps...)
}

func (s *starveSim) acceptShort() {
	step := &jobpb.Step{
		Count:    uint32(max(1, s.spread(6, 0.8, 36))),
		MilliCpu: uint32(s.spread(6300, 0.45, 19000)), MemoryMb: uint32(s.spread(13000, 0.3, 25000)),
		EstimateMs: uint32(max(50, s.spread(800, 0.5, 2000))),
	}
	s.accept(&starveJob{isHopeless: s.rnd.Float64() < s.hopelessShare}, "short", step)
}

func (s *starveSim) chancePerTick(rate float64) bool {
	return s.rnd.Float64() < rate*starveTick.Seconds()
}

func (s *starveSim) submit() {
	for _, j := range s.jobs {
		if j.cancelAt != 0 && !j.isOver && s.now.After(j.cancelAt) {
			j.isOver = true
			s.cell.Cancel(s.now, j.id)
		}
	}
	if s.trafficEnds > 0 && s.now.Sub(s.start) > s.trafficEnds {
		return
	}
	n := float64(s.executors)
	if s.chancePerTick(n * s.longRunningJobs / 70) {
		s.acceptLongRunning()
	}
	if s.chancePerTick(n * s.bestEffortJobs) {
		s.acceptBestEffort()
	}
	if s.chancePerTick(n * s.shortJobs) {
		s.acceptShort()
	}
}

// acceptServing submits a job with one latency-critical task on each executor.
func (s *starveSim) acceptServing(image string, phase float64) {
	s.phases[image] = phase
	s.accept(&starveJob{}, "long-running", &jobpb.Step{
		Count: uint32(s.executors), MilliCpu: 8000, MemoryMb: 1000, LongRunning: true, TargetMs: starveTargetMS, Image: image,
		MaxPerExecutor: 1,
	})
}

// acceptFilling submits a job with one best-effort step.
func (s *starveSim) acceptFilling(image string, count, milliCPU, estimateMS uint32) {
	s.accept(&starveJob{}, "best-effort", &jobpb.Step{
		Count: count, MilliCpu: milliCPU, MemoryMb: 1000, EstimateMs: estimateMS, Fills: true, Image: image,
		Checkpointing: true,
	})
}

// acceptLargeAfterSmall submits jobs with small tasks of the image, from which the model learns, and then one with a
// large task.
func (s *starveSim) acceptLargeAfterSmall(image string) {
	s.length = 2 * time.Minute
	s.onTick = func(since time.Duration) {
		switch {
		case since < 42*time.Second && since%(2*time.Second) == 0:
			s.acceptFilling(image, 4, 4000, 1000)
		case since == 45*time.Second:
			s.acceptFilling(image, 1, 14000, 1000)
		}
	}
}
