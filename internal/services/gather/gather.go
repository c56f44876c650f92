// Package gather appends the records of many callers in few appends.
//
// One group is under way at a time, and what comes meanwhile goes with the next one, so that a slow store gets fewer
// and larger appends. The records must be idempotent: an append without an answer is repeated beside the first one,
// after a time that follows the store's own pace, and the first answer counts.
//
// # Usage
//
//	g := gather.New(gather.Options{Log: log, Topic: logs.Intake, Part: part, AnsweredAt: answeredAt})
//	go g.Serve(ctx)
//	err := g.Append(ctx, record)
package gather

import (
	"context"
	"time"

	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// maxWaiting bounds the records that wait for a group, maxGroup those of one append.
	maxWaiting = 4096
	maxGroup   = 128
	// maxGroupBytes bounds the values of one append.
	maxGroupBytes = 1 << 20
	// groupTimeout bounds the time for one group, maxAttempts its appends.
	groupTimeout = 2600 * time.Millisecond
	maxAttempts  = 3
	// minPatience is the least time after which an append is repeated; patienceFactor times the store's usual time is
	// waited otherwise.
	minPatience    = 300 * time.Millisecond
	patienceFactor = 3
	// silence is how long a store that answers nothing at all is waited for.
	silence       = 700 * time.Millisecond
	checkInterval = 100 * time.Millisecond
	// paceWeight is the weight of the newest append in the store's usual time.
	paceWeight = 0.3
	retryAfter = time.Second
)

// Options configure a Gather.
type Options struct {
	Log   logs.Log
	Topic logs.Topic
	Part  logs.Part
	// AnsweredAt returns when the store last answered any call of this instance.
	AnsweredAt func() tick.Time
}

// Gather is the group commit of one instance.
type Gather struct {
	opts    Options
	waiting chan entry
	// usual is the time that appends take of late. Only Serve uses it.
	usual time.Duration
}

type entry struct {
	record logs.Record
	done   chan error
}

// New returns a Gather that appends nothing until it serves.
func New(o Options) *Gather { return &Gather{opts: o, waiting: make(chan entry, maxWaiting)} }

// String names the service in logs.
func (g *Gather) String() string { return "gather" }

// Append has a record appended and waits for the answer. A failure that says that it has not run is final.
func (g *Gather) Append(ctx context.Context, r logs.Record) error {
	e := entry{record: r, done: make(chan error, 1)}
	select {
	case g.waiting <- e:
	default:
		return fault.New(fault.CodeOverloaded, fault.NotRun, "too many records wait").WithRetry(retryAfter)
	}
	select {
	case err := <-e.done:
		return err
	case <-ctx.Done():
		return fault.FromContext(ctx, fault.Unknown)
	}
}

// Serve appends until the context ends.
func (g *Gather) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-g.waiting:
			g.commit(ctx, g.collect(e))
		}
	}
}

// collect takes what waits, up to the bounds of a group.
func (g *Gather) collect(first entry) []entry {
	group := []entry{first}
	size := len(first.record.Value)
	for len(group) < maxGroup && size < maxGroupBytes {
		select {
		case e := <-g.waiting:
			group = append(group, e)
			size += len(e.record.Value)
		default:
			return group
		}
	}
	return group
}

func (g *Gather) commit(ctx context.Context, group []entry) {
	records := make([]logs.Record, len(group))
	for i, e := range group {
		records[i] = e.record
	}
	err := g.append(ctx, records)
	for _, e := range group {
		e.done <- err
	}
}

// append makes attempts beside each other until one is answered.
func (g *Gather) append(ctx context.Context, records []logs.Record) error {
	ctx, cancel := context.WithTimeout(ctx, groupTimeout)
	defer cancel()
	begun := tick.Now()
	results := make(chan error, maxAttempts)
	attempt := func() {
		_, err := g.opts.Log.Append(ctx, g.opts.Topic, g.opts.Part, records, logs.Condition{})
		results <- err
	}
	go attempt()
	attempts := 1
	failed := failures{ran: fault.NotRun}
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	for {
		select {
		case err := <-results:
			if err == nil {
				g.observe(tick.Now().Sub(begun))
				return nil
			}
			if failed.add(err); failed.count == attempts {
				return failed.err()
			}
		case <-check.C:
			waited := tick.Now().Sub(begun)
			if waited > silence && g.opts.AnsweredAt().Before(begun) {
				return fault.New(fault.CodeUnavailable, fault.Unknown, "the store answers nothing").WithRetry(retryAfter)
			}
			if attempts < maxAttempts && waited > g.patience()*time.Duration(attempts) {
				attempts++
				go attempt()
			}
		}
	}
}

// failures are the failed attempts of one group.
type failures struct {
	count int
	last  error
	ran   fault.Ran
}

func (f *failures) add(err error) {
	f.count++
	f.last = err
	if !fault.IsErrNotRun(err) {
		f.ran = fault.Unknown
	}
}

func (f *failures) err() error {
	return fault.Wrap(f.last, fault.CodeUnavailable, f.ran, "the store did not take the record").WithRetry(retryAfter)
}

func (g *Gather) patience() time.Duration { return max(minPatience, patienceFactor*g.usual) }

func (g *Gather) observe(took time.Duration) {
	g.usual += time.Duration(paceWeight * float64(took-g.usual))
}
