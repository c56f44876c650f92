package ahead

import (
	"time"

	"github.com/ibischute/ibischute/pkg/tick"
)

// Resources are amounts of room on an executor. Slots are the tasks of one step that an executor may still take under
// anti-affinity.
type Resources struct {
	MilliCPU, MemoryMB, GPUs, Slots int64
}

// Plus returns the sum of the amounts.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.GPUs + o.GPUs, r.Slots + o.Slots}
}

// Times returns n times the amounts.
func (r Resources) Times(n int) Resources {
	k := int64(n)
	return Resources{r.MilliCPU * k, r.MemoryMB * k, r.GPUs * k, r.Slots * k}
}

// Covers reports whether no amount is less than that of o.
func (r Resources) Covers(o Resources) bool { return r.coversRoom(o) && r.Slots >= o.Slots }

// coversRoom is Covers without the slots.
func (r Resources) coversRoom(o Resources) bool {
	return r.MilliCPU >= o.MilliCPU && r.MemoryMB >= o.MemoryMB && r.GPUs >= o.GPUs
}

// Step identifies a step of a job.
type Step struct {
	Job               string
	Occurrence, Index uint32
}

// Request describes a step that waits for room.
type Request struct {
	Step Step
	// Pool is the set of executors that may take the step, for example those of a service.
	Pool string
	// Priority is the rank of the step; lower values go first.
	Priority int
	// Need is the room for one task.
	Need Resources
	// Tasks is the number of tasks that have to start together: the members of a gang, or 1.
	Tasks int
	// IsWide is true if the step needs a large part of an executor, or several executors. Other steps mostly find room
	// without a reservation.
	IsWide bool
	// IsShortOfMemory is true if no executor has the memory free.
	IsShortOfMemory bool
	// Since is when the step began to wait, Patience how long it waits until its reservation is no longer overtaken.
	Since    tick.Time
	Patience time.Duration
}

// Release is room that a run will give back.
type Release struct {
	At   tick.Time
	Room Resources
}

// Executor describes the room on an executor now and the room that its runs will release. Runs that end at no known
// time are left out.
type Executor struct {
	ID       string
	Free     Resources
	Releases []Release
}

// Claim describes a task that may start on a reserved executor.
type Claim struct {
	Step     Step
	Priority int
	Need     Resources
	// EndsAt is when the task would end; 0 if that is not known.
	EndsAt tick.Time
	// IsLongRunning is true if the task runs until it is cancelled. It must not wait behind a reservation for long, as it
	// serves its own callers.
	IsLongRunning bool
}

// Reservation keeps the room of a step on one executor.
type Reservation struct {
	Step     Step
	Executor string
	// RoomAt is when the room is expected to be there.
	RoomAt tick.Time

	priority  int
	need      Resources
	expiresAt tick.Time
}
