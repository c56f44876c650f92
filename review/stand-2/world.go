package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// world is a small deployment on loopback addresses: the program's processes, the store, executors and clients.
type world struct {
	mu    sync.Mutex
	base  string
	dir   string
	begin time.Time
	log   *os.File

	service   string
	host      string
	queues    []queueSpec
	store     *store
	nodes     []*node
	executors []*executor
	gangs     map[string]*gang
	check     *checker
	over      bool
	// troubleUntil is when the last disruption is over.
	troubleUntil time.Time
	cancelWithin time.Duration
	program      []string
	// adviceLine is the setting of the policy service's address, which the queue with hasAdvice uses.
	adviceLine string
	// accepted is the number of jobs that load has handed in.
	accepted atomic.Int64
	// isQuiet leaves calls out of the record, of which there are too many.
	isQuiet bool
	// targetMS is the latency target of the queues.
	targetMS float64
	// version counts the changes of the configuration.
	version int
}

// needsTicket reports whether a start of the task needs a ticket.
func (w *world) needsTicket(t taskName) bool {
	j := w.check.jobs[t.job]
	for _, q := range w.queues {
		if j != nil && q.name == j.queue {
			return q.hasAdvice
		}
	}
	return false
}

type queueSpec struct {
	name, prefix string
	priority     int
	maxAttempts  int
	hasAdvice    bool
}

const contact = 3 * time.Second

// executorCPU is the capacity of each executor in thousandths of a core.
var executorCPU int64 = 16000

// trouble notes a disruption that lasts for the duration from now on.
func (w *world) trouble(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if until := time.Now().Add(d); until.After(w.troubleUntil) {
		w.troubleUntil = until
	}
}

// isCalm reports whether there was no disruption for contact and the time of a gang before. The mutex must be held.
func (w *world) isCalm(now time.Time) bool { return now.Sub(w.troubleUntil) > contact+gangTimeout }

func (w *world) isOver() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.over
}

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked(format, args...)
}

func (w *world) noteLocked(format string, args ...any) {
	if w.isQuiet && isCall(format) {
		return
	}
	_, _ = fmt.Fprintf(w.log, "%8.3f %s\n", time.Since(w.begin).Seconds(), fmt.Sprintf(format, args...))
}

// isCall reports whether the line is about one call or the end of one run.
func isCall(format string) bool {
	return strings.HasPrefix(format, "%s %s %s/%d token") || strings.HasPrefix(format, "%s lists the end") ||
		strings.HasPrefix(format, "client:")
}

// fatal ends the case as one that could not run.
func (w *world) fatal(format string, args ...any) {
	fmt.Printf("could not run: "+format+"\n", args...)
	w.note("could not run: "+format, args...)
	w.close()
	os.Exit(2)
}

func newWorld(dir string, nodes, executors int) *world {
	logFile, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Println("could not run:", err)
		os.Exit(2)
	}
	tmp, err := os.MkdirTemp("", "stand2-")
	if err != nil {
		fmt.Println("could not run:", err)
		os.Exit(2)
	}
	w := &world{
		base: fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, 1+rand.IntN(250)), dir: tmp, begin: time.Now(), log: logFile,
		service: "desk", host: "orders.example", store: newStore(), gangs: map[string]*gang{},
		queues:       []queueSpec{{name: "r-short", prefix: "/short/", maxAttempts: 3}, {name: "r-batch", prefix: "/batch/", priority: 2, maxAttempts: 2}, {name: "r-watch", prefix: "/watch/", maxAttempts: 2}},
		cancelWithin: 3 * time.Second, targetMS: 500, program: []string{"target/ibischute", "node", "--metrics-port", "9464"},
	}
	if p := os.Getenv("PROGRAM"); p != "" {
		w.program[0] = p
	}
	w.check = &checker{w: w, jobs: map[string]*jobSpec{}, tasks: map[taskName]*taskState{}}
	if os.Getenv("ADVICE") != "" {
		w.queues = append(w.queues, queueSpec{name: "r-advised", prefix: "/advised/", priority: 1, maxAttempts: 2, hasAdvice: true})
		w.adviceLine = fmt.Sprintf("advice = %q", w.serveAdvice())
	}
	w.writeConfig(1)
	zones := []string{"north", "east", "west"}
	for i := range executors {
		x := &executor{
			w: w, id: fmt.Sprintf("i-%08x", rand.Uint32()), ip: fmt.Sprintf("%s.%d", w.base, 150+i), zone: zones[i%3],
			labels: []string{"a", fmt.Sprintf("r%d", i%4)}, cpu: executorCPU,
		}
		w.executors = append(w.executors, x)
		x.start()
		go x.beatLoop()
	}
	go w.advanceLoop()
	for i := range nodes {
		w.addNode(i, zones[i%3])
	}
	return w
}

func (w *world) advanceLoop() {
	for !w.isOver() {
		time.Sleep(advanceEvery)
		w.mu.Lock()
		for _, x := range w.executors {
			x.advance(time.Now())
		}
		w.mu.Unlock()
	}
}

