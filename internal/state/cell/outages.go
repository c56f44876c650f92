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
}

// noteOutage records that an executor is out of reach, or has restarted.
func (c *Cell) noteOutage(now tick.Time, x *executor, isOver bool) {
	o, ok := c.crashes.outages[x.hash]
	if !ok || o.isOver && x.lastResponseAt.After(o.To) {
		o = &outage{Outage: crash.Outage{From: x.lastResponseAt, To: now}, entry: x.entry}
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

// hadCommonCause reports whether the executor was lost with its rack or failure domain. Executors that a step may have
// crashed do not show that.
func (c *Cell) hadCommonCause(k *confirmedCrash) bool {
	x, ok := c.entryOf(k.loss.Executor)
	if !ok {
		return false
	}
	explained := c.explainedOutages(k)
	groups := x.Labels
	if x.Domain != "" {
		groups = append(slices.Clone(groups), x.Domain)
	}
	for _, g := range groups {
		lost, others := 0, 0
		for hash, p := range c.peers(g) {
			if hash == k.loss.Executor || explained[hash] {
				continue
			}
			others++
			if c.wereLostTogether(k.loss, p) {
				lost++
			}
		}
		if crash.IsCommonCause(lost, others) {
			return true
		}
	}
	return false
}

// entryOf returns the last known entry of the executor with the hash.
func (c *Cell) entryOf(hash uint32) (queue.Executor, bool) {
	for _, x := range c.execs {
		if x.hash == hash {
			return x.entry, true
		}
	}
	if o, ok := c.crashes.outages[hash]; ok {
		return o.entry, true
	}
	return queue.Executor{}, false
}

// peer is an executor of a group, which may have been removed since its outage.
type peer struct {
	outage *outage
	// startedMS is the start time of its process.
	startedMS int64
}

// peers returns the executors of the rack or failure domain by their hashes.
func (c *Cell) peers(group string) map[uint32]peer {
	out := map[uint32]peer{}
	for hash, o := range c.crashes.outages {
		if isInGroup(o.entry, group) {
			out[hash] = peer{outage: o}
		}
	}
	for _, x := range c.execs {
		if isInGroup(x.entry, group) {
			out[x.hash] = peer{outage: c.crashes.outages[x.hash], startedMS: x.processStart()}
		}
	}
	return out
}

func isInGroup(e queue.Executor, group string) bool {
	return e.Domain == group || slices.Contains(e.Labels, group)
}

// processStart returns the latest known start time of the executor's process in Unix milliseconds.
func (x *executor) processStart() int64 { return max(x.startedMS, x.entry.StartedMS) }

// wereLostTogether reports whether the other executor was lost together with the one of the loss, or has restarted
// together with it.
func (c *Cell) wereLostTogether(l crash.Loss, other peer) bool {
	if o, ok := c.crashes.outages[l.Executor]; ok && other.outage != nil && o.IsNear(other.outage.Outage) {
		return true
	}
	for _, x := range c.execs {
		if x.hash == l.Executor {
			started := x.processStart()
			return started > l.Incarnation && other.startedMS != 0 && crash.AreTogether(started, other.startedMS)
		}
	}
	return false
}

// explainedOutages returns the executors that a step may have crashed: those that lost a run soon after its start, of
// the same step or of one that is lost so on several executors, and those that lost runs of the same step that had been
// started at the same time.
func (c *Cell) explainedOutages(k *confirmedCrash) map[uint32]bool {
	out := map[uint32]bool{}
	for s := range c.crashes.steps {
		if s == k.task.step || s.needsTrial() {
			s.addEarlyLosses(out)
		}
	}
	for _, t := range k.task.step.tasks {
		if t == k.task {
			continue
		}
		if r := t.run; r != nil && k.isStartedWith(r.startedAt) {
			out[r.exec.hash] = true
		}
		if n := len(t.crashes.Losses()); n > 0 && k.isStartedWith(t.lostRunStartedAt) {
			out[t.crashes.Losses()[n-1].Executor] = true
		}
	}
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

func (k *confirmedCrash) isStartedWith(at tick.Time) bool {
	return k.startedAt != 0 && at.Sub(k.startedAt).Abs() <= siblingStartWindow
}
