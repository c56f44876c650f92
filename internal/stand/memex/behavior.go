package memex

import (
	"hash/fnv"
	"math/rand/v2"
	"net/url"
	"strconv"
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
	"github.com/ibischute/ibischute/platform/names"
)

// Behavior is how the tasks of a job behave. A job's spec encodes it as a URL query, in which missing keys have their
// defaults; ParseBehavior lists the keys.
type Behavior struct {
	// Capacity is what a run of a task uses.
	Capacity Capacity
	// Duration is how long a run takes unless it fails.
	Duration time.Duration
	// LongRunning tasks do not end by themselves unless they fail.
	LongRunning bool
	// FailureRate is the share of runs that fail. MaxFailures limits the failed runs of a task unless it is 0.
	FailureRate float64
	MaxFailures int
	// FailsWithin is the longest time after which a failing run fails. It defaults to Duration.
	FailsWithin time.Duration
	// MaxAttempts is the number of acknowledged failed runs after which no run may start; 0 means that there is no limit.
	MaxAttempts int
	// MaxPerExecutor is the number of tasks of a step that may run on one executor; 0 means that there is no limit.
	MaxPerExecutor int
	// CrashesAfter is how long after its start a run crashes its executor; 0 means that it does not. A run that ends
	// sooner does not crash it.
	CrashesAfter time.Duration
	// RequiresLabel is a label that the executor must have; empty means any.
	RequiresLabel string
}

// The keys of the specs.
const (
	keyMilliCPU       = "cpu"
	keyMemoryMB       = "mem_mb"
	keyDurationMS     = "run_ms"
	keyLongRunning    = "long_running"
	keyFailureRate    = "fail_rate"
	keyMaxFailures    = "max_failures"
	keyFailsWithinMS  = "fails_within_ms"
	keyMaxAttempts    = "max_attempts"
	keyMaxPerExecutor = "anti_affinity"
	keyCrashesAfterMS = "crashes_executor"
	keyRequiresLabel  = "requirements"

	defaultDuration = 400 * time.Millisecond
)

// Spec returns the spec of jobs whose tasks behave like this.
func (b Behavior) Spec() string {
	v := url.Values{}
	set := func(key string, n int64) {
		if n != 0 {
			v.Set(key, strconv.FormatInt(n, 10))
		}
	}
	set(keyMilliCPU, b.Capacity.MilliCPU)
	set(keyMemoryMB, b.Capacity.MemoryMB)
	set(keyDurationMS, b.Duration.Milliseconds())
	set(keyMaxFailures, int64(b.MaxFailures))
	set(keyFailsWithinMS, b.FailsWithin.Milliseconds())
	set(keyMaxAttempts, int64(b.MaxAttempts))
	set(keyMaxPerExecutor, int64(b.MaxPerExecutor))
	set(keyCrashesAfterMS, b.CrashesAfter.Milliseconds())
	if b.LongRunning {
		v.Set(keyLongRunning, strconv.FormatBool(true))
	}
	if b.RequiresLabel != "" {
		v.Set(keyRequiresLabel, b.RequiresLabel)
	}
	if b.FailureRate > 0 {
		v.Set(keyFailureRate, strconv.FormatFloat(b.FailureRate, 'g', -1, 64))
	}
	return v.Encode()
}

// ParseBehavior returns the behavior that a spec encodes. Unknown keys and malformed values are ignored.
func ParseBehavior(spec string) Behavior {
	v, err := url.ParseQuery(spec)
	if err != nil {
		v = url.Values{}
	}
	number := func(key string) int64 {
		n, _ := strconv.ParseInt(v.Get(key), 10, 64)
		return n
	}
	b := Behavior{
		Capacity: Capacity{MilliCPU: number(keyMilliCPU), MemoryMB: number(keyMemoryMB)},
		Duration: time.Duration(number(keyDurationMS)) * time.Millisecond, LongRunning: v.Get(keyLongRunning) == "true",
		MaxFailures: int(number(keyMaxFailures)), FailsWithin: time.Duration(number(keyFailsWithinMS)) * time.Millisecond,
		MaxAttempts: int(number(keyMaxAttempts)), MaxPerExecutor: int(number(keyMaxPerExecutor)),
		CrashesAfter: time.Duration(number(keyCrashesAfterMS)) * time.Millisecond, RequiresLabel: v.Get(keyRequiresLabel),
	}
	b.FailureRate, _ = strconv.ParseFloat(v.Get(keyFailureRate), 64)
	if b.Duration == 0 {
		b.Duration = defaultDuration
	}
	if b.FailsWithin == 0 {
		b.FailsWithin = b.Duration
	}
	return b
}

