package elect

import (
	"time"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/state/expiry"
	"github.com/ibischute/ibischute/pkg/tick"
)

// HeartbeatAt returns when the last heartbeat of this instance that is known to be stored was sent. No lease that the
// leader grants to an executor may last longer than Options.MaxExecutorLease from then on, as the next leader counts
// from the record.
func (e *Elector) HeartbeatAt() tick.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaseUntil.Add(-LeaseDuration)
}

// executorLeasesUntil returns when the executor leases that were granted by the leaders up to that of the newest record
// have expired. The caller must hold the mutex.
func (e *Elector) executorLeasesUntil(now tick.Time) tick.Time {
	if e.lastRecord == nil && !e.isLastUnknown && e.next == 0 {
		// There was no leader yet.
		return now
	}
	if e.lastRecord == nil || e.isLastUnknown {
		// The last record is no longer retained or is unreadable.
		return max(e.earlierLeasesUntil, now.Add(LeaseDuration+e.opts.MaxExecutorLease))
	}
	until := e.grantedUntil(e.lastRecord)
	if e.isOfFormerProcess(e.lastRecord) {
		until = min(until, e.startedAt.Add(e.opts.MaxExecutorLease))
	}
	return max(e.earlierLeasesUntil, until)
}

// grantedUntil returns when the executor leases have expired that the writer of the newest record has granted. The
// caller must hold the mutex.
func (e *Elector) grantedUntil(l *jobpb.Lead) tick.Time {
	switch {
	case l.ExecutorLeaseMs != 0:
		return e.lastRecordAt.Add(millis(l.ExecutorLeaseMs))
	case l.Resigned:
		return e.lastRecordAt.Add(e.opts.MaxExecutorLease)
	case e.isYielded():
		return e.yieldedAt.Add(e.opts.MaxExecutorLease)
	}
	// A leader of a version that does not state it grants whole leases until its leadership lease ends.
	return e.lastRecordAt.Add(LeaseDuration + e.opts.MaxExecutorLease)
}

// noteFormerLeases applies what a record that was read at now states about the executor leases of the leaders before
// its writer. An instance that has not followed these leaders itself can only count from when it reads their records.
// The caller must hold the mutex.
func (e *Elector) noteFormerLeases(now tick.Time, l *jobpb.Lead) {
	if l.ExecutorLeaseMs != 0 {
		e.earlierLeasesUntil = min(e.earlierLeasesUntil, now.Add(millis(l.FormerLeasesMs)))
	}
}

// leaseMessages states when the leases of each executor will have expired. The term of the epoch must have been yielded
// or have ended, as later orders would be missing otherwise.
func (e *Elector) leaseMessages(now tick.Time, epoch uint64) []*jobpb.ExecutorLease {
	if e.opts.LeaseEnds == nil {
		return nil
	}
	return e.opts.LeaseEnds(epoch).Messages(now)
}

// noteStatement records what the leader of the epoch has stated at the end of its term. The caller must hold the mutex.
func (e *Elector) noteStatement(now tick.Time, epoch uint64, list []*jobpb.ExecutorLease) {
	e.statedEpoch, e.statedLeaseEnds = epoch, expiry.Read(now, list)
}

// statedBy returns what the leader of the epoch has stated at the end of its term, or nil. The caller must hold the
// mutex.
func (e *Elector) statedBy(epoch uint64) expiry.Times {
	if epoch == 0 || epoch != e.statedEpoch {
		return nil
	}
	return e.statedLeaseEnds
}

func millis(ms uint64) time.Duration { return time.Duration(ms) * time.Millisecond }

// millisUp returns the duration in milliseconds, rounded up; 0 if it is negative.
func millisUp(d time.Duration) uint64 {
	return uint64(max(0, d+time.Millisecond-1) / time.Millisecond)
}
