package elect

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/tick"
)

// runTerm runs the term until another instance claims leadership, this one resigns, or the context ends.
func (e *Elector) runTerm(ctx context.Context, t Term) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- e.opts.RunTerm(ctx, t) }()
	err := e.heartbeatLoop(ctx, t, ended)
	e.mu.Lock()
	e.isLeader = false
	e.mu.Unlock()
	cancel()
	if err == nil {
		err = <-ended
	}
	e.opts.Logger.Info().Uint64("epoch", t.Epoch).AnErr("cause", err).Msg("term-ended")
	e.announceResignation(t)
}

// heartbeatLoop sends heartbeats until the term ends. It returns the error that ended Options.RunTerm, or nil if that
// is still running.
func (e *Elector) heartbeatLoop(ctx context.Context, t Term, ended <-chan error) error {
	timer := time.NewTimer(max(0, heartbeatInterval-e.lastSentAge(tick.Now())))
	defer timer.Stop()
	yielding := e.yieldSignal()
	for {
		select {
		case err := <-ended:
			if err == nil {
				err = fault.New(fault.CodeInternal, fault.NotRun, "the leader stopped working before its term ended")
			}
			return err
		case <-ctx.Done():
			return nil
		case <-e.resigning:
			return nil
		case <-yielding:
			return nil
		case <-timer.C:
		}
		isLeader, pause := e.sendHeartbeat(ctx, t)
		if !isLeader {
			return nil
		}
		timer.Reset(pause)
	}
}

// lastSentAge returns how long ago the last stored record of the term was sent.
func (e *Elector) lastSentAge(now tick.Time) time.Duration {
	return now.Sub(e.HeartbeatAt())
}

// sendHeartbeat appends one heartbeat. It returns false if another instance has claimed leadership, and the pause
// before the next heartbeat.
func (e *Elector) sendHeartbeat(ctx context.Context, t Term) (bool, time.Duration) {
	sent, timeout := tick.Now(), e.heartbeatTimeout.Timeout()
	err := e.append(ctx, timeout, e.heartbeatRecord(sent, t.Epoch))
	var conflict *logs.ConflictError
	switch {
	case err == nil:
		e.heartbeatTimeout.Observe(tick.Now().Sub(sent))
		return e.extendLease(sent, e.next-1), heartbeatInterval
	case errors.As(err, &conflict):
		return e.isStillLeader(ctx, t, callTimeout), heartbeatRetryDelay
	}
	e.opts.Logger.Warn().Err(err).Uint64("epoch", t.Epoch).Msg("heartbeat-append-failed")
	if tick.Now().Sub(sent) < timeout {
		return true, retryDelay
	}
	// The heartbeat may be stored although its response was lost.
	age := e.lastSentAge(sent)
	isLeader := e.isStillLeader(ctx, t, heartbeatReadTimeout)
	if e.lastSentAge(sent) < age {
		// It is stored, so the store is not slow.
		return isLeader, max(heartbeatRetryDelay, heartbeatInterval-e.lastSentAge(tick.Now()))
	}
	e.heartbeatTimeout.BackOff()
	return isLeader, heartbeatRetryDelay
}

// extendLease extends the leadership lease after a heartbeat was stored at the offset. It returns false if the term was
// yielded meanwhile.
func (e *Elector) extendLease(sent tick.Time, at logs.Offset) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastRecordAt = tick.Now()
	if !e.isLeader {
		return false
	}
	e.leaseUntil = sent.Add(LeaseDuration)
	e.token = max(e.token, tokenOf(at))
	return true
}

// isStillLeader reads the records since the last heartbeat that was answered. They are either heartbeats of this leader
// whose responses were lost, which extend its lease, or the claim of another instance. If the read fails, it returns
// true: the leadership lease limits how long this leader may act.
func (e *Elector) isStillLeader(ctx context.Context, t Term, timeout time.Duration) bool {
	page, err := e.read(ctx, 0, timeout)
	if err != nil {
		e.noteTrimmed(err)
		e.opts.Logger.Warn().Err(err).Msg("election-read-failed")
		return true
	}
	e.apply(tick.Now(), page)
	return e.isNewest(t.Epoch)
}

// isNewest reports whether the newest record is of the epoch.
func (e *Elector) isNewest(epoch uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastRecord != nil && e.lastRecord.Epoch == epoch
}

// announceResignation notifies the other instances after Resign that they may claim without waiting for the election
// timeout.
func (e *Elector) announceResignation(t Term) {
	if !e.isResigning() || !e.isNewest(t.Epoch) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	resignation := e.resignationRecord(tick.Now(), t.Epoch)
	err := e.append(ctx, callTimeout, resignation)
	var conflict *logs.ConflictError
	for errors.As(err, &conflict) && ctx.Err() == nil && e.isStillLeader(ctx, t, callTimeout) {
		// A heartbeat was stored without a response.
		err = e.append(ctx, callTimeout, resignation)
	}
	if err != nil {
		e.opts.Logger.Warn().Err(err).Uint64("epoch", t.Epoch).Msg("resignation-append-failed")
	}
}
