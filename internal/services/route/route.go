// Package route selects the owner that runs a request and retries where that is safe.
//
// Executors of this instance come first, then the one of two random peers in the domain with more free slots, then the
// other domains, and last a queue. A request is retried if it provably did not run, or if it is idempotent and the
// retry budget allows it. Within one round, an owner that rejected the request or did not answer does not get it again;
// one whose executor failed may try another executor.
//
// # Usage
//
//	r := route.New(options)
//	answer, err := r.Do(ctx, route.Request{...})
package route

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/ibischute/ibischute/internal/modules/execio"
	"github.com/ibischute/ibischute/internal/modules/hopio"
	"github.com/ibischute/ibischute/internal/services/member"
	"github.com/ibischute/ibischute/internal/services/sched"
	"github.com/ibischute/ibischute/internal/state/budget"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// maxAttempts limits the attempts of one request in a round.
	maxAttempts = 4
	// maxRounds limits how often owners are looked up for one request; roundInterval is the pause between rounds.
	maxRounds     = 8
	roundInterval = 60 * time.Millisecond
	// maxCountedPeers bounds the peers for which the requests since their last heartbeat are counted.
	maxCountedPeers = 1024
	// ownerGracePeriod is how long after an owner was last known requests still wait for a new one.
	ownerGracePeriod = 2 * time.Second
	// maxBufferedBytes is the largest body that is buffered for retries; larger ones are streamed once.
	maxBufferedBytes = 256 << 10
	// retryAfterNoOwner is the Retry-After advice when no owner is known.
	retryAfterNoOwner = time.Second
)

// Local is the scheduler of this instance.
type Local interface {
	Do(ctx context.Context, r sched.Request) (*execio.Answer, error)
	Load(now tick.Time, s ident.Service) (free, queued int, acting bool)
}

// Options holds the settings and dependencies of a Router.
type Options struct {
	Domain ident.Domain
	Local  Local
	Peers  func(now tick.Time) []member.Peer
	Hop    hopio.Client
	Now    func() tick.Time
	Wall   func() time.Time
	// OnRetry is called for each retry of a request that may have run.
	OnRetry func(service ident.Service)
}

// Request is a request with the properties that routing depends on.
type Request struct {
	sched.Request
	Idempotent bool
	// Body is the complete body if it is small enough to be retried.
	Body []byte
	// Stream is the body if it can be sent only once.
	Stream       io.Reader
	RetryPercent float64
	// attempt identifies the current attempt. Each round starts at a multiple of maxAttempts, so no number occurs twice.
	attempt int
	// NotAfter is the time after which the request must not be sent; zero means no limit.
	NotAfter tick.Time
	// MaySend is called right before sending and reports whether the caller of the Router still allows it; nil means
	// always allowed. It does not cover the ownership of the executor, which package sched checks in addition and
	// combines with it in IsSendAllowed. A request forwarded to another instance has only MaySend as its IsSendAllowed.
	MaySend func() bool
}

// ReadBody buffers a small body for retries and leaves a large one to be streamed.
func ReadBody(body io.Reader, req *Request) error {
	head, err := io.ReadAll(io.LimitReader(body, maxBufferedBytes+1))
	if err != nil {
		return fault.Wrap(err, fault.CodeBadRequest, fault.NotRun, "the request body was cut")
	}
	if len(head) <= maxBufferedBytes {
		req.Body, req.Length = head, int64(len(head))
		return nil
	}
	req.Stream = io.MultiReader(bytes.NewReader(head), body)
	return nil
}

// Router selects owners for requests.
type Router struct {
	opts   Options
	budget *budget.Budget

	mu         sync.Mutex
	sentCounts map[string]sentCount
	// ownerSeenAt is when an owner of the service was last known.
	ownerSeenAt map[ident.Service]tick.Time
}

// sentCount counts the requests sent to a peer since its last heartbeat.
type sentCount struct {
	since tick.Time
	n     int
}

