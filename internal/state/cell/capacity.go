package cell

// enforcesCapacity reports whether the executors of the service refuse what exceeds their capacity. Those of a service
// that the configuration does not name may not.
func (c *Cell) enforcesCapacity(service string) bool {
	return c.config != nil && c.config.Services[service].EnforcesCapacity
}

// knowsCapacity reports whether a start on the executor may rely on its capacity. An executor that enforces it refuses
// what does not fit. For another one, the entry must be that of the present process.
func (x *executor) knowsCapacity() bool { return x.enforcesCapacity || x.hasEntryOfProcess() }

// hasEntryOfProcess reports whether the entry belongs to the process that sent the last list. A new process may have
// another capacity.
func (x *executor) hasEntryOfProcess() bool {
	return x.entry.StartedMS == 0 || x.startedMS == 0 || x.entry.StartedMS == x.startedMS
}
