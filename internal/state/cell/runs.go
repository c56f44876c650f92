package cell

import (
	"slices"
	"time"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

// runNumbersPerEpoch is how many runs of a task one lead may number.
const runNumbersPerEpoch = 1 << 12

// run is one start of a task, from the decision to the evidence that it is over.
type run struct {
	id   orders.Run
	task *task
	exec *executor
	room room

	startedAt tick.Time
	// confirmedAt is when the executor said that it has the run; 0 before.
	confirmedAt tick.Time
	// isDoubtful means that the order to start got no answer.
	isDoubtful bool
	// isUnwanted means that the run must be stopped.
	isUnwanted bool
	stopSentAt tick.Time
	// stoppedAt is when the executor answered the order to stop; the run cannot begin after that.
	stoppedAt tick.Time

	// checkpoint, percent and usage are as of the last list; usage is the tail in milliseconds of a serving run, or the
	// thousandths of a core that another one uses.
	checkpoint string
	percent    int
	usage      int64
	// firstAt is when a list first had the run, percentAt when percent last changed.
	firstAt, percentAt tick.Time
	// overSince is since when a serving run is over its target.
	overSince tick.Time
	// pace is the share of its speed, in percent, that was ordered last; the order may not have arrived.
	pace         int
	isPaceUnsure bool
	// slowAt is since when the pace is below slowPace.
	slowAt tick.Time
	// fit, headroom and isTight tell what a serving run bears beside it, as of the last list.
	fit      *fit
	headroom float64
	isTight  bool
	// look is the last look at a serving run's tail.
	look look
}

// begin makes a run of the task on the executor.
func (c *Cell) begin(now tick.Time, t *task, x *executor, number uint64) *run {
	r := &run{
		id: orders.Run{Task: t.id, Number: number}, task: t, exec: x, room: roomOf(t.step.pb),
		startedAt: now, percentAt: now, checkpoint: t.checkpoint, pace: fullPace,
	}
	c.attach(r)
	return r
}

// fullPace is the share of its speed, in percent, at which a run begins.
const fullPace = 100

func (c *Cell) attach(r *run) {
	r.task.run = r
	r.task.step.idle--
	r.exec.add(r)
}

// add accounts for a run.
func (x *executor) add(r *run) {
	x.runs[r.id.Task] = r
	x.used = x.used.plus(r.room)
	switch pb := r.task.step.pb; {
	case pb.Fills:
		x.filling = append(x.filling, r)
		x.fillingCPU += int64(pb.MilliCpu)
	case pb.TargetMs > 0:
		x.serving = append(x.serving, r)
		x.servingCPU += int64(pb.MilliCpu)
	}
}

// remove takes a run out of the account.
func (x *executor) remove(r *run) {
	delete(x.runs, r.id.Task)
	x.used = x.used.minus(r.room)
	is := func(o *run) bool { return o == r }
	switch pb := r.task.step.pb; {
	case pb.Fills:
		x.filling = slices.DeleteFunc(x.filling, is)
		x.fillingCPU -= int64(pb.MilliCpu)
	case pb.TargetMs > 0:
		x.serving = slices.DeleteFunc(x.serving, is)
		x.servingCPU -= int64(pb.MilliCpu)
	}
}

// unwant has a run stopped.
func (c *Cell) unwant(r *run) {
	r.isUnwanted = true
	c.stopping[r] = true
}

// nextNumber returns the number of a task's next run. It is above those that former leads gave.
func (c *Cell) nextNumber(t *task) uint64 {
	t.starts++
	return (c.epoch-1)*runNumbersPerEpoch + t.starts
}

// release ends a run on evidence that it is over, and leaves the task to be started again.
func (c *Cell) release(r *run, how orders.Ending) {
	x := r.exec
	if x.runs[r.id.Task] != r {
		return
	}
	x.remove(r)
	delete(c.stopping, r)
	t := r.task
	t.run = nil
	if !t.done {
		t.step.idle++
	}
	if r.checkpoint != "" && t.step.pb.Checkpointing && !t.done {
		t.keepCheckpoint(r.checkpoint)
	}
	c.note(Event{Name: "run-over", Task: r.id.Task, Run: r.id.Number, Executor: x.entry.ID, Detail: string(how)})
}

// keepCheckpoint notes the checkpoint from which the task resumes. Members of a gang share it.
func (t *task) keepCheckpoint(checkpoint string) {
	t.checkpoint = checkpoint
	if !t.step.pb.Gang {
		return
	}
	for _, m := range t.step.tasks {
		m.checkpoint = checkpoint
	}
}

// finish applies the end of a run that an executor has listed.
func (c *Cell) finish(now tick.Time, t *task, e orders.Ended, x *executor) {
	if r := t.run; r != nil && r.id == e.Run && r.exec == x {
		if e.Checkpoint != "" {
			r.checkpoint = e.Checkpoint
		}
		c.pace.observe(now, r, e.How)
		if e.How == orders.EndedDone && !t.step.pb.LongRunning {
			c.done(now, t)
		}
		c.release(r, e.How)
		if e.How == orders.EndedFailed {
			c.failed(now, t, e.Run.Number, x)
		}
		return
	}
	switch {
	case e.How == orders.EndedDone && !t.done && !t.step.pb.LongRunning:
		// An earlier run was done before its lease lapsed; a later one is not needed any more.
		later := t.run
		c.done(now, t)
		if later != nil {
			c.unwant(later)
		}
	case e.How == orders.EndedFailed && !t.done:
		c.failed(now, t, e.Run.Number, x)
	}
	if t.run == nil && !t.done && e.Checkpoint != "" && t.step.pb.Checkpointing {
		t.keepCheckpoint(e.Checkpoint)
	}
}

// done notes that the task is done, and the whole gang with it.
func (c *Cell) done(now tick.Time, t *task) {
	j := t.step.job
	j.begun = true
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
	if j.isComplete() {
		c.end(now, j, jobpb.State_STATE_COMPLETED)
	}
}

// failed counts a failed run. The job fails with the last attempt.
func (c *Cell) failed(now tick.Time, t *task, number uint64, x *executor) {
	j := t.step.job
	if !slices.Contains(t.shunned, x.entry.ID) {
		t.shunned = append(t.shunned, x.entry.ID)
	}
	c.blame(now, x, j.id)
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
		c.note(Event{Name: "job-failed", Task: t.id, Run: number, Executor: x.entry.ID})
		c.end(now, j, jobpb.State_STATE_FAILED)
	}
}

