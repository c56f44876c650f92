// Package ident defines the types of the identifiers that are used across ibischute.
//
// The terms for machines, zones, callers and back ends are those of the requirements; docs/GLOSSARY.md maps them to the
// standard terms.
//
// # Usage
//
//	var home ident.Domain = "catania"
//	key := ident.ExecutorKey("cat-ex-1")
package ident

// Domain names a failure domain.
type Domain string

// Instance names an entry instance of ibischute.
type Instance string

// Incarnation is a number that an instance gets at each start and each rejoin after fencing; it only increases.
type Incarnation uint64

// Executor names one process of a backend server, with a fixed number of slots.
type Executor string

// Worker names a machine of the platform that runs tasks.
type Worker string

// Service names a latency-critical service.
type Service string

// Class names a class of requests within a service.
type Class string

// Tenant names the party to which a caller's request is accounted.
type Tenant string

// Team names an owner of batch jobs, which has its own quota.
type Team string

// Request identifies one request from its receipt to its answer.
type Request string

// Job identifies a batch job.
type Job string

// Version is the version number of an accepted configuration bundle.
type Version uint64

// Offset is a position in a stream of the platform's log.
type Offset uint64

// Stream names a stream of the platform's log.
type Stream string

// Key identifies a resource that has exactly one owner among the instances.
type Key string

// ExecutorKey returns the ownership key of an executor.
func ExecutorKey(e Executor) Key { return Key("executor/" + string(e)) }

// IdempotencyKey returns the ownership key of a tenant's idempotency key.
func IdempotencyKey(t Tenant, key string) Key { return Key("idempotency/" + string(t) + "/" + key) }

// PlacerKey is the ownership key of a domain's placer.
const PlacerKey Key = "placer"

// ConfigStream is the stream of configuration records.
const ConfigStream Stream = "config"

// MemberStream returns the membership stream of a domain.
func MemberStream(d Domain) Stream { return Stream("member-" + string(d)) }

// JobStream returns the job stream of a domain.
func JobStream(d Domain) Stream { return Stream("job-" + string(d)) }
