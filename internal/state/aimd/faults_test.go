package aimd_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/state/aimd"
	"github.com/ibischute/ibischute/pkg/tick"
)

// TestWindowFollowsPathThatBecomesSlow guards against a limit that keeps to the response time of a path that is no
// longer reached, so that fewer calls a second are possible than the rate.
func TestWindowFollowsPathThatBecomesSlow(t *testing.T) {
	const rate = 1000
	w := aimd.New(128, 400*time.Millisecond).WithQueue(48, rate)
	now := tick.Time(time.Hour)
	answer := func(took time.Duration, n int) {
		for range n {
			w.Sent(now)
			w.Answered(now.Add(took), now)
			now = now.Add(took)
		}
	}
	answer(time.Millisecond, 1)
	const slowPath = 100 * time.Millisecond
	answer(slowPath, 5000)
	perSecond := float64(w.Limit()) / slowPath.Seconds()
	assert.Assert(t, perSecond >= rate, "%.0f calls a second are possible", perSecond)
}

// TestSlowCallsThatAreOvertakenStayCounted guards against a limit that does not hold: one call in ten is answered in
// 20 ms, the others in 350 ms, which is not slow.
func TestSlowCallsThatAreOvertakenStayCounted(t *testing.T) {
	const highest = 128
	w := aimd.New(highest, 400*time.Millisecond).WithQueue(48, 1000)
	type call struct{ sent, answered tick.Time }
	var open []call
	most := 0
	for ms := range 5000 {
		now := tick.Time(time.Hour).Add(time.Duration(ms) * time.Millisecond)
		rest := open[:0]
		for _, c := range open {
			if c.answered > now {
				rest = append(rest, c)
				continue
			}
			w.Answered(now, c.sent)
		}
		open = rest
		for n := w.Room(now); n > 0; n-- {
			took := 350 * time.Millisecond
			if (ms+n)%10 == 0 {
				took = 20 * time.Millisecond
			}
			w.Sent(now)
			open = append(open, call{now, now.Add(took)})
		}
		most = max(most, len(open))
	}
	assert.Assert(t, most <= highest, "%d calls without a response", most)
}