const (
	// failuresBeforeAvoiding is how many runs of different jobs fail in a row until an executor is avoided.
	failuresBeforeAvoiding = 2
	// avoidAfterFailures is how long an executor that fails all that it starts is left alone.
	avoidAfterFailures = 4 * time.Second
	// avoidAfterRefusal is how long an executor that refused is left alone.
	avoidAfterRefusal = 300 * time.Millisecond
	// avoidAfterSilence is how long an executor that did not answer an order is left alone.
	avoidAfterSilence = 1500 * time.Millisecond
	// maxFailuresCounted bounds how the time grows for which a failing executor is left alone.
	maxFailuresCounted = 5
)

// blame counts a failure against the executor. Failures of a single job may be the job's own.
func (c *Cell) blame(now tick.Time, x *executor, jobID string) {
	if x.failedBy == jobID {
		return
	}
	x.failedBy = jobID
	x.failures = min(x.failures+1, maxFailuresCounted)
	if x.failures >= failuresBeforeAvoiding {
		x.avoid(now, avoidAfterFailures*time.Duration(x.failures-1))
		c.note(Event{Name: "executor-avoided", Executor: x.entry.ID, Detail: "failing"})
	}
}

func (x *executor) avoid(now tick.Time, d time.Duration) {
	x.avoidUntil = max(x.avoidUntil, now.Add(d))
}
