package leader_test

import (
	"context"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// callCost is the processor time of one call to an executor or to the store, half of it for the request and half for
	// the response. With it and planCost, the leader uses what that of the large deployment does.
	callCost = 150 * time.Microsecond
	// planCost is the processor time of a plan for 890 executors.
	planCost = 1600 * time.Microsecond
	// quotaPeriod is the period of a processor quota.
	quotaPeriod = 100 * time.Millisecond
)

// processor lets the work of one instance take turns and take virtual time, first come, first served. It must not be
// used with a mutex held, because virtual time stands still while a goroutine waits for a mutex.
type processor struct {
	mu sync.Mutex
	// cores is the part of one core that the instance has: its speed or, if hasQuota is true, the share of each
	// quotaPeriod in which it runs at full speed. Work takes no time if it is 0.
	cores    float64
	hasQuota bool
	// freeAt is when the work so far is done.
	freeAt tick.Time
	// period is the quota period of freeAt, and used the time used up of it.
	period int64
	used   time.Duration
	// total is the work so far, at full speed.
	total time.Duration
}

// set sets the speed or, if hasQuota is true, the quota.
func (p *processor) set(cores float64, hasQuota bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cores, p.hasQuota, p.total = cores, hasQuota, 0
}

// run returns once the work is done.
func (p *processor) run(work time.Duration) {
	now := tick.Now()
	if end := p.schedule(now, work); now.Before(end) {
		time.Sleep(end.Sub(now))
	}
}

// schedule appends work to the queue and returns when it will be done.
func (p *processor) schedule(now tick.Time, work time.Duration) tick.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.total += work
	if p.cores == 0 {
		return now
	}
	p.freeAt = max(p.freeAt, now)
	if p.hasQuota {
		p.scheduleInQuota(work)
	} else {
		p.freeAt = p.freeAt.Add(time.Duration(float64(work) / p.cores))
	}
	return p.freeAt
}

// scheduleInQuota lets the work run at full speed while the quota of a period lasts. The caller holds the mutex.
func (p *processor) scheduleInQuota(work time.Duration) {
	quota := time.Duration(p.cores * float64(quotaPeriod))
	for work > 0 {
		if period := int64(p.freeAt) / int64(quotaPeriod); period != p.period {
			p.period, p.used = period, 0
		}
		periodEnd := tick.Time((p.period + 1) * int64(quotaPeriod))
		step := min(work, quota-p.used, periodEnd.Sub(p.freeAt))
		p.freeAt, p.used, work = p.freeAt.Add(step), p.used+step, work-step
		if work > 0 {
			p.freeAt = periodEnd
		}
	}
}

// work returns the work since set.
func (p *processor) work() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total
}

// callStats count calls to executors.
type callStats struct {
	mu sync.Mutex
	// starts, holds and others are the calls, unanswered those start orders that got no response.
	starts, holds, others, unanswered int
	// responseTimes are those of the start orders.
	responseTimes []time.Duration
}

func (s *callStats) edit(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// chargedExecutors charges the calls to executors to a processor.
type chargedExecutors struct {
	orders.Executors
	processor *processor
	stats     callStats
}

// charge makes a call and charges it. A response that is handled after the timeout is lost.
func (c *chargedExecutors) charge(ctx context.Context, maySend func() bool, call func() orders.Reply) orders.Reply {
	c.processor.run(callCost / 2)
	if ctx.Err() != nil {
		return orders.Reply{Outcome: orders.NoResponse}
	}
	if maySend != nil && !maySend() {
		return orders.Reply{Outcome: orders.NotSent}
	}
	r := call()
	c.processor.run(callCost / 2)
	if ctx.Err() != nil {
		return orders.Reply{Outcome: orders.NoResponse}
	}
	return r
}

// Start implements orders.Executors.
func (c *chargedExecutors) Start(ctx context.Context, t orders.Target, o orders.Start) orders.Reply {
	sent := tick.Now()
	r := c.charge(ctx, o.MaySend, func() orders.Reply { return c.Executors.Start(ctx, t, o) })
	c.stats.edit(func() {
		c.stats.starts++
		c.stats.responseTimes = append(c.stats.responseTimes, tick.Now().Sub(sent))
		if r.Outcome == orders.NoResponse {
			c.stats.unanswered++
		}
	})
	return r
}

// Stop implements orders.Executors.
func (c *chargedExecutors) Stop(ctx context.Context, t orders.Target, o orders.Stop) orders.Reply {
	c.stats.edit(func() { c.stats.others++ })
	return c.charge(ctx, nil, func() orders.Reply { return c.Executors.Stop(ctx, t, o) })
}

// Pace implements orders.Executors.
func (c *chargedExecutors) Pace(ctx context.Context, t orders.Target, o orders.Pace) orders.Reply {
	c.stats.edit(func() { c.stats.others++ })
	return c.charge(ctx, nil, func() orders.Reply { return c.Executors.Pace(ctx, t, o) })
}

// Hold implements orders.Executors.
func (c *chargedExecutors) Hold(ctx context.Context, t orders.Target, o orders.Hold) (l orders.Lists, _ orders.Reply) {
	c.stats.edit(func() { c.stats.holds++ })
	r := c.charge(ctx, nil, func() (r orders.Reply) {
		l, r = c.Executors.Hold(ctx, t, o)
		return r
	})
	if r.Outcome != orders.Done {
		return orders.Lists{}, r
	}
	return l, r
}

// chargedLog charges the appends to the store to a processor.
type chargedLog struct {
	logs.Log
	processor *processor
}

// Append implements logs.Log.
func (l *chargedLog) Append(
	ctx context.Context, t logs.Topic, part logs.Part, records []logs.Record, c logs.Condition,
) (logs.Offset, error) {
	l.processor.run(callCost / 2)
	offset, err := l.Log.Append(ctx, t, part, records, c)
	l.processor.run(callCost / 2)
	return offset, err
}

// isCalledByPlanLoop reports whether the caller of its caller is the loop of the leader that plans. It checks the
// leadership lease right before each plan.
func isCalledByPlanLoop() bool {
	const skipped = 3
	var pc [1]uintptr
	runtime.Callers(skipped, pc[:])
	frame, _ := runtime.CallersFrames(pc[:]).Next()
	return strings.HasSuffix(frame.Function, ").planLoop")
}
