package cell

import "github.com/ibischute/ibischute/pkg/queue"

// maxUnnamedReported limits the entries of unnamed services that are logged at a time.
const maxUnnamedReported = 64

// unnamedEntries are the entries of services that the configuration does not name, as of the last list.
type unnamedEntries struct {
	// services has the services of the entries, by id.
	services map[string]string
	// reported has the services of the entries that were logged, by id.
	reported map[string]string
}

// begin begins a new list. An entry that the last one lacked is logged again if it comes back.
func (u *unnamedEntries) begin() {
	for id := range u.reported {
		if _, ok := u.services[id]; !ok {
			delete(u.reported, id)
		}
	}
	u.services = map[string]string{}
}

// namesExecutor reports whether the entry names an executor. The configuration names the services of executors, but it
// may have removed that of a known one, or this leader may not have read the version that a former leader knew.
func (c *Cell) namesExecutor(e queue.Executor) bool {
	if c.config == nil || c.config.NamesService(e.Service) {
		return true
	}
	x, ok := c.execs[e.ID]
	return ok && (x.entry.Service == e.Service || x.entry.Service == "")
}

// noteUnnamed notes an entry of a service that the configuration does not name, and logs it once.
func (c *Cell) noteUnnamed(e queue.Executor) {
	c.unnamed.services[e.ID] = e.Service
	if c.unnamed.reported[e.ID] == e.Service || len(c.unnamed.reported) >= maxUnnamedReported {
		return
	}
	if c.unnamed.reported == nil {
		c.unnamed.reported = map[string]string{}
	}
	c.unnamed.reported[e.ID] = e.Service
	c.emit(Event{Name: "executor-of-unnamed-service", Executor: e.ID, Detail: e.Service + " at " + e.Address})
}

// NamesUnnamedEntry reports whether the present configuration names the service of an entry that was left out because
// the configuration before did not. The list of executors is then to be applied again.
func (c *Cell) NamesUnnamedEntry() bool {
	for _, service := range c.unnamed.services {
		if c.config.NamesService(service) {
			return true
		}
	}
	return false
}
