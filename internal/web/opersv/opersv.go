// Package opersv serves operators and the load balancer: status, bundles, jobs, drain, health and metrics.
//
// docs/OPERATORS.md documents the API. All calls except health, readiness and metrics require the operators' token.
//
// # Usage
//
//	o := opersv.New(options)
//	server := &http.Server{Handler: o.Handler()}
package opersv

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/ibischute/ibischute/internal/modules/httpj"
	"github.com/ibischute/ibischute/internal/modules/meter"
	"github.com/ibischute/ibischute/internal/modules/wire"
	"github.com/ibischute/ibischute/internal/services/member"
	"github.com/ibischute/ibischute/internal/services/placer"
	"github.com/ibischute/ibischute/internal/services/rollo"
	"github.com/ibischute/ibischute/internal/services/sched"
	"github.com/ibischute/ibischute/internal/web/problem"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

const maxBodyBytes = 2 << 20

// Options are the dependencies of a Server.
type Options struct {
	Name    ident.Instance
	Domain  ident.Domain
	Token   string
	Member  *member.Member
	Sched   *sched.Scheduler
	Rollout *rollo.Rollout
	Placer  *placer.Placer
	Meter   *meter.Meter
	Now     func() tick.Time
	IsReady func() bool
	Drain   func()
}

// Server serves the operators' API.
type Server struct{ opts Options }

// New returns a Server.
func New(o Options) *Server { return &Server{opts: o} }

// Handler returns the operators' API.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "alive\n") })
	r.Get("/readyz", s.ready)
	r.Handle("/metrics", s.opts.Meter.Handler())
	r.Route("/v1", func(r chi.Router) {
		r.Use(s.authorize)
		r.Get("/status", s.status)
		r.Post("/drain", s.drain)
		r.Post("/members/{name}/remove", s.removeMember)
		r.Get("/bundles", s.listBundles)
		r.Post("/bundles", s.propose)
		r.Get("/bundles/{id}", s.showBundle)
		r.Post("/bundles/{id}/sign-offs", s.signOff)
		r.Get("/jobs", s.listJobs)
		r.Post("/jobs", s.submitJob)
		r.Get("/jobs/{id}", s.showJob)
		r.Delete("/jobs/{id}", s.cancelJob)
	})
	return r
}

func (s *Server) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if s.opts.Token != "" && subtle.ConstantTimeCompare([]byte(token), []byte(s.opts.Token)) != 1 {
			problem.Write(w, "", fault.New(fault.CodeUnauthorized, fault.NotRun, "the operators' token is missing or wrong"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.opts.IsReady() {
		problem.Write(w, "", fault.New(fault.CodeNotReady, fault.NotRun, "not ready"))
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (s *Server) drain(w http.ResponseWriter, _ *http.Request) {
	s.opts.Drain()
	httpj.Write(w, http.StatusAccepted, struct{}{})
}

// RemoveRequest is the request body for removing a member.
type RemoveRequest struct {
	Reason string `json:"reason"`
}

func (s *Server) removeMember(w http.ResponseWriter, r *http.Request) {
	req, err := httpj.Decode[RemoveRequest](r, maxBodyBytes)
	if err == nil {
		err = s.opts.Member.RemoveByOperator(r.Context(), ident.Instance(chi.URLParam(r, "name")), req.Reason)
	}
	respond(w, struct{}{}, err)
}

func (s *Server) listBundles(w http.ResponseWriter, _ *http.Request) {
	out := []Proposal{}
	for _, p := range s.opts.Rollout.All() {
		out = append(out, proposalOf(p))
	}
	httpj.Write(w, http.StatusOK, out)
}

func (s *Server) showBundle(w http.ResponseWriter, r *http.Request) {
	p, err := s.opts.Rollout.Status(chi.URLParam(r, "id"))
	if err != nil {
		problem.Write(w, "", err)
		return
	}
	httpj.Write(w, http.StatusOK, proposalOf(p))
}

// ProposeRequest is the request body for proposing a bundle.
type ProposeRequest struct {
	// Bundle is the exact YAML text; the bundle's ID is computed from these bytes.
	Bundle []byte `json:"bundle"`
}

// ProposeResponse is the response to a ProposeRequest.
type ProposeResponse struct {
	ID string `json:"id"`
}

func (s *Server) propose(w http.ResponseWriter, r *http.Request) {
	req, err := httpj.Decode[ProposeRequest](r, maxBodyBytes)
	if err != nil {
		problem.Write(w, "", err)
		return
	}
	id, err := s.opts.Rollout.Propose(r.Context(), req.Bundle)
	respond(w, ProposeResponse{ID: id}, err)
}

// SignOffRequest is the request body for signing off a bundle.
type SignOffRequest struct {
	Operator  string `json:"operator"`
	Signature []byte `json:"signature"`
}

func (s *Server) signOff(w http.ResponseWriter, r *http.Request) {
	req, err := httpj.Decode[SignOffRequest](r, maxBodyBytes)
	if err == nil {
		err = s.opts.Rollout.SignOff(r.Context(), chi.URLParam(r, "id"), req.Operator, req.Signature)
	}
	respond(w, struct{}{}, err)
}

func respond(w http.ResponseWriter, v any, err error) {
	if err != nil {
		problem.Write(w, "", err)
		return
	}
	httpj.Write(w, http.StatusOK, v)
}

func (s *Server) listJobs(w http.ResponseWriter, r *http.Request) {
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	out := []json.RawMessage{}
	for _, j := range s.opts.Placer.List(limit).GetJobs() {
		out = append(out, encodeJob(j))
	}
	httpj.Write(w, http.StatusOK, out)
}

// encodeJob encodes a job status as JSON with kebab-case keys.
func encodeJob(j *wire.JobStatus) json.RawMessage {
	data, err := json.Marshal(JobOf(j))
	if err != nil {
		return json.RawMessage("{}")
	}
	return data
}

type jobCall func(ctx context.Context) (*wire.JobStatus, error)

func (s *Server) writeJob(w http.ResponseWriter, r *http.Request, call jobCall) {
	j, err := call(r.Context())
	if err != nil {
		problem.Write(w, "", err)
		return
	}
	httpj.Write(w, http.StatusOK, encodeJob(j))
}

func (s *Server) submitJob(w http.ResponseWriter, r *http.Request) {
	req, err := httpj.Decode[JobSpec](r, maxBodyBytes)
	if err != nil {
		problem.Write(w, "", err)
		return
	}
	s.writeJob(w, r, func(ctx context.Context) (*wire.JobStatus, error) { return s.opts.Placer.Submit(ctx, req.Wire()) })
}

func (s *Server) showJob(w http.ResponseWriter, r *http.Request) {
	id := ident.Job(chi.URLParam(r, "id"))
	s.writeJob(w, r, func(ctx context.Context) (*wire.JobStatus, error) { return s.opts.Placer.ShowAnywhere(ctx, id) })
}

func (s *Server) cancelJob(w http.ResponseWriter, r *http.Request) {
	id := ident.Job(chi.URLParam(r, "id"))
	s.writeJob(w, r, func(ctx context.Context) (*wire.JobStatus, error) { return s.opts.Placer.Cancel(ctx, id) })
}
