package tasks

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ibischute/ibischute/internal/state/lease"
	"github.com/ibischute/ibischute/pkg/demand"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

const (
	modelLease = 2 * time.Second
	modelTasks = 6
)

var modelCapacity = demand.Vector{CPU: 4, Memory: 4, Accelerators: 1}

type modelAttempt struct {
	key    Key
	number AttemptNumber
	size   demand.Vector
	until  tick.Time
	state  ReportedState
}

type modelWorker struct {
	name     ident.Worker
	attempts []*modelAttempt
}

// model simulates workers that behave as the platform specifies, and a placer that may be replaced at any time.
type model struct {
	t       *rapid.T
	now     tick.Time
	epoch   ident.Offset
	board   *Board
	workers []*modelWorker
	done    map[Key]bool
	sizes   map[Key]demand.Vector
	// saved holds the checkpoints in the log.
	saved   map[Key]string
	leaving map[ident.Worker]bool
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, done: map[Key]bool{}, sizes: map[Key]demand.Vector{}, now: 1,
		saved: map[Key]string{}, leaving: map[ident.Worker]bool{},
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "workers") {
		m.workers = append(m.workers, &modelWorker{name: ident.Worker(fmt.Sprintf("w%d", i))})
	}
	for i := range modelTasks {
		m.sizes[Key{Job: "j", Index: uint32(i)}] = demand.Vector{
			CPU: demand.MilliCPU(rapid.IntRange(1, 3).Draw(t, "cpu")), Memory: 1,
		}
	}
	m.replacePlacer()
	return m
}

// replacePlacer starts a new placer that has only the state in the log.
func (m *model) replacePlacer() {
	m.epoch++
	m.board = NewBoard(Options{
		Epoch: m.epoch, Lease: lease.WithDrift(modelLease), Since: m.now,
		Policy: Policy{MaxFailures: 2, EvictionsPerHour: 10_000},
	})
	m.putWorkers()
	for i := range modelTasks {
		k := Key{Job: "j", Index: uint32(i)}
		if !m.done[k] {
			m.board.PutTask(Spec{Key: k, Size: m.sizes[k], Team: "t", Urgent: i < 2, Checkpoint: m.saved[k]})
		}
	}
}

func (m *model) putWorkers() {
	for _, w := range m.workers {
		m.board.PutWorker(Worker{Name: w.name, Capacity: modelCapacity, Leaving: m.leaving[w.name]})
	}
}

func (m *model) worker(label string) *modelWorker {
	return m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(m.t, label)]
}

func (m *model) find(name ident.Worker) *modelWorker {
	for _, w := range m.workers {
		if w.name == name {
			return w
		}
	}
	return nil
}

func (w *modelWorker) attempt(k Key, n AttemptNumber) *modelAttempt {
	for _, a := range w.attempts {
		if a.key == k && a.number == n {
			return a
		}
	}
	return nil
}

var (
	errLost    = fault.New(fault.CodeUnknownOutcome, fault.Unknown, "lost")
	errNotSent = fault.New(fault.CodeUnavailable, fault.NotRun, "down")
)

// executePlan carries out the board's plan. The request or the response of any call may be lost.
func (m *model) executePlan() {
	for _, a := range m.board.Plan(m.now) {
		err := m.execute(a)
		switch a.Kind {
		case KindStart:
			m.board.Started(m.now, a.Task.Spec.Key, a.Number, err)
		case KindStop:
			m.board.Stopped(a.Task.Spec.Key, a.Number, err)
		case KindCheckpoint:
			if err == nil {
				m.board.CheckpointSaved(a.Task.Spec.Key, a.Number, m.saved[a.Task.Spec.Key])
			}
		}
	}
}

func (m *model) execute(a Action) error {
	outcome := rapid.SampledFrom([]string{"ok", "ok", "lost-request", "lost-answer", "down"}).Draw(m.t, "call")
	switch outcome {
	case "lost-request":
		return errLost
	case "down":
		return errNotSent
	}
	w := m.find(a.Worker)
	if a.Kind == KindStart {
		m.start(w, a)
	} else if a.Kind == KindCheckpoint {
		m.saved[a.Task.Spec.Key] = fmt.Sprint(a.Number)
	} else if at := w.attempt(a.Task.Spec.Key, a.Number); at != nil && at.state == ReportedRunning {
		at.state = ReportedEnded
	}
	if outcome == "lost-answer" {
		return errLost
	}
	return nil
}

// start is idempotent per worker, as the platform specifies.
func (m *model) start(w *modelWorker, a Action) {
	if w.attempt(a.Task.Spec.Key, a.Number) != nil {
		return
	}
	if m.done[a.Task.Spec.Key] {
		m.t.Fatalf("%v starts after it was recorded as done", a.Task.Spec.Key)
	}
	if a.Task.Spec.Checkpoint != m.saved[a.Task.Spec.Key] {
		m.t.Fatalf("%v resumes from %q, the log has %q", a.Task.Spec.Key, a.Task.Spec.Checkpoint, m.saved[a.Task.Spec.Key])
	}
	w.attempts = append(w.attempts, &modelAttempt{
		key: a.Task.Spec.Key, number: a.Number, size: a.Task.Spec.Size, until: m.now.Add(modelLease), state: ReportedRunning,
	})
	m.check()
}

