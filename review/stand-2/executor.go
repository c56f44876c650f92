package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

// The bounds of the deployment that executors keep, as in the settings.
const (
	maxHoldMS     = 6000
	stopTime      = 50 * time.Millisecond
	gangTimeout   = 3 * time.Second
	checkpointMS  = 1000
	restoreTime   = 100 * time.Millisecond
	endsPerList   = 500
	advanceEvery  = 5 * time.Millisecond
	heartbeat     = 1100 * time.Millisecond
	lastingStart  = 200 * time.Millisecond
	executorPort  = 8080
	lateOrderFrom = 2 * time.Second
	lateOrderTo   = 12 * time.Second
)

// executor is one executor machine. Its process can be ended and started again.
type executor struct {
	w      *world
	id     string
	ip     string
	zone   string
	labels []string
	cpu    int64

	// All fields below are guarded by the mutex of the world.
	isUp     bool
	born     int64
	startAt  time.Time
	epoch    uint64
	leaseMS  int64
	lapsed   bool
	runs     map[string]*run
	ended    map[string]uint64
	ends     []endRow
	endCount uint64
	sequence int
	draining bool
	server   *http.Server
	listener *listener
	// clockError is by how much the time of day of the machine is wrong.
	clockError time.Duration
	// isSilent: calls get no answer and are not carried out. isStoreCut: heartbeats do not reach the store.
	isSilent, isStoreCut bool
	// lose is the share of orders that are carried out and get no answer, late that of orders carried out late.
	lose, late float64
	changed    chan struct{}
}

// run is one start of a task.
type run struct {
	x          *executor
	task       taskName
	name       string
	number     uint64
	startedAt  time.Time
	gang       *gang
	workMS     float64
	lastAt     time.Time
	checkpoint string
	percent    int
	needMS     float64
	failsAtMS  float64
	isStopping bool
	isOver     bool
	overAt     time.Time
}

type gang struct {
	key     string
	need    int
	members map[string]*run
	began   bool
}

type endRow struct {
	n          uint64
	run        *run
	how, saved string
	// isLapsed is true once the lease of the executor has lapsed since the end.
	isLapsed bool
}

type taskName struct {
	job              string
	occ, step, index int
}

func parseTask(s string) (taskName, bool) {
	p := strings.Split(s, ".")
	if len(p) != 4 {
		return taskName{}, false
	}
	t := taskName{job: p[0]}
	var e1, e2, e3 error
	t.occ, e1 = strconv.Atoi(p[1])
	t.step, e2 = strconv.Atoi(p[2])
	t.index, e3 = strconv.Atoi(p[3])
	return t, e1 == nil && e2 == nil && e3 == nil
}

func (x *executor) address() string { return net.JoinHostPort(x.ip, strconv.Itoa(executorPort)) }

func (x *executor) clock() int64 { return time.Since(x.startAt).Milliseconds() }

// start begins a life of the executor.
func (x *executor) start() {
	l, err := listen(x.address())
	if err != nil {
		x.w.fatal("executor cannot listen: %v", err)
	}
	x.w.mu.Lock()
	x.isUp, x.born, x.startAt = true, time.Now().Add(x.clockError).UnixMilli(), time.Now()
	x.epoch, x.leaseMS, x.endCount, x.lapsed = 0, 0, 0, false
	x.runs, x.ended, x.ends = map[string]*run{}, map[string]uint64{}, nil
	x.sequence, x.draining = 0, false
	x.changed = make(chan struct{})
	srv := &http.Server{Handler: x.handler(x.born)}
	x.server, x.listener = srv, l
	x.w.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	x.w.note("executor %s starts, born %d", x.id, x.born)
	x.beat()
}

// crash ends the life at once: everything that runs there is over.
func (x *executor) crash() {
	x.w.mu.Lock()
	x.isUp = false
	names := []string{}
	for _, r := range x.runs {
		names = append(names, fmt.Sprintf("%s/%d", r.name, r.number))
		r.isOver, r.overAt = true, time.Now()
		x.w.breakGang(r)
	}
	x.runs = map[string]*run{}
	x.ends = nil
	srv := x.server
	x.w.mu.Unlock()
	x.w.note("executor %s crashes; it ran %v", x.id, names)
	_ = srv.Close()
}

