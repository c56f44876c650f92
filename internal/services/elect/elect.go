// Package elect elects the leader of a cell through the platform's log.
//
// Claims and heartbeats are records that are appended only if the partition still ends where the writer has read it to
// end, so the log holds a single history of leaders. An instance claims leadership if it has read no heartbeat within
// the election timeout. The epoch of a leader derives from the offset of its claim, so it is higher than the epoch of
// every former leader.
//
// The leases that a leader grants to executors end within Options.MaxExecutorLease of the sending of its last stored
// heartbeat, so the next leader knows from the log when they have expired. Records also state until when those of
// earlier leaders may last.
//
// The leadership lease runs for LeaseDuration from the sending of the last heartbeat that was stored. When it expires,
// the leader suspends its work. It resumes once its next heartbeat is stored, which proves that no other instance has
// led in between, or ends its term if it reads the claim of another instance.
//
// # Usage
//
//	e := elect.New(options)
//	go e.Serve(ctx)
//	address, ok := e.LeaderAddress()
package elect

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/state/expiry"
	"github.com/ibischute/ibischute/internal/state/rtrip"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// LeaseDuration is how long a leader may act after it sent the last heartbeat that was stored.
	LeaseDuration = 5 * time.Second
	// heartbeatInterval is the time between two heartbeats.
	heartbeatInterval = 500 * time.Millisecond
	// electionTimeout is the time without a heartbeat after which an instance claims leadership.
	electionTimeout = 1600 * time.Millisecond
	// soleLeaderDuration is how long after the sending of a stored heartbeat no other instance can have claimed
	// leadership. It is shorter than electionTimeout.
	soleLeaderDuration = 1400 * time.Millisecond
	// maxReadGap is the time between two successful reads above which the election timeout starts anew.
	maxReadGap = 1500 * time.Millisecond
	// claimStagger is the delay per rank that keeps instances from claiming at the same time.
	claimStagger = 25 * time.Millisecond
	// claimRanks is the number of ranks. The hash of its name gives an instance its rank.
	claimRanks = 10

	callTimeout            = 1200 * time.Millisecond
	heartbeatAppendTimeout = 900 * time.Millisecond
	// minHeartbeatTimeout is the shortest timeout of a heartbeat, so that one that is lost with its connection is
	// repeated before another instance asks for the lead. heartbeatRetryDelay is the pause before that.
	minHeartbeatTimeout = 200 * time.Millisecond
	heartbeatRetryDelay = 20 * time.Millisecond
	// heartbeatReadTimeout is the timeout of the read after a heartbeat without a response, which must leave time to
	// repeat the heartbeat before another instance asks for the lead.
	heartbeatReadTimeout = 50 * time.Millisecond
	retryDelay           = 150 * time.Millisecond
	maxReadWait          = time.Second
	// ineligibleReadWait is how long a read waits for records on an instance that may not claim.
	ineligibleReadWait = 200 * time.Millisecond
)

// Term is a period in which this instance is the leader.
type Term struct {
	Epoch uint64
	// PreviousEpoch is the epoch of the leader before in the election log; 0 if there was none or it is unknown.
	PreviousEpoch uint64
	// RecordedSince is the lowest epoch from which on every leader, up to that of PreviousEpoch, stores a term record
	// before it orders a start; 0 if that is known of none.
	RecordedSince uint64
	// ExecutorLeasesExpireAt is when all leases that former leaders have granted to executors have expired.
	ExecutorLeasesExpireAt tick.Time
	// StatedLeaseEnds is by when the leases of each executor will have expired, if the leader before has stated it at the
	// end of its term. For an executor that it lacks, ExecutorLeasesExpireAt holds.
	StatedLeaseEnds expiry.Times
}

// Options configure an Elector.
type Options struct {
	Log      logs.Log
	Part     logs.Part
	Instance string
	Address  string
	// Cores is the processor capacity that this instance is allotted.
	Cores float64
	// ClaimDelay delays the claims of this instance, so that instances with more processor capacity claim first.
	ClaimDelay time.Duration
	// IsEligible reports whether this instance has the data that a leader needs.
	IsEligible func() bool
	// MaxExecutorLease is the longest time for which an executor keeps running tasks without a leader. It counts from
	// HeartbeatAt of the leader that granted the lease.
	MaxExecutorLease time.Duration
	// AskYield asks the instance at the address to give up the lead of the epoch, given the processor capacity of this
	// one. The response tells whether that instance no longer acts as its leader, and when leases end if so. If it is nil,
	// this instance waits for the election timeout.
	AskYield func(ctx context.Context, address string, epoch uint64, cores float64) (*jobpb.YieldResponse, error)
	// LeaseEnds returns by when the leases will have expired that the leaders up to that of the epoch, a term of this
	// instance, have granted. It is called once the term has been yielded or has ended. It is nil, or returns nil, if that
	// is unknown.
	LeaseEnds func(epoch uint64) expiry.Times
	// RunTerm runs while this instance is the leader. Its context ends with the term.
	RunTerm func(ctx context.Context, t Term) error
	Logger  zerolog.Logger
}

