package plat

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/ibischute/ibischute/internal/modules/httpj"
	"github.com/ibischute/ibischute/internal/modules/roster"
	"github.com/ibischute/ibischute/internal/modules/workio"
	"github.com/ibischute/ibischute/pkg/demand"
)

const (
	maxTasksPerWorker = 4096
	// endedTaskRetention is how long the response to a sync contains an ended attempt.
	endedTaskRetention = 5 * time.Minute
)

type task struct {
	workio.Task
	progress time.Duration
	// advancedAt is when the progress was last updated. Once the task has ended, it is the time of the end.
	advancedAt time.Time
	leaseUntil time.Time
	isFailing  bool
}

type worker struct {
	entry roster.Entry
	tasks []*task
}

func (p *Platform) addWorker(e roster.Entry) {
	if w, ok := p.workers[e.Name]; ok {
		w.entry = e
		return
	}
	p.workers[e.Name] = &worker{entry: e}
}

func (w *worker) find(id workio.TaskID, attempt uint64) *task {
	for _, t := range w.tasks {
		if t.ID == id && t.Attempt == attempt {
			return t
		}
	}
	return nil
}

func (w *worker) used() demand.Vector {
	var sum demand.Vector
	for _, t := range w.tasks {
		if t.State == workio.StateRunning {
			sum = sum.Plus(t.Size)
		}
	}
	return sum
}

// advanceWorkers advances every running task and drops the oldest tasks of each worker beyond maxTasksPerWorker. The
// caller holds the mutex.
func (p *Platform) advanceWorkers(now time.Time) {
	for _, w := range p.workers {
		for _, t := range w.tasks {
			p.advanceTask(t, now)
		}
		if excess := len(w.tasks) - maxTasksPerWorker; excess > 0 {
			w.tasks = append([]*task{}, w.tasks[excess:]...)
		}
	}
}

// advanceTask adds the time since the last call to the progress of a running task and ends the task if it has finished
// or its lease has expired.
func (p *Platform) advanceTask(t *task, now time.Time) {
	if t.State != workio.StateRunning {
		return
	}
	t.progress += now.Sub(t.advancedAt)
	t.advancedAt = now
	switch {
	case t.progress >= time.Duration(t.RunMS)*time.Millisecond && t.isFailing:
		t.State = workio.StateFailed
	case t.progress >= time.Duration(t.RunMS)*time.Millisecond:
		t.State = workio.StateFinished
		p.report.Finished++
	case now.After(t.leaseUntil):
		t.State = workio.StateLeaseExpired
	}
}

func (p *Platform) countRunning() int {
	n := 0
	for _, w := range p.workers {
		for _, t := range w.tasks {
			if t.State == workio.StateRunning {
				n++
			}
		}
	}
	return n
}

func (p *Platform) handleSync(w http.ResponseWriter, r *http.Request) {
	req, err := httpj.Decode[workio.SyncRequest](r, maxBodyBytes)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	wk, ok := p.workers[chi.URLParam(r, "worker")]
	if !ok {
		http.Error(w, "no such worker", http.StatusNotFound)
		return
	}
	now := time.Now()
	p.advanceWorkers(now)
	for _, l := range req.Renew {
		if t := wk.find(l.ID, l.Attempt); t != nil && t.State == workio.StateRunning {
			t.leaseUntil = now.Add(time.Duration(l.LeaseMS) * time.Millisecond)
		}
	}
	out := make([]workio.Task, 0, len(wk.tasks))
	for _, t := range wk.tasks {
		if t.State == workio.StateRunning || now.Sub(t.advancedAt) < endedTaskRetention {
			out = append(out, t.Task)
		}
	}
	httpj.Write(w, http.StatusOK, out)
}

func (p *Platform) handleTask(w http.ResponseWriter, r *http.Request) {
	req, err := httpj.Decode[workio.Task](r, maxBodyBytes)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.advanceWorkers(now)
	wk, ok := p.workers[chi.URLParam(r, "worker")]
	if !ok {
		http.Error(w, "no such worker", http.StatusNotFound)
		return
	}
	if chi.URLParam(r, "verb") == "start" {
		p.start(w, wk, req, now)
		return
	}
	t := wk.find(req.ID, req.Attempt)
	if t == nil {
		http.Error(w, "no such attempt", http.StatusNotFound)
		return
	}
	p.handleVerb(w, chi.URLParam(r, "verb"), t)
}

func (p *Platform) handleVerb(w http.ResponseWriter, verb string, t *task) {
	switch verb {
	case "stop":
		if t.State == workio.StateRunning {
			t.State = workio.StateStopped
		}
	case "checkpoint":
		httpj.Write(w, http.StatusOK, workio.CheckpointResponse{Reference: checkpointReference(t)})
		return
	default:
		http.Error(w, "no such verb", http.StatusNotFound)
		return
	}
	httpj.Write(w, http.StatusOK, t.Task)
}

// checkpointReference returns a reference to a checkpoint of the task. It contains the progress in milliseconds.
func checkpointReference(t *task) string {
	return fmt.Sprintf("%s@%d", t.ID, t.progress.Milliseconds())
}

// CommandFail is the command of a task that fails at its end on any worker. RackFailing is the rack of a worker on
// which every task fails.
const (
	CommandFail = "fail"
	RackFailing = "failing"
)

func (p *Platform) start(w http.ResponseWriter, wk *worker, req workio.Task, now time.Time) {
	if existing := wk.find(req.ID, req.Attempt); existing != nil {
		httpj.Write(w, http.StatusOK, existing.Task)
		return
	}
	p.checkStart(wk, req)
	t := &task{Task: req, advancedAt: now, leaseUntil: now.Add(time.Duration(req.LeaseMS) * time.Millisecond)}
	t.State = workio.StateRunning
	t.progress = checkpointProgress(req.Checkpoint)
	t.isFailing = req.Command == CommandFail || wk.entry.Rack == RackFailing
	wk.tasks = append(wk.tasks, t)
	p.report.Started++
	httpj.Write(w, http.StatusOK, t.Task)
}

// checkpointProgress returns the progress that a checkpoint reference contains, or 0 without one.
func checkpointProgress(ref string) time.Duration {
	_, ms, ok := strings.Cut(ref, "@")
	if !ok {
		return 0
	}
	n, _ := strconv.ParseInt(ms, 10, 64)
	return time.Duration(n) * time.Millisecond
}

// checkStart records the violations that the start of a task causes: the capacity of the worker is exceeded, the task
// is still running or has finished, or the attempt is not newer than earlier ones.
func (p *Platform) checkStart(wk *worker, req workio.Task) {
	if used := wk.used().Plus(req.Size); !used.Fits(wk.entry.Capacity) {
		p.recordViolation(fmt.Sprintf("worker %s over capacity by task %s", wk.entry.Name, req.ID))
	}
	for name, other := range p.workers {
		for _, t := range other.tasks {
			if t.ID == req.ID && t.State == workio.StateRunning {
				p.recordViolation(fmt.Sprintf("task %s started on %s while attempt %d runs on %s",
					req.ID, wk.entry.Name, t.Attempt, name))
			}
			if t.ID == req.ID && t.State == workio.StateFinished {
				p.recordViolation(fmt.Sprintf("task %s started again after it finished", req.ID))
			}
			if t.ID == req.ID && t.Attempt >= req.Attempt {
				p.recordViolation(fmt.Sprintf("task %s attempt %d after attempt %d", req.ID, req.Attempt, t.Attempt))
			}
		}
	}
}
