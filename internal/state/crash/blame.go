package crash

import (
	"time"

	"github.com/ibischute/ibischute/pkg/tick"
)

// Suspect is a run that was lost with a crashed executor.
type Suspect struct {
	// Job is the job of its task.
	Job string
	// Crashes is the number of crashes that counted against the task before.
	Crashes int
	// StartedAt is when the run was started; 0 if a former leader did.
	StartedAt tick.Time
	// Worked is how long the run had worked at least.
	Worked time.Duration
	// IsRepeated is true if a former run of the task was lost after about the same work, which took longer than EarlyWork.
	IsRepeated bool
	// IsUnconfirmed is true if the executor did not confirm the start. It may have crashed before.
	IsUnconfirmed bool
	// WasDoubted is true if the task would have been given up for its last loss but for other tasks.
	WasDoubted bool
}

const (
	// similarWork is the difference up to which two durations of work are about the same, since lists show the work each
	// second, and similarShare the same as a share of the duration.
	similarWork  = 1200 * time.Millisecond
	similarShare = 8
	// RecentStart is how long before the last start on an executor runs were started that may have crashed it as well. A
	// run that crashes its executor at once is the last one.
	RecentStart = 300 * time.Millisecond
)

// SuspectOf returns the suspect for a loss of the task with the history.
func (h *History) SuspectOf(l Loss) Suspect {
	s := Suspect{Crashes: h.Count(), Worked: l.Worked, IsUnconfirmed: l.IsUnconfirmed}
	for _, o := range h.losses {
		isOther := o.Executor != l.Executor || o.Run != l.Run
		isSimilar := (o.Worked - l.Worked).Abs() <= max(similarWork, l.Worked/similarShare)
		s.IsRepeated = s.IsRepeated || isOther && isSimilar && l.Worked >= EarlyWork
	}
	if i := h.index(l.Executor, l.Run); i > 0 && s.Crashes == MaxCrashes-1 {
		s.WasDoubted = h.losses[i-1].State == Shared
	}
	return s
}

// Blamed returns for each of the runs that were lost with one executor whether the crash counts against its task. The
// last runs that were started, and those that were lost after the same work before, are likely to have crashed it. Of
// these, the tasks with the most crashes take the blame alone. A task is not given up for a crash if another job is as
// likely to have caused it, but only once, since it would crash further executors otherwise.
func Blamed(suspects []Suspect) []bool {
	isLikely := likely(suspects)
	most, jobs := 0, map[string]bool{}
	for i, s := range suspects {
		if isLikely[i] {
			most = max(most, s.Crashes)
			jobs[s.Job] = true
		}
	}
	out := make([]bool, len(suspects))
	for i, s := range suspects {
		isUnclear := s.Crashes == MaxCrashes-1 && len(jobs) > 1 && !s.WasDoubted
		out[i] = isLikely[i] && s.Crashes == most && !isUnclear
	}
	return out
}

// likely returns which of the runs are likely to have crashed their executor; all if none is more likely than the
// others.
func likely(suspects []Suspect) []bool {
	hasConfirmed, lastStart := false, tick.Time(0)
	for _, s := range suspects {
		hasConfirmed = hasConfirmed || !s.IsUnconfirmed
	}
	for _, s := range suspects {
		if s.IsUnconfirmed != hasConfirmed {
			lastStart = max(lastStart, s.StartedAt)
		}
	}
	out, hasAny := make([]bool, len(suspects)), false
	for i, s := range suspects {
		isRecent := s.Worked < EarlyWork && s.StartedAt >= lastStart.Add(-RecentStart)
		out[i] = s.IsUnconfirmed != hasConfirmed && (isRecent || s.IsRepeated)
		hasAny = hasAny || out[i]
	}
	for i := range out {
		out[i] = out[i] || !hasAny
	}
	return out
}

// Outage is the span in which an executor was lost, from the last contact to the first evidence of the loss.
type Outage struct {
	From, To tick.Time
}

// commonWithin is the time within which executors are lost by a common cause.
const commonWithin = 2 * time.Second

// IsNear reports whether both executors may have been lost within commonWithin of each other.
func (o Outage) IsNear(p Outage) bool {
	return !o.To.Before(p.From.Add(-commonWithin)) && !p.To.Before(o.From.Add(-commonWithin))
}

// AreTogether reports whether two processes with these start times in Unix milliseconds have started together, as they
// do after a common outage.
func AreTogether(startedMS, otherMS int64) bool {
	d := time.Duration(startedMS-otherMS) * time.Millisecond
	return d.Abs() <= commonWithin
}

// minCommon is the least number of other executors whose loss shows a common cause.
const minCommon = 3

// IsCommonCause reports whether an executor was lost with its rack or failure domain, of which so many other executors
// were lost with it.
func IsCommonCause(lost, others int) bool { return lost >= minCommon && 2*lost >= others }
