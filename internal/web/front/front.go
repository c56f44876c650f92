// Package front implements the callers' HTTP API.
//
// It admits a request under the configuration version in force when it is received, passes it to the router or to the
// owner of its idempotency key, and streams the answer. Errors are sent immediately and state whether the request ran
// and when to retry. docs/API.md documents the API.
//
// # Usage
//
//	f := front.New(options)
//	server := &http.Server{Handler: f.Handler()}
package front

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"

	"github.com/ibischute/ibischute/internal/modules/execio"
	"github.com/ibischute/ibischute/internal/modules/hopio"
	"github.com/ibischute/ibischute/internal/modules/meter"
	"github.com/ibischute/ibischute/internal/modules/relay"
	"github.com/ibischute/ibischute/internal/services/keyed"
	"github.com/ibischute/ibischute/internal/services/route"
	"github.com/ibischute/ibischute/internal/services/sched"
	"github.com/ibischute/ibischute/internal/state/admit"
	"github.com/ibischute/ibischute/internal/web/problem"
	"github.com/ibischute/ibischute/pkg/bundle"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

// The headers and limits of the API.
const (
	HeaderTenant   = "Ibischute-Tenant"
	HeaderClass    = "Ibischute-Class"
	HeaderDeadline = "Ibischute-Deadline-Ms"
	HeaderKey      = "Idempotency-Key"
	HeaderVersion  = "Ibischute-Config-Version"
	// anonymousTenant is the tenant of requests without a tenant header.
	anonymousTenant = "anonymous"
	maxKeyLength    = 256
	maxTenantLength = 64
	// defaultRetryAfter is the retry delay of transient errors that set none.
	defaultRetryAfter = 500 * time.Millisecond
	// maxInFlight limits the requests in flight at one instance.
	maxInFlight = 8192
)

// Options are the dependencies of a Front.
type Options struct {
	Name        ident.Instance
	Incarnation ident.Incarnation
	Router      *route.Router
	Keyed       *keyed.Keyed
	Config      func() *bundle.Bundle
	// EntryInstances returns the number of entry instances that share the tenants' rate limits.
	EntryInstances func(now tick.Time) int
	Meter          *meter.Meter
	Logger         zerolog.Logger
	Now            func() tick.Time
	IsReady        func() bool
}

// Front serves the callers' API.
type Front struct {
	opts     Options
	limiter  *admit.Limiter
	lastID   atomic.Uint64
	inFlight atomic.Int64
}

// New returns a Front.
func New(o Options) *Front { return &Front{opts: o, limiter: admit.New()} }

// InFlight returns the number of requests in flight.
func (f *Front) InFlight() int { return int(f.inFlight.Load()) }

// Handler returns the HTTP API.
func (f *Front) Handler() http.Handler {
	r := chi.NewRouter()
	r.HandleFunc("/v1/services/{service}", f.handle)
	r.HandleFunc("/v1/services/{service}/*", f.handle)
	r.Get("/readyz", f.handleReady)
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		problem.Write(w, "", fault.New(fault.CodeNotFound, fault.NotRun, "paths start with /v1/services/{service}/"))
	})
	return r
}

