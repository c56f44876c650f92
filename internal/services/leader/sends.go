package leader

import (
	"context"
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/modules/wake"
	"github.com/ibischute/ibischute/internal/state/cell"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	orderTimeout = 800 * time.Millisecond
	// maxOrders limits all orders in flight.
	maxOrders = 1024
	// maxQueries limits the queries in flight.
	maxQueries = 64
)

// sendOrder executes an order in the background. An order beyond maxOrders counts as not sent.
func (t *term) sendOrder(ctx context.Context, o cell.Order) {
	select {
	case t.orderSemaphore <- struct{}{}:
	default:
		t.handleReply(o, orders.Reply{Outcome: orders.NotSent, Detail: "too many orders in flight"})
		return
	}
	sent := tick.Now()
	if o.Start != nil {
		t.mu.Lock()
		t.startWindow.Sent(sent)
		t.mu.Unlock()
	}
	t.spawn(ctx, func(ctx context.Context) {
		defer func() { <-t.orderSemaphore }()
		if o.Start == nil {
			t.handleReply(o, t.executeOrder(ctx, o))
			t.settleStop(ctx, o)
			return
		}
		reply := t.executeStart(ctx, o)
		t.updateStartWindow(sent, reply)
		t.handleReply(o, reply)
	})
}

func (t *term) executeOrder(ctx context.Context, o cell.Order) orders.Reply {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !t.opts.HoldsLease(tick.Now()) {
		return orders.Reply{Outcome: orders.NotSent, Detail: "the leadership lease has expired"}
	}
	switch {
	case o.Start != nil:
		return t.sendStart(ctx, o)
	case o.Stop != nil:
		return t.opts.Executors.Stop(ctx, o.Target, *o.Stop)
	}
	return t.opts.Executors.Pace(ctx, o.Target, *o.Pace)
}

func (t *term) handleReply(o cell.Order, r orders.Reply) {
	t.mu.Lock()
	t.cell.HandleReply(tick.Now(), o, r)
	isStartLimited := t.isStartLimited
	h := t.holdSenders[o.Target.ID]
	t.mu.Unlock()
	if o.Start != nil && isStartLimited {
		wake.Send(t.startWake)
	}
	if h != nil {
		// The order may have made the next hold due earlier.
		wake.Send(h.wakeup)
	}
	// A start order that is over makes room in startWindow. An order that was not executed may have to be planned again.
	if r.Outcome != orders.Done || o.Start != nil {
		t.wakePlan()
	}
}

// settleStop queries the executor after a stop if it is open whether a run has started, so that its task does not wait
// for the response to the present hold.
func (t *term) settleStop(ctx context.Context, o cell.Order) {
	if o.Stop == nil {
		return
	}
	t.mu.Lock()
	isOpen := t.cell.HasUnsettledRun(o.Target.ID)
	t.mu.Unlock()
	if isOpen {
		t.query(ctx, o.Target.ID)
	}
}

// query requests the lists of an executor in the background, besides its hold. At most one query to an executor and
// maxQueries in all are in flight; without a query, the next hold returns the lists.
func (t *term) query(ctx context.Context, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, to, ok := t.cell.Query(id)
	if !ok || t.querying[id] || len(t.querying) >= maxQueries {
		return
	}
	t.querying[id] = true
	t.spawn(ctx, func(ctx context.Context) { t.executeQuery(ctx, to, h) })
}

func (t *term) executeQuery(ctx context.Context, to orders.Target, h orders.Hold) {
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	sent := tick.Now()
	lists, reply := t.opts.Executors.Hold(callCtx, to, h)
	t.dropInvalidCheckpoints(to.ID, &lists)
	t.mu.Lock()
	delete(t.querying, to.ID)
	t.listTimes.add(len(lists.Ended), tick.Now().Sub(sent))
	t.cell.HandleQueryReply(tick.Now(), sent, to, h, lists, reply)
	t.mu.Unlock()
	t.wakePlan()
	t.wakeCommit()
}
