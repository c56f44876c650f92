package cell

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/state/book"
	"github.com/ibischute/ibischute/internal/state/done"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

// job is an active job, or an ended one within its retention.
type job struct {
	id         string
	pb         *jobpb.Job
	queue      queue.Queue
	acceptedAt tick.Time
	// state is the state decided on; recordedState is the final state that is stored, if any.
	state         jobpb.State
	recordedState jobpb.State
	hasStarted    bool
	occurrences   []*occurrence
	// notYetDue is the number of occurrences that are not due yet.
	notYetDue uint32
	// criticalPath is the estimated duration of the longest chain of dependent steps.
	criticalPath time.Duration
	endedAt      tick.Time
	// startRecord is the state of the record that the job may have started.
	startRecord startRecordState
	// idleSince is since when a job with a due task has had no run; 0 if it has one.
	idleSince tick.Time
	// isInherited is true if a previous leader may have started tasks of the job on executors that are not recorded.
	isInherited bool
	// isCountedWaiting is true from when the job is counted as waiting without a run until it has one. isLarge and
	// isMovedUp are valid in between: whether the job is large, and whether it has moved up.
	isCountedWaiting, isLarge, isMovedUp bool
}

// startRecordState states whether the store has a record that a job may have started. No task starts before that.
type startRecordState int

// The states of the record of a job's start.
const (
	startUnrecorded startRecordState = iota
	startRecordPending
	startRecorded
)

// occurrence is one repetition of a job's steps.
type occurrence struct {
	index      uint32
	steps      []*step
	unfinished int
}

// Accept adds a job that was just recorded in the intake. A job that is already tracked is ignored.
func (c *Cell) Accept(now tick.Time, pb *jobpb.Job) {
	if _, ok := c.jobs[pb.Id]; ok {
		return
	}
	j := c.addJob(now, pb)
	for _, o := range j.occurrences {
		o.noteReady(now)
	}
	c.emit(Event{Name: "job-queued", Task: orders.Task{Job: pb.Id}, Detail: describeSteps(pb)})
}

// describeSteps summarizes a job's queue and steps for the log.
func describeSteps(pb *jobpb.Job) string {
	b := strings.Builder{}
	b.WriteString(pb.Queue)
	for _, s := range pb.Steps {
		fmt.Fprintf(&b, " %dx%dm/%dMB/%dms", s.Count, s.MilliCpu, s.MemoryMb, s.EstimateMs)
		if s.Fills {
			b.WriteString("/fills")
		}
		if s.MaxPerExecutor > 0 {
			fmt.Fprintf(&b, "/max%d", s.MaxPerExecutor)
		}
		if s.TargetMs > 0 {
			fmt.Fprintf(&b, "/target%d", s.TargetMs)
		}
	}
	return b.String()
}

// Load adds a job with its recorded progress when a new leader takes over.
func (c *Cell) Load(now tick.Time, wallMS int64, e *book.Entry) {
	if _, ok := c.jobs[e.Job.Id]; ok {
		return
	}
	age := time.Duration(max(0, wallMS-e.Job.AcceptedMs)) * time.Millisecond
	j := c.addJob(now.Add(-age), e.Job)
	if e.Progress != nil {
		j.startRecord, j.isInherited = startRecorded, !c.placements.chain.Trusts(e.Progress)
	}
	if s := e.State(); book.IsFinal(s) {
		c.endJob(now, j, s)
		j.recordedState = s
		delete(c.dirty, j.id)
		return
	}
	if e.Progress == nil {
		return
	}
	j.hasStarted = e.Progress.State == jobpb.State_STATE_RUNNING
	done.Visit(e.Progress.Done, e.Job, j.restoreDone)
	for _, tp := range e.Progress.Tasks {
		t := j.restoreProgress(tp)
		if t == nil {
			continue
		}
		c.restoreLosses(t, tp.Losses)
		if !j.isInherited {
			c.holdBack(t, tp.Executor)
		}
	}
}

// restoreDone applies that a task is recorded as done.
func (j *job) restoreDone(occurrence, step, index uint32) {
	j.materialize(occurrence)
	t := j.task(orders.Task{Job: j.id, Occurrence: occurrence, Step: step, Index: index})
	if t != nil && !t.done {
		t.markDone()
	}
}

// restoreProgress applies the recorded progress of a task and returns the task, or nil if there is no such task.
func (j *job) restoreProgress(tp *jobpb.TaskProgress) *task {
	j.materialize(tp.Occurrence)
	t := j.task(orders.Task{Job: j.id, Occurrence: tp.Occurrence, Step: tp.Step, Index: tp.Index})
	if t == nil {
		return nil
	}
	t.checkpoint = tp.Checkpoint
	t.failedRuns = tp.FailedRuns
	if t.step.pb.Gang {
		t.step.addGangFailures(tp.FailedRuns)
	}
	if tp.Done && !t.done {
		t.markDone()
	}
	return t
}

// addGangFailures counts failed attempts of the gang that the record of one of its tasks names. The members of an
// attempt share its run number, so an attempt that several of them name counts once.
func (s *step) addGangFailures(runs []uint64) {
	for _, number := range runs {
		if !slices.Contains(s.gangFailures, number) {
			s.gangFailures = append(s.gangFailures, number)
		}
	}
}