// Elector takes part in the election of one cell.
type Elector struct {
	opts Options

	mu sync.Mutex
	// lastRecord is the newest record and lastRecordAt the time it was read.
	lastRecord   *jobpb.Lead
	lastRecordAt tick.Time
	// epochReadAt is when the first record of the epoch of lastRecord was read.
	epochReadAt tick.Time
	// earlierLeasesUntil is when the executor leases granted by the leaders before that of lastRecord have expired.
	earlierLeasesUntil tick.Time
	// isLastUnknown is true if newer records than lastRecord were unreadable or are no longer retained.
	isLastUnknown bool
	isLeader      bool
	// leaseUntil is when the leadership lease of this instance expires.
	leaseUntil tick.Time
	// ownEpoch is the epoch of the last term of this instance, and yielding is closed when that is yielded. yieldedEpoch
	// is the epoch of the last term that this instance has yielded; it claims nothing before noClaimBefore.
	ownEpoch, yieldedEpoch uint64
	yielding               chan struct{}
	noClaimBefore          tick.Time
	// token is the highest fencing token of the term of ownEpoch.
	token orders.FencingToken
	// yieldedByOther is the last epoch that another instance has yielded to this one, at yieldedAt. askedAt is when this
	// instance last asked.
	yieldedByOther     uint64
	yieldedAt, askedAt tick.Time
	// statedLeaseEnds is what the leader of statedEpoch has stated at the end of its term.
	statedEpoch     uint64
	statedLeaseEnds expiry.Times

	// next is the offset after the last record read. Only Serve uses next, lastReadAt and readableSince.
	next logs.Offset
	// lastReadAt is when a read last succeeded, and readableSince the start of the current series of successful reads.
	lastReadAt, readableSince tick.Time
	// heartbeatTimeout is the timeout of a heartbeat. Only Serve uses it.
	heartbeatTimeout *rtrip.Estimator
	// unansweredClaims counts the claims without a response since the last term of this instance.
	unansweredClaims int
	// attempt is the last append of this instance as long as its outcome is unknown. Only Serve uses it.
	attempt *attempt
	// recognized is the term that begins with a claim of this instance that was read in the log and is the newest record,
	// if its append got no answer. Only Serve uses it.
	recognized *claimed
	// recordedSince is what the records of this instance state. Only Serve uses it.
	recordedSince uint64
	// startedAt is when Serve was first called.
	startedAt tick.Time
	// process identifies this process in its records.
	process    uint64
	resigning  chan struct{}
	resignOnce sync.Once
}

// New returns an Elector.
func New(o Options) *Elector {
	return &Elector{
		opts: o, heartbeatTimeout: rtrip.New(minHeartbeatTimeout, heartbeatAppendTimeout), resigning: make(chan struct{}),
		process: rand.Uint64(),
	}
}

// String names the service in logs.
func (e *Elector) String() string { return "elect" }

// LeaderAddress returns the address of the leader, or false if none is known.
func (e *Elector) LeaderAddress() (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lastRecord == nil || e.lastRecord.Resigned {
		return "", false
	}
	return e.lastRecord.Address, true
}

// IsAsCapable reports whether this instance has at least the processor capacity of the leader. If it has less, others
// claim before it.
func (e *Elector) IsAsCapable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastRecord == nil || e.opts.Cores >= e.lastRecord.Cores
}

// IsLeader reports whether this instance is the leader and its lease has not expired at now.
func (e *Elector) IsLeader(now tick.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isLeader && now.Before(e.leaseUntil)
}

// IsSoleLeader reports whether this instance is the leader and no other instance can have claimed leadership by now.
func (e *Elector) IsSoleLeader(now tick.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isLeader && now.Before(e.leaseUntil.Add(soleLeaderDuration-LeaseDuration))
}

// Resign ends the leadership of this instance permanently. It will not claim again.
func (e *Elector) Resign() { e.resignOnce.Do(func() { close(e.resigning) }) }

func (e *Elector) isResigning() bool {
	select {
	case <-e.resigning:
		return true
	default:
		return false
	}
}

// Serve follows the election and runs a term whenever a claim succeeds. It must not be called before this process has
// bound the address of the instance, which proves that former processes of the instance have ended.
func (e *Elector) Serve(ctx context.Context) error {
	if e.startedAt == 0 {
		e.startedAt = tick.Now()
	}
	for ctx.Err() == nil {
		term, won := e.follow(ctx)
		if won {
			e.runTerm(ctx, term)
		}
	}
	return ctx.Err()
}

