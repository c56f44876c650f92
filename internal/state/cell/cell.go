// Package cell decides on the jobs of one cell: which task starts where, which run is stopped, and what is recorded.
//
// A Cell belongs to one lead with one epoch and reads no clock. Its caller reports what it learns (jobs, cancels, the
// configuration, the discovery, answers of executors) and carries out what the cell asks for: orders, holds, records.
//
// Promises, and where they are kept:
//   - A task has at most one run. A run counts until its end is listed, a later list lacks it, its executor is known
//     to have restarted, or the executor's lease has surely lapsed (runs.go, lists.go).
//   - An end is acknowledged to its executor, and a job shown as ended, only after the record of it is stored
//     (record.go).
//   - A job is begun only after a record of that is stored, which the log takes from the newest lead alone. So a new
//     lead starts unmarked jobs at once, and tasks of marked ones only when every executor that may have orders has
//     answered, or when their leases have surely lapsed (takeover.go).
//
// # Usage
//
//	c := cell.New(params, epoch, safeAt)
//	c.Load(now, wallMS, entry)
//	for _, o := range c.Plan(now, wallMS) { send(o) }
package cell

import (
	"slices"
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

// Params are the times and factors of the deployment.
type Params struct {
	// MaxHold is the longest lease of an executor.
	MaxHold time.Duration
	// StopTimeout is the longest time that a stop takes.
	StopTimeout time.Duration
	// Interference is how long a serving task may be over its target.
	Interference time.Duration
	// PaceDelay is how long a pace takes to take effect.
	PaceDelay time.Duration
	// Retention is how long an ended job is shown.
	Retention time.Duration
}

// Cell is the state of one cell under one lead.
type Cell struct {
	params Params
	epoch  uint64
	// safeAt is when no run of a former lead can still hold a lease.
	safeAt   tick.Time
	inherits bool
	config   *queue.Configuration
	jobs     map[string]*job
	active   []*job
	execs    map[string]*executor
	dirty    map[string]*job
	rosters  map[string]*executor
	// retired are executors that no later lead needs to wait for.
	retired map[string]bool
	// stopping are the runs that are to be stopped or may have to be.
	stopping map[*run]bool
	events   []Event
	pace     *speeds
	press    *presses
	isFenced bool
	// needsAdvice means that a queue has a policy service.
	needsAdvice bool
	// isAsking means that a question to the policy service is under way; askAt is the earliest time for the next.
	isAsking bool
	askAt    tick.Time
	// isModelDue means that what was learnt is to be recorded with the next batch.
	isModelDue bool
}

// New returns the Cell of a lead with the epoch. Until safeAt, executors that have not answered this lead may run tasks
// that a former lead started.
func New(p Params, epoch uint64, safeAt tick.Time) *Cell {
	return &Cell{
		params: p, epoch: epoch, safeAt: safeAt, inherits: true,
		jobs: map[string]*job{}, execs: map[string]*executor{},
		dirty: map[string]*job{}, rosters: map[string]*executor{}, retired: map[string]bool{}, stopping: map[*run]bool{},
		pace: newSpeeds(), press: newPresses(),
	}
}

// Event is a decision or a change of belief, for the log.
type Event struct {
	Name     string
	Task     orders.Task
	Run      uint64
	Executor string
	Detail   string
}

// maxEvents bounds the events between two calls of Events.
const maxEvents = 2000

func (c *Cell) note(e Event) {
	if len(c.events) < maxEvents {
		c.events = append(c.events, e)
	}
}

// Events returns the events since the last call.
func (c *Cell) Events() []Event {
	e := c.events
	c.events = nil
	return e
}

// IsFenced reports whether an executor has seen a higher epoch, so that another lead decides.
func (c *Cell) IsFenced() bool { return c.isFenced }

// Configure applies a configuration. Older versions are passed over.
func (c *Cell) Configure(cfg *queue.Configuration) {
	if c.config != nil && cfg.Version < c.config.Version {
		return
	}
	c.config = cfg
	c.needsAdvice = slices.ContainsFunc(cfg.Queues, func(q queue.Queue) bool { return q.Advice != nil })
	for _, j := range c.active {
		j.configure(cfg)
	}
}
