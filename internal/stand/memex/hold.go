package memex

import (
	"context"
	"slices"
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

// maxHoldWait is the longest time for which a hold waits for an end.
const maxHoldWait = 2 * time.Second

// Hold implements orders.Executors.
func (f *Fleet) Hold(ctx context.Context, t orders.Target, o orders.Hold) (orders.Lists, orders.Reply) {
	target := f.executor(t.ID)
	tick.Pause(ctx, callLatency)
	until := tick.Now().Add(min(o.Wait, maxHoldWait))
	l, r := f.applyHold(ctx, t.ID, target, o)
	for r.Outcome == orders.Done && len(l.Ended) == 0 && tick.Now().Before(until) && ctx.Err() == nil {
		tick.Pause(ctx, pollInterval)
		l, r = f.awaitEnd(t.ID, target)
	}
	if _, isLate := receipt(ctx, until); r.Outcome == orders.Done && !isLate {
		f.noteAnswer(target, o.FencingToken)
	}
	return l, r
}

// noteAnswer notes that an executor answers a hold with the token.
func (f *Fleet) noteAnswer(x *executor, token orders.FencingToken) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := tick.Now()
	x.fence.noteAnswer(token, now)
	if x.listedAt != 0 && x.heardAt == 0 {
		x.heardAt = now
	}
}

// applyHold extends the lease, forgets the acknowledged ends that exist by now, and returns the lists.
func (f *Fleet) applyHold(
	ctx context.Context, id string, target *executor, o orders.Hold,
) (orders.Lists, orders.Reply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	x, r := f.accept(id, target, o.FencingToken)
	if x == nil {
		return orders.Lists{}, r
	}
	sentAt, _ := receipt(ctx, tick.Now())
	if o.DeadlineMS != 0 || o.AckCursor != 0 {
		x.fence.noteCall(o.FencingToken, sentAt)
	}
	x.extendLease(r.ClockMS, o.DeadlineMS)
	for len(x.unackedEnds) > 0 && x.unackedEnds[0].Cursor <= o.AckCursor {
		f.trace("end %d on %s is acknowledged up to %d, token %d", x.unackedEnds[0].Cursor, id, o.AckCursor, o.FencingToken)
		end := x.unackedEnds[0]
		f.task(end.Run.Task).ackEnd(end.Reason, x.unfenced[end.Run] && x.fence.isOpen(sentAt))
		x.unackedEnds = x.unackedEnds[1:]
	}
	return f.lists(x), r
}

// awaitEnd returns the present lists for a hold that has been applied.
func (f *Fleet) awaitEnd(id string, x *executor) (orders.Lists, orders.Reply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.executors[id] != x {
		return orders.Lists{}, orders.Reply{Outcome: orders.NotSent}
	}
	now := tick.Now()
	f.advance(x, now)
	return f.lists(x), orders.Reply{Outcome: orders.Done, ClockMS: x.clock(now)}
}

// lists returns the lists of an executor. The caller holds the mutex.
func (f *Fleet) lists(x *executor) orders.Lists {
	l := orders.Lists{StartedMS: x.incarnation, Ended: x.unackedEnds}
	l.TruncateEnds(f.endsPerList)
	l.Ended = slices.Clone(l.Ended)
	now := tick.Now()
	for _, active := range x.runs {
		l.Running = append(l.Running, orders.Running{
			Run: active.run, Percent: active.percent(now), Usage: active.behavior.Capacity.MilliCPU,
		})
	}
	return l
}
