// Command stand-3 starts the real program as separate processes on loopback addresses, with stand-ins for the platform's
// store, the executors, the policy service and the clients, and checks rules of the users' pages.
//
// The store is that of the project (platform/logsv on internal/stand/memlog); the other stand-ins are in this folder.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/stand/memlog"
	"github.com/ibischute/ibischute/platform/logsv"
	"github.com/ibischute/ibischute/platform/names"
)

// step is a step of a job as clients state it, with what the executors do with its tasks.
type step struct {
	Count         int     `json:"count"`
	CPU           int64   `json:"cpu,omitempty"`
	MemMB         int64   `json:"mem_mb,omitempty"`
	GPUs          int64   `json:"gpus,omitempty"`
	EstimateMS    int64   `json:"estimate_ms,omitempty"`
	DependsOn     []int   `json:"depends_on,omitempty"`
	Checkpointing bool    `json:"checkpointing,omitempty"`
	Gang          bool    `json:"gang,omitempty"`
	Requirements  string  `json:"requirements,omitempty"`
	Affinity      string  `json:"affinity,omitempty"`
	AntiAffinity  int     `json:"anti_affinity,omitempty"`
	LongRunning   bool    `json:"long_running,omitempty"`
	MayMiss       int     `json:"may_miss,omitempty"`
	Image         string  `json:"image,omitempty"`
	TargetMS      float64 `json:"target_ms,omitempty"`
	Fills         bool    `json:"fills,omitempty"`
	// work is how long a task runs. The runs of each task fail up to failures times.
	work     time.Duration
	failures int
}

// job is a job that a client submits.
type job struct {
	Spec        string  `json:"spec"`
	Steps       []*step `json:"steps"`
	RepeatCount int     `json:"repeat_count,omitempty"`
	StartTimeMS int64   `json:"start_time_ms,omitempty"`
	IntervalMS  int64   `json:"interval_ms,omitempty"`

	id       string
	queue    *queue
	sentAt   time.Time
	accepted time.Time
	statuses []int
	// cancelAcked is when a cancellation was acknowledged.
	cancelAcked time.Time
	state       string
}

// queue is a route of the configuration.
type queue struct {
	Name          string         `json:"name"`
	Host          string         `json:"host"`
	PathPrefix    string         `json:"path_prefix"`
	Service       string         `json:"service"`
	Kind          string         `json:"kind"`
	TimeoutMS     int            `json:"timeout_ms"`
	Priority      int            `json:"priority"`
	MaxAttempts   int            `json:"max_attempts"`
	StretchFactor float64        `json:"stretch_factor"`
	TargetMS      int            `json:"target_latency_ms"`
	Advice        map[string]any `json:"advice,omitempty"`
}

// task is what the stand-ins know about a task.
type task struct {
	job      *job
	step     *step
	index    int
	need     room
	failures int
	name     string
	stepName string
}

// plan returns how long a run works and whether it fails.
func (t *task) plan(uint64) (time.Duration, bool) {
	if t.step.LongRunning {
		return 0, false
	}
	t.job.queueMu().Lock()
	defer t.job.queueMu().Unlock()
	if t.failures < t.step.failures {
		t.failures++
		return t.step.work, true
	}
	return t.step.work, false
}

var planMu sync.Mutex

func (j *job) queueMu() *sync.Mutex { return &planMu }

// world has the stand-ins and the processes of one script.
type world struct {
	dir       string
	prefix    string
	heartbeat time.Duration
	maxHoldMS int64
	// stopTimeout and gangTimeout are bounds of the settings.
	stopTimeout, gangTimeout time.Duration
	memoryMB                 int

	log   *memlog.Log
	store http.Handler
	views []*memlog.View

	mu        sync.Mutex
	record    *os.File
	begin     time.Time
	over      bool
	executors map[string]*executor
	jobs      map[string]*job
	tasks     map[string]*task
	gangs     map[string]*gang
	queues    []*queue
	services  []map[string]any
	version   int
	nodes     []*node
	broken    []string
	running   map[string]map[string]*executor
	done      map[string]time.Time
	counts    map[string]int
	advice    string
	adviser   *adviser
	// history has what became of the runs of each task, for the checks at the end.
	history map[string]*history
	// onBegun, if set, is called for each start with the mutex held.
	onBegun func(x *executor, r *activeRun, t *task)
	onEnded func(x *executor, r *activeRun, how string)
}

