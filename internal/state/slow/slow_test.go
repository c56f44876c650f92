package slow

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/pkg/tick"
)

const threshold = 150 * time.Millisecond

// call makes a call that takes the given time and returns its end.
func call(d *Detector, now tick.Time, took time.Duration) tick.Time {
	d.Began(now)
	d.Ended(now.Add(took), true)
	return now.Add(took)
}

func TestCallUnderWayCounts(t *testing.T) {
	now := tick.Time(time.Hour)
	d := New(threshold, 0)
	d.Began(now)
	assert.Assert(t, !d.IsSlow(now.Add(threshold)))
	assert.Assert(t, d.IsSlow(now.Add(threshold+1)))
}

func TestSlowUntilTrialIsFast(t *testing.T) {
	d := New(threshold, 0.5)
	now := call(d, tick.Time(time.Hour), 200*time.Millisecond)
	assert.Assert(t, d.IsSlow(now.Add(minHold*3/2-1)))
	assert.Assert(t, !d.IsSlow(now.Add(minHold*3/2)), "a trial is due")
	now = call(d, now.Add(minHold*3/2), 10*time.Millisecond)
	assert.Assert(t, !d.IsSlow(now))
}

// TestHoldDoubles guards against trials of many instances that keep a slow store busy.
func TestHoldDoubles(t *testing.T) {
	d := New(threshold, 0)
	now := tick.Time(time.Hour)
	for hold := minHold; hold <= maxHold; hold *= 2 {
		now = call(d, now, time.Second)
		assert.Assert(t, d.IsSlow(now.Add(hold-1)))
		now = now.Add(hold)
		assert.Assert(t, !d.IsSlow(now))
	}
	now = call(d, now, time.Second)
	assert.Assert(t, !d.IsSlow(now.Add(maxHold)), "the hold time is bounded")
}

// TestCallWithoutAnswer guards against an outage that is taken for a slow store: the leader would get all records.
func TestCallWithoutAnswer(t *testing.T) {
	d := New(threshold, 0)
	now := tick.Time(time.Hour)
	d.Began(now)
	d.Ended(now.Add(2*time.Second), false)
	assert.Assert(t, !d.IsSlow(now.Add(2*time.Second)))
}
