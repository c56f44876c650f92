// Package memlog is an in-process stand-in for the platform's log that can inject faults.
//
// Each instance has its own View, so that the log can be unreachable for some instances while it serves the others.
//
// # Usage
//
//	l := memlog.New(rand.New(rand.NewPCG(1, 1)))
//	view := l.View()
//	view.SetFaults(memlog.Faults{Down: true})
package memlog

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// minLatency is the minimum duration of a call.
	minLatency = 4 * time.Millisecond
	// pollInterval is how often a waiting read checks for new records.
	pollInterval = 5 * time.Millisecond
)

// Faults are the faults that a View injects.
type Faults struct {
	// Down makes every call fail without effect.
	Down bool
	// Broken makes every call, also those that wait for records, end without effect and without a response, as if the
	// connections were reset.
	Broken bool
	// Frozen is like Unresponsive, but calls that wait for records hang as well.
	Frozen bool
	// LateAppends, if not 0, is the time after which the appends that Broken ends take effect nevertheless.
	LateAppends time.Duration
	// Unresponsive makes every call hang without effect until its context ends.
	Unresponsive bool
	// LoseAnswers is the share of appends that take effect but get no response.
	LoseAnswers float64
	// LatencyFactor is the factor by which the latency is multiplied; 0 means 1.
	LatencyFactor int
	// AppendTime is how long an append takes. Appends are processed one at a time, over all partitions.
	AppendTime time.Duration
	// PartitionAppendTime is how long an append takes where each partition processes its appends one at a time.
	PartitionAppendTime time.Duration
}

type partition struct {
	firstOffset logs.Offset
	records     []logs.Record
	newest      map[string]logs.Record
	// epochs, nextSequences and lastOffsets are by producer. lastOffsets holds the offset of the last append, which is
	// returned if that append is repeated.
	epochs        map[string]uint64
	nextSequences map[string]uint64
	lastOffsets   map[string]logs.Offset
	// busyUntil is when all appends so far with a PartitionAppendTime will have completed; appends is their number.
	busyUntil tick.Time
	appends   int
}

type partitionKey struct {
	topic logs.Topic
	part  logs.Part
}

// awaitAppend waits until earlier appends have completed and for the duration of this one.
func (l *Log) awaitAppend(ctx context.Context, d time.Duration) {
	l.mu.Lock()
	l.busyUntil = max(l.busyUntil, tick.Now()).Add(d)
	until := l.busyUntil
	l.appends++
	l.mu.Unlock()
	tick.Pause(ctx, until.Sub(tick.Now()))
}

// awaitPartition waits until earlier appends to the partition have completed and for the duration of this one.
func (l *Log) awaitPartition(ctx context.Context, t logs.Topic, p logs.Part, d time.Duration) {
	l.mu.Lock()
	q := l.part(t, p)
	q.busyUntil = max(q.busyUntil, tick.Now()).Add(d)
	until := q.busyUntil
	q.appends++
	l.mu.Unlock()
	tick.Pause(ctx, until.Sub(tick.Now()))
}

// PartitionAppends returns the number of appends made to a partition with a PartitionAppendTime.
func (l *Log) PartitionAppends(t logs.Topic, p logs.Part) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.part(t, p).appends
}

// Appends returns the number of appends made with an AppendTime.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Log is an in-memory log, reached through Views.
type Log struct {
	mu    sync.Mutex
	rng   *rand.Rand
	parts map[partitionKey]*partition
	// busyUntil is when all appends so far will have completed; it is shared by all partitions.
	busyUntil tick.Time
	appends   int
	// maxRead is the maximum number of records that a read returns; 0 means that there is no limit.
	maxRead int
}

// LimitReads sets the maximum number of records that a read returns.
func (l *Log) LimitReads(records int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxRead = records
}

// New returns an empty Log.
func New(rng *rand.Rand) *Log { return &Log{rng: rng, parts: map[partitionKey]*partition{}} }

// View is one instance's access to the log, with its own faults.
type View struct {
	log            *Log
	mu             sync.Mutex
	faults         Faults
	lastResponseAt tick.Time
}

// LastResponseAt returns when a call of the view last reached the log. Calls that fail because of Down and appends
// whose response is lost count as well.
func (v *View) LastResponseAt() tick.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.lastResponseAt
}

// View returns a new View without faults.
func (l *Log) View() *View { return &View{log: l} }

// SetFaults replaces the injected faults.
func (v *View) SetFaults(f Faults) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.faults = f
}

// beginCall delays a call and fails it according to the faults of the view.
func (v *View) beginCall(ctx context.Context) (Faults, error) {
	v.mu.Lock()
	f := v.faults
	v.mu.Unlock()
	if f.Unresponsive || f.Frozen {
		return f, hang(ctx)
	}
	tick.Pause(ctx, minLatency*time.Duration(max(1, f.LatencyFactor)))
	if f.Broken {
		return f, errBroken()
	}
	if ctx.Err() != nil {
		return f, fault.New(fault.CodeUnknownOutcome, fault.Unknown, "no answer in time")
	}
	v.mu.Lock()
	v.lastResponseAt = tick.Now()
	v.mu.Unlock()
	if f.Down {
		return f, fault.New(fault.CodeUnavailable, fault.NotRun, "the log is down")
	}
	return f, nil
}

func errBroken() error {
	return fault.New(fault.CodeUnknownOutcome, fault.Unknown, "the connection was reset")
}

// hang waits until the context ends.
func hang(ctx context.Context) error {
	<-ctx.Done()
	return fault.New(fault.CodeUnknownOutcome, fault.Unknown, "no answer")
}

