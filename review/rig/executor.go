package main

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// run is one run of a task.
type run struct {
	task      string
	number    uint64
	exec      *Executor
	step      *Step
	index     int
	startedAt time.Time
	// workingSince is when the run began to work.
	workingSince time.Time
	endedAt      time.Time
	how          string
	endNumber    uint64
	// isNoted is true once the end is acknowledged and the lease of the executor has not lapsed since.
	isNoted bool
	timer   *time.Timer
	gang    *gangRun
}

// gangRun is a run of a gang.
type gangRun struct {
	members map[int]*run
	isOver  bool
}

type endedRun struct {
	number uint64
	run    *run
}

// Executor is a sound executor as the pages describe it. The mutex of the World guards it.
type Executor struct {
	world    *World
	id       string
	address  string
	service  string
	zone     string
	labels   []string
	cpu      int
	memMB    int
	born     time.Time
	fence    uint64
	runs     map[string]*run
	highest  map[string]uint64
	ends     []endedRun
	lastEnd  uint64
	leaseMS  int64
	lapse    *time.Timer
	sequence int
	changed  chan struct{}
}

func (w *World) addExecutor(cpu, memMB int, labels ...string) *Executor {
	n := len(w.execs)
	x := &Executor{
		world: w, id: fmt.Sprintf("i-%d%07x", n+1, time.Now().UnixNano()&0xfffffff), address: fmt.Sprintf("%s.%d:8080", w.net, 101+n),
		service: "desk", zone: []string{"za", "zb", "zc"}[n%3], labels: append([]string{"a", fmt.Sprintf("r%d", n+1)}, labels...),
		cpu: cpu, memMB: memMB, born: time.Now(), runs: map[string]*run{}, highest: map[string]uint64{},
		changed: make(chan struct{}),
	}
	w.execs = append(w.execs, x)
	w.serve(x.address, x)
	go x.beat()
	return x
}

// beat writes the entry of the executor at intervals.
func (x *Executor) beat() {
	for {
		x.world.mu.Lock()
		x.sequence++
		b, err := json.Marshal(map[string]any{
			"service": x.service, "address": x.address, "zone": x.zone, "version": "v1", "capacity": 8, "state": "ready",
			"cold_remaining_ms": 0, "sequence": x.sequence, "labels": x.labels, "born": x.born.UnixMilli(), "clock_ms": x.clock(),
			"free_capacity": map[string]int{"cpu": x.cpu, "mem_mb": x.memMB, "gpus": 0},
		})
		x.world.mu.Unlock()
		if err == nil {
			x.world.store.Put("keyed.servers", x.id, b)
		}
		select {
		case <-x.world.done:
			return
		case <-time.After(beatInterval):
		}
	}
}

func (x *Executor) clock() int64 { return time.Since(x.born).Milliseconds() }

type order struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run_id"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	AckCursor  uint64 `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
	Percent    int    `json:"percent"`
}

func (x *Executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if r.URL.Path == "/health" {
		w.Header().Set("Ibischute-Instance-Id", x.id)
		return
	}
	if r.Header.Get("Ibischute-Target-Instance") != x.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	x.world.mu.Lock()
	if o.Fence < x.fence {
		x.answer(w, "fence", nil)
		return
	}
	x.fence = o.Fence
	switch r.URL.Path {
	case "/api/run-start":
		x.answer(w, x.start(o), nil)
	case "/api/run-stop":
		x.stop(o)
		x.answer(w, "", nil)
	case "/api/pace":
		x.answer(w, "", nil)
	case "/api/hold":
		x.hold(w, r, o)
	default:
		x.world.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
	}
}

// answer unlocks the world and writes the answer.
func (x *Executor) answer(w http.ResponseWriter, reason string, body map[string]any) {
	if body == nil {
		body = map[string]any{}
	}
	body["clock_ms"], body["born"] = x.clock(), x.born.UnixMilli()
	x.world.mu.Unlock()
	status := http.StatusOK
	if reason == "400" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if reason != "" {
		status = http.StatusConflict
		body["reason"] = reason
	}
	writeJSON(w, status, body)
}

// extend extends the lease of the executor, at most to the longest one from now.
func (x *Executor) extend(deadlineMS int64) {
	until := min(deadlineMS, x.clock()+maxHoldMS)
	if until <= x.leaseMS {
		return
	}
	x.leaseMS = until
	if x.lapse != nil {
		x.lapse.Stop()
	}
	x.lapse = time.AfterFunc(time.Duration(until-x.clock())*time.Millisecond, func() {
		x.world.mu.Lock()
		defer x.world.mu.Unlock()
		if x.clock() >= x.leaseMS {
			x.lapsed()
		}
	})
}

// lapsed ends all runs. Ends that are not acknowledged by now are never taken note of.
func (x *Executor) lapsed() {
	for _, e := range x.ends {
		e.run.isNoted = false
		e.run.endNumber = math.MaxUint64
	}
	for _, r := range x.runs {
		x.end(r, "lapsed")
	}
}

func parseTask(name string) (job string, step, index int, ok bool) {
	p := strings.Split(name, ".")
	if len(p) != 4 {
		return "", 0, 0, false
	}
	step, err1 := strconv.Atoi(p[2])
	index, err2 := strconv.Atoi(p[3])
	return p[0], step, index, err1 == nil && err2 == nil
}