func (f *Front) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !f.opts.IsReady() {
		problem.Write(w, "", fault.New(fault.CodeNotReady, fault.NotRun, "not ready").WithRetry(time.Second))
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// call is the state of one request from its receipt to its answer.
type call struct {
	id         ident.Request
	receivedAt tick.Time
	service    ident.Service
	class      bundle.Class
	tenant     bundle.Tenant
	bundle     *bundle.Bundle
}

func (f *Front) handle(w http.ResponseWriter, r *http.Request) {
	if f.inFlight.Add(1) > maxInFlight {
		f.inFlight.Add(-1)
		problem.Write(w, "", fault.New(fault.CodeOverloaded, fault.NotRun, "too many requests under way").
			WithRetry(time.Second))
		return
	}
	defer f.inFlight.Add(-1)
	c := f.newCall(r)
	answer, cancel, err := f.serve(r, c)
	defer cancel()
	if err != nil {
		f.recordOutcome(c, string(fault.From(err).Code))
		f.reject(w, c, err)
		return
	}
	w.Header().Set(execio.HeaderRequestID, string(c.id))
	w.Header().Set(HeaderVersion, strconv.FormatUint(uint64(c.bundle.Version), 10))
	if err := relay.CopyResponse(w, answer); err != nil {
		f.recordOutcome(c, string(fault.From(err).Code))
		relay.Abort()
	}
	f.recordOutcome(c, "answered")
}

func (f *Front) newCall(r *http.Request) *call {
	id := string(f.opts.Name) + "-" + strconv.FormatUint(uint64(f.opts.Incarnation), 36) + "-" +
		strconv.FormatUint(f.lastID.Add(1), 36)
	return &call{
		id: ident.Request(id), receivedAt: f.opts.Now(), service: ident.Service(chi.URLParam(r, "service")),
		bundle: f.opts.Config(),
	}
}

func (f *Front) reject(w http.ResponseWriter, c *call, err error) {
	fe := withDefaultRetryAfter(fault.From(err))
	f.opts.Logger.Debug().Str("request", string(c.id)).Str("service", string(c.service)).
		Str("class", string(c.class.Name)).Str("tenant", string(c.tenant.Name)).Str("code", string(fe.Code)).
		Str("ran", string(fe.Ran)).Str("detail", fe.Detail).Msg("request-refused")
	problem.Write(w, c.id, fe)
}

// withDefaultRetryAfter adds defaultRetryAfter to a transient error that sets no retry delay, unless the request may
// have run.
func withDefaultRetryAfter(e *fault.Error) *fault.Error {
	if e.RetryAfter > 0 || e.Ran != fault.NotRun {
		return e
	}
	switch e.Code {
	case fault.CodeNoOwner, fault.CodeNoCapacity, fault.CodeNotSent, fault.CodeDraining, fault.CodeOverloaded,
		fault.CodeNotReady, fault.CodeUnavailable:
		return e.WithRetry(defaultRetryAfter)
	}
	return e
}

func (f *Front) recordOutcome(c *call, outcome string) {
	elapsed := f.opts.Now().Sub(c.receivedAt)
	service := c.service
	// Until the class is found, the service name is unchecked caller input and must not become a metric label.
	if c.class.Name == "" {
		service = "unknown"
	}
	f.opts.Meter.Request(service, c.class.Name, c.tenant.Name, outcome, elapsed)
	f.opts.Logger.Debug().Str("request", string(c.id)).Str("service", string(service)).Str("outcome", outcome).
		Dur("took", elapsed).Msg("request-done")
}

// serve validates the request and runs it. The answer can be read until the returned cancel function is called.
func (f *Front) serve(r *http.Request, c *call) (*execio.Answer, context.CancelFunc, error) {
	deadline, err := f.resolveCall(r, c)
	if err != nil {
		return nil, func() {}, err
	}
	if retryAfter, ok := f.limiter.Take(c.receivedAt, c.tenant, f.opts.EntryInstances(c.receivedAt)); !ok {
		return nil, func() {}, fault.New(fault.CodeRateLimited, fault.NotRun, "the tenant's rate is used up").
			WithRetry(retryAfter)
	}
	req, err := f.newRequest(r, c, deadline)
	if err != nil {
		return nil, func() {}, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), deadline)
	key := r.Header.Get(HeaderKey)
	if key == "" || req.Idempotent {
		answer, err := f.opts.Router.Do(ctx, req)
		return answer, cancel, err
	}
	answer, err := f.opts.Keyed.Do(ctx, keyed.Request{Request: req, Key: key, Fingerprint: fingerprint(req)})
	return answer, cancel, err
}

// resolveCall sets the class and the tenant of the call and returns its deadline.
func (f *Front) resolveCall(r *http.Request, c *call) (time.Duration, error) {
	if c.bundle == nil {
		return 0, fault.New(fault.CodeNotReady, fault.NotRun, "no configuration is in force yet").WithRetry(time.Second)
	}
	class, ok := c.bundle.Class(c.service, ident.Class(r.Header.Get(HeaderClass)))
	if !ok {
		return 0, fault.New(fault.CodeNotFound, fault.NotRun, "no such service or class")
	}
	c.class = class
	name := r.Header.Get(HeaderTenant)
	if name == "" {
		name = anonymousTenant
	}
	if len(name) > maxTenantLength || len(r.Header.Get(HeaderKey)) > maxKeyLength {
		return 0, fault.New(fault.CodeBadRequest, fault.NotRun, "tenant or idempotency key is too long")
	}
	c.tenant = c.bundle.Tenant(ident.Tenant(name))
	return deadlineOf(r, class)
}

func deadlineOf(r *http.Request, class bundle.Class) (time.Duration, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return class.DefaultDeadline, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > class.MaxDeadline.Milliseconds() {
		return 0, fault.New(fault.CodeBadRequest, fault.NotRun,
			HeaderDeadline+" must be a number from 1 to "+strconv.FormatInt(class.MaxDeadline.Milliseconds(), 10))
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func (f *Front) newRequest(r *http.Request, c *call, deadline time.Duration) (route.Request, error) {
	req := route.Request{
		Request: sched.Request{
			Request: execio.Request{
				ID: c.id, Method: r.Method, Path: servicePath(r), Header: forwardedHeader(r), Length: r.ContentLength,
			},
			Service: c.service, Class: c.class.Name, Tenant: c.tenant.Name, Priority: c.class.Priority,
			Share: c.tenant.Share, MaxQueue: c.class.MaxQueue, Deadline: c.receivedAt.Add(deadline),
		},
		Idempotent:   c.class.Idempotent || isSafe(r.Method),
		RetryPercent: c.bundle.RetryPercent,
	}
	req.Header.Set(HeaderTenant, string(c.tenant.Name))
	return req, route.ReadBody(r.Body, &req)
}

// servicePath returns the path below the service, and the query.
func servicePath(r *http.Request) string {
	path := "/" + chi.URLParam(r, "*")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// forwardedHeader returns the caller's headers without hop-by-hop headers and those that only instances may set.
func forwardedHeader(r *http.Request) http.Header {
	h := relay.EndToEnd(r.Header)
	h.Del(hopio.HeaderMeta)
	h.Del(execio.HeaderRequestID)
	return h
}

func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// fingerprint returns a hash that detects different requests with the same idempotency key. A streamed body is not
// part of it.
func fingerprint(req route.Request) string {
	h := sha256.New()
	_, _ = io.WriteString(h, string(req.Service)+"\n"+req.Method+"\n"+req.Path+"\n")
	_, _ = h.Write(req.Body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}
