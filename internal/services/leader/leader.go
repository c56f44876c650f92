// Package leader runs the scheduling loop of a cell on its leader: it passes events to the cell and executes the
// decisions of the cell.
//
// # Usage
//
//	l := leader.New(options)
//	elector := elect.New(elect.Options{RunTerm: l.Run, ...})
package leader

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/modules/meter"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/modules/wake"
	"github.com/ibischute/ibischute/internal/services/config"
	"github.com/ibischute/ibischute/internal/services/elect"
	"github.com/ibischute/ibischute/internal/services/replic"
	"github.com/ibischute/ibischute/internal/state/aimd"
	"github.com/ibischute/ibischute/internal/state/book"
	"github.com/ibischute/ibischute/internal/state/cell"
	"github.com/ibischute/ibischute/internal/state/delay"
	"github.com/ibischute/ibischute/internal/state/expiry"
	"github.com/ibischute/ibischute/internal/state/fresh"
	"github.com/ibischute/ibischute/internal/state/rtrip"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// discoveryInterval is how often the entries of the executors are read.
	discoveryInterval = 500 * time.Millisecond
	// diagnoseRounds is the number of discovery rounds after which the causes of waits are looked for.
	diagnoseRounds = 4
	// modelSaveRounds is the number of discovery rounds after which the model is recorded.
	modelSaveRounds = 6
	callTimeout     = 1200 * time.Millisecond
	retryDelay      = 100 * time.Millisecond
	// The defaults of Options.MaxRecordBytes and Options.MaxAppendBytes.
	defaultMaxRecordBytes = 256 << 10
	defaultMaxAppendBytes = 2 << 20
)

// Options configure a Leader.
type Options struct {
	Log       logs.Log
	Part      logs.Part
	Executors orders.Executors
	// Advisor is nil where there is no policy service.
	Advisor orders.Advisor
	Replica *replic.Replica
	Config  *config.Follower
	Decode  config.DecodeExecutor
	Params  cell.Params
	// HoldsLease reports whether this instance holds the leadership lease.
	HoldsLease func(now tick.Time) bool
	// HeartbeatAt returns when the last stored heartbeat of this instance was sent.
	HeartbeatAt func() tick.Time
	// FencingToken returns the highest fencing token of this instance in its term of the epoch.
	FencingToken func(epoch uint64) orders.FencingToken
	// IsSoleLeader reports whether no other instance can have become the leader.
	IsSoleLeader func(now tick.Time) bool
	// EvacuateWithin is the longest time from an operator's request to evacuate a failure domain until nothing starts in
	// it; 0 if there are no evacuations.
	EvacuateWithin time.Duration
	// MaxRecordBytes and MaxAppendBytes are the log's limits for a record and for the records of an append. The defaults
	// apply if they are 0.
	MaxRecordBytes, MaxAppendBytes int
	Meter                          *meter.Meter
	Logger                         zerolog.Logger
}

// Leader runs the terms in which this instance is the leader.
type Leader struct {
	opts Options

	mu   sync.Mutex
	term *term
	// lastEpoch is the epoch of the last term that has begun, and lastLeaseEnds what LeaseEnds returns for it before it
	// takes over and after it has ended.
	lastEpoch     uint64
	lastLeaseEnds expiry.Times
}

// New returns a Leader without a term.
func New(o Options) *Leader {
	if o.MaxRecordBytes == 0 {
		o.MaxRecordBytes = defaultMaxRecordBytes
	}
	if o.MaxAppendBytes == 0 {
		o.MaxAppendBytes = defaultMaxAppendBytes
	}
	return &Leader{opts: o}
}

