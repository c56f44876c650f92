package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/queue"
)

// lossyFleet has executors that are lost one after the other with the only task.
type lossyFleet struct {
	*harness
	ids  []string
	lost map[string]bool
	// last is the last start order of the task.
	last *Order
}

// report lets each executor respond to a hold, and the lost ones not.
func (f *lossyFleet) report() {
	for _, id := range f.ids {
		if f.lost[id] {
			hold, _, _ := f.cell.Hold(f.now, id)
			f.cell.HandleHoldReply(f.now, f.now, id, hold, orders.Lists{}, orders.Reply{Outcome: orders.NoResponse})
			continue
		}
		var rows []orders.Running
		if f.last != nil && f.last.Target.ID == id {
			rows = append(rows, runningRow(*f.last, 0, 10))
		}
		f.reportRunning(id, rows...)
	}
}

// step lets time pass and returns the start orders since.
func (f *lossyFleet) step() []Order {
	f.advance(100 * time.Millisecond)
	f.report()
	return startOrders(f.planAndConfirm())
}

// awaitStart returns the time until the task starts.
func (f *lossyFleet) awaitStart() time.Duration {
	began := f.now
	for f.now.Sub(began) < 20*time.Second {
		if list := f.step(); len(list) > 0 {
			f.last = &list[0]
			break
		}
	}
	return f.now.Sub(began)
}

// TestThirdLossIsAwaitedForLeaseAndConfirmation guards against a long-running task that waits for the lease of its lost
// executor and then for the confirmation of its losses.
func TestThirdLossIsAwaitedForLeaseAndConfirmation(t *testing.T) {
	f := &lossyFleet{ids: []string{"a", "b", "c", "d", "e"}, lost: map[string]bool{}}
	var fleet []queue.Executor
	for _, id := range f.ids {
		fleet = append(fleet, testExecutor(id))
	}
	f.harness = newHarness(t, fleet...)
	f.accept("j", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 1000, LongRunning: true})
	f.report()
	f.awaitStart()
	for i := range 4 {
		for range 5 {
			f.step()
		}
		f.lost[f.last.Target.ID] = true
		took := f.awaitStart()
		assert.Check(t, took <= 7*time.Second, "loss %d: the task starts again after %v", i+1, took)
	}
}
