package cell

import (
	"slices"
	"time"

	"github.com/ibischute/ibischute/internal/state/ramp"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

// All that the cell uses of an executor's entries, but for its id and its address, comes from here. Package regis tells
// which entry describes the present process. What a start requires of the process takes an entry of its own. What
// belongs to the executor, and preferences, may come from that of a former process. docs/design/executor-entries.md has
// each field.

// description is what was applied of the entry that describes an executor.
type description struct {
	// startedMS and address are those of the entry and tell processes apart.
	startedMS int64
	address   string
	// drainDeadline is when the executor may leave if it is draining.
	isDraining    bool
	drainDeadline tick.Time
	warmUp        ramp.Ramp
}

// isOf reports whether the description is of the process that has written the entry.
func (d *description) isOf(e *queue.Executor) bool {
	return d.startedMS == e.StartedMS && d.address == e.Address
}

// identify applies that lists show the process with the start time.
func (c *Cell) identify(now tick.Time, x *executor, startedMS int64) {
	if startedMS == 0 || startedMS == x.startedMS {
		return
	}
	x.startedMS = startedMS
	x.registration.Identify(startedMS)
	c.describe(now, x)
}

// describe applies the entry that describes the executor, after an entry was read or its process was identified.
func (c *Cell) describe(now tick.Time, x *executor) {
	e, d := x.registration.Estimate(), &x.described
	readAt := now.Add(-x.registration.Age(now))
	if !d.isOf(e) {
		*d = description{startedMS: e.StartedMS, address: e.Address}
	}
	if e.Draining && !d.isDraining {
		d.drainDeadline = readAt.Add(time.Duration(e.RemainingMS) * time.Millisecond)
		c.emit(Event{Name: "executor-draining", Executor: e.ID})
	}
	d.isDraining = e.Draining
	d.warmUp.Observe(readAt, time.Duration(e.ColdRemainingMS)*time.Millisecond)
	c.setCapacity(x, resources{e.MilliCPU, e.MemoryMB, e.GPUs})
	x.isEvacuated = c.evacuation.domains[e.Domain]
	x.enforcesCapacity = c.enforcesCapacity(e.Service)
}

// isDescribed reports whether an entry of the present process is known.
func (x *executor) isDescribed() bool {
	_, ok := x.registration.Own()
	return ok
}

// service and domain belong to the executor: a machine that moves to another service gets a new executor.
func (x *executor) service() string { return x.registration.Estimate().Service }

func (x *executor) domain() string { return x.registration.Estimate().Domain }

// isInRack reports whether the data in the rack is near the executor. Racks stay with the machine.
func (x *executor) isInRack(rack string) bool {
	return slices.Contains(x.registration.Estimate().Labels, rack)
}

// satisfies reports whether the process has the label that a step requires. An empty label is always satisfied.
func (x *executor) satisfies(label string) bool {
	if label == "" {
		return true
	}
	e, ok := x.registration.Own()
	return ok && slices.Contains(e.Labels, label)
}

// isDraining reports whether the executor is draining. A process whose entry is not known counts as draining if the
// former one was.
func (x *executor) isDraining() bool { return x.described.isDraining }

// limitCold updates the limit of tasks for an executor that is cold. A process whose entry is not known may have just
// started.
func (x *executor) limitCold(now tick.Time, b ramp.Bounds) {
	if !x.isDescribed() {
		x.coldLimit, x.isCold = b.AtStart()
		return
	}
	x.coldLimit, x.isCold = x.described.warmUp.Limit(now, b, float64(x.total.milliCPU)/milliCPUPerCore)
}

// entryRef names the entry on which a start that is made now is based.
func (x *executor) entryRef(now tick.Time) *EntryRef {
	return &EntryRef{
		StartedMS: x.registration.Estimate().StartedMS, ListedMS: x.startedMS, Age: x.registration.Age(now),
	}
}