// term is the state of one term. Its mutex guards cell, evacuated, evacuationGate, holdSenders, startWindow,
// startResponses, startDelays, planTimes, querying and storingSince.
type term struct {
	*Leader
	epoch uint64
	mu    sync.Mutex
	cell  *cell.Cell
	// evacuated are the evacuated failure domains that the cell knows.
	evacuated []string
	// loggedEvacuations is the last progress that was logged. Only discoverLoop uses it.
	loggedEvacuations []cell.EvacuationProgress
	// evacuationGate is closed while the evacuated domains are not known.
	evacuationGate *fresh.Gate
	planWake       chan struct{}
	commitWake     chan struct{}
	startWake      chan struct{}
	// discoverWake ends the pause before the next read of the entries early.
	discoverWake chan struct{}
	// placementWake ends the pause after a commit early, because placed runs wait for a record.
	placementWake chan struct{}
	adviceWake    chan struct{}
	// failed receives the first error that ends the term.
	failed         chan error
	holdSenders    map[string]*holdSender
	orderSemaphore chan struct{}
	// startWindow limits the start orders in flight.
	startWindow *aimd.Window
	// isStartLimited is true if the limit of start orders in flight has kept placed runs back.
	isStartLimited bool
	// startResponses estimates when the response to a start order is overdue.
	startResponses *rtrip.Estimator
	// appendTimeout is the timeout of an append of records. Only takeOver and commitLoop use it.
	appendTimeout *rtrip.Estimator
	// repeats has the same users.
	repeats repeats
	// startDelays and planTimes have what discoverLoop reports about starts and plans.
	startDelays *delay.Sums
	planTimes   planTimes
	// appendTimes, startTimes and listTimes are the answered appends of records, start orders, and holds and queries.
	// Their sizes are bytes, 0 and ends.
	appendTimes, startTimes, listTimes callTimes
	// querying has the executors that a query is sent to.
	querying map[string]bool
	wg       sync.WaitGroup
	// storingSince is when the store was given the records under way, or last took some of them; 0 if none are under way.
	storingSince tick.Time
	// sequence is the sequence number of the next append of records. It is not advanced by fence, which appends none.
	sequence uint64
}

// Run runs a term until the context ends, the term is fenced by a higher epoch, or its changes cannot be stored.
func (l *Leader) Run(ctx context.Context, t elect.Term) error {
	parent := ctx
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	tm := &term{
		Leader: l, epoch: t.Epoch, planWake: make(chan struct{}, 1), commitWake: make(chan struct{}, 1),
		startWake: make(chan struct{}, 1), discoverWake: make(chan struct{}, 1),
		adviceWake: make(chan struct{}, 1), placementWake: make(chan struct{}, 1),
		failed: make(chan error, 1), holdSenders: map[string]*holdSender{},
		orderSemaphore: make(chan struct{}, maxOrders),
		startWindow:    aimd.New(maxStarts, slowOrder).WithQueue(maxQueuedStarts, startsPerSecond),
		startResponses: rtrip.New(minOverdue, orderTimeout), querying: map[string]bool{},
		appendTimeout:  rtrip.New(minAppendTimeout, callTimeout),
		evacuationGate: fresh.New(maxEvacuationsAge, l.opts.EvacuateWithin), startDelays: delay.New(),
	}
	l.noteTerm(t)
	if err := tm.takeOver(ctx, t); err != nil {
		return err
	}
	tm.spawn(ctx, tm.planLoop)
	tm.spawn(ctx, tm.startLoop)
	tm.spawn(ctx, tm.commitLoop)
	tm.spawn(ctx, tm.discoverLoop)
	tm.spawn(ctx, tm.configLoop)
	if l.opts.Advisor != nil {
		tm.spawn(ctx, tm.adviceLoop)
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-tm.failed:
	}
	cancel()
	tm.wg.Wait()
	l.endTerm()
	if err != nil && !isFencedError(err) {
		tick.Pause(parent, commitFailurePause)
	}
	return err
}

// fail ends the term because of the error.
func (t *term) fail(err error) {
	select {
	case t.failed <- err:
	default:
	}
}

// spawn runs f in a goroutine that Run waits for.
func (t *term) spawn(ctx context.Context, f func(ctx context.Context)) {
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		f(ctx)
	}()
}

// setTerm sets the term that Show and Waiting read from.
func (l *Leader) setTerm(t *term) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term = t
}

// endTerm stops observing the replica and clears the term. It keeps the lease ends, which the resignation states.
func (l *Leader) endTerm() {
	l.opts.Replica.Observe(nil)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastLeaseEnds = l.term.leaseEnds()
	l.term = nil
}

// noteTerm keeps the lease ends that the former leader has stated, which LeaseEnds returns until this one has taken
// over.
func (l *Leader) noteTerm(t elect.Term) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastEpoch, l.lastLeaseEnds = t.Epoch, t.StatedLeaseEnds
}

