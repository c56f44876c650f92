package cell

import (
	"slices"
	"time"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/state/interf"
	"github.com/ibischute/ibischute/pkg/tick"
)

// runNumbersPerEpoch is the size of the range of run numbers that a leader has for each task.
const runNumbersPerEpoch = 1 << 12

// run is one start of a task, from the decision until there is evidence that it is over.
type run struct {
	id        orders.Run
	task      *task
	exec      *executor
	resources resources

	// incarnation is the start time of the executor's process to which the order to start the run was sent, or that has
	// listed the run. isAdopted is true if a former leader has started the run.
	incarnation int64
	isAdopted   bool
	// token is the fencing token of the order to start the run; 0 if a former leader has started it.
	token orders.FencingToken
	// startedAt is when the order to start the run was made, or before that when the run was placed.
	startedAt tick.Time
	// isPlaced is true from the choice of the executor until the order to start the run is made. isBatched is true once a
	// batch names the executor, isRecorded once a stored record does. idleSince is that of the job before the placement.
	isPlaced, isBatched, isRecorded bool
	// recordedAt is when a stored record first named the executor, or when the run was placed if one did already.
	recordedAt tick.Time
	idleSince  tick.Time
	// createdAt is when the run was placed or adopted.
	createdAt tick.Time
	// confirmedAt is when the executor confirmed that it has the run; 0 before.
	confirmedAt tick.Time
	// isStartUnconfirmed is true if the outcome of the start order is unknown, as it has been since unconfirmedSince.
	isStartUnconfirmed bool
	unconfirmedSince   tick.Time
	// isMarkedForStopping is true if the run must be stopped.
	isMarkedForStopping bool
	stopSentAt          tick.Time
	// stoppedAt is when the executor first confirmed the order to stop; the run cannot begin after that.
	stoppedAt tick.Time

	// checkpoint, percent and usage are as of the last list. percent is the progress of the run. usage is the tail
	// latency in milliseconds of a latency-critical run, or the thousandths of a core that another run uses.
	checkpoint string
	percent    int
	usage      int64
	// checkpointAt is when a list first had the checkpoint.
	checkpointAt tick.Time
	// wasDraining is true if the executor's process was draining when it ended.
	wasDraining bool
	// isMoved is true for the run that replaces one that was stopped to move it.
	isMoved bool
	// checkpointPercent is the progress that the checkpoint has at least.
	checkpointPercent int
	// firstListedAt and listedAt are when a list first and last contained the run, progressAt when percent last changed.
	// firstPercent is percent in the first list.
	firstListedAt, listedAt, progressAt tick.Time
	firstPercent                        int
	// hasWorked is true once the run has made progress for provenAfter.
	hasWorked bool
	// waitReportedAt is when Diagnose last reported that no list contains the run.
	waitReportedAt tick.Time
	// overTargetSince is since when a latency-critical run has exceeded its target; 0 if it does not.
	overTargetSince tick.Time
	// pace is the last ordered pace in percent of full speed. isPaceUnconfirmed is true if that order may not have
	// arrived.
	pace              int
	isPaceUnconfirmed bool
	// pacedAt is when lostToPace was last updated, which is the working time that the run has lost to throttled paces.
	pacedAt    tick.Time
	lostToPace time.Duration
	// isPartial is true if the run resumed from a checkpoint or was adopted, so that its duration is not that of the task.
	isPartial bool
	// lowPaceSince is since when the pace has been below movePacePercent.
	lowPaceSince tick.Time
	// regression, headroom and isNearTarget determine which best-effort tasks a latency-critical run tolerates, as of the
	// last list. headroom is the load that may be added until its tail latency reaches raiseTailRatio times its target.
	regression   *interf.Regression
	headroom     float64
	isNearTarget bool
	// lastSample is the last sample of a latency-critical run's tail latency.
	lastSample interf.Sample
}

