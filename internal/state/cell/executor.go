package cell

import (
	"slices"
	"time"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// clockDrift is how much slower than ours an executor's clock may run.
	clockDrift = 0.02
	// lapseMargin is added to a lease before it counts as lapsed.
	lapseMargin = 50 * time.Millisecond
)

// room is what tasks need of an executor.
type room struct {
	milliCPU, memoryMB, gpus int64
}

func roomOf(s *jobpb.Step) room {
	r := room{milliCPU: int64(s.MilliCpu), memoryMB: int64(s.MemoryMb), gpus: int64(s.Gpus)}
	if s.Fills {
		r.milliCPU = 0
	}
	return r
}

func (r room) plus(o room) room {
	return room{r.milliCPU + o.milliCPU, r.memoryMB + o.memoryMB, r.gpus + o.gpus}
}

func (r room) minus(o room) room {
	return room{r.milliCPU - o.milliCPU, r.memoryMB - o.memoryMB, r.gpus - o.gpus}
}

func (r room) holds(o room) bool {
	return r.milliCPU >= o.milliCPU && r.memoryMB >= o.memoryMB && r.gpus >= o.gpus
}

// executor is an executor and what is believed of it.
type executor struct {
	entry queue.Executor
	// isListed means that the discovery has it.
	isListed bool
	// isRostered means that the store knows that this lead may send orders to it.
	isRostered bool
	// isFormer means that a former lead may have sent orders to it.
	isFormer bool
	// isHeard means that it has answered this lead, so that it obeys no former one.
	isHeard bool
	// isDead means that its incarnation is over.
	isDead bool
	bornMS int64

	total, used room
	runs        map[orders.Task]*run
	// serving are the runs that serve under a target, filling those that fill.
	serving, filling []*run
	// servingCPU and fillingCPU are the processor shares that they ask for.
	servingCPU, fillingCPU int64
	// surplus are runs that belong to no task and must end, and whether the order to stop them was sent.
	surplus map[orders.Run]bool

	// clockOffsetMS is the least difference of its clock to ours, as of clockAt.
	clockOffsetMS float64
	clockAt       tick.Time
	hasClock      bool
	// lapseBy is when its lease has surely lapsed unless it is extended.
	lapseBy tick.Time
	heardAt tick.Time
	// isSilent means that the last hold got no answer.
	isSilent bool

	// seen is the last end taken from its lists, cut the last one in a record being written, acked the last one stored.
	// ackSent is the last one that the executor was told of.
	seen, cut, acked, ackSent uint64

	// avoidUntil keeps new starts away.
	avoidUntil tick.Time
	// failures counts the runs that have failed there since one was done.
	failures int
	failedBy string
	// judgedAt is the list by which interference was last judged; noFillUntil keeps filling tasks from starting.
	judgedAt, noFillUntil tick.Time
	// cutAt is when the press on its serving tasks was last cut, cutShare the worst tail then, as a share of its target.
	cutAt    tick.Time
	cutShare float64
	// drainBy is when it may leave.
	drainBy tick.Time
}

func (x *executor) target() orders.Target {
	return orders.Target{ID: x.entry.ID, Address: x.entry.Address}
}

// free returns the room that is left.
func (x *executor) free() room { return x.total.minus(x.used) }

// hasLabel reports whether the executor has the label.
func (x *executor) hasLabel(l string) bool { return slices.Contains(x.entry.Labels, l) }

// satisfies reports whether the executor has the label that a step requires, which may be none.
func (x *executor) satisfies(label string) bool { return label == "" || x.hasLabel(label) }

// Discover applies the whole list of the discovery.
func (c *Cell) Discover(now tick.Time, list []queue.Executor) {
	listed := make(map[string]bool, len(list))
	// latest has the entry of the youngest process at each address. Entries may outlive their processes.
	latest := make(map[string]queue.Executor, len(list))
	for _, e := range list {
		listed[e.ID] = true
		if e.BornMS > latest[e.Address].BornMS {
			latest[e.Address] = e
		}
		c.discover(now, e)
	}
	for id, x := range c.execs {
		if !listed[id] && x.isListed {
			x.isListed = false
			c.note(Event{Name: "executor-unlisted", Executor: id})
		}
		if next := latest[x.entry.Address]; next.ID != id && x.entry.BornMS != 0 && next.BornMS > x.entry.BornMS {
			c.bury(x, "address taken over by "+next.ID)
		}
		if x.entry.Draining || !x.isListed {
			c.retire(now, id, x)
		}
	}
}

