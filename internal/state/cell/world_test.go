package cell

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/state/book"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

// The world of the model: executors that obey the published protocol and misbehave by seed, leads that follow each
// other, and a checker of what the users are promised. Time is virtual.

const (
	worldRight    = 5 * time.Second
	worldSilence  = 1600 * time.Millisecond
	worldSole     = 1400 * time.Millisecond
	worldMaxHold  = 6 * time.Second
	worldStop     = 200 * time.Millisecond
	worldEpochMS  = int64(1_700_000_000_000)
	worldCallTime = 800 * time.Millisecond
)

type event struct {
	at  tick.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// faults are the chances and switches of one schedule.
type faults struct {
	loseRequest, loseAnswer, late float64
	failShare                     float64
}

type world struct {
	rnd    *rand.Rand
	now    tick.Time
	seq    int
	queue  events
	params Params
	faults faults
	book   *book.Book
	fence  uint64
	config *queue.Configuration
	execs  []*modelExec
	leads  []*modelLead
	jobs   map[string]*jobpb.Job
	// ends has for each task how its runs ended, in order; done is set once a run ended so.
	done map[orders.Task]bool
	// acked has the tasks whose end as done an executor was told to forget.
	acked     map[orders.Task]bool
	cancelled map[string]tick.Time
	storeDown bool
	broken    []string
	starts    int
}

func (w *world) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now.Add(d), w.seq, f})
}

func (w *world) run(until time.Duration) {
	end := tick.Time(until)
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (w *world) wallMS() int64 { return worldEpochMS + int64(w.now)/int64(time.Millisecond) }

func (w *world) fail(format string, args ...any) {
	if len(w.broken) < 20 {
		w.broken = append(w.broken, fmt.Sprintf("%8.3f ", float64(w.now)/1e9)+fmt.Sprintf(format, args...))
	}
}

func (w *world) chance(p float64) bool { return p > 0 && w.rnd.Float64() < p }

// between draws a duration.
func (w *world) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(w.rnd.Int64N(int64(hi-lo)+1))
}

// modelExec is an executor.
type modelExec struct {
	w      *world
	id     string
	labels []string
	room   resources
	// guards means that it refuses what does not fit.
	guards bool
	bornMS int64
	bornAt tick.Time
	rate   float64
	token  uint64
	runs   map[orders.Task]*modelRun
	// barred has for each task the highest run that was stopped or has ended here.
	barred    map[orders.Task]uint64
	ended     []orders.Ended
	count     uint64
	deadline  int64
	isDown    bool
	isCut     bool
	hangUntil tick.Time
	isGrey    bool
}

type modelRun struct {
	id      orders.Run
	step    *jobpb.Step
	left    time.Duration
	total   time.Duration
	from    tick.Time
	checkpt string
}

func (x *modelExec) clock() int64 {
	return 1000 + int64(float64(x.w.now-x.bornAt)*x.rate/float64(time.Millisecond))
}

func (x *modelExec) restart() {
	x.bornMS = x.w.wallMS()
	x.bornAt = x.w.now
	x.token, x.count, x.deadline = 0, 0, 0
	x.ended = nil
	x.runs = map[orders.Task]*modelRun{}
	x.barred = map[orders.Task]uint64{}
}

func (x *modelExec) crash(down time.Duration) {
	x.isDown = true
	x.runs = map[orders.Task]*modelRun{}
	x.w.after(down, func() {
		x.isDown = false
		x.restart()
	})
}

// lapse ends everything whose lease is over.
func (x *modelExec) lapse() {
	if len(x.runs) == 0 || x.clock() < x.deadline {
		return
	}
	for _, t := range x.sorted() {
		x.end(x.runs[t], orders.EndedLapsed)
	}
}

