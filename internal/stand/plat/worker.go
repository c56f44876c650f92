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
	maxEndedTasks = 4096
	// endedShown is how long an ended attempt stays in the list of its worker.
	endedShown = 5 * time.Minute
)

type task struct {
	workio.Task
	progress time.Duration
	stepped  time.Time
	lease    time.Time
	fails    bool
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

// stepWorkers advances every running task; the caller holds the lock.
func (p *Platform) stepWorkers(now time.Time) {
	for _, w := range p.workers {
		for _, t := range w.tasks {
			p.step(t, now)
		}
		if extra := len(w.tasks) - maxEndedTasks; extra > 0 {
			w.tasks = append([]*task{}, w.tasks[extra:]...)
		}
	}
}

func (p *Platform) step(t *task, now time.Time) {
	if t.State != workio.StateRunning {
		return
	}
	t.progress += now.Sub(t.stepped)
	t.stepped = now
	switch {
	case t.progress >= time.Duration(t.RunMS)*time.Millisecond && t.fails:
		t.State = workio.StateFailed
	case t.progress >= time.Duration(t.RunMS)*time.Millisecond:
		t.State = workio.StateFinished
		p.report.Finished++
	case now.After(t.lease):
		t.State = workio.StateLapsed
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
	req, err := httpj.Decode[workio.SyncRequest](r, maxBody)
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
	p.stepWorkers(now)
	for _, l := range req.Renew {
		if t := wk.find(l.ID, l.Attempt); t != nil && t.State == workio.StateRunning {
			t.lease = now.Add(time.Duration(l.LeaseMS) * time.Millisecond)
		}
	}
	out := make([]workio.Task, 0, len(wk.tasks))
	for _, t := range wk.tasks {
		if t.State == workio.StateRunning || now.Sub(t.stepped) < endedShown {
			out = append(out, t.Task)
		}
	}
	httpj.Write(w, http.StatusOK, out)
}

func (p *Platform) handleTask(w http.ResponseWriter, r *http.Request) {
	req, err := httpj.Decode[workio.Task](r, maxBody)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.stepWorkers(now)
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
	p.command(w, chi.URLParam(r, "verb"), t)
}

func (p *Platform) command(w http.ResponseWriter, verb string, t *task) {
	switch verb {
	case "stop":
		if t.State == workio.StateRunning {
			t.State = workio.StateStopped
		}
	case "checkpoint":
		httpj.Write(w, http.StatusOK, workio.CheckpointResponse{Reference: reference(t)})
		return
	default:
		http.Error(w, "no such verb", http.StatusNotFound)
		return
	}
	httpj.Write(w, http.StatusOK, t.Task)
}

func reference(t *task) string {
	return fmt.Sprintf("%s@%d", t.ID, t.progress.Milliseconds())
}

// CommandFail makes a task fail at its end wherever it runs, and RackFailing makes a worker fail everything.
const (
	CommandFail = "fail"
	RackFailing = "failing"
)

func (p *Platform) start(w http.ResponseWriter, wk *worker, req workio.Task, now time.Time) {
	if known := wk.find(req.ID, req.Attempt); known != nil {
		httpj.Write(w, http.StatusOK, known.Task)
		return
	}
	p.checkStart(wk, req)
	t := &task{Task: req, stepped: now, lease: now.Add(time.Duration(req.LeaseMS) * time.Millisecond)}
	t.State = workio.StateRunning
	t.progress = resumeFrom(req.Checkpoint)
	t.fails = req.Command == CommandFail || wk.entry.Rack == RackFailing
	wk.tasks = append(wk.tasks, t)
	p.report.Started++
	httpj.Write(w, http.StatusOK, t.Task)
}

func resumeFrom(ref string) time.Duration {
	_, ms, ok := strings.Cut(ref, "@")
	if !ok {
		return 0
	}
	n, _ := strconv.ParseInt(ms, 10, 64)
	return time.Duration(n) * time.Millisecond
}

// checkStart records the promises that a start breaks.
func (p *Platform) checkStart(wk *worker, req workio.Task) {
	if used := wk.used().Plus(req.Size); !used.Fits(wk.entry.Capacity) {
		p.violate(fmt.Sprintf("worker %s over capacity by task %s", wk.entry.Name, req.ID))
	}
	for name, other := range p.workers {
		for _, t := range other.tasks {
			if t.ID == req.ID && t.State == workio.StateRunning {
				p.violate(fmt.Sprintf("task %s started on %s while attempt %d runs on %s",
					req.ID, wk.entry.Name, t.Attempt, name))
			}
			if t.ID == req.ID && t.State == workio.StateFinished {
				p.violate(fmt.Sprintf("task %s started again after it finished", req.ID))
			}
			if t.ID == req.ID && t.Attempt >= req.Attempt {
				p.violate(fmt.Sprintf("task %s attempt %d after attempt %d", req.ID, req.Attempt, t.Attempt))
			}
		}
	}
}
