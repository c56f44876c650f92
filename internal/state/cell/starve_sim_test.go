package cell

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

// The simulation of the starve_*_test.go files has executors without faults that run latency-critical, best-effort and
// short tasks at the sizes and rates of the large deployment, and measures how long a job has nothing running while a
// task is due and at least two executors have the room for it. Time is virtual.

const (
	starveTick        = 20 * time.Millisecond
	starvePaceDelay   = 100 * time.Millisecond
	starveStopTime    = 100 * time.Millisecond
	starveStartup     = time.Second
	starveBaseMS      = 10.0
	starveTargetMS    = 50
	starveSwingPeriod = 14 * time.Second
	// starveTailWindow is the time that a reported tail latency covers.
	starveTailWindow = 500 * time.Millisecond
	// starveBound is the longest time that a job with a due task may have nothing running, and starveRestartGrace the
	// longest time from the last run of a long-running task until that counts.
	starveBound        = 3 * time.Second
	starveRestartGrace = 6 * time.Second
)

type starveSim struct {
	starveLoad
	rnd   *rand.Rand
	now   tick.Time
	start tick.Time
	// plannedAt is when the last plan was made.
	plannedAt tick.Time
	cell      *Cell
	execs     []*starveExecutor
	byID      map[string]*starveExecutor
	jobs      []*starveJob
	byJob     map[string]*starveJob
	batch     *Batch
	// batchedAt is when the batch was given to the store.
	batchedAt tick.Time
	nextID    int
	// ignoresWaits is true if it does not matter why tasks wait, which takes long to find out on a large fleet.
	ignoresWaits bool
	// onTick is called at each tick with the time since the start; it may be nil.
	onTick func(since time.Duration)
	// phases has the phase of the own load of each latency-critical image, weights that of each pair of images.
	weights map[imagePair]float64
	phases  map[string]float64
	result  starveResult
}

// imagePair is a latency-critical image and a best-effort image that runs on the same executor.
type imagePair struct {
	latencyCritical, bestEffort string
}

func newStarveSim(l starveLoad, seed uint64) *starveSim {
	s := &starveSim{
		starveLoad: l, rnd: rand.New(rand.NewPCG(seed, 1)), now: tick.Time(time.Hour), byID: map[string]*starveExecutor{},
		byJob: map[string]*starveJob{}, weights: map[imagePair]float64{}, phases: map[string]float64{},
	}
	s.start = s.now
	s.result = starveResult{
		longest: map[string]time.Duration{}, detail: map[string]string{}, over: map[string]int{}, jobs: map[string]int{},
		causes: map[string]int{}, fewestUsable: l.executors, quarantines: map[string]int{},
	}
	s.cell = New(Params{
		MaxHold: 6 * time.Second, StopTimeout: 200 * time.Millisecond, InterferenceBound: 4 * time.Second,
		PaceDelay: starvePaceDelay, Retention: time.Minute, LookAhead: true,
	}, 1, s.now)
	s.cell.Configure(&queue.Configuration{Version: 1, Services: enforcing, Queues: []queue.Queue{
		{Name: "short", Service: "svc", MaxAttempts: 4, StretchFactor: 1.5, TargetMS: 250},
		{Name: "best-effort", Service: "svc", MaxAttempts: 4, StretchFactor: 2, TargetMS: 1000, Priority: 2},
		{Name: "long-running", Service: "svc", MaxAttempts: 3, StretchFactor: 2.2, TargetMS: 2500},
	}})
	s.drawImages()
	var list []queue.Executor
	for i := range l.executors {
		total := resources{64000, 256000, 0}
		if i%3 == 2 {
			total = resources{96000, 384000, 0}
		}
		x := &starveExecutor{sim: s, id: fmt.Sprintf("x%02d", i), total: total}
		s.execs = append(s.execs, x)
		s.byID[x.id] = x
		list = append(list, queue.Executor{
			ID: x.id, Address: x.id, Service: "svc", MilliCPU: total.milliCPU, MemoryMB: total.memoryMB,
		})
	}
	s.cell.Discover(s.now, list)
	for range s.count(l.longRunningJobs) {
		s.acceptLongRunning()
	}
	return s
}

func (s *starveSim) run() *starveResult {
	for end := s.start.Add(s.length); s.now.Before(end); {
		s.now = s.now.Add(starveTick)
		s.submit()
		if s.onTick != nil {
			s.onTick(s.now.Sub(s.start))
		}
		for _, x := range s.execs {
			x.advance()
			x.exchange()
		}
		if s.now.Sub(s.plannedAt) >= s.planInterval {
			s.plannedAt = s.now
			s.plan()
		}
		s.commit()
		s.countEvents()
		s.check()
	}
	return &s.result
}

// execute carries out orders at once. Executors that are lost do not respond.
func (s *starveSim) execute(list []Order) {
	for _, o := range list {
		reply := orders.Reply{Outcome: orders.NoResponse}
		if x, ok := s.byID[o.Target.ID]; ok {
			reply = x.execute(o)
		}
		s.cell.HandleReply(s.now, o, reply)
	}
}

func (s *starveSim) plan() {
	s.execute(s.cell.Plan(s.now, testWallMS, PlanLimits{MaxStarts: s.maxStarts, IsSoleLeader: true}))
}

func (s *starveSim) commit() {
	if s.batch != nil && s.now.Sub(s.batchedAt) < s.storeTime {
		return
	}
	if s.batch != nil {
		s.cell.Commit(s.now, s.batch)
		s.batch = nil
		if s.storeTime > 0 {
			s.execute(s.cell.StartRecorded(s.now, s.maxStarts))
		}
	}
	if s.cell.HasChanges() {
		s.batch, _ = s.cell.NextBatch()
		s.batchedAt = s.now
	}
}

func (s *starveSim) countEvents() {
	for _, e := range s.cell.Events() {
		switch e.Name {
		case "moved":
			s.result.moved++
			j := s.byJob[e.Task.Job]
			j.movedAt = s.now
			j.moves++
			s.result.mostMoves = max(s.result.mostMoves, j.moves)
		case "halted":
			s.result.halted++
		case "executor-avoided", "run-stalled":
			s.result.quarantines[e.Name]++
		}
	}
}

// newQuietSim returns a simulation without random jobs and failures, and with a latency-critical task of 8 cores on
// each executor. The tasks peak together.
func newQuietSim(executors int) *starveSim {
	l := largeDeployment(executors)
	l.longRunningJobs, l.bestEffortJobs, l.shortJobs = 0, 0, 0
	l.hopelessShare, l.failureRate, l.longRunningFailures, l.tailNoise = 0, 0, 0, 0
	l.isPhaseOfImage = true
	s := newStarveSim(l, 1)
	s.acceptServing("lc0", 0)
	return s
}
