package cell

import (
	"slices"
	"time"

	"github.com/ibischute/ibischute/internal/state/crash"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

// outageRetention is how long outages are kept for crashes that are confirmed late.
const outageRetention = 10 * time.Minute

// outage is the last outage of an executor, which had the entry.
type outage struct {
	crash.Outage
	entry queue.Executor
	// isOver is true if the executor is known to have restarted. Otherwise it may only be out of reach.
	isOver bool
	// isBlamed is true if a crash counts against a task, so that the outage shows no common cause.
	isBlamed bool
}

// noteOutage records that an executor is out of reach, or has restarted.
func (c *Cell) noteOutage(now tick.Time, x *executor, isOver bool) {
	o, ok := c.crashes.outages[x.hash]
	if !ok || o.isOver && x.lastResponseAt.After(o.To) {
		from := max(x.lastResponseAt, x.orderRepliedAt)
		o = &outage{Outage: crash.Outage{From: from, To: now}, entry: *x.registration.Estimate()}
		c.crashes.outages[x.hash] = o
	}
	o.isOver = o.isOver || isOver
}

// endOutage forgets the outage of an executor that responds in the same incarnation.
func (c *Cell) endOutage(x *executor) {
	if o, ok := c.crashes.outages[x.hash]; ok && !o.isOver {
		delete(c.crashes.outages, x.hash)
	}
}

func (c *Cell) dropOutages(now tick.Time) {
	for hash, o := range c.crashes.outages {
		if now.Sub(o.To) > outageRetention {
			delete(c.crashes.outages, hash)
		}
	}
}

// judgement finds the causes of confirmed crashes. It keeps what several of them have in common.
type judgement struct {
	cell *Cell
	// executors has the known executors by their hashes.
	executors map[uint32]*executor
	// groups has the executors of each rack or failure domain.
	groups map[string][]peer
	// crashedBy has the executors that each step may have crashed, suspects those that any step on trial may have.
	crashedBy map[*step]map[uint32]bool
	suspects  map[uint32]bool
}

// peer is an executor of a group, which may have been removed since its outage.
type peer struct {
	hash   uint32
	outage *outage
	// startedMS is the start time of its process.
	startedMS int64
}

func (c *Cell) newJudgement() *judgement {
	j := &judgement{
		cell: c, executors: make(map[uint32]*executor, len(c.execs)), groups: map[string][]peer{},
		crashedBy: map[*step]map[uint32]bool{}, suspects: map[uint32]bool{},
	}
	for _, x := range c.execs {
		j.executors[x.hash] = x
	}
	for s := range c.crashes.steps {
		if s.trial.isActive() {
			s.addEarlyLosses(j.suspects)
		}
	}
	return j
}

// hadCommonCause reports whether the executor was lost with its rack or failure domain. Executors that a step may have
// crashed do not show that.
func (j *judgement) hadCommonCause(k *lostRun) bool {
	var entry queue.Executor
	lost := peer{hash: k.loss.Executor, outage: j.cell.crashes.outages[k.loss.Executor]}
	switch x := j.executors[k.loss.Executor]; {
	case x != nil:
		entry, lost.startedMS = x.lastEntry(lost.outage), x.processStart()
	case lost.outage != nil:
		entry = lost.outage.entry
	}
	names := entry.Labels
	if entry.Domain != "" {
		names = append(slices.Clone(names), entry.Domain)
	}
	return slices.ContainsFunc(names, func(name string) bool { return j.wasLostWith(k, lost, j.group(name)) })
}

// wasLostWith reports whether the executor of the loss was lost with the group.
func (j *judgement) wasLostWith(k *lostRun, lost peer, group []peer) bool {
	explained := j.explainedOutages(k)
	n, others := 0, 0
	for _, p := range group {
		isBlamed := p.outage != nil && p.outage.isBlamed
		if p.hash == lost.hash || isBlamed || explained[p.hash] || j.suspects[p.hash] {
			continue
		}
		others++
		if lost.isLostWith(p, k.loss.Incarnation) {
			n++
		}
	}
	return crash.IsCommonCause(n, others)
}

// isLostWith reports whether both executors were lost at the same time, or have restarted at the same time after the
// incarnation of this one.
func (p peer) isLostWith(o peer, incarnation int64) bool {
	if p.outage != nil && o.outage != nil && p.outage.IsNear(o.outage.Outage) {
		return true
	}
	return p.startedMS > incarnation && o.startedMS != 0 && crash.AreTogether(p.startedMS, o.startedMS)
}

// group returns the executors of the rack or failure domain.
func (j *judgement) group(name string) []peer {
	if g, ok := j.groups[name]; ok {
		return g
	}
	g := []peer{}
	for hash, x := range j.executors {
		o := j.cell.crashes.outages[hash]
		if isInGroup(x.lastEntry(o), name) {
			g = append(g, peer{hash: hash, outage: o, startedMS: x.processStart()})
		}
	}
	for hash, o := range j.cell.crashes.outages {
		if j.executors[hash] == nil && isInGroup(o.entry, name) {
			g = append(g, peer{hash: hash, outage: o})
		}
	}
	j.groups[name] = g
	return g
}

// lastEntry returns the entry of the process that the outage has ended, or of the present one if there is no outage.
func (x *executor) lastEntry(o *outage) queue.Executor {
	if o != nil {
		return o.entry
	}
	return *x.registration.Estimate()
}

func isInGroup(e queue.Executor, group string) bool {
	return e.Domain == group || slices.Contains(e.Labels, group)
}

// processStart returns the latest known start time of the executor's process in Unix milliseconds.
func (x *executor) processStart() int64 { return max(x.startedMS, x.entry.StartedMS) }

// explainedOutages returns the executors that the step of the task may have crashed: those that lost a run of it soon
// after its start, and those that lost one that was started at the same time as the lost run.
func (j *judgement) explainedOutages(k *lostRun) map[uint32]bool {
	s := k.task.step
	if known, ok := j.crashedBy[s]; ok {
		return known
	}
	out := map[uint32]bool{}
	s.addEarlyLosses(out)
	for _, t := range s.tasks {
		if r := t.run; r != nil && k.isStartedWith(r.startedAt) {
			out[r.exec.hash] = true
		}
		if n := len(t.crashes.Losses()); n > 0 && k.isStartedWith(t.lostRunStartedAt) {
			out[t.crashes.Losses()[n-1].Executor] = true
		}
	}
	j.crashedBy[s] = out
	return out
}

// addEarlyLosses adds the executors that lost a run of the step soon after its start.
func (s *step) addEarlyLosses(to map[uint32]bool) {
	for _, t := range s.tasks {
		for _, l := range t.crashes.Losses() {
			if l.Worked < crash.EarlyWork {
				to[l.Executor] = true
			}
		}
	}
}

// siblingStartWindow is the time within which siblings were started together.
const siblingStartWindow = time.Second

func (k *lostRun) isStartedWith(at tick.Time) bool {
	return k.startedAt != 0 && at.Sub(k.startedAt).Abs() <= siblingStartWindow
}