// follow reads the records once and claims leadership if there is no leader.
func (e *Elector) follow(ctx context.Context) (Term, bool) {
	page, err := e.read(ctx, e.readWait(tick.Now()), callTimeout)
	now := tick.Now()
	if err != nil {
		e.handleReadError(ctx, err)
		return Term{}, false
	}
	if e.readableSince == 0 || now.Sub(e.lastReadAt) > maxReadGap {
		e.readableSince = now
	}
	e.lastReadAt = now
	e.apply(now, page)
	if e.next < page.End {
		return Term{}, false
	}
	if e.recognized != nil {
		return e.beginTerm(e.recognized), true
	}
	if !e.mayClaim() {
		return Term{}, false
	}
	if askAt, ok := e.askAt(); ok && !now.Before(askAt) && now.Before(e.claimAt()) {
		e.requestYield(ctx)
		now = tick.Now()
	}
	if now.Before(e.claimAt()) {
		return Term{}, false
	}
	return e.claim(ctx)
}

func (e *Elector) mayClaim() bool { return !e.isResigning() && e.opts.IsEligible() }

// readWait returns how long a read may wait for records, at most until this instance would claim.
func (e *Elector) readWait(now tick.Time) time.Duration {
	if !e.mayClaim() {
		return ineligibleReadWait
	}
	next := e.claimAt()
	if askAt, ok := e.askAt(); ok {
		next = min(next, askAt)
	}
	return min(maxReadWait, max(0, next.Sub(now)))
}

// read reads the records from next on. The store waits for one for the time wait and has the timeout to answer.
func (e *Elector) read(ctx context.Context, wait, timeout time.Duration) (logs.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+timeout)
	defer cancel()
	return e.opts.Log.Read(ctx, logs.Election, e.opts.Part, e.next, wait)
}

// handleReadError skips records that are no longer retained and waits after any other failure.
func (e *Elector) handleReadError(ctx context.Context, err error) {
	if e.noteTrimmed(err) {
		return
	}
	if ctx.Err() == nil {
		e.opts.Logger.Warn().Err(err).Msg("election-read-failed")
		tick.Pause(ctx, retryDelay)
	}
}

// noteTrimmed skips records that are no longer retained. It returns false if the read failed for another reason.
func (e *Elector) noteTrimmed(err error) bool {
	var trimmed *logs.TrimmedError
	if !errors.As(err, &trimmed) {
		return false
	}
	e.next, e.recognized = trimmed.First, nil
	e.mu.Lock()
	defer e.mu.Unlock()
	// The missing records may include heartbeats, so the election timeout starts anew.
	e.lastRecordAt = tick.Now()
	e.isLastUnknown = true
	// They may also include other leaders.
	e.earlierLeasesUntil = max(e.earlierLeasesUntil, tick.Now().Add(LeaseDuration+e.opts.MaxExecutorLease))
	return true
}

func (e *Elector) apply(now tick.Time, page logs.Page) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range page.Records {
		l := &jobpb.Lead{}
		if err := proto.Unmarshal(r.Value, l); err != nil {
			e.opts.Logger.Error().Err(err).Uint64("offset", uint64(r.Offset)).Msg("election-record-unreadable")
			// It may be the claim of another instance.
			e.isLastUnknown, e.recognized = true, nil
			continue
		}
		if e.isLate(r.Offset, l) {
			e.opts.Logger.Info().Str("leader", l.Instance).Uint64("epoch", l.Epoch).Msg("late-election-record")
			continue
		}
		isOwn := e.isAttempted(r.Offset, l)
		if e.lastRecord == nil || e.lastRecord.Epoch != l.Epoch {
			e.recognizeClaim(isOwn)
			e.earlierLeasesUntil = e.executorLeasesUntil(now)
			e.epochReadAt = now
			e.opts.Logger.Info().Str("leader", l.Instance).Uint64("epoch", l.Epoch).Msg("leader-changed")
		}
		e.noteFormerLeases(now, l)
		if l.Resigned {
			e.noteStatement(now, l.Epoch, l.ExecutorLeases)
		}
		if isOwn && e.isLeader {
			e.leaseUntil = max(e.leaseUntil, e.attempt.sentAt.Add(LeaseDuration))
			e.token = max(e.token, tokenOf(r.Offset))
		}
		e.lastRecord, e.lastRecordAt, e.isLastUnknown = l, now, false
	}
	e.next = page.Next(e.next)
}

// isLate reports whether the record is of a leader before that of the newest record, and not a claim. It was stored
// behind the claim of the later leader and does not end its term. A claim is recognized by its epoch, which its offset
// determines, also after records with a wrong epoch. The caller must hold the mutex.
func (e *Elector) isLate(at logs.Offset, l *jobpb.Lead) bool {
	return e.lastRecord != nil && l.Epoch < e.lastRecord.Epoch && l.Epoch != claimEpoch(at)
}
