package cell

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

var (
	capacitySeeds = flag.Int("capacity-seeds", 60, "number of schedules that TestCapacityChanges runs")
	capacityFirst = flag.Uint64("capacity-first", 1, "the first seed of TestCapacityChanges")
)

// capacityGrace is how long after a capacity has shrunk starts may still rely on the previous one.
const capacityGrace = 3*time.Second + simHeartbeat

// simCapacities are the changing capacities of the executors, which do not enforce them, and their entries in service
// discovery, which tell of a change with the next heartbeat.
type simCapacities struct {
	*simEntries
	// former has the capacities that executors had, and until when.
	former map[*simExecutor][]formerCapacity
	// sentAt is when the last order to start each run was sent.
	sentAt map[orders.Run]tick.Time
	// hasRestarts is true if processes restart with another capacity. The check of moves assumes that leaders learn of a
	// crash before they move the next task, so there are none together with evacuations.
	hasRestarts bool
	// changes counts the changes, checked the starts that were checked.
	changes, checked int
}

type formerCapacity struct {
	total resources
	until tick.Time
}

// addCapacityChanges lets the capacities of the executors change at random times, from a source of its own, and adds
// jobs that fill the executors.
func (sim *simulation) addCapacityChanges(seed uint64, length time.Duration, hasEvacuations bool) {
	s := &simCapacities{
		simEntries: sim.addEntries(rand.New(rand.NewPCG(seed, 13))),
		former:     map[*simExecutor][]formerCapacity{}, sentAt: map[orders.Run]tick.Time{},
		hasRestarts: !hasEvacuations,
	}
	sim.capacities = s
	sim.config.Services = map[string]queue.Service{"svc": {Name: "svc"}}
	sim.currentLeader().cell.Configure(sim.config)
	for _, x := range sim.execs {
		x.enforcesCapacity = false
		// The check of the ramp assumes that a new process is listed at once.
		x.warmUp = 0
		s.add(x)
		full := x.total
		for range 1 + s.rnd.IntN(4) {
			sim.after(s.duration(time.Second, length), func() { s.change(x, full) })
		}
		sim.after(length+5*time.Second, func() { s.set(x, full) })
	}
	for i := range 40 {
		j := s.randomJob(i)
		sim.after(s.duration(0, length), func() { sim.submit(j) })
	}
}

// randomJob returns a job with large tasks, a quarter of which are best-effort ones that need much memory.
func (s *simCapacities) randomJob(i int) *jobpb.Job {
	step := &jobpb.Step{
		Count: uint32(1 + s.rnd.IntN(8)), MilliCpu: uint32(1000 + s.rnd.IntN(7000)),
		MemoryMb: uint32(1000 + s.rnd.IntN(15000)), EstimateMs: uint32(500 + s.rnd.IntN(4000)),
		Checkpointing: s.rnd.IntN(2) == 0, Fills: s.rnd.IntN(4) == 0,
	}
	return &jobpb.Job{Id: fmt.Sprintf("c%015x", i), Queue: "q", Service: "svc", Spec: "s", Steps: []*jobpb.Step{step}}
}

// change shrinks or grows the capacity of an executor, at times together with a restart of its process.
func (s *simCapacities) change(x *simExecutor, full resources) {
	share := func(full int64) int64 { return int64((0.2 + 0.8*s.rnd.Float64()) * float64(full)) }
	next := resources{milliCPU: share(full.milliCPU), memoryMB: share(full.memoryMB)}
	restarts := s.rnd.IntN(6) == 0
	down := s.duration(50*time.Millisecond, 2*time.Second)
	s.set(x, next)
	if restarts && s.hasRestarts && !x.isDown {
		x.crash(down)
	}
	if s.rnd.IntN(2) == 0 {
		s.sim.after(s.duration(100*time.Millisecond, 8*time.Second), func() { s.set(x, full) })
	}
}

func (s *simCapacities) set(x *simExecutor, total resources) {
	s.former[x] = append(s.former[x], formerCapacity{total: x.total, until: s.sim.now})
	x.total = total
	s.changes++
}

// noteSent records when an order is sent.
func (s *simCapacities) noteSent(o Order) {
	if s != nil && o.Start != nil {
		s.sentAt[o.Start.Run] = s.sim.now
	}
}

// limit returns the capacity to which the start of a run must keep: the present one or, for a while after it has
// shrunk, the former one. An order that is carried out late counts as of its sending.
func (s *simCapacities) limit(x *simExecutor, r orders.Run) resources {
	limit := x.total
	if s == nil {
		return limit
	}
	s.checked++
	decidedAt := s.sim.now
	if sent, ok := s.sentAt[r]; ok && decidedAt.Sub(sent) > simCallTimeout {
		decidedAt = sent
	}
	for _, f := range s.former[x] {
		if decidedAt.Sub(f.until) <= capacityGrace {
			limit.milliCPU, limit.memoryMB = max(limit.milliCPU, f.total.milliCPU), max(limit.memoryMB, f.total.memoryMB)
		}
	}
	return limit
}

// TestCapacityChanges runs the schedules of TestModel on executors that do not enforce their capacity, which shrinks
// and grows, half of them with evacuated domains. A start that brings an executor over its capacity is a violation.
func TestCapacityChanges(t *testing.T) {
	changes, checked := 0, 0
	for seed := *capacityFirst; seed < *capacityFirst+uint64(*capacitySeeds); seed++ {
		sim := runScheduleWith(seed, func(sim *simulation, length time.Duration) {
			hasEvacuations := seed%2 == 0
			if hasEvacuations {
				sim.addEvacuations(seed, length)
			}
			sim.addCapacityChanges(seed, length, hasEvacuations)
		})
		changes += sim.capacities.changes
		checked += sim.capacities.checked
		assert.Check(t, len(sim.violations) == 0, "seed %d:\n%s", seed, strings.Join(sim.violations, "\n"))
	}
	assert.Assert(t, changes > *capacitySeeds*10, "only %d changes", changes)
	assert.Assert(t, checked > *capacitySeeds*50, "only %d starts", checked)
}
