package leader

import (
	"context"
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// fenceHoldInterval is the time without a response after which a hold that fences an executor is repeated. It
	// requests lists and changes nothing else, so the repeats need not wait for each other.
	fenceHoldInterval = 150 * time.Millisecond
	// maxFenceHolds is the number of these holds in flight, not more than the connections to an executor.
	maxFenceHolds = 3
)

// sendFence sends a hold with a higher fencing token to an executor that may have restarted, and repeats it until there
// is a response. It returns the pause before the next hold.
func (t *term) sendFence(ctx context.Context, h *holdSender, to orders.Target, o orders.Hold) time.Duration {
	if !t.opts.HoldsLease(tick.Now()) {
		return retryDelay
	}
	if h.token != o.FencingToken {
		// Calls for the former process occupy the connections.
		t.opts.Executors.CloseConnections(to)
	}
	return t.handleHoldReply(h, t.repeatHold(ctx, to, o))
}

// repeatHold sends a hold until there is a response, and returns that, or the reply to the last call.
func (t *term) repeatHold(ctx context.Context, to orders.Target, o orders.Hold) holdReply {
	ctx, cancel := context.WithTimeout(ctx, holdTimeoutMargin+(maxFenceHolds-1)*fenceHoldInterval)
	defer cancel()
	replies := make(chan holdReply, maxFenceHolds)
	repeat := time.NewTicker(fenceHoldInterval)
	defer repeat.Stop()
	t.callHold(ctx, to, o, replies)
	last := holdReply{}
	for sent, pending := 1, 1; pending > 0; {
		select {
		case r := <-replies:
			pending--
			if isResponse(last.reply) {
				continue
			}
			last = r
			if isResponse(r.reply) {
				cancel()
			}
		case <-repeat.C:
			if sent < maxFenceHolds && ctx.Err() == nil {
				t.callHold(ctx, to, o, replies)
				sent, pending = sent+1, pending+1
			}
		}
	}
	return last
}

// callHold sends a hold in the background.
func (t *term) callHold(ctx context.Context, to orders.Target, o orders.Hold, replies chan<- holdReply) {
	t.spawn(ctx, func(ctx context.Context) {
		sent := tick.Now()
		lists, reply := t.opts.Executors.Hold(ctx, to, o)
		replies <- holdReply{hold: o, sent: sent, lists: lists, reply: reply}
	})
}

// isResponse reports whether the executor, or another one at its address, has answered.
func isResponse(r orders.Reply) bool {
	return r.Outcome != orders.NoResponse && r.Outcome != orders.NotSent
}
