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
		w.Failed(at(timeout), at(0))
	}
	assert.Equal(t, w.Limit(), 32, "calls in flight at the time of the decrease belong to the same overload")
	w.Failed(at(2*timeout), at(timeout))
	assert.Equal(t, w.Limit(), 16)
}

func TestSlowResponsesDecrease(t *testing.T) {
	w := aimd.New(64, slow)
	w.Answered(at(slow+1), at(0))
	assert.Equal(t, w.Limit(), 32)
}

func TestIncreasesByOnePerRound(t *testing.T) {
	w := aimd.New(64, slow)
	w.Failed(at(timeout), at(0))
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
			w.Failed(at(sent+3*time.Millisecond), at(lost))
		}
	}
	assert.Equal(t, w.Limit(), 64)
}

// TestLostAnswersLeaveRoomForOtherCalls replays 900 calls a second of which one in nine gets no response for 5 s. The
// timeouts of the lost calls must not take the place of other calls.
func TestLostAnswersLeaveRoomForOtherCalls(t *testing.T) {
	const (
		highest  = 128
		queue    = 48
		interval = time.Second / 900
		fast     = 10 * time.Millisecond
		length   = 5 * time.Second
	)
	w := aimd.New(highest, slow).WithQueue(queue, int(time.Second/interval))
	var answered, lost []tick.Time
	sent := 0
	for now := at(0); now.Before(at(length)); now = now.Add(interval) {
		for len(answered) > 0 && now.Sub(answered[0]) >= fast {
			w.Answered(now, answered[0])
			answered = answered[1:]
		}
		for len(lost) > 0 && now.Sub(lost[0]) >= timeout {
			w.Failed(now, lost[0])
			lost = lost[1:]
		}
		if w.Room(now) == 0 {
			continue
		}
		w.Sent(now)
		if sent++; sent%9 == 0 {
			lost = append(lost, now)
			continue
		}
		answered = append(answered, now)
	}
	perSecond := float64(sent) / length.Seconds()
	assert.Assert(t, perSecond >= 700, "%.0f calls a second", perSecond)
}

// TestQueueIsLimitedOnSlowPath checks that a path with long response times carries the rate, and that responses which
// only become late do not raise the limit.
func TestQueueIsLimitedOnSlowPath(t *testing.T) {
	w := aimd.New(128, slow).WithQueue(32, 900)
	assert.Equal(t, w.Limit(), 32)
	w.Answered(at(90*time.Millisecond), at(0))
	assert.Equal(t, w.Limit(), 32+81)
	w.Answered(at(5*time.Millisecond), at(0))
	for range 1000 {
		w.Answered(at(300*time.Millisecond), at(0))
	}
	assert.Equal(t, w.Limit(), 32+5)
}

// TestOvertakenSlowResponsesDoNotDecrease checks single callees that respond late while others respond fast.
func TestOvertakenSlowResponsesDoNotDecrease(t *testing.T) {
	w := aimd.New(64, slow)
	w.Sent(at(0))
	w.Sent(at(time.Millisecond))
	w.Answered(at(2*time.Millisecond), at(time.Millisecond))
	w.Answered(at(slow+1), at(0))
	assert.Equal(t, w.Limit(), 64)
}

// TestBrokenConnectionsDoNotDecrease checks calls whose connections break at once.
func TestBrokenConnectionsDoNotDecrease(t *testing.T) {
	w := aimd.New(64, slow)
	for i := range 100 {
		sent := at(time.Duration(i) * time.Millisecond)
		w.Sent(sent)
		w.Failed(sent.Add(time.Millisecond), sent)
	}
	assert.Equal(t, w.Limit(), 64)
}

// TestSaturatedPathFillsWindow checks that unanswered calls stay in flight until they time out.
func TestSaturatedPathFillsWindow(t *testing.T) {
	w := aimd.New(4, slow)
	for range 4 {
		w.Sent(at(0))
	}
	assert.Equal(t, w.Room(at(slow+1)), 0)
	w.Failed(at(timeout), at(0))
	assert.Equal(t, w.Limit(), 2)
}

func TestNeverStops(t *testing.T) {
	w := aimd.New(64, slow)
	for i := range 50 {
		w.Failed(at(time.Duration(i+1)*timeout), at(time.Duration(i)*timeout))
	}
	assert.Assert(t, w.Limit() >= 1)
}
