package leader

import (
	"slices"

	"github.com/ibischute/ibischute/pkg/tick"
)

// applyEvacuations passes the evacuated domains to the cell if they have changed. It is called before each plan and
// before each start order is sent, so that nothing starts in a domain once the request to evacuate it has been read.
// The caller must hold the mutex.
func (t *term) applyEvacuations(now tick.Time) {
	domains := t.opts.Config.Evacuated()
	if slices.Equal(domains, t.evacuated) {
		return
	}
	t.evacuated = domains
	t.cell.SetEvacuated(now, domains)
}

// mayStartOn reports whether a start order may be sent to the executor.
func (t *term) mayStartOn(executor string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyEvacuations(tick.Now())
	return t.cell.MayStartOn(executor)
}
