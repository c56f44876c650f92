package crash

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/pkg/tick"
)

const now = tick.Time(time.Hour)

// historyOf returns a history with losses of different executors.
func historyOf(states ...State) *History {
	h := New()
	for i, s := range states {
		h.Add(Loss{Executor: uint32(i + 1), Incarnation: 100, Run: uint64(i + 1), State: s})
	}
	return h
}

// TestLossIsConfirmedByLaterIncarnationOnly guards against counting an executor that was only out of reach.
func TestLossIsConfirmedByLaterIncarnationOnly(t *testing.T) {
	for name, test := range map[string]struct {
		incarnation        int64
		isAlive            bool
		confirmed, refuted int
	}{
		"restarted":                 {101, true, 1, 0},
		"restarted, listed":         {101, false, 1, 0},
		"same, has responded":       {100, true, 0, 1},
		"same, entry has not ended": {100, false, 0, 0},
		"late response of a former": {99, true, 0, 0},
	} {
		h := historyOf(Open)
		confirmed, refuted := h.Observe(1, test.incarnation, test.isAlive)
		assert.Equal(t, len(confirmed), test.confirmed, name)
		assert.Equal(t, len(refuted), test.refuted, name)
		assert.Equal(t, h.IsEmpty(), test.refuted > 0, name)
		confirmed, refuted = h.Observe(1, 102, true)
		assert.Equal(t, len(confirmed)+len(refuted) > 0, test.confirmed+test.refuted == 0, "%s: seen again", name)
	}
}

// TestOtherExecutorsDoNotConfirm guards against counting the restart of another executor.
func TestOtherExecutorsDoNotConfirm(t *testing.T) {
	h := historyOf(Open)
	confirmed, refuted := h.Observe(2, 101, true)
	assert.Equal(t, len(confirmed)+len(refuted), 0)
}

// TestCountsCrashOnce guards against a loss that is reported twice, by a leader and by the record of the one before.
func TestCountsCrashOnce(t *testing.T) {
	h := historyOf(Open)
	assert.Assert(t, !h.Add(Loss{Executor: 1, Run: 1, State: Confirmed}))
	h.Judge(1, 1, true)
	assert.Equal(t, h.Count(), 1)
}

// TestGivesUpAfterThreeCountedCrashes guards against giving up a task for losses that are not its fault.
func TestGivesUpAfterThreeCountedCrashes(t *testing.T) {
	assert.Assert(t, historyOf(Counted, Counted, Counted).IsGivenUp())
	assert.Assert(t, !historyOf(Counted, Counted, Shared, Open, Open, Confirmed).IsGivenUp())
}

// TestWaitForConfirmationIsBounded guards against starts that a confirmation would have prevented, and against a task
// that waits for an executor that is gone.
func TestWaitForConfirmationIsBounded(t *testing.T) {
	assert.Assert(t, historyOf(Counted, Open).MayStart(now))
	assert.Assert(t, historyOf(Counted, Counted, Shared).MayStart(now))
	h := historyOf(Counted, Open, Open)
	assert.Assert(t, !h.MayStart(now))
	assert.Assert(t, !h.MayStart(now.Add(confirmationWait-1)))
	assert.Assert(t, h.MayStart(now.Add(confirmationWait)))
	h.Add(Loss{Executor: 9, Run: 9, State: Open})
	assert.Assert(t, !h.MayStart(now.Add(confirmationWait)), "the next loss is awaited as well")
	assert.Assert(t, !historyOf(Counted, Counted, Confirmed).MayStart(now.Add(time.Minute)))
	assert.Assert(t, !historyOf(Counted, Counted, Counted).MayStart(now.Add(time.Minute)))
}

// TestWorkClearsCrashes guards against giving up a task whose runs are lost from time to time, and against clearing one
// that crashes its executors after some work.
func TestWorkClearsCrashes(t *testing.T) {
	h := historyOf(Counted, Counted)
	assert.Assert(t, !h.IsClearedBy(EarlyWork-1))
	assert.Assert(t, h.IsClearedBy(EarlyWork))
	h.Add(Loss{Executor: 7, Run: 7, Worked: 4 * time.Second, State: Counted})
	assert.Assert(t, !h.IsClearedBy(5*time.Second))
	assert.Assert(t, h.IsClearedBy(8*time.Second))
	h.Add(Loss{Executor: 8, Run: 8, Worked: time.Hour, State: Counted})
	assert.Assert(t, h.IsClearedBy(maxClearing))
	h.Clear()
	assert.Assert(t, h.IsEmpty() && h.MayStart(now))
}

// TestRecordStaysSmall guards against a record that grows with each executor that is cut off, and against losing
// counted crashes to that.
func TestRecordStaysSmall(t *testing.T) {
	h := historyOf(Counted, Counted)
	for i := range uint64(50) {
		h.Add(Loss{Executor: 9, Run: 10 + i, State: Open})
	}
	assert.Equal(t, len(h.Losses()), maxLosses)
	assert.Equal(t, h.Count(), 2)
}

