package cell

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

// bench is a cell with executors that answer every order at once.
type bench struct {
	t    *testing.T
	cell *Cell
	now  tick.Time
	ends map[string]uint64
}

const (
	benchWallMS = int64(1_700_000_000_000)
)

// unbounded lets a plan do all.
var unbounded = Allowance{MaxStarts: 1 << 20, IsSole: true}

func newBench(t *testing.T, executors ...queue.Executor) *bench {
	t.Helper()
	b := &bench{t: t, now: tick.Time(time.Hour), ends: map[string]uint64{}}
	b.cell = New(Params{
		MaxHold: 6 * time.Second, StopTimeout: 200 * time.Millisecond, Retention: time.Minute,
	}, 1, b.now)
	b.cell.Configure(&queue.Configuration{Version: 1, Queues: []queue.Queue{
		{Name: "q", Service: "svc", MaxAttempts: 3, StretchFactor: 2, TargetMS: 1000},
		{Name: "low", Service: "svc", MaxAttempts: 3, StretchFactor: 2, TargetMS: 1000, Priority: 2},
	}})
	b.cell.Discover(b.now, executors)
	b.commit()
	for _, e := range executors {
		b.held(e.ID)
	}
	return b
}

func machine(id string) queue.Executor {
	return queue.Executor{ID: id, Address: id, Service: "svc", MilliCPU: 64000, MemoryMB: 256000}
}

func (b *bench) commit() {
	b.t.Helper()
	batch, err := b.cell.Cut()
	assert.NilError(b.t, err)
	b.cell.Commit(b.now, batch)
}

// held tells the cell the lists of an executor.
func (b *bench) held(id string, rows ...orders.Running) {
	lists := orders.Lists{BornMS: 1, Running: rows}
	h, _, _ := b.cell.Hold(b.now, id)
	b.cell.Held(b.now, b.now, id, h, lists, orders.Reply{Outcome: orders.Done, ClockMS: 1000})
}

// plan returns the orders of a plan, and answers that all were carried out. Jobs that would begin are marked first.
func (b *bench) plan() []Order {
	b.t.Helper()
	list := b.answer(b.cell.Plan(b.now, benchWallMS, unbounded))
	b.commit()
	list = append(list, b.answer(b.cell.Plan(b.now, benchWallMS, unbounded))...)
	return list
}

func (b *bench) answer(list []Order) []Order {
	for _, o := range list {
		b.cell.Replied(b.now, o, orders.Reply{Outcome: orders.Done, ClockMS: 1000})
	}
	return list
}

func (b *bench) pass(d time.Duration) { b.now = b.now.Add(d) }

func (b *bench) accept(id, q string, steps ...*jobpb.Step) {
	b.cell.Accept(b.now, &jobpb.Job{Id: id, Queue: q, Service: "svc", Steps: steps})
}

func serving(image string) *jobpb.Step {
	return &jobpb.Step{Count: 1, MilliCpu: 8000, MemoryMb: 1000, LongRunning: true, TargetMs: 50, Image: image}
}

func filling(image string) *jobpb.Step {
	return &jobpb.Step{
		Count: 1, MilliCpu: 8000, MemoryMb: 1000, EstimateMs: 5000, Fills: true, Image: image, Checkpointing: true,
	}
}

func row(o Order, usage int64, percent int) orders.Running {
	return orders.Running{Run: o.Start.Run, Usage: usage, Percent: percent}
}

// fillingBesideServing starts a task that fills beside one that serves far below its target.
func fillingBesideServing(t *testing.T) (b *bench, s, f Order) {
	b = newBench(t, machine("x"))
	b.accept("s", "q", serving("web"))
	s = b.plan()[0]
	b.pass(time.Second)
	b.held("x", row(s, 12, 100))
	b.accept("f", "low", filling("sum"))
	return b, s, b.plan()[0]
}

