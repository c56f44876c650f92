package cell

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/ibischute/ibischute/internal/state/share"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// longRunningPatience is half of the time for which a due task may have no run.
	longRunningPatience = 1500 * time.Millisecond
	// longRunningShare is the share of the cores of a priority that long-running tasks get once they have waited for
	// longRunningPatience. Short tasks in time or late get the rest.
	longRunningShare = 1.0 / 3
	// maxOwedMilliCPU bounds what either side is owed: the cores of some executors.
	maxOwedMilliCPU = 256_000
)

// group has the waiting steps of one priority. Long-running tasks that have waited for longRunningPatience share what
// is placed with short ones, which would otherwise take every place that becomes free on a full fleet.
type group struct {
	priority int
	balance  *share.Balance
	// overdue has the steps of the overdue long-running tasks, the one that has waited longest first, short those that
	// share with them, and others those that come after both.
	overdue, short, others []*step
	// current is the list from which the last step was taken, and limit its limit.
	current *[]*step
	limit   int
}

// nextGroup takes the jobs of the first priority from the list.
func (c *Cell) nextGroup(now tick.Time, list *[]waitingJob) *group {
	priority := (*list)[0].urgency.priority
	g := &group{priority: priority, balance: c.shareOf(priority)}
	n := 0
	for _, w := range *list {
		if w.urgency.priority != priority {
			break
		}
		n++
		g.add(now, w)
	}
	*list = (*list)[n:]
	slices.SortStableFunc(g.overdue, func(a, b *step) int { return cmp.Compare(a.waitingSince, b.waitingSince) })
	g.balance.Begin(len(g.overdue) > 0)
	return g
}

func (c *Cell) shareOf(priority int) *share.Balance {
	b, ok := c.shares[priority]
	if !ok {
		b = share.New(longRunningShare, maxOwedMilliCPU)
		c.shares[priority] = b
	}
	return b
}

func (g *group) add(now tick.Time, w waitingJob) {
	for _, s := range w.steps {
		switch {
		case s.isOverdueLongRunning(now):
			g.overdue = append(g.overdue, s)
		case w.urgency.isMovedUp || w.urgency.lateness < longRunning:
			g.short = append(g.short, s)
		default:
			g.others = append(g.others, s)
		}
	}
}

// isOverdueLongRunning reports whether long-running tasks of the step have waited for longRunningPatience.
func (s *step) isOverdueLongRunning(now tick.Time) bool {
	return s.pb.LongRunning && s.waitingSince != 0 && now.Sub(s.waitingSince) >= longRunningPatience
}

// next returns the step whose turn it is and how many of its tasks may be placed, or nil if none is left.
func (g *group) next() (*step, int) {
	g.limit = math.MaxInt
	switch {
	case len(g.overdue) > 0 && len(g.short) == 0:
		g.current = &g.overdue
	case len(g.overdue) > 0 && g.balance.IsDue():
		g.current = &g.overdue
		g.limit = g.balance.Units(milliCPUOf(g.overdue[0]))
	case len(g.short) > 0:
		g.current = &g.short
	case len(g.others) > 0:
		g.current = &g.others
	default:
		return nil, 0
	}
	return (*g.current)[0], g.limit
}

// placed notes how many tasks of the last step were placed. A step that has reached its limit gets another turn.
func (g *group) placed(n int) {
	amount := float64(n) * milliCPUOf((*g.current)[0])
	switch {
	case g.current == &g.short:
		g.balance.OthersTook(amount)
	case g.current == &g.overdue && len(g.short) > 0:
		g.balance.Took(amount)
	}
	if n < g.limit {
		*g.current = (*g.current)[1:]
	}
}

func milliCPUOf(s *step) float64 { return float64(resourcesOf(s.pb).milliCPU) }
