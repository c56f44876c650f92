// Package bundle defines the versioned configuration that operators review, sign off and roll out.
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

// DefaultWorkerLease applies if the bundle sets no worker lease, and before the first bundle is in force.
const DefaultWorkerLease = 5 * time.Second

// SchemaVersion is the only schema version that this release supports.
const SchemaVersion = 1

// Bundle is one version of the configuration. It is immutable once parsed.
type Bundle struct {
	Version   ident.Version
	Parent    ident.Version
	Threshold int
	Operators map[string]ed25519.PublicKey
	Services  map[ident.Service]Service
	// DefaultTenant holds the limits of tenants that are not in Tenants.
	DefaultTenant Tenant
	Tenants       map[ident.Tenant]Tenant
	// RetryPercent limits the retries, in percent of the requests.
	RetryPercent float64
	// KeyRetention is how long an answer is stored for repeated requests with the same idempotency key.
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
	// Priority orders the classes; 0 is the highest.
	Priority        int
	DefaultDeadline time.Duration
	MaxDeadline     time.Duration
	// MaxQueue limits the number of requests that are queued at one owner.
	MaxQueue int
	// Idempotent declares every HTTP method of the class idempotent.
	Idempotent bool
}

// Tenant holds the limits of a tenant's requests.
type Tenant struct {
	Name ident.Tenant
	// Rate is in requests per second across all entry instances.
	Rate float64
	// Burst is in requests.
	Burst int
	// Share is the tenant's weight in fair queueing.
	Share float64
	// Home is the failure domain that stores the tenant's idempotency keys. If empty, a hash of the tenant selects it.
	Home ident.Domain
}

// Batch holds the settings for batch work.
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
	// Share is the team's weight in fair sharing.
	Share float64
	// MaxCPU is in processors; 0 means no limit.
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

// Class returns a class of a service. An empty class name selects the service's default class.
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

// Authority is the set of operators that may sign off a version, and the number of sign-offs required.
type Authority struct {
	Threshold int
	Operators map[string]ed25519.PublicKey
}

// Equal reports whether both have the same operators and threshold.
func (a Authority) Equal(o Authority) bool {
	isSameKey := func(x, y ed25519.PublicKey) bool { return x.Equal(y) }
	return a.Threshold == o.Threshold && maps.EqualFunc(a.Operators, o.Operators, isSameKey)
}

// Authority returns the operators and the threshold that apply to the sign-off of the next version.
func (b *Bundle) Authority() Authority {
	return Authority{Threshold: b.Threshold, Operators: b.Operators}
}

// ID returns the SHA-256 hash of the bundle's bytes in hex. Proposals and sign-offs refer to a bundle by it.
func ID(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// signaturePrefix provides domain separation: a signature of something else is never valid for a bundle.
const signaturePrefix = "ibischute-bundle-sign-off-v1:"

// Sign returns an operator's signature that signs off the bundle with the ID.
func Sign(key ed25519.PrivateKey, id string) []byte {
	return ed25519.Sign(key, []byte(signaturePrefix+id))
}

// Verify reports whether the signature is a valid sign-off of the bundle with the ID.
func Verify(key ed25519.PublicKey, id string, signature []byte) bool {
	return len(key) == ed25519.PublicKeySize && ed25519.Verify(key, []byte(signaturePrefix+id), signature)
}
