package main

import (
	"time"
)

// history has the runs of a task.
type history struct {
	starts      []time.Time
	ends        []*endRecord
	checkpoints map[string]bool
	alone       int
}

// endRecord is the end of a run. isLapsed is true if the executor's lease has lapsed since, before the end was taken note
// of.
type endRecord struct {
	x        *executor
	run      uint64
	how      string
	at       time.Time
	isAcked  bool
	isLapsed bool
}

func (w *world) historyOf(task string) *history {
	h, ok := w.history[task]
	if !ok {
		h = &history{checkpoints: map[string]bool{}}
		w.history[task] = h
	}
	return h
}

// saved notes a checkpoint. That of any member of a gang is valid for the gang.
func (w *world) saved(r *activeRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.tasks[r.task]
	for name, o := range w.tasks {
		if t != nil && (name == r.task || t.step.Gang && o.stepName == t.stepName) {
			w.historyOf(name).checkpoints[r.checkpoint] = true
		}
	}
}

// lapsed notes that the lease of the executor has lapsed. Its mutex is held.
func (w *world) lapsed(x *executor) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range x.ends {
		for _, r := range w.historyOf(e.task).ends {
			if r.x == x && r.run == e.number && !r.isAcked {
				r.isLapsed = true
			}
		}
	}
}

// checkHistory checks the starts against the ends that were taken note of.
func (w *world) checkHistory() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, h := range w.history {
		t := w.tasks[name]
		if t == nil || t.step.LongRunning {
			continue
		}
		for _, s := range h.starts {
			failed := 0
			for _, e := range h.ends {
				if !e.isAcked || !e.at.Before(s) {
					continue
				}
				if e.how == "done" {
					w.break_("TWICE: %s started %v after its run %d had ended done on %s", name, s.Sub(e.at), e.run, e.x.id)
				}
				if e.how == "failed" {
					failed++
				}
			}
			if failed >= t.job.queue.MaxAttempts {
				w.break_("BUDGET: %s started after %d failed runs", name, failed)
			}
		}
	}
}

// over_ notes a start that brings an executor over its capacity.
func (w *world) over_(x *executor, r *activeRun, free room) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.break_("LIMIT: %s needs %v, free is %v", describe(x, r), r.need, free)
}
