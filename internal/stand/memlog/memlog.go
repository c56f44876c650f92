// Package memlog is a stand-in for the platform's log that runs in the process, with the faults that the platform
// names.
//
// Each instance has its own View, so that the log may be gone for some instances and serve the others.
//
// # Usage
//
//	l := memlog.New(rand.New(rand.NewPCG(1, 1)))
//	view := l.View()
//	view.Set(memlog.Faults{Down: true})
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
	// latency is how long a call takes at least.
	latency = 4 * time.Millisecond
	// pollInterval is how often a waiting read looks for records.
	pollInterval = 5 * time.Millisecond
)

// Faults is how a view misbehaves.
type Faults struct {
	// Down refuses every call; nothing is done.
	Down bool
	// Silent lets every call hang without an effect.
	Silent bool
	// LoseAnswers is the share of appends that are done and not answered.
	LoseAnswers float64
	// Slow times the latency; 0 means 1.
	Slow int
	// AppendTime is how long an append takes; a partition makes one at a time.
	AppendTime time.Duration
}

type partition struct {
	first   logs.Offset
	records []logs.Record
	newest  map[string]logs.Record
	// epochs and sequences are by producer; the last append's offset answers a repeat.
	epochs    map[string]uint64
	sequences map[string]uint64
	last      map[string]logs.Offset
}

type place struct {
	topic logs.Topic
	part  logs.Part
}

// queue waits until the appends before this one are made, and for its own.
func (l *Log) queue(ctx context.Context, d time.Duration) {
	l.mu.Lock()
	l.busyUntil = max(l.busyUntil, tick.Now()).Add(d)
	until := l.busyUntil
	l.appends++
	l.mu.Unlock()
	tick.Pause(ctx, until.Sub(tick.Now()))
}

// Appends returns how many appends took time.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Log is the log.
type Log struct {
	mu    sync.Mutex
	rnd   *rand.Rand
	parts map[place]*partition
	// busyUntil is when the appends so far are made; all partitions share it.
	busyUntil tick.Time
	appends   int
}

// New returns an empty Log.
func New(rnd *rand.Rand) *Log { return &Log{rnd: rnd, parts: map[place]*partition{}} }

// View is the log as one instance reaches it.
type View struct {
	log    *Log
	mu     sync.Mutex
	faults Faults
	// answeredAt is when a call was last let through.
	answeredAt tick.Time
}

// AnsweredAt returns when the log last let a call of the view through.
func (v *View) AnsweredAt() tick.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.answeredAt
}

// View returns a way to the log without faults.
func (l *Log) View() *View { return &View{log: l} }

// Set replaces the faults.
func (v *View) Set(f Faults) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.faults = f
}

// enter delays a call and refuses it as the faults say.
func (v *View) enter(ctx context.Context) (Faults, error) {
	v.mu.Lock()
	f := v.faults
	v.mu.Unlock()
	if f.Silent {
		<-ctx.Done()
		return f, fault.New(fault.CodeUnknownOutcome, fault.Unknown, "no answer")
	}
	tick.Pause(ctx, latency*time.Duration(max(1, f.Slow)))
	if ctx.Err() != nil {
		return f, fault.New(fault.CodeUnknownOutcome, fault.Unknown, "no answer in time")
	}
	v.mu.Lock()
	v.answeredAt = tick.Now()
	v.mu.Unlock()
	if f.Down {
		return f, fault.New(fault.CodeUnavailable, fault.NotRun, "the log is down")
	}
	return f, nil
}

func (l *Log) part(t logs.Topic, p logs.Part) *partition {
	k := place{t, p}
	if l.parts[k] == nil {
		l.parts[k] = &partition{
			newest: map[string]logs.Record{}, epochs: map[string]uint64{}, sequences: map[string]uint64{},
			last: map[string]logs.Offset{},
		}
	}
	return l.parts[k]
}

func (p *partition) end() logs.Offset { return p.first + logs.Offset(len(p.records)) }

// Append implements logs.Log.
func (v *View) Append(
	ctx context.Context, t logs.Topic, p logs.Part, records []logs.Record, c logs.Condition,
) (logs.Offset, error) {
	f, err := v.enter(ctx)
	if err != nil {
		return 0, err
	}
	if f.AppendTime > 0 {
		v.log.queue(ctx, f.AppendTime)
	}
	v.log.mu.Lock()
	offset, err := v.log.part(t, p).append(t, records, c)
	isLost := v.log.rnd.Float64() < f.LoseAnswers
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
		isRepeat, err := p.admit(c, len(records))
		if isRepeat || err != nil {
			return p.last[c.Producer], err
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
	p.last[c.Producer] = offset
	return offset, nil
}

// admit checks the epoch and the sequence number, and reports a repeat of the last append.
func (p *partition) admit(c logs.Condition, records int) (bool, error) {
	epoch := p.epochs[c.Producer]
	next, isKnown := p.sequences[c.Producer]
	switch {
	case c.Epoch < epoch:
		return false, &logs.FencedError{}
	case c.Epoch > epoch:
		p.epochs[c.Producer] = c.Epoch
		delete(p.sequences, c.Producer)
		isKnown = false
	}
	if records == 0 {
		return false, nil
	}
	if isKnown && c.Sequence+1 == next {
		return true, nil
	}
	if isKnown && c.Sequence != next {
		return false, &logs.SequenceError{Expected: next}
	}
	p.sequences[c.Producer] = c.Sequence + 1
	return false, nil
}

// Read implements logs.Log.
func (v *View) Read(
	ctx context.Context, t logs.Topic, p logs.Part, from logs.Offset, wait time.Duration,
) (logs.Page, error) {
	if _, err := v.enter(ctx); err != nil {
		return logs.Page{}, err
	}
	until := tick.Now().Add(wait)
	for {
		v.log.mu.Lock()
		page, err := v.log.part(t, p).read(from)
		v.log.mu.Unlock()
		if err != nil || len(page.Records) > 0 || !tick.Now().Before(until) {
			return page, err
		}
		tick.Pause(ctx, pollInterval)
		if ctx.Err() != nil {
			return logs.Page{}, fault.New(fault.CodeUnknownOutcome, fault.Unknown, "no answer in time")
		}
	}
}

func (p *partition) read(from logs.Offset) (logs.Page, error) {
	if from < p.first {
		return logs.Page{}, &logs.TrimmedError{First: p.first}
	}
	page := logs.Page{End: p.end(), First: p.first}
	if from < p.end() {
		page.Records = append(page.Records, p.records[from-p.first:]...)
	}
	return page, nil
}

// Newest implements logs.Log.
func (v *View) Newest(ctx context.Context, t logs.Topic, p logs.Part) ([]logs.Record, logs.Offset, error) {
	if _, err := v.enter(ctx); err != nil {
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

// Trim drops the history of a partition; the newest record of each key stays.
func (l *Log) Trim(t logs.Topic, p logs.Part) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.part(t, p)
	q.first = q.end()
	q.records = nil
}

// Records returns how many records a partition has had.
func (l *Log) Records(t logs.Topic, p logs.Part) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.part(t, p).end())
}
