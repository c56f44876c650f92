// Package group appends records by group commit: it combines the records of concurrent callers into few appends.
//
// One group is appended at a time, and records that arrive in the meantime go into the next one, so that a slow store
// gets fewer and larger appends. Records must be idempotent: an append without a response is sent again while the first
// one is still pending, after a delay that adapts to the latency of the store, and the first success counts.
//
// # Usage
//
//	c := group.New(group.Options{Log: log, Topic: logs.Intake, Part: part, ReportSilence: log.ReportSilence, ...})
//	go c.Serve(ctx)
//	err := c.Append(ctx, record)
package group

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/state/slow"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// maxPending limits the records that wait for a group, maxGroup those of one append.
	maxPending = 4096
	maxGroup   = 128
	// defaultMaxBytes is the default of Options.MaxBytes.
	defaultMaxBytes = 1 << 20
	// groupTimeout limits the time for one group, maxAttempts the number of its appends.
	groupTimeout = 2600 * time.Millisecond
	maxAttempts  = 3
	// An append without a response is sent again after retryDelayFactor times the mean latency of the store, but not
	// before minRetryDelay.
	minRetryDelay    = 300 * time.Millisecond
	retryDelayFactor = 3
	// otherPathRetryDelay replaces minRetryDelay if there is another path. It leaves time for one further attempt within
	// groupTimeout.
	otherPathRetryDelay = groupTimeout / 2
	// slowAppend is the duration of an append above which the store counts as slow.
	slowAppend = 150 * time.Millisecond
	// noResponseTimeout is how long a group waits if the store does not respond to any call of this instance.
	noResponseTimeout = 700 * time.Millisecond
	checkInterval     = 100 * time.Millisecond
	// latencyWeight is the weight of the newest sample in the moving average of the append latency.
	latencyWeight = 0.3
	retryAfter    = time.Second
)

// Options configure a Committer.
type Options struct {
	Log   logs.Log
	Topic logs.Topic
	Part  logs.Part
	// LastStoreResponseAt returns when the store last responded to any call of this instance.
	LastStoreResponseAt func() tick.Time
	// HasOtherPath reports whether the callers can have their records appended by another instance. Then an append without
	// a response is sent again much later, because repeats from many instances keep a slow store busy.
	HasOtherPath func() bool
	// IsStored reports whether the record with a key was read in the log. A group whose records were all read ends without
	// a response to its append. nil means that this is never known.
	IsStored func(key string) bool
	// Spread is in [0, 1) and differs between instances; see slow.New.
	Spread float64
	// MaxBytes is the total size of the values after which no further record is added to a group; 0 means 1 MiB.
	MaxBytes int
	// ReportSilence is called if the store has not responded to any call since the given time.
	ReportSilence func(since tick.Time)
}

// Committer groups the appends of one instance.
type Committer struct {
	opts    Options
	pending chan *entry
	// slowness observes the appends of groups.
	slowness *slow.Detector
	// meanLatency is the moving average of the append latency. Only Serve uses it.
	meanLatency time.Duration
}

type entry struct {
	record logs.Record
	result chan error
	// isTaken is set by whoever comes first: the group that appends the record or the caller that withdraws it.
	isTaken atomic.Bool
}

// take marks the entry as taken. It returns false if a group has taken it or the caller has withdrawn it before.
func (e *entry) take() bool { return e.isTaken.CompareAndSwap(false, true) }

// New returns a Committer. It appends nothing until Serve runs.
func New(o Options) *Committer {
	if o.MaxBytes == 0 {
		o.MaxBytes = defaultMaxBytes
	}
	return &Committer{opts: o, pending: make(chan *entry, maxPending), slowness: slow.New(slowAppend, o.Spread)}
}

// IsSlow reports whether the appends of this instance take long.
func (c *Committer) IsSlow(now tick.Time) bool { return c.slowness.IsSlow(now) }

// String names the service in logs.
func (c *Committer) String() string { return "gather" }

// Append queues a record and waits until its group is appended or the context ends. An error marked as not run means
// that the record will never be stored. A record that no group has taken when the context ends is withdrawn.
func (c *Committer) Append(ctx context.Context, r logs.Record) error {
	e := &entry{record: r, result: make(chan error, 1)}
	select {
	case c.pending <- e:
	default:
		return fault.New(fault.CodeOverloaded, fault.NotRun, "too many records wait").WithRetry(retryAfter)
	}
	select {
	case err := <-e.result:
		return err
	case <-ctx.Done():
		if e.take() {
			return fault.FromContext(ctx, fault.NotRun)
		}
		return fault.FromContext(ctx, fault.Unknown)
	}
}

// Serve appends the queued records until the context ends.
func (c *Committer) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-c.pending:
			if group := c.collectGroup(e); len(group) > 0 {
				c.commit(ctx, group)
			}
		}
	}
}

