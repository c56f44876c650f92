package cell

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/state/book"
	"github.com/ibischute/ibischute/internal/state/chain"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// livenessInterval is the interval of the liveness checks.
	livenessInterval = 50 * time.Millisecond
	// calmBefore is how long no fault may have been active before a wait counts.
	calmBefore = 4 * time.Second
	// longestWait is how long a task may wait while executors have room for it, and restartGrace the time after its last
	// run from which that holds for a long-running task.
	longestWait  = 3 * time.Second
	restartGrace = 6 * time.Second
	// minFittingExecutors is the number of executors that must have room for a task that has to start.
	minFittingExecutors = 2
)

// livenessCheck records a violation for each task that waits too long. It takes its facts from the executors, the
// faults and the stored records, and asks the leader only for the explanation of a violation.
type livenessCheck struct {
	sim *simulation
	// lastFaultAt is when a fault was last active. leaderCount is the number of leaders at the previous check.
	lastFaultAt tick.Time
	leaderCount int
	waits       map[orders.Task]*wait
}

// wait is what the check knows of one task without a run.
type wait struct {
	// lastRunAt is when the task last had a run; 0 if it had none.
	lastRunAt tick.Time
	// since is from when the wait counts; 0 if it does not count.
	since tick.Time
	// isReported is true if a violation was recorded since the task last had a run.
	isReported bool
}

// startLivenessCheck adds the check to a simulation.
func (sim *simulation) startLivenessCheck() *livenessCheck {
	c := &livenessCheck{sim: sim, lastFaultAt: sim.now, waits: map[orders.Task]*wait{}}
	c.loop()
	return c
}

func (c *livenessCheck) loop() {
	c.sim.after(livenessInterval, c.loop)
	if c.isFaultActive() {
		c.lastFaultAt = c.sim.now
	}
	c.leaderCount = len(c.sim.leaders)
	running := c.sim.runningTasks()
	c.sim.forEachOpenTask(func(t orders.Task) { c.checkTask(t, running) })
}

// isFaultActive reports whether a fault is active or has ended since the previous check.
func (c *livenessCheck) isFaultActive() bool {
	sim := c.sim
	f := sim.faults
	if f.requestLossRate > 0 || f.replyLossRate > 0 || f.lateRequestRate > 0 || sim.isStoreDown {
		return true
	}
	if sim.disturbedUntil.After(sim.now) || len(sim.leaders) != c.leaderCount || sim.currentLeader().isKilled {
		return true
	}
	for _, l := range sim.leaders {
		if l.isPartitioned || l.isIsolated && sim.now.Before(l.leaseUntil) {
			return true
		}
	}
	return slices.ContainsFunc(sim.execs, func(x *simExecutor) bool { return x.isFaultActive() })
}

// isFaultActive reports whether the executor is cut off, stalls or is down, or has crashed since the previous check.
// The leaving of a drained executor is no fault.
func (x *simExecutor) isFaultActive() bool {
	if x.isGone {
		return x.leavesAt == 0 && x.sim.now.Sub(x.downSince) <= livenessInterval
	}
	return x.isDown || x.isPartitioned || x.stalledUntil.After(x.sim.now)
}

// runningTasks returns the tasks that run on an executor under an unexpired lease.
func (sim *simulation) runningTasks() map[orders.Task]bool {
	running := map[orders.Task]bool{}
	for _, x := range sim.execs {
		if x.isDown || x.clockMS() >= x.leaseDeadlineMS {
			continue
		}
		for t := range x.runs {
			running[t] = true
		}
	}
	return running
}

// forEachOpenTask calls f with the tasks that are not done of the jobs that have not ended.
func (sim *simulation) forEachOpenTask(f func(t orders.Task)) {
	for _, id := range sim.jobIDs() {
		if _, ok := sim.cancelled[id]; ok || sim.isJobEnded(id) {
			continue
		}
		for i, s := range sim.jobs[id].Steps {
			for n := range s.Count {
				t := orders.Task{Job: id, Step: uint32(i), Index: n}
				if !sim.isTaskDone(t) {
					f(t)
				}
			}
		}
	}
}

