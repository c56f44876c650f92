package cell

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/state/book"
)

var (
	modelSeeds = flag.Int("model-seeds", 150, "schedules of TestModel")
	modelFirst = flag.Uint64("model-first", 1, "the first seed of TestModel")
	modelJob   = flag.String("model-job", "", "a job whose events TestModel prints")
)

func intakeRecord(key string, in *jobpb.Intake) (logs.Record, error) {
	v, err := proto.Marshal(in)
	return logs.Record{Key: key, Value: v}, err
}

// schedule draws the faults of a seed and plays them.
func schedule(seed uint64) *world {
	w := newWorld(seed, faults{})
	kinds := w.rnd.IntN(64)
	f := &w.faults
	if kinds&1 != 0 {
		f.loseRequest = 0.03
	}
	if kinds&2 != 0 {
		f.loseAnswer = 0.05
	}
	if kinds&4 != 0 {
		f.late = 0.06
	}
	f.failShare = 0.02
	const length = 30 * time.Second
	for i := range 40 {
		w.after(w.between(0, length), func() {
			j := w.randomJob(i)
			w.submit(j)
			if w.chance(0.2) || j.Steps[0].LongRunning {
				w.after(w.between(0, 8*time.Second), func() { w.cancel(j.Id) })
			}
		})
	}
	if kinds&8 != 0 {
		for range 1 + w.rnd.IntN(3) {
			w.after(w.between(2*time.Second, length), w.takeover)
		}
	}
	if kinds&16 != 0 {
		for range 1 + w.rnd.IntN(3) {
			x := w.execs[w.rnd.IntN(len(w.execs))]
			w.after(w.between(2*time.Second, length), func() { x.crash(w.between(300*time.Millisecond, 8*time.Second)) })
		}
	}
	if kinds&32 != 0 {
		w.after(w.between(2*time.Second, length), w.cutZone)
	}
	if w.rnd.IntN(3) == 0 {
		w.after(w.between(2*time.Second, length), func() {
			w.storeDown = true
			w.after(w.between(time.Second, 6*time.Second), func() { w.storeDown = false })
		})
	}
	if w.rnd.IntN(3) == 0 {
		x := w.execs[w.rnd.IntN(len(w.execs))]
		w.after(w.between(2*time.Second, length), func() { x.hangUntil = w.now.Add(5 * time.Second) })
	}
	w.after(length+10*time.Second, func() { w.faults = faults{} })
	w.run(length + 50*time.Second)
	w.checkEnd()
	return w
}

// checkEnd checks that every job has ended and that nothing runs that should not.
func (w *world) checkEnd() {
	l := w.current()
	for id, j := range w.jobs {
		state, ok := l.cell.State(id)
		if !ok {
			w.fail("job %s is lost", id)
			continue
		}
		if !book.IsFinal(state) && (!j.Steps[0].LongRunning || w.cancelled[id] != 0) {
			w.fail("job %s is %s at the end: %s", id, state, l.describe(id))
		}
	}
	for _, x := range w.execs {
		for _, r := range x.runs {
			if _, ok := w.cancelled[r.id.Task.Job]; ok {
				w.fail("run %v of a cancelled job on %s", r.id, x.id)
			}
		}
		if len(x.ended) > 0 && !x.isDown {
			y := l.cell.execs[x.id]
			w.fail("%s has %d ends that nobody took note of: %v; seen %d cut %d acked %d told %d",
				x.id, len(x.ended), x.ended[0], y.appliedCursor, y.batchedCursor, y.storedCursor, y.ackSentCursor)
		}
	}
}

func (l *modelLead) describe(id string) string {
	out := ""
	for _, o := range l.cell.jobs[id].occurrences {
		for _, s := range o.steps {
			out += fmt.Sprintf(" step %d left %d idle %d", s.index, s.unfinished, s.waiting)
		}
	}
	for _, x := range l.cell.execs {
		out += fmt.Sprintf("; %s usable %v runs %d used %v", x.entry.ID, x.isUsable(l.w.now), len(x.runs), x.used)
	}
	return out
}

func TestModel(t *testing.T) {
	starts := 0
	for seed := *modelFirst; seed < *modelFirst+uint64(*modelSeeds); seed++ {
		w := schedule(seed)
		starts += w.starts
		assert.Assert(t, len(w.broken) == 0, "seed %d:\n%s", seed, strings.Join(w.broken, "\n"))
	}
	assert.Assert(t, starts > *modelSeeds*50, "only %d starts", starts)
}
