package cell

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/ibischute/ibischute/pkg/tick"
)

// WaitCause is why a task has no run, or why an executor does not take it.
type WaitCause string

// The causes that concern the task itself.
const (
	// WaitTakeover means that a former leader may have started the task on an executor that has not responded yet.
	WaitTakeover WaitCause = "takeover"
	// WaitStartRecord means that the record that names the executor of the task is not stored yet.
	WaitStartRecord WaitCause = "start-record"
	// WaitOrphan means that an executor may still run the task although this leader does not track that run.
	WaitOrphan WaitCause = "orphaned-run"
	// WaitRun means that the tracked run of the task is not in the lists of its executor.
	WaitRun WaitCause = "unlisted-run"
	// WaitCrash means that the task would be given up if its executors turned out to have crashed.
	WaitCrash WaitCause = "crash-unconfirmed"
	// WaitTrial means that another task of the step has to show first that it does not crash its executor.
	WaitTrial WaitCause = "step-trial"
)

// The causes that concern an executor. The first ones, up to WaitCold, are the hardCauses.
const (
	WaitNoLabel      WaitCause = "no-label"
	WaitNoRoom       WaitCause = "no-room"
	WaitAntiAffinity WaitCause = "anti-affinity"
	WaitUnreached    WaitCause = "unreached"
	WaitEvacuated    WaitCause = "evacuated"
	WaitCold         WaitCause = "cold"
	WaitOrphans      WaitCause = "orphaned-runs"
	WaitQuarantine   WaitCause = "quarantined"
	WaitSuspect      WaitCause = "suspect"
	WaitNoTicket     WaitCause = "no-ticket"
	WaitFailedOn     WaitCause = "failed-on"
	WaitNearTarget   WaitCause = "near-target"
	WaitStartPause   WaitCause = "start-pause"
	WaitInterference WaitCause = "interference"
	WaitNotPlanned   WaitCause = "not-planned"
	// WaitReserved means that the executor is reserved for a task that needs more room.
	WaitReserved WaitCause = "reserved"
	// WaitGuarded means that a task with counted crashes has just started on the executor, WaitOtherSuspect that one that
	// may crash it runs there and the waiting task may do so too.
	WaitGuarded      WaitCause = "guarded"
	WaitOtherSuspect WaitCause = "other-suspect"
	// WaitCapacityUnknown means that the executor does not enforce its capacity, and its entry does not tell the present
	// one.
	WaitCapacityUnknown WaitCause = "capacity-unknown"
	// WaitEntryUnknown means that the task requires a label, and no entry of the executor's present process is known.
	WaitEntryUnknown WaitCause = "entry-unknown"
)

// WaitCauses returns the causes that Usage.Delayed may count.
func WaitCauses() []WaitCause {
	return []WaitCause{
		WaitTakeover, WaitStartRecord, WaitOrphan, WaitRun, WaitOrphans, WaitQuarantine, WaitSuspect, WaitNoTicket,
		WaitFailedOn, WaitNearTarget, WaitStartPause, WaitInterference, WaitNotPlanned, WaitReserved,
		WaitCrash, WaitTrial, WaitGuarded, WaitOtherSuspect,
		WaitCapacityUnknown, WaitEntryUnknown,
	}
}

// hardCauses are the causes for which an executor cannot take a task.
var hardCauses = []WaitCause{WaitNoLabel, WaitNoRoom, WaitAntiAffinity, WaitUnreached, WaitEvacuated, WaitCold}

const (
	// waitReportDelay is how long a task may have no run before the cause is reported.
	waitReportDelay = 2 * time.Second
	// waitReportInterval is the shortest time between two reports on the same step or run.
	waitReportInterval = 2 * time.Second
	// maxWaitReports bounds the reports of one call of Diagnose, maxWaitChecks the steps that it looks at.
	maxWaitReports = 16
	maxWaitChecks  = 16
)

// Diagnose emits an event with the cause for each due task that has had no run, and for each run that no list has
// shown, for waitReportDelay. Steps that wait for room alone are not reported.
func (c *Cell) Diagnose(now tick.Time) {
	c.delayed = map[WaitCause]int{}
	p := c.newPass(now)
	reports := 0
	for _, s := range c.stepsToCheck(now) {
		if c.diagnoseStep(p, s) && reports < maxWaitReports {
			reports++
			c.reportStep(p, s)
		}
	}
	for _, x := range c.execs {
		for _, r := range x.runs {
			if c.diagnoseRun(now, r) && reports < maxWaitReports {
				reports++
				c.reportRun(now, r)
			}
		}
	}
}

