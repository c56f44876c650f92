// Package plat is a small stand-in for the users' platform: the log, the instance list and the workers.
//
// It enforces only what the platform promises and records every violation of what the system under test promises.
// It keeps everything in memory.
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
	maxBody       = 8 << 20
	maxViolations = 1000
)

// Options are the settings of a Platform.
type Options struct {
	// ListLag is how far the instance list is behind.
	ListLag time.Duration
	// RetainRecords is how many records a stream keeps.
	RetainRecords int
}

// Faults are the switches that make the platform misbehave.
type Faults struct {
	// Down makes every call fail without an effect.
	Down bool `json:"down"`
	// SlowMS delays every call.
	SlowMS int64 `json:"slow-ms"`
	// LoseAnswers cuts the connection after the effect.
	LoseAnswers bool `json:"lose-answers"`
}

// Report is what the stand-in has seen.
type Report struct {
	Violations []string `json:"violations"`
	Appends    int      `json:"appends"`
	Records    int      `json:"records"`
	Reads      int      `json:"reads"`
	Started    int      `json:"started"`
	Finished   int      `json:"finished"`
	Running    int      `json:"running"`
}

// Platform is the stand-in.
type Platform struct {
	opts    Options
	mu      sync.Mutex
	faults  Faults
	streams map[string]*stream
	list    *list
	workers map[string]*worker
	report  Report
}

// New returns a Platform.
func New(o Options) *Platform {
	return &Platform{opts: o, streams: map[string]*stream{}, list: newList(o.ListLag), workers: map[string]*worker{}}
}

// Run lets time pass for the workers until the context ends.
func (p *Platform) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			p.mu.Lock()
			p.stepWorkers(time.Now())
			p.mu.Unlock()
		}
	}
}

// Handler returns the HTTP API: the platform's own below /v1 and the switches below /stand/v1.
func (p *Platform) Handler() http.Handler {
	r := chi.NewRouter()
	r.Route("/v1", func(r chi.Router) {
		r.Use(p.misbehave)
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

// Report returns what was seen so far.
func (p *Platform) Report() Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	rep := p.report
	rep.Violations = append([]string{}, p.report.Violations...)
	rep.Running = p.countRunning()
	return rep
}

// violate records a violation; the caller holds the lock.
func (p *Platform) violate(what string) {
	if len(p.report.Violations) < maxViolations {
		p.report.Violations = append(p.report.Violations, what)
	}
}

// SetFaults sets the switches.
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

func (p *Platform) misbehave(next http.Handler) http.Handler {
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
			next.ServeHTTP(&discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// discard is a ResponseWriter whose answer is lost.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(b []byte) (int, error) { return len(b), nil }
func (d *discard) WriteHeader(int)             {}

func (p *Platform) handleFaults(w http.ResponseWriter, r *http.Request) {
	f, err := httpj.Decode[Faults](r, maxBody)
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
