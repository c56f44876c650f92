package cell

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/state/book"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

// modelLead drives a cell as the lead service does.
type modelLead struct {
	w     *world
	cell  *Cell
	epoch uint64
	// rightUntil is when it must stop acting; a lead that is cut off acts until then.
	rightUntil tick.Time
	// soleUntil is when another lead may have claimed.
	soleUntil tick.Time
	isOver    bool
	isCutOff  bool
	// isInside means that it reaches just the executors that are cut off.
	isInside   bool
	committing bool
	holding    map[string]bool
	nextHold   map[string]tick.Time
}

func (w *world) current() *modelLead { return w.leads[len(w.leads)-1] }

func (w *world) newLead(safeAt tick.Time) *modelLead {
	l := &modelLead{
		w: w, epoch: uint64(len(w.leads)*3 + 1), rightUntil: w.now.Add(worldRight),
		holding: map[string]bool{}, nextHold: map[string]tick.Time{},
	}
	l.cell = New(w.params, l.epoch, safeAt)
	l.cell.Configure(w.config)
	w.fence = l.epoch
	w.book.Roster(l.cell.LoadRoster)
	w.book.Jobs(func(e *book.Entry) { l.cell.Load(w.now, w.wallMS(), e) })
	w.leads = append(w.leads, l)
	l.loop()
	return l
}

const loopInterval = 20 * time.Millisecond

func (l *modelLead) loop() {
	if l.isOver || l.cell.IsFenced() {
		return
	}
	l.w.after(loopInterval, l.loop)
	if !l.isCutOff {
		if !l.w.storeDown {
			l.rightUntil = l.w.now.Add(worldRight)
			l.soleUntil = l.w.now.Add(worldSole)
		}
		l.discover()
	}
	if !l.w.now.Before(l.rightUntil) {
		return
	}
	list := l.cell.Plan(l.w.now, l.w.wallMS(), Allowance{MaxStarts: 1 << 20, IsSole: l.w.now.Before(l.soleUntil)})
	slices.SortFunc(list, compareOrders)
	for _, o := range list {
		l.send(o)
	}
	for _, e := range l.cell.Events() {
		if *modelJob != "" && (e.Task.Job == *modelJob || e.Task.Job == "") {
			fmt.Printf("%8.3f epoch %d %+v\n", float64(l.w.now)/1e9, l.epoch, e)
		}
	}
	for _, x := range l.w.execs {
		l.hold(x)
	}
	l.commit()
}

// compareOrders makes schedules repeatable, since the order of a plan's orders is not.
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

func (l *modelLead) discover() {
	var list []queue.Executor
	for _, x := range l.w.execs {
		if x.isDown && l.w.rnd.IntN(2) == 0 {
			continue
		}
		list = append(list, queue.Executor{
			ID: x.id, Address: x.id, Service: "svc", Labels: x.labels,
			MilliCPU: x.room.milliCPU, MemoryMB: x.room.memoryMB,
		})
	}
	l.cell.Discover(l.w.now, list)
}

func (l *modelLead) executor(id string) *modelExec {
	for _, x := range l.w.execs {
		if x.id == id {
			return x
		}
	}
	return nil
}

func (l *modelLead) send(o Order) {
	x := l.executor(o.Target.ID)
	reply := func(r orders.Reply) func() {
		return func() {
			if !l.isOver {
				l.cell.Replied(l.w.now, o, r)
			}
		}
	}
	l.w.call(l, x, func() func() {
		switch {
		case o.Start != nil:
			return reply(x.start(*o.Start))
		case o.Stop != nil:
			return reply(x.stop(*o.Stop))
		}
		return reply(orders.Reply{Outcome: orders.Done, ClockMS: x.clock()})
	}, reply(orders.Reply{Outcome: orders.Unanswered}))
}

func (l *modelLead) hold(x *modelExec) {
	w := l.w
	if l.holding[x.id] || w.now.Before(l.nextHold[x.id]) {
		return
	}
	h, target, pause := l.cell.Hold(w.now, x.id)
	if target.ID == "" {
		return
	}
	if pause > 0 {
		l.nextHold[x.id] = w.now.Add(min(pause, 100*time.Millisecond))
		return
	}
	l.holding[x.id] = true
	sent := w.now
	finish := func(lists orders.Lists, r orders.Reply) {
		l.holding[x.id] = false
		l.nextHold[x.id] = w.now.Add(150 * time.Millisecond)
		if !l.isOver {
			l.cell.Held(w.now, sent, x.id, h, lists, r)
		}
	}
	w.call(l, x, func() func() {
		lists, r := x.hold(h)
		return func() { finish(lists, r) }
	}, func() { finish(orders.Lists{}, orders.Reply{Outcome: orders.Unanswered}) })
}

