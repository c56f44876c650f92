// Package execu is a small stand-in for an executor of a backend server.
//
// It runs each request for a configurable service time, echoes method, path and body, and records violations by the
// scheduler: use of more slots or connections than the executor has, and non-idempotent requests that run twice. It
// never rejects a request because of overload.
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
	maxBodyBytes   = 16 << 20
	maxViolations  = 1000
	maxTrackedKeys = 1 << 20
	// truncatedContentLength is the Content-Length of a truncated response, of which only a part is sent.
	truncatedContentLength = 1 << 20
)

// Options are the settings of an Executor.
type Options struct {
	Name        string
	Slots       int
	Connections int
	ServiceTime time.Duration
	// NoAbort makes requests run to completion even if they are aborted or their connection is closed.
	NoAbort bool
}

// Faults are the faults to inject.
type Faults struct {
	// Leaving makes the executor report that it is leaving; it still runs the requests it receives.
	Leaving bool `json:"leaving"`
	// FailShare is the share of requests that are answered with status 500.
	FailShare float64 `json:"fail-share"`
	// TruncateNext is the number of requests, starting with the next one, whose responses are truncated.
	TruncateNext int `json:"truncate-next"`
	// DropNext is the number of requests, starting with the next one, that are run and whose connections are closed
	// without a response.
	DropNext int `json:"drop-next"`
	// SlowFactor multiplies the service time.
	SlowFactor float64 `json:"slow-factor"`
}

// Report holds the counters and violations that an Executor has recorded.
type Report struct {
	Name            string `json:"name"`
	Ran             int    `json:"ran"`
	Finished        int    `json:"finished"`
	Aborted         int    `json:"aborted"`
	Running         int    `json:"running"`
	PeakSlots       int    `json:"peak-slots"`
	Connections     int    `json:"connections"`
	PeakConnections int    `json:"peak-connections"`
	// AfterLeave is the number of requests that started while the executor reported that it was leaving.
	AfterLeave int   `json:"after-leave"`
	BusyMS     int64 `json:"busy-ms"`
	// WastedMS is the slot time used after callers cancelled, at the times announced in HeaderCancelAt.
	WastedMS   int64    `json:"wasted-ms"`
	Violations []string `json:"violations"`
}

type run struct {
	cancel context.CancelFunc
	ended  chan struct{}
}

// Executor is a stand-in for an executor.
type Executor struct {
	opts            Options
	mu              sync.Mutex
	faults          Faults
	leavingSince    time.Time
	report          Report
	running         map[string]*run
	runsByKey       map[string]int
	accruedFailures float64
	busy            time.Duration
	wasted          time.Duration
}

// New returns an Executor.
func New(o Options) *Executor {
	return &Executor{
		opts: o, running: map[string]*run{}, runsByKey: map[string]int{}, faults: Faults{SlowFactor: 1},
		report: Report{Name: o.Name, Violations: []string{}},
	}
}

// Handler returns the HTTP API: the executor's control API below /-, fault injection and reports below /stand/v1, and
// requests to run on all other paths.
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

// ConnState counts the open connections. Use it as the ConnState hook of the http.Server.
func (x *Executor) ConnState(_ net.Conn, s http.ConnState) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch s {
	case http.StateNew:
		x.report.Connections++
		x.report.PeakConnections = max(x.report.PeakConnections, x.report.Connections)
		if x.report.Connections > x.opts.Connections {
			x.recordViolation(fmt.Sprintf("%d connections of %d", x.report.Connections, x.opts.Connections))
		}
	case http.StateClosed, http.StateHijacked:
		x.report.Connections--
	}
}

// Report returns what has been recorded so far.
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

// SetFaults replaces the injected faults.
func (x *Executor) SetFaults(f Faults) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if f.SlowFactor == 0 {
		f.SlowFactor = 1
	}
	if f.Leaving && !x.faults.Leaving {
		x.leavingSince = time.Now()
	}
	x.faults = f
}

// recordViolation records a violation. The caller holds the mutex.
func (x *Executor) recordViolation(text string) {
	if len(x.report.Violations) < maxViolations {
		x.report.Violations = append(x.report.Violations, x.opts.Name+": "+text)
	}
}

func (x *Executor) handleLoad(w http.ResponseWriter, _ *http.Request) {
	x.mu.Lock()
	defer x.mu.Unlock()
	l := execio.Load{Slots: x.opts.Slots, Running: len(x.running), Leaving: x.faults.Leaving}
	httpj.Write(w, http.StatusOK, l)
}