// stepsToCheck returns the delayed steps, maxWaitChecks at most. A call begins with the jobs after those of the call
// before.
func (c *Cell) stepsToCheck(now tick.Time) []*step {
	var out []*step
	next := c.nextChecked
	for i := range c.active {
		at := (c.nextChecked + i) % len(c.active)
		steps := c.active[at].delayedSteps(now)
		if len(out) < maxWaitChecks && len(steps) > 0 {
			out = append(out, steps[:min(len(steps), maxWaitChecks-len(out))]...)
			next = at + 1
		}
	}
	c.nextChecked = next
	return out
}

// delayedSteps returns the steps of the job that have due tasks without a run and have had them for waitReportDelay.
// Waiting tasks of a job of which others run are not delayed, unless they are long-running.
func (j *job) delayedSteps(now tick.Time) []*step {
	var out []*step
	hasRuns := j.hasRuns()
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			isWaiting := s.waiting > 0 && s.isReady() && (s.pb.LongRunning || !hasRuns)
			switch {
			case !isWaiting:
				s.waitsSince = 0
			case s.waitsSince == 0:
				s.waitsSince = now
			case now.Sub(s.waitsSince) >= waitReportDelay:
				out = append(out, s)
			}
		}
	}
	return out
}

// hasRuns reports whether a task of the job has a run.
func (j *job) hasRuns() bool {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.waiting < s.unfinished {
				return true
			}
		}
	}
	return false
}

// diagnoseStep counts a delayed step by its cause, and returns whether a report is due.
func (c *Cell) diagnoseStep(p *pass, s *step) bool {
	t := s.firstWaiting()
	if t == nil {
		return false
	}
	cause, _ := c.causeOf(p, t)
	if slices.Contains(hardCauses, cause) {
		return false
	}
	c.delayed[cause]++
	return s.waitReportedAt == 0 || p.now.Sub(s.waitReportedAt) >= waitReportInterval
}

// firstWaiting returns the first task of the step without a run, or nil.
func (s *step) firstWaiting() *task {
	i := slices.IndexFunc(s.tasks, func(t *task) bool { return t.run == nil && !t.done })
	if i < 0 {
		return nil
	}
	return s.tasks[i]
}

func (c *Cell) reportStep(p *pass, s *step) {
	s.waitReportedAt = p.now
	t := s.firstWaiting()
	cause, detail := c.causeOf(p, t)
	c.emit(Event{
		Name: "task-waiting", Task: t.id, Executor: executorID(t.orphanedOn),
		Detail: fmt.Sprintf(
			"%s for %v, started %d times; %s", cause, inMillis(p.now.Sub(s.waitsSince)), t.startCount, detail),
	})
}

