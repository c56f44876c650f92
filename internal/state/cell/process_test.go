package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
)

// TestStartStatesItsEntry checks that the event of a start names the process whose entry it is based on, and the age of
// the entry.
func TestStartStatesItsEntry(t *testing.T) {
	e := executorAt("a", "10.0.0.1:80", 1)
	e.Sequence = 1
	h := newHarness(t, e)
	h.advance(300 * time.Millisecond)
	h.accept("j", "q", &jobpb.Step{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 5000})
	assert.Equal(t, len(startOrders(h.planAndConfirm())), 1)
	for _, event := range h.cell.Events() {
		if event.Name == "start" {
			assert.DeepEqual(t, event.Entry, &EntryRef{StartedMS: 1, ListedMS: 1, Age: 300 * time.Millisecond})
			return
		}
	}
	t.Fatal("no start")
}
