// Package bundle is the versioned configuration that operators review, sign off and roll out.
//
// A bundle is a YAML document with kebab-case keys. Parse reports every unknown key and every value out of its range
// with its line. docs/BUNDLE.md lists the fields with their units.
//
// # Usage
//
//	b, problems := bundle.Parse(data)
//	if len(problems) > 0 { ... }
//	class, ok := b.Class("invoicing", "invoice")
package bundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"time"

	"github.com/ibischute/ibischute/pkg/ident"
)

// DefaultWorkerLease is the worker lease of a bundle that states none, and before the first bundle.
const DefaultWorkerLease = 5 * time.Second

// SchemaVersion is the only schema that this release reads.
const SchemaVersion = 1

// Bundle is one version of the configuration. It is immutable once parsed.
type Bundle struct {
	Version   ident.Version
	Parent    ident.Version
	Threshold int
	Operators map[string]ed25519.PublicKey
	Services  map[ident.Service]Service
	// DefaultTenant holds the limits of tenants that are not named.
	DefaultTenant Tenant
	Tenants       map[ident.Tenant]Tenant
	// RetryPercent is the share of traffic that retries may add.
	RetryPercent float64
	// KeyRetention is how long answers are kept for repeats with the same idempotency key.
	KeyRetention time.Duration
	Batch        Batch
}

// Service is a latency-critical service.
type Service struct {
	Name         ident.Service
	DefaultClass ident.Class
	Classes      map[ident.Class]Class
}

// Class is a class of requests of one service.
type Class struct {
	Name ident.Class
	// Priority orders classes; 0 goes first.
	Priority        int
	DefaultDeadline time.Duration
	MaxDeadline     time.Duration
	// MaxQueue bounds the requests that wait at one owner.
	MaxQueue int
	// Idempotent makes every method of the class count as idempotent.
	Idempotent bool
}

// Tenant holds the limits of a tenant's requests.
type Tenant struct {
	Name ident.Tenant
	// Rate is in requests a second over all entry instances.
	Rate float64
	// Burst is in requests.
	Burst int
	// Share is the weight in queues.
	Share float64
	// Home is the failure domain that keeps the tenant's idempotency keys; empty spreads tenants by hash.
	Home ident.Domain
}

// Batch holds the rules for batch work.
type Batch struct {
	WorkerLease      time.Duration
	MaxFailures      int
	EvictionsPerHour int
	MaxSlowdown      float64
	TailWeight       float64
	ThroughputWeight float64
	EvictionWeight   float64
	DefaultTeamShare float64
	Teams            map[ident.Team]Team
}

// Team holds a team's batch quota.
type Team struct {
	Name ident.Team
	// Share is the weight among the teams.
	Share float64
	// MaxCPU is in processors; 0 is no bound.
	MaxCPU float64
}

// Tenant returns the limits of a tenant.
func (b *Bundle) Tenant(t ident.Tenant) Tenant {
	if named, ok := b.Tenants[t]; ok {
		return named
	}
	d := b.DefaultTenant
	d.Name = t
	return d
}

// Class returns the class of a service; an empty name is the service's default.
func (b *Bundle) Class(s ident.Service, c ident.Class) (Class, bool) {
	svc, ok := b.Services[s]
	if !ok {
		return Class{}, false
	}
	if c == "" {
		c = svc.DefaultClass
	}
	class, ok := svc.Classes[c]
	return class, ok
}

// Authority is the set of operators that sign off a version and how many of them must.
type Authority struct {
	Threshold int
	Operators map[string]ed25519.PublicKey
}

// Equal reports whether both have the same operators and threshold.
func (a Authority) Equal(o Authority) bool {
	isSameKey := func(x, y ed25519.PublicKey) bool { return x.Equal(y) }
	return a.Threshold == o.Threshold && maps.EqualFunc(a.Operators, o.Operators, isSameKey)
}

// Authority returns who signs off the next version.
func (b *Bundle) Authority() Authority {
	return Authority{Threshold: b.Threshold, Operators: b.Operators}
}

// ID identifies the exact bytes of a bundle; proposals and sign-offs name it.
func ID(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// signaturePrefix keeps a signature of a bundle from being taken for a signature of anything else.
const signaturePrefix = "ibischute-bundle-sign-off-v1:"

// Sign returns an operator's sign-off of the bundle with the ID.
func Sign(key ed25519.PrivateKey, id string) []byte {
	return ed25519.Sign(key, []byte(signaturePrefix+id))
}

// Verify reports whether the signature signs off the bundle with the ID.
func Verify(key ed25519.PublicKey, id string, signature []byte) bool {
	return len(key) == ed25519.PublicKeySize && ed25519.Verify(key, []byte(signaturePrefix+id), signature)
}
