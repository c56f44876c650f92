package leader_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/pkg/tick"
)

// askYield passes requests to yield to the instance that is asked, if the instances have capacities.
func (r *rig) askYield() func(
	ctx context.Context, address string, epoch uint64, cores float64,
) (*jobpb.YieldResponse, error) {
	if r.cores == nil {
		return nil
	}
	return func(_ context.Context, address string, epoch uint64, cores float64) (*jobpb.YieldResponse, error) {
		for _, n := range r.nodes {
			if n.name == address {
				return n.elector.AnswerYield(tick.Now(), epoch, cores), nil
			}
		}
		return &jobpb.YieldResponse{}, nil
	}
}

// TestLargerInstanceBeginsWaitAnew guards against a wait that begins anew for a lost executor because an instance with
// more processor capacity takes the lead over.
func TestLargerInstanceBeginsWaitAnew(t *testing.T) {
	for _, startsAfter := range []time.Duration{0, 500 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(startsAfter.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t)
				r.cores = map[string]float64{"n0": 0.25, "large": 1}
				r.startNodes(1)
				executor := r.submitLongRunning(1)
				r.awaitHeartbeat()
				r.calls.edit(func() { r.calls.silent[executor] = true })
				time.Sleep(startsAfter)
				startedAt := time.Now()
				r.start("large")
				r.awaitStart(jobID(1))
				took := time.Since(startedAt)
				assert.Assert(t, took <= maxRestart, "the task starts again %v after the start of the instance", took)
			})
		})
	}
}

// TestResignationBeginsWaitAnew guards against a wait that begins anew for a lost executor because the leader resigns.
func TestResignationBeginsWaitAnew(t *testing.T) {
	for _, after := range []time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t)
				first := r.startNodes(3)
				executor := r.submitLongRunning(1)
				r.awaitHeartbeat()
				lostAt := time.Now()
				r.calls.edit(func() { r.calls.silent[executor] = true })
				time.Sleep(after)
				first.elector.Resign()
				r.checkRestart(jobID(1), lostAt)
			})
		})
	}
}
