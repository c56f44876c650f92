package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/state/book"
	"github.com/ibischute/ibischute/pkg/queue"
)

// TestExecutorWithLeaseIsRecordedUnreached guards against a roster record that denies a lease of this leader: the
// executor has restarted, and service discovery still lists its former process.
func TestExecutorWithLeaseIsRecordedUnreached(t *testing.T) {
	begun := &jobpb.Progress{Job: "begun", State: jobpb.State_STATE_RUNNING}
	h := newTakeoverHarness(t, bookEntry("begun", begun), bookEntry("fresh", nil))
	stale := testExecutor("x")
	stale.StartedMS = 7
	y := testExecutor("y")
	h.cell.Discover(h.now, []queue.Executor{stale, y})
	h.cell.Plan(h.now, testWallMS, unbounded)
	// x lists as a process that has started later (StartedMS 8); reportRunning of the harness uses 1.
	lists := orders.Lists{StartedMS: 8}
	hold, _, _ := h.cell.Hold(h.now, "x")
	h.cell.HandleHoldReply(h.now, h.now, "x", hold, lists, orders.Reply{Outcome: orders.Done, ClockMS: 1000})
	list := startOrders(h.planAndConfirm())
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].Target.ID, "x")
	granted := list[0].Start.DeadlineMS
	assert.Assert(t, granted > 1000)
	h.advance(unreachedAfter - 10*time.Millisecond)
	// The entry of the former process is applied again, as service discovery reports any other change.
	h.cell.Discover(h.now, []queue.Executor{stale, y})
	h.advance(20 * time.Millisecond)
	h.cell.Plan(h.now, testWallMS, unbounded)
	b, err := h.cell.NextBatch()
	assert.NilError(t, err)
	for _, r := range b.Records {
		if r.Key != book.RosterKey("x") {
			continue
		}
		log := book.New()
		assert.NilError(t, log.Progress(r))
		log.Roster(func(r *jobpb.Roster) {
			assert.Equal(t, r.UnreachedEpoch, uint64(0), "x has a lease of this leader until %d on its clock", granted)
		})
	}
}
