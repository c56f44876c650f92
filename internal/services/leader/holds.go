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
	// token is the fencing token of the last hold.
	token orders.FencingToken
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
		t.noteTerm(t.cell)
		order, to, pause := t.cell.Hold(tick.Now(), h.id)
		isTerminated := to.ID == ""
		isFencing := t.cell.IsFencing(h.id) && pause == 0
		if isTerminated {
			delete(t.holdSenders, h.id)
		}
		t.mu.Unlock()
		if isTerminated {
			t.opts.Executors.CloseConnections(target)
			return
		}
		target = to
		switch {
		case isFencing:
			pause = t.sendFence(ctx, h, to, order)
		case pause == 0:
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
	return t.handleHoldReply(h, holdReply{hold: o, sent: sent, lists: lists, reply: reply})
}

// holdReply is the reply to a hold that was sent at the time sent.
type holdReply struct {
	hold  orders.Hold
	sent  tick.Time
	lists orders.Lists
	reply orders.Reply
}

// handleHoldReply applies the reply and returns the pause before the next hold.
func (t *term) handleHoldReply(h *holdSender, r holdReply) time.Duration {
	t.dropInvalidCheckpoints(h.id, &r.lists)
	t.mu.Lock()
	h.token = r.hold.FencingToken
	t.listTimes.add(len(r.lists.Ended), tick.Now().Sub(r.sent))
	t.cell.HandleHoldReply(tick.Now(), r.sent, h.id, r.hold, r.lists, r.reply)
	hasChanges := t.cell.HasChanges()
	pause := t.cell.RetryPause(h.id)
	t.mu.Unlock()
	if hasChanges {
		t.wakeCommit()
	}
	if r.reply.Outcome == orders.Done {
		t.wakePlan()
		return 0
	}
	return pause
}
