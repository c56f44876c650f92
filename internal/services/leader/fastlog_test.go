package leader_test

import (
	"context"
	"sync"
	"time"

	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	appendTime = 4 * time.Millisecond
	// readInterval is how often a waiting read checks for new records.
	readInterval = 5 * time.Millisecond
)

// fastLog is a log whose reads take no time unless they wait for records. Virtual time stands still while a goroutine
// waits for a mutex, so a read that takes time must not be made with a mutex held that another goroutine waits for.
type fastLog struct {
	mu    sync.Mutex
	parts map[logs.Topic]*fastPart
}

// fastPart is the only partition of a topic. epoch and next are those of the one producer.
type fastPart struct {
	records     []logs.Record
	first       logs.Offset
	epoch, next uint64
	newest      map[string]logs.Record
}

func newFastLog() *fastLog { return &fastLog{parts: map[logs.Topic]*fastPart{}} }

// edit calls f with the partition of a topic.
func (l *fastLog) edit(t logs.Topic, f func(p *fastPart)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.parts[t] == nil {
		l.parts[t] = &fastPart{newest: map[string]logs.Record{}}
	}
	f(l.parts[t])
}

// trim drops all records but the newest of each key.
func (l *fastLog) trim(t logs.Topic) {
	l.edit(t, func(p *fastPart) { p.first, p.records = p.end(), nil })
}

func (p *fastPart) end() logs.Offset { return p.first + logs.Offset(len(p.records)) }

// Append implements logs.Log.
func (l *fastLog) Append(
	ctx context.Context, t logs.Topic, _ logs.Part, records []logs.Record, c logs.Condition,
) (offset logs.Offset, err error) {
	tick.Pause(ctx, appendTime)
	l.edit(t, func(p *fastPart) {
		offset = p.end()
		if err = p.check(c, len(records)); err == nil {
			p.add(records)
		}
	})
	return offset, err
}

func (p *fastPart) check(c logs.Condition, count int) error {
	if c.At != nil && *c.At != p.end() {
		return &logs.ConflictError{End: p.end()}
	}
	if c.Producer == "" {
		return nil
	}
	if c.Epoch < p.epoch {
		return &logs.FencedError{}
	}
	if c.Epoch > p.epoch {
		p.epoch, p.next = c.Epoch, c.Sequence
	}
	if count > 0 && c.Sequence != p.next {
		return &logs.SequenceError{Expected: p.next}
	}
	if count > 0 {
		p.next++
	}
	return nil
}

func (p *fastPart) add(records []logs.Record) {
	for _, r := range records {
		r.Offset = p.end()
		p.records = append(p.records, r)
		p.newest[r.Key] = r
		if len(r.Value) == 0 {
			delete(p.newest, r.Key)
		}
	}
}

// Read implements logs.Log.
func (l *fastLog) Read(
	ctx context.Context, t logs.Topic, _ logs.Part, from logs.Offset, wait time.Duration,
) (page logs.Page, err error) {
	until := tick.Now().Add(wait)
	for {
		l.edit(t, func(p *fastPart) { page, err = p.read(from) })
		if err != nil || len(page.Records) > 0 || !tick.Now().Before(until) || ctx.Err() != nil {
			return page, err
		}
		tick.Pause(ctx, readInterval)
	}
}

func (p *fastPart) read(from logs.Offset) (logs.Page, error) {
	if from < p.first {
		return logs.Page{}, &logs.TrimmedError{First: p.first}
	}
	return logs.Page{
		Records: append([]logs.Record(nil), p.records[min(from, p.end())-p.first:]...), End: p.end(), First: p.first,
	}, nil
}

// Newest implements logs.Log.
func (l *fastLog) Newest(_ context.Context, t logs.Topic, _ logs.Part) (out []logs.Record, next logs.Offset, _ error) {
	l.edit(t, func(p *fastPart) {
		for _, r := range p.newest {
			out = append(out, r)
		}
		next = p.end()
	})
	return out, next, nil
}
