package leader

import (
	"context"
	"time"

	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/modules/wake"
	"github.com/ibischute/ibischute/internal/state/cell"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// planPauseFactor is the ratio of the pause after a plan to the time that the plan took.
	planPauseFactor = 4
	orderTimeout    = 800 * time.Millisecond
	// slowOrder is the response time of an order above which fewer start orders are sent.
	slowOrder = orderTimeout / 2
	// minOverdue is the shortest time after which the response to a start order counts as overdue. A processor quota may
	// suspend this process or an executor for that long.
	minOverdue = 100 * time.Millisecond
	// maxQueries limits the queries in flight.
	maxQueries = 64
)

// planLoop plans and sends the orders of the cell.
func (t *term) planLoop(ctx context.Context) {
	timer := time.NewTimer(maxPlanWait)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.planWake:
		case <-timer.C:
		}
		started := tick.Now()
		if t.opts.HoldsLease(started) {
			t.plan(ctx)
		}
		pause := planPause(tick.Now().Sub(started))
		t.notePlanPause(pause)
		tick.Pause(ctx, pause)
		timer.Reset(maxPlanWait)
	}
}

// planPause returns the pause after a plan. It grows with the time that the plan took, to leave processor time for
// handling the replies that planning needs. It is bounded, because that time includes any suspension of the process.
func planPause(took time.Duration) time.Duration {
	return min(maxPlanPause, max(minPlanPause, planPauseFactor*took))
}

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
		tick.Pause(ctx, minPlanPause)
	}
}

func (t *term) startRecorded(ctx context.Context) {
	t.mu.Lock()
	now := tick.Now()
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

func (t *term) notePlanPause(pause time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.planTimes.pausing += pause
}

func (t *term) plan(ctx context.Context) {
	called := tick.Now()
	t.mu.Lock()
	now := tick.Now()
	t.applyEvacuations(now)
	room := t.startRoom(now)
	list := t.cell.Plan(now, tick.Wall().UnixMilli(), cell.PlanLimits{
		MaxStarts: room, IsSoleLeader: t.opts.IsSoleLeader(now),
		IsStoreStalled: t.storingSince != 0 && now.Sub(t.storingSince) >= storeStallTimeout,
	})
	t.isStartLimited = countStartOrders(list) >= room
	events := t.cell.Events()
	isFenced := t.cell.IsFenced()
	hasChanges := t.cell.HasChanges()
	hasUnrecordedRuns := t.cell.HasUnrecordedRuns()
	t.planTimes.add(now.Sub(called), tick.Now().Sub(now))
	t.countStarts(events)
	t.mu.Unlock()
	t.logEvents(events)
	if isFenced {
		t.fail(&logs.FencedError{})
	}
	if hasChanges {
		t.wakeCommit()
	}
	if hasUnrecordedRuns {
		wake.Send(t.placementWake)
	}
	for _, o := range list {
		t.sendOrder(ctx, o)
	}
	wake.Send(t.adviceWake)
}

// adviceLoop queries the policy service, one request at a time.
func (t *term) adviceLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.adviceWake:
		}
		t.mu.Lock()
		q, ok := t.cell.NextAdviceRequest(tick.Now())
		t.mu.Unlock()
		if ok {
			t.askAdvisor(ctx, q)
		}
	}
}

func (t *term) askAdvisor(ctx context.Context, q cell.AdviceRequest) {
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	sent := tick.Now()
	a, err := t.opts.Advisor.Advise(ctx, q.Step, q.Executors)
	if err != nil {
		t.opts.Logger.Warn().Err(err).Str("job", q.Step.Job).Msg("advice-request-failed")
	}
	t.mu.Lock()
	t.cell.HandleAdvice(tick.Now(), sent, q, a, err)
	t.mu.Unlock()
	t.wakePlan()
}

func (t *term) logEvents(events []cell.Event) {
	for _, e := range events {
		t.opts.Meter.Count("decisions", map[string]string{"event": e.Name}, 1)
		if w := e.FirstWait; w != nil {
			labels := map[string]string{"kind": string(w.Kind), "size": string(w.Size)}
			t.opts.Meter.Observe("task_wait_seconds", labels, w.Duration)
			t.opts.Meter.Observe("queue_wait_seconds", map[string]string{"queue": string(e.Queue)}, w.Duration)
		}
		l := t.opts.Logger.Info().Uint64("epoch", t.epoch)
		if e.Task.Job != "" {
			l = l.Str("job", e.Task.Job).Uint32("occurrence", e.Task.Occurrence).Uint32("step", e.Task.Step).
				Uint32("task", e.Task.Index)
		}
		if e.Run != 0 {
			l = l.Uint64("run", e.Run)
		}
		if e.Executor != "" {
			l = l.Str("executor", e.Executor)
		}
		if e.Detail != "" {
			l = l.Str("detail", e.Detail)
		}
		l.Msg(e.Name)
	}
}

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
	t.cell.HandleQueryReply(tick.Now(), sent, to, lists, reply)
	t.mu.Unlock()
	t.wakePlan()
	t.wakeCommit()
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
	t.startWindow.Answered(now, sent)
	if r.Outcome != orders.NotSent && r.Outcome != orders.Withheld {
		t.startResponses.Observe(now.Sub(sent))
	}
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
