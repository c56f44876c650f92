// Package execu is a small stand-in for an executor of a backend server.
//
// It runs every request it is sent for a settable service time, echoes method, path and body, and counts what a
// scheduler must not do: use more slots or connections than it has, or run a non-idempotent request twice. It refuses
// nothing for having too much work.
//
// # Usage
//
//	x := execu.New(execu.Options{Name: "cat-ex-1", Slots: 8, Connections: 64, ServiceTime: 5 * time.Millisecond})
//	server := &http.Server{Handler: x.Handler(), ConnState: x.ConnState}
package execu

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/ibischute/ibischute/internal/modules/execio"
	"github.com/ibischute/ibischute/internal/modules/httpj"
)

const (
	maxBody       = 16 << 20
	maxViolations = 1000
	maxRemembered = 1 << 20
	// truncatedLength is the length that a truncated answer announces and does not reach.
	truncatedLength = 1 << 20
)

// Options are the settings of an Executor.
type Options struct {
	Name        string
	Slots       int
	Connections int
	ServiceTime time.Duration
	// NoAbort makes work run to its end after its connection closed.
	NoAbort bool
}

// Faults are the switches that make the executor misbehave.
type Faults struct {
	// Leaving makes the executor say that it is leaving; it still runs what it is sent.
	Leaving bool `json:"leaving"`
	// FailShare of the requests are answered 500.
	FailShare float64 `json:"fail-share"`
	// TruncateNext cuts the answers of so many requests.
	TruncateNext int `json:"truncate-next"`
	// DropNext runs so many requests and closes the connection without an answer.
	DropNext int `json:"drop-next"`
	// SlowFactor multiplies the service time.
	SlowFactor float64 `json:"slow-factor"`
}

// Report is what the stand-in has seen.
type Report struct {
	Name        string `json:"name"`
	Ran         int    `json:"ran"`
	Finished    int    `json:"finished"`
	Aborted     int    `json:"aborted"`
	Running     int    `json:"running"`
	PeakSlots   int    `json:"peak-slots"`
	Connections int    `json:"connections"`
	PeakConns   int    `json:"peak-connections"`
	AfterLeave  int    `json:"after-leave"`
	BusyMS      int64  `json:"busy-ms"`
	// WastedMS is the slot time after the callers had left, as they announced it in advance.
	WastedMS   int64    `json:"wasted-ms"`
	Violations []string `json:"violations"`
}

type run struct {
	cancel context.CancelFunc
	ended  chan struct{}
}

// Executor is the stand-in.
type Executor struct {
	opts      Options
	mu        sync.Mutex
	faults    Faults
	leftAt    time.Time
	report    Report
	running   map[string]*run
	ranByKey  map[string]int
	failCount float64
	busy      time.Duration
	wasted    time.Duration
}

// New returns an Executor.
func New(o Options) *Executor {
	return &Executor{
		opts: o, running: map[string]*run{}, ranByKey: map[string]int{}, faults: Faults{SlowFactor: 1},
		report: Report{Name: o.Name, Violations: []string{}},
	}
}

// Handler returns the HTTP API: the executor's control below /-, the switches below /stand/v1, work elsewhere.
func (x *Executor) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get(execio.PathLoad, x.handleLoad)
	r.Delete(execio.PathRequests+"{id}", x.handleAbort)
	r.Post("/stand/v1/faults", x.handleFaults)
	r.Get("/stand/v1/report", x.handleReport)
	r.Get("/stand/v1/runs", x.handleRuns)
	r.NotFound(x.handleWork)
	r.MethodNotAllowed(x.handleWork)
	return r
}

// ConnState counts connections; set it in the http.Server.
func (x *Executor) ConnState(_ net.Conn, s http.ConnState) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch s {
	case http.StateNew:
		x.report.Connections++
		x.report.PeakConns = max(x.report.PeakConns, x.report.Connections)
		if x.report.Connections > x.opts.Connections {
			x.violate(fmt.Sprintf("%d connections of %d", x.report.Connections, x.opts.Connections))
		}
	case http.StateClosed, http.StateHijacked:
		x.report.Connections--
	}
}

// Report returns what was seen so far.
func (x *Executor) Report() Report {
	x.mu.Lock()
	defer x.mu.Unlock()
	r := x.report
	r.Running = len(x.running)
	r.BusyMS = x.busy.Milliseconds()
	r.WastedMS = x.wasted.Milliseconds()
	r.Violations = append([]string{}, x.report.Violations...)
	return r
}

// SetFaults sets the switches.
func (x *Executor) SetFaults(f Faults) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if f.SlowFactor == 0 {
		f.SlowFactor = 1
	}
	if f.Leaving && !x.faults.Leaving {
		x.leftAt = time.Now()
	}
	x.faults = f
}

func (x *Executor) violate(what string) {
	if len(x.report.Violations) < maxViolations {
		x.report.Violations = append(x.report.Violations, x.opts.Name+": "+what)
	}
}

func (x *Executor) handleLoad(w http.ResponseWriter, _ *http.Request) {
	x.mu.Lock()
	defer x.mu.Unlock()
	l := execio.Load{Slots: x.opts.Slots, Running: len(x.running), Leaving: x.faults.Leaving}
	httpj.Write(w, http.StatusOK, l)
}

