package leader

import (
	"context"
	"slices"
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/state/cell"
	"github.com/ibischute/ibischute/pkg/tick"
)

// maxEvacuationsAge is the age of the last successful read of the operator's topic from which the evacuated domains are
// read again before anything starts.
const maxEvacuationsAge = 2500 * time.Millisecond

// applyEvacuations passes the evacuated domains to the cell if they have changed. It is called before each plan and
// before each start order is sent, so that nothing starts in a domain once the request to evacuate it has been read.
// The caller must hold the mutex.
func (t *term) applyEvacuations(now tick.Time) {
	domains := t.opts.Config.Evacuated()
	if slices.Equal(domains, t.evacuated) {
		return
	}
	t.evacuated = domains
	t.cell.SetEvacuated(now, domains)
}

// knowsEvacuations reports whether tasks may start as far as the evacuated domains are known (see package fresh). If
// the store is down for all, no request can have been stored; if only this instance is cut off from it, the leadership
// lease limits the starts. The caller must hold the mutex.
func (t *term) knowsEvacuations(now tick.Time) bool {
	wasClosed := t.evacuationGate.ClosedSince() != 0
	reads := t.opts.Config.Reads()
	permits := t.evacuationGate.Permits(now, reads, t.opts.IsSoleLeader(now))
	if isClosed := t.evacuationGate.ClosedSince() != 0; isClosed != wasClosed {
		t.opts.Logger.Warn().Uint64("epoch", t.epoch).Bool("known", !isClosed).Dur("age", now.Sub(reads.ConfirmedAt)).
			Msg("evacuations-known")
	}
	return permits
}

// startBlockedBy returns why a start order must not be sent, or an empty string if it may.
func (t *term) startBlockedBy(o cell.Order) string {
	now := tick.Now()
	if !t.opts.HoldsLease(now) {
		return "the leadership lease has expired"
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyEvacuations(now)
	if !t.knowsEvacuations(now) {
		return "the evacuated domains are not known"
	}
	return t.cell.StartBlockedBy(now, o)
}

// sendStart sends a start order unless something blocks it when the order leaves the process.
func (t *term) sendStart(ctx context.Context, o cell.Order) orders.Reply {
	if blockedBy := t.startBlockedBy(o); blockedBy != "" {
		return orders.Reply{Outcome: orders.Withheld, Detail: blockedBy}
	}
	start := *o.Start
	blockedBy := ""
	start.MaySend = func() bool {
		blockedBy = t.startBlockedBy(o)
		return blockedBy == ""
	}
	reply := t.opts.Executors.Start(ctx, o.Target, start)
	if blockedBy != "" && reply.Outcome == orders.NotSent {
		return orders.Reply{Outcome: orders.Withheld, Detail: blockedBy}
	}
	return reply
}

// logEvacuations reports the progress of the evacuations in the log, if it has changed, and in the metrics. Only
// discoverLoop calls it.
func (t *term) logEvacuations(list []cell.EvacuationProgress) {
	t.opts.Meter.Gauge("evacuated_domains", nil, float64(len(list)))
	last := map[string]cell.EvacuationProgress{}
	for _, p := range t.loggedEvacuations {
		last[p.Domain] = p
	}
	for _, p := range list {
		t.setEvacuationGauges(p)
		if p != last[p.Domain] {
			t.opts.Logger.Info().Uint64("epoch", t.epoch).Str("domain", p.Domain).Int("tasks-left", p.Left).
				Int("moved", p.Moved).Msg("evacuation-progress")
		}
		delete(last, p.Domain)
	}
	for domain := range last {
		t.setEvacuationGauges(cell.EvacuationProgress{Domain: domain})
	}
	t.loggedEvacuations = list
}

func (t *term) setEvacuationGauges(p cell.EvacuationProgress) {
	labels := map[string]string{"domain": p.Domain}
	t.opts.Meter.Gauge("evacuation_tasks_left", labels, float64(p.Left))
	t.opts.Meter.Gauge("evacuation_tasks_moved", labels, float64(p.Moved))
}
