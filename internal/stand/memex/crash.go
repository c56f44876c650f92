package memex

import (
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// crashLimit is the number of executors that a task crashes until it must be given up. Orders that are under way at
	// that time may still start it, at most maxStartsAfterLimit times.
	crashLimit          = 3
	maxStartsAfterLimit = 2
	// crashDowntime is how long an executor is down after a crash unless OnCrash has set a function.
	crashDowntime = 2 * time.Second
)

// OnCrash sets a function that is called after a run has crashed its executor, which is removed by then. The function
// must add the executor again. It runs in a goroutine of its own.
func (f *Fleet) OnCrash(onCrash func(id string)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onCrash = onCrash
}

// scheduleCrash lets a run crash its executor unless either has ended by then.
func (f *Fleet) scheduleCrash(id string, x *executor, r activeRun) {
	time.AfterFunc(r.behavior.CrashesAfter, func() {
		if onCrash := f.crash(id, x, r.run); onCrash != nil {
			onCrash(id)
		}
	})
}

// crash removes the executor if the run is still active there, and returns the function to call then.
func (f *Fleet) crash(id string, x *executor, run orders.Run) (onCrash func(id string)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.executors[id] != x {
		return nil
	}
	now := tick.Now()
	f.advance(x, now)
	if x.runs[run.Task].run != run {
		return nil
	}
	f.task(run.Task).crashes++
	for t := range x.runs {
		h := f.task(t)
		h.losses++
		h.lostAt = now
	}
	f.remove(id, x)
	if f.onCrash != nil {
		return f.onCrash
	}
	return func(id string) { f.restartLater(id, x.capacity) }
}

// restartLater starts an executor after crashDowntime unless one with the id was added before.
func (f *Fleet) restartLater(id string, c *Capacity) {
	time.AfterFunc(crashDowntime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.executors[id] == nil {
			f.startExecutor(id, c)
		}
	})
}

// checkCrashes records a violation when a task that has crashed crashLimit executors starts once too often.
func (f *Fleet) checkCrashes(id string, run orders.Run) {
	h := f.task(run.Task)
	if h.crashes < crashLimit {
		return
	}
	h.startsAfterLimit++
	if h.startsAfterLimit == maxStartsAfterLimit+1 {
		f.reportViolation(false,
			"%v started on %s as start %d after its task has crashed %d executors", run, id, h.startsAfterLimit, crashLimit,
		)
	}
}