type node struct {
	name, ip string
	env      []string
	output   *os.File
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	wanted   bool
}

func newWorld(dir string) (*world, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review-3-*")
	if err != nil {
		return nil, err
	}
	w := &world{
		dir: temp, prefix: fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, 1+os.Getpid()/200%250), heartbeat: 1100 * time.Millisecond,
		maxHoldMS: 6000, stopTimeout: 200 * time.Millisecond, gangTimeout: 3 * time.Second, memoryMB: 284,
		log: memlog.New(rand.New(rand.NewPCG(1, 2))), record: f, begin: time.Now(),
		executors: map[string]*executor{}, jobs: map[string]*job{}, tasks: map[string]*task{}, gangs: map[string]*gang{},
		running: map[string]map[string]*executor{}, done: map[string]time.Time{}, counts: map[string]int{}, history: map[string]*history{},
	}
	return w, nil
}

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked(format, args...)
}

func (w *world) noteLocked(format string, args ...any) {
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.begin).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) break_(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
	w.noteLocked("BROKEN "+format, args...)
}

func (w *world) isOver() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.over
}

func (w *world) setExecutor(x *executor) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.executors[x.id] = x
}

// write stores a record of the operator or of an executor.
func (w *world) write(topic, key string, value []byte) {
	t := logs.Backends
	if topic == "op" {
		t = names.ParseTopic("keyed.op")
	}
	_, err := w.log.View().Append(context.Background(), t, 0, []logs.Record{{Key: key, Value: value}}, logs.Condition{})
	if err != nil {
		w.note("write %s/%s: %v", topic, key, err)
	}
}

