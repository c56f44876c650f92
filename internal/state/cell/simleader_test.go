package cell

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/state/aimd"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

// simLeader drives a cell as package leader does.
type simLeader struct {
	sim  *simulation
	cell *Cell
	// number counts the leaders from 0.
	number int
	epoch  uint64
	// token is the highest fencing token that the leader was offered.
	token uint64
	// nextHeartbeatAt is when the next heartbeat is stored, if the store is up.
	nextHeartbeatAt tick.Time
	// leaseUntil is when the leadership lease expires. An isolated leader continues to act until then.
	leaseUntil tick.Time
	// soleLeaderUntil is the time from which another leader may have taken over.
	soleLeaderUntil tick.Time
	// formerLeasesExpireAt is when the leases that former leaders have granted have expired.
	formerLeasesExpireAt tick.Time
	isKilled             bool
	// isIsolated is true if the leader reaches neither the store nor service discovery.
	isIsolated bool
	// isPartitioned is true if the leader reaches only the partitioned executors.
	isPartitioned bool
	// pausedUntil is when the process of the leader continues after a pause.
	pausedUntil  tick.Time
	isCommitting bool
	// unstoredSince is when the store last took records or there were none.
	unstoredSince tick.Time
	isHolding     map[string]bool
	isQuerying    map[string]bool
	// hasListed has the executors of which the leader has received a list.
	hasListed   map[string]bool
	nextHoldAt  map[string]tick.Time
	startWindow *aimd.Window
	// evacuated are the evacuated domains that the leader has read.
	evacuated []string
}

const (
	loopInterval = 20 * time.Millisecond
	simMaxStarts = 128
)

func (l *simLeader) loop() {
	if l.isKilled || l.cell.IsFenced() {
		return
	}
	if l.sim.now.Before(l.pausedUntil) {
		l.deliver(l.loop)
		return
	}
	l.sim.after(loopInterval, l.loop)
	if !l.isIsolated {
		if !l.sim.isStoreDown {
			l.leaseUntil = l.sim.now.Add(simLeaseDuration)
			l.soleLeaderUntil = l.sim.now.Add(simSoleLeaderDuration)
			l.heartbeat()
			l.readEvacuations()
		}
		l.discover()
	}
	if !l.sim.now.Before(l.leaseUntil) {
		return
	}
	l.cell.NoteHeartbeat(l.leaseUntil.Add(-simLeaseDuration))
	l.sendAll(l.cell.Plan(l.sim.now, l.sim.wallMS(),
		PlanLimits{
			MaxStarts: l.startWindow.Room(l.sim.now), IsSoleLeader: l.sim.now.Before(l.soleLeaderUntil),
			IsStoreStalled: l.isStoreStalled(),
		}))
	l.noteEvents()
	for _, x := range l.sim.execs {
		l.hold(x)
	}
	l.answerForeign()
	l.commit()
}

// heartbeat stores a heartbeat if one is due, which offers the next fencing token.
func (l *simLeader) heartbeat() {
	if l.sim.fenceEpoch != l.epoch || l.sim.now.Before(l.nextHeartbeatAt) {
		return
	}
	l.nextHeartbeatAt = l.sim.now.Add(simHeartbeatInterval)
	l.sim.highestToken++
	if !l.sim.fixedTokens[l.number] {
		l.token = l.sim.highestToken
		l.cell.NoteToken(orders.FencingToken(l.token))
	}
}

// startRecorded sends the start orders of placed runs whose record has just been stored.
func (l *simLeader) startRecorded() {
	isActive := !l.isKilled && !l.cell.IsFenced() && !l.sim.now.Before(l.pausedUntil) && l.sim.now.Before(l.leaseUntil)
	if !l.sim.startsBetweenPlans || !isActive {
		return
	}
	l.sendAll(l.cell.StartRecorded(l.sim.now, l.startWindow.Room(l.sim.now)))
	l.noteEvents()
}

func (l *simLeader) sendAll(list []Order) {
	slices.SortFunc(list, compareOrders)
	for _, o := range list {
		l.send(o)
	}
}

func (l *simLeader) noteEvents() {
	for _, e := range l.cell.Events() {
		l.sim.noteMove(e)
		if l.sim.onEvent != nil {
			l.sim.onEvent(e)
		}
		if *modelJob != "" && (e.Task.Job == *modelJob || e.Task.Job == "") {
			fmt.Printf("%8.3f epoch %d %+v\n", float64(l.sim.now)/1e9, l.epoch, e)
		}
	}
}

// simStallTimeout is how long the store may take for records until the leader treats it as stalled.
const simStallTimeout = 400 * time.Millisecond

// isStoreStalled reports whether records have been waiting for the store for simStallTimeout.
func (l *simLeader) isStoreStalled() bool {
	if !l.cell.HasChanges() && !l.isCommitting {
		l.unstoredSince = l.sim.now
	}
	return l.sim.now.Sub(l.unstoredSince) >= simStallTimeout
}

