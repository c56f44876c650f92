package leader_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/pkg/fault"
)

// maxRecordBytes is the size above which the platform's log rejects a record, maxAppendBytes the same for an append.
const (
	maxRecordBytes = 262144
	maxAppendBytes = 2097152
)

// limitedLog rejects appends that are too large or have a record that is too large, and those of progress while it is
// busy.
type limitedLog struct {
	logs.Log
	isBusy *atomic.Bool
}

// Append implements logs.Log.
func (l limitedLog) Append(
	ctx context.Context, t logs.Topic, p logs.Part, records []logs.Record, c logs.Condition,
) (logs.Offset, error) {
	size := 0
	for _, r := range records {
		size += 5 + len(r.Key) + len(r.Value)
		if 1+len(r.Key)+len(r.Value) > maxRecordBytes {
			return 0, fault.New(fault.CodeUnavailable, fault.NotRun, "the store answered 400")
		}
	}
	if size > maxAppendBytes || t == logs.Progress && l.isBusy.Load() {
		return 0, fault.New(fault.CodeUnavailable, fault.NotRun, "the store answered 400")
	}
	return l.Log.Append(ctx, t, p, records, c)
}

// TestTooLargeRecordKeepsOtherJobsStarting checks progress that exceeds the limit of the log for a record.
func TestTooLargeRecordKeepsOtherJobsStarting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.wrapLog = func(l logs.Log) logs.Log { return limitedLog{l, &atomic.Bool{}} }
		checkOtherJobStarts(r, strings.Repeat("c", maxRecordBytes))
	})
}

// TestTooLargeBatchKeepsOtherJobsStarting checks records of several jobs that together exceed the limit for an append.
func TestTooLargeBatchKeepsOtherJobsStarting(t *testing.T) {
	const largeJobs = 32
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		var isBusy atomic.Bool
		r.wrapLog = func(l logs.Log) logs.Log { return limitedLog{l, &isBusy} }
		r.startNodes(1)
		r.calls.edit(func() { r.calls.editLists = giveCheckpoint(strings.Repeat("c", maxRecordBytes-1000)) })
		for id := range largeJobs {
			r.submit(rigJob(2+id, &jobpb.Step{Checkpointing: true}))
		}
		time.Sleep(300 * time.Millisecond)
		isBusy.Store(true)
		time.Sleep(time.Second)
		isBusy.Store(false)
		r.calls.edit(func() { r.calls.editLists = giveCheckpoint("") })
		r.submit(rigJob(1, &jobpb.Step{}))
		took := r.awaitStart(jobID(1))
		assert.Assert(t, took <= maxDue, "the job starts after %v", took)
	})
}
