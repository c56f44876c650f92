// Package admit limits the rate of each tenant's requests at one entry instance.
//
// A tenant's rate holds for all entry instances together; each admits its part, which grows when others are gone.
//
// # Usage
//
//	l := admit.New()
//	wait, ok := l.Take(now, tenant, parts)
package admit

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/time/rate"

	"github.com/ibischute/ibischute/pkg/bundle"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

// maxTenants bounds the tenants that are kept; the least recently seen one is forgotten.
const maxTenants = 8192

// Limiter holds one token bucket for each tenant.
type Limiter struct {
	mu      sync.Mutex
	buckets *lru.Cache[ident.Tenant, *rate.Limiter]
}

// New returns a Limiter that has seen no tenant.
func New() *Limiter {
	buckets, _ := lru.New[ident.Tenant, *rate.Limiter](maxTenants)
	return &Limiter{buckets: buckets}
}

// Take takes one request out of the tenant's bucket, or returns after how long there will be one. The number of parts
// is how many entry instances share the tenant's rate.
func (l *Limiter) Take(now tick.Time, t bundle.Tenant, parts int) (time.Duration, bool) {
	parts = max(1, parts)
	limit := rate.Limit(t.Rate / float64(parts))
	burst := max(1, t.Burst/parts)
	at := time.Unix(0, int64(now))
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.buckets.Get(t.Name)
	if !ok {
		b = rate.NewLimiter(limit, burst)
		l.buckets.Add(t.Name, b)
	}
	if b.Limit() != limit || b.Burst() != burst {
		b.SetLimitAt(at, limit)
		b.SetBurstAt(at, burst)
	}
	if b.AllowN(at, 1) {
		return 0, true
	}
	missing := 1 - b.TokensAt(at)
	return time.Duration(missing / float64(limit) * float64(time.Second)), false
}
