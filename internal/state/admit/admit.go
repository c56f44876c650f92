// Package admit limits the rate of each tenant's requests at one entry instance.
//
// A tenant's rate limit applies to all entry instances together. Each instance admits an equal part of it, which grows
// when other instances leave.
//
// # Usage
//
//	l := admit.New()
//	wait, ok := l.Take(now, tenant, entryInstances)
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

// maxTenants limits the number of tenants with a token bucket; the least recently used one is evicted.
const maxTenants = 8192

// Limiter holds one token bucket per tenant.
type Limiter struct {
	mu      sync.Mutex
	buckets *lru.Cache[ident.Tenant, *rate.Limiter]
}

// New returns a Limiter without token buckets.
func New() *Limiter {
	buckets, _ := lru.New[ident.Tenant, *rate.Limiter](maxTenants)
	return &Limiter{buckets: buckets}
}

// Take takes one token from the tenant's bucket. If the bucket is empty, it returns the time until the next token. The
// tenant's rate is divided by the number of entry instances that share it.
func (l *Limiter) Take(now tick.Time, t bundle.Tenant, entryInstances int) (time.Duration, bool) {
	entryInstances = max(1, entryInstances)
	limit := rate.Limit(t.Rate / float64(entryInstances))
	burst := max(1, t.Burst/entryInstances)
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
	missingTokens := 1 - b.TokensAt(at)
	return time.Duration(missingTokens / float64(limit) * float64(time.Second)), false
}
