package elect

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// yieldAfter is the age of the last stored heartbeat from which a leader yields when it is asked. Other instances ask
	// when they have read no heartbeat for that long. It is longer than heartbeatInterval.
	yieldAfter = 800 * time.Millisecond
	// yieldTimeout limits the time for a probe of the store and for a request to yield. Two requests fit into the rest of
	// the election timeout.
	yieldTimeout = 200 * time.Millisecond
	// yieldRetryPause is the shortest time between two requests to yield of this instance.
	yieldRetryPause = 500 * time.Millisecond
	// capableFactor is the ratio of the processor capacities from which an instance takes the lead over from a smaller
	// one. A handover interrupts starts, so a small gain does not justify it.
	capableFactor = 1.5
	// capableAskDelay is how long the log must have been readable, and a leader have led, before an instance with more
	// capacity asks for the lead. capableRetryPause is the shortest time between two such requests of this instance.
	capableAskDelay   = time.Second
	capableRetryPause = 5 * time.Second
	// yieldedClaimDelay is how long an instance that has yielded leaves the claim to others.
	yieldedClaimDelay = electionTimeout
)

// Yield gives up the lead of the epoch if the last stored heartbeat is older than yieldAfter, because other instances
// that read the log then take over, or if the instance that asks has much more processor capacity. It returns true if
// this instance no longer acts as the leader of the epoch. No lease that it grants to an executor begins later: orders
// that are under way have deadlines that were set before.
func (e *Elector) Yield(now tick.Time, epoch uint64, cores float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isLeader || e.ownEpoch != epoch {
		return e.yieldedEpoch != 0 && e.yieldedEpoch == epoch
	}
	age := now.Sub(e.leaseUntil.Add(-LeaseDuration))
	if age <= yieldAfter && !isMuchLarger(cores, e.opts.Cores) {
		return false
	}
	e.isLeader = false
	e.yieldedEpoch, e.noClaimBefore = epoch, now.Add(yieldedClaimDelay)
	close(e.yielding)
	e.opts.Logger.Warn().Uint64("epoch", epoch).Dur("heartbeat-age", age).Float64("cores", e.opts.Cores).
		Float64("asker-cores", cores).Msg("lead-yielded")
	return true
}

// AnswerYield yields as Yield does, and states when leases end.
func (e *Elector) AnswerYield(now tick.Time, epoch uint64, cores float64) *jobpb.YieldResponse {
	if !e.Yield(now, epoch, cores) {
		return &jobpb.YieldResponse{}
	}
	return &jobpb.YieldResponse{Yielded: true, ExecutorLeases: e.leaseMessages(now, epoch)}
}

// isMuchLarger reports whether an instance should take the lead over from one with the processor capacity of the
// leader, which is 0 if it is not stated.
func isMuchLarger(cores, leaderCores float64) bool {
	return leaderCores > 0 && cores >= capableFactor*leaderCores
}

// yieldSignal returns the channel that is closed when the term is yielded.
func (e *Elector) yieldSignal() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.yielding
}

// askAt returns when this instance may ask the leader to yield if no further record arrives, or false if it may not.
func (e *Elector) askAt() (tick.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	isOther := e.lastRecord != nil && !e.lastRecord.Resigned && e.lastRecord.Instance != e.opts.Instance
	if e.opts.AskYield == nil || !isOther || e.isLastUnknown {
		return 0, false
	}
	at := max(e.lastRecordAt, e.readableSince).Add(yieldAfter + e.stagger())
	at = max(at, e.askedAt.Add(yieldRetryPause))
	if isMuchLarger(e.opts.Cores, e.lastRecord.Cores) {
		at = min(at, e.askForCapacityAt())
	}
	return at, true
}

// askForCapacityAt returns when this instance asks a leader with much less processor capacity for the lead. The caller
// must hold the mutex.
func (e *Elector) askForCapacityAt() tick.Time {
	at := max(e.epochReadAt, e.readableSince).Add(capableAskDelay + e.stagger())
	if e.askedAt == 0 {
		return at
	}
	return max(at, e.askedAt.Add(capableRetryPause))
}

// requestYield asks the leader to yield if this instance could claim the lead: the store answers its probe, and there
// is no newer record. It returns true if the leader has yielded.
func (e *Elector) requestYield(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, yieldTimeout)
	defer cancel()
	e.mu.Lock()
	e.askedAt = tick.Now()
	address, epoch := e.lastRecord.Address, e.lastRecord.Epoch
	e.mu.Unlock()
	at := e.next
	if _, err := e.opts.Log.Append(ctx, logs.Election, e.opts.Part, nil, logs.Condition{At: &at}); err != nil {
		e.opts.Logger.Info().Err(err).Uint64("epoch", epoch).Msg("yield-probe-failed")
		return false
	}
	answer, err := e.opts.AskYield(ctx, address, epoch, e.opts.Cores)
	hasYielded := answer.GetYielded()
	e.opts.Logger.Info().AnErr("cause", err).Uint64("epoch", epoch).Bool("yielded", hasYielded).Msg("yield-requested")
	if err != nil || !hasYielded {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.yieldedByOther, e.yieldedAt = epoch, tick.Now()
	e.noteStatement(e.yieldedAt, epoch, answer.ExecutorLeases)
	return true
}

// isYielded reports whether the leader of the newest record has yielded to this instance. The caller must hold the
// mutex.
func (e *Elector) isYielded() bool {
	return e.yieldedByOther != 0 && !e.isLastUnknown && e.lastRecord.Epoch == e.yieldedByOther
}

// stagger returns the delay of this instance's claims and requests to yield, so that instances do not act at once.
func (e *Elector) stagger() time.Duration {
	rank := xxhash.Sum64String(e.opts.Instance) % claimRanks
	return time.Duration(rank)*claimStagger + e.opts.ClaimDelay
}
