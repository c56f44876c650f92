package keyed

import (
	"github.com/ibischute/ibischute/pkg/bundle"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

// maxReplaced bounds the replaced versions that are remembered for tenants that moved.
const maxReplaced = 64

// replaced is a version that was in force until the time given.
type replaced struct {
	bundle *bundle.Bundle
	at     tick.Time
}

// homeOf returns the domain that keeps the tenant's keys.
func (k *Keyed) homeOf(t ident.Tenant) ident.Domain { return k.homeIn(k.opts.Config(), t) }

func (k *Keyed) homeIn(b *bundle.Bundle, t ident.Tenant) ident.Domain {
	if b != nil {
		if home := b.Tenant(t).Home; home != "" {
			return home
		}
	}
	home, _ := k.home.Winner(string(t))
	return home
}

// hasMoved reports whether another domain kept the tenant's keys within the retention, so that a key that is not known
// here may have run there. It needs the lock.
func (k *Keyed) hasMoved(now tick.Time, t ident.Tenant) bool {
	k.noteVersion(now)
	for _, r := range k.replaced {
		if now.Sub(r.at) < k.retention() && k.homeIn(r.bundle, t) != k.opts.Domain {
			return true
		}
	}
	return false
}

// noteVersion remembers the version that was in force until now; it needs the lock.
func (k *Keyed) noteVersion(now tick.Time) {
	current := k.opts.Config()
	if current == k.inForce {
		return
	}
	if k.inForce != nil {
		k.replaced = append(k.replaced, replaced{bundle: k.inForce, at: now})
		k.replaced = k.replaced[max(0, len(k.replaced)-maxReplaced):]
	}
	k.inForce = current
}
