// Package tasks decides which tasks start where, and never lets a task run in two places or a worker carry too much.
//
// A Board is a placer's knowledge: the workers, what they said they run, and the attempts that may run without the
// board having seen them. A task may start again only after its last attempt is proved to have ended: the worker said
// so, the worker confirmed a stop, or the attempt's lease has run out by the clock. The board is pure; its owner
// carries out the actions of Plan and reports what came of them.
//
// # Usage
//
//	b := tasks.NewBoard(tasks.Options{Epoch: epoch, Lease: lease, Since: now})
//	b.PutWorker(worker); b.PutTask(spec)
//	for _, a := range b.Plan(now) { carryOut(a) }
package tasks

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/ibischute/ibischute/pkg/demand"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

// Key identifies a task of a job.
type Key struct {
	Job   ident.Job
	Index uint32
}

// Number is the fencing number of an attempt; a later attempt of a task has a higher one.
type Number uint64

// epochBits is how far the placer's epoch stands above the count of attempts in a Number.
const epochBits = 24

// Spec is what the board needs to know of a task.
type Spec struct {
	Key        Key
	Size       demand.Vector
	Team       ident.Team
	Urgent     bool
	Deadline   time.Time
	Checkpoint string
	// Order is the place in the queue.
	Order uint64
}

// Worker is what the list says about a worker.
type Worker struct {
	Name     ident.Worker
	Rack     string
	Capacity demand.Vector
	Leaving  bool
}

// Phase is the state of a task on the board.
type Phase string

// The phases of a task.
const (
	// PhasePending tasks have no attempt that may run.
	PhasePending Phase = "pending"
	// PhaseStarting attempts were sent to a worker that has not confirmed them.
	PhaseStarting Phase = "starting"
	// PhaseRunning attempts were confirmed by their worker.
	PhaseRunning Phase = "running"
	// PhaseUncertain attempts may run on a worker that cannot be asked.
	PhaseUncertain Phase = "uncertain"
	// PhaseStopping attempts were asked to end.
	PhaseStopping Phase = "stopping"
	// PhaseFinished tasks have ended with success; what remains is to record it.
	PhaseFinished Phase = "finished"
)

// Attempt is the present attempt of a task.
type Attempt struct {
	Number Number
	Worker ident.Worker
	// Until is when the lease has run out on any clock.
	Until tick.Time
	// Confirmed is when the worker first said that it runs the attempt.
	Confirmed tick.Time
	// Tries counts the starts that were sent.
	Tries int
	tried tick.Time
}

// Task is a task on the board.
type Task struct {
	Spec    Spec
	Phase   Phase
	Attempt Attempt
	// Stop asks for the end of the attempt for good.
	Stop bool
	// Evict asks for a checkpoint and then for the end of the attempt; the task is pending again after that.
	Evict bool
	// saved is whether the checkpoint of the eviction is in the log.
	saved bool
	// askedRoom is when others were last evicted for this task.
	askedRoom tick.Time
	// FailedOn are the workers on which the task failed.
	FailedOn map[ident.Worker]bool
}

type workerState struct {
	Worker
	// tasks are the tasks whose present attempt is on the worker.
	tasks map[Key]bool
	// strangers are the sizes of attempts that the worker runs and the board does not know.
	strangers map[string]demand.Vector
	// used is the sum of the sizes above.
	used    demand.Vector
	heard   bool
	heardAt tick.Time
	silent  bool
	// failedJobs are the jobs that failed on the worker since a task last succeeded there.
	failedJobs       map[ident.Job]bool
	quarantinedUntil tick.Time
}

// Options are the settings of a Board.
type Options struct {
	// Epoch is the epoch of the placer's ownership; it makes attempt numbers rise from one placer to the next.
	Epoch ident.Offset
	// Lease is the term of a worker lease with the allowance for clocks.
	Lease time.Duration
	// Since is when the placer began to act.
	Since tick.Time
	// Policy holds the rules that operators set.
	Policy Policy
}

