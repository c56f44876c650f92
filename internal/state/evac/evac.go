// Package evac decides which runs of evacuated failure domains move to other executors, and when.
//
// A run moves only if there is room for it elsewhere at that time. A run with checkpoints moves if it will not end
// within the time that the move costs; one without checkpoints ends where it is. Tasks of a long-running step move so
// that at most as many are away as the step permits. The members of a gang move together.
//
// # Usage
//
//	p := evac.New(evac.Costs{Stop: stopTimeout, Restore: restore})
//	for _, i := range p.Plan(units, movesUnderWay, futilePlans, keepRoom) { stop(units[i]) }
package evac

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxMoves bounds the moves of one plan, and maxSearches the units for which one plan searches room: a search rates
	// all executors.
	maxMoves    = 8
	maxSearches = 16
	// maxUnderWay bounds the moves under way, for each of which room is kept elsewhere.
	maxUnderWay = 64
)

// Costs are the times that a move takes besides the work that is repeated.
type Costs struct {
	// Stop is the longest time until a run has stopped, Restore the time that it takes to resume from a checkpoint.
	Stop, Restore time.Duration
}

// Unit is what moves as one: a run, or all runs of a gang.
type Unit struct {
	// Step identifies the step of the runs, and Size is their number.
	Step any
	Size int
	// Remaining is how long the runs still take, Lost the work since their last checkpoint.
	Remaining, Lost             time.Duration
	HasCheckpoints, LongRunning bool
	// Away is the number of the tasks of the step that are not at work, MayMiss how many may be away if it is
	// long-running.
	Away, MayMiss int
}

// Planner selects the units to move. It has no state.
type Planner struct {
	costs Costs
}

// New returns a Planner.
func New(c Costs) *Planner { return &Planner{costs: c} }

// Plan returns the indexes of the units to move now, given the number of moves under way and that of the plans in a row
// that found no room for any unit. Each of those begins its search further on, so that units without room keep none
// from being considered. keepRoom reports whether there is room elsewhere for a unit, and keeps it if so.
func (p *Planner) Plan(units []Unit, underWay, futilePlans int, keepRoom func(i int) bool) []int {
	away := map[any]int{}
	var due, out []int
	for i, u := range units {
		if p.isWorthwhile(u) {
			due = append(due, i)
			away[u.Step] = max(away[u.Step], u.Away)
		}
	}
	slices.SortStableFunc(due, func(i, j int) int { return p.compare(units[i], units[j]) })
	searches := 0
	for n := range due {
		i := due[(n+futilePlans*maxSearches)%len(due)]
		if len(out) == maxMoves || underWay+len(out) >= maxUnderWay || searches == maxSearches {
			break
		}
		u := units[i]
		if u.LongRunning && away[u.Step]+u.Size > u.mayBeAway() {
			continue
		}
		searches++
		if keepRoom(i) {
			away[u.Step] += u.Size
			out = append(out, i)
		}
	}
	return out
}

// mayBeAway returns how many tasks of a long-running step may be away at a time. A step that may miss none moves one by
// one, as its tasks could not leave the domain otherwise.
func (u Unit) mayBeAway() int { return max(1, u.MayMiss) }

// gain is how much longer the unit runs than its move takes.
func (p *Planner) gain(u Unit) time.Duration {
	return u.Remaining - p.costs.Stop - p.costs.Restore - u.Lost
}

func (p *Planner) isWorthwhile(u Unit) bool {
	return u.LongRunning || u.HasCheckpoints && p.gain(u) > 0
}

// compare orders units: long-running ones first, as they never end where they are, then by gain.
func (p *Planner) compare(a, b Unit) int {
	if a.LongRunning != b.LongRunning {
		if a.LongRunning {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(p.gain(b), p.gain(a)), cmp.Compare(a.Size, b.Size))
}