// taskHistory is what has happened to a task on all executors.
type taskHistory struct {
	runs, failures int
	// wasDone means that a run has completed. unackedDone counts the ends of such runs that are neither acknowledged nor
	// lost; isDoneAcked means that one was acknowledged.
	wasDone     bool
	unackedDone int
	isDoneAcked bool
	// isDoneForgotten means that such an end was acknowledged before its process was fenced.
	isDoneForgotten bool
	// ackedFailures counts the failed runs whose ends were acknowledged.
	ackedFailures int
	// lastRanAt is when the last run ended.
	lastRanAt tick.Time
	// crashes counts the executors that runs of the task have crashed, startsAfterLimit the starts after crashLimit of
	// them.
	crashes, startsAfterLimit int
	// losses counts the runs that were lost because a task, this one or another, crashed their executor. lostAt is when
	// the last one was; 0 if none was.
	losses int
	lostAt tick.Time
}

func (f *Fleet) task(t orders.Task) *taskHistory {
	h, ok := f.tasks[t]
	if !ok {
		h = &taskHistory{}
		f.tasks[t] = h
	}
	return h
}

// isDone reports whether a run has completed whose end can be, or was, acknowledged.
func (h *taskHistory) isDone() bool { return h.isDoneAcked || h.isDoneForgotten || h.unackedDone > 0 }

func (h *taskHistory) recordEnd(reason orders.EndReason, at tick.Time) {
	h.lastRanAt = max(h.lastRanAt, at)
	switch reason {
	case orders.EndedDone:
		h.wasDone = true
		h.unackedDone++
	case orders.EndedFailed:
		h.failures++
	}
}

// ackEnd records that the end of a run was acknowledged, isUnfenced if perhaps nobody has read it.
func (h *taskHistory) ackEnd(reason orders.EndReason, isUnfenced bool) {
	switch reason {
	case orders.EndedDone:
		h.unackedDone--
		h.isDoneAcked = h.isDoneAcked || !isUnfenced
		h.isDoneForgotten = h.isDoneForgotten || isUnfenced
	case orders.EndedFailed:
		h.ackedFailures++
	}
}

// loseEnd records that an unacknowledged end is lost with its executor.
func (h *taskHistory) loseEnd(e orders.EndedRun) {
	if e.Reason == orders.EndedDone {
		h.unackedDone--
	}
}

// draw returns after which time the task's next run ends, and how. The time is 0 for a run that does not end by itself.
func (h *taskHistory) draw(
	b Behavior, seed uint64, t orders.Task, areFailuresOff bool,
) (time.Duration, orders.EndReason) {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(names.Task(t)))
	rnd := rand.New(rand.NewPCG(seed^sum.Sum64(), uint64(h.runs)))
	mayFail := (b.MaxFailures == 0 || h.failures < b.MaxFailures) && (!areFailuresOff || b.FailureRate >= 1)
	isFailing := rnd.Float64() < b.FailureRate
	switch {
	case mayFail && isFailing:
		return 1 + time.Duration(rnd.Int64N(int64(b.FailsWithin))), orders.EndedFailed
	case b.LongRunning:
		return 0, ""
	}
	return b.Duration, orders.EndedDone
}

const (
	fullPercent = 100
	// startupTime is how long a long-running task takes until it is at work.
	startupTime = 200 * time.Millisecond
)

// percent returns the progress of a run. That of a long-running task is full once the task is at work.
func (r activeRun) percent(now tick.Time) int {
	total := r.behavior.Duration
	if r.behavior.LongRunning {
		total = startupTime
	}
	return int(min(fullPercent, fullPercent*now.Sub(r.startedAt)/total))
}
