package elect

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/tick"
)

// attempt is an append whose outcome is unknown. A record can be stored at its offset only once.
type attempt struct {
	at    logs.Offset
	epoch uint64
	// sentAt is when a record of the epoch was first sent for the offset.
	sentAt tick.Time
}

// claimed is a claim of this instance that is stored.
type claimed struct {
	epoch  uint64
	sentAt tick.Time
	// previousEpoch and recordedSince are those of the record before the claim; 0 if it is unknown.
	previousEpoch, recordedSince uint64
	// previousReadAt is when the record before the claim was read.
	previousReadAt tick.Time
}

// noteAttempt notes that a record is sent for the offset.
func (e *Elector) noteAttempt(now tick.Time, at logs.Offset, epoch uint64) {
	if a := e.attempt; a != nil && a.at == at && a.epoch == epoch {
		return
	}
	e.attempt = &attempt{at: at, epoch: epoch, sentAt: now}
}

// isAttempted reports whether the record at the offset is the one that this process sent for it.
func (e *Elector) isAttempted(at logs.Offset, l *jobpb.Lead) bool {
	a := e.attempt
	return a != nil && a.at == at && a.epoch == l.Epoch && l.Process == e.process && !l.Resigned
}

// recognizeClaim notes that the record of a new epoch was read, and whether it is the claim of this process whose
// response was lost. The caller must hold the mutex and not have replaced lastRecord yet.
func (e *Elector) recognizeClaim(isOwn bool) {
	e.recognized = nil
	if isOwn {
		e.recognized = e.claimed(e.attempt.epoch, e.attempt.sentAt)
	}
}

// claimAt returns when this instance may claim leadership if no further record arrives.
func (e *Elector) claimAt() tick.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lastRecord == nil || e.lastRecord.Resigned {
		return max(e.lastRecordAt, e.readableSince).Add(e.stagger())
	}
	if e.lastRecord.Instance == e.opts.Instance {
		// The record is of an earlier process or term of this instance.
		return max(e.readableSince, e.noClaimBefore)
	}
	if e.isYielded() {
		return e.yieldedAt
	}
	return max(e.lastRecordAt, e.readableSince).Add(electionTimeout + e.stagger())
}

// claimEpoch returns the epoch of a claim that is stored at the offset.
func claimEpoch(at logs.Offset) uint64 { return uint64(at) + 1 }

// claim tries to become the leader.
func (e *Elector) claim(ctx context.Context) (Term, bool) {
	epoch := claimEpoch(e.next)
	sent, timeout := tick.Now(), e.claimTimeout()
	e.continueRecords(epoch)
	claim, formerLeasesUntil := e.claimRecord(sent, epoch)
	err := e.append(ctx, timeout, claim)
	if err != nil {
		e.opts.Logger.Info().Err(err).Uint64("epoch", epoch).Msg("claim-failed")
		if tick.Now().Sub(sent) >= timeout {
			// The claim may be stored although its response was lost. The next read tells.
			e.unansweredClaims++
		}
		return Term{}, false
	}
	e.mu.Lock()
	c := e.claimed(epoch, sent)
	e.earlierLeasesUntil = formerLeasesUntil
	e.lastRecord, e.lastRecordAt, e.isLastUnknown = claim, sent, false
	e.mu.Unlock()
	return e.beginTerm(c), true
}

// claimTimeout returns the timeout of the next claim. It doubles with each claim without a response, as the store may
// be slow.
func (e *Elector) claimTimeout() time.Duration {
	timeout := minHeartbeatTimeout
	for range e.unansweredClaims {
		timeout = min(2*timeout, callTimeout)
	}
	return timeout
}