func (w *world) configure() {
	w.mu.Lock()
	w.version += 3
	b, _ := json.Marshal(map[string]any{
		"version": w.version, "routes": w.queues, "services": w.services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	w.noteLocked("configuration %d", w.version)
	w.mu.Unlock()
	w.write("op", "config", b)
}

func (w *world) addQueue(name, service string, attempts int) *queue {
	q := &queue{
		Name: "r-" + name, Host: name + ".example", PathPrefix: "/" + name + "/", Service: service, Kind: "non_idempotent",
		TimeoutMS: 3000, MaxAttempts: attempts, StretchFactor: 1.5, TargetMS: 1000,
	}
	w.queues = append(w.queues, q)
	return q
}

func (w *world) addService(name string, enforces bool) {
	w.services = append(w.services, map[string]any{
		"name": name, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false,
		"enforces_capacity": enforces, "spare": false,
	})
}

// startStore serves the store for one node, behind the wrapper if there is one.
func (w *world) startStore(ip string, wrap func(http.Handler) http.Handler) (string, error) {
	v := w.log.View()
	w.views = append(w.views, v)
	h := http.Handler(logsv.New(v))
	if wrap != nil {
		h = wrap(h)
	}
	address := ip + ":8169"
	l, err := listenRetry(address)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.Serve(l) }()
	return address, nil
}

const settings = `node_name = "edge-north-%[1]d"
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = "%[2]s"
zone = "north"
region = "main"
port_range = [7720,7735]
seeds = []
bootstrap = true
fault_counted = false
discovery = "platform"
entry_kind = "vip"
heartbeat_ms = %[3]d
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "call"
advice = "%[4]s"
[zones]
north = "main"
[listen_addrs]
front = "%[2]s:8161"
ready = "%[2]s:8167"
control = "%[2]s:8166"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = %[5]d
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_ms = 250
outer_ms = 5000
recovery_s = 12
max_hold_ms = 6000
stop_timeout_ms = 200
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remote_factor = 3
checkpoint_s = 1
restore_ms = 250
notice_ms = 4500
migrate_s = 1.5
maintenance_s = 2
fencing_enforced = true
lease_ms = 3000
thaw_ms = 300
pace_ms = 100
interference_ms = 4000
[platform]
address = "%[6]s"
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 24
append_ms = 1.0
part_mb_per_s = 20.0
read_mb_per_s = 80.0
record_bytes = 262144
request_bytes = 2097152
keep_s = 300
partition_mb = 200
min_ttl_ms = 1000
[cloud_api]
address = "%[6]s"
rate_per_s = 60.0
duties = []
duty_per_s = 60.0
`

// startNodes starts the program count times, by the command of the deploy file.
func (w *world) startNodes(count int, wrap func(i int) func(http.Handler) http.Handler) error {
	for i := range count {
		n := &node{name: fmt.Sprintf("edge-north-%d", i+1), ip: fmt.Sprintf("%s.%d", w.prefix, 1+i)}
		var f func(http.Handler) http.Handler
		if wrap != nil {
			f = wrap(i)
		}
		store, err := w.startStore(fmt.Sprintf("%s.%d", w.prefix, 50+i), f)
		if err != nil {
			return err
		}
		n.settings = filepath.Join(w.dir, n.name+".toml")
		text := fmt.Sprintf(settings, i+1, n.ip, w.heartbeat.Milliseconds(), w.advice, w.memoryMB, store)
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if n.output, err = os.Create(filepath.Join(w.dir, n.name+".log")); err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// start runs the command of the deploy file.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	cmd := exec.Command("target/ibischute", "node", "--metrics-port", "9464")
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "IBISCHUTE_BOOT=" + n.settings}, n.env...)
	cmd.Stdout, cmd.Stderr = n.output, n.output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd, n.exited = cmd, make(chan struct{})
	go func(done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(n.exited)
	return nil
}

func (n *node) signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

func (n *node) isRunning() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// kill ends the process and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.exited
}

