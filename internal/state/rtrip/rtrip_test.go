package rtrip_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/state/rtrip"
)

const (
	lowest  = 100 * time.Millisecond
	highest = 800 * time.Millisecond
)

func TestFastResponsesLowerTimeout(t *testing.T) {
	e := rtrip.New(lowest, highest)
	assert.Equal(t, e.Timeout(), highest, "no response was observed")
	for range 50 {
		e.Observe(5 * time.Millisecond)
	}
	assert.Equal(t, e.Timeout(), lowest)
}

// TestSlowResponsesRaiseTimeout checks a path that becomes saturated: responses that are only slow must not count as
// overdue for long, because the calls that follow would add to the load.
func TestSlowResponsesRaiseTimeout(t *testing.T) {
	e := rtrip.New(lowest, highest)
	for range 50 {
		e.Observe(5 * time.Millisecond)
	}
	for range 10 {
		e.Observe(300 * time.Millisecond)
	}
	assert.Assert(t, e.Timeout() > 300*time.Millisecond, "%v", e.Timeout())
	for range 50 {
		e.Observe(2 * time.Second)
	}
	assert.Equal(t, e.Timeout(), highest)
}

// TestBackOffReachesSlowCallee checks a callee that becomes slower than the timeout. Without a longer timeout, every
// further call would be given up.
func TestBackOffReachesSlowCallee(t *testing.T) {
	e := rtrip.New(lowest, highest)
	for range 50 {
		e.Observe(5 * time.Millisecond)
	}
	for range 2 {
		e.BackOff()
	}
	assert.Equal(t, e.Timeout(), 4*lowest)
	for range 10 {
		e.BackOff()
	}
	assert.Equal(t, e.Timeout(), highest)
	e.Observe(5 * time.Millisecond)
	assert.Equal(t, e.Timeout(), lowest)
}
