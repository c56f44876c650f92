// Package tasks decides which tasks start on which workers. It never lets a task run on two workers at once or a worker
// run more than its capacity.
//
// A placer is the instance that starts the tasks of a failure domain. A Board is its view of the cluster: the workers,
// the attempts that they reported, and the attempts that may run although no worker has reported them. A task may start
// again only after its last attempt has provably ended: the worker reported it, the worker confirmed a stop, or the
// attempt's lease has expired. The board does no I/O; its owner carries out the actions of Plan and reports their
// outcome.
//
// # Usage
//
//	b := tasks.NewBoard(tasks.Options{Epoch: epoch, Lease: lease, Since: now})
//	b.PutWorker(worker); b.PutTask(spec)
//	for _, a := range b.Plan(now) { execute(a) }
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

// AttemptNumber is the fencing token of an attempt; a later attempt of a task has a higher number.
type AttemptNumber uint64

// epochBits is the number of low bits of an AttemptNumber that hold the attempt count; the placer's epoch is in the
// bits above.
const epochBits = 24

// Spec describes a task.
type Spec struct {
	Key        Key
	Size       demand.Vector
	Team       ident.Team
	Urgent     bool
	Deadline   time.Time
	Checkpoint string
	// Order is the position in the queue.
	Order uint64
}

// Worker describes a worker as given in the worker list.
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
	// PhasePending means that the task has no attempt that may be running.
	PhasePending Phase = "pending"
	// PhaseStarting means that the start was sent, and the worker has not confirmed it.
	PhaseStarting Phase = "starting"
	// PhaseRunning means that the worker has confirmed that it runs the attempt.
	PhaseRunning Phase = "running"
	// PhaseUnconfirmed means that the attempt may be running on a worker that does not respond.
	PhaseUnconfirmed Phase = "uncertain"
	// PhaseStopping means that the stop was sent, and the worker has not confirmed it.
	PhaseStopping Phase = "stopping"
	// PhaseFinished means that the task has completed, and its completion is still to be recorded.
	PhaseFinished Phase = "finished"
)

// Attempt is the current attempt of a task.
type Attempt struct {
	Number AttemptNumber
	Worker ident.Worker
	// Until is when the lease has expired on every clock.
	Until tick.Time
	// Confirmed is when the worker first reported that it runs the attempt.
	Confirmed tick.Time
	// Tries is the number of start requests that were sent.
	Tries int
	// lastRequestAt is when the last start, checkpoint or stop request was sent; 0 makes the next one due at once.
	lastRequestAt tick.Time
}

// Task is a task tracked by the board.
type Task struct {
	Spec    Spec
	Phase   Phase
	Attempt Attempt
	// Stop requests the end of the attempt; the task is then removed.
	Stop bool
	// Evict requests a checkpoint and then the end of the attempt; the task is then pending again.
	Evict bool
	// isCheckpointSaved reports whether the checkpoint of the eviction is in the log.
	isCheckpointSaved bool
	// evictedForAt is when other tasks were last evicted for this one.
	evictedForAt tick.Time
	// FailedOn holds the workers on which the task failed.
	FailedOn map[ident.Worker]bool
}

type workerState struct {
	Worker
	// tasks holds the tasks whose current attempt is on the worker.
	tasks map[Key]bool
	// unknownAttempts holds the sizes of the attempts that the worker reported as running and the board does not track
	// on it, keyed by ReportedAttempt.Name.
	unknownAttempts map[string]demand.Vector
	// used is the total size of the tasks and the unknown attempts.
	used           demand.Vector
	hasResponded   bool
	lastResponseAt tick.Time
	isUnreachable  bool
	// failedJobs holds the jobs of the tasks that failed on the worker since a task last succeeded there.
	failedJobs       map[ident.Job]bool
	quarantinedUntil tick.Time
}

// Options are the settings of a Board.
type Options struct {
	// Epoch is the epoch of the placer's ownership. It makes attempt numbers increase from one placer to the next.
	Epoch ident.Offset
	// Lease is the duration of a worker lease, including the allowance for clock drift.
	Lease time.Duration
	// Since is when the placer started to act.
	Since tick.Time
	// Policy holds the rules that operators set in the bundle.
	Policy Policy
}

// Policy holds the rules that operators set in the bundle.
type Policy struct {
	// MaxFailures is the number of workers on which a task may fail before its job is given up.
	MaxFailures int
	// EvictionsPerHour limits the evictions on behalf of urgent tasks.
	EvictionsPerHour int
	// Share returns the weight of a team, and MaxCPU its CPU limit; 0 means no limit.
	Share  func(ident.Team) float64
	MaxCPU func(ident.Team) demand.MilliCPU
}

// Board tracks the tasks and workers of a placer. It is not safe for concurrent use.
type Board struct {
	opts         Options
	attemptCount uint64
	workers      map[ident.Worker]*workerState
	tasks        map[Key]*Task
	pending      map[Key]*Task
	finished     map[Key]*Task
	// stopping holds the tasks whose attempts are to be stopped or evicted.
	stopping map[Key]*Task
	// exhausted holds the tasks that have failed on Policy.MaxFailures workers.
	exhausted map[Key]*Task
	// awaitingExpiry holds the tasks whose attempt ends at the latest when its lease expires: those that are starting,
	// unconfirmed or stopping.
	awaitingExpiry map[Key]*Task
	fairShares     *fairShares
	evictionBudget evictionBudget
}

