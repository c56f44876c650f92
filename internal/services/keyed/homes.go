package keyed

import (
	"github.com/ibischute/ibischute/pkg/bundle"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

// maxReplacedVersions bounds the replaced configuration versions that are kept to detect tenants whose home domain
// changed.
const maxReplacedVersions = 64

// replacedVersion is a configuration version that was in force until replacedAt.
type replacedVersion struct {
	bundle     *bundle.Bundle
	replacedAt tick.Time
}

// homeOf returns the domain that stores the tenant's idempotency keys.
func (k *Keyed) homeOf(t ident.Tenant) ident.Domain { return k.homeInVersion(k.opts.Config(), t) }

func (k *Keyed) homeInVersion(b *bundle.Bundle, t ident.Tenant) ident.Domain {
	if b != nil {
		if home := b.Tenant(t).Home; home != "" {
			return home
		}
	}
	home, _ := k.homes.Owner(string(t))
	return home
}

// hasMoved reports whether another domain was the tenant's home within the retention period, in which case a key
// without a record here may have run there. The caller must hold k.mu.
func (k *Keyed) hasMoved(now tick.Time, t ident.Tenant) bool {
	k.recordVersion(now)
	for _, r := range k.replacedVersions {
		if now.Sub(r.replacedAt) < k.retention() && k.homeInVersion(r.bundle, t) != k.opts.Domain {
			return true
		}
	}
	return false
}

// recordVersion records the configuration version in force and, if it changed, when the previous one was replaced. The
// caller must hold k.mu.
func (k *Keyed) recordVersion(now tick.Time) {
	current := k.opts.Config()
	if current == k.inForce {
		return
	}
	if k.inForce != nil {
		k.replacedVersions = append(k.replacedVersions, replacedVersion{bundle: k.inForce, replacedAt: now})
		k.replacedVersions = k.replacedVersions[max(0, len(k.replacedVersions)-maxReplacedVersions):]
	}
	k.inForce = current
}