// failWaiting returns the error of a call that waits for records, if there is one.
func (v *View) failWaiting(ctx context.Context) error {
	v.mu.Lock()
	f := v.faults
	v.mu.Unlock()
	switch {
	case ctx.Err() != nil:
		return fault.New(fault.CodeUnknownOutcome, fault.Unknown, "no answer in time")
	case f.Broken:
		return errBroken()
	case f.Frozen:
		return hang(ctx)
	}
	return nil
}

func (l *Log) part(t logs.Topic, p logs.Part) *partition {
	k := partitionKey{t, p}
	if l.parts[k] == nil {
		l.parts[k] = &partition{
			newest: map[string]logs.Record{}, epochs: map[string]uint64{}, nextSequences: map[string]uint64{},
			lastOffsets: map[string]logs.Offset{},
		}
	}
	return l.parts[k]
}

func (p *partition) end() logs.Offset { return p.firstOffset + logs.Offset(len(p.records)) }

// Append implements logs.Log.
func (v *View) Append(
	ctx context.Context, t logs.Topic, p logs.Part, records []logs.Record, c logs.Condition,
) (logs.Offset, error) {
	f, err := v.beginCall(ctx)
	if f.Broken && f.LateAppends > 0 {
		time.AfterFunc(f.LateAppends, func() {
			v.log.mu.Lock()
			defer v.log.mu.Unlock()
			_, _ = v.log.part(t, p).append(t, records, c)
		})
	}
	if err != nil {
		return 0, err
	}
	if f.AppendTime > 0 {
		v.log.awaitAppend(ctx, f.AppendTime)
	}
	if f.PartitionAppendTime > 0 {
		v.log.awaitPartition(ctx, t, p, f.PartitionAppendTime)
	}
	v.log.mu.Lock()
	offset, err := v.log.part(t, p).append(t, records, c)
	isLost := v.log.rng.Float64() < f.LoseAnswers
	v.log.mu.Unlock()
	if isLost {
		<-ctx.Done()
		return 0, fault.New(fault.CodeUnknownOutcome, fault.Unknown, "the answer was lost")
	}
	return offset, err
}

func (p *partition) append(t logs.Topic, records []logs.Record, c logs.Condition) (logs.Offset, error) {
	if c.At != nil && *c.At != p.end() {
		return 0, &logs.ConflictError{End: p.end()}
	}
	if c.Producer != "" {
		isRepeat, err := p.checkProducer(c, len(records))
		if isRepeat || err != nil {
			return p.lastOffsets[c.Producer], err
		}
	}
	offset := p.end()
	for _, r := range records {
		r.Offset = p.end()
		p.records = append(p.records, r)
		if !t.Keyed {
			continue
		}
		p.newest[r.Key] = r
		if len(r.Value) == 0 {
			delete(p.newest, r.Key)
		}
	}
	p.lastOffsets[c.Producer] = offset
	return offset, nil
}

// checkProducer checks and records the epoch and the sequence number of an append of count records, and returns whether
// it repeats the last append.
func (p *partition) checkProducer(c logs.Condition, count int) (bool, error) {
	epoch := p.epochs[c.Producer]
	next, isKnown := p.nextSequences[c.Producer]
	switch {
	case c.Epoch < epoch:
		return false, &logs.FencedError{}
	case c.Epoch > epoch:
		p.epochs[c.Producer] = c.Epoch
		delete(p.nextSequences, c.Producer)
		isKnown = false
	}
	if count == 0 {
		return false, nil
	}
	if isKnown && c.Sequence+1 == next {
		return true, nil
	}
	if isKnown && c.Sequence != next {
		return false, &logs.SequenceError{Expected: next}
	}
	p.nextSequences[c.Producer] = c.Sequence + 1
	return false, nil
}

// Read implements logs.Log.
func (v *View) Read(
	ctx context.Context, t logs.Topic, p logs.Part, from logs.Offset, wait time.Duration,
) (logs.Page, error) {
	if _, err := v.beginCall(ctx); err != nil {
		return logs.Page{}, err
	}
	until := tick.Now().Add(wait)
	for {
		v.log.mu.Lock()
		page, err := v.log.part(t, p).read(from)
		if most := v.log.maxRead; most > 0 {
			page.Records = page.Records[:min(most, len(page.Records))]
		}
		v.log.mu.Unlock()
		if err != nil || len(page.Records) > 0 || !tick.Now().Before(until) {
			return page, err
		}
		tick.Pause(ctx, pollInterval)
		if err := v.failWaiting(ctx); err != nil {
			return logs.Page{}, err
		}
	}
}

func (p *partition) read(from logs.Offset) (logs.Page, error) {
	if from < p.firstOffset {
		return logs.Page{}, &logs.TrimmedError{First: p.firstOffset}
	}
	page := logs.Page{End: p.end(), First: p.firstOffset}
	if from < p.end() {
		page.Records = append(page.Records, p.records[from-p.firstOffset:]...)
	}
	return page, nil
}

// Newest implements logs.Log.
func (v *View) Newest(ctx context.Context, t logs.Topic, p logs.Part) ([]logs.Record, logs.Offset, error) {
	if _, err := v.beginCall(ctx); err != nil {
		return nil, 0, err
	}
	v.log.mu.Lock()
	defer v.log.mu.Unlock()
	q := v.log.part(t, p)
	records := make([]logs.Record, 0, len(q.newest))
	for _, r := range q.newest {
		records = append(records, r)
	}
	return records, q.end(), nil
}

// Trim drops the records of a partition; the newest record of each key stays available to Newest.
func (l *Log) Trim(t logs.Topic, p logs.Part) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.part(t, p)
	q.firstOffset = q.end()
	q.records = nil
}

// Records returns the number of records ever appended to a partition.
func (l *Log) Records(t logs.Topic, p logs.Part) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.part(t, p).end())
}