// compareOrders sorts the orders of a plan, whose sequence is random, so that schedules are reproducible.
func compareOrders(a, b Order) int {
	return strings.Compare(orderKey(a), orderKey(b))
}

func orderKey(o Order) string {
	switch {
	case o.Start != nil:
		return fmt.Sprintf("%s start %v", o.Target.ID, o.Start.Run)
	case o.Stop != nil:
		return fmt.Sprintf("%s stop %v", o.Target.ID, o.Stop.Run)
	}
	return fmt.Sprintf("%s pace %v", o.Target.ID, o.Pace.Run)
}

func (l *simLeader) discover() {
	if l.sim.entries != nil && l.sim.isStoreDown {
		return
	}
	var list []queue.Executor
	for _, x := range l.sim.execs {
		if l.sim.isEntryMissing(x) {
			continue
		}
		list = append(list, x.entry())
	}
	l.cell.Discover(l.sim.now, l.sim.foreign.apply(list))
	for _, id := range l.cell.UncheckedClaims() {
		l.query(id)
	}
}

// query requests the lists of an executor, besides its hold.
func (l *simLeader) query(id string) {
	h, to, ok := l.cell.Query(id)
	if !ok || l.isQuerying[id] {
		return
	}
	sim, x := l.sim, l.executor(id)
	l.isQuerying[id] = true
	sent := sim.now
	finish := func(lists orders.Lists, r orders.Reply) {
		delete(l.isQuerying, id)
		if !l.isKilled {
			l.cell.HandleQueryReply(sim.now, sent, to, h, lists, r)
		}
	}
	answering, isOther := sim.processFor(x, to.Address)
	sim.call(l, answering, simCall{
		kind: holdCall(h), hold: h,
		handle: func() func() func() {
			if isOther || sim.processAt(x) != x {
				return answer(func() { finish(orders.Lists{}, orders.Reply{Outcome: orders.OtherIncarnation}) })
			}
			lists, r := x.hold(h)
			return answer(func() { finish(lists, r) })
		},
		onTimeout: func() { finish(orders.Lists{}, orders.Reply{Outcome: orders.NoResponse}) },
	})
}

// isEntryMissing reports whether service discovery does not list the executor.
func (sim *simulation) isEntryMissing(x *simExecutor) bool {
	if sim.entries != nil {
		_, ok := sim.entries.entry(x)
		return !ok
	}
	if sim.hasDiscovery {
		isUnwritten := x.isDown || sim.now.Before(x.cutOffUntil)
		return isUnwritten && !sim.now.Before(x.entryExpiresAt)
	}
	return x.isDown && sim.rnd.IntN(2) == 0
}

// entry returns the executor's entry in service discovery.
func (x *simExecutor) entry() queue.Executor {
	if x.sim.entries != nil {
		e, _ := x.sim.entries.entry(x)
		return e
	}
	return x.currentEntry()
}

// currentEntry returns the entry that the executor would write now.
func (x *simExecutor) currentEntry() queue.Executor {
	e := queue.Executor{
		ID: x.id, Address: x.address, Service: "svc", Labels: x.labels, Domain: x.domain,
		ColdRemainingMS: max(0, x.warmUp-x.sim.now.Sub(x.startedAt)).Milliseconds(),
		MilliCPU:        x.total.milliCPU, MemoryMB: x.total.memoryMB,
	}
	if x.sim.hasDiscovery {
		e.StartedMS = x.entryStartedMS
	}
	if x.leavesAt != 0 {
		e.Draining = true
		e.RemainingMS = max(0, x.leavesAt.Sub(x.sim.now).Milliseconds())
	}
	return e
}

func (l *simLeader) executor(id string) *simExecutor {
	for _, x := range l.sim.execs {
		if x.id == id {
			return x
		}
	}
	return nil
}

// send sends the order, unless it waits for a connection and may no longer be sent then.
func (l *simLeader) send(o Order) {
	wait := l.sim.kinds.connectionWait(o)
	if wait == 0 {
		l.transmit(o)
		return
	}
	l.sim.after(wait, func() {
		switch {
		case l.isKilled:
		case !l.sim.now.Before(l.leaseUntil) || l.cell.StartBlockedBy(l.sim.now, o) != "":
			l.cell.HandleReply(l.sim.now, o, orders.Reply{Outcome: orders.Withheld})
		default:
			l.transmit(o)
		}
	})
}