// Policy holds the rules that operators set in the bundle.
type Policy struct {
	// MaxFailures is on how many workers a task may fail before its job is given up.
	MaxFailures int
	// EvictionsPerHour bounds the evictions that make room for urgent work.
	EvictionsPerHour int
	// Share returns the weight of a team, and MaxCPU what it may use at most; 0 is no bound.
	Share  func(ident.Team) float64
	MaxCPU func(ident.Team) demand.MilliCPU
}

// Board is a placer's knowledge. It is not safe for concurrent use.
type Board struct {
	opts     Options
	count    uint64
	workers  map[ident.Worker]*workerState
	tasks    map[Key]*Task
	pending  map[Key]*Task
	finished map[Key]*Task
	// stopping are the tasks whose attempts are to end, for good or by eviction.
	stopping map[Key]*Task
	hopeless map[Key]*Task
	// waiting are the tasks whose attempt ends when its lease has run out: starting, uncertain and stopping ones.
	waiting map[Key]*Task
	fair    *shares
	evicted evictions
}

// NewBoard returns a Board without workers and tasks.
func NewBoard(o Options) *Board {
	return &Board{
		opts: o, workers: map[ident.Worker]*workerState{}, tasks: map[Key]*Task{}, pending: map[Key]*Task{},
		finished: map[Key]*Task{}, stopping: map[Key]*Task{}, hopeless: map[Key]*Task{},
		waiting: map[Key]*Task{},
		fair:    newShares(o.Policy.Share), evicted: evictions{perHour: o.Policy.EvictionsPerHour},
	}
}

// Follow takes over the rules in force, and a longer lease. A shorter lease takes effect with the next placer, since
// attempts may run under the longer one.
func (b *Board) Follow(p Policy, lease time.Duration) {
	b.opts.Policy = p
	b.opts.Lease = max(b.opts.Lease, lease)
	b.fair.follow(p.Share)
	b.evicted.perHour = p.EvictionsPerHour
}

// PutWorker adds or updates a worker.
func (b *Board) PutWorker(w Worker) {
	s, ok := b.workers[w.Name]
	if !ok {
		s = &workerState{
			tasks: map[Key]bool{}, strangers: map[string]demand.Vector{}, failedJobs: map[ident.Job]bool{},
		}
		b.workers[w.Name] = s
	}
	s.Worker = w
}

// DropWorkers removes the workers that the list does not name any more and that no attempt may run on.
func (b *Board) DropWorkers(keep func(ident.Worker) bool) {
	for name, w := range b.workers {
		if keep(name) {
			continue
		}
		w.Leaving = true
		if len(w.tasks) == 0 {
			delete(b.workers, name)
		}
	}
}

// Workers returns the names of the workers in order.
func (b *Board) Workers() []ident.Worker { return slices.Sorted(maps.Keys(b.workers)) }

// PutTask adds a task that is to run. A task that is known only has its checkpoint updated.
func (b *Board) PutTask(s Spec) {
	if t, ok := b.tasks[s.Key]; ok {
		t.Spec.Checkpoint = s.Checkpoint
		return
	}
	t := &Task{Spec: s, Phase: PhasePending, FailedOn: map[ident.Worker]bool{}}
	b.tasks[s.Key] = t
	b.pending[s.Key] = t
}

// DropTask takes a task off the board that is done or whose job has ended. A running attempt is stopped first.
func (b *Board) DropTask(k Key) {
	t, ok := b.tasks[k]
	if !ok {
		return
	}
	switch t.Phase {
	case PhasePending, PhaseFinished:
		b.remove(t)
	default:
		t.Stop = true
		b.stopping[k] = t
	}
}