// awaitReady waits until all nodes report themselves ready.
func (w *world) awaitReady() bool {
	client := http.Client{Timeout: time.Second}
	for range 150 {
		ready := 0
		for _, n := range w.nodes {
			res, err := client.Get("http://" + n.ip + ":8167/api/readiness")
			if err != nil {
				continue
			}
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(w.nodes) {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// close ends all processes.
func (w *world) close() {
	w.mu.Lock()
	w.over = true
	w.mu.Unlock()
	for _, n := range w.nodes {
		n.kill()
		_ = n.output.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

var client = &http.Client{Timeout: 3500 * time.Millisecond}

// call makes a client's request to a node and returns the status, 0 for no response, and the body.
func (w *world) call(n *node, method string, q *queue, id string, body []byte) (int, []byte) {
	r, err := http.NewRequest(method, "http://"+n.ip+":8161"+q.PathPrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Host = q.Host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Ibischute-Deadline-Ms", "3000")
	res, err := client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	b, _ := io.ReadAll(res.Body)
	return res.StatusCode, b
}

var jobCounter struct {
	sync.Mutex
	n int
}

func newID() string {
	jobCounter.Lock()
	defer jobCounter.Unlock()
	jobCounter.n++
	return fmt.Sprintf("%016x", uint64(jobCounter.n)*0x9e3779b97f4a7c15)
}

// register makes a job known to the stand-ins and the checks.
func (w *world) register(j *job, q *queue) {
	j.id, j.queue = newID(), q
	if j.Spec == "" {
		j.Spec = "spec of " + j.id
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[j.id] = j
	for k := range max(1, j.RepeatCount) {
		for i, s := range j.Steps {
			for n := range s.Count {
				name := fmt.Sprintf("%s.%d.%d.%d", j.id, k, i, n)
				w.tasks[name] = &task{
					job: j, step: s, index: i, need: room{s.CPU, s.MemMB, s.GPUs}, name: name,
					stepName: fmt.Sprintf("%s.%d.%d", j.id, k, i),
				}
			}
		}
	}
}

// submit submits a job, with up to four repeats at other nodes. It returns whether the job was accepted.
func (w *world) submit(j *job, q *queue) bool {
	w.register(j, q)
	b, _ := json.Marshal(j)
	j.sentAt = time.Now()
	for i := range 5 {
		n := w.nodes[(i+len(j.id)+int(j.id[15]))%len(w.nodes)]
		status, _ := w.call(n, http.MethodPost, q, j.id, b)
		w.note("POST %s at %s: %d", j.id, n.name, status)
		w.mu.Lock()
		j.statuses = append(j.statuses, status)
		if status/100 == 2 {
			j.accepted = time.Now()
		}
		w.mu.Unlock()
		if status/100 == 2 {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// cancel cancels a job. It returns whether that was acknowledged.
func (w *world) cancel(j *job) bool {
	for i := range 5 {
		n := w.nodes[(i+len(j.statuses))%len(w.nodes)]
		status, _ := w.call(n, http.MethodDelete, j.queue, j.id, nil)
		w.note("DELETE %s at %s: %d", j.id, n.name, status)
		if status/100 == 2 || status == http.StatusGone {
			w.mu.Lock()
			j.cancelAcked = time.Now()
			w.mu.Unlock()
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// stateOf asks for the state of a job at a node.
func (w *world) stateOf(n *node, j *job) (int, string) {
	status, b := w.call(n, http.MethodGet, j.queue, j.id, nil)
	var out struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(b, &out)
	return status, out.State
}

// awaitStates asks for the jobs until all have one of the states, and returns those that have not.
func (w *world) awaitStates(jobs []*job, timeout time.Duration, states ...string) []*job {
	until := time.Now().Add(timeout)
	left := append([]*job(nil), jobs...)
	for len(left) > 0 && time.Now().Before(until) {
		var next []*job
		for i, j := range left {
			status, state := w.stateOf(w.nodes[i%len(w.nodes)], j)
			if state != j.state {
				w.note("GET %s: %d %s", j.id, status, state)
				j.state = state
			}
			if status != http.StatusOK || !has(states, state) || state == "" {
				next = append(next, j)
			}
		}
		left = next
		time.Sleep(200 * time.Millisecond)
	}
	return left
}

func (w *world) taskOf(name string) (*task, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, ok := w.tasks[name]
	return t, ok
}

func (w *world) gangOf(t *task, run uint64) *gang {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := fmt.Sprintf("%s#%d", t.stepName, run)
	g, ok := w.gangs[key]
	if !ok {
		g = &gang{size: t.step.Count, members: map[string]*activeRun{}, joinedAt: map[string]time.Time{}, timeout: w.gangTimeout}
		w.gangs[key] = g
	}
	return g
}

// begun checks a start. The mutex of the executor is held.
func (w *world) begun(x *executor, r *activeRun, c call, t *task, known bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts["starts"]++
	h := w.historyOf(r.task)
	h.starts = append(h.starts, time.Now())
	w.noteLocked("start %s token %d checkpoint %q ticket %q", describe(x, r), c.Token, c.Checkpoint, c.Ticket)
	if !known {
		w.break_("UNASKED: %s was never submitted", r.task)
		return
	}
	if c.Spec != t.job.Spec {
		w.break_("UNASKED: %s has another spec", r.task)
	}
	if !has(x.labels, t.step.Requirements) {
		w.break_("ROUTE: %s started on %s with labels %v, it requires %q", r.task, x.id, x.labels, t.step.Requirements)
	}
	if c.Checkpoint != "" && !h.checkpoints[c.Checkpoint] {
		w.break_("UNASKED: %s started with the checkpoint %q, which is none of the task's", describe(x, r), c.Checkpoint)
	}
	if at := t.job.cancelAcked; !at.IsZero() && time.Since(at) > 3*time.Second {
		w.break_("UNASKED: %s started %v after its job's cancel was acknowledged", describe(x, r), time.Since(at))
	}
	_, k, _, _, _ := splitTask(r.task)
	if due := t.job.StartTimeMS + int64(k)*t.job.IntervalMS; t.job.RepeatCount > 0 && time.Now().UnixMilli() < due-250 {
		w.break_("ORDER: %s started %d ms before its time", describe(x, r), due-time.Now().UnixMilli())
	}
	if x.service != t.job.queue.Service {
		w.break_("ROUTE: %s started on %s of service %s", r.task, x.id, x.service)
	}
	if other := w.running[r.task]; len(other) > 0 {
		w.break_("TWICE: %s started while it runs on %v", describe(x, r), keys(other))
	}
	if at, ok := w.done[r.task]; ok && !t.step.LongRunning {
		w.break_("TWICE: %s started after its end done was taken note of at %.3f", describe(x, r), at.Sub(w.begin).Seconds())
	}
	if w.running[r.task] == nil {
		w.running[r.task] = map[string]*executor{}
	}
	w.running[r.task][x.id] = x
	if t.step.AntiAffinity > 0 {
		n := 0
		for name, on := range w.running {
			if o := w.tasks[name]; o != nil && o.stepName == t.stepName && on[x.id] == x {
				n++
			}
		}
		if n > t.step.AntiAffinity {
			w.break_("ROUTE: %d tasks of %s on %s, at most %d", n, t.stepName, x.id, t.step.AntiAffinity)
		}
	}
	for _, d := range t.step.DependsOn {
		for name, o := range w.tasks {
			if o.job == t.job && o.index == d && strings.HasPrefix(name, prefixOf(t.name)) && w.counts["done "+name] == 0 {
				w.break_("ORDER: %s started before %s was done", r.task, name)
			}
		}
	}
	if w.onBegun != nil {
		w.onBegun(x, r, t)
	}
}

// prefixOf returns JOB.K. of the name of a task.
func prefixOf(name string) string {
	p := strings.SplitN(name, ".", 3)
	return p[0] + "." + p[1] + "."
}

func keys[V any](m map[string]V) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	return out
}

func (w *world) ended(x *executor, r *activeRun, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.running[r.task], x.id)
	w.counts["ended "+how]++
	h := w.historyOf(r.task)
	if r.checkpoint != "" {
		h.checkpoints[r.checkpoint] = true
	}
	switch how {
	case "done":
		w.counts["done "+r.task]++
		if t := w.tasks[r.task]; t != nil && t.step.Gang {
			for name, o := range w.tasks {
				if o.stepName == t.stepName {
					w.counts["done "+name]++
				}
			}
		}
	case "alone":
		h.alone++
	}
	h.ends = append(h.ends, &endRecord{x: x, run: r.number, how: how, at: time.Now()})
	w.noteLocked("end %s %s", describe(x, r), how)
	if w.onEnded != nil {
		w.onEnded(x, r, how)
	}
}

func (w *world) listed(*executor, ending) {}

func (w *world) acknowledged(x *executor, e ending) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.historyOf(e.task).ends {
		if r.x == x && r.run == e.number && !r.isLapsed {
			r.isAcked = true
			if e.how == "done" {
				w.done[e.task] = time.Now()
			}
		}
	}
	w.noteLocked("ack %s run %d %s by %s", e.task, e.number, e.how, x.id)
}

// leader returns the node that has sent the last start, by the log of its process; the first one if that is unknown.
func (w *world) leader() *node {
	var best *node
	at := ""
	for _, n := range w.nodes {
		b, _ := os.ReadFile(n.output.Name())
		for _, line := range strings.Split(string(b), "\n") {
			if strings.Contains(line, "cell-loaded") && line > at {
				at, best = line, n
			}
		}
	}
	if best == nil {
		best = w.nodes[0]
	}
	return best
}
