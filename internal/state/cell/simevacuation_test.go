package cell

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/state/ramp"
)

const (
	// evacuateWithin is the longest time from a request until nothing is ordered to start in the domain, and
	// longestLateRequest the longest time for which an order may be on its way.
	evacuateWithin     = 5 * time.Second
	longestLateRequest = 12 * time.Second
)

// coldBounds are those of the simulated deployment.
var coldBounds = ramp.Bounds{Overshoot: 1.5, Slack: 5}

// evacuate records the operator's request, once the store is up.
func (sim *simulation) evacuate(domain string) {
	if sim.isStoreDown {
		sim.after(100*time.Millisecond, func() { sim.evacuate(domain) })
		return
	}
	if _, ok := sim.evacuatedAt[domain]; !ok {
		sim.evacuatedAt[domain] = sim.now
	}
}

func (sim *simulation) restore(domain string) {
	if sim.isStoreDown {
		sim.after(100*time.Millisecond, func() { sim.restore(domain) })
		return
	}
	delete(sim.evacuatedAt, domain)
}

// readEvacuations passes the evacuated domains to the cell if they have changed.
func (l *simLeader) readEvacuations() {
	domains := slices.Sorted(maps.Keys(l.sim.evacuatedAt))
	if !slices.Equal(domains, l.evacuated) {
		l.evacuated = domains
		l.cell.SetEvacuated(l.sim.now, domains)
	}
}

// noteMove records the run of a long-running task that a leader moves out of an evacuated domain, and checks that no
// more tasks of its step are away than it permits.
func (sim *simulation) noteMove(e Event) {
	if e.Name != "moved" || e.Detail != "evacuated" {
		return
	}
	sim.moves++
	sim.checkKeptRoom()
	t := e.Task
	step := sim.stepOf(t)
	if !step.LongRunning {
		return
	}
	sim.movedAway[t] = orders.Run{Task: t, Number: e.Run}
	away := 0
	for o, run := range sim.movedAway {
		if sim.isAtWorkAfter(run) {
			delete(sim.movedAway, o)
		} else if o.Job == t.Job && o.Occurrence == t.Occurrence && o.Step == t.Step {
			away++
		}
	}
	if away > max(1, int(step.MayMiss)) {
		sim.recordViolation("%d tasks of the step of %v are away, more than may_miss permits", away, t)
	}
}

// checkKeptRoom checks that no executor keeps room for a task whose run still holds it there.
func (sim *simulation) checkKeptRoom() {
	for _, x := range sim.currentLeader().cell.execs {
		for t := range x.kept {
			if t.run != nil && t.run.exec == x {
				sim.recordViolation("the room of %v on %s is counted twice", t.id, x.entry.ID)
			}
		}
	}
}

// isAtWorkAfter reports whether a later run of the task is at work.
func (sim *simulation) isAtWorkAfter(moved orders.Run) bool {
	for _, x := range sim.execs {
		r, ok := x.runs[moved.Task]
		if ok && !x.isDown && r.id.Number > moved.Number && sim.now.Sub(r.startedAt) >= sim.serveDelay {
			return true
		}
	}
	return false
}

// entryDelay is how long after the start of an executor its entry may be unknown to a leader.
const entryDelay = 2 * loopInterval

// checkRamp checks, before a start order is sent, that a cold executor has room for one more task.
func (l *simLeader) checkRamp(x *simExecutor) {
	sim := l.sim
	sinceStart := sim.now.Sub(x.startedAt)
	isUnknown := l.isIsolated || sinceStart < entryDelay
	if sim.params.Cold.Overshoot == 0 || x.warmUp == 0 || isUnknown || sinceStart >= x.warmUp {
		return
	}
	over := float64(sinceStart) / float64(x.warmUp)
	limit := sim.params.Cold.Slack + sim.params.Cold.Overshoot*over*float64(x.total.milliCPU)/milliCPUPerCore
	if float64(len(x.runs)+1) > limit {
		sim.recordViolation("%s is cold, its warm-up is over by %.2f, and gets task %d", x.id, over, len(x.runs)+1)
	}
}

// addEvacuations evacuates and restores domains at random times, from a source of its own, so that the rest of the
// schedule of a seed stays the same. The executors of every schedule are cold after a restart.
func (sim *simulation) addEvacuations(seed uint64, length time.Duration) {
	rnd := rand.New(rand.NewPCG(seed, 11))
	sim.params.Cold = coldBounds
	sim.params.Restore, sim.params.CheckpointEvery = 100*time.Millisecond, time.Second
	sim.currentLeader().cell.params = sim.params
	for i, x := range sim.execs {
		x.domain = string(rune('a' + i%3))
		x.warmUp = 5 * time.Second
	}
	for range 1 + rnd.IntN(3) {
		domain := string(rune('a' + rnd.IntN(3)))
		at := time.Second + time.Duration(rnd.Int64N(int64(length)))
		sim.after(at, func() { sim.evacuate(domain) })
		sim.after(at+time.Duration(rnd.Int64N(int64(12*time.Second))), func() { sim.restore(domain) })
	}
	// All is restored in the end, so that every job can end.
	for _, domain := range []string{"a", "b", "c"} {
		sim.after(length+10*time.Second, func() { sim.restore(domain) })
	}
}
