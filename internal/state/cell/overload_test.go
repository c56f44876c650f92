package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
)

// TestSaturatedLink replays a burst of short tasks on a leader whose link needs longer for the calls of the burst than
// the calls may take. Calls that time out must not cause more calls than the link can carry.
func TestSaturatedLink(t *testing.T) {
	sim := newSimulation(1, faults{})
	sim.linkCallTime = 8 * time.Millisecond
	for i := range 40 {
		sim.after(time.Duration(i)*50*time.Millisecond, func() {
			sim.submit(&jobpb.Job{Id: fmt.Sprintf("%016x", i), Queue: "q", Service: "svc", Spec: "s", Steps: []*jobpb.Step{
				{Count: 12, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 500},
			}})
		})
	}
	sim.runUntil(60 * time.Second)
	sim.checkFinalState()
	t.Logf("%d starts, %d stop calls", sim.startCount, sim.stopCalls)
	for _, v := range sim.violations {
		t.Error(v)
	}
	assert.Assert(t, sim.stopCalls <= sim.startCount, "%d stop calls for %d starts", sim.stopCalls, sim.startCount)
}
