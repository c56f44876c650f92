package cell

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/state/book"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

// job is a job that has not been dropped.
type job struct {
	id       string
	pb       *jobpb.Job
	queue    queue.Queue
	accepted tick.Time
	// state is what has been decided; recorded is the ended state that the store holds.
	state       jobpb.State
	recorded    jobpb.State
	begun       bool
	occurrences []*occurrence
	// undue is the number of occurrences that are not due yet.
	undue uint32
	// chain is the estimated time of the longest chain of work.
	chain   time.Duration
	endedAt tick.Time
	// mark tells whether the store knows that the job may have begun.
	mark mark
	// isInherited means that a former lead may have started tasks of the job.
	isInherited bool
}

// mark is the state of the record that a job may have begun.
type mark int

// The states of the mark.
const (
	unmarked mark = iota
	markWanted
	marked
)

// occurrence is one repetition of a job's steps.
type occurrence struct {
	index uint32
	steps []*step
	left  int
}

// step is the tasks of one step of one occurrence.
type step struct {
	job        *job
	occurrence *occurrence
	pb         *jobpb.Step
	index      uint32
	tasks      []*task
	// left counts the tasks that have not ended as done, idle those of them that have no run.
	left, idle int
	// advised is what the policy service has said, if the queue has one.
	advised *advised
	// gangFailures are the run numbers of a gang that failed.
	gangFailures []uint64
}

// task is one task of a step.
type task struct {
	id         orders.Task
	step       *step
	done       bool
	failedRuns []uint64
	checkpoint string
	run        *run
	starts     uint64
	// retryAt keeps a task that cannot run from being started again at once.
	retryAt tick.Time
	// strayOn is an executor that has listed a run of the task that is not the task's own.
	strayOn *executor
	// shunned are the executors on which the task has failed.
	shunned []string
}

// Accept takes a job that was just recorded in the intake. A job that is known already is passed over.
func (c *Cell) Accept(now tick.Time, pb *jobpb.Job) {
	if _, ok := c.jobs[pb.Id]; ok {
		return
	}
	c.add(now, pb)
	c.note(Event{Name: "job-queued", Task: orders.Task{Job: pb.Id}, Detail: describe(pb)})
}

