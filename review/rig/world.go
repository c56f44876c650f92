package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"
)

// The bounds of kmkcb-ibis-grown, as the settings state them.
const (
	maxHoldMS    = 10000
	stopTime     = 50 * time.Millisecond
	gangTimeout  = 4 * time.Second
	beatInterval = 1500 * time.Millisecond
	endsListed   = 500
)

// Step is a step of a job as a client hands it in.
type Step struct {
	Count       int   `json:"count"`
	CPU         int   `json:"cpu"`
	MemMB       int   `json:"mem_mb"`
	EstimateMS  int   `json:"estimate_ms,omitempty"`
	DependsOn   []int `json:"depends_on,omitempty"`
	Gang        bool  `json:"gang,omitempty"`
	LongRunning bool  `json:"long_running,omitempty"`

	// Work is how long a run of a task works, FailsAfter how long a run of the task of an index works until it fails by its
	// own fault. Executors know them, the system does not.
	Work       time.Duration         `json:"-"`
	FailsAfter map[int]time.Duration `json:"-"`
}

// Job is a job of a client.
type Job struct {
	ID          string `json:"-"`
	Queue       *Queue `json:"-"`
	Spec        string `json:"spec"`
	Steps       []Step `json:"steps"`
	RepeatCount int    `json:"repeat_count,omitempty"`
	StartTimeMS int64  `json:"start_time_ms,omitempty"`
	IntervalMS  int64  `json:"interval_ms,omitempty"`
}

// Queue is a route of the configuration.
type Queue struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"path_prefix"`
	Kind        string  `json:"kind"`
	TimeoutMS   int     `json:"timeout_ms"`
	TargetMS    int     `json:"target_latency_ms"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"max_attempts"`
	Stretch     float64 `json:"stretch_factor"`
}

// World is one deployment with its stand-ins, and the record of what they saw.
type World struct {
	mu      sync.Mutex
	dir     string
	tmp     string
	record  *os.File
	begun   time.Time
	net     string
	store   *Store
	nodes   []*Node
	execs   []*Executor
	jobs    map[string]*Job
	queues  []*Queue
	version int
	gangs   map[string]*gangRun
	history map[string]*taskHistory
	broken  []string
	trouble bool
	done    chan struct{}
	servers []*http.Server
	// quiet leaves runs and answers out of the record while there are too many.
	quiet bool
}

// errCannotRun ends the case with 2.
type errCannotRun struct{ error }

func fail(err error) {
	if err != nil {
		panic(errCannotRun{err})
	}
}

// freeNet returns the first three octets of a loopback network on which the ports of the case are free. All nodes have
// the same ports, at addresses of their own, as the deployments do.
func freeNet() string {
	for i := range 200 {
		n := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+i)%200, 1+i)
		isFree := true
		for _, a := range []string{n + ".1:8161", n + ".1:8167", n + ".1:7720", n + ".1:9464", n + ".100:8169", n + ".101:8080"} {
			l, err := net.Listen("tcp", a)
			if err != nil {
				isFree = false
				break
			}
			_ = l.Close()
		}
		if isFree {
			return n
		}
	}
	fail(fmt.Errorf("no free loopback network"))
	return ""
}

func newWorld(dir string, trouble bool) *World {
	w := &World{
		dir: dir, begun: time.Now(), store: newStore(), jobs: map[string]*Job{}, gangs: map[string]*gangRun{},
		history: map[string]*taskHistory{}, trouble: trouble, done: make(chan struct{}),
	}
	var err error
	w.record, err = os.Create(filepath.Join(dir, "record.txt"))
	fail(err)
	w.tmp, err = os.MkdirTemp("", "review-")
	fail(err)
	w.net = freeNet()
	w.serve(w.net+".100:8169", w.store)
	return w
}

func (w *World) serve(address string, h http.Handler) *http.Server {
	l, err := net.Listen("tcp", address)
	fail(err)
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.Serve(l) }()
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	return s
}

// close ends all processes of the case.
func (w *World) close() {
	close(w.done)
	for _, n := range w.nodes {
		n.kill(0)
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	_ = os.RemoveAll(w.tmp)
}

// note adds a line to the record.
func (w *World) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked(format, args...)
}

func (w *World) noteLocked(format string, args ...any) {
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

func (w *World) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.noteLocked("BROKEN %s", text)
}

// configure has the operator write a configuration with the queues.
func (w *World) configure(services ...string) {
	w.mu.Lock()
	w.version += 3
	list := []map[string]any{}
	for _, s := range services {
		list = append(list, map[string]any{
			"name": s, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false,
			"enforces_capacity": true, "spare": false,
		})
	}
	b, err := json.Marshal(map[string]any{
		"version": w.version, "routes": w.queues, "services": list, "limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
	var names []string
	for _, q := range w.queues {
		names = append(names, q.Name)
	}
	w.noteLocked("operator writes configuration %d with the queues %v", w.version, names)
	w.mu.Unlock()
	fail(err)
	w.store.Put("keyed.op", "config", b)
}

func (w *World) addQueue(name string, priority, maxAttempts int) *Queue {
	q := &Queue{
		Name: name, Host: name + ".example", Prefix: "/" + name + "/", Kind: "non_idempotent", TimeoutMS: 3000, TargetMS: 1000,
		Priority: priority, Service: "desk", MaxAttempts: maxAttempts, Stretch: 2,
	}
	w.queues = append(w.queues, q)
	return q
}

// taskHistory is what executors have seen of one task.
type taskHistory struct {
	runs []*run
}

func (w *World) task(name string) *taskHistory {
	h := w.history[name]
	if h == nil {
		h = &taskHistory{}
		w.history[name] = h
	}
	return h
}

// check applies the rules TWICE and BUDGET to the whole record, once all ends that are acknowledged are.
func (w *World) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	names := make([]string, 0, len(w.history))
	for n := range w.history {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, name := range names {
		w.checkTask(name, w.history[name].runs)
	}
}

func (w *World) checkTask(name string, runs []*run) {
	job := w.jobs[strings.Split(name, ".")[0]]
	for i, r := range runs {
		failures := 0
		for _, o := range runs[:i] {
			isEnded := !o.endedAt.IsZero() && !o.endedAt.After(r.startedAt)
			switch {
			case !isEnded:
				w.breaks("TWICE %s: run %d starts on %s while run %d runs on %s", name, r.number, r.exec.id, o.number, o.exec.id)
			case isEnded && o.how == "done" && o.isNoted:
				w.breaks("TWICE %s: run %d starts on %s at %.3f, after run %d on %s has ended done at %.3f, which is acknowledged",
					name, r.number, r.exec.id, w.at(r.startedAt), o.number, o.exec.id, w.at(o.endedAt))
			case isEnded && o.how == "failed" && o.isNoted:
				failures++
			}
		}
		if job != nil && failures >= job.Queue.MaxAttempts && !r.step.LongRunning {
			w.breaks("BUDGET %s: run %d starts on %s at %.3f after %d runs have ended failed, which is acknowledged; max_attempts is %d",
				name, r.number, r.exec.id, w.at(r.startedAt), failures, job.Queue.MaxAttempts)
		}
	}
}

func (w *World) at(t time.Time) float64 { return t.Sub(w.begun).Seconds() }

// noteRun and noteCall add a line on a run or on an answer, unless there are too many.
func (w *World) noteRun(format string, args ...any) {
	if !w.quiet {
		w.noteLocked(format, args...)
	}
}

func (w *World) noteCall(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteRun(format, args...)
}

func (w *World) setQuiet(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.quiet = on
}