func (b *Board) remove(t *Task) {
	b.release(t)
	delete(b.tasks, t.Spec.Key)
	delete(b.pending, t.Spec.Key)
	delete(b.finished, t.Spec.Key)
	delete(b.stopping, t.Spec.Key)
	delete(b.hopeless, t.Spec.Key)
	delete(b.waiting, t.Spec.Key)
}

// setPhase moves a task to a phase.
func (b *Board) setPhase(t *Task, p Phase) {
	t.Phase = p
	if p == PhaseStarting || p == PhaseUncertain || p == PhaseStopping {
		b.waiting[t.Spec.Key] = t
		return
	}
	delete(b.waiting, t.Spec.Key)
}

// Get returns a copy of a task.
func (b *Board) Get(k Key) (Task, bool) {
	t, ok := b.tasks[k]
	if !ok {
		return Task{}, false
	}
	return *t, true
}

// Counts returns the number of tasks in each phase.
func (b *Board) Counts() map[Phase]int {
	out := map[Phase]int{}
	for _, t := range b.tasks {
		out[t.Phase]++
	}
	return out
}

// Used returns what the attempts that may run on a worker take, strangers included.
func (b *Board) Used(w ident.Worker) demand.Vector {
	if s, ok := b.workers[w]; ok {
		return s.used
	}
	return demand.Vector{}
}

// assign binds an attempt to a worker and takes its size.
func (b *Board) assign(t *Task, a Attempt, p Phase) {
	w := b.workers[a.Worker]
	if !w.tasks[t.Spec.Key] {
		w.tasks[t.Spec.Key] = true
		w.used = w.used.Plus(t.Spec.Size)
		b.fair.add(t.Spec.Team, t.Spec.Size)
	}
	t.Attempt = a
	b.setPhase(t, p)
	delete(b.pending, t.Spec.Key)
}

// release frees what the task's attempt takes.
func (b *Board) release(t *Task) {
	w, ok := b.workers[t.Attempt.Worker]
	if !ok || !w.tasks[t.Spec.Key] {
		return
	}
	delete(w.tasks, t.Spec.Key)
	w.used = w.used.Minus(t.Spec.Size)
	b.fair.sub(t.Spec.Team, t.Spec.Size)
}

// end makes a task whose attempt is proved to have ended pending again, or takes it off if it was to stop for good.
func (b *Board) end(t *Task) {
	if t.Stop {
		b.remove(t)
		return
	}
	b.release(t)
	b.setPhase(t, PhasePending)
	t.Attempt = Attempt{}
	t.Evict, t.saved = false, false
	delete(b.stopping, t.Spec.Key)
	b.pending[t.Spec.Key] = t
}

// sortedPending returns the pending tasks in the order in which they are to start.
func (b *Board) sortedPending() []*Task {
	out := make([]*Task, 0, len(b.pending))
	for _, t := range b.pending {
		out = append(out, t)
	}
	slices.SortFunc(out, b.compare)
	return out
}

// compare orders by urgency, then by the team that has least of its share, then by deadline, then by age.
func (b *Board) compare(x, y *Task) int {
	if x.Spec.Urgent != y.Spec.Urgent {
		if x.Spec.Urgent {
			return -1
		}
		return 1
	}
	if c := cmp.Compare(b.fair.level(x.Spec.Team), b.fair.level(y.Spec.Team)); c != 0 {
		return c
	}
	if !x.Spec.Deadline.Equal(y.Spec.Deadline) {
		if x.Spec.Deadline.IsZero() || (!y.Spec.Deadline.IsZero() && y.Spec.Deadline.Before(x.Spec.Deadline)) {
			return 1
		}
		return -1
	}
	if c := cmp.Compare(x.Spec.Order, y.Spec.Order); c != 0 {
		return c
	}
	return cmp.Compare(x.Spec.Key.Index, y.Spec.Key.Index)
}

// IsHeard reports whether the worker has answered since the board was made.
func (b *Board) IsHeard(w ident.Worker) bool {
	s, ok := b.workers[w]
	return ok && s.heard
}
