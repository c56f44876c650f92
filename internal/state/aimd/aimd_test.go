package aimd_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/state/aimd"
	"github.com/ibischute/ibischute/pkg/tick"
)

func TestDecreasesOncePerOverload(t *testing.T) {
	w := aimd.New(64)
	sent := tick.Time(100)
	for range 64 {
		w.TimedOut(900, sent)
	}
	assert.Equal(t, w.Limit(), 32, "calls in flight at the time of the decrease belong to the same overload")
	w.TimedOut(1800, 1000)
	assert.Equal(t, w.Limit(), 16)
}

func TestIncreasesByOnePerRound(t *testing.T) {
	w := aimd.New(64)
	w.TimedOut(900, 100)
	for range 33 {
		w.Answered()
	}
	assert.Equal(t, w.Limit(), 33)
	for range 10_000 {
		w.Answered()
	}
	assert.Equal(t, w.Limit(), 64, "the limit does not exceed its highest value")
}

func TestNeverStops(t *testing.T) {
	w := aimd.New(64)
	for i := range tick.Time(50) {
		w.TimedOut(10*i+5, 10*i)
	}
	assert.Assert(t, w.Limit() >= 1)
}
