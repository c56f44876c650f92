package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// room is the capacity of an executor, or what a task requests of it.
type room struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem_mb"`
	GPUs  int64 `json:"gpus"`
}

// activeRun is a run that an executor has.
type activeRun struct {
	task      string
	number    uint64
	startedAt time.Time
	// duration is how long the run works; 0 if it does not end by itself.
	duration   time.Duration
	fails      bool
	checkpoint string
	need       room
	gang       *gang
	// stopAt is when a stop ends the run; zero if there is none.
	stopAt time.Time
	isOver bool
	// isSaving is true if the run writes a checkpoint for each second of work; saved is the number of them.
	isSaving bool
	saved    int64
}

// ending is a row of an executor's list of ends.
type ending struct {
	cursor     uint64
	task       string
	number     uint64
	how        string
	checkpoint string
}

// executor is one process of an executor. It keeps to the page on running tasks.
type executor struct {
	w       *world
	id      string
	address string
	service string
	zone    string
	labels  []string
	room    room
	guards  bool
	born    int64

	mu       sync.Mutex
	started  time.Time
	token    uint64
	deadline int64
	runs     map[string]*activeRun
	ends     []ending
	cursor   uint64
	// last has the highest run of each task that was started, stopped or ended here.
	last     map[string]uint64
	sequence int
	isDown   bool
	draining bool
	// isSilent is true while the executor writes no entries.
	isSilent bool
	changed  chan struct{}
	server   *http.Server
	listener net.Listener
	// delay, if set, returns for how long the response to a call is kept back, and refuse whether it is answered with 503.
	delay  func(path string) time.Duration
	refuse func(path string) bool
	// late, if set, returns after which time a call without a response is carried out; 0 if it is answered.
	late func(path string) time.Duration
}

// startExecutor starts a process of an executor at the address and has it write its entry, the first time after the
// pause.
func (w *world) startExecutor(x *executor, firstEntryAfter time.Duration) error {
	x.w = w
	x.born, x.started = time.Now().UnixMilli(), time.Now()
	x.runs, x.last, x.changed = map[string]*activeRun{}, map[string]uint64{}, make(chan struct{})
	l, err := listenRetry(x.address)
	if err != nil {
		return err
	}
	x.listener = l
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", x.handle(x.start))
	mux.HandleFunc("POST /api/run-stop", x.handle(x.stop))
	mux.HandleFunc("POST /api/hold", x.handle(x.hold))
	mux.HandleFunc("POST /api/pace", x.handle(x.pace))
	x.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = x.server.Serve(l) }()
	go x.run()
	go x.announce(firstEntryAfter)
	w.setExecutor(x)
	w.note("executor %s up at %s, born %d, labels %v", x.id, x.address, x.born, x.labels)
	return nil
}