// NewBoard returns a Board without workers and tasks.
func NewBoard(o Options) *Board {
	return &Board{
		opts: o, workers: map[ident.Worker]*workerState{}, tasks: map[Key]*Task{}, pending: map[Key]*Task{},
		finished: map[Key]*Task{}, stopping: map[Key]*Task{}, exhausted: map[Key]*Task{},
		awaitingExpiry: map[Key]*Task{},
		fairShares:     newFairShares(o.Policy.Share), evictionBudget: evictionBudget{perHour: o.Policy.EvictionsPerHour},
	}
}

// UpdatePolicy applies a new policy and lease duration. A shorter lease takes effect only with the next placer, because
// attempts may still run under the longer one.
func (b *Board) UpdatePolicy(p Policy, lease time.Duration) {
	b.opts.Policy = p
	b.opts.Lease = max(b.opts.Lease, lease)
	b.fairShares.setWeights(p.Share)
	b.evictionBudget.perHour = p.EvictionsPerHour
}

// PutWorker adds or updates a worker.
func (b *Board) PutWorker(w Worker) {
	s, ok := b.workers[w.Name]
	if !ok {
		s = &workerState{
			tasks: map[Key]bool{}, unknownAttempts: map[string]demand.Vector{}, failedJobs: map[ident.Job]bool{},
		}
		b.workers[w.Name] = s
	}
	s.Worker = w
}

// RetainWorkers marks the workers for which keep is false as leaving, and removes those without tasks.
func (b *Board) RetainWorkers(keep func(ident.Worker) bool) {
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

// Workers returns the names of the workers in sorted order.
func (b *Board) Workers() []ident.Worker { return slices.Sorted(maps.Keys(b.workers)) }

// PutTask adds a pending task. If the task is already tracked, only its checkpoint is updated.
func (b *Board) PutTask(s Spec) {
	if t, ok := b.tasks[s.Key]; ok {
		t.Spec.Checkpoint = s.Checkpoint
		return
	}
	t := &Task{Spec: s, Phase: PhasePending, FailedOn: map[ident.Worker]bool{}}
	b.tasks[s.Key] = t
	b.pending[s.Key] = t
}

// DropTask removes a task that is done or whose job has ended. An attempt that may be running is stopped first.
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
	delete(b.exhausted, t.Spec.Key)
	delete(b.awaitingExpiry, t.Spec.Key)
}

// setPhase sets the phase of a task and updates awaitingExpiry.
func (b *Board) setPhase(t *Task, p Phase) {
	t.Phase = p
	if p == PhaseStarting || p == PhaseUnconfirmed || p == PhaseStopping {
		b.awaitingExpiry[t.Spec.Key] = t
		return
	}
	delete(b.awaitingExpiry, t.Spec.Key)
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

// Used returns the resources that may be in use on a worker, including those of unknown attempts.
func (b *Board) Used(w ident.Worker) demand.Vector {
	if s, ok := b.workers[w]; ok {
		return s.used
	}
	return demand.Vector{}
}

// assign binds an attempt to a worker and reserves the task's size there.
func (b *Board) assign(t *Task, a Attempt, p Phase) {
	w := b.workers[a.Worker]
	if !w.tasks[t.Spec.Key] {
		w.tasks[t.Spec.Key] = true
		w.used = w.used.Plus(t.Spec.Size)
		b.fairShares.add(t.Spec.Team, t.Spec.Size)
	}
	t.Attempt = a
	b.setPhase(t, p)
	delete(b.pending, t.Spec.Key)
}

// release frees the resources reserved for the task's attempt.
func (b *Board) release(t *Task) {
	w, ok := b.workers[t.Attempt.Worker]
	if !ok || !w.tasks[t.Spec.Key] {
		return
	}
	delete(w.tasks, t.Spec.Key)
	w.used = w.used.Minus(t.Spec.Size)
	b.fairShares.sub(t.Spec.Team, t.Spec.Size)
}

// endAttempt is called when the attempt of a task has provably ended. The task becomes pending again, or is removed if
// it was to be stopped.
func (b *Board) endAttempt(t *Task) {
	if t.Stop {
		b.remove(t)
		return
	}
	b.release(t)
	b.setPhase(t, PhasePending)
	t.Attempt = Attempt{}
	t.Evict, t.isCheckpointSaved = false, false
	delete(b.stopping, t.Spec.Key)
	b.pending[t.Spec.Key] = t
}

// sortedPending returns the pending tasks in the order in which they are to be started.
func (b *Board) sortedPending() []*Task {
	out := make([]*Task, 0, len(b.pending))
	for _, t := range b.pending {
		out = append(out, t)
	}
	slices.SortFunc(out, b.compare)
	return out
}

// compare orders tasks by urgency, then by the usage ratio of their teams, then by deadline, then by queue position and
// index.
func (b *Board) compare(x, y *Task) int {
	if x.Spec.Urgent != y.Spec.Urgent {
		if x.Spec.Urgent {
			return -1
		}
		return 1
	}
	if c := cmp.Compare(b.fairShares.usageRatio(x.Spec.Team), b.fairShares.usageRatio(y.Spec.Team)); c != 0 {
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

// HasResponded reports whether the worker has responded since the board was created.
func (b *Board) HasResponded(w ident.Worker) bool {
	s, ok := b.workers[w]
	return ok && s.hasResponded
}
