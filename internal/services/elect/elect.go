// Package elect elects the lead of a cell through the platform's log.
//
// A claim and each heartbeat is a record that is appended only where the partition ends as the writer has read it, so
// the log has one history of leads. An instance claims after it has read for a while that no heartbeat came. The epoch
// of a lead is above that of every former one, as it follows from the offset of its claim.
//
// A lead may act for Right after it sent the last heartbeat that was stored. Beyond that it waits: either its next
// heartbeat is stored, and nobody else has led meanwhile, or it learns of the claim of another.
//
// # Usage
//
//	e := elect.New(options)
//	go e.Serve(ctx)
//	address, ok := e.Lead()
package elect

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// Right is how long a lead may act after it sent the last heartbeat that was stored.
	Right = 5 * time.Second
	// beatInterval is the time between two heartbeats.
	beatInterval = 500 * time.Millisecond
	// silence is how long no heartbeat may come before an instance claims.
	silence = 1600 * time.Millisecond
	// soleTime is how long after the sending of a stored heartbeat no other instance can have claimed.
	soleTime = 1400 * time.Millisecond
	// outage is how long no read may succeed before the silence counts anew.
	outage = 1500 * time.Millisecond
	// claimStagger spreads the claims of the instances.
	claimStagger = 25 * time.Millisecond
	// claimRanks is the number of places among which the instances are spread.
	claimRanks = 10

	callTimeout = 1200 * time.Millisecond
	beatTimeout = 900 * time.Millisecond
	retryPause  = 150 * time.Millisecond
	maxWait     = time.Second
	// idleWait is how long an instance that may not claim waits for records.
	idleWait = 200 * time.Millisecond
)

// Term is the time in which this instance leads.
type Term struct {
	Epoch uint64
	// SafeAt is when no order of a former lead can still be in force.
	SafeAt tick.Time
}

// Options configure an Elector.
type Options struct {
	Log      logs.Log
	Part     logs.Part
	Instance string
	Address  string
	// Handicap is how much later than the strongest instances this one claims.
	Handicap time.Duration
	// IsEligible reports whether this instance knows enough to lead.
	IsEligible func() bool
	// MaxLease is the longest time for which an executor goes on without a lead.
	MaxLease time.Duration
	// Lead runs while this instance leads; its context ends with the term.
	Lead   func(ctx context.Context, t Term) error
	Logger zerolog.Logger
}

// Elector takes part in the election of one cell.
type Elector struct {
	opts Options

	mu sync.Mutex
	// last is the newest record, and lastAt when it was read.
	last   *jobpb.Lead
	lastAt tick.Time
	leads  bool
	// rightUntil is when this lead's right to act ends.
	rightUntil tick.Time

	// next is the offset after the last record that was read.
	next logs.Offset
	// readAt is when a read last succeeded, steadySince since when reads succeed.
	readAt, steadySince tick.Time
	resigning           chan struct{}
	resignOnce          sync.Once
}

// New returns an Elector.
func New(o Options) *Elector { return &Elector{opts: o, resigning: make(chan struct{})} }

// String names the service in logs.
func (e *Elector) String() string { return "elect" }

// Lead returns the address of the lead, or false if none is known.
func (e *Elector) Lead() (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.last == nil || e.last.Resigned {
		return "", false
	}
	return e.last.Address, true
}

// Leads reports whether this instance leads and may act at now.
func (e *Elector) Leads(now tick.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leads && now.Before(e.rightUntil)
}

// IsSole reports whether this instance leads and no other one can have claimed by now.
func (e *Elector) IsSole(now tick.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leads && now.Before(e.rightUntil.Add(soleTime-Right))
}

// Resign gives the lead up for good. This instance claims no more.
func (e *Elector) Resign() { e.resignOnce.Do(func() { close(e.resigning) }) }

func (e *Elector) isResigning() bool {
	select {
	case <-e.resigning:
		return true
	default:
		return false
	}
}

// Serve follows the election, and leads when a claim succeeds.
func (e *Elector) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		term, won := e.follow(ctx)
		if won {
			e.lead(ctx, term)
		}
	}
	return ctx.Err()
}

// follow reads the records once and claims if there is no lead.
func (e *Elector) follow(ctx context.Context) (Term, bool) {
	page, err := e.read(ctx, e.wait(tick.Now()))
	now := tick.Now()
	if err != nil {
		e.unread(ctx, err)
		return Term{}, false
	}
	if e.steadySince == 0 || now.Sub(e.readAt) > outage {
		e.steadySince = now
	}
	e.readAt = now
	e.apply(now, page)
	if e.next < page.End || now.Before(e.claimAt()) || !e.mayClaim() {
		return Term{}, false
	}
	return e.claim(ctx)
}

func (e *Elector) mayClaim() bool { return !e.isResigning() && e.opts.IsEligible() }

// wait returns how long a read may wait for records: until this instance would claim.
func (e *Elector) wait(now tick.Time) time.Duration {
	if !e.mayClaim() {
		return idleWait
	}
	return min(maxWait, max(0, e.claimAt().Sub(now)))
}

func (e *Elector) read(ctx context.Context, wait time.Duration) (logs.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	return e.opts.Log.Read(ctx, logs.Election, e.opts.Part, e.next, wait)
}

// unread handles a read that failed.
func (e *Elector) unread(ctx context.Context, err error) {
	var trimmed *logs.TrimmedError
	if errors.As(err, &trimmed) {
		e.next = trimmed.First
		e.mu.Lock()
		// Heartbeats may have been missed, so the last one counts as just seen.
		e.lastAt = tick.Now()
		e.mu.Unlock()
		return
	}
	if ctx.Err() == nil {
		e.opts.Logger.Warn().Err(err).Msg("election-unread")
		tick.Pause(ctx, retryPause)
	}
}

