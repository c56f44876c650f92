// Package keyed runs requests with an idempotency key at most once.
//
// Each key has a home domain and one owner in that domain. Before the owner dispatches a request, it records the start
// and has a majority of its domain's view record it too. A repeat finds that record, whichever instance receives it and
// whichever instance owns the key by then; it gets the first answer, or an error that the outcome is unknown.
// docs/design/idempotency.md compares the alternatives.
//
// # Usage
//
//	k := keyed.New(options)
//	supervisor.Add(k.Sync())
//	answer, err := k.Do(ctx, keyed.Request{Key: "invoice-17", ...})
package keyed

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/ibischute/ibischute/internal/modules/execio"
	"github.com/ibischute/ibischute/internal/modules/hopio"
	"github.com/ibischute/ibischute/internal/modules/rendez"
	"github.com/ibischute/ibischute/internal/modules/suprv"
	"github.com/ibischute/ibischute/internal/modules/wire"
	"github.com/ibischute/ibischute/internal/services/member"
	"github.com/ibischute/ibischute/internal/services/route"
	"github.com/ibischute/ibischute/internal/state/copies"
	"github.com/ibischute/ibischute/internal/state/intent"
	"github.com/ibischute/ibischute/internal/state/view"
	"github.com/ibischute/ibischute/pkg/bundle"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// maxKeys is the number of stored keys at which this instance rejects new ones. It stores keys of other owners up to
	// twice that number.
	maxKeys = 100_000
	// maxReplayBodyBytes is the largest answer body that is stored for repeats.
	maxReplayBodyBytes = 16 << 10
	// maxHops limits the instances through which a keyed request is forwarded to the owner.
	maxHops = 2
	// recordTimeout bounds the wait for other members to record a start or an outcome.
	recordTimeout = 500 * time.Millisecond
	// maxStoreCalls bounds the concurrent calls that record keys at other members.
	maxStoreCalls = 1024
	retryAfter    = 500 * time.Millisecond
	// maxOwnerAttempts limits how often one keyed request is sent to an owner.
	maxOwnerAttempts = 4
	// ownerRetryInterval is the pause before the owner is looked up again.
	ownerRetryInterval = 120 * time.Millisecond
)

// Membership provides the view, ownership and lease of this instance in its failure domain.
type Membership interface {
	MayAct(now tick.Time, key ident.Key) bool
	LeaseUntil(now tick.Time) tick.Time
	Owner(key ident.Key) (view.Member, bool)
	View() view.View
	Wire() *wire.Member
	IsJoined() bool
	Peers(now tick.Time) []member.Peer
}

// Options holds the settings and dependencies of a Keyed.
type Options struct {
	Self    ident.Instance
	Domain  ident.Domain
	Domains []ident.Domain
	Member  Membership
	Router  *route.Router
	Hop     hopio.Client
	Dial    func(address string) wire.Peer
	Config  func() *bundle.Bundle
	Logger  zerolog.Logger
	Now     func() tick.Time
}

// Request is a request with an idempotency key.
type Request struct {
	route.Request
	Key         string
	Fingerprint string
	Hops        int
}

// Keyed handles requests with idempotency keys, both as the owner of a key and as a forwarder to the owner.
type Keyed struct {
	opts  Options
	homes rendez.Set[ident.Domain]
	calls *suprv.Group

	stopped atomic.Bool

	mu sync.Mutex
	// store holds the recorded state of each key as an Intent.
	store   *intent.Store
	running map[ident.Key]chan struct{}
	copies  *copies.Tracker
	// inForce is the last recorded configuration version; replacedVersions are the earlier ones, kept to detect tenants
	// whose home has moved.
	inForce          *bundle.Bundle
	replacedVersions []replacedVersion
}

// New returns a Keyed without any keys.
func New(o Options) *Keyed {
	return &Keyed{
		opts: o, homes: rendez.New(o.Domains), calls: suprv.NewGroup(maxStoreCalls),
		store: intent.New(maxKeys), running: map[ident.Key]chan struct{}{}, copies: copies.New(o.Self),
	}
}

// Stop makes this instance begin no further requests as an owner. It is called before the keys are handed over.
func (k *Keyed) Stop() { k.stopped.Store(true) }

// Do runs the request at the owner of its key. While the key moves between owners, it retries for a short time.
func (k *Keyed) Do(ctx context.Context, r Request) (*execio.Answer, error) {
	key := ident.IdempotencyKey(r.Tenant, r.Key)
	var last error
	for range maxOwnerAttempts {
		answer, err := k.try(ctx, key, r)
		if err == nil || !route.IsOwnerChanging(err) || ctx.Err() != nil || r.Stream != nil {
			return answer, err
		}
		last = err
		tick.Pause(ctx, ownerRetryInterval)
	}
	return nil, fault.Wrap(last, fault.CodeNoOwner, fault.NotRun, "the owner of the key cannot be reached or may not act").
		WithRetry(retryAfter)
}

