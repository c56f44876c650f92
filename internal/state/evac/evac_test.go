package evac

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newPlanner() *Planner {
	return New(Costs{Stop: 200 * time.Millisecond, Restore: 300 * time.Millisecond})
}

func hasRoom(int) bool { return true }

// TestPlanMovesRunsThatDoNotEndSoon guards against moves that cost more than the run still takes, and against moves of
// runs that would have to start over.
func TestPlanMovesRunsThatDoNotEndSoon(t *testing.T) {
	units := []Unit{
		{Step: 1, Size: 1, HasCheckpoints: true, Remaining: time.Second, Lost: 400 * time.Millisecond},
		{Step: 1, Size: 1, HasCheckpoints: true, Remaining: time.Second, Lost: 500 * time.Millisecond},
		{Step: 2, Size: 1, Remaining: time.Hour},
		{Step: 3, Size: 3, HasCheckpoints: true, Remaining: 3 * time.Second},
	}
	assert.DeepEqual(t, newPlanner().Plan(units, 0, 0, hasRoom), []int{3, 0})
}

// TestPlanKeepsWithinMayMiss guards against more tasks of a long-running step that are away than it permits.
func TestPlanKeepsWithinMayMiss(t *testing.T) {
	unit := func(step, away, mayMiss int) Unit {
		return Unit{Step: step, Size: 1, LongRunning: true, Away: away, MayMiss: mayMiss}
	}
	for _, c := range []struct{ away, mayMiss, want int }{
		{0, 0, 1}, {1, 0, 0}, {0, 1, 1}, {1, 1, 0}, {0, 3, 3}, {2, 3, 1}, {3, 3, 0},
	} {
		units := []Unit{unit(1, c.away, c.mayMiss), unit(1, c.away, c.mayMiss), unit(1, c.away, c.mayMiss)}
		assert.Equal(t, len(newPlanner().Plan(units, 0, 0, hasRoom)), c.want, "%+v", c)
	}
	gang := Unit{Step: 2, Size: 3, LongRunning: true, MayMiss: 2}
	assert.Equal(t, len(newPlanner().Plan([]Unit{gang}, 0, 0, hasRoom)), 0, "a gang moves as one or stays")
	gang.MayMiss = 3
	assert.Equal(t, len(newPlanner().Plan([]Unit{gang}, 0, 0, hasRoom)), 1)
}

// TestPlanIsBounded guards against plans that stop many runs or search room for many at once.
func TestPlanIsBounded(t *testing.T) {
	units := make([]Unit, 200)
	for i := range units {
		units[i] = Unit{Step: i, Size: 1, LongRunning: true}
	}
	assert.Equal(t, len(newPlanner().Plan(units, 0, 0, hasRoom)), maxMoves)
	assert.Equal(t, len(newPlanner().Plan(units, maxUnderWay-1, 0, hasRoom)), 1)
	searches := 0
	assert.Equal(t, len(newPlanner().Plan(units, 0, 0, func(int) bool {
		searches++
		return false
	})), 0, "nothing moves without room")
	assert.Equal(t, searches, maxSearches)
}

// TestPlanConsidersAllUnits guards against units without room that keep all others from being considered.
func TestPlanConsidersAllUnits(t *testing.T) {
	units := make([]Unit, 3*maxSearches+1)
	for i := range units {
		units[i] = Unit{Step: i, Size: 1, LongRunning: true}
	}
	last := len(units) - 1
	isLast := func(i int) bool { return i == last }
	for plans := range 3 {
		assert.Equal(t, len(newPlanner().Plan(units, 0, plans, isLast)), 0)
	}
	assert.DeepEqual(t, newPlanner().Plan(units, 0, 3, isLast), []int{last})
}