// createRun creates a run of the task on the executor.
func (c *Cell) createRun(now tick.Time, t *task, x *executor, number uint64) *run {
	r := &run{
		id: orders.Run{Task: t.id, Number: number}, task: t, exec: x, resources: resourcesOf(t.step.pb),
		startedAt: now, createdAt: now, progressAt: now, checkpoint: t.checkpoint, pace: fullPacePercent,
		isPartial: t.checkpoint != "",
	}
	c.attachRun(r)
	x.suspicion.begin(r)
	x.guard(r)
	return r
}

// fullPacePercent is the pace at which a run starts.
const fullPacePercent = 100

func (c *Cell) attachRun(r *run) {
	r.task.run = r
	r.task.step.waiting--
	r.exec.addRun(r)
}

// addRun adds a run and accounts for its resources.
func (x *executor) addRun(r *run) {
	x.runs[r.id.Task] = r
	x.used = x.used.plus(r.resources)
	switch pb := r.task.step.pb; {
	case pb.Fills:
		x.bestEffort = append(x.bestEffort, r)
		x.bestEffortMilliCPU += int64(pb.MilliCpu)
	case pb.TargetMs > 0:
		x.latencyCritical = append(x.latencyCritical, r)
		x.latencyCriticalMilliCPU += int64(pb.MilliCpu)
		x.forgetTolerance()
	}
	x.updateRoom()
}

// removeRun removes a run and its resources.
func (x *executor) removeRun(r *run) {
	delete(x.runs, r.id.Task)
	x.suspicion.end(r)
	x.used = x.used.minus(r.resources)
	is := func(o *run) bool { return o == r }
	switch pb := r.task.step.pb; {
	case pb.Fills:
		x.bestEffort = slices.DeleteFunc(x.bestEffort, is)
		x.bestEffortMilliCPU -= int64(pb.MilliCpu)
	case pb.TargetMs > 0:
		x.latencyCritical = slices.DeleteFunc(x.latencyCritical, is)
		x.latencyCriticalMilliCPU -= int64(pb.MilliCpu)
		x.forgetTolerance()
	}
	x.updateRoom()
}

// markForStopping has the run stopped. A placed run is withdrawn.
func (c *Cell) markForStopping(r *run) {
	if r.isPlaced {
		c.withdrawRun(r)
		return
	}
	r.isMarkedForStopping = true
	c.stopping[r] = true
}

// nextRunNumber returns the number of a task's next run, which is above those assigned by previous leaders.
func (c *Cell) nextRunNumber(t *task) uint64 {
	t.startCount++
	return (c.epoch-1)*runNumbersPerEpoch + t.startCount
}

// releaseRun removes a run that is known to be over, so that its task can be started again unless it is done. The
// evidence is that for an end that the executor has not listed, for the log.
func (c *Cell) releaseRun(r *run, reason orders.EndReason, evidence string) {
	x := r.exec
	if x.runs[r.id.Task] != r {
		return
	}
	if r.isPlaced {
		c.withdrawRun(r)
		return
	}
	x.removeRun(r)
	delete(c.stopping, r)
	c.speed.End(r.id)
	t := r.task
	t.run = nil
	t.workSinceLoss += r.provenWork()
	if !t.done {
		t.step.waiting++
	}
	if r.checkpoint != "" && t.step.pb.Checkpointing && !t.done {
		t.keepCheckpoint(r.checkpoint)
	}
	detail := string(reason)
	if evidence != "" {
		detail += ": " + evidence
	}
	c.emit(Event{Name: "run-over", Task: r.id.Task, Run: r.id.Number, Executor: x.entry.ID, Detail: detail})
}

// keepCheckpoint records the checkpoint from which the task resumes. Members of a gang share it.
func (t *task) keepCheckpoint(checkpoint string) {
	t.checkpoint = checkpoint
	if !t.step.pb.Gang {
		return
	}
	for _, m := range t.step.tasks {
		m.checkpoint = checkpoint
	}
}