// New returns a Router.
func New(o Options) *Router {
	return &Router{
		opts: o, budget: budget.New(), sentCounts: map[string]sentCount{}, ownerSeenAt: map[ident.Service]tick.Time{},
	}
}

// target is an owner to which a request may be sent; an empty address means this instance.
type target struct {
	address         string
	isSameDomain    bool
	free            int
	queued          int
	lastHeartbeatAt tick.Time
}

// Do runs the request at one of the owners. The caller must close the body of the answer. While owners are changing, Do
// looks them up again for a short time; without a recently known owner it fails immediately.
func (r *Router) Do(ctx context.Context, req Request) (*execio.Answer, error) {
	r.budget.Deposit(req.RetryPercent)
	var answer *execio.Answer
	var err error
	for round := range maxRounds {
		req.attempt = round * maxAttempts
		answer, err = r.tryOwners(ctx, req)
		if err == nil || !IsOwnerChanging(err) || req.Stream != nil || ctx.Err() != nil {
			return answer, err
		}
		if !r.hadRecentOwner(r.opts.Now(), req.Service) {
			break
		}
		tick.Pause(ctx, roundInterval)
	}
	return nil, fault.Wrap(err, fault.CodeNoOwner, fault.NotRun, "no owner could take the request").
		WithRetry(retryAfterNoOwner)
}

// hadRecentOwner reports whether an owner of the service was known within the grace period, in which case the next
// owner is expected to act soon.
func (r *Router) hadRecentOwner(now tick.Time, service ident.Service) bool {
	if r.HasOwner(now, service) {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.ownerSeenAt[service]
	return ok && now.Sub(at) < ownerGracePeriod
}

// recordOwner records that an owner of the service is known now.
func (r *Router) recordOwner(now tick.Time, service ident.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ownerSeenAt[service] = now
}

// IsOwnerChanging reports whether the error shows that the owner needed by the request is changing.
func IsOwnerChanging(err error) bool {
	if !fault.IsErrNotRun(err) {
		return false
	}
	switch fault.From(err).Code {
	case fault.CodeNoOwner, fault.CodeNotSent, fault.CodeDraining:
		return true
	}
	return false
}

// tryOwners runs one round over the owners known now. An owner gets the request again only if its executor failed.
func (r *Router) tryOwners(ctx context.Context, req Request) (*execio.Answer, error) {
	tried := map[string]bool{}
	var last error
	for range maxAttempts {
		t, ok := r.pick(r.opts.Now(), req.Service, tried)
		if !ok {
			break
		}
		req.Queue = t.free <= 0
		req.attempt++
		answer, err := r.try(ctx, t, req)
		if err == nil {
			return answer, nil
		}
		last = err
		if ctx.Err() != nil || !r.mayRetry(req, err) {
			return nil, err
		}
		tried[t.address] = !fault.IsErrCode(err, fault.CodeBackend)
	}
	if last != nil {
		return nil, last
	}
	return nil, fault.New(fault.CodeNoOwner, fault.NotRun, "no owner of executors of the service is known").
		WithRetry(retryAfterNoOwner)
}

func (r *Router) mayRetry(req Request, err error) bool {
	if req.Stream != nil {
		return false
	}
	if fault.IsErrNotRun(err) {
		return true
	}
	if !req.Idempotent || !r.budget.Withdraw() {
		return false
	}
	if r.opts.OnRetry != nil {
		r.opts.OnRetry(req.Service)
	}
	return true
}

func (r *Router) try(ctx context.Context, t target, req Request) (*execio.Answer, error) {
	out := req.Request
	out.ID = attemptID(req)
	out.Body = req.Stream
	if req.Stream == nil {
		out.Body = bytes.NewReader(req.Body)
		out.Length = int64(len(req.Body))
	}
	if t.address == "" {
		out.MaySend = req.MaySend
		return r.opts.Local.Do(ctx, out)
	}
	r.countSent(t)
	out.IsSendAllowed = req.MaySend
	return r.opts.Hop.Forward(ctx, t.address, hopio.KindDispatch, r.meta(req), out.Request)
}

// attemptID returns a distinct ID for each attempt, so that the abort of a failed attempt does not end the next one at
// the same executor.
func attemptID(req Request) ident.Request {
	if req.attempt == 1 {
		return req.ID
	}
	return req.ID + ident.Request("."+strconv.Itoa(req.attempt))
}

func (r *Router) meta(req Request) hopio.Meta {
	now := r.opts.Now()
	m := hopio.Meta{
		ID: attemptID(req), Service: req.Service, Class: req.Class, Tenant: req.Tenant, Priority: req.Priority,
		Share: req.Share, MaxQueue: req.MaxQueue, DeadlineMS: req.Deadline.Sub(now).Milliseconds(),
		Queue: req.Queue, Path: req.Path,
	}
	if req.NotAfter != 0 {
		m.NotAfterMS = r.opts.Wall().Add(req.NotAfter.Sub(now)).UnixMilli()
	}
	return m
}

// countSent lowers the assumed free slots of the peer until its next heartbeat.
func (r *Router) countSent(t target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.sentCounts) > maxCountedPeers {
		clear(r.sentCounts)
	}
	c := r.sentCounts[t.address]
	if c.since != t.lastHeartbeatAt {
		c = sentCount{since: t.lastHeartbeatAt}
	}
	c.n++
	r.sentCounts[t.address] = c
}