// jobIDs returns the ids of all jobs in a fixed order, so that schedules are reproducible.
func (sim *simulation) jobIDs() []string {
	ids := make([]string, 0, len(sim.jobs))
	for id := range sim.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// isJobEnded reports whether a stored record states that the job has ended.
func (sim *simulation) isJobEnded(id string) bool {
	e, ok := sim.book.Job(id)
	return ok && book.IsFinal(e.State())
}

// isTaskDone reports whether a run of the task is done. A run whose end was lost with its executor counts only if its
// end is stored.
func (sim *simulation) isTaskDone(t orders.Task) bool {
	if !sim.done[t] || sim.acked[t] || !sim.lostEnds[t] {
		return sim.done[t]
	}
	e, ok := sim.book.Job(t.Job)
	if !ok || e.Progress == nil {
		return false
	}
	return slices.ContainsFunc(e.Progress.Tasks, func(p *jobpb.TaskProgress) bool {
		return p.Done && p.Step == t.Step && p.Index == t.Index
	})
}

// isDue reports whether all steps that the task depends on are done.
func (sim *simulation) isDue(t orders.Task) bool {
	for _, d := range sim.stepOf(t).DependsOn {
		for i := range sim.jobs[t.Job].Steps[d].Count {
			if !sim.isTaskDone(orders.Task{Job: t.Job, Step: d, Index: i}) {
				return false
			}
		}
	}
	return true
}

// checkTask records a violation if the task waits too long.
func (c *livenessCheck) checkTask(t orders.Task, running map[orders.Task]bool) {
	w, ok := c.waits[t]
	if !ok {
		w = &wait{}
		c.waits[t] = w
	}
	if running[t] {
		*w = wait{lastRunAt: c.sim.now}
		return
	}
	if !c.mustStart(t, w) {
		w.since = 0
		return
	}
	if w.since == 0 {
		w.since = c.sim.now
	}
	if c.sim.now.Sub(w.since) > longestWait && !w.isReported {
		w.isReported = true
		c.sim.recordViolation("%s", c.describeWait(t, w, running))
	}
}

// mustStart reports whether the wait of the task counts now.
func (c *livenessCheck) mustStart(t orders.Task, w *wait) bool {
	sim := c.sim
	if sim.now.Sub(c.lastFaultAt) < calmBefore {
		return false
	}
	if sim.stepOf(t).LongRunning && w.lastRunAt != 0 && sim.now.Sub(w.lastRunAt) < restartGrace {
		return false
	}
	if sim.mayRunOnLostExecutor(t) {
		return false
	}
	return sim.isDue(t) && len(sim.fittingExecutors(t)) >= minFittingExecutors
}

// mayRunOnLostExecutor reports whether the stored record names an executor for the task that the leader cannot reach
// and whose lease, granted by a former leader, may last. Only the end of that lease proves that the task does not run
// there. The end of a task that is not long-running is awaited for longer.
func (sim *simulation) mayRunOnLostExecutor(t orders.Task) bool {
	l := sim.currentLeader()
	until := l.formerLeasesExpireAt
	if !sim.stepOf(t).LongRunning {
		until = until.Add(unreachedEndsWait)
	}
	e, ok := sim.book.Job(t.Job)
	if !ok || e.Progress == nil || !sim.now.Before(until) {
		return false
	}
	return slices.ContainsFunc(e.Progress.Tasks, func(p *jobpb.TaskProgress) bool {
		return p.Step == t.Step && p.Index == t.Index && slices.ContainsFunc(sim.execs, func(x *simExecutor) bool {
			return p.Executor == chain.Hash(x.id) && !sim.isReachable(l, x)
		})
	})
}

// fittingExecutors returns the executors on which the task can start.
func (sim *simulation) fittingExecutors(t orders.Task) []*simExecutor {
	var list []*simExecutor
	for _, x := range sim.execs {
		if x.canTake(t) {
			list = append(list, x)
		}
	}
	return list
}

// canTake reports whether the executor is available to the leader and meets the requirements of the task.
func (x *simExecutor) canTake(t orders.Task) bool {
	sim := x.sim
	isStalled := x.stalledUntil.After(sim.now)
	if x.leavesAt != 0 || isStalled || sim.isEntryMissing(x) || !sim.isReachable(sim.currentLeader(), x) {
		return false
	}
	step := sim.stepOf(t)
	if step.RequiresLabel != "" && !slices.Contains(x.labels, step.RequiresLabel) {
		return false
	}
	sameStep := 0
	for r := range x.runs {
		if r.Job == t.Job && r.Step == t.Step {
			sameStep++
		}
	}
	if step.MaxPerExecutor > 0 && sameStep >= int(step.MaxPerExecutor) {
		return false
	}
	return x.total.minus(x.used()).covers(resourcesOf(step))
}

// utilization returns the share of the CPU of the executors that are up that is in use.
func (sim *simulation) utilization() float64 {
	total, used := int64(0), int64(0)
	for _, x := range sim.execs {
		if !x.isDown {
			total += x.total.milliCPU
			used += x.used().milliCPU
		}
	}
	return float64(used) / float64(max(1, total))
}

func (c *livenessCheck) describeWait(t orders.Task, w *wait, running map[orders.Task]bool) string {
	kind, isIdle := "task", true
	if c.sim.stepOf(t).LongRunning {
		kind = "long-running task"
	}
	for r := range running {
		isIdle = isIdle && r.Job != t.Job
	}
	return fmt.Sprintf("%s %v waits since %.3f, last run at %.3f, job has no run: %t, utilization %.2f: %s",
		kind, t, float64(w.since)/1e9, float64(w.lastRunAt)/1e9, isIdle, c.sim.utilization(),
		c.sim.currentLeader().explainWait(t, c.sim.fittingExecutors(t)))
}

// explainWait returns why the leader does not start the task on the executors on which it can start.
func (l *simLeader) explainWait(id orders.Task, fitting []*simExecutor) string {
	j, ok := l.cell.jobs[id.Job]
	if !ok {
		return "cause=unknown-job"
	}
	t := l.cell.task(id)
	switch {
	case t == nil || t.done:
		return fmt.Sprintf("cause=ended state %s", j.state)
	case t.run != nil:
		x := t.run.exec
		return fmt.Sprintf("cause=tracked-run %d on %s listed %t, last response at %.3f, confirmed at %.3f, stopping %t",
			t.run.id.Number, x.entry.ID, x.isListed, float64(x.lastResponseAt)/1e9, float64(t.run.confirmedAt)/1e9,
			t.run.isMarkedForStopping)
	case t.orphanedOn != nil:
		x := t.orphanedOn
		return fmt.Sprintf("cause=orphaned-run on %s listed %t, last response at %.3f", x.entry.ID, x.isListed,
			float64(x.lastResponseAt)/1e9)
	case t.heldFor != 0:
		return fmt.Sprintf("cause=held-task, until %.3f", float64(l.cell.previousLeasesExpireAt)/1e9)
	case l.cell.isTakingOver && j.isInherited:
		return fmt.Sprintf("cause=takeover, %d executors awaited", l.cell.Usage(l.sim.now).AwaitedExecutors)
	}
	var list []string
	for _, x := range fitting {
		list = append(list, x.id+" "+l.explainExecutor(t, x.id))
	}
	return fmt.Sprintf("cause=no-executor, start record %d: %s", j.startRecord, strings.Join(list, "; "))
}

// explainJob returns why the leader does not start the first open task of the job that is due.
func (l *simLeader) explainJob(id string) string {
	out := "no open task is due"
	l.sim.forEachOpenTask(func(t orders.Task) {
		if t.Job != id || !l.sim.isDue(t) || out != "no open task is due" {
			return
		}
		fitting := l.sim.fittingExecutors(t)
		out = fmt.Sprintf("task %v fits on %d executors: %s", t, len(fitting), l.explainWait(t, fitting))
	})
	return out
}

// explainExecutor returns why the leader does not start the task on the executor.
func (l *simLeader) explainExecutor(t *task, id string) string {
	now := l.sim.now
	x, ok := l.cell.execs[id]
	switch {
	case !ok:
		return "unknown"
	case x.isTerminated:
		return "terminated"
	case !x.isListed || !x.isRostered || !x.hasResponded || !x.hasClock:
		return fmt.Sprintf("unregistered (rostered %t, responded %t, clock %t)", x.isRostered, x.hasResponded, x.hasClock)
	case x.isUnresponsive:
		return "unresponsive"
	case len(x.orphaned) > 0:
		return "orphans"
	case now.Before(x.quarantinedUntil):
		return fmt.Sprintf("quarantined until %.3f", float64(x.quarantinedUntil)/1e9)
	case !x.suspicion.admits(now, t.step):
		return fmt.Sprintf("suspect (failures %d, last at %.3f, on trial %t)", x.suspicion.failures,
			float64(x.suspicion.lastFailedAt)/1e9, x.suspicion.trial != nil)
	case !x.allows(t.step, resourcesOf(t.step.pb)):
		return fmt.Sprintf("full (used %v)", x.used)
	case slices.Contains(t.failedOn, id):
		return "failed-on"
	}
	return "usable"
}
