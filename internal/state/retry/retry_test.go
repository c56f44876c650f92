package retry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	outage  = 7 * time.Second
	repeats = 4
)

var schedule = NewSchedule(time.Second, 2*time.Second)

// TestRepeatsReachOverOutage guards against callers that have used up their repeats before the store is back. The calls
// are taken to be answered at once, which is the hardest case.
func TestRepeatsReachOverOutage(t *testing.T) {
	for id := range 200 {
		key := fmt.Sprintf("j/%016x", id)
		for start := time.Duration(0); start < outage; start += 10 * time.Millisecond {
			at := start
			for range repeats {
				at += schedule.After(at, key)
			}
			assert.Assert(t, at >= outage, "%s from %v has its last repeat at %v", key, start, at)
		}
	}
}

func TestDelayIsWholeSecondsWithinBounds(t *testing.T) {
	for id := range 200 {
		key := fmt.Sprintf("j/%016x", id)
		last := time.Duration(0)
		for down := -time.Second; down < time.Minute; down += 50 * time.Millisecond {
			d := schedule.After(down, key)
			assert.Assert(t, d == time.Second || d == 2*time.Second, "%v", d)
			assert.Assert(t, d >= last, "the delay shrinks")
			last = d
		}
	}
}

// TestSpread guards against callers that were refused at the same time and return together.
func TestSpread(t *testing.T) {
	const callers = 1000
	longer := 0
	for id := range callers {
		if schedule.After(0, fmt.Sprintf("j/%016x", id)) == 2*time.Second {
			longer++
		}
	}
	assert.Assert(t, longer > callers*4/10 && longer < callers*6/10, "%d of %d", longer, callers)
}
