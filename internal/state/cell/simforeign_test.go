package cell

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/queue"
)

var foreignSeeds = flag.Int("foreign-seeds", 60, "number of schedules that TestModelWithForeignEntries runs")

// simForeignWriter leaves entries in service discovery that no executor has written: under keys of its own with the
// address of an executor, and under the key of an executor until the next heartbeat of that.
type simForeignWriter struct {
	sim *simulation
	// added are the entries under keys of its own, replaced those under the keys of executors.
	added, replaced map[string]queue.Executor
	written         int
}

// simEntryInterval is the longest time until an executor replaces an entry under its key.
const simEntryInterval = 1100 * time.Millisecond

func (sim *simulation) addForeignWriter(length time.Duration) {
	w := &simForeignWriter{sim: sim, added: map[string]queue.Executor{}, replaced: map[string]queue.Executor{}}
	sim.foreign = w
	sim.hasDiscovery = true
	for _, x := range sim.execs {
		x.entryStartedMS = x.startedMS
	}
	for at := time.Second; at < length; at += sim.randomDuration(200*time.Millisecond, 2*time.Second) {
		sim.after(at, w.write)
	}
	sim.after(length, func() { clear(w.added) })
}

// write leaves one entry.
func (w *simForeignWriter) write() {
	w.written++
	sim := w.sim
	victim, other := sim.execs[sim.rnd.IntN(len(sim.execs))], sim.execs[sim.rnd.IntN(len(sim.execs))]
	e := victim.currentEntry()
	e.StartedMS = sim.wallMS()
	if sim.chance(0.3) {
		e.Service = "unnamed"
	}
	if sim.chance(0.5) {
		e.ID = fmt.Sprintf("foreign-%d", sim.rnd.IntN(3))
		w.added[e.ID] = e
		return
	}
	if sim.chance(0.5) {
		e.Address = other.address
	}
	if sim.chance(0.3) {
		e.StartedMS = victim.entryStartedMS
	}
	w.replaced[e.ID] = e
	sim.after(sim.randomDuration(0, simEntryInterval), func() { delete(w.replaced, e.ID) })
}

// apply returns the list of the executors' entries with those of the writer. It may be nil.
func (w *simForeignWriter) apply(list []queue.Executor) []queue.Executor {
	if w == nil {
		return list
	}
	for i, e := range list {
		if r, ok := w.replaced[e.ID]; ok {
			list[i] = r
		}
	}
	for i := range 3 {
		if e, ok := w.added[fmt.Sprintf("foreign-%d", i)]; ok {
			list = append(list, e)
		}
	}
	return list
}

// answerForeign answers the holds for the entries under keys of the writer, at whose addresses other executors run.
func (l *simLeader) answerForeign() {
	if l.sim.foreign == nil {
		return
	}
	for i := range 3 {
		id := fmt.Sprintf("foreign-%d", i)
		h, to, pause := l.cell.Hold(l.sim.now, id)
		if to.ID == "" || pause > 0 {
			continue
		}
		reply := orders.Reply{Outcome: orders.OtherIncarnation}
		l.cell.HandleHoldReply(l.sim.now, l.sim.now, id, h, orders.Lists{}, reply)
	}
}

// processFor returns the executor that answers at the address, and whether it is another one than x.
func (sim *simulation) processFor(x *simExecutor, address string) (*simExecutor, bool) {
	if address != x.address {
		for _, y := range sim.execs {
			if y.address == address && !y.isGone {
				return y, true
			}
		}
	}
	y := sim.processAt(x)
	return y, y != x
}

// TestModelWithForeignEntries runs schedules in which another writer leaves entries among those of the executors. A
// leader that takes one for the end of an executor starts its tasks a second time.
func TestModelWithForeignEntries(t *testing.T) {
	written := 0
	for seed := *modelFirst; seed < *modelFirst+uint64(*foreignSeeds); seed++ {
		sim := runScheduleWith(seed, func(sim *simulation, length time.Duration) {
			sim.startsBetweenPlans = seed%2 == 0
			sim.hasHandovers = seed%3 == 0
			sim.addForeignWriter(length)
		})
		written += sim.foreign.written
		assert.Assert(t, len(sim.violations) == 0, "seed %d:\n%s", seed, strings.Join(sim.violations, "\n"))
	}
	assert.Assert(t, written > *foreignSeeds*10, "only %d entries", written)
}
