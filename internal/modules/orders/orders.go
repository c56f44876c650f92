// Package orders is the interface to the executors: what a lead tells them and what they answer.
//
// # Usage
//
//	reply := executors.Start(ctx, target, orders.Start{Run: run, Spec: spec, DeadlineMS: d, Epoch: e})
//	if reply.Outcome == orders.Done { ... }
package orders

import (
	"context"
	"time"
)

// Task identifies a task: its job, occurrence, step and index.
type Task struct {
	Job        string
	Occurrence uint32
	Step       uint32
	Index      uint32
}

// Run identifies one start of a task. Numbers of a task rise.
type Run struct {
	Task   Task
	Number uint64
}

// Target is an executor with the address at which its incarnation listens.
type Target struct {
	ID      string
	Address string
}

// Outcome is what became of an order.
type Outcome int

// The outcomes of orders.
const (
	// Unanswered means that the order may have been carried out, or may be carried out later.
	Unanswered Outcome = iota
	// NotSent means that the order did not leave this process.
	NotSent
	// Done means that the order was carried out.
	Done
	// Fenced means that the executor has seen a higher epoch.
	Fenced
	// Outdated means that the run is not above one that ended there.
	Outdated
	// Late means that the deadline had passed.
	Late
	// NoRoom means that the task does not fit.
	NoRoom
	// NoTicket means that the ticket is missing or no longer valid.
	NoTicket
	// OtherIncarnation means that another incarnation listens at the address.
	OtherIncarnation
	// Unhealthy means that the executor did nothing because it is unwell.
	Unhealthy
	// Malformed means that the executor could not read the order.
	Malformed
)

var outcomeNames = [...]string{
	"unanswered", "not-sent", "done", "fenced", "outdated", "late", "no-room", "no-ticket", "other-incarnation",
	"unhealthy", "malformed",
}

// String names the outcome in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Start is the order to start a run.
type Start struct {
	Run        Run
	Spec       string
	Checkpoint string
	Ticket     string
	// DeadlineMS is the end of the executor's lease, on the executor's clock.
	DeadlineMS int64
	Epoch      uint64
}

// Stop is the order to stop a run.
type Stop struct {
	Run   Run
	Epoch uint64
}

// Pace is the order to let a run work at a share of its speed.
type Pace struct {
	Run     Run
	Percent int
	Epoch   uint64
}

// Hold extends the executor's lease and asks for its lists.
type Hold struct {
	Epoch uint64
	// AckCursor is the number up to which the executor may forget its ended runs.
	AckCursor uint64
	// DeadlineMS is the end of the lease, on the executor's clock; 0 extends nothing.
	DeadlineMS int64
	// Wait is how long the answer may wait for a run to end.
	Wait time.Duration
}

// Ending tells how a run ended.
type Ending string

// The endings of runs.
const (
	EndedDone    Ending = "done"
	EndedFailed  Ending = "failed"
	EndedStopped Ending = "stopped"
	EndedLapsed  Ending = "lapsed"
	EndedBroken  Ending = "broken"
	EndedAlone   Ending = "alone"
)

// Running is a run that an executor has.
type Running struct {
	Run        Run
	Checkpoint string
	Percent    int
	// Usage is the tail latency in milliseconds of a serving task, or the thousandths of a core that another one uses.
	Usage int64
}

// Ended is a run that an executor no longer has.
type Ended struct {
	Number     uint64
	Run        Run
	How        Ending
	Checkpoint string
}

// Lists is what an executor tells of its runs.
type Lists struct {
	// BornMS is the start of the executor's process in milliseconds since 1970.
	BornMS  int64
	Running []Running
	Ended   []Ended
}

// Reply is the answer to an order.
type Reply struct {
	Outcome Outcome
	// ClockMS is the executor's clock at its answer; 0 if it did not tell.
	ClockMS int64
	// Detail says for logs why there was no usable answer.
	Detail string
}

// Executors sends orders to executors.
type Executors interface {
	Start(ctx context.Context, t Target, o Start) Reply
	Stop(ctx context.Context, t Target, o Stop) Reply
	Pace(ctx context.Context, t Target, o Pace) Reply
	Hold(ctx context.Context, t Target, o Hold) (Lists, Reply)
	// Forget releases the connections to an executor.
	Forget(t Target)
}

// Advice is which executors may run a step.
type Advice struct {
	// Tickets has the ticket for each executor that may.
	Tickets map[string]string
	// Validity is how long the tickets are valid.
	Validity time.Duration
}

// Advisor tells which executors may run a step. The index of the task does not matter.
type Advisor interface {
	Advise(ctx context.Context, step Task, executors []string) (Advice, error)
}