func (e *Elector) apply(now tick.Time, page logs.Page) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range page.Records {
		l := &jobpb.Lead{}
		if err := proto.Unmarshal(r.Value, l); err != nil {
			e.opts.Logger.Error().Err(err).Uint64("offset", uint64(r.Offset)).Msg("election-record-unreadable")
			continue
		}
		if e.last == nil || e.last.Epoch != l.Epoch {
			e.opts.Logger.Info().Str("lead", l.Instance).Uint64("epoch", l.Epoch).Msg("lead-seen")
		}
		e.last, e.lastAt = l, now
	}
	e.next = page.Next(e.next)
}

// claimAt returns when this instance may claim if no further record comes.
func (e *Elector) claimAt() tick.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	rank := xxhash.Sum64String(e.opts.Instance) % claimRanks
	stagger := time.Duration(rank)*claimStagger + e.opts.Handicap
	if e.last == nil || e.last.Resigned {
		return max(e.lastAt, e.steadySince).Add(stagger)
	}
	if e.last.Instance == e.opts.Instance {
		// The lead was an earlier process of this instance.
		return e.steadySince
	}
	return max(e.lastAt, e.steadySince).Add(silence + stagger)
}

// claim tries to become the lead.
func (e *Elector) claim(ctx context.Context) (Term, bool) {
	epoch := uint64(e.next) + 1
	sent := tick.Now()
	err := e.append(ctx, callTimeout, &jobpb.Lead{Instance: e.opts.Instance, Address: e.opts.Address, Epoch: epoch})
	if err != nil {
		e.opts.Logger.Info().Err(err).Uint64("epoch", epoch).Msg("claim-lost")
		return Term{}, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	t := Term{Epoch: epoch, SafeAt: e.formerUntil(sent).Add(e.opts.MaxLease)}
	e.leads = true
	e.rightUntil = sent.Add(Right)
	e.last = &jobpb.Lead{Instance: e.opts.Instance, Address: e.opts.Address, Epoch: epoch}
	e.lastAt = sent
	e.opts.Logger.Info().Uint64("epoch", epoch).Dur("safe-in", t.SafeAt.Sub(sent)).Msg("lead-won")
	return t, true
}

// formerUntil returns when the right of the former lead has ended. The mutex is held.
func (e *Elector) formerUntil(now tick.Time) tick.Time {
	switch {
	case e.next == 0:
		return now
	case e.last == nil:
		return now.Add(Right)
	case e.last.Resigned:
		return e.lastAt
	}
	return e.lastAt.Add(Right)
}

// append adds a record where this instance believes the partition to end.
func (e *Elector) append(ctx context.Context, timeout time.Duration, l *jobpb.Lead) error {
	b, err := proto.Marshal(l)
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, fault.NotRun, "encode election record")
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	at := e.next
	_, err = e.opts.Log.Append(ctx, logs.Election, e.opts.Part, []logs.Record{{Value: b}}, logs.Condition{At: &at})
	if err == nil {
		e.next++
	}
	return err
}

// lead runs the term until another instance claims, this one resigns, or the context ends.
func (e *Elector) lead(ctx context.Context, t Term) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- e.opts.Lead(ctx, t) }()
	err := e.beat(ctx, t, ended)
	e.mu.Lock()
	e.leads = false
	e.mu.Unlock()
	cancel()
	if err == nil {
		err = <-ended
	}
	e.opts.Logger.Info().Uint64("epoch", t.Epoch).AnErr("cause", err).Msg("lead-ended")
	e.resign(t)
}

// beat sends heartbeats until the term is over. It returns what ended the lead's work, or nil if that still runs.
func (e *Elector) beat(ctx context.Context, t Term, ended <-chan error) error {
	timer := time.NewTimer(beatInterval)
	defer timer.Stop()
	for {
		select {
		case err := <-ended:
			if err == nil {
				err = fault.New(fault.CodeInternal, fault.NotRun, "the lead's work ended")
			}
			return err
		case <-ctx.Done():
			return nil
		case <-e.resigning:
			return nil
		case <-timer.C:
		}
		if !e.renew(ctx, t) {
			return nil
		}
		timer.Reset(beatInterval)
	}
}

// renew sends one heartbeat. It reports false if another instance has claimed.
func (e *Elector) renew(ctx context.Context, t Term) bool {
	sent := tick.Now()
	err := e.append(ctx, beatTimeout, &jobpb.Lead{Instance: e.opts.Instance, Address: e.opts.Address, Epoch: t.Epoch})
	var conflict *logs.ConflictError
	switch {
	case err == nil:
		e.mu.Lock()
		e.rightUntil = sent.Add(Right)
		e.lastAt = tick.Now()
		e.mu.Unlock()
		return true
	case errors.As(err, &conflict):
		return e.isStillLead(ctx, t)
	}
	e.opts.Logger.Warn().Err(err).Uint64("epoch", t.Epoch).Msg("heartbeat-unstored")
	return true
}

// isStillLead reads the records that a heartbeat met: its own earlier ones, whose answers were lost, or another claim.
func (e *Elector) isStillLead(ctx context.Context, t Term) bool {
	page, err := e.read(ctx, 0)
	if err != nil {
		e.unread(ctx, err)
		return true
	}
	e.apply(tick.Now(), page)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.last != nil && e.last.Epoch == t.Epoch
}

// resign tells the others that they need not wait, if the lead ends in order.
func (e *Elector) resign(t Term) {
	if !e.isResigning() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	err := e.append(ctx, callTimeout, &jobpb.Lead{Instance: e.opts.Instance, Epoch: t.Epoch, Resigned: true})
	if err != nil {
		e.opts.Logger.Warn().Err(err).Uint64("epoch", t.Epoch).Msg("resign-unstored")
	}
}
