// Package route decides at which owner a request runs and tries again where that is safe.
//
// Own executors come first, then the peer with the most free slots of two in the domain, then the other domains, and
// at last a queue. A request is tried again when it is proved not to have run, or when it is idempotent and the retry
// budget allows it. In one round an owner that refused or was lost is not tried again; one whose executor failed may
// try another executor.
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
	// maxAttempts bounds the owners that one request is tried at.
	maxAttempts = 4
	// maxRounds bounds how often owners are looked for, and roundInterval is the pause between.
	maxRounds     = 8
	roundInterval = 60 * time.Millisecond
	// maxCounted bounds the peers whose requests since their last heartbeat are counted.
	maxCounted = 1024
	// ownerGrace is for how long after the last owner was known a next one is looked for.
	ownerGrace = 2 * time.Second
	// maxBuffered is the largest body that is kept to be sent again; larger ones are streamed once.
	maxBuffered = 256 << 10
	// retryAfterNoOwner is the advice when no owner is known.
	retryAfterNoOwner = time.Second
)

// Local is this instance's own scheduler.
type Local interface {
	Do(ctx context.Context, r sched.Request) (*execio.Answer, error)
	Load(now tick.Time, s ident.Service) (free, queued int, acting bool)
}

// Options are the surroundings of a Router.
type Options struct {
	Domain  ident.Domain
	Local   Local
	Peers   func(now tick.Time) []member.Peer
	Hop     hopio.Client
	Now     func() tick.Time
	Wall    func() time.Time
	OnRetry func(service ident.Service)
}

// Request is a request with what routing needs to know.
type Request struct {
	sched.Request
	Idempotent bool
	// Body is the whole body if it is small enough to be sent again.
	Body []byte
	// Stream is the body if it can be sent only once.
	Stream       io.Reader
	RetryPercent float64
	// attempts counts how often the request was sent.
	attempts int
	// NotAfter bounds the right to send; zero is none.
	NotAfter tick.Time
	// Right is asked right before sending; nil is always.
	Right func() bool
}

// ReadBody keeps a small body, so that it can be sent again, and leaves a large one to be streamed.
func ReadBody(body io.Reader, req *Request) error {
	head, err := io.ReadAll(io.LimitReader(body, maxBuffered+1))
	if err != nil {
		return fault.Wrap(err, fault.CodeBadRequest, fault.NotRun, "the request body was cut")
	}
	if len(head) <= maxBuffered {
		req.Body, req.Length = head, int64(len(head))
		return nil
	}
	req.Stream = io.MultiReader(bytes.NewReader(head), body)
	return nil
}

// Router picks owners.
type Router struct {
	opts   Options
	budget *budget.Budget

	mu   sync.Mutex
	sent map[string]sentCount
	// ownerAt is when an owner of the service was last known.
	ownerAt map[ident.Service]tick.Time
}

// sentCount counts what was sent to a peer since its last heartbeat.
type sentCount struct {
	since tick.Time
	n     int
}

// New returns a Router.
func New(o Options) *Router {
	return &Router{opts: o, budget: budget.New(), sent: map[string]sentCount{}, ownerAt: map[ident.Service]tick.Time{}}
}

// target is an owner that the request may go to; an empty address is this instance.
type target struct {
	address string
	near    bool
	free    int
	queued  int
	heard   tick.Time
}

// Do runs the request at one of the owners. The body of the answer must be closed. While owners are changing it looks
// for one again for a short time; without any known owner it refuses at once.
func (r *Router) Do(ctx context.Context, req Request) (*execio.Answer, error) {
	r.budget.Deposit(req.RetryPercent)
	var answer *execio.Answer
	var err error
	for round := range maxRounds {
		req.attempts = round * maxAttempts
		answer, err = r.round(ctx, req)
		if err == nil || !IsMoving(err) || req.Stream != nil || ctx.Err() != nil {
			return answer, err
		}
		if !r.hadOwner(r.opts.Now(), req.Service) {
			break
		}
		tick.Pause(ctx, roundInterval)
	}
	return nil, fault.Wrap(err, fault.CodeNoOwner, fault.NotRun, "no owner could take the request").
		WithRetry(retryAfterNoOwner)
}

