package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"syscall"
	"time"
)

// foreign: an entry of another writer, with a service that no configuration names and the address of an executor, lies in
// the store.
func foreign(dir string, hasTrouble bool) *world {
	w := newWorld(dir, 3, 4)
	w.onSignal()
	w.awaitReady()
	step := stepSpec{Count: 4, CPU: 2000, MemMB: 500, EstimateMS: 15000, b: behavior{cpu: 2000, needMS: 15000}}
	j := &jobSpec{id: newID(), queue: "r-batch", Spec: "menu", Steps: []stepSpec{step}}
	w.submit(j, w.nodes[0])
	time.Sleep(4 * time.Second)
	var victim *executor
	w.mu.Lock()
	for _, x := range w.executors {
		if victim == nil && len(x.runs) > 0 {
			victim = x
		}
	}
	w.mu.Unlock()
	if victim == nil {
		w.fatal("no task has started")
	}
	if hasTrouble {
		e := victim.entry()
		e["born"] = time.Now().UnixMilli()
		switch os.Getenv("VARIANT") {
		case "type":
			e["version"], e["capacity"] = 7, "eight"
		case "missing":
			delete(e, "zone")
			delete(e, "version")
			delete(e, "sequence")
		default:
			e["service"] = "printing"
		}
		b, _ := json.Marshal(e)
		w.note("another writer writes servers/p-print1: %s", b)
		w.store.put("keyed.servers", "p-print1", b)
	}
	time.Sleep(25 * time.Second)
	w.checkStates(j)
	return w
}

// crashes: executors crash one after the other, each of them while it runs the task of one job.
func crashes(dir string, hasTrouble bool) *world {
	w := newWorld(dir, 3, 8)
	w.onSignal()
	w.awaitReady()
	step := stepSpec{Count: 1, CPU: 2000, MemMB: 500, LongRunning: true, b: behavior{cpu: 2000, lasting: true}}
	j := &jobSpec{id: newID(), queue: "r-watch", Spec: "watch", Steps: []stepSpec{step}}
	w.submit(j, w.nodes[0])
	for i := 0; i < 3; i++ {
		time.Sleep(6 * time.Second)
		w.mu.Lock()
		var victim *executor
		for _, x := range w.executors {
			if len(x.runs) > 0 {
				victim = x
			}
		}
		w.mu.Unlock()
		if hasTrouble && victim != nil {
			victim.crash()
			time.Sleep(2 * time.Second)
			victim.start()
		}
	}
	time.Sleep(14 * time.Second)
	w.checkStates(j)
	return w
}

// checkStates asks for the states of the jobs and compares them with what the executors have seen.
func (w *world) checkStates(jobs ...*jobSpec) {
	for _, j := range jobs {
		if j.acceptedAt.IsZero() {
			continue
		}
		state := ""
		for try := 0; try < 8 && state == ""; try++ {
			state = w.show(j, w.nodes[try%len(w.nodes)])
			if state == "" {
				time.Sleep(500 * time.Millisecond)
			}
		}
		w.mu.Lock()
		w.judge(j, state)
		w.mu.Unlock()
	}
}