// collectGroup takes the queued records that were not withdrawn, up to the limits of a group.
func (c *Committer) collectGroup(first *entry) []*entry {
	var group []*entry
	size := 0
	for e := first; ; {
		if e.take() {
			group = append(group, e)
			size += len(e.record.Value)
		}
		if len(group) == maxGroup || size >= c.opts.MaxBytes {
			return group
		}
		select {
		case e = <-c.pending:
		default:
			return group
		}
	}
}

// commit appends a group. If the store finds fault with the records, each one is appended alone, so that one of them
// does not have the others refused.
func (c *Committer) commit(ctx context.Context, group []*entry) {
	err := c.appendGroup(ctx, group)
	if len(group) > 1 && fault.IsErrCode(err, fault.CodeBadRequest) {
		c.commitSingly(ctx, group)
		return
	}
	for _, e := range group {
		e.result <- err
	}
}

// commitSingly appends each record of a group alone, until an append fails for another reason than its record.
func (c *Committer) commitSingly(ctx context.Context, group []*entry) {
	isServing := true
	for _, e := range group {
		err := error(fault.New(fault.CodeUnavailable, fault.NotRun, "the store serves no more appends").WithRetry(retryAfter))
		if isServing {
			err = c.appendGroup(ctx, []*entry{e})
			isServing = err == nil || fault.IsErrCode(err, fault.CodeBadRequest)
		}
		e.result <- err
	}
}

func (c *Committer) appendGroup(ctx context.Context, group []*entry) error {
	records := make([]logs.Record, len(group))
	for i, e := range group {
		records[i] = e.record
	}
	c.slowness.Began(tick.Now())
	err := c.append(ctx, records)
	c.slowness.Ended(tick.Now(), err == nil)
	return err
}

// attemptResult is the outcome of one attempt to append a group. took is the latency of the attempt itself: a repeat
// that is answered at once after a lost response does not show a slow store.
type attemptResult struct {
	err  error
	took time.Duration
}

// append sends the records in up to maxAttempts parallel attempts, until one succeeds or all have failed.
func (c *Committer) append(ctx context.Context, records []logs.Record) error {
	ctx, cancel := context.WithTimeout(ctx, groupTimeout)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	started := tick.Now()
	results := make(chan attemptResult, maxAttempts)
	attempt := func() {
		sent := tick.Now()
		_, err := c.opts.Log.Append(ctx, c.opts.Topic, c.opts.Part, records, logs.Condition{})
		results <- attemptResult{err, tick.Now().Sub(sent)}
	}
	wg.Go(attempt)
	attempts := 1
	failed := failures{ran: fault.NotRun}
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	for {
		select {
		case r := <-results:
			if r.err == nil {
				c.observeLatency(r.took)
				return nil
			}
			if failed.record(r.err); failed.count == attempts {
				return failed.err()
			}
		case <-check.C:
			if c.areStored(records) {
				return nil
			}
			waited := tick.Now().Sub(started)
			if waited > noResponseTimeout && c.opts.LastStoreResponseAt().Before(started) {
				c.opts.ReportSilence(started)
				return fault.New(fault.CodeUnavailable, fault.Unknown, "the store answers nothing").WithRetry(retryAfter)
			}
			if attempts < maxAttempts && waited > c.retryDelay()*time.Duration(attempts) {
				attempts++
				wg.Go(attempt)
			}
		}
	}
}

// areStored reports whether all records of a group were read in the log.
func (c *Committer) areStored(records []logs.Record) bool {
	if c.opts.IsStored == nil {
		return false
	}
	for _, r := range records {
		if !c.opts.IsStored(r.Key) {
			return false
		}
	}
	return true
}

// failures collects the failed attempts of one group.
type failures struct {
	count int
	last  error
	ran   fault.Ran
}

func (f *failures) record(err error) {
	f.count++
	f.last = err
	if !fault.IsErrNotRun(err) {
		f.ran = fault.Unknown
	}
}

func (f *failures) err() error {
	code := fault.CodeUnavailable
	if f.ran == fault.NotRun && fault.IsErrCode(f.last, fault.CodeBadRequest) {
		code = fault.CodeBadRequest
	}
	return fault.Wrap(f.last, code, f.ran, "the store did not take the record").WithRetry(retryAfter)
}

func (c *Committer) retryDelay() time.Duration {
	shortest := minRetryDelay
	if c.opts.HasOtherPath() {
		shortest = otherPathRetryDelay
	}
	return max(shortest, retryDelayFactor*c.meanLatency)
}

func (c *Committer) observeLatency(took time.Duration) {
	c.meanLatency += time.Duration(latencyWeight * float64(took-c.meanLatency))
}