func (x *Executor) handleFaults(w http.ResponseWriter, r *http.Request) {
	f, err := httpj.Decode[Faults](r, maxBody)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	x.SetFaults(f)
	httpj.Write(w, http.StatusOK, f)
}

func (x *Executor) handleReport(w http.ResponseWriter, _ *http.Request) {
	httpj.Write(w, http.StatusOK, x.Report())
}

// handleRuns answers how often each non-idempotent request ran.
func (x *Executor) handleRuns(w http.ResponseWriter, _ *http.Request) {
	x.mu.Lock()
	defer x.mu.Unlock()
	httpj.Write(w, http.StatusOK, x.ranByKey)
}

func (x *Executor) handleAbort(w http.ResponseWriter, r *http.Request) {
	x.mu.Lock()
	rn, ok := x.running[chi.URLParam(r, "id")]
	x.mu.Unlock()
	if !ok {
		httpj.Write(w, http.StatusOK, struct{}{})
		return
	}
	if !x.opts.NoAbort {
		rn.cancel()
	}
	select {
	case <-rn.ended:
		httpj.Write(w, http.StatusOK, struct{}{})
	case <-r.Context().Done():
	}
}

func (x *Executor) handleWork(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(execio.HeaderRequestID)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	parent := r.Context()
	if x.opts.NoAbort {
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	rn := &run{cancel: cancel, ended: make(chan struct{})}
	f := x.begin(id, r, rn)
	started := time.Now()
	finished := x.work(ctx, r, f)
	x.end(id, rn, finished, time.Since(started), afterLeave(r, started))
	if !finished {
		// A handler that just returns would answer 200 with an empty body.
		panic(http.ErrAbortHandler)
	}
	x.answer(w, r, f, body)
}

// begin counts the run of a request; a request may be counted before its slot is, never after.
func (x *Executor) begin(id string, r *http.Request, rn *run) Faults {
	x.mu.Lock()
	defer x.mu.Unlock()
	if _, twice := x.running[id]; twice {
		x.violate("request " + id + " runs twice at once")
		id += "/again"
	}
	x.running[id] = rn
	x.report.Ran++
	x.report.PeakSlots = max(x.report.PeakSlots, len(x.running))
	if len(x.running) > x.opts.Slots {
		x.violate(fmt.Sprintf("%d slots of %d in use", len(x.running), x.opts.Slots))
	}
	if x.faults.Leaving {
		x.report.AfterLeave++
	}
	x.countKey(r, id)
	f := x.faults
	x.faults.TruncateNext = max(0, x.faults.TruncateNext-1)
	x.faults.DropNext = max(0, x.faults.DropNext-1)
	return f
}

func (x *Executor) countKey(r *http.Request, id string) {
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		return
	}
	key := r.Header.Get("Ibischute-Tenant") + "/" + r.Header.Get("Idempotency-Key")
	if strings.HasSuffix(key, "/") {
		key = "id/" + id
	}
	if len(x.ranByKey) < maxRemembered {
		x.ranByKey[key]++
	}
	if x.ranByKey[key] > 1 {
		x.violate("non-idempotent " + key + " ran again")
	}
}

func (x *Executor) work(ctx context.Context, r *http.Request, f Faults) bool {
	d := x.opts.ServiceTime
	if ms, err := strconv.ParseFloat(r.Header.Get("Stand-Service-Ms"), 64); err == nil {
		d = time.Duration(ms * float64(time.Millisecond))
	}
	d = time.Duration(float64(d) * f.SlowFactor)
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// HeaderLeave announces the calendar time in microseconds at which the caller is going to leave.
const HeaderLeave = "Stand-Leave-At-Us"

// afterLeave returns the slot time that was spent after the caller had left.
func afterLeave(r *http.Request, started time.Time) time.Duration {
	us, err := strconv.ParseInt(r.Header.Get(HeaderLeave), 10, 64)
	if err != nil {
		return 0
	}
	from := time.UnixMicro(us)
	if from.Before(started) {
		from = started
	}
	return max(0, time.Since(from))
}

func (x *Executor) end(id string, rn *run, finished bool, took, wasted time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.running[id] == rn {
		delete(x.running, id)
	} else {
		delete(x.running, id+"/again")
	}
	x.busy += took
	x.wasted += wasted
	if finished {
		x.report.Finished++
	} else {
		x.report.Aborted++
	}
	close(rn.ended)
}

func (x *Executor) answer(w http.ResponseWriter, r *http.Request, f Faults, body []byte) {
	if f.DropNext > 0 {
		panic(http.ErrAbortHandler)
	}
	if f.TruncateNext > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(truncatedLength))
		_, _ = w.Write(make([]byte, truncatedLength/2))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	if x.isFailing(f) {
		http.Error(w, "injected failure", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Stand-Executor", x.opts.Name)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	fmt.Fprintf(w, "%s %s\n%s", r.Method, r.URL.RequestURI(), body)
}

// isFailing spreads the share of failures evenly.
func (x *Executor) isFailing(f Faults) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.failCount += f.FailShare
	if x.failCount >= 1 {
		x.failCount--
		return true
	}
	return false
}