// sorted returns the tasks of the runs in a fixed order.
func (x *modelExec) sorted() []orders.Task {
	return slices.SortedFunc(maps.Keys(x.runs), func(a, b orders.Task) int {
		return cmp.Or(strings.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
}

func (x *modelExec) extend(ms int64) {
	limit := x.clock() + x.w.params.MaxHold.Milliseconds()
	x.deadline = max(x.deadline, min(ms, limit))
}

func (x *modelExec) end(r *modelRun, how orders.Ending) {
	if x.runs[r.id.Task] != r {
		return
	}
	delete(x.runs, r.id.Task)
	x.count++
	x.barred[r.id.Task] = max(x.barred[r.id.Task], r.id.Number)
	saved := ""
	if r.step.Checkpointing && how != orders.EndedDone {
		saved = fmt.Sprintf("%s-%d", r.id.Task.Job, r.id.Task.Index)
	}
	x.ended = append(x.ended, orders.Ended{Number: x.count, Run: r.id, How: how, Checkpoint: saved})
	if how == orders.EndedDone {
		x.w.done[r.id.Task] = true
	}
}

func (x *modelExec) start(o orders.Start) orders.Reply {
	x.lapse()
	reply := orders.Reply{ClockMS: x.clock()}
	if o.Epoch < x.token {
		reply.Outcome = orders.Fenced
		return reply
	}
	x.token = o.Epoch
	if r, ok := x.runs[o.Run.Task]; ok && r.id == o.Run {
		reply.Outcome = orders.Done
		return reply
	}
	step := x.w.stepOf(o.Run.Task)
	switch {
	case x.barred[o.Run.Task] >= o.Run.Number || x.runs[o.Run.Task] != nil:
		x.extend(o.DeadlineMS)
		reply.Outcome = orders.Outdated
	case o.DeadlineMS <= x.clock():
		reply.Outcome = orders.Late
	case x.guards && !x.room.minus(x.used()).covers(resourcesOf(step)):
		x.extend(o.DeadlineMS)
		reply.Outcome = orders.NoRoom
	default:
		x.extend(o.DeadlineMS)
		x.begin(o, step)
		reply.Outcome = orders.Done
	}
	return reply
}

func (x *modelExec) used() resources {
	sum := resources{}
	for _, r := range x.runs {
		sum = sum.plus(resourcesOf(r.step))
	}
	return sum
}

func (x *modelExec) begin(o orders.Start, step *jobpb.Step) {
	w := x.w
	w.starts++
	w.checkStart(x, o, step)
	total := time.Duration(float64(step.EstimateMs)*(0.6+w.rnd.Float64())) * time.Millisecond
	r := &modelRun{id: o.Run, step: step, left: total, total: total, from: w.now, checkpt: o.Checkpoint}
	x.runs[o.Run.Task] = r
	if step.LongRunning {
		return
	}
	how := orders.EndedDone
	if x.isGrey || w.chance(w.faults.failShare) {
		how = orders.EndedFailed
	}
	x.finishLater(r, how)
}

// finishLater ends the run when its work is done, later by the time for which the executor stands still.
func (x *modelExec) finishLater(r *modelRun, how orders.Ending) {
	x.w.after(r.left, func() {
		if x.runs[r.id.Task] != r {
			return
		}
		if x.hangUntil.After(x.w.now) {
			r.left = x.hangUntil.Sub(x.w.now) + time.Millisecond
			x.finishLater(r, how)
			return
		}
		x.lapse()
		x.end(r, how)
	})
}

func (x *modelExec) stop(o orders.Stop) orders.Reply {
	x.lapse()
	reply := orders.Reply{ClockMS: x.clock(), Outcome: orders.Done}
	if o.Epoch < x.token {
		reply.Outcome = orders.Fenced
		return reply
	}
	x.token = o.Epoch
	x.barred[o.Run.Task] = max(x.barred[o.Run.Task], o.Run.Number)
	if r, ok := x.runs[o.Run.Task]; ok && r.id.Number <= o.Run.Number {
		x.w.after(x.w.between(0, worldStop), func() { x.end(r, orders.EndedStopped) })
	}
	return reply
}

func (x *modelExec) hold(o orders.Hold) (orders.Lists, orders.Reply) {
	x.lapse()
	reply := orders.Reply{ClockMS: x.clock(), Outcome: orders.Done}
	if o.Epoch < x.token {
		reply.Outcome = orders.Fenced
		return orders.Lists{}, reply
	}
	x.token = o.Epoch
	if o.DeadlineMS > 0 {
		x.extend(o.DeadlineMS)
	}
	for len(x.ended) > 0 && x.ended[0].Number <= o.AckCursor {
		if e := x.ended[0]; e.How == orders.EndedDone {
			x.w.acked[e.Run.Task] = true
		}
		x.ended = x.ended[1:]
	}
	l := orders.Lists{BornMS: x.bornMS, Ended: append([]orders.Ended(nil), x.ended...)}
	for _, t := range x.sorted() {
		r := x.runs[t]
		progress := 100
		if !r.step.LongRunning && !x.hangUntil.After(x.w.now) {
			progress = int(min(99, 100*x.w.now.Sub(r.from)/max(1, r.total)))
		} else if !r.step.LongRunning {
			progress = 0
		}
		l.Running = append(l.Running, orders.Running{Run: r.id, Percent: progress})
	}
	return l, reply
}

// call carries a call to an executor and its answer back, or loses either.
func (w *world) call(l *modelLead, x *modelExec, deliver func() func(), lost func()) {
	answered := false
	w.after(worldCallTime, func() {
		if !answered {
			answered = true
			lost()
		}
	})
	if !w.reaches(l, x) || w.chance(w.faults.loseRequest) {
		return
	}
	delay := w.between(time.Millisecond, 5*time.Millisecond)
	isLate := w.chance(w.faults.late)
	if isLate {
		delay = w.between(2*time.Second, 12*time.Second)
	}
	born := x.bornMS
	w.after(delay, func() {
		if x.isDown || x.bornMS != born || x.isCut {
			return
		}
		back := deliver()
		if isLate || w.chance(w.faults.loseAnswer) {
			return
		}
		w.after(w.between(time.Millisecond, 5*time.Millisecond), func() {
			if answered || !w.reaches(l, x) {
				return
			}
			answered = true
			back()
		})
	})
}

func (w *world) reaches(l *modelLead, x *modelExec) bool {
	return !x.isDown && x.isCut == l.isInside
}

func (w *world) stepOf(t orders.Task) *jobpb.Step { return w.jobs[t.Job].Steps[t.Step] }

// checkStart checks what is promised of each start.
func (w *world) checkStart(x *modelExec, o orders.Start, step *jobpb.Step) {
	t := o.Run.Task
	same := 0
	for _, y := range w.execs {
		if y.isDown {
			continue
		}
		if len(y.runs) > 0 && y.clock() >= y.deadline {
			y.lapse()
		}
		if r, ok := y.runs[t]; ok {
			w.fail("task %v runs on %s as %d and begins on %s as %d", t, y.id, r.id.Number, x.id, o.Run.Number)
		}
	}
	for _, r := range x.runs {
		if r.id.Task.Job == t.Job && r.id.Task.Step == t.Step {
			same++
		}
	}
	if w.acked[t] {
		w.fail("task %v begins after its end as done was acknowledged", t)
	}
	if step.MaxPerExecutor > 0 && same >= int(step.MaxPerExecutor) {
		w.fail("task %v is beside %d of its step", t, same)
	}
	if !x.guards && !x.room.minus(x.used()).covers(resourcesOf(step)) {
		w.fail("run %v brings %s over its room %v: %v by epoch %d", o.Run, x.id, x.room, x.used(), o.Epoch)
	}
	if step.RequiresLabel != "" && x.labels[0] != step.RequiresLabel {
		w.fail("task %v needs label %s", t, step.RequiresLabel)
	}
	for _, d := range step.DependsOn {
		for i := range w.jobs[t.Job].Steps[d].Count {
			if !w.done[orders.Task{Job: t.Job, Occurrence: t.Occurrence, Step: d, Index: i}] {
				w.fail("task %v begins before step %d is done", t, d)
			}
		}
	}
	if at, ok := w.cancelled[t.Job]; ok && w.now.Sub(at) > 15*time.Second {
		w.fail("task %v begins after its cancel", t)
	}
}
