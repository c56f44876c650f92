package valid

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/pkg/fault"
)

const acceptedMS = 1_800_000_000_000

func repeated(count uint32, firstMS, intervalMS int64) *jobpb.Job {
	return &jobpb.Job{
		Steps: []*jobpb.Step{{Count: 10}}, AcceptedMs: acceptedMS, RepeatCount: count, FirstDueMs: firstMS,
		IntervalMs: intervalMS,
	}
}

func TestAccepts(t *testing.T) {
	for _, j := range []*jobpb.Job{
		{Steps: []*jobpb.Step{{Count: maxTasks}}},
		{Steps: []*jobpb.Step{{Count: 1}, {Count: 2, DependsOn: []uint32{0}}}},
		repeated(0, 0, 0), repeated(1, math.MinInt64, math.MinInt64), repeated(1000, 0, 0),
		repeated(math.MaxUint32, acceptedMS, 60_000), repeated(math.MaxUint32, acceptedMS-1000, 1000),
	} {
		assert.NilError(t, Submitted.Check(j), "%v", j)
		assert.NilError(t, Recorded.Check(j), "%v", j)
	}
}

// TestRejectsJobsThatTakeLeaderDown guards against a job that every leader in turn cannot hold in memory, or whose
// steps it cannot order.
func TestRejectsJobsThatTakeLeaderDown(t *testing.T) {
	for _, j := range []*jobpb.Job{
		{Steps: []*jobpb.Step{{}}},
		{Steps: []*jobpb.Step{nil}},
		{Steps: []*jobpb.Step{{Count: math.MaxUint32}}},
		{Steps: []*jobpb.Step{{Count: maxTasks}, {Count: 1}}},
		{Steps: []*jobpb.Step{{Count: 1, DependsOn: []uint32{0}}}},
		{Steps: make([]*jobpb.Step, maxSteps+1)},
		repeated(math.MaxUint32, 0, 0), repeated(math.MaxUint32, 0, -1), repeated(math.MaxUint32, 0, 1),
		repeated(math.MaxUint32, 0, math.MaxInt64), repeated(2, math.MinInt64, 1), repeated(2, math.MaxInt64, 1),
		repeated(math.MaxUint32, 0, 1000),
	} {
		assert.Assert(t, fault.IsErrCode(Submitted.Check(j), fault.CodeBadRequest), "%.200v", j)
		assert.Assert(t, fault.IsErrCode(Recorded.Check(j), fault.CodeBadRequest), "%.200v", j)
	}
}

func TestSubmissionWithoutSteps(t *testing.T) {
	assert.Assert(t, fault.IsErrCode(Submitted.Check(&jobpb.Job{}), fault.CodeBadRequest))
	assert.NilError(t, Recorded.Check(&jobpb.Job{}))
}

// TestRecordsOfEarlierVersions guards against the loss of accepted jobs that exceed the limits for new ones.
func TestRecordsOfEarlierVersions(t *testing.T) {
	for _, j := range []*jobpb.Job{repeated(20_000, 0, 0), repeated(math.MaxUint32, acceptedMS, 10)} {
		assert.Assert(t, fault.IsErrCode(Submitted.Check(j), fault.CodeBadRequest), "%v", j)
		assert.NilError(t, Recorded.Check(j), "%v", j)
	}
}