// inMillis rounds a duration for the log.
func inMillis(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// causeOf returns why a task without a run does not start, and the number of executors by cause.
func (c *Cell) causeOf(p *pass, t *task) (WaitCause, string) {
	switch {
	case c.isTakingOver && t.step.job.isInherited, t.heldFor != 0:
		return WaitTakeover, ""
	case t.orphanedOn != nil && t.orphanedOn.hasOrphanedRun(t.id):
		return WaitOrphan, fmt.Sprintf("last response %v ago", inMillis(p.now.Sub(t.orphanedOn.lastResponseAt)))
	case !t.crashes.MayStart(p.now):
		return WaitCrash, fmt.Sprintf("crashes counted: %d, losses: %d", t.crashes.Count(), len(t.crashes.Losses()))
	case !t.step.trial.mayStart(t):
		return WaitTrial, fmt.Sprintf("since %v", inMillis(p.now.Sub(t.step.trial.since)))
	}
	counts := c.countCauses(p, t)
	cause := WaitNoRoom
	var parts []string
	for _, k := range sortedCauses(counts) {
		parts = append(parts, fmt.Sprintf("%s %d", k, counts[k]))
		isSofter := slices.Contains(hardCauses, cause) && !slices.Contains(hardCauses, k)
		if isSofter || !slices.Contains(hardCauses, k) && counts[k] > counts[cause] {
			cause = k
		}
	}
	return cause, "executors: " + strings.Join(parts, ", ")
}

// sortedCauses returns the causes in alphabetical order.
func sortedCauses(counts map[WaitCause]int) []WaitCause {
	var out []WaitCause
	for k := range counts {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// countCauses counts the executors of the task's service by the cause for which they do not take the task.
func (c *Cell) countCauses(p *pass, t *task) map[WaitCause]int {
	counts := map[WaitCause]int{}
	avoids := t.avoidsFailedOn(p)
	for _, x := range c.execs {
		isCandidate := x.isListed && !x.isTerminated && !x.isDraining()
		if isCandidate && x.service() == t.step.job.queue.Service {
			counts[p.causeOn(x, t, avoids)]++
		}
	}
	return counts
}

// causeOn returns why the executor does not take the task.
func (p *pass) causeOn(x *executor, t *task, avoidsFailedOn bool) WaitCause {
	s, need := t.step, resourcesOf(t.step.pb)
	switch {
	case s.pb.RequiresLabel != "" && !x.isDescribed():
		return WaitEntryUnknown
	case !x.satisfies(s.pb.RequiresLabel):
		return WaitNoLabel
	case !x.free().covers(need), !x.hasBestEffortCPU(s):
		return WaitNoRoom
	case x.isColdFull():
		return WaitCold
	case !x.allows(s, need):
		return WaitAntiAffinity
	case !x.isRostered || !x.hasResponded || x.endsKnownAt == 0 || !x.hasClock || x.isUnresponsive:
		return WaitUnreached
	case x.isEvacuated:
		return WaitEvacuated
	case len(x.orphaned) > 0:
		return WaitOrphans
	case !x.knowsCapacity(p.now):
		return WaitCapacityUnknown
	case !x.isUsable(p.now):
		return WaitQuarantine
	case !x.suspicion.admits(p.now, s):
		return WaitSuspect
	case x.isGuarded(p.now, s):
		return WaitGuarded
	case t.crashes.Crashes() > 0 && x.hasOtherSuspect(p.now, t):
		return WaitOtherSuspect
	case !s.isPermittedOn(p.now, x):
		return WaitNoTicket
	case avoidsFailedOn && t.hasFailedOn(x):
		return WaitFailedOn
	case p.cell.isReservedForOthers(p.now, s, need, x):
		return WaitReserved
	}
	if _, ok := p.rateExecutor(s, need, x); !ok {
		return p.interferenceCauseOn(x)
	}
	return WaitNotPlanned
}

// interferenceCauseOn returns why the latency-critical runs of the executor do not tolerate a best-effort task.
func (p *pass) interferenceCauseOn(x *executor) WaitCause {
	switch {
	case slices.ContainsFunc(x.latencyCritical, func(r *run) bool { return r.isNearTarget }):
		return WaitNearTarget
	case p.now.Before(x.noBestEffortUntil):
		return WaitStartPause
	}
	return WaitInterference
}

// diagnoseRun counts a run that no list has shown for waitReportDelay, and returns whether a report is due.
func (c *Cell) diagnoseRun(now tick.Time, r *run) bool {
	if now.Sub(max(r.startedAt, r.listedAt)) < waitReportDelay {
		return false
	}
	cause := WaitRun
	if r.isPlaced && !r.isRecorded {
		cause = WaitStartRecord
	}
	c.delayed[cause]++
	return r.waitReportedAt == 0 || now.Sub(r.waitReportedAt) >= waitReportInterval
}

func (c *Cell) reportRun(now tick.Time, r *run) {
	r.waitReportedAt = now
	x := r.exec
	c.emit(Event{
		Name: "run-unlisted", Task: r.id.Task, Run: r.id.Number, Executor: x.entry.ID,
		Detail: fmt.Sprintf(
			"for %v; placed %t, recorded %t, confirmed %t, marked for stopping %t, stop confirmed %t; executor listed %t, "+
				"last response %v ago, lease expires in %v",
			inMillis(now.Sub(max(r.startedAt, r.listedAt))), r.isPlaced, r.isRecorded, r.confirmedAt != 0,
			r.isMarkedForStopping, r.stoppedAt != 0,
			x.isListed, inMillis(now.Sub(x.lastResponseAt)), inMillis(x.leaseExpiresBy.Sub(now)),
		),
	})
}

// executorID returns the id of an executor, or an empty string if there is none.
func executorID(x *executor) string {
	if x == nil {
		return ""
	}
	return x.entry.ID
}
