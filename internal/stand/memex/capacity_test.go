package memex

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

// capacityRig starts tasks that need 2 of the 8 cores of the executor x.
type capacityRig struct {
	t     *testing.T
	fleet *Fleet
	tasks int
}

func newCapacityRig(t *testing.T, add func(f *Fleet, id string, c Capacity)) *capacityRig {
	t.Cleanup(tick.SetSource(func() tick.Time { return tick.Time(time.Now().UnixNano()) }))
	r := &capacityRig{t: t, fleet: New()}
	add(r.fleet, "x", Capacity{MilliCPU: 8000, MemoryMB: 8000})
	return r
}

// start orders a start that was sent before the given time.
func (r *capacityRig) start(age time.Duration) orders.Outcome {
	r.tasks++
	b := Behavior{Capacity: Capacity{MilliCPU: 2000, MemoryMB: 100}, LongRunning: true}
	clockMS := r.hold()
	return r.fleet.Start(r.t.Context(), orders.Target{ID: "x"}, orders.Start{
		Run: orders.Run{Task: orders.Task{Job: fmt.Sprint(r.tasks)}, Number: 1}, Spec: b.Spec(),
		DeadlineMS: clockMS + maxLeaseMS - age.Milliseconds(),
	}).Outcome
}

// hold extends the lease and returns the executor's clock.
func (r *capacityRig) hold() int64 {
	_, reply := r.fleet.Hold(r.t.Context(), orders.Target{ID: "x"}, orders.Hold{DeadlineMS: 1 << 40})
	return reply.ClockMS
}

func (r *capacityRig) checkViolations(n int) {
	r.t.Helper()
	assert.Equal(r.t, len(r.fleet.Violations()), n, "%v", r.fleet.Violations())
}

// TestStartBeyondShrunkCapacityIsViolation guards against a check that misses starts beyond a capacity, or that rejects
// those that rely on the former capacity for as long as they may.
func TestStartBeyondShrunkCapacityIsViolation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newCapacityRig(t, (*Fleet).AddUnenforced)
		r.start(0)
		r.fleet.SetCapacity("x", Capacity{MilliCPU: 2000, MemoryMB: 8000})
		time.Sleep(4 * time.Second)
		assert.Equal(t, r.start(0), orders.Done)
		r.checkViolations(0)
		time.Sleep(time.Second)
		assert.Equal(t, r.start(2*time.Second), orders.Done)
		r.checkViolations(0)
		assert.Equal(t, r.start(0), orders.Done)
		r.checkViolations(1)
		r.fleet.SetCapacity("x", Capacity{MilliCPU: 10000, MemoryMB: 8000})
		assert.Equal(t, r.start(0), orders.Done)
		r.checkViolations(1)
		assert.Equal(t, r.start(0), orders.Done)
		r.checkViolations(2)
	})
}

// TestEnforcedCapacityShrinks guards against an executor that enforces a capacity that it no longer has.
func TestEnforcedCapacityShrinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newCapacityRig(t, (*Fleet).AddWithCapacity)
		assert.Equal(t, r.start(0), orders.Done)
		r.fleet.SetCapacity("x", Capacity{MilliCPU: 2000, MemoryMB: 8000})
		assert.Equal(t, r.start(0), orders.InsufficientResources)
		assert.Equal(t, r.fleet.Running(), 1)
		r.fleet.SetCapacity("x", Capacity{MilliCPU: 4000, MemoryMB: 8000})
		assert.Equal(t, r.start(0), orders.Done)
		r.checkViolations(0)
	})
}
