package bundle

import (
	"bytes"
	"cmp"
	"crypto/ed25519"
	"fmt"
	"maps"
	"slices"
)

// Diff describes the changes from one bundle to another, one line for each change.
func Diff(from, to *Bundle) []string {
	d := &differ{}
	d.value("version", from.Version, to.Version)
	d.value("operators threshold", from.Threshold, to.Threshold)
	diffMap(d, "operator", from.Operators, to.Operators, func(d *differ, name string, a, b ed25519.PublicKey) {
		if !bytes.Equal(a, b) {
			d.add("%s: public key changed", name)
		}
	})
	d.value("retry-percent", from.RetryPercent, to.RetryPercent)
	d.value("key-retention", from.KeyRetention, to.KeyRetention)
	d.tenant("default tenant", from.DefaultTenant, to.DefaultTenant)
	diffMap(d, "service", from.Services, to.Services, func(d *differ, name string, a, b Service) {
		d.value(name+" default-class", a.DefaultClass, b.DefaultClass)
		diffMap(d, name+" class", a.Classes, b.Classes, (*differ).class)
	})
	diffMap(d, "tenant", from.Tenants, to.Tenants, (*differ).tenant)
	diffMap(d, "team", from.Batch.Teams, to.Batch.Teams, func(d *differ, name string, a, b Team) {
		d.value(name+" share", a.Share, b.Share)
		d.value(name+" max-processors", a.MaxCPU, b.MaxCPU)
	})
	d.batch(from.Batch, to.Batch)
	return d.lines
}

type differ struct{ lines []string }

func (d *differ) add(format string, args ...any) {
	d.lines = append(d.lines, fmt.Sprintf(format, args...))
}

func (d *differ) value(name string, a, b any) {
	if a != b {
		d.add("%s: %v becomes %v", name, a, b)
	}
}

func (d *differ) class(name string, a, b Class) {
	d.value(name+" priority", a.Priority, b.Priority)
	d.value(name+" default-deadline", a.DefaultDeadline, b.DefaultDeadline)
	d.value(name+" max-deadline", a.MaxDeadline, b.MaxDeadline)
	d.value(name+" max-queue", a.MaxQueue, b.MaxQueue)
	d.value(name+" idempotent", a.Idempotent, b.Idempotent)
}

func (d *differ) tenant(name string, a, b Tenant) {
	d.value(name+" rate", a.Rate, b.Rate)
	d.value(name+" burst", a.Burst, b.Burst)
	d.value(name+" share", a.Share, b.Share)
	d.value(name+" home", a.Home, b.Home)
}

func (d *differ) batch(a, b Batch) {
	d.value("batch worker-lease", a.WorkerLease, b.WorkerLease)
	d.value("batch max-failures", a.MaxFailures, b.MaxFailures)
	d.value("batch evictions-per-hour", a.EvictionsPerHour, b.EvictionsPerHour)
	d.value("batch max-slowdown", a.MaxSlowdown, b.MaxSlowdown)
	d.value("batch tail-weight", a.TailWeight, b.TailWeight)
	d.value("batch throughput-weight", a.ThroughputWeight, b.ThroughputWeight)
	d.value("batch eviction-weight", a.EvictionWeight, b.EvictionWeight)
	d.value("batch default-team-share", a.DefaultTeamShare, b.DefaultTeamShare)
}

// diffMap reports added and removed entries, and calls compare for the entries that are in both maps.
func diffMap[K cmp.Ordered, V any](d *differ, kind string, a, b map[K]V, compare func(d *differ, name string, a, b V)) {
	names := map[K]bool{}
	for k := range a {
		names[k] = true
	}
	for k := range b {
		names[k] = true
	}
	for _, k := range slices.Sorted(maps.Keys(names)) {
		name := fmt.Sprintf("%s %v", kind, k)
		va, inA := a[k]
		vb, inB := b[k]
		switch {
		case !inA:
			d.add("%s: added", name)
		case !inB:
			d.add("%s: removed", name)
		default:
			compare(d, name, va, vb)
		}
	}
}