// finishRun applies the end of a run that an executor has listed.
func (c *Cell) finishRun(now tick.Time, t *task, e orders.EndedRun, x *executor) {
	if r := t.run; r != nil && r.id == e.Run && r.exec == x {
		if e.Checkpoint != "" {
			r.checkpoint = e.Checkpoint
		}
		c.observeDuration(now, r, e.Reason)
		if e.Reason == orders.EndedDone && !t.step.pb.LongRunning {
			c.completeTask(now, t)
		}
		c.releaseRun(r, e.Reason, listedEnd)
		if e.Reason == orders.EndedFailed {
			c.recordFailure(now, t, e.Run.Number, x, r)
		}
		return
	}
	switch {
	case e.Reason == orders.EndedDone && !t.done && !t.step.pb.LongRunning:
		// An earlier run was done before its lease expired, so a later one is no longer needed.
		later := t.run
		c.completeTask(now, t)
		if later != nil {
			c.markForStopping(later)
		}
	case e.Reason == orders.EndedFailed && !t.done:
		c.recordFailure(now, t, e.Run.Number, x, nil)
	}
	hasStarted := t.run != nil && !t.run.isPlaced
	if !hasStarted && !t.done && e.Checkpoint != "" && t.step.pb.Checkpointing {
		t.keepCheckpoint(e.Checkpoint)
	}
}

// completeTask records that the task is done, and with it all members of its gang.
func (c *Cell) completeTask(now tick.Time, t *task) {
	j := t.step.job
	j.hasStarted = true
	c.dirty[j.id] = j
	members := []*task{t}
	if t.step.pb.Gang {
		members = t.step.tasks
	}
	for _, m := range members {
		if !m.done {
			m.markDone()
		}
	}
	if t.step.unfinished == 0 {
		t.step.occurrence.noteReady(now)
	}
	if j.isComplete() {
		c.endJob(now, j, jobpb.State_STATE_COMPLETED)
	}
}

// recordFailure counts a failed run, which is nil if this leader did not track it. The job fails with the last
// permitted attempt.
func (c *Cell) recordFailure(now tick.Time, t *task, number uint64, x *executor, r *run) {
	j := t.step.job
	c.recordExecutorFailure(now, x, t, r)
	t.lastFailedAt = now
	t.failuresInRow++
	if r != nil && r.hasWorked {
		t.failuresInRow = 1
	}
	if !t.hasFailedOn(x) {
		t.failedOn = append(t.failedOn, x.entry.ID)
	}
	if t.step.pb.LongRunning || slices.Contains(t.failedRuns, number) {
		return
	}
	c.dirty[j.id] = j
	failures := &t.failedRuns
	if t.step.pb.Gang {
		failures = &t.step.gangFailures
		if slices.Contains(*failures, number) {
			return
		}
	}
	*failures = append(*failures, number)
	t.failedRuns = *failures
	if len(*failures) >= j.queue.MaxAttempts {
		c.emit(Event{Name: "job-failed", Task: t.id, Run: number, Executor: x.entry.ID})
		c.endJob(now, j, jobpb.State_STATE_FAILED)
	}
}

const (
	// quarantineAfterRefusal is the quarantine of an executor that refused an order.
	quarantineAfterRefusal = 300 * time.Millisecond
	// quarantineAfterNoResponse is the quarantine of an executor that did not respond to an order.
	quarantineAfterNoResponse = 1500 * time.Millisecond
)

// recordExecutorFailure counts the failure of a task's run against the executor, unless the task may itself be the
// cause: it has failed on another executor before, or it is long-running and had worked. The run is nil if this leader
// did not track it.
func (c *Cell) recordExecutorFailure(now tick.Time, x *executor, t *task, r *run) {
	isOwnFault := len(t.failedOn) > 0 && !t.hasFailedOn(x)
	if t.step.pb.LongRunning {
		isOwnFault = r != nil && r.hasWorked
	}
	if isOwnFault {
		return
	}
	startedAt := tick.Time(0)
	if r != nil {
		startedAt = r.startedAt
	}
	if x.suspicion.recordFailure(now, startedAt, t.id.Job) {
		c.emit(Event{Name: "executor-avoided", Executor: x.entry.ID, Detail: "failing"})
	}
}

func (x *executor) quarantine(now tick.Time, d time.Duration) {
	x.quarantinedUntil = max(x.quarantinedUntil, now.Add(d))
}
