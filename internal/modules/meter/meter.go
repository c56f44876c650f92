// Package meter records metrics with tally and exposes them to Prometheus.
//
// The numbers of tenants and of label combinations of requests are limited; above a limit, tenants are counted together
// as "other".
//
// # Usage
//
//	m := meter.New()
//	m.Request("invoicing", "invoice", "gardener-17", "answered", latency)
//	http.Handle("/metrics", m.Handler())
package meter

import (
	"io"
	"net/http"
	"sync"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/ibischute/ibischute/pkg/ident"
)

const (
	reportInterval = time.Second
	maxTenants     = 300
	otherTenant    = "other"
	// maxRequestScopes is the number of label combinations of requests above which new ones get otherTenant.
	maxRequestScopes = 4096
)

// latencyBuckets are the bucket bounds of the latency histograms.
var latencyBuckets = tally.DurationBuckets{
	500 * time.Microsecond, time.Millisecond, 2 * time.Millisecond, 3 * time.Millisecond, 5 * time.Millisecond,
	8 * time.Millisecond, 12 * time.Millisecond, 20 * time.Millisecond, 30 * time.Millisecond, 50 * time.Millisecond,
	80 * time.Millisecond, 120 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond,
	500 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond, 2 * time.Second, 5 * time.Second,
	10 * time.Second, 30 * time.Second,
}

type requestKey struct {
	service ident.Service
	class   ident.Class
	tenant  ident.Tenant
	outcome string
}

// Meter records the metrics of one instance.
type Meter struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter

	mu       sync.Mutex
	tenants  map[ident.Tenant]bool
	requests map[requestKey]requestScope
}

type requestScope struct {
	count   tally.Counter
	latency tally.Histogram
}

// New returns an empty Meter.
func New() *Meter {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "ibischute", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Meter{
		scope: scope, closer: closer, reporter: reporter,
		tenants: map[ident.Tenant]bool{}, requests: map[requestKey]requestScope{},
	}
}

// Close stops reporting.
func (m *Meter) Close() error { return m.closer.Close() }

// Handler serves the metrics in the Prometheus text format.
func (m *Meter) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Request counts a request and records its latency.
func (m *Meter) Request(s ident.Service, c ident.Class, t ident.Tenant, outcome string, latency time.Duration) {
	sc := m.request(s, c, t, outcome)
	sc.count.Inc(1)
	sc.latency.RecordDuration(latency)
}

func (m *Meter) request(s ident.Service, c ident.Class, t ident.Tenant, outcome string) requestScope {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.tenants[t] {
		if len(m.tenants) >= maxTenants {
			t = otherTenant
		}
		m.tenants[t] = true
	}
	k := requestKey{s, c, t, outcome}
	sc, ok := m.requests[k]
	if ok {
		return sc
	}
	if len(m.requests) >= maxRequestScopes {
		k = requestKey{s, c, otherTenant, outcome}
	}
	tags := map[string]string{"service": string(s), "class": string(c), "tenant": string(k.tenant), "outcome": outcome}
	scope := m.scope.Tagged(tags)
	sc = requestScope{count: scope.Counter("requests"), latency: scope.Histogram("request_seconds", latencyBuckets)}
	m.requests[k] = sc
	return sc
}

// Gauge sets a gauge. The labels must be of low cardinality.
func (m *Meter) Gauge(name string, labels map[string]string, v float64) {
	m.scope.Tagged(labels).Gauge(name).Update(v)
}

// Count adds n to a counter. The labels must be of low cardinality.
func (m *Meter) Count(name string, labels map[string]string, n int64) {
	m.scope.Tagged(labels).Counter(name).Inc(n)
}

// Observe records a duration in a histogram. The labels must be of low cardinality.
func (m *Meter) Observe(name string, labels map[string]string, d time.Duration) {
	m.scope.Tagged(labels).Histogram(name, latencyBuckets).RecordDuration(d)
}
