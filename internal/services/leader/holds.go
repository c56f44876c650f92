package leader

import (
	"context"
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/modules/wake"
	"github.com/ibischute/ibischute/pkg/tick"
)

// holdTimeoutMargin is added to the wait time of a hold for the timeout of the call.
const holdTimeoutMargin = 600 * time.Millisecond

// holdSender sends holds to one executor, which renew its lease and return its lists of runs.
type holdSender struct {
	id     string
	wakeup chan struct{}
}

// startHoldSenders starts a holdSender for each executor that has none.
func (t *term) startHoldSenders(ctx context.Context, ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		if _, ok := t.holdSenders[id]; ok {
			continue
		}
		h := &holdSender{id: id, wakeup: make(chan struct{}, 1)}
		t.holdSenders[id] = h
		t.spawn(ctx, func(ctx context.Context) { t.holdLoop(ctx, h) })
	}
}

func (t *term) holdLoop(ctx context.Context, h *holdSender) {
	var target orders.Target
	for ctx.Err() == nil {
		t.mu.Lock()
		t.cell.NoteHeartbeat(t.opts.HeartbeatAt())
		order, to, pause := t.cell.Hold(tick.Now(), h.id)
		isTerminated := to.ID == ""
		if isTerminated {
			delete(t.holdSenders, h.id)
		}
		t.mu.Unlock()
		if isTerminated {
			t.opts.Executors.CloseConnections(target)
			return
		}
		target = to
		if pause == 0 {
			pause = t.sendHold(ctx, h, to, order)
		}
		wake.Wait(ctx, h.wakeup, pause)
	}
}

// sendHold sends one hold and returns the pause before the next.
func (t *term) sendHold(ctx context.Context, h *holdSender, to orders.Target, o orders.Hold) time.Duration {
	if !t.opts.HoldsLease(tick.Now()) {
		return retryDelay
	}
	ctx, cancel := context.WithTimeout(ctx, o.Wait+holdTimeoutMargin)
	defer cancel()
	sent := tick.Now()
	lists, reply := t.opts.Executors.Hold(ctx, to, o)
	t.dropInvalidCheckpoints(h.id, &lists)
	t.mu.Lock()
	t.listTimes.add(len(lists.Ended), tick.Now().Sub(sent))
	t.cell.HandleHoldReply(tick.Now(), sent, h.id, o, lists, reply)
	hasChanges := t.cell.HasChanges()
	pause := t.cell.RetryPause(h.id)
	t.mu.Unlock()
	if hasChanges {
		t.wakeCommit()
	}
	if reply.Outcome == orders.Done {
		t.wakePlan()
		return 0
	}
	return pause
}
