package memex

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestParseBehaviorInvertsSpec(t *testing.T) {
	b := Behavior{
		Capacity: Capacity{MilliCPU: 1000, MemoryMB: 100}, Duration: time.Second, LongRunning: true, FailureRate: 0.25,
		MaxFailures: 2, FailsWithin: 300 * time.Millisecond, MaxAttempts: 4, MaxPerExecutor: 1,
		CrashesAfter: 10 * time.Millisecond, RequiresLabel: "a",
	}
	assert.Equal(t, ParseBehavior(b.Spec()), b)
}

func TestParseBehaviorOfOtherSpec(t *testing.T) {
	for _, spec := range []string{"s", "", "%"} {
		assert.Equal(t, ParseBehavior(spec), Behavior{Duration: defaultDuration, FailsWithin: defaultDuration})
	}
}
