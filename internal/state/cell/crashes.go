package cell

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/state/crash"
	"github.com/ibischute/ibischute/pkg/tick"
)

// judgeDelay is the time from the confirmation of a crash to its judgement. Within it, the leader notices the loss of
// further executors, and of runs whose start was unconfirmed. It is shorter than the time for which a task waits for
// the confirmation of its losses.
const judgeDelay = time.Second

// crashes is what the cell keeps about executors that are lost with their runs.
type crashes struct {
	// open has the tasks with open losses, by the hash of the lost executor.
	open map[uint32][]*task
	// opened has the open losses of which it is not known yet whether they have a common cause.
	opened []*lostRun
	// confirmed has the crashes that are not judged yet.
	confirmed []*lostRun
	// givenUp has the tasks whose jobs are to be ended.
	givenUp []*task
	// outages has the last outage of each executor, by its hash.
	outages map[uint32]*outage
	// blamed has when crashes of executors were found to count against a task.
	blamed map[crashKey]tick.Time
	// steps has the steps with losses.
	steps map[*step]bool
	// nextPruneAt is when losses and outages that no longer matter are next searched for.
	nextPruneAt tick.Time
}

func newCrashes() crashes {
	return crashes{
		open: map[uint32][]*task{}, outages: map[uint32]*outage{}, steps: map[*step]bool{},
		blamed: map[crashKey]tick.Time{},
	}
}

// lostRun is a loss of a task that is not judged yet.
type lostRun struct {
	task *task
	loss crash.Loss
	// startedAt is when the run was started; 0 if a former leader did.
	startedAt tick.Time
	// since is when the leader began to wait for judgeDelay; 0 before.
	since tick.Time
}

// recordLoss records that the run has ended with its executor. The loss is open unless the executor is known to have
// restarted. Runs on draining executors, which leave as planned, are not lost.
func (c *Cell) recordLoss(r *run, isConfirmed bool) {
	t, x := r.task, r.exec
	if t.done || r.isPlaced || r.isOnDraining() || c.task(t.id) != t {
		return
	}
	l := crash.Loss{
		Executor: x.hash, Incarnation: r.incarnation, Run: r.id.Number, Worked: r.worked(), State: crash.Open,
		IsUnconfirmed: r.confirmedAt == 0,
	}
	if isConfirmed {
		l.State = crash.Confirmed
	}
	if !t.crashes.Add(l) {
		return
	}
	t.lostRunStartedAt, t.hasPassedTrial, t.workSinceLoss = r.startedAt, false, 0
	c.dirty[t.id.Job] = t.step.job
	detail := "open"
	if isConfirmed {
		detail = "confirmed"
	}
	c.emit(Event{Name: "task-lost", Task: t.id, Run: r.id.Number, Executor: x.entry.ID, Detail: detail})
	c.trackLoss(t, l)
	if !isConfirmed {
		c.crashes.opened = append(c.crashes.opened, &lostRun{task: t, loss: l, startedAt: r.startedAt})
	}
}

// isOnDraining reports whether the process of the run is draining, or was when it ended.
func (r *run) isOnDraining() bool {
	if r.exec.hasRestartedSince(r) {
		return r.wasDraining
	}
	return r.exec.isDraining()
}

// worked returns how long the run has worked at least, as far as its executor has shown. A run that this leader has
// adopted was started by a former one, which counts as crash.EarlyWork.
func (r *run) worked() time.Duration {
	worked := max(0, max(r.confirmedAt, r.listedAt).Sub(r.startedAt))
	if r.isAdopted {
		worked += crash.EarlyWork
	}
	return worked
}

// trackLoss has the loss confirmed and judged.
func (c *Cell) trackLoss(t *task, l crash.Loss) {
	c.crashes.steps[t.step] = true
	switch l.State {
	case crash.Open:
		c.crashes.open[l.Executor] = append(c.crashes.open[l.Executor], t)
	case crash.Confirmed:
		c.crashes.confirmed = append(c.crashes.confirmed, &lostRun{
			task: t, loss: l, startedAt: t.lostRunStartedAt,
		})
	case crash.Counted, crash.Shared:
	}
}