// judge compares the state that was shown with what the executors have seen. The mutex must be held.
func (w *world) judge(j *jobSpec, state string) {
	c := w.check
	j.state = state
	allDone, missing, maxFailed, working := true, "", 0, 0
	for k := range max(1, j.RepeatCount) {
		for i, s := range j.Steps {
			isGangDone, gangFailed := false, 0
			for n := range s.Count {
				ts := c.task(taskName{j.id, k, i, n})
				isGangDone = isGangDone || len(ts.done) > 0
				if len(ts.done) == 0 && !s.Gang {
					allDone = false
					missing = (&run{task: taskName{j.id, k, i, n}}).text()
				}
				maxFailed = max(maxFailed, ts.failed)
				gangFailed += ts.failed
				for _, r := range ts.runs {
					if !r.isOver {
						working++
					}
				}
			}
			if s.Gang {
				maxFailed = max(maxFailed, gangFailed)
			}
			if s.Gang && !isGangDone {
				allDone = false
				missing = (&run{task: taskName{j.id, k, i, 0}}).text() + " (gang)"
			}
		}
	}
	isCancelled := !j.cancelSentAt.IsZero()
	switch {
	case state == "":
		c.fail("LOST", "job %s gets no answer", j.id)
	case state == "410" && !isCancelled:
		c.fail("LOST", "job %s is not known", j.id)
	case state == "completed" && !allDone:
		c.fail("MIXED", "job %s is shown as completed, but %s has not ended done", j.id, missing)
	case state == "failed" && !isCancelled && maxFailed < j.maxAttempts:
		c.fail("LOST", "job %s is shown as failed after at most %d failed runs of a task; %d are allowed", j.id, maxFailed, j.maxAttempts)
	case state == "cancelled" && !isCancelled:
		c.fail("LOST", "job %s is shown as cancelled, and nobody has cancelled it", j.id)
	case (state == "queued" || state == "running") && !isCancelled && working == 0:
		c.fail("LOST", "job %s is %s, and nothing of it runs", j.id, state)
	}
}

func (r *run) text() string {
	b, _ := json.Marshal([]int{r.task.occ, r.task.step, r.task.index})
	return r.task.job + string(b)
}

// clock: an executor is added, crashes soon after its start, and starts again after the time of day of its machine was set
// back by 2 s.
func clock(dir string, hasTrouble bool) *world {
	w := newWorld(dir, 3, 8)
	w.onSignal()
	x := w.executors[0]
	x.crash()
	w.awaitReady()
	time.Sleep(8 * time.Second)
	step := stepSpec{
		Count: 8, CPU: 2000, MemMB: 500, EstimateMS: 3000, AntiAffinity: 1, b: behavior{cpu: 2000, needMS: 3000},
	}
	j := &jobSpec{id: newID(), queue: "r-batch", Spec: "menu", Steps: []stepSpec{step}}
	w.submit(j, w.nodes[0])
	x.start()
	for i := 0; i < 30 && w.countRuns(x) == 0; i++ {
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	x.crash()
	time.Sleep(100 * time.Millisecond)
	if hasTrouble {
		w.note("the time of day of the machine of %s jumps back by 2 s", x.id)
		x.clockError = -2 * time.Second
	}
	x.start()
	time.Sleep(35 * time.Second)
	w.checkStates(j)
	return w
}

func (w *world) countRuns(x *executor) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(x.runs)
}

// settings: the settings files of three machines in five change, to a bound that is a fraction, and the machines are
// stopped and started in turn.
func settings(dir string, hasTrouble bool) *world {
	w := newWorld(dir, 5, 4)
	w.onSignal()
	w.awaitReady()
	step := stepSpec{Count: 4, CPU: 2000, MemMB: 500, EstimateMS: 3000, b: behavior{cpu: 2000, needMS: 3000}}
	j := &jobSpec{id: newID(), queue: "r-batch", Spec: "menu", Steps: []stepSpec{step}}
	w.submit(j, w.nodes[0])
	changed := w.nodes[:3]
	for _, n := range changed {
		if hasTrouble {
			n.changeSettings("stop_timeout_ms = 200", "stop_timeout_ms = 187.5")
		}
		n.signal(syscall.SIGHUP)
		time.Sleep(time.Second)
	}
	for _, n := range changed {
		n.signal(syscall.SIGTERM)
		time.Sleep(1300 * time.Millisecond)
	}
	time.Sleep(30 * time.Second)
	w.checkStates(j)
	ended := 0
	for _, n := range w.nodes {
		n.mu.Lock()
		if n.ends >= 3 {
			ended++
		}
		n.mu.Unlock()
	}
	w.mu.Lock()
	if ended >= 2 {
		w.check.fail("Fault", "on %d of %d machines, processes have ended by themselves three times or more", ended, len(w.nodes))
	}
	w.mu.Unlock()
	return w
}

