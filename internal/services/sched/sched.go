// Package sched runs requests on the executors that this instance owns.
//
// Requests wait at the owner in one queue per service and are bound to an executor only when one of its slots is free.
// Whether the instance may act is checked right before each send. A slot is reused only on evidence that the work on it
// has ended: the complete answer, a refused connection, or the executor's confirmation of an abort.
//
// # Usage
//
//	s := sched.New(options)
//	supervisor.Add(s.Watch())
//	answer, err := s.Do(ctx, sched.Request{...})
package sched

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/ibischute/ibischute/internal/modules/execio"
	"github.com/ibischute/ibischute/internal/modules/roster"
	"github.com/ibischute/ibischute/internal/modules/suprv"
	"github.com/ibischute/ibischute/internal/modules/wire"
	"github.com/ibischute/ibischute/internal/state/queue"
	"github.com/ibischute/ibischute/internal/state/slots"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// maxConcurrentDrains bounds the slots that are drained in the background; beyond it, the caller waits.
	maxConcurrentDrains = 4096
	// serviceTimeWeight is the weight of a new sample in the moving average of a class's service time.
	serviceTimeWeight = 0.05
	// initialServiceTime is assumed for a class before its first answer.
	initialServiceTime = 10 * time.Millisecond
	// minRetryAfter is the minimum Retry-After advice of a rejection.
	minRetryAfter = 100 * time.Millisecond
	// maxTenantShare is the share of a class's queue limit that one tenant may occupy, so that it leaves space for
	// others.
	maxTenantShare = 0.5
)

// Ownership reports what this instance may act on.
type Ownership interface {
	MayAct(now tick.Time, key ident.Key) bool
	HasLease(now tick.Time) bool
	// Held returns the slots of the key that its former owners still use.
	Held(key ident.Key) int
}

// Options holds the settings and dependencies of a Scheduler.
type Options struct {
	Domain    ident.Domain
	Ownership Ownership
	// Changed is signalled whenever ownership may have changed.
	Changed <-chan struct{}
	Roster  func() roster.List
	Exec    execio.Client
	Logger  zerolog.Logger
	Now     func() tick.Time
}

// Request is a request with the properties that determine its position in the queue.
type Request struct {
	execio.Request
	Service ident.Service
	Class   ident.Class
	Tenant  ident.Tenant
	// Priority is the rank of the request in the queue; lower numbers come first.
	Priority int
	Share    float64
	MaxQueue int
	Deadline tick.Time
	// Queue allows the request to wait; without it, a busy owner rejects the request immediately.
	Queue bool
	// MaySend is called right before sending, in addition to the ownership check for the executor; nil means always
	// allowed. It is set by the caller, while the Scheduler sets IsSendAllowed to the combination of both checks.
	MaySend func() bool
}

// Scheduler tracks the slots of the executors that this instance owns and queues requests for them.
type Scheduler struct {
	opts     Options
	drains   *suprv.Group
	stopped  atomic.Bool
	inFlight atomic.Int64

	mu       sync.Mutex
	services map[ident.Service]*service
	// hasExecutorList is set once the instance list has contained executors.
	hasExecutorList bool
}

type service struct {
	pool             *slots.Pool
	queue            *queue.Queue[*waiter]
	meanServiceTimes map[ident.Class]time.Duration
}

type waiter struct {
	// granted receives the executor of the granted slot; it is closed if the request is rejected.
	granted chan ident.Executor
}

// New returns a Scheduler without executors.
func New(o Options) *Scheduler {
	return &Scheduler{
		opts: o, drains: suprv.NewGroup(maxConcurrentDrains),
		services: map[ident.Service]*service{},
	}
}

// Do runs the request on an owned executor. The caller must close the body of the answer.
func (s *Scheduler) Do(ctx context.Context, r Request) (*execio.Answer, error) {
	name, err := s.await(ctx, r)
	if err != nil {
		return nil, err
	}
	s.inFlight.Add(1)
	return s.send(ctx, r, name)
}