func (k *Keyed) try(ctx context.Context, key ident.Key, r Request) (*execio.Answer, error) {
	address, isSelf, err := k.locate(key, r.Tenant)
	if err != nil {
		return nil, err
	}
	if isSelf {
		return k.doAsOwner(ctx, key, r)
	}
	if r.Hops >= maxHops {
		return nil, fault.New(fault.CodeNoOwner, fault.NotRun, "the owner of the key is moving").WithRetry(retryAfter)
	}
	return k.forward(ctx, address, r)
}

// locate returns the address of the key's owner, or of an instance in the key's home domain that can find the owner.
func (k *Keyed) locate(key ident.Key, t ident.Tenant) (address string, isSelf bool, err error) {
	home := k.homeOf(t)
	if home != k.opts.Domain {
		address, ok := k.peerInDomain(home)
		if !ok {
			return "", false, fault.New(fault.CodeNoOwner, fault.NotRun, "the key's home domain "+string(home)+
				" cannot be reached").WithRetry(retryAfter)
		}
		return address, false, nil
	}
	o, ok := k.opts.Member.Owner(key)
	if !ok {
		return "", false, fault.New(fault.CodeNoOwner, fault.NotRun, "the domain has no members").WithRetry(retryAfter)
	}
	return o.Address, o.Name == k.opts.Self, nil
}

func (k *Keyed) peerInDomain(d ident.Domain) (string, bool) {
	best := member.Peer{}
	for _, p := range k.opts.Member.Peers(k.opts.Now()) {
		if p.Domain == d && !p.Draining && p.LastHeartbeatAt.After(best.LastHeartbeatAt) {
			best = p
		}
	}
	return best.Address, best.Address != ""
}

func (k *Keyed) forward(ctx context.Context, address string, r Request) (*execio.Answer, error) {
	m := hopio.Meta{
		ID: r.ID, Service: r.Service, Class: r.Class, Tenant: r.Tenant, Priority: r.Priority, Share: r.Share,
		MaxQueue: r.MaxQueue, DeadlineMS: r.Deadline.Sub(k.opts.Now()).Milliseconds(), Idempotent: r.Idempotent,
		Key: r.Key, Path: r.Path, Hops: r.Hops + 1, Fingerprint: r.Fingerprint, RetryPercent: r.RetryPercent,
	}
	out := r.Request.Request.Request
	out.Body, out.Length = r.Stream, r.Length
	if r.Stream == nil {
		out.Body, out.Length = bytes.NewReader(r.Body), int64(len(r.Body))
	}
	return k.opts.Hop.Forward(ctx, address, hopio.KindKeyed, m, out)
}

// doAsOwner runs the request at this instance, which owns the key.
func (k *Keyed) doAsOwner(ctx context.Context, key ident.Key, r Request) (*execio.Answer, error) {
	now := k.opts.Now()
	if k.stopped.Load() || !k.opts.Member.MayAct(now, key) || !k.isSynced() {
		return nil, fault.New(fault.CodeNoOwner, fault.NotRun, "the owner of the key may not act yet").WithRetry(retryAfter)
	}
	in, done, isNew, err := k.begin(now, key, r)
	if err != nil {
		return nil, err
	}
	if !isNew {
		return k.answerRepeat(ctx, key, in, done)
	}
	existing, err := k.recordAtMajority(ctx, in)
	if err != nil || existing != nil {
		return k.abortUndispatched(ctx, key, existing, err)
	}
	r.NotAfter = k.opts.Member.LeaseUntil(now)
	r.MaySend = func() bool { return k.opts.Member.MayAct(k.opts.Now(), key) }
	answer, err := k.opts.Router.Do(ctx, r.Request)
	if err != nil {
		k.finishFailed(ctx, key, err)
		return nil, err
	}
	answer.Body = &bodyRecorder{body: answer.Body, finish: func(body []byte, isComplete bool) {
		k.finishAnswered(ctx, key, answer, body, isComplete)
	}}
	return answer, nil
}

// begin records the start in the local store and reports true, or returns the existing state of the key. The returned
// channel is closed when the request has ended here; it is nil if the request does not run here.
func (k *Keyed) begin(now tick.Time, key ident.Key, r Request) (*wire.Intent, chan struct{}, bool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, isKnown := k.store.Get(now, key); !isKnown && k.copies.LossRemaining(now) > 0 {
		return nil, nil, false, fault.New(fault.CodeUnknownOutcome, fault.Unknown,
			"the domain lost records of earlier requests; whether this key ran is not known").
			WithRetry(k.copies.LossRemaining(now))
	}
	if _, isKnown := k.store.Get(now, key); !isKnown && k.hasMoved(now, r.Tenant) {
		return nil, nil, false, fault.New(fault.CodeUnknownOutcome, fault.Unknown,
			"the tenant's home has moved; whether this key ran at the former one is not known").WithRetry(k.retention())
	}
	in, isNew, err := k.store.Begin(now, key, r.Fingerprint, k.retention())
	if err != nil {
		return nil, nil, false, err
	}
	if isNew {
		k.running[key] = make(chan struct{})
	}
	return in, k.running[key], isNew, nil
}

func (k *Keyed) retention() time.Duration {
	if b := k.opts.Config(); b != nil {
		return b.KeyRetention
	}
	return time.Minute
}