func listenRetry(address string) (net.Listener, error) {
	var err error
	for range 100 {
		var l net.Listener
		if l, err = net.Listen("tcp", address); err == nil {
			return l, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, err
}

// crash ends the process at once, with all its runs.
func (x *executor) crash() {
	x.mu.Lock()
	x.isDown = true
	for _, r := range x.runs {
		x.w.ended(x, r, "crashed")
	}
	x.runs = map[string]*activeRun{}
	x.mu.Unlock()
	_ = x.server.Close()
	x.w.note("executor %s crashed", x.id)
}

// announce writes the entry of the executor at the interval of its heartbeats.
func (x *executor) announce(first time.Duration) {
	time.Sleep(first)
	for {
		x.mu.Lock()
		down, silent := x.isDown, x.isSilent
		x.sequence++
		state := "ready"
		if x.draining {
			state = "draining"
		}
		entry := map[string]any{
			"service": x.service, "address": x.address, "zone": x.zone, "version": "v1", "capacity": 8, "state": state,
			"cold_remaining_ms": 0, "free_capacity": x.room, "labels": x.labels, "clock_ms": x.clock(), "sequence": x.sequence,
			"born": x.born,
		}
		x.mu.Unlock()
		if down || x.w.isOver() {
			return
		}
		b, _ := json.Marshal(entry)
		if !silent {
			x.w.write("servers", x.id, b)
		}
		time.Sleep(x.w.heartbeat)
	}
}

// clock is the executor's steady clock, which starts anew with each process.
func (x *executor) clock() int64 { return time.Since(x.started).Milliseconds() + 1000 }

// run ends the runs whose time has come.
func (x *executor) run() {
	for {
		time.Sleep(5 * time.Millisecond)
		x.mu.Lock()
		if x.isDown {
			x.mu.Unlock()
			return
		}
		now := time.Now()
		isLapsed := x.clock() > x.deadline
		if isLapsed {
			x.w.lapsed(x)
		}
		for _, r := range x.runs {
			if n := int64(now.Sub(r.startedAt) / time.Second); n > r.saved && r.isSaving {
				r.saved = n
				r.checkpoint = fmt.Sprintf("%s-%d-%d", r.task, r.number, n)
				x.w.saved(r)
			}
			switch {
			case isLapsed:
				x.end(r, "lapsed")
			case !r.stopAt.IsZero() && !now.Before(r.stopAt):
				x.end(r, "stopped")
			case r.gang != nil:
				if how := r.gang.state(r, now); how != "" {
					x.end(r, how)
				}
			case r.fails && now.Sub(r.startedAt) >= r.duration:
				x.end(r, "failed")
			case r.duration > 0 && now.Sub(r.startedAt) >= r.duration:
				x.end(r, "done")
			}
		}
		x.mu.Unlock()
	}
}

func (x *executor) end(r *activeRun, how string) {
	if r.isOver {
		return
	}
	r.isOver = true
	delete(x.runs, r.task)
	x.cursor++
	x.ends = append(x.ends, ending{x.cursor, r.task, r.number, how, r.checkpoint})
	if r.gang != nil {
		r.gang.left(r, how)
	}
	x.w.ended(x, r, how)
	close(x.changed)
	x.changed = make(chan struct{})
}

type call struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run_id"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline_ms"`
	Token      uint64 `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
	Ack        uint64 `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

// handle decodes a call. The function is called with the mutex held and returns the status and the fields of the
// response.
func (x *executor) handle(f func(r *http.Request, c call) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Ibischute-Target-Instance") != x.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var c call
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if x.refuse != nil && x.refuse(r.URL.Path) {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if x.late != nil {
			if d := x.late(r.URL.Path); d > 0 {
				x.carryOutLate(r, c, d, f)
				return
			}
		}
		x.mu.Lock()
		status, out := http.StatusServiceUnavailable, map[string]any{}
		if !x.isDown {
			status, out = f(r, c)
		}
		out["clock_ms"], out["born"] = x.clock(), x.born
		x.mu.Unlock()
		if x.delay != nil {
			time.Sleep(x.delay(r.URL.Path))
		}
		b, _ := json.Marshal(out)
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_, _ = rw.Write(b)
	}
}

// carryOutLate gives no response and carries out the call later, by the process that has the address then.
func (x *executor) carryOutLate(r *http.Request, c call, d time.Duration, f func(r *http.Request, c call) (int, map[string]any)) {
	time.AfterFunc(d, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if !x.isDown {
			c.WaitMS = 0
			x.w.note("%s: %s %s run %d carried out late", x.id, r.URL.Path, c.Task, c.Run)
			f(r, c)
		}
	})
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func conflict(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// admit applies the token of a call and reports whether it is not lower than the highest one.
func (x *executor) admit(c call) bool {
	if c.Token < x.token {
		return false
	}
	x.token = c.Token
	return true
}

func (x *executor) extend(deadline int64) {
	x.deadline = max(x.deadline, min(deadline, x.clock()+x.w.maxHoldMS))
}

func (x *executor) start(_ *http.Request, c call) (int, map[string]any) {
	if !x.admit(c) {
		return conflict("fence")
	}
	if r, ok := x.runs[c.Task]; ok && r.number == c.Run {
		x.extend(c.Deadline)
		return http.StatusOK, map[string]any{}
	}
	if c.Deadline <= x.clock() {
		return conflict("late")
	}
	x.extend(c.Deadline)
	if _, ok := x.runs[c.Task]; ok || c.Run <= x.last[c.Task] {
		return conflict("old")
	}
	t, ok := x.w.taskOf(c.Task)
	if ok && x.guards && !x.free().covers(t.need) {
		x.w.note("%s: %s run %d refused, room", x.id, c.Task, c.Run)
		return conflict("room")
	}
	if ok && t.job.queue.Advice != nil && !x.w.adviser.isValid(c.Ticket, t.stepName, x) {
		x.w.note("%s: %s run %d refused, ticket %q", x.id, c.Task, c.Run, c.Ticket)
		return conflict("ticket")
	}
	x.last[c.Task] = c.Run
	r := &activeRun{task: c.Task, number: c.Run, startedAt: time.Now(), checkpoint: c.Checkpoint}
	if ok {
		r.need = t.need
		r.duration, r.fails = t.plan(c.Run)
		r.isSaving = t.step.Checkpointing
	}
	x.w.begun(x, r, c, t, ok)
	if ok && t.step.Gang {
		r.gang = x.w.gangOf(t, c.Run)
		r.gang.join(r)
	}
	if free := x.free(); ok && !free.covers(r.need) {
		x.w.over_(x, r, free)
	}
	x.runs[c.Task] = r
	return http.StatusOK, map[string]any{}
}

func (x *executor) free() room {
	f := x.room
	for _, r := range x.runs {
		f = room{f.CPU - r.need.CPU, f.MemMB - r.need.MemMB, f.GPUs - r.need.GPUs}
	}
	return f
}

func (r room) covers(o room) bool { return r.CPU >= o.CPU && r.MemMB >= o.MemMB && r.GPUs >= o.GPUs }

func (x *executor) stop(_ *http.Request, c call) (int, map[string]any) {
	if !x.admit(c) {
		return conflict("fence")
	}
	x.last[c.Task] = max(x.last[c.Task], c.Run)
	if r, ok := x.runs[c.Task]; ok && r.number <= c.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(x.w.stopTimeout / 2)
	}
	x.w.note("%s: stop %s run %d", x.id, c.Task, c.Run)
	return http.StatusOK, map[string]any{}
}

func (x *executor) pace(_ *http.Request, c call) (int, map[string]any) {
	if !x.admit(c) {
		return conflict("fence")
	}
	return http.StatusOK, map[string]any{}
}

const maxEnds = 500

func (x *executor) hold(r *http.Request, c call) (int, map[string]any) {
	if !x.admit(c) {
		return conflict("fence")
	}
	if c.Deadline > 0 {
		x.extend(c.Deadline)
	}
	for len(x.ends) > 0 && x.ends[0].cursor <= c.Ack {
		x.w.acknowledged(x, x.ends[0])
		x.ends = x.ends[1:]
	}
	until := time.Now().Add(time.Duration(c.WaitMS) * time.Millisecond)
	for len(x.ends) == 0 && time.Now().Before(until) && !x.isDown {
		changed := x.changed
		x.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			until = time.Now()
		case <-time.After(time.Until(until)):
		}
		x.mu.Lock()
	}
	if x.isDown {
		return http.StatusServiceUnavailable, map[string]any{}
	}
	running := [][]any{}
	for _, a := range x.runs {
		percent := 100
		if a.duration > 0 {
			percent = int(min(99, 100*time.Since(a.startedAt)/a.duration))
		}
		running = append(running, []any{a.task, a.number, a.checkpoint, percent, a.need.CPU})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	finished := [][]any{}
	for _, e := range x.ends[:min(maxEnds, len(x.ends))] {
		finished = append(finished, []any{e.cursor, e.task, e.number, e.how, e.checkpoint})
		x.w.listed(x, e)
	}
	return http.StatusOK, map[string]any{"running": running, "finished": finished}
}

// gang are the members of one run of a gang.
type gang struct {
	mu       sync.Mutex
	size     int
	members  map[string]*activeRun
	joinedAt map[string]time.Time
	// beganAt is when all members were present, outcome what ends the others.
	beganAt time.Time
	outcome string
	timeout time.Duration
}

func (g *gang) join(r *activeRun) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[r.task], g.joinedAt[r.task] = r, time.Now()
	if len(g.members) == g.size && g.beganAt.IsZero() && g.outcome == "" {
		g.beganAt = time.Now()
	}
}

// left notes that a member has ended, which breaks the gang unless it was done.
func (g *gang) left(_ *activeRun, how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.outcome == "" {
		g.outcome = "broken"
		if how == "done" {
			g.outcome = "done"
		}
	}
}

// state returns how the member ends now, or nothing.
func (g *gang) state(r *activeRun, now time.Time) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.outcome != "":
		return g.outcome
	case g.beganAt.IsZero() && now.Sub(g.joinedAt[r.task]) >= g.timeout:
		return "alone"
	case g.beganAt.IsZero():
		return ""
	case r.fails && now.Sub(g.beganAt) >= r.duration:
		return "failed"
	case !r.fails && now.Sub(g.beganAt) >= r.duration:
		return "done"
	}
	return ""
}

func splitTask(name string) (job string, occurrence, step, index int, ok bool) {
	p := strings.Split(name, ".")
	if len(p) != 4 {
		return "", 0, 0, 0, false
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(p[i+1])
		if err != nil {
			return "", 0, 0, 0, false
		}
		n[i] = v
	}
	return p[0], n[0], n[1], n[2], true
}

func has(list []string, s string) bool { return s == "" || slices.Contains(list, s) }

func describe(x *executor, r *activeRun) string {
	return fmt.Sprintf("%s run %d on %s", r.task, r.number, x.id)
}