// sync requests the list of a worker and renews its leases.
func (m *model) sync(w *modelWorker) {
	renew := m.board.Renewals(w.name)
	sent := m.now
	outcome := rapid.SampledFrom([]string{"ok", "ok", "ok", "lost-request", "lost-answer"}).Draw(m.t, "sync")
	var list []ReportedAttempt
	if outcome != "lost-request" {
		for k, n := range renew {
			if a := w.attempt(k, n); a != nil && a.state == ReportedRunning {
				a.until = m.now.Add(modelLease)
			}
		}
		for _, a := range w.attempts {
			name := fmt.Sprint(a.key, a.number)
			list = append(list, ReportedAttempt{Key: a.key, Number: a.number, State: a.state, Size: a.size, Name: name})
		}
	}
	if rapid.Bool().Draw(m.t, "slow") {
		m.executePlan()
		m.advance(time.Duration(rapid.Int64Range(0, int64(modelLease)).Draw(m.t, "took")))
	}
	if outcome != "ok" {
		m.board.Unreachable(m.now, w.name, len(renew) > 0)
		return
	}
	m.board.ApplyReport(m.now, sent, w.name, list, len(renew) > 0)
}

func (m *model) advance(d time.Duration) {
	m.now = m.now.Add(d)
	for _, w := range m.workers {
		for _, a := range w.attempts {
			if a.state == ReportedRunning && m.now.After(a.until) {
				a.state = ReportedEnded
			}
		}
	}
}

// record writes the finished tasks to the log, as the placer does.
func (m *model) record() {
	for _, t := range m.board.Finished() {
		m.done[t.Spec.Key] = true
		m.board.DropTask(t.Spec.Key)
	}
}

// readLog applies recorded checkpoints to the board, as the fold of the stream does, including those whose response was
// lost.
func (m *model) readLog() {
	for k, ref := range m.saved {
		if t, ok := m.board.Get(k); ok && !m.done[k] {
			t.Spec.Checkpoint = ref
			m.board.PutTask(t.Spec)
		}
	}
}

// check verifies that each task runs on at most one worker and that no worker exceeds its capacity.
func (m *model) check() {
	places := map[Key]int{}
	for _, w := range m.workers {
		var used demand.Vector
		for _, a := range w.attempts {
			if a.state == ReportedRunning {
				places[a.key]++
				used = used.Plus(a.size)
			}
		}
		if !used.Fits(modelCapacity) {
			m.t.Fatalf("%s runs %v, its capacity is %v", w.name, used, modelCapacity)
		}
	}
	for k, n := range places {
		if n > 1 {
			m.t.Fatalf("%v runs on %d workers", k, n)
		}
	}
}

func (m *model) step() {
	m.readLog()
	switch rapid.SampledFrom([]string{
		"act", "act", "sync", "sync", "sync", "advance", "end", "worker-restart", "placer", "record", "drop", "evict",
		"leave", "return", "refeed",
	}).Draw(m.t, "step") {
	case "act":
		m.executePlan()
	case "sync":
		m.sync(m.worker("synced"))
	case "advance":
		m.advance(time.Duration(rapid.Int64Range(0, int64(modelLease)).Draw(m.t, "advance")))
	case "end":
		w := m.worker("ends")
		if len(w.attempts) > 0 {
			a := w.attempts[rapid.IntRange(0, len(w.attempts)-1).Draw(m.t, "attempt")]
			if a.state == ReportedRunning {
				a.state = rapid.SampledFrom([]ReportedState{ReportedFinished, ReportedFailed}).Draw(m.t, "end-state")
			}
		}
	case "worker-restart":
		m.worker("restarts").attempts = nil
	case "placer":
		m.replacePlacer()
	case "evict":
		m.board.Evict(Key{Job: "j", Index: uint32(rapid.IntRange(0, modelTasks-1).Draw(m.t, "evicted"))})
	case "leave":
		m.leaving[m.worker("leaves").name] = true
		m.putWorkers()
	case "return":
		m.leaving = map[ident.Worker]bool{}
		m.putWorkers()
	case "refeed":
		for k, size := range m.sizes {
			if !m.done[k] {
				m.board.PutTask(Spec{Key: k, Size: size, Team: "t", Checkpoint: m.saved[k]})
			}
		}
	case "record":
		m.record()
	case "drop":
		k := Key{Job: "j", Index: uint32(rapid.IntRange(0, modelTasks-1).Draw(m.t, "dropped"))}
		m.done[k] = true
		m.board.DropTask(k)
	}
	m.check()
}

// TestTaskRunsOnOneWorkerAtATime guards against a task running on two workers and against overcommitted workers. It
// runs random schedules with lost calls, slow responses, expired leases, restarted workers and replaced placers.
func TestTaskRunsOnOneWorkerAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			m.step()
		}
	})
}

// TestAllTasksFinishWithoutFaults checks that the model test is not vacuous: without faults every task that fits
// finishes.
func TestAllTasksFinishWithoutFaults(t *testing.T) {
	b := NewBoard(Options{Epoch: 1, Lease: modelLease, Since: 1})
	b.PutWorker(Worker{Name: "w", Capacity: modelCapacity})
	now := tick.Time(2)
	b.ApplyReport(now, now, "w", nil, false)
	for i := range modelTasks {
		b.PutTask(Spec{Key: Key{Job: "j", Index: uint32(i)}, Size: demand.Vector{CPU: 2, Memory: 1}})
	}
	finished := 0
	for range modelTasks {
		var list []ReportedAttempt
		for _, a := range b.Plan(now) {
			b.Started(now, a.Task.Spec.Key, a.Number, nil)
			list = append(list, ReportedAttempt{Key: a.Task.Spec.Key, Number: a.Number, State: ReportedFinished})
		}
		now = now.Add(time.Second)
		b.ApplyReport(now, now, "w", list, true)
		for _, t := range b.Finished() {
			b.DropTask(t.Spec.Key)
			finished++
		}
	}
	if finished != modelTasks {
		t.Fatalf("%d of %d tasks finished", finished, modelTasks)
	}
}
