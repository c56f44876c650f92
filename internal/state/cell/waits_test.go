package cell

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/orders"
)

// diagnoseAfter returns the events of a diagnosis after the time, in which the cell plans nothing.
func (h *harness) diagnoseAfter(d time.Duration) []Event {
	h.cell.Diagnose(h.now)
	h.now = h.now.Add(d)
	h.cell.Events()
	h.cell.Diagnose(h.now)
	return h.cell.Events()
}

func TestDiagnosisNamesQuarantine(t *testing.T) {
	h := newHarness(t, testExecutor("a"), testExecutor("b"))
	h.accept("j", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 1000})
	for _, x := range h.cell.execs {
		x.quarantine(h.now, time.Minute)
	}
	events := h.diagnoseAfter(3 * time.Second)
	assert.Equal(t, len(events), 1)
	assert.Equal(t, events[0].Name, "task-waiting")
	assert.Equal(t, events[0].Detail, "quarantined for 3s, started 0 times; executors: quarantined 2")
	assert.Equal(t, h.cell.Usage(h.now).Delayed[WaitQuarantine], 1)
	assert.Equal(t, len(h.diagnoseAfter(time.Second)), 0, "the report is not repeated within its interval")
}

func TestDiagnosisIgnoresLackOfRoom(t *testing.T) {
	h := newHarness(t, testExecutor("a"))
	h.accept("j", "q", &jobpb.Step{Count: 1, MilliCpu: 1_000_000, MemoryMb: 100, EstimateMs: 1000})
	assert.Equal(t, len(h.diagnoseAfter(3*time.Second)), 0)
	assert.Equal(t, len(h.cell.Usage(h.now).Delayed), 0)
}

func TestDiagnosisNamesUnlistedRun(t *testing.T) {
	h := newHarness(t, testExecutor("a"))
	h.accept("j", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 1000})
	list := startOrders(h.planAndConfirm())
	assert.Equal(t, len(list), 1)
	h.cell.HandleReply(h.now, list[0], orders.Reply{Outcome: orders.NoResponse})
	events := h.diagnoseAfter(3 * time.Second)
	assert.Equal(t, len(events), 1)
	assert.Equal(t, events[0].Name, "run-unlisted")
	assert.Equal(t, events[0].Executor, "a")
	assert.Assert(t, strings.HasPrefix(events[0].Detail, "for 3s; "), events[0].Detail)
}
