package cell

import (
	"maps"
	"slices"

	"github.com/ibischute/ibischute/pkg/tick"
)

// SetEvacuated replaces the set of evacuated failure domains. No task starts on an executor of such a domain.
func (c *Cell) SetEvacuated(_ tick.Time, domains []string) {
	next := make(map[string]bool, len(domains))
	for _, d := range domains {
		next[d] = true
		if !c.evacuated[d] {
			c.emit(Event{Name: "domain-evacuated", Detail: d})
		}
	}
	for _, d := range slices.Sorted(maps.Keys(c.evacuated)) {
		if !next[d] {
			c.emit(Event{Name: "domain-restored", Detail: d})
		}
	}
	c.evacuated = next
	for _, x := range c.execs {
		x.isEvacuated = next[x.entry.Domain]
	}
}

// MayStartOn reports whether a start order may be sent to the executor: its failure domain is not evacuated.
func (c *Cell) MayStartOn(id string) bool {
	x, ok := c.execs[id]
	return ok && !x.isEvacuated
}