// describe tells a job's steps for the log.
func describe(pb *jobpb.Job) string {
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

// Load takes a job with its recorded progress, as a new lead finds it.
func (c *Cell) Load(now tick.Time, wallMS int64, e *book.Entry) {
	if _, ok := c.jobs[e.Job.Id]; ok {
		return
	}
	age := time.Duration(max(0, wallMS-e.Job.AcceptedMs)) * time.Millisecond
	j := c.add(now.Add(-age), e.Job)
	if e.Progress != nil {
		j.mark, j.isInherited = marked, true
	}
	if s := e.State(); book.IsFinal(s) {
		c.end(now, j, s)
		j.recorded = s
		delete(c.dirty, j.id)
		return
	}
	if e.Progress == nil {
		return
	}
	j.begun = e.Progress.State == jobpb.State_STATE_RUNNING
	for _, tp := range e.Progress.Tasks {
		j.restore(tp)
	}
}

// restore applies recorded progress to a task.
func (j *job) restore(tp *jobpb.TaskProgress) {
	j.materialize(tp.Occurrence)
	t := j.task(orders.Task{Job: j.id, Occurrence: tp.Occurrence, Step: tp.Step, Index: tp.Index})
	if t == nil {
		return
	}
	t.checkpoint = tp.Checkpoint
	t.failedRuns = tp.FailedRuns
	if t.step.pb.Gang {
		t.step.gangFailures = tp.FailedRuns
	}
	if tp.Done && !t.done {
		t.markDone()
	}
}

func (c *Cell) add(accepted tick.Time, pb *jobpb.Job) *job {
	j := &job{
		id: pb.Id, pb: pb, accepted: accepted, state: jobpb.State_STATE_QUEUED,
		undue: max(1, pb.RepeatCount),
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
	j.chain = j.longestChain()
	c.jobs[j.id] = j
	c.active = append(c.active, j)
	return j
}

// configure applies the queue of a configuration. A job whose queue was dropped keeps what it had.
func (j *job) configure(cfg *queue.Configuration) {
	if q, ok := cfg.ByName(queue.Name(j.pb.Queue)); ok {
		j.queue = q
	}
}

// materialize builds the tasks of the occurrences up to the index.
func (j *job) materialize(index uint32) {
	for uint32(len(j.occurrences)) <= index && j.undue > 0 {
		o := &occurrence{index: uint32(len(j.occurrences))}
		for i, pb := range j.pb.Steps {
			o.steps = append(o.steps, newStep(j, o, uint32(i), pb))
		}
		o.left = len(o.steps)
		j.occurrences = append(j.occurrences, o)
		j.undue--
	}
}

func newStep(j *job, o *occurrence, index uint32, pb *jobpb.Step) *step {
	n := int(pb.Count)
	s := &step{job: j, occurrence: o, pb: pb, index: index, left: n, idle: n, tasks: make([]*task, n)}
	for i := range s.tasks {
		s.tasks[i] = &task{
			step: s, id: orders.Task{Job: j.id, Occurrence: o.index, Step: index, Index: uint32(i)},
		}
	}
	return s
}

// due builds the occurrences whose time has come.
func (j *job) due(wallMS int64) {
	for j.undue > 0 {
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

// isOpen reports whether all steps that the step depends on are done.
func (s *step) isOpen() bool {
	for _, d := range s.pb.DependsOn {
		if int(d) < len(s.occurrence.steps) && s.occurrence.steps[d].left > 0 {
			return false
		}
	}
	return true
}

// mayStart reports whether the task may be started at now: no run of it is known anywhere.
func (t *task) mayStart(now tick.Time) bool {
	if t.done || t.run != nil || now.Before(t.retryAt) {
		return false
	}
	if t.strayOn != nil && !t.strayOn.hasSurplus(t.id) {
		t.strayOn = nil
	}
	return t.strayOn == nil
}

// hasSurplus reports whether the executor runs the task without being meant to.
func (x *executor) hasSurplus(id orders.Task) bool {
	if x.isDead {
		return false
	}
	for r := range x.surplus {
		if r.Task == id {
			return true
		}
	}
	return false
}

// markDone notes that the task has ended as done.
func (t *task) markDone() {
	t.done = true
	t.step.left--
	if t.run == nil {
		t.step.idle--
	}
	if t.step.left == 0 {
		t.step.occurrence.left--
	}
}

// isComplete reports whether every task of every occurrence is done.
func (j *job) isComplete() bool {
	if j.undue > 0 {
		return false
	}
	for _, o := range j.occurrences {
		if o.left > 0 {
			return false
		}
	}
	return true
}

// longestChain estimates the time of the longest chain of steps.
func (j *job) longestChain() time.Duration {
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

// Cancel ends a job on the caller's word.
func (c *Cell) Cancel(now tick.Time, id string) {
	j, ok := c.jobs[id]
	if !ok || book.IsFinal(j.state) {
		return
	}
	c.note(Event{Name: "job-cancelled", Task: orders.Task{Job: id}})
	c.end(now, j, jobpb.State_STATE_CANCELLED)
	// The cancel is recorded in the intake already.
	j.recorded = jobpb.State_STATE_CANCELLED
}

// end gives a job its last state. Its runs are stopped.
func (c *Cell) end(now tick.Time, j *job, s jobpb.State) {
	j.state = s
	j.endedAt = now
	c.dirty[j.id] = j
	c.active = slices.DeleteFunc(c.active, func(o *job) bool { return o == j })
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				if t.run != nil {
					c.unwant(t.run)
				}
			}
		}
	}
	j.occurrences = nil
}

// State returns what a caller may be shown of a job.
func (c *Cell) State(id string) (jobpb.State, bool) {
	j, ok := c.jobs[id]
	switch {
	case !ok:
		return jobpb.State_STATE_UNKNOWN, false
	case j.recorded != jobpb.State_STATE_UNKNOWN:
		return j.recorded, true
	case j.begun:
		return jobpb.State_STATE_RUNNING, true
	}
	return jobpb.State_STATE_QUEUED, true
}

// Waiting counts the jobs of a queue of which no task has started.
func (c *Cell) Waiting(q queue.Name) int {
	n := 0
	for _, j := range c.active {
		if !j.begun && queue.Name(j.pb.Queue) == q {
			n++
		}
	}
	return n
}

// Expired returns the jobs that have been shown as ended for long enough, and drops them.
func (c *Cell) Expired(now tick.Time) []string {
	var ids []string
	for id, j := range c.jobs {
		if j.recorded != jobpb.State_STATE_UNKNOWN && now.Sub(j.endedAt) > c.params.Retention+retentionMargin {
			ids = append(ids, id)
			delete(c.jobs, id)
		}
	}
	return ids
}

// retentionMargin keeps ended jobs longer than a late duplicate of their submission may take.
const retentionMargin = time.Minute
