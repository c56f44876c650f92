package ramp

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/pkg/tick"
)

var bounds = Bounds{Slack: 5, Overshoot: 1.5}

func at(s float64) tick.Time { return tick.Time(100*time.Second) + tick.Time(s*float64(time.Second)) }

func checkLimit(t *testing.T, r *Ramp, now tick.Time, want int) {
	t.Helper()
	limit, isCold := r.Limit(now, bounds, 16)
	assert.Assert(t, isCold)
	assert.Equal(t, limit, want)
}

func TestLimitRisesWithWarmUp(t *testing.T) {
	var r Ramp
	r.Observe(at(0), 10*time.Second)
	checkLimit(t, &r, at(0), 5)
	checkLimit(t, &r, at(5), 17)
	checkLimit(t, &r, at(9.99), 28)
	_, isCold := r.Limit(at(10), bounds, 16)
	assert.Assert(t, !isCold)
}

// TestRepeatedStatementDoesNotProlong guards against an executor that stays cold because its entry is read again and
// again.
func TestRepeatedStatementDoesNotProlong(t *testing.T) {
	var r Ramp
	for s := range 20 {
		r.Observe(at(float64(s)/2), 10*time.Second)
	}
	assert.Assert(t, r.IsCold(at(9.9)))
	assert.Assert(t, !r.IsCold(at(10)))
}

// TestLaterStatementCorrects checks an executor that updates its entry: the warm-up ends sooner, never later, unless a
// higher value shows that the executor has restarted.
func TestLaterStatementCorrects(t *testing.T) {
	var r Ramp
	r.Observe(at(0), 10*time.Second)
	r.Observe(at(4), 2*time.Second)
	checkLimit(t, &r, at(4), 24)
	assert.Assert(t, !r.IsCold(at(6)))
	r.Observe(at(7), time.Second)
	assert.Assert(t, !r.IsCold(at(7)))
	r.Observe(at(8), 8*time.Second)
	checkLimit(t, &r, at(8), 5)
	checkLimit(t, &r, at(12), 17)
	r.Observe(at(13), 0)
	assert.Assert(t, !r.IsCold(at(13)))
}

func TestNoLimitWithoutBoundsOrWarmUp(t *testing.T) {
	var r Ramp
	_, isCold := r.Limit(at(0), bounds, 16)
	assert.Assert(t, !isCold)
	r.Observe(at(0), 10*time.Second)
	_, isCold = r.Limit(at(0), Bounds{}, 16)
	assert.Assert(t, !isCold)
	limit, isCold := r.Limit(at(0), Bounds{Overshoot: 1.5}, 16)
	assert.Assert(t, isCold && limit == 1, "a cold executor is never kept from all tasks")
}