// observeIncarnation applies that an incarnation of the executor was seen. isAlive is true if it has responded.
func (c *Cell) observeIncarnation(hash uint32, startedMS int64, isAlive bool) {
	tasks := c.crashes.open[hash]
	if len(tasks) == 0 || startedMS == 0 {
		return
	}
	delete(c.crashes.open, hash)
	for _, t := range tasks {
		if c.task(t.id) != t || t.done {
			continue
		}
		confirmed, refuted := t.crashes.Observe(hash, startedMS, isAlive)
		for _, l := range confirmed {
			c.trackLoss(t, l)
		}
		for _, l := range refuted {
			c.emit(Event{Name: "crash-refuted", Task: t.id, Run: l.Run, Executor: c.executorName(hash)})
		}
		if len(confirmed)+len(refuted) > 0 {
			c.dirty[t.id.Job] = t.step.job
		}
		isOpen := func(l crash.Loss) bool { return l.Executor == hash && l.State == crash.Open }
		if slices.ContainsFunc(t.crashes.Losses(), isOpen) {
			c.crashes.open[hash] = append(c.crashes.open[hash], t)
		}
	}
}

// executorName returns the id of the executor with the hash, or the hash if the executor is not known.
func (c *Cell) executorName(hash uint32) string {
	if o, ok := c.crashes.outages[hash]; ok {
		return o.entry.ID
	}
	for id, x := range c.execs {
		if x.hash == hash {
			return id
		}
	}
	return fmt.Sprintf("%08x", hash)
}

// judgeCrashes judges the confirmed crashes after judgeDelay, those of one executor together, and ends the jobs of the
// tasks that are given up.
func (c *Cell) judgeCrashes(now tick.Time) {
	if len(c.crashes.confirmed) > 0 || len(c.crashes.opened) > 0 {
		c.judgeLosses(now)
	}
	for _, t := range c.crashes.givenUp {
		c.giveUp(now, t)
	}
	c.crashes.givenUp = nil
	c.pruneCrashes(now)
}

// judgeLosses judges the confirmed crashes that are due.
func (c *Cell) judgeLosses(now tick.Time) {
	groups := map[crashKey][]*lostRun{}
	due := map[crashKey]bool{}
	for _, k := range c.crashes.confirmed {
		if k.since == 0 {
			k.since = now
		}
		groups[k.key()] = append(groups[k.key()], k)
		due[k.key()] = due[k.key()] || now.Sub(k.since) >= judgeDelay
	}
	c.crashes.confirmed = slices.DeleteFunc(c.crashes.confirmed, func(k *lostRun) bool { return due[k.key()] })
	var j *judgement
	if len(c.crashes.opened) > 0 {
		j = c.newJudgement()
		c.markCommon(j)
	}
	for key, isDue := range due {
		if !isDue {
			continue
		}
		if j == nil {
			j = c.newJudgement()
		}
		c.judgeGroup(now, j, key, groups[key])
	}
}

// markCommon notes which of the open losses have a common cause. Their tasks need not wait, nor be kept apart.
func (c *Cell) markCommon(j *judgement) {
	for _, k := range c.crashes.opened {
		if c.task(k.task.id) == k.task && j.hadCommonCause(k) {
			k.task.crashes.MarkCommon(k.loss.Executor, k.loss.Run)
		}
	}
	c.crashes.opened = nil
}

// pruneInterval is the time between two searches for losses and outages that no longer matter.
const pruneInterval = time.Second

