// Package plat is a small in-memory stand-in for the platform: the log, the instance list and the workers.
//
// It gives no more guarantees than the platform does, and records every violation of the guarantees that the system
// under test has to give.
//
// # Usage
//
//	p := plat.New(plat.Options{ListLag: 2 * time.Second})
//	go p.Run(ctx)
//	http.ListenAndServe(address, p.Handler())
package plat

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/ibischute/ibischute/internal/modules/httpj"
)

const (
	tickInterval  = 20 * time.Millisecond
	maxBodyBytes  = 8 << 20
	maxViolations = 1000
)

// Options are the settings of a Platform.
type Options struct {
	// ListLag is the delay until a change of the instance list becomes visible.
	ListLag time.Duration
	// RetainRecords is the number of newest records that a stream keeps; 0 keeps all.
	RetainRecords int
}

// Faults are the faults to inject.
type Faults struct {
	// Down makes every call fail with status 503 and without effect.
	Down bool `json:"down"`
	// SlowMS is the delay of every call.
	SlowMS int64 `json:"slow-ms"`
	// LoseAnswers makes every call take effect and closes its connection without a response.
	LoseAnswers bool `json:"lose-answers"`
}

// Report holds the counters and violations that a Platform has recorded.
type Report struct {
	Violations []string `json:"violations"`
	Appends    int      `json:"appends"`
	Records    int      `json:"records"`
	Reads      int      `json:"reads"`
	// Started, Finished and Running count tasks: all that were started, all that have finished, and those running now.
	Started  int `json:"started"`
	Finished int `json:"finished"`
	Running  int `json:"running"`
}

// Platform is a stand-in for the platform.
type Platform struct {
	opts    Options
	mu      sync.Mutex
	faults  Faults
	streams map[string]*stream
	list    *instanceList
	workers map[string]*worker
	report  Report
}

// New returns a Platform.
func New(o Options) *Platform {
	return &Platform{
		opts: o, streams: map[string]*stream{}, list: newInstanceList(o.ListLag), workers: map[string]*worker{},
	}
}

// Run advances the tasks of the workers until the context is cancelled.
func (p *Platform) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			p.mu.Lock()
			p.advanceWorkers(time.Now())
			p.mu.Unlock()
		}
	}
}

// Handler returns the HTTP API: the platform's API below /v1, fault injection, registration and reports below
// /stand/v1.
func (p *Platform) Handler() http.Handler {
	r := chi.NewRouter()
	r.Route("/v1", func(r chi.Router) {
		r.Use(p.injectFaults)
		r.Post("/streams/{stream}/records", p.handleAppend)
		r.Get("/streams/{stream}/records", p.handleRead)
		r.Get("/instances", p.handleInstances)
		r.Post("/workers/{worker}/sync", p.handleSync)
		r.Post("/workers/{worker}/{verb}", p.handleTask)
	})
	r.Route("/stand/v1", func(r chi.Router) {
		r.Post("/faults", p.handleFaults)
		r.Post("/instances", p.handleRegister)
		r.Get("/report", p.handleReport)
	})
	return r
}

// Report returns what has been recorded so far.
func (p *Platform) Report() Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	rep := p.report
	rep.Violations = append([]string{}, p.report.Violations...)
	rep.Running = p.countRunning()
	return rep
}

// recordViolation records a violation. The caller holds the mutex.
func (p *Platform) recordViolation(text string) {
	if len(p.report.Violations) < maxViolations {
		p.report.Violations = append(p.report.Violations, text)
	}
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

func (p *Platform) currentFaults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// injectFaults is a middleware that applies the current faults to a call.
func (p *Platform) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := p.currentFaults()
		if f.SlowMS > 0 {
			select {
			case <-time.After(time.Duration(f.SlowMS) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
		if f.Down {
			http.Error(w, "the platform is down", http.StatusServiceUnavailable)
			return
		}
		if f.LoseAnswers {
			next.ServeHTTP(&discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// discardWriter is a ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardWriter) WriteHeader(int)             {}

func (p *Platform) handleFaults(w http.ResponseWriter, r *http.Request) {
	f, err := httpj.Decode[Faults](r, maxBodyBytes)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
	httpj.Write(w, http.StatusOK, f)
}

func (p *Platform) handleReport(w http.ResponseWriter, _ *http.Request) {
	httpj.Write(w, http.StatusOK, p.Report())
}
