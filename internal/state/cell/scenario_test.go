package cell

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/pkg/queue"
)

// newScenario returns a simulation with equal executors and without random faults.
func newScenario(executors int) *simulation {
	sim := newEmptySimulation(1, faults{})
	sim.hasDiscovery, sim.hasLongPolls = true, true
	sim.config = &queue.Configuration{Version: 1, Services: enforcing, Queues: []queue.Queue{
		{Name: "q", Service: "svc", MaxAttempts: 4, StretchFactor: 2, TargetMS: 1000},
	}}
	for i := range executors {
		id := fmt.Sprintf("x%d", i)
		sim.addExecutor(id, id, "a", resources{milliCPU: 16000, memoryMB: 64000})
	}
	sim.newLeader(sim.now)
	return sim
}

// submitAfter submits a job after the time.
func (sim *simulation) submitAfter(d time.Duration, id string, steps ...*jobpb.Step) {
	sim.after(d, func() { sim.submit(&jobpb.Job{Id: id, Queue: "q", Service: "svc", Spec: "s", Steps: steps}) })
}

// TestJobsStartAfterLossOfLeaderAndExecutor checks that an executor that crashed just before the leader does not keep
// jobs waiting for longer than permitted.
func TestJobsStartAfterLossOfLeaderAndExecutor(t *testing.T) {
	sim := newScenario(4)
	step := &jobpb.Step{Count: 2, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 1000}
	next := &jobpb.Step{Count: 2, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 1000, DependsOn: []uint32{0}}
	server := &jobpb.Step{Count: 4, MilliCpu: 1000, MemoryMb: 100, LongRunning: true, MaxPerExecutor: 2}
	sim.submitAfter(2*time.Second, "server", server)
	sim.submitAfter(9*time.Second, "job", step, next)
	sim.after(9500*time.Millisecond, func() { sim.execs[3].crashForGood() })
	sim.after(10*time.Second, sim.replaceLeader)
	check := sim.startLivenessCheck()
	sim.runUntil(40 * time.Second)
	check.checkSettled()
	assert.Assert(t, len(sim.violations) == 0, strings.Join(sim.violations, "\n"))
}

// TestTaskOrderedFromCrashedExecutorStartsElsewhere checks start orders to executors that have crashed, are listed and
// have not yet missed a hold, since idle executors get one every two seconds only.
func TestTaskOrderedFromCrashedExecutorStartsElsewhere(t *testing.T) {
	const interval = 200 * time.Millisecond
	for crash := 10 * time.Second; crash < 10*time.Second+idlePollInterval; crash += interval {
		sim := newScenario(4)
		sim.after(crash, func() {
			for _, x := range sim.execs[:2] {
				x.crashForGood()
				x.entryExpiresAt = sim.now.Add(longestEntry)
			}
		})
		for i := range int(idlePollInterval / interval) {
			sim.submitAfter(crash+time.Duration(i+1)*interval, fmt.Sprintf("job%d", i), &jobpb.Step{
				Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 1000,
			})
		}
		check := sim.startLivenessCheck()
		sim.runUntil(40 * time.Second)
		check.checkSettled()
		assert.Check(t, len(sim.violations) == 0, "crash at %v:\n%s", crash, strings.Join(sim.violations, "\n"))
	}
}