// await waits for a slot and returns its executor.
func (s *Scheduler) await(ctx context.Context, r Request) (ident.Executor, error) {
	now := s.opts.Now()
	s.mu.Lock()
	svc, err := s.admit(now, r)
	if err != nil {
		s.mu.Unlock()
		return "", err
	}
	w := &waiter{granted: make(chan ident.Executor, 1)}
	item := svc.queue.Push(queue.Spec{
		Priority: r.Priority, Tenant: r.Tenant, Share: r.Share, Deadline: r.Deadline,
	}, w)
	s.grantSlots(now, svc)
	s.mu.Unlock()
	select {
	case name, ok := <-w.granted:
		if !ok {
			return "", fault.New(fault.CodeDraining, fault.NotRun, "the owner stopped or lost its right to act")
		}
		return name, nil
	case <-ctx.Done():
		return "", s.cancelWait(ctx, svc, item, w)
	}
}

// cancelWait removes a request whose context ended from the queue, or releases the slot that it was granted.
func (s *Scheduler) cancelWait(ctx context.Context, svc *service, item *queue.Item[*waiter], w *waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !svc.queue.Remove(item) {
		if name, ok := <-w.granted; ok {
			svc.pool.Release(name)
			s.grantSlots(s.opts.Now(), svc)
		}
	}
	return fault.FromContext(ctx, fault.NotRun)
}

// admit decides whether the request may run or wait here. The caller must hold s.mu.
func (s *Scheduler) admit(now tick.Time, r Request) (*service, error) {
	svc, ok := s.services[r.Service]
	if s.stopped.Load() {
		return nil, fault.New(fault.CodeDraining, fault.NotRun, "this instance is stopping")
	}
	if !ok || !svc.pool.IsActing() || !s.opts.Ownership.HasLease(now) {
		return nil, fault.New(fault.CodeNoOwner, fault.NotRun, "this instance acts for no executor of the service").
			WithRetry(minRetryAfter)
	}
	if svc.queue.Len() == 0 && svc.pool.Free(now) > 0 {
		return svc, nil
	}
	if !r.Queue {
		return nil, fault.New(fault.CodeNoCapacity, fault.NotRun, "no free slot").WithRetry(minRetryAfter)
	}
	return svc, svc.admitToQueue(now, r)
}

func (v *service) admitToQueue(now tick.Time, r Request) error {
	wait := v.expectedWait(now, r)
	retry := max(wait, minRetryAfter)
	if v.queue.LenTenant(r.Priority, r.Tenant) >= max(1, int(maxTenantShare*float64(r.MaxQueue))) {
		return fault.New(fault.CodeOverloaded, fault.NotRun, "too many requests of the tenant wait").WithRetry(retry)
	}
	if v.queue.LenAhead(r.Priority) >= r.MaxQueue {
		return fault.New(fault.CodeOverloaded, fault.NotRun, "the queue is full").WithRetry(retry)
	}
	if now.Add(wait + v.meanServiceTime(r.Class)).After(r.Deadline) {
		return fault.New(fault.CodeOverloaded, fault.NotRun, "the wait would pass the deadline").WithRetry(retry)
	}
	return nil
}

// expectedWait estimates how long the request would wait: the work ahead of it over the capacity. Among the queued
// requests of its own priority, only those that fair sharing between tenants serves before it count as ahead.
func (v *service) expectedWait(now tick.Time, r Request) time.Duration {
	capacity := max(1, v.pool.Capacity(now))
	ahead := float64(v.queue.LenAhead(r.Priority))
	if r.Share > 0 {
		rounds := float64(v.queue.LenTenant(r.Priority, r.Tenant)+1) / r.Share
		fair := rounds * v.queue.ActiveShares(r.Priority, r.Tenant, r.Share)
		ahead = min(ahead, fair+float64(v.queue.LenAhead(r.Priority-1)))
	}
	return time.Duration((ahead + 1) / float64(capacity) * float64(v.meanServiceTime(r.Class)))
}

func (v *service) meanServiceTime(c ident.Class) time.Duration {
	if d, ok := v.meanServiceTimes[c]; ok {
		return d
	}
	return initialServiceTime
}

// grantSlots grants free slots to waiting requests. The caller must hold s.mu.
func (s *Scheduler) grantSlots(now tick.Time, svc *service) {
	if s.stopped.Load() {
		return
	}
	for svc.queue.Len() > 0 {
		name, ok := svc.pool.Acquire(now)
		if !ok {
			return
		}
		w, _ := svc.queue.Pop()
		w.granted <- name
	}
}

// sendResult is the result of a send.
type sendResult struct {
	answer *execio.Answer
	err    error
}

