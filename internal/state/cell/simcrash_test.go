package cell

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/orders"
)

const (
	// crashLimit is the number of executors that a task crashes until it must be given up. Orders that are under way at
	// that time may still start it, at most maxStartsAfterLimit times.
	crashLimit          = 3
	maxStartsAfterLimit = 2
	// soonCrash is the usual time from the start of a crashing task to the crash.
	soonCrash = 10 * time.Millisecond
	// lateCrash is the longest such time. Runs of crashing tasks take longer, so that each crashes its executor.
	lateCrash = 3 * time.Second
)

// crashModel has the tasks of a simulation that crash their executors, and counts the crashes.
type crashModel struct {
	sim *simulation
	// rnd is a source of its own, so that schedules without crashing tasks do not depend on it.
	rnd *rand.Rand
	// delays is how long after its start a run of the job crashes its executor.
	delays map[string]time.Duration
	// crashes counts the executors that each task has crashed, startsAfterLimit its starts after crashLimit of them.
	crashes, startsAfterLimit map[orders.Task]int
	// groupLosses counts the losses of whole domains or racks.
	groupLosses int
}

// addCrashModel adds the crash model to a simulation.
func (sim *simulation) addCrashModel(seed uint64) *crashModel {
	sim.crashModel = &crashModel{
		sim: sim, rnd: rand.New(rand.NewPCG(seed, 33)), delays: map[string]time.Duration{},
		crashes: map[orders.Task]int{}, startsAfterLimit: map[orders.Task]int{},
	}
	return sim.crashModel
}

// randomDuration returns a duration from lo to hi.
func (m *crashModel) randomDuration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(m.rnd.Int64N(int64(hi-lo)+1))
}

// handleStart counts a start of a crashing task and schedules the crash.
func (m *crashModel) handleStart(x *simExecutor, r *simRun) {
	if m == nil {
		return
	}
	t := r.id.Task
	delay, ok := m.delays[t.Job]
	if !ok {
		return
	}
	if m.crashes[t] >= crashLimit {
		m.startsAfterLimit[t]++
		if n := m.startsAfterLimit[t]; n == maxStartsAfterLimit+1 {
			m.sim.recordViolation("start %d of %v, on %s, after it has crashed %d executors", n, t, x.id, crashLimit)
		}
	}
	m.sim.after(delay, func() {
		x.endExpiredRuns()
		if x.runs[t] == r {
			m.crashes[t]++
			m.crash(x)
		}
	})
}

// crash ends the executor's process and starts it again with the same id after some seconds.
func (m *crashModel) crash(x *simExecutor) {
	sim := m.sim
	x.endProcess()
	x.entryExpiresAt = sim.now.Add(m.randomDuration(500*time.Millisecond, longestEntry))
	downSince := sim.now
	sim.after(m.randomDuration(500*time.Millisecond, 6*time.Second), func() {
		// Another fault may have ended the process as well, and starts it again or has done so.
		if !x.isDown || x.downSince != downSince {
			return
		}
		x.isDown = false
		x.restart()
		sim.after(m.randomDuration(0, time.Second), func() { x.entryStartedMS = x.startedMS })
	})
}

// loseGroup crashes the executors that are in the group within 1.5 s, without a task as the cause.
func (m *crashModel) loseGroup(isMember func(x *simExecutor) bool) {
	m.groupLosses++
	for _, x := range m.sim.execs {
		if !isMember(x) {
			continue
		}
		m.sim.after(m.randomDuration(0, 1500*time.Millisecond), func() {
			if !x.isDown {
				m.crash(x)
			}
		})
	}
}

// pauseLeader stops the leader's process for the duration. Another one takes over if it is longer than the election
// timeout, and the paused one then continues until its lease expires.
func (m *crashModel) pauseLeader(d time.Duration) {
	sim := m.sim
	l := sim.currentLeader()
	if l.isKilled || l.isIsolated {
		return
	}
	lastHeartbeat := sim.now
	l.pausedUntil = sim.now.Add(d)
	if d < simElectionTimeout {
		return
	}
	sim.after(simElectionTimeout, func() {
		if sim.currentLeader() != l || l.isKilled || l.isIsolated {
			return
		}
		l.isIsolated = true
		sim.newLeader(lastHeartbeat.Add(sim.params.LongestLease()))
	})
}

// deliver calls f, once the leader is no longer paused.
func (l *simLeader) deliver(f func()) {
	if !l.sim.now.Before(l.pausedUntil) {
		f()
		return
	}
	l.sim.after(l.pausedUntil.Sub(l.sim.now), f)
}