// TestBlame guards against giving up tasks that share an executor with one that crashes it.
func TestBlame(t *testing.T) {
	early := func(job string, crashes int, at tick.Time) Suspect {
		return Suspect{Job: job, Crashes: crashes, StartedAt: at}
	}
	crashed := Suspect{Job: "old", Crashes: 2, Worked: time.Minute}
	before := early("a", 2, now.Add(-time.Second))
	old := Suspect{Job: "old", StartedAt: now.Add(-time.Minute), Worked: time.Minute}
	repeated := Suspect{Job: "rep", StartedAt: now.Add(-5 * time.Second), Worked: 5 * time.Second, IsRepeated: true}
	unconfirmed := Suspect{Job: "un", StartedAt: now.Add(time.Second), IsUnconfirmed: true}
	for name, test := range map[string]struct {
		suspects []Suspect
		blamed   []bool
	}{
		"alone":                           {[]Suspect{early("a", 2, now)}, []bool{true}},
		"known suspect":                   {[]Suspect{early("a", 1, now), early("b", 0, now)}, []bool{true, false}},
		"unknown":                         {[]Suspect{early("a", 0, now), early("b", 0, now)}, []bool{true, true}},
		"had worked":                      {[]Suspect{old, early("a", 0, now)}, []bool{false, true}},
		"had worked, with former crash":   {[]Suspect{crashed, early("a", 0, now)}, []bool{false, true}},
		"started before the last":         {[]Suspect{before, early("b", 0, now)}, []bool{false, true}},
		"last crash of one of two jobs":   {[]Suspect{early("a", 2, now), early("b", 0, now)}, []bool{false, false}},
		"last crash of two of one job":    {[]Suspect{early("a", 2, now), early("a", 2, now)}, []bool{true, true}},
		"same work as before":             {[]Suspect{old, repeated}, []bool{false, true}},
		"order after the crash":           {[]Suspect{early("a", 0, now), unconfirmed}, []bool{true, false}},
		"only order without confirmation": {[]Suspect{unconfirmed}, []bool{true}},
		"all had worked":                  {[]Suspect{old, old}, []bool{true, true}},
	} {
		t.Run(name, func(t *testing.T) { assert.DeepEqual(t, Blamed(test.suspects), test.blamed) })
	}
}

// TestSuspectRepeatsOnlyLateCrashes guards against taking two short runs for a pattern.
func TestSuspectRepeatsOnlyLateCrashes(t *testing.T) {
	h := New()
	h.Add(Loss{Executor: 1, Run: 1, Worked: 5 * time.Second, State: Counted})
	assert.Assert(t, h.SuspectOf(Loss{Executor: 2, Run: 2, Worked: 6 * time.Second}).IsRepeated)
	assert.Assert(t, !h.SuspectOf(Loss{Executor: 2, Run: 2, Worked: 11 * time.Second}).IsRepeated)
	assert.Assert(t, !h.SuspectOf(Loss{Executor: 1, Run: 1, Worked: 5 * time.Second}).IsRepeated, "the loss itself")
	h.Add(Loss{Executor: 3, Run: 3, State: Counted})
	assert.Assert(t, !h.SuspectOf(Loss{Executor: 4, Run: 4}).IsRepeated)
}

// TestCommonCause guards against giving up tasks that were lost with their rack or domain.
func TestCommonCause(t *testing.T) {
	assert.Assert(t, IsCommonCause(3, 6))
	assert.Assert(t, !IsCommonCause(2, 2), "a few crashes of a small rack show nothing")
	assert.Assert(t, !IsCommonCause(3, 7))
	o := Outage{From: now, To: now.Add(time.Second)}
	assert.Assert(t, o.IsNear(Outage{From: now.Add(3 * time.Second), To: now.Add(4 * time.Second)}))
	assert.Assert(t, !o.IsNear(Outage{From: now.Add(3*time.Second + 1), To: now.Add(4 * time.Second)}))
	assert.Assert(t, !(Outage{From: now.Add(3*time.Second + 1), To: now.Add(4 * time.Second)}).IsNear(o))
	assert.Assert(t, AreTogether(5000, 3000) && AreTogether(3000, 5000) && !AreTogether(3000, 5001))
}

// TestCrashesAfterDifferentWorkDoNotAddUp guards against giving up a long-running task whose executors are lost from
// time to time.
func TestCrashesAfterDifferentWorkDoNotAddUp(t *testing.T) {
	h := New()
	for i, worked := range []time.Duration{0, 24 * time.Second, 9 * time.Second, time.Second, 20 * time.Second} {
		run := uint64(i + 1)
		h.Add(Loss{Executor: 1, Run: run, Worked: worked, State: Confirmed})
		h.Judge(1, run, true)
		assert.Equal(t, h.Count(), 1, "%v", worked)
	}
	for i, worked := range []time.Duration{18 * time.Second, 12 * time.Second} {
		run := uint64(i + 10)
		h.Add(Loss{Executor: 1, Run: run, Worked: worked, State: Confirmed})
		h.Judge(1, run, true)
		assert.Equal(t, h.Count(), i+2)
	}
}

// TestDoubtSparesTaskOnce guards against a task that is never given up because other tasks start beside it each time.
func TestDoubtSparesTaskOnce(t *testing.T) {
	h := historyOf(Counted, Counted, Confirmed)
	other := Suspect{Job: "b", StartedAt: now}
	suspect := h.SuspectOf(h.Losses()[2])
	suspect.Job, suspect.StartedAt = "a", now
	assert.DeepEqual(t, Blamed([]Suspect{suspect, other}), []bool{false, false})
	h.Judge(3, 3, false)
	h.Add(Loss{Executor: 4, Run: 4, State: Confirmed})
	suspect = h.SuspectOf(h.Losses()[3])
	suspect.Job, suspect.StartedAt = "a", now
	assert.DeepEqual(t, Blamed([]Suspect{suspect, other}), []bool{true, false})
}