// beginTerm makes this instance the leader after its claim is stored.
func (e *Elector) beginTerm(c *claimed) Term {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recognized, e.unansweredClaims = nil, 0
	e.isLeader = true
	e.leaseUntil = c.sentAt.Add(LeaseDuration)
	e.ownEpoch, e.yielding = c.epoch, make(chan struct{})
	e.token = orders.FencingToken(c.epoch)
	t := Term{
		Epoch: c.epoch, PreviousEpoch: c.previousEpoch, RecordedSince: c.recordedSince,
		ExecutorLeasesExpireAt: e.earlierLeasesUntil, StatedLeaseEnds: e.statedBy(c.previousEpoch),
	}
	now := tick.Now()
	e.opts.Logger.Info().Uint64("epoch", t.Epoch).Uint64("previous-epoch", t.PreviousEpoch).
		Dur("previous-record-age", now.Sub(c.previousReadAt)).
		Dur("former-leases-expire-in", t.ExecutorLeasesExpireAt.Sub(now)).
		Int("stated-lease-ends", len(t.StatedLeaseEnds)).Msg("election-won")
	return t
}

// claimRecord returns the claim of the epoch that is sent now, and when the executor leases of all leaders before it
// have expired.
func (e *Elector) claimRecord(now tick.Time, epoch uint64) (*jobpb.Lead, tick.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	until := e.executorLeasesUntil(now)
	return e.record(epoch, until.Sub(now)), until
}

// heartbeatRecord returns the heartbeat of the epoch that is sent now.
func (e *Elector) heartbeatRecord(now tick.Time, epoch uint64) *jobpb.Lead {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.record(epoch, e.earlierLeasesUntil.Sub(now))
}

// resignationRecord returns the record that ends the term of the epoch, sent now. The leases that this instance has
// granted count from its last heartbeat.
func (e *Elector) resignationRecord(now tick.Time, epoch uint64) *jobpb.Lead {
	l := e.heartbeatRecord(now, epoch)
	l.Address, l.Resigned = "", true
	left := e.HeartbeatAt().Add(e.opts.MaxExecutorLease).Sub(now)
	// 0 would mean that it is not stated.
	l.ExecutorLeaseMs = max(1, millisUp(left))
	l.ExecutorLeases = e.leaseMessages(now, epoch)
	return l
}

// record returns a record that this instance leads with the epoch, while the executor leases of the leaders before last
// for the given time.
func (e *Elector) record(epoch uint64, formerLeases time.Duration) *jobpb.Lead {
	return &jobpb.Lead{
		Instance: e.opts.Instance, Address: e.opts.Address, Epoch: epoch, Cores: e.opts.Cores, Process: e.process,
		RecordedSince: e.recordedSince, ExecutorLeaseMs: millisUp(e.opts.MaxExecutorLease),
		FormerLeasesMs: millisUp(formerLeases),
	}
}

// isOfFormerProcess reports whether the record is of a process that has ended, because this one has bound its address.
func (e *Elector) isOfFormerProcess(l *jobpb.Lead) bool {
	isOwnAddress := l.Instance == e.opts.Instance && l.Address == e.opts.Address
	return isOwnAddress && l.Process != 0 && l.Process != e.process
}

// claimed returns the claim of the epoch that follows the newest record. The caller must hold the mutex.
func (e *Elector) claimed(epoch uint64, sentAt tick.Time) *claimed {
	c := &claimed{epoch: epoch, sentAt: sentAt, previousReadAt: e.lastRecordAt}
	if e.lastRecord != nil && !e.isLastUnknown {
		c.previousEpoch, c.recordedSince = e.lastRecord.Epoch, e.lastRecord.RecordedSince
	}
	return c
}

// continueRecords sets since when all leaders up to this one, which claims the epoch, store term records. A leader of a
// version that does not state it may not have done so, so the series starts anew after it.
func (e *Elector) continueRecords(epoch uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordedSince = e.claimed(epoch, 0).recordedSince
	if e.recordedSince == 0 {
		e.recordedSince = epoch
	}
}

// append adds a record if the partition still ends at the offset that this instance has read up to.
func (e *Elector) append(ctx context.Context, timeout time.Duration, l *jobpb.Lead) error {
	b, err := proto.Marshal(l)
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, fault.NotRun, "encode election record")
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	at := e.next
	e.noteAttempt(tick.Now(), at, l.Epoch)
	_, err = e.opts.Log.Append(ctx, logs.Election, e.opts.Part, []logs.Record{{Value: b}}, logs.Condition{At: &at})
	if err == nil {
		e.next++
		e.attempt = nil
	}
	return err
}
