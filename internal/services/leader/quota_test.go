package leader_test

import (
	"maps"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

// TestSuspendedLeaderStartsJobsInTime guards against pauses after a plan that grow with the suspensions of a process
// that has used up its processor quota.
func TestSuspendedLeaderStartsJobsInTime(t *testing.T) {
	const (
		period    = 100 * time.Millisecond
		suspended = 60 * time.Millisecond
		target    = 250 * time.Millisecond
		jobs      = 100
	)
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.queues[0].TargetMS = target.Milliseconds()
		var isLimited atomic.Bool
		since := time.Now()
		r.wrapLease = func(holdsLease func(tick.Time) bool) func(tick.Time) bool {
			return func(now tick.Time) bool {
				if phase := time.Since(since) % period; isLimited.Load() && phase >= period-suspended {
					time.Sleep(period - phase)
				}
				return holdsLease(now)
			}
		}
		r.startNodes(1)
		isLimited.Store(true)
		submitted, waits := map[string]time.Time{}, map[string]time.Duration{}
		r.calls.edit(func() {
			r.calls.onStart = func(_ orders.Target, o orders.Start) {
				waits[o.Run.Task.Job] = time.Since(submitted[o.Run.Task.Job])
			}
		})
		for id := range jobs {
			r.calls.edit(func() { submitted[jobID(id+1)] = time.Now() })
			r.submit(rigJob(id+1, &jobpb.Step{}))
			time.Sleep(37 * time.Millisecond)
		}
		time.Sleep(dueLimit)
		var measured map[string]time.Duration
		r.calls.edit(func() { measured = maps.Clone(waits) })
		assert.Equal(t, len(measured), jobs)
		late, longest := 0, time.Duration(0)
		for _, w := range measured {
			if w > target {
				late++
			}
			longest = max(longest, w)
		}
		t.Logf("longest wait for a start: %v", longest)
		assert.Equal(t, late, 0, "jobs whose start alone took longer than the latency target, of %d", jobs)
	})
}