// hadOwner reports whether an owner of the service was known lately, so that the next one is about to act.
func (r *Router) hadOwner(now tick.Time, service ident.Service) bool {
	if r.HasOwner(now, service) {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.ownerAt[service]
	return ok && now.Sub(at) < ownerGrace
}

// noteOwner remembers that an owner of a known service is there.
func (r *Router) noteOwner(now tick.Time, service ident.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ownerAt[service] = now
}

// IsMoving reports whether the failure shows that the owner of what a request needs is changing.
func IsMoving(err error) bool {
	if !fault.IsErrNotRun(err) {
		return false
	}
	switch fault.From(err).Code {
	case fault.CodeNoOwner, fault.CodeNotSent, fault.CodeDraining:
		return true
	}
	return false
}

// round tries the owners that are known now, each at most once.
func (r *Router) round(ctx context.Context, req Request) (*execio.Answer, error) {
	tried := map[string]bool{}
	var last error
	for range maxAttempts {
		t, ok := r.pick(r.opts.Now(), req.Service, tried)
		if !ok {
			break
		}
		req.Queue = t.free <= 0
		req.attempts++
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
		out.Right = req.Right
		return r.opts.Local.Do(ctx, out)
	}
	r.count(t)
	out.Gate = req.Right
	return r.opts.Hop.Forward(ctx, t.address, hopio.KindDispatch, r.meta(req), out.Request)
}

// attemptID tells the attempts of a request apart, so that the abort of a failed one does not end the next one at the
// same executor.
func attemptID(req Request) ident.Request {
	if req.attempts == 1 {
		return req.ID
	}
	return req.ID + ident.Request("."+strconv.Itoa(req.attempts))
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

// count lowers the free slots assumed of the peer until its next heartbeat.
func (r *Router) count(t target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.sent) > maxCounted {
		clear(r.sent)
	}
	c := r.sent[t.address]
	if c.since != t.heard {
		c = sentCount{since: t.heard}
	}
	c.n++
	r.sent[t.address] = c
}

func (r *Router) sentSince(address string, heard tick.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := r.sent[address]; ok && c.since == heard {
		return c.n
	}
	return 0
}

// pick returns the best target that was not tried.
func (r *Router) pick(now tick.Time, service ident.Service, tried map[string]bool) (target, bool) {
	all := r.targets(now, service, tried)
	for _, group := range [][]target{
		filter(all, func(t target) bool { return t.address == "" && t.free > 0 }),
		filter(all, func(t target) bool { return t.near && t.free > 0 }),
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
		out = append(out, target{near: true, free: free, queued: queued})
	}
	for _, p := range r.opts.Peers(now) {
		if p.Draining || tried[p.Address] {
			continue
		}
		for _, l := range p.Loads {
			if ident.Service(l.GetService()) != service {
				continue
			}
			sent := r.sentSince(p.Address, p.Heard)
			out = append(out, target{
				address: p.Address, near: p.Domain == r.opts.Domain, heard: p.Heard,
				free: int(l.GetFree()) - sent, queued: int(l.GetQueued()),
			})
		}
	}
	if len(out) > 0 {
		r.noteOwner(now, service)
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

// betterOfTwo returns the one with more free slots of two random targets.
func betterOfTwo(group []target) target {
	a := group[rand.IntN(len(group))]
	b := group[rand.IntN(len(group))]
	if b.free > a.free {
		return b
	}
	return a
}

// shortestQueue prefers the domain, then the least queued beyond the free slots.
func shortestQueue(all []target) (target, bool) {
	best, found := target{}, false
	for _, t := range all {
		if !found || (t.near && !best.near) || (t.near == best.near && t.queued-t.free < best.queued-best.free) {
			best, found = t, true
		}
	}
	return best, found
}