// send sends the request to the executor whose slot it holds. If the caller leaves first, the exchange with the
// executor continues until the executor ends it, because only that proves that a request in transit will not start any
// more.
func (s *Scheduler) send(ctx context.Context, r Request, name ident.Executor) (*execio.Answer, error) {
	address, svc := s.addressOf(r.Service, name)
	key := ident.ExecutorKey(name)
	r.IsSendAllowed = func() bool {
		return s.opts.Ownership.MayAct(s.opts.Now(), key) && (r.MaySend == nil || r.MaySend())
	}
	res := &reservation{
		s: s, svc: svc, executor: name, address: address, class: r.Class, id: r.ID, started: s.opts.Now(),
	}
	exchange, endExchange := context.WithCancel(context.WithoutCancel(ctx))
	results := make(chan sendResult, 1)
	go func() {
		answer, err := s.opts.Exec.Send(exchange, address, r.Request)
		results <- sendResult{answer, err}
	}()
	select {
	case o := <-results:
		return s.handleResult(res, o, endExchange)
	case <-ctx.Done():
		res.drainExchange(results, endExchange)
		return nil, fault.FromContext(ctx, fault.Unknown)
	}
}

// handleResult returns the answer with a body that settles the slot. Without an answer, it frees the slot if the
// request did not run, and otherwise drains it.
func (s *Scheduler) handleResult(
	res *reservation, o sendResult, endExchange context.CancelFunc,
) (*execio.Answer, error) {
	if o.err == nil {
		o.answer.Body = &slotBody{
			body: o.answer.Body, reservation: res, isFailure: o.answer.Status >= minServerErrorStatus, endExchange: endExchange,
		}
		return o.answer, nil
	}
	endExchange()
	if fault.IsErrNotRun(o.err) {
		res.release(false)
		return nil, o.err
	}
	res.report(false)
	res.drain()
	return nil, o.err
}

const minServerErrorStatus = 500

func (s *Scheduler) addressOf(id ident.Service, name ident.Executor) (string, *service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	svc := s.services[id]
	e, _ := svc.pool.Get(name)
	return e.Address, svc
}

// Stop makes the scheduler grant no further slots and rejects the waiting requests.
func (s *Scheduler) Stop() {
	s.stopped.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, svc := range s.services {
		svc.rejectWaiting()
	}
}

// rejectWaiting empties the queue. The caller must hold the mutex of the Scheduler.
func (v *service) rejectWaiting() {
	for {
		w, ok := v.queue.Pop()
		if !ok {
			return
		}
		close(w.granted)
	}
}

// InFlight returns the number of requests that hold a slot.
func (s *Scheduler) InFlight() int { return int(s.inFlight.Load()) }

// Loads returns the free slots and the queue length of each service, for heartbeats.
func (s *Scheduler) Loads(now tick.Time) []*wire.ServiceLoad {
	if s.stopped.Load() || !s.opts.Ownership.HasLease(now) {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*wire.ServiceLoad
	for name, svc := range s.services {
		if !svc.pool.IsActing() {
			continue
		}
		out = append(out, &wire.ServiceLoad{
			Service: string(name), Free: int32(svc.pool.Free(now)), Queued: uint32(svc.queue.Len()),
		})
	}
	return out
}

// Load returns the free slots and the queue length of a service, and whether this instance acts for any executor of it.
func (s *Scheduler) Load(now tick.Time, service ident.Service) (free, queued int, acting bool) {
	if s.stopped.Load() || !s.opts.Ownership.HasLease(now) {
		return 0, 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	svc, ok := s.services[service]
	if !ok || !svc.pool.IsActing() {
		return 0, 0, false
	}
	return svc.pool.Free(now), svc.queue.Len(), true
}

// HeldSlots returns the slots in use on executors that this instance no longer acts for.
func (s *Scheduler) HeldSlots(tick.Time) []*wire.HeldKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*wire.HeldKey
	for _, svc := range s.services {
		for _, e := range svc.pool.All() {
			if e.InUse() > 0 && (!e.Acting || s.stopped.Load()) {
				out = append(out, &wire.HeldKey{Key: string(ident.ExecutorKey(e.Name)), Slots: uint32(e.InUse())})
			}
		}
	}
	return out
}

// Executors returns the state of all executors of the domain.
func (s *Scheduler) Executors() []slots.Executor {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []slots.Executor
	for _, svc := range s.services {
		out = append(out, svc.pool.All()...)
	}
	return out
}
