package sched

import (
	"context"
	"time"

	"github.com/ibischute/ibischute/internal/modules/roster"
	"github.com/ibischute/ibischute/internal/modules/suprv"
	"github.com/ibischute/ibischute/internal/state/queue"
	"github.com/ibischute/ibischute/internal/state/slots"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// loadInterval is the minimum interval between load queries to an executor whose slots no other instance uses.
	// minLoadSpacing is the minimum mean time between two such queries by one owner, which bounds the control traffic of
	// an owner of many executors.
	loadInterval   = time.Second
	minLoadSpacing = 200 * time.Millisecond
	// syncInterval is how often the instance list and the ownership are applied. Executors whose slots another instance
	// may still use are queried at the same interval.
	syncInterval           = 100 * time.Millisecond
	loadTimeout            = time.Second
	maxConcurrentLoadCalls = 64
)

type watchService struct {
	s          *Scheduler
	calls      *suprv.Group
	lastPollAt map[ident.Executor]tick.Time
}

// Watch returns the service that applies the instance list and the ownership and queries the executors for their load.
func (s *Scheduler) Watch() suprv.Service {
	return &watchService{s: s, calls: suprv.NewGroup(maxConcurrentLoadCalls), lastPollAt: map[ident.Executor]tick.Time{}}
}

// String returns the name of the service for logs.
func (*watchService) String() string { return "sched-watch" }

// Serve implements suprv.Service.
func (w *watchService) Serve(ctx context.Context) error {
	t := time.NewTicker(syncInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			w.calls.Wait(ctx)
			return ctx.Err()
		case <-t.C:
		case <-w.s.opts.Changed:
		}
		now := w.s.opts.Now()
		w.s.Sync(now)
		w.pollLoads(ctx, now)
	}
}

// Sync applies the instance list and the ownership as of now.
func (s *Scheduler) Sync(now tick.Time) {
	list := s.opts.Roster().Filter(roster.KindExecutor, s.opts.Domain)
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := map[ident.Executor]bool{}
	for _, e := range list {
		listed[ident.Executor(e.Name)] = true
		s.putExecutor(now, e)
	}
	s.hasExecutorList = s.hasExecutorList || len(list) > 0
	for _, svc := range s.services {
		if len(list) > 0 {
			svc.pool.Retain(func(e ident.Executor) bool { return listed[e] })
		}
		s.applyOwnership(now, svc)
	}
}

// putExecutor adds or updates an executor. Executors added after the first list get a slow start. The caller must hold
// s.mu.
func (s *Scheduler) putExecutor(now tick.Time, e roster.Entry) {
	svc, ok := s.services[e.Service]
	if !ok {
		svc = &service{pool: slots.New(), queue: queue.New[*waiter](), meanServiceTimes: map[ident.Class]time.Duration{}}
		s.services[e.Service] = svc
	}
	svc.pool.Put(now, slots.Spec{
		Name: ident.Executor(e.Name), Address: e.Address, Slots: e.Slots, Leaving: e.Leaving, SlowStart: s.hasExecutorList,
	})
}

// applyOwnership updates which executors of the service this instance acts for, and grants slots to the waiting
// requests or rejects them. The caller must hold s.mu.
func (s *Scheduler) applyOwnership(now tick.Time, svc *service) {
	for _, e := range svc.pool.All() {
		key := ident.ExecutorKey(e.Name)
		acting := !s.stopped.Load() && s.opts.Ownership.MayAct(now, key)
		svc.pool.SetActing(e.Name, acting)
	}
	if !svc.pool.IsActing() {
		svc.rejectWaiting()
		return
	}
	s.grantSlots(now, svc)
}

// pollLoads queries the executors that this instance acts for. While other instances may still use slots of an
// executor, it is queried at every call.
func (w *watchService) pollLoads(ctx context.Context, now tick.Time) {
	executors := w.s.Executors()
	interval := max(loadInterval, minLoadSpacing*time.Duration(countActing(executors)))
	w.dropDelisted(executors)
	for _, e := range executors {
		isExclusive := e.IsForeignKnown && e.Foreign == 0
		if !e.Acting || (isExclusive && now.Sub(w.lastPollAt[e.Name]) < interval) {
			continue
		}
		w.lastPollAt[e.Name] = now
		w.calls.Go(ctx, func(ctx context.Context) { w.s.pollLoad(ctx, e) })
	}
}

// dropDelisted removes the poll times of executors that are no longer listed.
func (w *watchService) dropDelisted(executors []slots.Executor) {
	if len(w.lastPollAt) <= 2*len(executors) {
		return
	}
	remaining := make(map[ident.Executor]tick.Time, len(executors))
	for _, e := range executors {
		if at, ok := w.lastPollAt[e.Name]; ok {
			remaining[e.Name] = at
		}
	}
	w.lastPollAt = remaining
}

func countActing(executors []slots.Executor) int {
	n := 0
	for _, e := range executors {
		if e.Acting {
			n++
		}
	}
	return n
}

// pollLoad queries one executor for its load. While other instances may use its slots, the work beyond this instance's
// own is counted as theirs.
func (s *Scheduler) pollLoad(ctx context.Context, e slots.Executor) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	load, err := s.opts.Exec.Load(ctx, e.Address)
	if err != nil {
		return
	}
	now := s.opts.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, svc := range s.services {
		current, ok := svc.pool.Get(e.Name)
		if !ok || !current.Acting {
			continue
		}
		svc.pool.SetReportsLeaving(e.Name, load.Leaving)
		if !current.IsForeignKnown || current.Foreign > 0 {
			// Work of this instance may have ended between the executor's answer and now, so the smaller of its counts
			// before and after the call is subtracted.
			own := min(e.InUse(), current.InUse())
			svc.pool.SetForeign(e.Name, max(load.Running-own, s.opts.Ownership.Held(ident.ExecutorKey(e.Name))))
		}
		s.grantSlots(now, svc)
	}
}
