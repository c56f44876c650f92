package leader

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/state/aimd"
	"github.com/ibischute/ibischute/internal/state/rtrip"
	"github.com/ibischute/ibischute/pkg/tick"
)

// TestUnsentStartTellsNothingAboutThePath guards against a limit of start orders that falls for the rest of the term
// because an order that was withheld or not sent counts as the fastest response.
func TestUnsentStartTellsNothingAboutThePath(t *testing.T) {
	for _, outcome := range []orders.Outcome{orders.Withheld, orders.NotSent} {
		now := tick.Time(time.Hour)
		restore := tick.SetSource(func() tick.Time { return now })
		tm := &term{
			startWindow:    aimd.New(maxStarts, slowOrder).WithQueue(maxQueuedStarts, startsPerSecond),
			startResponses: rtrip.New(minOverdue, orderTimeout),
		}
		reply := func(took time.Duration, o orders.Outcome) {
			sent := now
			tm.startWindow.Sent(sent)
			now = now.Add(took)
			tm.updateStartWindow(sent, orders.Reply{Outcome: o})
		}
		reply(40*time.Millisecond, orders.Done)
		before := tm.startWindow.Limit()
		reply(10*time.Microsecond, outcome)
		after := tm.startWindow.Limit()
		assert.Check(t, after == before, "%v: %d start orders, %d before", outcome, after, before)
		restore()
	}
}
