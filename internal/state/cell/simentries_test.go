package cell

import (
	"math/rand/v2"
	"time"

	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// simHeartbeat is the interval at which an executor writes its entry, and simEntryLifetime how long the entry outlives
	// the last write.
	simHeartbeat     = 1100 * time.Millisecond
	simEntryLifetime = 3 * simHeartbeat
	// simLateWriteRate is the share of entries that the store takes seconds later, after newer ones.
	simLateWriteRate = 0.1
)

// simEntries are the entries of the executors in service discovery as these write them, with each heartbeat while the
// store is up: the first one of a process comes late, and an old one may follow. Leaders do not read them while the
// store is down.
type simEntries struct {
	sim     *simulation
	rnd     *rand.Rand
	entries map[*simExecutor]*simEntry
}

// simEntry is the entry of an executor. sequence counts the writes of its process.
type simEntry struct {
	stored    queue.Executor
	isStored  bool
	expiresAt tick.Time
	// missingUntil is until when the entry is missing whatever the executor writes.
	missingUntil tick.Time
	sequence     int64
	process      int64
}

// addEntries has leaders read entries that executors write, at times from the source. Those of the executors are to be
// added.
func (sim *simulation) addEntries(rnd *rand.Rand) *simEntries {
	sim.entries = &simEntries{sim: sim, rnd: rnd, entries: map[*simExecutor]*simEntry{}}
	return sim.entries
}

// add begins the heartbeats of the executor.
func (s *simEntries) add(x *simExecutor) {
	s.entries[x] = &simEntry{}
	s.heartbeat(x)
}

func (s *simEntries) duration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(s.rnd.Int64N(int64(hi-lo)+1))
}

// heartbeat writes the entry of the executor and schedules the next write.
func (s *simEntries) heartbeat(x *simExecutor) {
	sim := s.sim
	sim.after(s.duration(simHeartbeat*9/10, simHeartbeat), func() { s.heartbeat(x) })
	if x.isDown || sim.isStoreDown {
		return
	}
	e := s.entries[x]
	if e.process != x.startedMS {
		e.process, e.sequence = x.startedMS, 0
	}
	e.sequence++
	written := x.currentEntry()
	written.StartedMS, written.Sequence = x.startedMS, e.sequence
	store := func() {
		if !sim.isStoreDown {
			e.stored, e.isStored, e.expiresAt = written, true, sim.now.Add(simEntryLifetime)
		}
	}
	if s.rnd.Float64() < simLateWriteRate {
		sim.after(s.duration(time.Second, 3*time.Second), store)
		return
	}
	store()
}

// entry returns the entry of the executor, and whether it is present. It expires some time after its process has ended.
func (s *simEntries) entry(x *simExecutor) (queue.Executor, bool) {
	e := s.entries[x]
	isMissing := s.sim.now.Before(e.missingUntil)
	return e.stored, e.isStored && !isMissing && (!x.isDown || s.sim.now.Before(e.expiresAt))
}
