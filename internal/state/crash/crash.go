// Package crash decides when a task is given up because it crashes the executors that start it.
//
// A loss is the end of a run because its executor was lost. It is open until the executor is heard of again: a later
// incarnation of the executor confirms that the executor has crashed, the same incarnation refutes it. A confirmed
// crash is then judged: it counts against the task, or it had another cause, such as a power failure of the rack or
// another task on the same executor. A task with MaxCrashes counted crashes is given up.
//
// # Usage
//
//	h := crash.New()
//	h.Add(crash.Loss{Executor: x, Incarnation: startedMS, Run: 7, Worked: worked, State: crash.Open})
//	confirmed, refuted := h.Observe(x, laterStartedMS, true)
//	h.Judge(x, 7, isCounted)
//	if h.IsGivenUp() { ... }
//	if h.MayStart(now) { ... }
//	if h.IsClearedBy(worked) { h.Clear() }
package crash

import (
	"slices"
	"time"

	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// MaxCrashes is the number of counted crashes with which a task is given up.
	MaxCrashes = 3
	// EarlyWork is how long a run has worked at most if the start of its task may have crashed the executor at once. A run
	// that works for longer clears its task, unless former runs had worked for more than half as long.
	EarlyWork = 2 * time.Second
	// maxClearing bounds the work that clears a task. Otherwise a task that was lost after hours of work would keep its
	// crashes for hours.
	maxClearing = 30 * time.Second
	// confirmationWait is how long a task waits for the confirmation of crashes with which it would be given up. It is
	// half the time for which a due task may have no run.
	confirmationWait = 1500 * time.Millisecond
	// maxLosses bounds the losses of a task, for the size of its record.
	maxLosses = 8
)

// State is what is known of a loss.
type State int

// The states of a loss.
const (
	// Open means that the executor was out of reach for its whole lease.
	Open State = iota + 1
	// Confirmed means that the executor has restarted; the crash is not judged yet.
	Confirmed
	// Counted means that the crash counts against the task.
	Counted
	// Shared means that the crash had another cause.
	Shared
)

// Loss is the end of a run because its executor was lost.
type Loss struct {
	// Executor is the hash of the executor's id, Incarnation the start time of its process in Unix milliseconds.
	Executor    uint32
	Incarnation int64
	Run         uint64
	// Worked is how long the run had worked at least.
	Worked time.Duration
	State  State
	// IsUnconfirmed is true if the executor did not confirm the start of the run.
	IsUnconfirmed bool
	// IsCommon is true for an open loss together with the rack or failure domain of its executor.
	IsCommon bool
}

// History has the losses of one task, oldest first.
type History struct {
	losses []Loss
	// waitsSince is since when the task waits for the confirmation of open losses; 0 if it does not.
	waitsSince tick.Time
}

// New returns the History of a task without losses.
func New() *History { return &History{} }

// Losses returns the losses, oldest first. The caller must not change them.
func (h *History) Losses() []Loss { return h.losses }

// IsEmpty reports whether the task has no loss.
func (h *History) IsEmpty() bool { return len(h.losses) == 0 }

// Add adds a loss. It reports false if the loss of the run is already known.
func (h *History) Add(l Loss) bool {
	if h.index(l.Executor, l.Run) >= 0 {
		return false
	}
	h.waitsSince = 0
	if len(h.losses) == maxLosses {
		h.dropOldest()
	}
	h.losses = append(h.losses, l)
	return true
}

// dropOldest drops the oldest loss that does not count, or the oldest one.
func (h *History) dropOldest() {
	i := max(0, slices.IndexFunc(h.losses, func(l Loss) bool { return l.State == Open || l.State == Shared }))
	h.losses = slices.Delete(h.losses, i, i+1)
}

func (h *History) index(executor uint32, run uint64) int {
	return slices.IndexFunc(h.losses, func(l Loss) bool { return l.Executor == executor && l.Run == run })
}

