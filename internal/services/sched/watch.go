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
	// loadInterval is how often a settled executor is asked for its load at the most, and loadSpacing is the least time
	// between two such calls, which bounds the control traffic of an owner of many executors.
	loadInterval = time.Second
	loadSpacing  = 200 * time.Millisecond
	// syncInterval is how often the list and the ownership are applied, and unsettled executors are asked.
	syncInterval = 100 * time.Millisecond
	loadTimeout  = time.Second
	maxLoadCalls = 64
)

type watchService struct {
	s     *Scheduler
	calls *suprv.Group
	asked map[ident.Executor]tick.Time
}

// Watch returns the service that applies the instance list and the ownership and asks the executors for their loads.
func (s *Scheduler) Watch() suprv.Service {
	return &watchService{s: s, calls: suprv.NewGroup(maxLoadCalls), asked: map[ident.Executor]tick.Time{}}
}

// String names the service in logs.
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
		w.askLoads(ctx, now)
	}
}

// Sync applies the instance list and the ownership as they are at the time now.
func (s *Scheduler) Sync(now tick.Time) {
	list := s.opts.Roster().Of(roster.KindExecutor, s.opts.Domain)
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := map[ident.Executor]bool{}
	for _, e := range list {
		listed[ident.Executor(e.Name)] = true
		s.put(now, e)
	}
	s.isWarm = s.isWarm || len(list) > 0
	for _, svc := range s.services {
		if len(list) > 0 {
			svc.pool.Retain(func(e ident.Executor) bool { return listed[e] })
		}
		s.applyOwnership(now, svc)
	}
}

// put adds or updates an executor; those of the first list are not new. It needs the lock.
func (s *Scheduler) put(now tick.Time, e roster.Entry) {
	svc, ok := s.services[e.Service]
	if !ok {
		svc = &service{pool: slots.New(), queue: queue.New[*waiter](), usual: map[ident.Class]time.Duration{}}
		s.services[e.Service] = svc
	}
	svc.pool.Put(now, slots.Spec{
		Name: ident.Executor(e.Name), Address: e.Address, Slots: e.Slots, Leaving: e.Leaving, Fresh: s.isWarm,
	})
}

// applyOwnership needs the lock.
func (s *Scheduler) applyOwnership(now tick.Time, svc *service) {
	for _, e := range svc.pool.All() {
		key := ident.ExecutorKey(e.Name)
		acting := !s.stopped.Load() && s.opts.Own.MayAct(now, key)
		svc.pool.SetActing(e.Name, acting)
	}
	if !svc.pool.IsActing() {
		svc.refuseWaiting()
		return
	}
	s.pump(now, svc)
}

// askLoads asks the executors this instance acts for: at once while the slots of others are not settled.
func (w *watchService) askLoads(ctx context.Context, now tick.Time) {
	executors := w.s.Executors()
	interval := max(loadInterval, loadSpacing*time.Duration(countActing(executors)))
	w.forget(executors)
	for _, e := range executors {
		settled := e.Counted && e.Foreign == 0
		if !e.Acting || (settled && now.Sub(w.asked[e.Name]) < interval) {
			continue
		}
		w.asked[e.Name] = now
		w.calls.Go(ctx, func(ctx context.Context) { w.s.askLoad(ctx, e) })
	}
}

// forget drops the times of executors that are gone.
func (w *watchService) forget(executors []slots.Executor) {
	if len(w.asked) <= 2*len(executors) {
		return
	}
	kept := make(map[ident.Executor]tick.Time, len(executors))
	for _, e := range executors {
		if at, ok := w.asked[e.Name]; ok {
			kept[e.Name] = at
		}
	}
	w.asked = kept
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

// askLoad asks one executor. While others may use slots, what it runs beyond this instance's own work is theirs.
func (s *Scheduler) askLoad(ctx context.Context, e slots.Executor) {
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
		svc.pool.SetSaysLeaving(e.Name, load.Leaving)
		if !current.Counted || current.Foreign > 0 {
			// The work of this instance may have ended between the executor's answer and now, so the least
			// it had on either side of the call is taken off.
			own := min(e.InUse(), current.InUse())
			svc.pool.SetForeign(e.Name, max(load.Running-own, s.opts.Own.Held(ident.ExecutorKey(e.Name))))
		}
		s.pump(now, svc)
	}
}