// answerRepeat answers a request whose key is already recorded. It first waits for the original request if that is
// still running here.
func (k *Keyed) answerRepeat(
	ctx context.Context, key ident.Key, in *wire.Intent, done chan struct{},
) (*execio.Answer, error) {
	if done != nil {
		select {
		case <-done:
		case <-ctx.Done():
			return nil, fault.New(fault.CodeUnknownOutcome, fault.Unknown, "the first request is still running").
				WithRetry(retryAfter)
		}
		k.mu.Lock()
		in, _ = k.store.Get(k.opts.Now(), key)
		k.mu.Unlock()
	}
	return replay(in)
}

// replay converts the recorded state of a key into an answer or an error.
func replay(in *wire.Intent) (*execio.Answer, error) {
	switch in.GetPhase() {
	case wire.IntentPhase_INTENT_PHASE_ANSWERED:
		h := http.Header{}
		for _, f := range in.GetAnswer().GetHeaders() {
			h.Add(f.GetName(), f.GetValue())
		}
		h.Set("Ibischute-Replayed", "true")
		return &execio.Answer{
			Status: int(in.GetAnswer().GetStatus()), Header: h,
			Body: io.NopCloser(bytes.NewReader(in.GetAnswer().GetBody())),
		}, nil
	case wire.IntentPhase_INTENT_PHASE_NOT_RUN:
		return nil, fault.New(fault.CodeNotSent, fault.NotRun, "the first request did not run").WithRetry(retryAfter)
	default:
		return nil, fault.New(fault.CodeUnknownOutcome, fault.Unknown,
			"an earlier request with this key may have run; its answer is not known")
	}
}

// abortUndispatched ends a request that was not dispatched because the other members did not record it or already have
// a state of the key.
func (k *Keyed) abortUndispatched(
	ctx context.Context, key ident.Key, existing *wire.Intent, err error,
) (*execio.Answer, error) {
	if existing != nil {
		k.mu.Lock()
		k.store.Merge(k.opts.Now(), existing, k.retention())
		k.signalDone(key)
		k.mu.Unlock()
		return replay(existing)
	}
	k.finish(ctx, key, wire.IntentPhase_INTENT_PHASE_NOT_RUN, nil)
	return nil, err
}

// signalDone wakes the repeats that wait for the request. The caller must hold k.mu.
func (k *Keyed) signalDone(key ident.Key) {
	if done, ok := k.running[key]; ok {
		close(done)
		delete(k.running, key)
	}
}

func (k *Keyed) finishFailed(ctx context.Context, key ident.Key, err error) {
	phase := wire.IntentPhase_INTENT_PHASE_UNKNOWN
	if fault.IsErrNotRun(err) {
		phase = wire.IntentPhase_INTENT_PHASE_NOT_RUN
	}
	k.finish(ctx, key, phase, nil)
}

func (k *Keyed) finishAnswered(ctx context.Context, key ident.Key, a *execio.Answer, body []byte, isComplete bool) {
	if !isComplete {
		k.finish(ctx, key, wire.IntentPhase_INTENT_PHASE_UNKNOWN, nil)
		return
	}
	recorded := &wire.Answer{Status: int32(a.Status), Body: body}
	for name, values := range a.Header {
		for _, v := range values {
			recorded.Headers = append(recorded.Headers, &wire.Header{Name: name, Value: v})
		}
	}
	k.finish(ctx, key, wire.IntentPhase_INTENT_PHASE_ANSWERED, recorded)
}

// finish records the outcome locally and sends it to the other members, possibly after the answer was returned. Until
// they receive it, their record says only that the request started, and a repeat at one of them gets the reply that
// the outcome is unknown.
func (k *Keyed) finish(ctx context.Context, key ident.Key, phase wire.IntentPhase, answer *wire.Answer) {
	k.mu.Lock()
	in := k.store.Advance(k.opts.Now(), key, phase, answer, k.retention())
	k.signalDone(key)
	k.mu.Unlock()
	if in == nil {
		return
	}
	for _, m := range k.otherMembers() {
		k.calls.Go(context.WithoutCancel(ctx), func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, recordTimeout)
			defer cancel()
			_, _ = k.storeAt(ctx, m, in)
		})
	}
}

// bodyRecorder copies a body of up to maxReplayBodyBytes and calls finish once, at its end or when it is closed.
type bodyRecorder struct {
	body       io.ReadCloser
	buf        bytes.Buffer
	isTooLarge bool
	once       sync.Once
	finish     func(body []byte, isComplete bool)
}

func (b *bodyRecorder) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if b.buf.Len()+n > maxReplayBodyBytes {
		b.isTooLarge = true
	}
	if !b.isTooLarge {
		b.buf.Write(p[:n])
	}
	if err == io.EOF {
		b.once.Do(func() { b.finish(b.buf.Bytes(), !b.isTooLarge) })
	}
	return n, err
}

// Close implements io.Closer.
func (b *bodyRecorder) Close() error {
	b.once.Do(func() { b.finish(nil, false) })
	return b.body.Close()
}