func (x *Executor) handleFaults(w http.ResponseWriter, r *http.Request) {
	f, err := httpj.Decode[Faults](r, maxBodyBytes)
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

// handleRuns responds with the number of runs of each non-idempotent request.
func (x *Executor) handleRuns(w http.ResponseWriter, _ *http.Request) {
	x.mu.Lock()
	defer x.mu.Unlock()
	httpj.Write(w, http.StatusOK, x.runsByKey)
}

// handleAbort aborts a request and responds once its run has ended.
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
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
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
	finished := x.simulateWork(ctx, r, f)
	x.end(id, rn, finished, time.Since(started), wastedTime(r, started))
	if !finished {
		// If the handler returned here, net/http would send status 200 with an empty body.
		panic(http.ErrAbortHandler)
	}
	x.respond(w, r, f, body)
}

// begin records that a request starts to run and returns the faults that apply to it. It is called before the work
// starts, so that a slot in use is always counted.
func (x *Executor) begin(id string, r *http.Request, rn *run) Faults {
	x.mu.Lock()
	defer x.mu.Unlock()
	if _, isDuplicate := x.running[id]; isDuplicate {
		x.recordViolation("request " + id + " runs twice at once")
		id += "/again"
	}
	x.running[id] = rn
	x.report.Ran++
	x.report.PeakSlots = max(x.report.PeakSlots, len(x.running))
	if len(x.running) > x.opts.Slots {
		x.recordViolation(fmt.Sprintf("%d slots of %d in use", len(x.running), x.opts.Slots))
	}
	if x.faults.Leaving {
		x.report.AfterLeave++
	}
	x.countRun(r, id)
	f := x.faults
	x.faults.TruncateNext = max(0, x.faults.TruncateNext-1)
	x.faults.DropNext = max(0, x.faults.DropNext-1)
	return f
}

// countRun counts the runs of a non-idempotent request by its idempotency key or, without one, by its request id.
func (x *Executor) countRun(r *http.Request, id string) {
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		return
	}
	key := r.Header.Get("Ibischute-Tenant") + "/" + r.Header.Get("Idempotency-Key")
	if strings.HasSuffix(key, "/") {
		key = "id/" + id
	}
	if len(x.runsByKey) < maxTrackedKeys {
		x.runsByKey[key]++
	}
	if x.runsByKey[key] > 1 {
		x.recordViolation("non-idempotent " + key + " ran again")
	}
}

// simulateWork waits for the service time of the request and returns false if the request was aborted before.
func (x *Executor) simulateWork(ctx context.Context, r *http.Request, f Faults) bool {
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

// HeaderCancelAt is the header in which callers announce when they are going to cancel the request, in microseconds of
// Unix time.
const HeaderCancelAt = "Stand-Leave-At-Us"

// wastedTime returns the slot time that was used after the caller had cancelled the request.
func wastedTime(r *http.Request, started time.Time) time.Duration {
	us, err := strconv.ParseInt(r.Header.Get(HeaderCancelAt), 10, 64)
	if err != nil {
		return 0
	}
	from := time.UnixMicro(us)
	if from.Before(started) {
		from = started
	}
	return max(0, time.Since(from))
}

func (x *Executor) end(id string, rn *run, finished bool, elapsed, wasted time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.running[id] == rn {
		delete(x.running, id)
	} else {
		delete(x.running, id+"/again")
	}
	x.busy += elapsed
	x.wasted += wasted
	if finished {
		x.report.Finished++
	} else {
		x.report.Aborted++
	}
	close(rn.ended)
}

func (x *Executor) respond(w http.ResponseWriter, r *http.Request, f Faults, body []byte) {
	if f.DropNext > 0 {
		panic(http.ErrAbortHandler)
	}
	if f.TruncateNext > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(truncatedContentLength))
		_, _ = w.Write(make([]byte, truncatedContentLength/2))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	if x.isNextFailing(f) {
		http.Error(w, "injected failure", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Stand-Executor", x.opts.Name)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	fmt.Fprintf(w, "%s %s\n%s", r.Method, r.URL.RequestURI(), body)
}

// isNextFailing returns whether the next response is a failure. Each call accrues the share of failures, so that they
// are spread evenly.
func (x *Executor) isNextFailing(f Faults) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.accruedFailures += f.FailShare
	if x.accruedFailures >= 1 {
		x.accruedFailures--
		return true
	}
	return false
}
