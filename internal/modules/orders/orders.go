// Package orders defines the orders that a leader sends to executors and their replies.
//
// # Usage
//
//	reply := executors.Start(ctx, target, orders.Start{Run: run, Spec: spec, DeadlineMS: d, FencingToken: f})
//	if reply.Outcome == orders.Done { ... }
package orders

import (
	"context"
	"time"
)

// Task identifies a task by its job, occurrence, step and index.
type Task struct {
	Job        string
	Occurrence uint32
	Step       uint32
	Index      uint32
}

// Run identifies one start of a task. Each run of a task has a higher number than the runs before it.
type Run struct {
	Task   Task
	Number uint64
}

// FencingToken rises from leader to leader, and within the term of one. An executor keeps the highest one that it has
// received and rejects orders with a lower one.
type FencingToken uint64

// Target is an executor and the address of its current incarnation.
type Target struct {
	ID      string
	Address string
}

// Outcome is the result of sending an order.
type Outcome int

// The outcomes of orders.
const (
	// NoResponse means that no response was received: the order may have been executed, or may be executed later.
	NoResponse Outcome = iota
	// NotSent means that the order did not leave this process.
	NotSent
	// Done means that the order was executed.
	Done
	// Fenced means that the executor rejected the order because it has received a higher fencing token.
	Fenced
	// Outdated means that the run's number is not higher than that of a run that has ended on the executor.
	Outdated
	// Late means that the order arrived after its deadline.
	Late
	// InsufficientResources means that the executor does not have enough free capacity for the task.
	InsufficientResources
	// NoTicket means that the ticket is missing or has expired.
	NoTicket
	// OtherIncarnation means that the address now belongs to another incarnation.
	OtherIncarnation
	// Unhealthy means that the executor is unhealthy and did not execute the order.
	Unhealthy
	// Malformed means that the executor could not parse the order.
	Malformed
	// Withheld means that the order was not sent, because it is no longer permitted. It says nothing about the executor.
	Withheld
	// OtherProcess means that the order was not sent, because another process than the one that it is for runs at the
	// executor.
	OtherProcess
)

var outcomeNames = [...]string{
	"unanswered", "not-sent", "done", "fenced", "outdated", "late", "no-room", "no-ticket", "other-incarnation",
	"unhealthy", "malformed", "withheld", "other-process",
}

// String returns the outcome's name for logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Start is the order to start a run.
type Start struct {
	Run        Run
	Spec       string
	Checkpoint string
	Ticket     string
	// DeadlineMS is the end of the executor's lease on the executor's clock.
	DeadlineMS   int64
	FencingToken FencingToken
	// StartedMS is the start time of the process that alone may get the order; 0 permits any process of the executor.
	StartedMS int64
	// MaySend reports whether the order may still be sent; nil permits it. It is called right before the order is sent,
	// because an order may wait for a connection, and not after Start has returned.
	MaySend func() bool
}

// Stop is the order to stop a run.
type Stop struct {
	Run          Run
	FencingToken FencingToken
}

// Pace is the order to throttle a run to a percentage of its full speed.
type Pace struct {
	Run          Run
	Percent      int
	FencingToken FencingToken
}

// Hold extends the executor's lease and requests its lists of runs.
type Hold struct {
	FencingToken FencingToken
	// AckCursor acknowledges ended runs: the executor may discard those up to this EndedRun.Cursor.
	AckCursor uint64
	// DeadlineMS is the end of the lease on the executor's clock; 0 does not extend the lease.
	DeadlineMS int64
	// Wait is the maximum time that the executor may delay its response until a run ends.
	Wait time.Duration
}

// EndReason is how a run ended.
type EndReason string

// The endings of runs.
const (
	EndedDone         EndReason = "done"
	EndedFailed       EndReason = "failed"
	EndedStopped      EndReason = "stopped"
	EndedLeaseExpired EndReason = "lapsed"
	EndedBroken       EndReason = "broken"
	EndedNotStarted   EndReason = "alone"
)

// Running is a run that is active on an executor.
type Running struct {
	Run        Run
	Checkpoint string
	Percent    int
	// Usage is the tail latency in milliseconds for a latency-critical task, and the processor use in thousandths of a
	// core for any other task.
	Usage int64
}

// EndedRun is a run that is no longer active on an executor.
type EndedRun struct {
	// Cursor numbers the ends of an executor's runs. It starts over when the executor restarts.
	Cursor     uint64
	Run        Run
	Reason     EndReason
	Checkpoint string
}

// Lists contains the runs that an executor reports.
type Lists struct {
	// StartedMS is the start time of the executor's process in milliseconds since 1970.
	StartedMS int64
	Running   []Running
	Ended     []EndedRun
	// HasMoreEnds is true if the executor may have ended runs that Ended lacks. It lists them once those in Ended are
	// acknowledged.
	HasMoreEnds bool
}

// TruncateEnds keeps the first ends up to the limit, as an executor does that lists no more at a time. The receiver of
// exactly as many ends cannot know that there are no more.
func (l *Lists) TruncateEnds(limit int) {
	l.HasMoreEnds = len(l.Ended) >= limit
	l.Ended = l.Ended[:min(limit, len(l.Ended))]
}

// Reply is the result of an order.
type Reply struct {
	Outcome Outcome
	// ClockMS is the executor's clock at the time of its response; 0 if unknown.
	ClockMS int64
	// Detail is the reason, for logs, why the order was not executed or got no usable response.
	Detail string
}

// Executors sends orders to executors.
type Executors interface {
	Start(ctx context.Context, t Target, o Start) Reply
	Stop(ctx context.Context, t Target, o Stop) Reply
	Pace(ctx context.Context, t Target, o Pace) Reply
	Hold(ctx context.Context, t Target, o Hold) (Lists, Reply)
	// CloseConnections closes the connections to an executor.
	CloseConnections(t Target)
}

// Advice lists the executors that may run a step.
type Advice struct {
	// Tickets contains the ticket of each executor that may run the step.
	Tickets map[string]string
	// Validity is the duration for which the tickets are valid.
	Validity time.Duration
}

// Advisor decides which executors may run a step. It ignores the index of the task.
type Advisor interface {
	Advise(ctx context.Context, step Task, executors []string) (Advice, error)
}
