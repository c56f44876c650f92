package aimd_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/state/aimd"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	slow    = 400 * time.Millisecond
	timeout = 800 * time.Millisecond
)

func at(d time.Duration) tick.Time { return tick.Time(time.Hour).Add(d) }

func TestDecreasesOncePerOverload(t *testing.T) {
	w := aimd.New(64, slow)
	for range 64 {
		w.TimedOut(at(timeout), at(0))
	}
	assert.Equal(t, w.Limit(), 32, "calls in flight at the time of the decrease belong to the same overload")
	w.TimedOut(at(2*timeout), at(timeout))
	assert.Equal(t, w.Limit(), 16)
}

func TestSlowResponsesDecrease(t *testing.T) {
	w := aimd.New(64, slow)
	w.Answered(at(slow+1), at(0))
	assert.Equal(t, w.Limit(), 32)
}

func TestIncreasesByOnePerRound(t *testing.T) {
	w := aimd.New(64, slow)
	w.TimedOut(at(timeout), at(0))
	for range 33 {
		w.Answered(at(timeout+1), at(timeout))
	}
	assert.Equal(t, w.Limit(), 33)
	for range 10_000 {
		w.Answered(at(timeout+1), at(timeout))
	}
	assert.Equal(t, w.Limit(), 64, "the limit does not exceed its highest value")
}

// TestLostCallsDoNotDecrease replays calls of which one in nine gets no response, while the others get fast ones.
func TestLostCallsDoNotDecrease(t *testing.T) {
	w := aimd.New(64, slow)
	for i := range 1000 {
		sent := time.Duration(i) * 5 * time.Millisecond
		w.Answered(at(sent+2*time.Millisecond), at(sent))
		if lost := sent - timeout; i%9 == 0 && lost >= 0 {
			w.TimedOut(at(sent+3*time.Millisecond), at(lost))
		}
	}
	assert.Equal(t, w.Limit(), 64)
}

func TestNeverStops(t *testing.T) {
	w := aimd.New(64, slow)
	for i := range 50 {
		w.TimedOut(at(time.Duration(i+1)*timeout), at(time.Duration(i)*timeout))
	}
	assert.Assert(t, w.Limit() >= 1)
}