// randomSteps returns the steps of a job whose tasks crash their executors.
func (m *crashModel) randomSteps() []*jobpb.Step {
	s := &jobpb.Step{Count: 1, MilliCpu: uint32(500 + m.rnd.IntN(3000)), MemoryMb: 500, EstimateMs: 6000}
	switch m.rnd.IntN(6) {
	case 0, 1:
		s.Count = uint32(2 + m.rnd.IntN(3))
	case 2:
		s.Count, s.MaxPerExecutor = 3, 1
	case 3:
		s.LongRunning = true
	case 4:
		s.Count, s.Gang = 2, true
	}
	return []*jobpb.Step{s}
}

// randomDelay returns the time from a start to the crash, which is long for some jobs.
func (m *crashModel) randomDelay() time.Duration {
	if m.rnd.IntN(4) == 0 {
		return m.randomDuration(soonCrash, lateCrash)
	}
	return soonCrash
}

// addLosses prepares a schedule with losses of whole domains or racks, paused leaders and changes of leader. The
// executors are in two domains of two racks each. With crashing, there are also jobs whose tasks crash their executors.
func (sim *simulation) addLosses(seed uint64, length time.Duration, crashing bool) *crashModel {
	m := sim.addCrashModel(seed)
	sim.hasDiscovery = true
	for i := len(sim.execs); i < 16; i++ {
		id := fmt.Sprintf("x%d", i)
		sim.addExecutor(id, id, string(rune('a'+i%2)), resources{milliCPU: 16000, memoryMB: 64000})
	}
	for i, x := range sim.execs {
		x.entryStartedMS = x.startedMS
		x.domain = fmt.Sprintf("d%d", i/8)
		x.labels = append(x.labels, fmt.Sprintf("rack%d", i/4))
	}
	if crashing {
		for i := range 1 + m.rnd.IntN(3) {
			m.submitCrashing(fmt.Sprintf("%016x", 1000+i))
		}
	}
	for i := range 2 {
		m.submitServer(fmt.Sprintf("%016x", 2000+i))
	}
	if m.rnd.IntN(2) == 0 {
		m.addGroupLosses()
	}
	for range m.rnd.IntN(3) {
		d := m.randomDuration(300*time.Millisecond, 6*time.Second)
		sim.after(m.randomDuration(2*time.Second, length), func() { m.pauseLeader(d) })
	}
	if m.rnd.IntN(2) == 0 {
		sim.after(m.randomDuration(2*time.Second, length), sim.takeover)
	}
	return m
}

func (m *crashModel) submitCrashing(id string) {
	m.delays[id] = m.randomDelay()
	m.sim.submitAfter(m.randomDuration(0, 15*time.Second), id, m.randomSteps()...)
}

// submitServer submits a sound long-running job, which outlasts all faults.
func (m *crashModel) submitServer(id string) {
	m.sim.submitAfter(m.randomDuration(0, 2*time.Second), id, &jobpb.Step{
		Count: 4, MilliCpu: 1000, MemoryMb: 500, LongRunning: true, TargetMs: 50, Image: "i",
	})
}

// addGroupLosses loses the same domain or rack twice.
func (m *crashModel) addGroupLosses() {
	n := m.rnd.IntN(len(m.sim.execs))
	domain, rack := m.sim.execs[n].domain, m.sim.execs[n].labels[1]
	isMember := func(x *simExecutor) bool { return x.domain == domain }
	if m.rnd.IntN(2) == 0 {
		isMember = func(x *simExecutor) bool { return slices.Contains(x.labels, rack) }
	}
	for _, from := range []time.Duration{4 * time.Second, 15 * time.Second} {
		m.sim.after(m.randomDuration(from, from+8*time.Second), func() { m.loseGroup(isMember) })
	}
}

// checkEnds checks that the jobs of crashing tasks have failed and that no other job has.
func (m *crashModel) checkEnds() {
	for _, id := range m.sim.jobIDs() {
		_, isCrashing := m.delays[id]
		if hasFailed := m.sim.hasFailed(id); hasFailed != isCrashing {
			m.sim.recordViolation("job %s, a crashing one (%t), has failed (%t)", id, isCrashing, hasFailed)
		}
	}
}

// String describes the crashing jobs and the number of crashes of each task.
func (m *crashModel) String() string {
	out := ""
	for _, id := range m.sim.jobIDs() {
		if delay, ok := m.delays[id]; ok {
			out += fmt.Sprintf("%s after %v: %v; ", id, delay, m.sim.jobs[id].Steps)
		}
	}
	return out + fmt.Sprint(m.crashes)
}

// total returns the sum of the counts.
func total(counts map[orders.Task]int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}