// changeSettings replaces a line of the settings file of the node.
func (n *node) changeSettings(from, to string) {
	b, err := os.ReadFile(n.settings)
	if err != nil || !bytes.Contains(b, []byte(from)) {
		n.w.fatal("settings of %s: %v", n.name, err)
	}
	if err := os.WriteFile(n.settings, bytes.Replace(b, []byte(from), []byte(to), 1), 0o600); err != nil {
		n.w.fatal("settings of %s: %v", n.name, err)
	}
	n.w.note("the settings of %s change: %s instead of %s", n.name, to, from)
}

// config: the configuration changes to a latency target that is a fraction, and all processes are killed.
func config(dir string, hasTrouble bool) *world {
	w := newWorld(dir, 3, 4)
	w.onSignal()
	w.awaitReady()
	step := stepSpec{
		Count: 4, CPU: 2000, MemMB: 500, EstimateMS: 12000, Checkpointed: true,
		b: behavior{cpu: 2000, needMS: 12000, saves: true},
	}
	j := &jobSpec{id: newID(), queue: "r-batch", Spec: "menu", Steps: []stepSpec{step}}
	w.submit(j, w.nodes[0])
	time.Sleep(3 * time.Second)
	w.targetMS = 250
	if hasTrouble {
		w.targetMS = 250.5
	}
	w.note("the operator writes version 2: target_latency_ms %v", w.targetMS)
	w.writeConfig(2)
	time.Sleep(5 * time.Second)
	for _, n := range w.nodes {
		n.signal(syscall.SIGKILL)
	}
	time.Sleep(40 * time.Second)
	w.checkStates(j)
	return w
}

const (
	// lastingWait is how long after its last run a task that lasts may be without one, and idleSpan the time for which it
	// then has to be idle. calmBefore is the time without a disruption before that.
	lastingWait = 6 * time.Second
	idleSpan    = 3 * time.Second
	calmBefore  = 4 * time.Second
)

// guard: an executor crashes once that runs many tasks that last; there is room for all of them elsewhere.
func guard(dir string, hasTrouble bool) *world {
	executorCPU = 64000
	w := newWorld(dir, 3, 8)
	w.onSignal()
	w.awaitReady()
	step := stepSpec{Count: 12, CPU: 400, MemMB: 400, LongRunning: true, b: behavior{cpu: 400, lasting: true}}
	var jobs []*jobSpec
	for i := range guardJobs {
		s := step
		j := &jobSpec{id: newID(), queue: "r-watch", Spec: fmt.Sprintf("watch %d", i), Steps: []stepSpec{s}}
		jobs = append(jobs, j)
		w.submit(j, w.nodes[i%len(w.nodes)])
	}
	time.Sleep(8 * time.Second)
	victim := w.executors[0]
	for _, x := range w.executors {
		w.note("executor %s runs %d tasks", x.id, w.countRuns(x))
		if w.countRuns(x) > w.countRuns(victim) {
			victim = x
		}
	}
	if hasTrouble {
		victim.crash()
		time.Sleep(2 * time.Second)
		victim.start()
	}
	calmSince := time.Now()
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		w.checkLasting(calmSince, jobs)
	}
	w.checkStates(jobs...)
	return w
}

const guardJobs = 12

// checkLasting checks that each task that lasts runs, as far as the rule asks for it now.
func (w *world) checkLasting(calmSince time.Time, jobs []*jobSpec) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.Sub(calmSince) < calmBefore+idleSpan {
		return
	}
	for _, j := range jobs {
		for n := range j.Steps[0].Count {
			ts := w.check.task(taskName{j.id, 0, 0, n})
			if ts.isReported || ts.runs == nil || !ts.runs[len(ts.runs)-1].isOver {
				continue
			}
			if idle := now.Sub(ts.runs[len(ts.runs)-1].overAt); idle >= lastingWait+idleSpan {
				ts.isReported = true
				used := 0
				for _, x := range w.executors {
					used += len(x.runs)
				}
				w.check.fail("LOST", "%s.0.0.%d is to last and has had no run for %v; %d tasks of 0.4 cores run on 512 cores",
					j.id, n, idle.Round(100*time.Millisecond), used)
			}
		}
	}
}