func TestHaltsAllBesideALongMissedTarget(t *testing.T) {
	b, s, f := fillingBesideServing(t)
	// The model holds that the image adds nothing, and it is wrong.
	b.cell.interference.regressions["web"] = &regression{
		images: []string{"sum"}, weights: []float64{0}, normalMatrix: [][]float64{{1e9}}, normalVector: []float64{0},
	}
	paced := -1
	for range 8 {
		b.pass(400 * time.Millisecond)
		b.held("x", row(s, 300, 100), row(f, 8000, 10))
		for _, o := range b.plan() {
			if o.Pace != nil {
				paced = o.Pace.Percent
			}
		}
	}
	assert.Equal(t, paced, 0)
}

// TestCutsAgainOnlyOnceTheLastCutShows replays a tail beyond its target whose lists come faster than a pace shows in
// it, as they do under a load of short tasks: cuts on the same evidence took the whole pace of the filling tasks.
func TestCutsAgainOnlyOnceTheLastCutShows(t *testing.T) {
	b, s, f := fillingBesideServing(t)
	b.cell.params.PaceDelay = 100 * time.Millisecond
	// cutsBy counts the orders on pace within a second of looks at that interval; the tail is the same in each.
	cutsBy := func(tail int64, interval, span time.Duration) int {
		cuts := 0
		for end := b.now.Add(span); b.now.Before(end); {
			b.pass(interval)
			b.held("x", row(s, tail, 100), row(f, 8000, 10))
			for _, o := range b.plan() {
				if o.Pace != nil {
					cuts++
				}
			}
		}
		return cuts
	}
	assert.Equal(t, cutsBy(55, 50*time.Millisecond, 450*time.Millisecond), 1)
	assert.Equal(t, cutsBy(55, 50*time.Millisecond, 200*time.Millisecond), 1)
	// A tail that grows on is no old evidence.
	assert.Equal(t, cutsBy(80, 50*time.Millisecond, 50*time.Millisecond), 1)
}

func TestRepeatsAPaceWithoutAnswer(t *testing.T) {
	b, s, f := fillingBesideServing(t)
	sent := 0
	for range 4 {
		b.pass(400 * time.Millisecond)
		b.held("x", row(s, 400, 100), row(f, 8000, 10))
		for _, o := range b.cell.Plan(b.now, benchWallMS, unbounded) {
			if o.Pace != nil {
				sent++
				b.cell.Replied(b.now, o, orders.Reply{Outcome: orders.Unanswered})
			}
		}
	}
	assert.Assert(t, sent >= 3, "sent %d times", sent)
}

func TestAdmitsNothingBesideATargetThatIsNear(t *testing.T) {
	b := newBench(t, machine("x"))
	b.accept("s", "q", serving("web"))
	s := b.plan()[0]
	b.pass(time.Second)
	b.held("x", row(s, 49, 100))
	b.accept("f", "low", filling("sum"))
	assert.Equal(t, len(b.plan()), 0)
	b.pass(time.Second)
	b.held("x", row(s, 12, 100))
	assert.Equal(t, len(b.plan()), 1)
}

func TestLearnsWhichImagePresses(t *testing.T) {
	p := newInterferenceModel()
	s := &run{percent: 100, task: &task{step: &step{pb: serving("web")}}}
	now := tick.Time(time.Hour)
	p.baseMS["web"] = 10
	for i := range 200 {
		now = now.Add(500 * time.Millisecond)
		heavy, light := float64(i*7%5), float64(i*3%4)
		own := 0.4 + 0.2*math.Sin(float64(i)/5)
		load := own + 0.02*heavy
		s.usage = int64(10 / (1 - load))
		p.observe(now, s, map[string]float64{"heavy": heavy, "light": light})
	}
	heavy, light := p.weightOf(imagePair{"web", "heavy"}), p.weightOf(imagePair{"web", "light"})
	assert.Assert(t, heavy > 0.015 && heavy < 0.025, "heavy %.4f", heavy)
	assert.Assert(t, light < 0.004, "light %.4f", light)
}