func (x *Executor) start(o order) string {
	jobID, step, index, ok := parseTask(o.Task)
	job := x.world.jobs[jobID]
	if !ok || job == nil || step >= len(job.Steps) || index >= job.Steps[step].Count {
		x.world.breaks("UNASKED %s: %s is told to start what no client sent", o.Task, x.id)
		return "400"
	}
	if o.Spec != job.Spec {
		x.world.breaks("UNASKED %s: another spec", o.Task)
	}
	s := &job.Steps[step]
	if old := x.runs[o.Task]; old != nil && old.number == o.Run {
		return ""
	}
	if o.Run <= x.highest[o.Task] {
		x.extend(o.DeadlineMS)
		return "old"
	}
	if o.DeadlineMS <= x.clock() {
		return "late"
	}
	cpu, mem := s.CPU, s.MemMB
	for _, r := range x.runs {
		cpu, mem = cpu+r.step.CPU, mem+r.step.MemMB
	}
	if cpu > x.cpu || mem > x.memMB {
		x.extend(o.DeadlineMS)
		return "room"
	}
	x.extend(o.DeadlineMS)
	x.begin(o, s, index)
	return ""
}

func stepName(task string) string { return task[:strings.LastIndex(task, ".")] }

func (x *Executor) begin(o order, s *Step, index int) {
	r := &run{task: o.Task, number: o.Run, exec: x, step: s, index: index, startedAt: time.Now()}
	x.runs[o.Task] = r
	h := x.world.task(o.Task)
	h.runs = append(h.runs, r)
	x.world.noteRun("start %s run %d on %s, fencing token %d", o.Task, o.Run, x.id, o.Fence)
	if !s.Gang {
		x.work(r)
		return
	}
	key := stepName(o.Task) + "/" + strconv.FormatUint(o.Run, 10)
	g := x.world.gangs[key]
	if g == nil {
		g = &gangRun{members: map[int]*run{}}
		x.world.gangs[key] = g
	}
	r.gang = g
	g.members[index] = r
	if g.isOver {
		x.endLater(r, gangTimeout, "alone")
		return
	}
	if len(g.members) == s.Count {
		for _, m := range g.members {
			m.exec.work(m)
		}
		return
	}
	x.endLater(r, gangTimeout, "alone")
}

// work lets the run begin to work.
func (x *Executor) work(r *run) {
	if r.timer != nil {
		r.timer.Stop()
	}
	r.workingSince = time.Now()
	if after, ok := r.step.FailsAfter[r.index]; ok {
		x.endLater(r, after, "failed")
		return
	}
	if !r.step.LongRunning {
		x.endLater(r, r.step.Work, "done")
	}
}

func (x *Executor) endLater(r *run, after time.Duration, how string) {
	r.timer = time.AfterFunc(after, func() {
		x.world.mu.Lock()
		defer x.world.mu.Unlock()
		if x.runs[r.task] == r {
			x.end(r, how)
		}
	})
}

// end ends a run, and with it the other members of a gang at work.
func (x *Executor) end(r *run, how string) {
	if x.runs[r.task] != r {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(x.runs, r.task)
	x.highest[r.task] = max(x.highest[r.task], r.number)
	r.endedAt, r.how = time.Now(), how
	x.lastEnd++
	r.endNumber = x.lastEnd
	x.ends = append(x.ends, endedRun{x.lastEnd, r})
	x.world.noteRun("end %d on %s: %s run %d %s", x.lastEnd, x.id, r.task, r.number, how)
	close(x.changed)
	x.changed = make(chan struct{})
	if r.gang != nil && how == "alone" {
		delete(r.gang.members, r.index)
	}
	if g := r.gang; g != nil && !g.isOver && len(g.members) == r.step.Count {
		g.isOver = true
		for _, m := range g.members {
			other := "broken"
			if how == "done" {
				other = "done"
			}
			m.exec.end(m, other)
		}
	}
}

func (x *Executor) stop(o order) {
	x.highest[o.Task] = max(x.highest[o.Task], o.Run)
	r := x.runs[o.Task]
	if r == nil || r.number != o.Run {
		return
	}
	x.world.noteLocked("stop %s run %d on %s", o.Task, o.Run, x.id)
	time.AfterFunc(stopTime, func() {
		x.world.mu.Lock()
		defer x.world.mu.Unlock()
		x.end(r, "stopped")
	})
}

func (x *Executor) hold(w http.ResponseWriter, r *http.Request, o order) {
	if o.DeadlineMS > 0 {
		x.extend(o.DeadlineMS)
	}
	n := 0
	for n < len(x.ends) && x.ends[n].number <= o.AckCursor {
		if e := x.ends[n].run; e.endNumber == x.ends[n].number {
			e.isNoted = true
		}
		n++
	}
	if n > 0 {
		x.world.noteRun("ends up to %d on %s acknowledged, %d left", o.AckCursor, x.id, len(x.ends)-n)
	}
	x.ends = x.ends[n:]
	until := time.NewTimer(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	defer until.Stop()
	for isOver := o.WaitMS == 0; len(x.ends) == 0 && !isOver; {
		changed := x.changed
		x.world.mu.Unlock()
		select {
		case <-changed:
		case <-until.C:
			isOver = true
		case <-r.Context().Done():
			isOver = true
		}
		x.world.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, q := range x.runs {
		running = append(running, []any{q.task, q.number, "", q.percent(), q.step.CPU})
	}
	for _, e := range x.ends[:min(len(x.ends), endsListed)] {
		finished = append(finished, []any{e.number, e.run.task, e.run.number, e.run.how, ""})
	}
	if len(x.ends) > endsListed {
		x.world.noteLocked("list of %s: %d running, the first %d of %d ends", x.id, len(running), endsListed, len(x.ends))
	}
	x.answer(w, "", map[string]any{"running": running, "finished": finished})
}

func (r *run) percent() int {
	if r.workingSince.IsZero() {
		return 0
	}
	if r.step.LongRunning {
		return 100
	}
	total := r.step.Work
	if after, ok := r.step.FailsAfter[r.index]; ok {
		total = 2 * after
	}
	return int(min(99, 100*time.Since(r.workingSince)/max(1, total)))
}
