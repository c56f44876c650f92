package leader_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/pkg/fault"
)

// maxFenceDelay is how much longer a takeover may take if the first answers to its fence are lost.
const maxFenceDelay = 600 * time.Millisecond

// lostFences loses the responses to the first appends of no records, which take effect.
type lostFences struct {
	logs.Log
	left *atomic.Int64
}

// Append implements logs.Log.
func (l lostFences) Append(
	ctx context.Context, t logs.Topic, p logs.Part, records []logs.Record, c logs.Condition,
) (logs.Offset, error) {
	offset, err := l.Log.Append(ctx, t, p, records, c)
	if t == logs.Progress && len(records) == 0 && l.left.Add(-1) >= 0 {
		<-ctx.Done()
		return 0, fault.New(fault.CodeUnknownOutcome, fault.Unknown, "the answer was lost")
	}
	return offset, err
}

// TestLostAnswersToFenceDelayTakeoverLittle checks a new leader whose fence takes effect while the first responses to
// it are lost. Nothing starts before the fence.
func TestLostAnswersToFenceDelayTakeoverLittle(t *testing.T) {
	takeover := func(lost int64) time.Duration {
		var took time.Duration
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t)
			left := &atomic.Int64{}
			left.Store(lost)
			r.wrapLog = func(l logs.Log) logs.Log { return lostFences{l, left} }
			r.submit(rigJob(1, &jobpb.Step{}))
			r.start("n")
			took = r.awaitStart(jobID(1))
		})
		return took
	}
	delay := takeover(3) - takeover(0)
	assert.Assert(t, delay <= maxFenceDelay, "the first start is delayed by %v", delay)
}