// writeConfig writes the configuration as the operator does.
func (w *world) writeConfig(version int) {
	routes := []any{}
	for _, q := range w.queues {
		route := map[string]any{
			"name": q.name, "host": w.host, "path_prefix": q.prefix, "kind": "non_idempotent", "timeout_ms": 3000,
			"target_latency_ms": w.targetMS, "priority": q.priority, "service": w.service, "max_attempts": q.maxAttempts,
			"stretch_factor": 2.0,
		}
		if q.hasAdvice {
			route["advice"] = map[string]any{
				"decision_ms": decisionTime.Milliseconds(), "period_ms": periodTime.Milliseconds(),
				"validity_ms": ticketValidity.Milliseconds(),
			}
		}
		routes = append(routes, route)
	}
	b, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{
			"name": w.service, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false,
			"enforces_capacity": true, "spare": false,
		}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
	w.store.put("keyed.op", "config", b)
}

// node is one process of the program.
type node struct {
	w        *world
	name, ip string
	view     *storeView
	server   *http.Server
	listener *listener
	settings string
	output   *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	mayEnd  bool
	restart time.Duration
	// isAway means that the process is not started again when it ends.
	isAway bool
	// ends are the ends that no signal of the case has caused.
	ends int
}

const settingsText = `node_name = %[1]q
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = %[2]q
zone = %[3]q
region = "land"
port_range = [7720,7735]
seeds = []
bootstrap = true
fault_counted = false
discovery = "platform"
entry_kind = "vip"
heartbeat_ms = 1100
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "call"
%[5]s
[zones]
north = "land"
east = "land"
west = "land"
[listen_addrs]
front = "%[2]s:8161"
ready = "%[2]s:8167"
control = "%[2]s:8166"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
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
address = "%[4]s"
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
`

func (w *world) addNode(i int, zone string) {
	n := &node{w: w, name: fmt.Sprintf("edge-%s-%d", zone, i), ip: fmt.Sprintf("%s.%d", w.base, 10+i), restart: 500 * time.Millisecond}
	n.view = &storeView{store: w.store}
	address := fmt.Sprintf("%s.%d:8169", w.base, 100+i)
	l, err := listen(address)
	if err != nil {
		w.fatal("store cannot listen: %v", err)
	}
	n.server, n.listener = &http.Server{Handler: n.view}, l
	go func() { _ = n.server.Serve(l) }()
	n.settings = filepath.Join(w.dir, n.name+".toml")
	text := fmt.Sprintf(settingsText, n.name, n.ip, zone, address, w.adviceLine)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		w.fatal("settings: %v", err)
	}
	n.output, err = os.Create(filepath.Join(w.dir, n.name+".log"))
	if err != nil {
		w.fatal("log: %v", err)
	}
	w.nodes = append(w.nodes, n)
	n.start()
}

func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil || n.w.isOver() {
		return
	}
	cmd := exec.Command(n.w.program[0], n.w.program[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "IBISCHUTE_BOOT=" + n.settings}
	cmd.Stdout, cmd.Stderr = n.output, n.output
	if err := cmd.Start(); err != nil {
		go n.w.fatal("cannot start the program: %v", err)
		return
	}
	n.cmd, n.mayEnd = cmd, false
	ended := make(chan struct{})
	n.ended = ended
	n.w.note("%s starts", n.name)
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		n.cmd = nil
		if !n.mayEnd {
			n.ends++
			n.w.note("%s ended by itself: %v", n.name, err)
		} else {
			n.w.note("%s has ended: %v", n.name, err)
		}
		isAway := n.isAway
		n.mu.Unlock()
		close(ended)
		if !isAway {
			time.Sleep(n.restart)
			n.start()
		}
	}()
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		n.mayEnd = true
	}
	n.w.note("%s gets %v", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

func (n *node) url(path string) string { return "http://" + net.JoinHostPort(n.ip, "8161") + path }

func (n *node) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	res, err := c.Get("http://" + net.JoinHostPort(n.ip, "8167") + "/api/readiness")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (w *world) awaitReady() {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, n := range w.nodes {
			all = all && n.isReady()
		}
		if all {
			return
		}
	}
	w.fatal("the nodes do not become ready")
}

// leader returns the node that last wrote records to the store under the condition of its epoch.
func (w *world) leader() *node {
	var best *node
	var at time.Time
	for _, n := range w.nodes {
		n.view.set(func(v *storeView) {
			if v.ledAt.After(at) {
				at, best = v.ledAt, n
			}
		})
	}
	return best
}

func (w *world) close() {
	w.mu.Lock()
	w.over = true
	w.mu.Unlock()
	for _, n := range w.nodes {
		n.mu.Lock()
		n.isAway, n.mayEnd = true, true
		ended := n.ended
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
		} else {
			ended = nil
		}
		n.mu.Unlock()
		if ended != nil {
			<-ended
		}
	}
	for _, x := range w.executors {
		if x.server != nil {
			_ = x.server.Close()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
}

// call makes one request of a client. The status is 0 if there was no complete answer.
func (w *world) call(n *node, method, path string, body any, timeout time.Duration) (int, string) {
	var b []byte
	if body != nil {
		b, _ = json.Marshal(body)
	}
	req, _ := http.NewRequest(method, n.url(path), bytes.NewReader(b))
	req.Host = w.host
	req.Header.Set("Ibischute-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	c := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Do(req)
	status, text := 0, ""
	if err == nil {
		answer, readErr := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if readErr == nil {
			status, text = res.StatusCode, string(answer)
		}
	}
	w.note("client: %s %s at %s -> %d %s", method, path, n.name, status, bytes.TrimSpace([]byte(text)))
	return status, text
}