func (l *modelLead) commit() {
	if l.committing || !l.cell.HasChanges() || l.w.storeDown || l.isCutOff {
		return
	}
	b, err := l.cell.Cut()
	if err != nil {
		l.w.fail("cut: %v", err)
		return
	}
	l.committing = true
	longest := 40 * time.Millisecond
	if l.w.chance(0.2) {
		longest = 600 * time.Millisecond
	}
	l.w.after(l.w.between(5*time.Millisecond, longest), func() {
		l.committing = false
		if l.w.fence > l.epoch {
			return
		}
		for _, r := range b.Records {
			if err := l.w.book.Progress(r); err != nil {
				l.w.fail("record: %v", err)
			}
		}
		if !l.isOver {
			l.cell.Commit(l.w.now, b)
		}
	})
}

// takeover replaces the lead: the former one is killed, or goes on without the store until its right ends.
func (w *world) takeover() {
	old := w.current()
	lastBeat := w.now
	if w.rnd.IntN(3) == 0 {
		old.isCutOff = true
	} else {
		old.isOver = true
	}
	w.after(worldSilence, func() {
		until := lastBeat.Add(worldRight)
		w.newLead(until.Add(w.params.LongestLease()))
	})
}

// cutZone cuts a third of the executors off, with the lead or without it.
func (w *world) cutZone() {
	for i, x := range w.execs {
		x.isCut = i%3 == 0
	}
	if w.rnd.IntN(2) == 0 {
		old := w.current()
		old.isCutOff, old.isInside = true, true
		lastBeat := w.now
		w.after(worldSilence, func() {
			until := lastBeat.Add(worldRight)
			w.newLead(until.Add(w.params.LongestLease()))
		})
	}
	w.after(w.between(time.Second, 9*time.Second), func() {
		for _, x := range w.execs {
			x.isCut = false
		}
		for _, l := range w.leads {
			l.isInside = false
		}
	})
}

func (w *world) submit(j *jobpb.Job) {
	w.jobs[j.Id] = j
	j.AcceptedMs = w.wallMS()
	rec, err := intakeRecord(book.JobKey(j.Id), &jobpb.Intake{Job: j})
	if err != nil {
		w.fail("submit: %v", err)
		return
	}
	w.intake(rec)
}

func (w *world) cancel(id string) {
	rec, err := intakeRecord(book.CancelKey(id), &jobpb.Intake{Cancel: true})
	if err != nil {
		w.fail("cancel: %v", err)
		return
	}
	w.cancelled[id] = w.now
	w.intake(rec)
}

func (w *world) intake(rec logs.Record) {
	id, err := w.book.Intake(rec)
	if err != nil {
		w.fail("intake: %v", err)
		return
	}
	e, ok := w.book.Job(id)
	l := w.current()
	if !ok || l.isOver || l.isCutOff {
		return
	}
	l.cell.Accept(w.now, e.Job)
	if e.Cancelled {
		l.cell.Cancel(w.now, id)
	}
}

func newWorld(seed uint64, f faults) *world {
	w := &world{
		rnd: rand.New(rand.NewPCG(seed, 7)), faults: f, book: book.New(), jobs: map[string]*jobpb.Job{},
		done: map[orders.Task]bool{}, acked: map[orders.Task]bool{}, cancelled: map[string]tick.Time{},
		params: Params{
			MaxHold: worldMaxHold, StopTimeout: worldStop, Interference: 4 * time.Second, Retention: time.Minute,
		},
	}
	w.now = tick.Time(time.Second)
	w.config = &queue.Configuration{Version: 1, Queues: []queue.Queue{
		{Name: "q", Service: "svc", MaxAttempts: 4, StretchFactor: 2, TargetMS: 1000},
	}}
	for i := range 6 {
		x := &modelExec{
			w: w, id: fmt.Sprintf("x%d", i), labels: []string{string(rune('a' + i%2))},
			room: resources{milliCPU: 16000, memoryMB: 64000}, rate: 0.98 + 0.02*w.rnd.Float64(), guards: w.rnd.IntN(2) == 0,
		}
		x.restart()
		w.execs = append(w.execs, x)
	}
	w.newLead(w.now)
	return w
}

// randomJob draws a job.
func (w *world) randomJob(i int) *jobpb.Job {
	j := &jobpb.Job{Id: fmt.Sprintf("%016x", i), Queue: "q", Service: "svc", Spec: "s"}
	for n := range 1 + w.rnd.IntN(3) {
		s := &jobpb.Step{
			Count: uint32(1 + w.rnd.IntN(4)), MilliCpu: uint32(500 + w.rnd.IntN(4000)), MemoryMb: 1000,
			EstimateMs: uint32(200 + w.rnd.IntN(2500)), Checkpointing: w.rnd.IntN(2) == 0,
		}
		if n > 0 {
			s.DependsOn = []uint32{uint32(w.rnd.IntN(n))}
		}
		if w.rnd.IntN(4) == 0 {
			s.MaxPerExecutor = 1
		}
		if w.rnd.IntN(5) == 0 {
			s.RequiresLabel = "a"
		}
		j.Steps = append(j.Steps, s)
	}
	if w.rnd.IntN(6) == 0 {
		j.Steps = []*jobpb.Step{{Count: 2, MilliCpu: 1000, MemoryMb: 500, LongRunning: true, TargetMs: 50, Image: "i"}}
	}
	return j
}