// beat writes the entry in the store.
func (x *executor) beat() {
	x.w.mu.Lock()
	if !x.isUp || x.isStoreCut {
		x.w.mu.Unlock()
		return
	}
	x.sequence++
	e := x.entry()
	x.w.mu.Unlock()
	b, _ := json.Marshal(e)
	x.w.store.put("keyed.servers", x.id, b)
}

func (x *executor) entry() map[string]any {
	state := "ready"
	if x.draining {
		state = "draining"
	}
	return map[string]any{
		"service": x.w.service, "address": x.address(), "zone": x.zone, "version": "v1", "capacity": 8, "state": state,
		"cold_remaining_ms": 0, "free_capacity": map[string]any{"cpu": x.cpu, "mem_mb": 64000, "gpus": 0},
		"labels": x.labels, "clock_ms": x.clock(), "sequence": x.sequence, "born": x.born,
	}
}

func (x *executor) beatLoop() {
	for !x.w.isOver() {
		time.Sleep(heartbeat)
		x.beat()
	}
}

type orderBody struct {
	Task       string `json:"task"`
	RunID      uint64 `json:"run_id"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Token      uint64 `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	Ack        uint64 `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
	Percent    int    `json:"percent"`
	Ticket     string `json:"ticket"`
}

func (x *executor) handler(born int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.URL.Path == "/health" {
			w.WriteHeader(http.StatusOK)
			return
		}
		x.w.mu.Lock()
		isSilent, lose, late := x.isSilent, x.lose, x.late
		x.w.mu.Unlock()
		if isSilent {
			hang(r)
		}
		if id := r.Header.Get("Ibischute-Target-Instance"); id != "" && id != x.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o orderBody
		if json.Unmarshal(body, &o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		isOrder := r.URL.Path != "/api/hold"
		if isOrder && rand.Float64() < late {
			wait := lateOrderFrom + time.Duration(rand.Int64N(int64(lateOrderTo-lateOrderFrom)))
			path := r.URL.Path
			time.AfterFunc(wait, func() {
				x.w.mu.Lock()
				isSame := x.isUp && x.born == born
				x.w.mu.Unlock()
				if isSame {
					x.carryOut(path, o, true)
				}
			})
			hang(r)
		}
		status, out := x.carryOut(r.URL.Path, o, false)
		if r.URL.Path == "/api/hold" && status == http.StatusOK {
			out = x.await(r, o)
		}
		if rand.Float64() < lose {
			hang(r)
		}
		writeJSON(w, status, out)
	})
}

// await waits for an end, as a hold asks, and returns the lists.
func (x *executor) await(r *http.Request, o orderBody) map[string]any {
	deadline := time.NewTimer(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	defer deadline.Stop()
	for {
		x.w.mu.Lock()
		out, changed, n := x.lists(), x.changed, len(x.ends)
		x.w.mu.Unlock()
		if n > 0 || o.WaitMS <= 0 {
			return out
		}
		select {
		case <-changed:
			continue
		case <-deadline.C:
		case <-r.Context().Done():
		}
		x.w.mu.Lock()
		out = x.lists()
		x.w.mu.Unlock()
		return out
	}
}

func (x *executor) lists() map[string]any {
	running, finished := []any{}, []any{}
	for _, r := range x.runs {
		percent := 0
		if r.needMS > 0 {
			percent = int(min(99, 100*r.workMS/r.needMS))
		} else if time.Since(r.startedAt) > lastingStart {
			percent = 100
		}
		running = append(running, []any{r.name, r.number, r.checkpoint, percent, 100})
	}
	for i, e := range x.ends {
		if i == endsPerList {
			break
		}
		finished = append(finished, []any{e.n, e.run.name, e.run.number, e.how, e.saved})
	}
	return map[string]any{"clock_ms": x.clock(), "born": x.born, "running": running, "finished": finished}
}

func (x *executor) carryOut(path string, o orderBody, isLate bool) (int, map[string]any) {
	x.w.mu.Lock()
	defer x.w.mu.Unlock()
	x.advance(time.Now())
	answer := func(status int, reason string) (int, map[string]any) {
		out := map[string]any{"clock_ms": x.clock(), "born": x.born}
		if reason != "" {
			out["reason"] = reason
		}
		if path != "/api/hold" {
			x.w.noteLocked("%s %s %s/%d token %d -> %d %s%s", x.id, path, o.Task, o.RunID, o.Token, status, reason,
				map[bool]string{true: " (late)"}[isLate])
		}
		return status, out
	}
	if !x.isUp {
		return answer(http.StatusServiceUnavailable, "")
	}
	if o.Token < x.epoch {
		return answer(http.StatusConflict, "fence")
	}
	x.epoch = o.Token
	switch path {
	case "/api/run-start":
		return x.startRun(o, answer)
	case "/api/run-stop":
		x.ended[o.Task] = max(x.ended[o.Task], o.RunID)
		if r := x.runs[o.Task]; r != nil && r.number == o.RunID && !r.isStopping {
			r.isStopping = true
			time.AfterFunc(stopTime, func() {
				x.w.mu.Lock()
				defer x.w.mu.Unlock()
				x.end(r, "stopped")
			})
		}
		return answer(http.StatusOK, "")
	case "/api/pace":
		if r := x.runs[o.Task]; r != nil && r.number == o.RunID {
			r.percent = o.Percent
		}
		return answer(http.StatusOK, "")
	case "/api/hold":
		if o.DeadlineMS > 0 {
			x.extend(o.DeadlineMS)
		}
		kept := x.ends[:0]
		for _, e := range x.ends {
			if e.n > o.Ack {
				kept = append(kept, e)
				continue
			}
			x.w.check.acked(e)
		}
		x.ends = kept
		return answer(http.StatusOK, "")
	}
	return answer(http.StatusNotFound, "")
}

func (x *executor) extend(deadlineMS int64) {
	x.leaseMS = max(x.leaseMS, min(deadlineMS, x.clock()+maxHoldMS))
}

func (x *executor) startRun(o orderBody, answer func(int, string) (int, map[string]any)) (int, map[string]any) {
	t, ok := parseTask(o.Task)
	if !ok {
		return answer(http.StatusBadRequest, "")
	}
	existing := x.runs[o.Task]
	switch {
	case existing != nil && existing.number == o.RunID:
		return answer(http.StatusOK, "")
	case o.RunID <= x.ended[o.Task]:
		x.extend(o.DeadlineMS)
		return answer(http.StatusConflict, "old")
	case o.DeadlineMS <= x.clock():
		return answer(http.StatusConflict, "late")
	}
	b := x.w.check.behavior(t)
	if x.w.needsTicket(t) && !x.holdsTicket(t, o.Ticket) {
		return answer(http.StatusConflict, "ticket")
	}
	used := int64(0)
	for _, r := range x.runs {
		used += x.w.check.behavior(r.task).cpu
	}
	if used+b.cpu > x.cpu {
		x.extend(o.DeadlineMS)
		return answer(http.StatusConflict, "room")
	}
	x.extend(o.DeadlineMS)
	x.lapsed = false
	now := time.Now()
	r := &run{
		x: x, task: t, name: o.Task, number: o.RunID, startedAt: now, lastAt: now, checkpoint: o.Checkpoint, percent: 100,
		needMS: b.needMS, workMS: b.resumeFrom(o.Checkpoint), failsAtMS: x.w.check.drawFailure(t, b),
	}
	if o.Checkpoint != "" {
		r.lastAt = now.Add(restoreTime)
	}
	x.w.check.started(r, o)
	x.runs[o.Task] = r
	if b.gang > 0 {
		key := fmt.Sprintf("%s.%d.%d/%d", t.job, t.occ, t.step, o.RunID)
		g := x.w.gangs[key]
		if g == nil {
			g = &gang{key: key, need: b.gang, members: map[string]*run{}}
			x.w.gangs[key] = g
		}
		g.members[o.Task] = r
		r.gang = g
		if len(g.members) == g.need {
			g.began = true
			for _, m := range g.members {
				m.lastAt = now
			}
		}
	}
	return answer(http.StatusOK, "")
}

// end records that the run has ended. The mutex of the world must be held.
func (x *executor) end(r *run, how string) {
	if r.isOver || x.runs[r.name] != r {
		return
	}
	r.isOver, r.overAt = true, time.Now()
	delete(x.runs, r.name)
	x.ended[r.name] = max(x.ended[r.name], r.number)
	x.endCount++
	saved := ""
	if x.w.check.behavior(r.task).saves && (how == "stopped" || how == "lapsed" || how == "broken") {
		saved = checkpointOf(r)
	}
	x.ends = append(x.ends, endRow{n: x.endCount, run: r, how: how, saved: saved})
	x.w.noteLocked("%s lists the end of %s/%d: %s", x.id, r.name, r.number, how)
	x.w.check.endedRun(r, how)
	close(x.changed)
	x.changed = make(chan struct{})
	if how != "done" {
		x.w.breakGang(r)
	}
}

// checkpointOf returns the checkpoint that the run has now; those of a gang are the same for all members.
func checkpointOf(r *run) string {
	if r.workMS < 1 {
		return ""
	}
	owner := r.name
	if r.gang != nil {
		owner = fmt.Sprintf("%s.%d.%d", r.task.job, r.task.occ, r.task.step)
	}
	return fmt.Sprintf("%s@%d", owner, int64(r.workMS))
}

// advance lets the runs of the executor work until now. The mutex of the world must be held.
func (x *executor) advance(now time.Time) {
	if !x.isUp {
		return
	}
	if x.clock() >= x.leaseMS && !x.lapsed {
		x.lapsed = true
		// A lease that ends while nothing runs does not count as lapsed.
		for i := range x.ends {
			x.ends[i].isLapsed = x.ends[i].isLapsed || len(x.runs) > 0
		}
		for _, r := range x.sortedRuns() {
			x.end(r, "lapsed")
		}
	}
	if x.clock() < x.leaseMS {
		x.lapsed = false
	}
	for _, r := range x.sortedRuns() {
		x.work(r, now)
	}
}

func (x *executor) sortedRuns() []*run {
	out := make([]*run, 0, len(x.runs))
	for _, r := range x.runs {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out
}

func (x *executor) work(r *run, now time.Time) {
	if r.isOver {
		return
	}
	if r.gang != nil && !r.gang.began {
		if now.Sub(r.startedAt) > gangTimeout {
			x.end(r, "alone")
		}
		return
	}
	if now.After(r.lastAt) {
		before := int64(r.workMS) / checkpointMS
		r.workMS += now.Sub(r.lastAt).Seconds() * 1000 * float64(r.percent) / 100
		r.lastAt = now
		if x.w.check.behavior(r.task).saves && int64(r.workMS)/checkpointMS > before {
			r.checkpoint = checkpointOf(r)
		}
	}
	switch {
	case r.failsAtMS > 0 && r.workMS >= r.failsAtMS:
		x.end(r, "failed")
	case r.needMS > 0 && r.workMS >= r.needMS && r.gang != nil:
		for _, m := range r.gang.members {
			m.x.end(m, "done")
		}
	case r.needMS > 0 && r.workMS >= r.needMS:
		x.end(r, "done")
	}
}

// breakGang ends the other members of the run's gang. The mutex of the world must be held.
func (w *world) breakGang(r *run) {
	if r.gang == nil {
		return
	}
	for _, m := range r.gang.members {
		if m != r && !m.isOver && r.gang.began {
			m.x.end(m, "broken")
		}
	}
	delete(r.gang.members, r.name)
	if !r.gang.began {
		return
	}
	delete(w.gangs, r.gang.key)
}
