package leader

import (
	"context"
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/state/cell"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// maxStarts is the highest limit of the start orders in flight. Further ones stay in the cell, which keeps them in
	// order.
	maxStarts = 128
	// maxQueuedStarts limits the start orders in flight beyond those that the path needs, whose responses wait for the
	// processor of this instance. startsPerSecond is the rate that the path must permit.
	maxQueuedStarts = 48
	startsPerSecond = 1000
	// minStartPause is the shortest pause between two rounds of startLoop.
	minStartPause = time.Millisecond
	// slowOrder is the response time of an order above which fewer start orders are sent.
	slowOrder = orderTimeout / 2
	// minOverdue is the shortest time after which the response to a start order counts as overdue. A processor quota may
	// suspend this process or an executor for that long.
	minOverdue = 100 * time.Millisecond
)

// startLoop sends the start orders of placed runs once their executors are recorded, or once the limit of start orders
// in flight permits, without a plan.
func (t *term) startLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.startWake:
		}
		if t.opts.HoldsLease(tick.Now()) {
			t.startRecorded(ctx)
		}
		tick.Pause(ctx, minStartPause)
	}
}

func (t *term) startRecorded(ctx context.Context) {
	t.mu.Lock()
	now := tick.Now()
	t.noteTerm(t.cell)
	t.applyEvacuations(now)
	room := t.startRoom(now)
	list := t.cell.StartRecorded(now, room)
	t.isStartLimited = len(list) >= room
	events := t.cell.Events()
	t.countStarts(events)
	t.mu.Unlock()
	t.logEvents(events)
	for _, o := range list {
		t.sendOrder(ctx, o)
	}
}

// startRoom returns how many start orders may be sent. The caller must hold the mutex.
func (t *term) startRoom(now tick.Time) int {
	if !t.knowsEvacuations(now) {
		return 0
	}
	return t.startWindow.Room(now)
}

// countStartOrders returns the number of start orders in the list.
func countStartOrders(list []cell.Order) int {
	n := 0
	for _, o := range list {
		if o.Start != nil {
			n++
		}
	}
	return n
}

// executeStart executes a start order. If the response is overdue, it queries the executor while it waits on.
func (t *term) executeStart(ctx context.Context, o cell.Order) orders.Reply {
	replies := make(chan orders.Reply, 1)
	t.spawn(ctx, func(ctx context.Context) { replies <- t.executeOrder(ctx, o) })
	t.mu.Lock()
	overdue := time.NewTimer(t.startResponses.Timeout())
	t.mu.Unlock()
	defer overdue.Stop()
	select {
	case r := <-replies:
		return r
	case <-overdue.C:
	}
	t.mu.Lock()
	isOpen := t.cell.DoubtStart(tick.Now(), o)
	t.mu.Unlock()
	if isOpen {
		t.query(ctx, o.Target.ID)
	}
	return <-replies
}

// isSent reports whether an order may have reached its executor.
func isSent(o orders.Outcome) bool {
	return o != orders.NotSent && o != orders.Withheld && o != orders.OtherProcess
}

// updateStartWindow adapts the limit of start orders in flight to the outcome of one that was sent at the time sent.
func (t *term) updateStartWindow(sent tick.Time, r orders.Reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := tick.Now()
	if r.Outcome == orders.NoResponse {
		t.startWindow.Failed(now, sent)
		return
	}
	if !isSent(r.Outcome) {
		t.startWindow.Withdrawn(sent)
		return
	}
	t.startWindow.Answered(now, sent)
	t.startTimes.add(0, now.Sub(sent))
	t.startResponses.Observe(now.Sub(sent))
}