func (c *Cell) pruneCrashes(now tick.Time) {
	if now.Before(c.crashes.nextPruneAt) {
		return
	}
	c.crashes.nextPruneAt = now.Add(pruneInterval)
	c.dropOutages(now)
	maps.DeleteFunc(c.crashes.blamed, func(_ crashKey, at tick.Time) bool { return now.Sub(at) > outageRetention })
	for hash, tasks := range c.crashes.open {
		tasks = slices.DeleteFunc(tasks, func(t *task) bool { return t.done || c.task(t.id) != t || t.crashes.IsEmpty() })
		c.crashes.open[hash] = tasks
		if len(tasks) == 0 {
			delete(c.crashes.open, hash)
		}
	}
}

// crashKey names a crash of an executor.
type crashKey struct {
	executor    uint32
	incarnation int64
}

func (k *lostRun) key() crashKey { return crashKey{k.loss.Executor, k.loss.Incarnation} }

// judgeGroup judges the losses by one crash of an executor.
func (c *Cell) judgeGroup(now tick.Time, j *judgement, key crashKey, group []*lostRun) {
	// Runs whose start was unconfirmed may be released long after the others.
	_, isExplained := c.crashes.blamed[key]
	group = slices.DeleteFunc(group, func(k *lostRun) bool { return c.task(k.task.id) != k.task || k.task.done })
	suspects := make([]crash.Suspect, len(group))
	for i, k := range group {
		suspects[i] = k.task.crashes.SuspectOf(k.loss)
		suspects[i].Job, suspects[i].StartedAt = k.task.id.Job, k.startedAt
	}
	blamed := crash.Blamed(suspects)
	for i, k := range group {
		switch {
		case j.hadCommonCause(k):
			c.judgeCrash(k, false, "crash-shared", "common cause")
		case !blamed[i], isExplained && k.loss.IsUnconfirmed:
			c.judgeCrash(k, false, "crash-shared", "other task")
		default:
			c.crashes.blamed[key] = now
			c.judgeCrash(k, true, "crash-confirmed", fmt.Sprintf("%d of %d", k.task.crashes.Count()+1, crash.MaxCrashes))
		}
	}
}

func (c *Cell) judgeCrash(k *lostRun, isCounted bool, event, detail string) {
	t := k.task
	t.crashes.Judge(k.loss.Executor, k.loss.Run, isCounted)
	if o, ok := c.crashes.outages[k.loss.Executor]; ok && isCounted {
		o.isBlamed = true
	}
	c.dirty[t.id.Job] = t.step.job
	c.emit(Event{
		Name: event, Task: t.id, Run: k.loss.Run, Executor: c.executorName(k.loss.Executor), Detail: detail,
	})
	if t.crashes.IsGivenUp() {
		c.crashes.givenUp = append(c.crashes.givenUp, t)
	}
}

// giveUp ends the job of a task that crashes the executors that start it.
func (c *Cell) giveUp(now tick.Time, t *task) {
	if c.task(t.id) != t {
		return
	}
	var names []string
	for _, l := range t.crashes.Losses() {
		if l.State == crash.Counted {
			names = append(names, c.executorName(l.Executor))
		}
	}
	c.emit(Event{Name: "job-failed", Task: t.id, Detail: "crashed the executors " + strings.Join(names, ", ")})
	c.endJob(now, t.step.job, jobpb.State_STATE_FAILED)
}

// clearCrashes forgets the losses of the task once its runs have worked for long enough.
func (c *Cell) clearCrashes(r *run) {
	t := r.task
	if t.crashes.IsEmpty() || !t.crashes.IsClearedBy(t.workSinceLoss+r.provenWork()) {
		return
	}
	t.crashes.Clear()
	c.dirty[t.id.Job] = t.step.job
}

// releaseLost releases a run whose executor was lost by the evidence.
func (c *Cell) releaseLost(r *run, isConfirmed bool, evidence string) {
	c.releaseRun(r, orders.EndedLeaseExpired, evidence)
	c.recordLoss(r, isConfirmed)
}

// hasRestartedSince reports whether the executor is known to have restarted since the run was ordered.
func (x *executor) hasRestartedSince(r *run) bool {
	return r.incarnation != 0 && x.startedMS != r.incarnation
}