func (l *simLeader) transmit(o Order) {
	x := l.executor(o.Target.ID)
	if o.Stop != nil {
		l.sim.stopCalls++
	}
	sent := l.sim.now
	l.sim.capacities.noteSent(o)
	if o.Start != nil {
		if slices.Contains(l.evacuated, x.domain) {
			l.sim.recordViolation("epoch %d orders %v in the evacuated domain %s", l.epoch, o.Start.Run, x.domain)
		}
		l.checkRamp(x)
		l.startWindow.Sent(sent)
	}
	reply := func(r orders.Reply) func() {
		return func() {
			if o.Start != nil {
				l.endStart(sent, r)
			}
			if !l.isKilled {
				l.cell.HandleReply(l.sim.now, o, r)
			}
		}
	}
	if o.Start != nil {
		l.sim.after(simOverdue, func() {
			l.deliver(func() {
				if !l.isKilled {
					l.cell.DoubtStart(l.sim.now, o)
				}
			})
		})
	}
	answering, isOther := l.sim.processFor(x, o.Target.Address)
	// The connection is to the process that runs when the order is sent.
	isForOther := o.Start != nil && o.Start.StartedMS != 0 && o.Start.StartedMS != answering.startedMS
	l.sim.call(l, answering, simCall{
		kind: orderCall(o), order: o,
		handle: func() func() func() {
			if isForOther {
				return answer(reply(orders.Reply{Outcome: orders.OtherProcess}))
			}
			if isOther || l.sim.processAt(x) != x {
				return answer(reply(orders.Reply{Outcome: orders.OtherIncarnation}))
			}
			return answer(reply(x.execute(o)))
		},
		onTimeout: reply(orders.Reply{Outcome: orders.NoResponse}),
	})
}

func (l *simLeader) endStart(sent tick.Time, r orders.Reply) {
	if r.Outcome == orders.NoResponse {
		l.startWindow.Failed(l.sim.now, sent)
		return
	}
	l.startWindow.Answered(l.sim.now, sent)
}

func (l *simLeader) hold(x *simExecutor) {
	sim := l.sim
	if l.isHolding[x.id] || sim.now.Before(l.nextHoldAt[x.id]) {
		return
	}
	h, target, pause := l.cell.Hold(sim.now, x.id)
	if target.ID == "" {
		return
	}
	if pause > 0 {
		l.nextHoldAt[x.id] = sim.now.Add(min(pause, 100*time.Millisecond))
		return
	}
	l.isHolding[x.id] = true
	sent := sim.now
	finish := func(lists orders.Lists, r orders.Reply) {
		l.isHolding[x.id] = false
		l.nextHoldAt[x.id] = sim.now.Add(150 * time.Millisecond)
		if !l.isKilled {
			l.cell.HandleHoldReply(sim.now, sent, x.id, h, lists, r)
		}
	}
	wait := time.Duration(0)
	if sim.hasLongPolls {
		wait = h.Wait
	}
	answering, isOther := sim.processFor(x, target.Address)
	if isOther {
		wait = 0
	}
	isRejected := false
	sim.call(l, answering, simCall{
		kind: holdCall(h), hold: h, wait: wait,
		isReady: func() bool { return isRejected || len(x.ended) > 0 || sim.processAt(x) != x },
		// The lease is extended at once, and only the response is delayed.
		handle: func() func() func() {
			if isOther || sim.processAt(x) != x {
				return answer(func() { finish(orders.Lists{}, orders.Reply{Outcome: orders.OtherIncarnation}) })
			}
			r := x.acceptHold(h)
			isRejected = r.Outcome != orders.Done
			return func() func() {
				if isRejected {
					return func() { finish(orders.Lists{}, r) }
				}
				if sim.processAt(x) != x {
					return func() { finish(orders.Lists{}, orders.Reply{Outcome: orders.OtherIncarnation}) }
				}
				x.endExpiredRuns()
				lists, done := x.lists(), orders.Reply{ClockMS: x.clockMS(), Outcome: orders.Done}
				return func() { finish(lists, done) }
			}
		},
		onTimeout: func() { finish(orders.Lists{}, orders.Reply{Outcome: orders.NoResponse}) },
	})
}

func (l *simLeader) commit() {
	if l.isCommitting || !l.cell.HasChanges() || l.sim.isStoreDown || l.isIsolated {
		return
	}
	b, err := l.cell.NextBatch()
	if err != nil {
		l.sim.recordViolation("build batch of records: %v", err)
		return
	}
	l.isCommitting = true
	longest := 40 * time.Millisecond
	if l.sim.chance(0.2) {
		longest = 600 * time.Millisecond
	}
	l.sim.after(l.sim.randomDuration(5*time.Millisecond, longest), func() {
		if l.sim.fenceEpoch > l.epoch {
			l.isCommitting = false
			return
		}
		for _, r := range l.storable(b.Records) {
			if err := l.sim.book.Progress(r); err != nil {
				l.sim.recordViolation("apply progress record: %v", err)
			}
		}
		l.deliver(func() {
			l.isCommitting = false
			l.unstoredSince = l.sim.now
			if !l.isKilled {
				l.cell.Commit(l.sim.now, b)
				l.startRecorded()
			}
		})
	})
}
