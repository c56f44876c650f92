package circ

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/pkg/tick"
)

const minSilence = 700 * time.Millisecond

func TestOpensWithFirstBrokenCallAndClosesWithFirstResponse(t *testing.T) {
	now := tick.Time(time.Hour)
	c := New(minSilence)
	assert.Assert(t, !c.IsOpen())
	assert.Assert(t, c.RecordNoResponse(now))
	assert.Assert(t, !c.RecordNoResponse(now.Add(time.Second)), "the circuit was open")
	assert.Assert(t, c.IsOpen(), "an open circuit admits no probe, however long it is open")
	assert.Equal(t, c.DownFor(now.Add(2*time.Second)), 2*time.Second)
	assert.Assert(t, c.RecordResponse(now.Add(3*time.Second), now.Add(3*time.Second)))
	assert.Assert(t, !c.IsOpen())
	assert.Equal(t, c.DownFor(now.Add(4*time.Second)), time.Duration(0))
}

// TestRefusalClosesButCountsAsDown guards against a short Retry-After during a long outage in which the store refuses
// every call.
func TestRefusalClosesButCountsAsDown(t *testing.T) {
	now := tick.Time(time.Hour)
	c := New(minSilence)
	c.RecordNoResponse(now)
	assert.Assert(t, c.RecordRefusal(now.Add(time.Second)))
	assert.Assert(t, !c.IsOpen())
	assert.Equal(t, c.DownFor(now.Add(5*time.Second)), 5*time.Second)
	c.RecordResponse(now.Add(5*time.Second), now.Add(5*time.Second))
	c.RecordRefusal(now.Add(6 * time.Second))
	assert.Equal(t, c.DownFor(now.Add(7*time.Second)), 2*time.Second, "it may be down since the last call that was served")
}

// TestEarlierCallDoesNotEndOutage guards against a read that has waited for records since before the outage and is
// taken for the end of it.
func TestEarlierCallDoesNotEndOutage(t *testing.T) {
	now := tick.Time(time.Hour)
	c := New(minSilence)
	c.RecordRefusal(now)
	c.RecordResponse(now.Add(-time.Second), now.Add(time.Second))
	assert.Equal(t, c.DownFor(now.Add(2*time.Second)), 2*time.Second)
	c.RecordResponse(now.Add(2*time.Second), now.Add(2*time.Second))
	assert.Equal(t, c.DownFor(now.Add(2*time.Second)), time.Duration(0))
}

// TestSilence guards against a circuit that opens because a single answer was lost, the store is slow, or a caller
// stated a short deadline, while other calls are answered.
func TestSilence(t *testing.T) {
	now := tick.Time(time.Hour)
	c := New(minSilence)
	c.RecordResponse(now, now)
	assert.Assert(t, !c.RecordSilence(now.Add(-time.Second), now.Add(time.Second)), "another call was answered")
	assert.Assert(t, !c.RecordSilence(now.Add(time.Millisecond), now.Add(500*time.Millisecond)), "too short")
	assert.Assert(t, !c.IsOpen())
	assert.Assert(t, c.RecordSilence(now.Add(time.Millisecond), now.Add(time.Second)))
	assert.Assert(t, c.IsOpen())
}
