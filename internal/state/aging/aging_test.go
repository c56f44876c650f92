package aging_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/state/aging"
	"github.com/ibischute/ibischute/pkg/tick"
)

func at(d time.Duration) tick.Time { return tick.Time(time.Hour).Add(d) }

// arrive adds small jobs, each of which starts, and large ones, of which none starts.
func arrive(b *aging.Balance, small, large int) {
	for range small {
		b.Started(at(0), 0, b.Arrived(at(0), 0, 1))
	}
	for range large {
		b.Arrived(at(0), 0, 100)
	}
}

// TestLargeJobsAreBehindUntilHalfHaveStarted guards against large jobs that are served less than half as often as
// others, and against moving them up beyond that.
func TestLargeJobsAreBehindUntilHalfHaveStarted(t *testing.T) {
	b := aging.New()
	arrive(b, 20, 4)
	assert.Assert(t, b.IsBehind(0))
	b.Started(at(0), 0, true)
	assert.Assert(t, b.IsBehind(0), "1 of 4 has started")
	b.Started(at(0), 0, true)
	assert.Assert(t, !b.IsBehind(0), "2 of 4 have started")
}

// TestJobsOfOneSizeAreNotLarge guards against moving up jobs in an overload of equal jobs, which would make all of them
// late.
func TestJobsOfOneSizeAreNotLarge(t *testing.T) {
	b := aging.New()
	for range 100 {
		assert.Assert(t, !b.Arrived(at(0), 0, 10))
	}
	assert.Assert(t, !b.IsBehind(0))
}

func TestOldJobsCountLess(t *testing.T) {
	b := aging.New()
	arrive(b, 20, 4)
	for range 4 {
		b.Started(at(5*time.Minute), 0, b.Arrived(at(5*time.Minute), 0, 100))
		b.Started(at(5*time.Minute), 0, b.Arrived(at(5*time.Minute), 0, 1))
	}
	assert.Assert(t, !b.IsBehind(0))
}

func TestPrioritiesAreSeparate(t *testing.T) {
	b := aging.New()
	arrive(b, 20, 4)
	b.Arrived(at(0), 1, 10)
	assert.Assert(t, !b.IsBehind(1))
	assert.Assert(t, !b.IsBehind(2), "no job has arrived")
}

// TestJobWithoutWorkIsNotLarge guards against long-running jobs, which have no estimate, being moved up.
func TestJobWithoutWorkIsNotLarge(t *testing.T) {
	b := aging.New()
	assert.Assert(t, !b.Arrived(at(0), 0, 0))
	assert.Assert(t, !b.Arrived(at(0), 0, 0))
}

// TestOtherJobsMoveUpRarely guards against jobs that are late after an overload waiting without a bound, and against
// all of them moving up at once.
func TestOtherJobsMoveUpRarely(t *testing.T) {
	b := aging.New()
	arrive(b, 20, 0)
	assert.Assert(t, !b.MayMoveUp(at(0), 0, false, 1.9))
	assert.Assert(t, b.MayMoveUp(at(0), 0, false, 2))
	b.MovedUp(at(0), 0)
	assert.Assert(t, !b.MayMoveUp(at(400*time.Millisecond), 0, false, 5))
	assert.Assert(t, b.MayMoveUp(at(500*time.Millisecond), 0, false, 5))
}

func TestLargeJobMovesUpAtItsTarget(t *testing.T) {
	b := aging.New()
	arrive(b, 20, 1)
	b.MovedUp(at(0), 0)
	assert.Assert(t, !b.MayMoveUp(at(0), 0, true, 0.9))
	assert.Assert(t, b.MayMoveUp(at(0), 0, true, 1), "the rate limits other jobs only")
}
