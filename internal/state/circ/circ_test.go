package circ

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/pkg/tick"
)

func TestCircuit(t *testing.T) {
	now := tick.Time(time.Hour)
	c := New(200 * time.Millisecond)
	assert.Assert(t, c.Allows(now))
	c.RecordNoResponse(now)
	assert.Assert(t, !c.Allows(now.Add(100*time.Millisecond)))
	assert.Assert(t, c.Allows(now.Add(200*time.Millisecond)), "one probe call per interval is allowed")
	assert.Assert(t, !c.Allows(now.Add(250*time.Millisecond)))
	c.RecordResponse(now.Add(-time.Second))
	assert.Assert(t, c.IsOpen(), "a response from before the circuit opened does not close it")
	c.RecordResponse(now.Add(300 * time.Millisecond))
	assert.Assert(t, c.Allows(now.Add(310*time.Millisecond)))
	assert.Assert(t, !c.IsOpen())
}