func (c *Cell) discover(now tick.Time, e queue.Executor) {
	x, ok := c.execs[e.ID]
	if !ok {
		x = newExecutor(e)
		c.execs[e.ID] = x
		c.note(Event{Name: "executor-listed", Executor: e.ID, Detail: e.Address})
	}
	if e.Draining && !x.entry.Draining {
		x.drainBy = now.Add(time.Duration(e.RemainingMS) * time.Millisecond)
		c.note(Event{Name: "executor-draining", Executor: e.ID})
	}
	if e.BornMS != 0 && x.bornMS != 0 && e.BornMS != x.bornMS {
		// Nothing is started there before its lists show what it has.
		x.isHeard = false
	}
	x.entry = e
	x.isListed = true
	x.total = room{e.MilliCPU, e.MemoryMB, e.GPUs}
	if !x.isRostered && !x.entry.Draining && !c.retired[e.ID] {
		c.rosters[e.ID] = x
	}
}

// retire takes an executor that leaves or is gone off the roster once nothing can run on it, so that no later lead
// waits for it.
func (c *Cell) retire(now tick.Time, id string, x *executor) {
	if len(x.runs) > 0 || len(x.surplus) > 0 || c.isAwaited(now, x) {
		return
	}
	delete(c.rosters, id)
	if x.isRostered {
		x.isRostered = false
		c.retired[id] = true
	}
	if !x.isListed && (x.isDead || now.After(x.lapseBy)) {
		delete(c.execs, id)
	}
}

func newExecutor(e queue.Executor) *executor {
	return &executor{
		entry: e, total: room{e.MilliCPU, e.MemoryMB, e.GPUs},
		runs: map[orders.Task]*run{}, surplus: map[orders.Run]bool{},
	}
}

// bury notes that an incarnation is over: nothing runs there any more.
func (c *Cell) bury(x *executor, why string) {
	if x.isDead {
		return
	}
	x.isDead = true
	x.isListed = false
	c.note(Event{Name: "executor-gone", Executor: x.entry.ID, Detail: why})
	for _, r := range x.runs {
		c.release(r, orders.EndedLapsed)
	}
}

// sample takes the executor's clock from an answer to a call that ended at now.
func (x *executor) sample(now tick.Time, clockMS int64) {
	if clockMS == 0 {
		return
	}
	offset := float64(clockMS) - millis(now)
	if kept := x.offset(now); x.hasClock && kept > offset {
		offset = kept
	}
	x.clockOffsetMS, x.clockAt, x.hasClock = offset, now, true
}

// offset returns a lower bound of the difference of the executor's clock to ours.
func (x *executor) offset(now tick.Time) float64 {
	return x.clockOffsetMS - clockDrift*(millis(now)-millis(x.clockAt))
}

func millis(t tick.Time) float64 { return float64(t) / float64(time.Millisecond) }

// extend returns the deadline of a lease that begins now, on the executor's clock, and notes when that has lapsed.
func (c *Cell) extend(now tick.Time, x *executor) int64 {
	x.lapseBy = max(x.lapseBy, now.Add(c.params.LongestLease()))
	return int64(millis(now)+x.offset(now)) + c.params.MaxHold.Milliseconds()
}

// LongestLease is the longest time by our clock for which a lease given now can last.
func (p Params) LongestLease() time.Duration {
	return time.Duration(float64(p.MaxHold)/(1-clockDrift)) + lapseMargin
}

// isUsable reports whether tasks may be started on the executor. Surplus runs take room that is not accounted.
func (x *executor) isUsable(now tick.Time) bool {
	isKnown := x.isListed && x.isRostered && x.isHeard && x.hasClock
	isServing := !x.isDead && !x.isSilent && !x.entry.Draining && len(x.surplus) == 0
	return isKnown && isServing && !now.Before(x.avoidUntil)
}
