package leader_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/pkg/fault"
)

// maxRecordBytes is the size above which the platform's log rejects a record.
const maxRecordBytes = 262144

// limitedLog rejects appends with a record that is too large.
type limitedLog struct{ logs.Log }

// Append implements logs.Log.
func (l limitedLog) Append(
	ctx context.Context, t logs.Topic, p logs.Part, records []logs.Record, c logs.Condition,
) (logs.Offset, error) {
	for _, r := range records {
		if 1+len(r.Key)+len(r.Value) > maxRecordBytes {
			return 0, fault.New(fault.CodeUnavailable, fault.NotRun, "the store answered 400")
		}
	}
	return l.Log.Append(ctx, t, p, records, c)
}

// TestTooLargeRecordKeepsOtherJobsStarting checks progress that exceeds the limit of the log for a record.
func TestTooLargeRecordKeepsOtherJobsStarting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.wrapLog = func(l logs.Log) logs.Log { return limitedLog{l} }
		checkOtherJobStarts(r, strings.Repeat("c", maxRecordBytes))
	})
}