func (c *Cell) addJob(acceptedAt tick.Time, pb *jobpb.Job) *job {
	j := &job{
		id: pb.Id, pb: pb, acceptedAt: acceptedAt, state: jobpb.State_STATE_QUEUED,
		notYetDue: max(1, pb.RepeatCount),
	}
	j.queue = queue.Queue{
		Name: queue.Name(pb.Queue), Service: pb.Service, MaxAttempts: max(1, int(pb.MaxAttempts)),
		Priority: int(pb.Priority), StretchFactor: max(1, pb.StretchFactor), TargetMS: pb.TargetMs,
	}
	if c.config != nil {
		j.configure(c.config)
	}
	if pb.RepeatCount == 0 {
		j.materialize(0)
	}
	j.criticalPath = j.estimateCriticalPath()
	c.jobs[j.id] = j
	c.active = append(c.active, j)
	return j
}

// configure applies the job's queue of a configuration. A job whose queue was removed keeps its previous settings.
func (j *job) configure(cfg *queue.Configuration) {
	if q, ok := cfg.ByName(queue.Name(j.pb.Queue)); ok {
		j.queue = q
	}
}

// materialize creates the tasks of the occurrences up to the index.
func (j *job) materialize(index uint32) {
	for uint32(len(j.occurrences)) <= index && j.notYetDue > 0 {
		o := &occurrence{index: uint32(len(j.occurrences))}
		for i, pb := range j.pb.Steps {
			o.steps = append(o.steps, newStep(j, o, uint32(i), pb))
		}
		o.unfinished = len(o.steps)
		j.occurrences = append(j.occurrences, o)
		j.notYetDue--
	}
}

// materializeDue creates the tasks of the occurrences that are due.
func (j *job) materializeDue(wallMS int64) {
	for j.notYetDue > 0 {
		next := uint32(len(j.occurrences))
		if j.pb.FirstDueMs+int64(next)*j.pb.IntervalMs > wallMS {
			return
		}
		j.materialize(next)
	}
}

func (j *job) task(id orders.Task) *task {
	if id.Occurrence >= uint32(len(j.occurrences)) {
		return nil
	}
	o := j.occurrences[id.Occurrence]
	if id.Step >= uint32(len(o.steps)) || id.Index >= uint32(len(o.steps[id.Step].tasks)) {
		return nil
	}
	return o.steps[id.Step].tasks[id.Index]
}

// task returns a task of an active job, or nil.
func (c *Cell) task(id orders.Task) *task {
	j, ok := c.jobs[id.Job]
	if !ok || book.IsFinal(j.state) {
		return nil
	}
	return j.task(id)
}

// isComplete reports whether every task of every occurrence is done.
func (j *job) isComplete() bool {
	if j.notYetDue > 0 {
		return false
	}
	for _, o := range j.occurrences {
		if o.unfinished > 0 {
			return false
		}
	}
	return true
}

// estimateCriticalPath estimates the duration of the longest chain of dependent steps.
func (j *job) estimateCriticalPath() time.Duration {
	ends := make([]time.Duration, len(j.pb.Steps))
	longest := time.Duration(0)
	for i, s := range j.pb.Steps {
		start := time.Duration(0)
		for _, d := range s.DependsOn {
			if int(d) < i {
				start = max(start, ends[d])
			}
		}
		ends[i] = start + time.Duration(s.EstimateMs)*time.Millisecond
		longest = max(longest, ends[i])
	}
	return longest
}

// Cancel ends a job at the request of a caller.
func (c *Cell) Cancel(now tick.Time, id string) {
	j, ok := c.jobs[id]
	if !ok || book.IsFinal(j.state) {
		return
	}
	c.emit(Event{Name: "job-cancelled", Task: orders.Task{Job: id}})
	c.endJob(now, j, jobpb.State_STATE_CANCELLED)
	// The cancellation is already recorded in the intake.
	j.recordedState = jobpb.State_STATE_CANCELLED
}

// endJob sets the final state of a job and marks its runs for stopping.
func (c *Cell) endJob(now tick.Time, j *job, s jobpb.State) {
	j.state = s
	j.endedAt = now
	c.dirty[j.id] = j
	c.active = slices.DeleteFunc(c.active, func(o *job) bool { return o == j })
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				if t.run != nil {
					c.markForStopping(t.run)
				}
			}
		}
	}
	j.occurrences = nil
	c.durations.Forget(j.id)
}

// State returns the state of a job to show to callers. A final state is shown only once it is stored.
func (c *Cell) State(id string) (jobpb.State, bool) {
	j, ok := c.jobs[id]
	switch {
	case !ok:
		return jobpb.State_STATE_UNKNOWN, false
	case j.recordedState != jobpb.State_STATE_UNKNOWN:
		return j.recordedState, true
	case j.hasStarted:
		return jobpb.State_STATE_RUNNING, true
	}
	return jobpb.State_STATE_QUEUED, true
}

// Waiting counts the jobs of a queue that have no started task.
func (c *Cell) Waiting(q queue.Name) int {
	n := 0
	for _, j := range c.active {
		if !j.hasStarted && queue.Name(j.pb.Queue) == q {
			n++
		}
	}
	return n
}

// DropExpired drops the jobs whose retention has passed and returns their ids.
func (c *Cell) DropExpired(now tick.Time) []string {
	var ids []string
	for id, j := range c.jobs {
		if j.recordedState != jobpb.State_STATE_UNKNOWN && now.Sub(j.endedAt) > c.params.Retention+retentionMargin {
			ids = append(ids, id)
			delete(c.jobs, id)
		}
	}
	return ids
}

// retentionMargin is added to the retention, so that an ended job is kept longer than a duplicate of its submission can
// be delayed.
const retentionMargin = time.Minute