func (r *Router) sentSince(address string, lastHeartbeatAt tick.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := r.sentCounts[address]; ok && c.since == lastHeartbeatAt {
		return c.n
	}
	return 0
}

// pick returns the best target that the round has not used.
func (r *Router) pick(now tick.Time, service ident.Service, tried map[string]bool) (target, bool) {
	all := r.targets(now, service, tried)
	for _, group := range [][]target{
		filter(all, func(t target) bool { return t.address == "" && t.free > 0 }),
		filter(all, func(t target) bool { return t.isSameDomain && t.free > 0 }),
		filter(all, func(t target) bool { return t.free > 0 }),
	} {
		if len(group) > 0 {
			return betterOfTwo(group), true
		}
	}
	return shortestQueue(all)
}

func (r *Router) targets(now tick.Time, service ident.Service, tried map[string]bool) []target {
	var out []target
	if free, queued, acting := r.opts.Local.Load(now, service); acting && !tried[""] {
		out = append(out, target{isSameDomain: true, free: free, queued: queued})
	}
	for _, p := range r.opts.Peers(now) {
		if p.Draining || tried[p.Address] {
			continue
		}
		for _, l := range p.Loads {
			if ident.Service(l.GetService()) != service {
				continue
			}
			sent := r.sentSince(p.Address, p.LastHeartbeatAt)
			out = append(out, target{
				address: p.Address, isSameDomain: p.Domain == r.opts.Domain, lastHeartbeatAt: p.LastHeartbeatAt,
				free: int(l.GetFree()) - sent, queued: int(l.GetQueued()),
			})
		}
	}
	if len(out) > 0 {
		r.recordOwner(now, service)
	}
	return out
}

// HasOwner reports whether an owner of executors of the service is known.
func (r *Router) HasOwner(now tick.Time, service ident.Service) bool {
	return len(r.targets(now, service, nil)) > 0
}

func filter(all []target, keep func(target) bool) []target {
	var out []target
	for _, t := range all {
		if keep(t) {
			out = append(out, t)
		}
	}
	return out
}

// betterOfTwo returns the one of two random targets with more free slots.
func betterOfTwo(group []target) target {
	a := group[rand.IntN(len(group))]
	b := group[rand.IntN(len(group))]
	if b.free > a.free {
		return b
	}
	return a
}

// shortestQueue prefers targets in this domain, then the one with the fewest queued requests in excess of free slots.
func shortestQueue(all []target) (target, bool) {
	best, found := target{}, false
	for _, t := range all {
		if !found || (t.isSameDomain && !best.isSameDomain) ||
			(t.isSameDomain == best.isSameDomain && t.queued-t.free < best.queued-best.free) {
			best, found = t, true
		}
	}
	return best, found
}