// LeaseEnds returns by when the leases will have expired that the leaders up to that of the epoch, a term of this
// instance, have granted, or nil if that is unknown. The term must have been yielded or have ended, as later orders
// would be missing otherwise.
func (l *Leader) LeaseEnds(epoch uint64) expiry.Times {
	if t := l.currentTerm(); t != nil && t.epoch == epoch {
		return t.leaseEnds()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastEpoch != epoch {
		return nil
	}
	return l.lastLeaseEnds
}

// leaseEnds returns the lease ends that the cell knows.
func (t *term) leaseEnds() expiry.Times {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cell.LeaseEnds()
}

func (l *Leader) currentTerm() *term {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term
}

// acceptJob applies an intake record to the cell. The replica calls it with its mutex held, so it must not call the
// replica.
func (t *term) acceptJob(now tick.Time, id string, e *book.Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cell == nil {
		// takeOver has yet to load the jobs of the replica, which include this one.
		return
	}
	t.cell.Accept(now, e.Job)
	if e.Cancelled {
		t.cell.Cancel(now, id)
	}
	t.wakePlan()
	t.wakeCommit()
}

func (t *term) wakePlan() { wake.Send(t.planWake) }

func (t *term) wakeCommit() { wake.Send(t.commitWake) }

// Show returns the state of a job. It fails unless this instance is the leader.
func (l *Leader) Show(now tick.Time, id string) (jobpb.State, bool, error) {
	t := l.currentTerm()
	if t == nil || !l.opts.HoldsLease(now) {
		return jobpb.State_STATE_UNKNOWN, false, notLeaderError()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.cell.State(id)
	return s, ok, nil
}

// Waiting returns the number of jobs in a queue that have not started. It fails unless this instance is the leader.
func (l *Leader) Waiting(now tick.Time, q queue.Name) (int, error) {
	t := l.currentTerm()
	if t == nil || !l.opts.HoldsLease(now) {
		return 0, notLeaderError()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cell.Waiting(q), nil
}

func notLeaderError() error {
	return fault.New(fault.CodeNoOwner, fault.NotRun, "this instance does not lead the cell")
}

// configLoop passes each new configuration and each change of the evacuated domains to the cell.
func (t *term) configLoop(ctx context.Context) {
	for ctx.Err() == nil {
		changed := t.opts.Config.Changed()
		if cfg, ok := t.opts.Config.Current(); ok {
			t.mu.Lock()
			t.cell.Configure(cfg)
			t.applyEvacuations(tick.Now())
			namesUnnamed := t.cell.NamesUnnamedEntry()
			t.mu.Unlock()
			t.wakePlan()
			if namesUnnamed {
				wake.Send(t.discoverWake)
			}
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// discoverLoop keeps the executors of the cell up to date and runs a holdSender for each of them. It also reports the
// usage and has the model recorded.
func (t *term) discoverLoop(ctx context.Context) {
	reader := config.NewExecutorReader(t.opts.Log, t.decodeExecutor, t.opts.Logger)
	for round := 1; ctx.Err() == nil; round++ {
		sent := tick.Now()
		list, err := reader.Read(ctx, callTimeout)
		if err != nil && ctx.Err() == nil {
			t.opts.Logger.Warn().Err(err).Msg("discovery-read-failed")
		}
		t.mu.Lock()
		if err == nil {
			t.cell.DiscoverAsOf(tick.Now(), sent, list)
		}
		claimed := t.cell.UncheckedClaims()
		if round%diagnoseRounds == 0 {
			t.cell.Diagnose(tick.Now())
		}
		usage := t.cell.Usage(tick.Now())
		evacuations := t.cell.Evacuations()
		window, pending := t.startWindow.Limit(), t.startWindow.InFlight(tick.Now())
		if round%modelSaveRounds == 0 {
			t.cell.SaveModel()
		}
		ids := t.cell.Executors()
		delays, times := t.startDelays.Take(), t.planTimes
		appends, starts, lists := t.appendTimes, t.startTimes, t.listTimes
		t.planTimes, t.appendTimes, t.startTimes, t.listTimes = planTimes{}, callTimes{}, callTimes{}, callTimes{}
		t.mu.Unlock()
		t.startHoldSenders(ctx, ids)
		for _, id := range claimed {
			t.query(ctx, id)
		}
		t.logUsage(usage)
		t.logEvacuations(evacuations)
		t.logStartWindow(window, pending)
		t.logStartDelays(delays)
		t.logPlanTimes(times)
		t.logCallTimes(appends, starts, lists)
		t.wakePlan()
		t.wakeCommit()
		wake.Wait(ctx, t.discoverWake, discoveryInterval)
	}
}