// Observe applies that an incarnation of the executor was seen. isAlive is true if it has responded, which entries of
// service discovery do not prove. It returns the losses that this confirms as crashes, and those that it refutes, which
// are dropped.
func (h *History) Observe(executor uint32, incarnation int64, isAlive bool) (confirmed, refuted []Loss) {
	kept := h.losses[:0]
	for _, l := range h.losses {
		isOpen := l.Executor == executor && l.State == Open && l.Incarnation != 0
		switch {
		case isOpen && incarnation > l.Incarnation:
			l.State = Confirmed
			confirmed = append(confirmed, l)
		case isOpen && incarnation == l.Incarnation && isAlive:
			refuted = append(refuted, l)
			continue
		}
		kept = append(kept, l)
	}
	h.losses = kept
	return confirmed, refuted
}

// Judge states whether a confirmed crash counts against the task. A task that crashes its executors does so after about
// the same work, so crashes after other work no longer count.
func (h *History) Judge(executor uint32, run uint64, isCounted bool) {
	i := h.index(executor, run)
	if i < 0 {
		return
	}
	h.losses[i].State = Shared
	if !isCounted {
		return
	}
	for k, o := range h.losses {
		if o.State == Counted && !o.isAlike(h.losses[i]) {
			h.losses[k].State = Shared
		}
	}
	h.losses[i].State = Counted
}

// alikeRatio is the ratio up to which two runs may have been lost for the same cause.
const alikeRatio = 2

func (l Loss) isAlike(o Loss) bool {
	shorter, longer := min(l.Worked, o.Worked), max(l.Worked, o.Worked)
	return longer < alikeRatio*EarlyWork || longer <= alikeRatio*shorter
}

// MarkCommon states that an executor was lost with its rack or failure domain.
func (h *History) MarkCommon(executor uint32, run uint64) {
	if i := h.index(executor, run); i >= 0 {
		h.losses[i].IsCommon = true
	}
}

// Count returns the number of crashes that count against the task.
func (h *History) Count() int { return h.count(Counted) }

// Crashes returns the number of crashes that count against the task or may do so once they are judged.
func (h *History) Crashes() int { return h.count(Counted, Confirmed) }

func (h *History) count(states ...State) int {
	n := 0
	for _, l := range h.losses {
		if slices.Contains(states, l.State) {
			n++
		}
	}
	return n
}

// countOpen counts the open losses that may turn out as crashes by the task.
func (h *History) countOpen() int {
	n := 0
	for _, l := range h.losses {
		if l.State == Open && !l.IsCommon {
			n++
		}
	}
	return n
}

// IsGivenUp reports whether no leader may start the task again.
func (h *History) IsGivenUp() bool { return h.Count() >= MaxCrashes }

// MayStart reports whether the task may be started as far as its losses go. It may not while the judgement of a
// confirmed crash may end it, and waits for confirmationWait if open losses may.
func (h *History) MayStart(now tick.Time) bool {
	switch {
	case h.Crashes() >= MaxCrashes:
		return false
	case h.Crashes()+h.countOpen() < MaxCrashes:
		return true
	case h.waitsSince == 0:
		h.waitsSince = now
	}
	return now.Sub(h.waitsSince) >= confirmationWait
}

// EarlyLosses returns the losses soon after a start that may be the task's own fault.
func (h *History) EarlyLosses() []Loss {
	var out []Loss
	for _, l := range h.losses {
		if l.Worked < EarlyWork && l.State != Shared && !l.IsCommon {
			out = append(out, l)
		}
	}
	return out
}

// IsSuspect reports whether the start of the task may crash its executor.
func (h *History) IsSuspect() bool { return len(h.EarlyLosses()) > 0 }

// IsClearedBy reports whether a run that has worked for the duration shows that the task does not crash its executors.
func (h *History) IsClearedBy(worked time.Duration) bool {
	longest := time.Duration(0)
	for _, l := range h.losses {
		longest = max(longest, l.Worked)
	}
	return worked >= min(maxClearing, max(EarlyWork, 2*longest))
}

// Clear forgets all losses.
func (h *History) Clear() { *h = History{} }
