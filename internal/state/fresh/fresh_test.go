package fresh

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	maxAge = 2500 * time.Millisecond
	bound  = 5 * time.Second
)

// at returns a time in seconds after an arbitrary origin.
func at(s float64) tick.Time { return tick.Time(100*time.Second) + tick.Time(s*float64(time.Second)) }

func TestGatePermitsFreshData(t *testing.T) {
	g := New(maxAge, bound)
	assert.Assert(t, g.Permits(at(2.5), Reads{ConfirmedAt: at(0)}, true))
	assert.Assert(t, !g.Permits(at(2.6), Reads{ConfirmedAt: at(0)}, true))
	assert.Assert(t, g.Permits(at(2.7), Reads{ConfirmedAt: at(2.6)}, true))
	assert.Equal(t, g.ClosedSince(), tick.Time(0))
}

// TestGateAfterPause guards against a process that acts on data from before a pause: reads that were sent before the
// pause say nothing about the store after it.
func TestGateAfterPause(t *testing.T) {
	g := New(maxAge, bound)
	assert.Assert(t, g.Permits(at(0), Reads{ConfirmedAt: at(0)}, true))
	assert.Assert(t, !g.Permits(at(20), Reads{ConfirmedAt: at(0), FailedSentAt: at(0.5)}, false))
	assert.Assert(t, !g.Permits(at(20.1), Reads{ConfirmedAt: at(0), FailedSentAt: at(0.5)}, false))
	assert.Assert(t, g.Permits(at(20.2), Reads{ConfirmedAt: at(20.2)}, false))
}

// TestGateWithSilentStore guards against starts that cease because the store is down for everyone.
func TestGateWithSilentStore(t *testing.T) {
	g := New(maxAge, bound)
	assert.Assert(t, g.Permits(at(3), Reads{ConfirmedAt: at(0), FailedSentAt: at(1)}, false))
	assert.Assert(t, g.Permits(at(30), Reads{ConfirmedAt: at(0), FailedSentAt: at(29)}, false))
}

// TestGateIsBounded guards against a wait without a bound for a topic that cannot be read while the store works.
func TestGateIsBounded(t *testing.T) {
	g := New(maxAge, bound)
	reads := Reads{ConfirmedAt: at(0), FailedSentAt: at(9)}
	assert.Assert(t, !g.Permits(at(9), reads, true))
	assert.Assert(t, !g.Permits(at(14), reads, true))
	assert.Assert(t, g.Permits(at(14.1), reads, true))
	assert.Assert(t, g.Permits(at(100), reads, true))
}

func TestGateWithoutBoundIsOpen(t *testing.T) {
	assert.Assert(t, New(maxAge, 0).Permits(at(100), Reads{}, true))
}
