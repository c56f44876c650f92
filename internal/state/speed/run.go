package speed

import (
	"slices"
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

// Sample is the progress of a run at the time of a list.
type Sample struct {
	Percent int
	// IsResumed is true if the run resumed from a checkpoint or was adopted. Its progress counts once it rises, since it
	// may first have to restore the checkpoint.
	IsResumed bool
	// SteadySince is when the present pace of the run took effect, or the present time if it is throttled.
	SteadySince tick.Time
	// Typical is the expected duration of the task at full speed, Longest the one that hardly any task exceeds. Longest is
	// 0 if it is not known.
	Typical, Longest time.Duration
}

// run is the progress of one run.
type run struct {
	id         orders.Run
	executorID string
	executor   *executor
	step       *step
	// hasBegun is true once the run has made progress. windowAt and windowPercent are the beginning of the window.
	hasBegun      bool
	windowAt      tick.Time
	windowPercent int
	// rate is the rate of the last window in percent a second; 0 before the first window. averageRate leaves out the
	// windows in which the rate has dropped. fullSpeedRate is the rate that the run would have at full speed.
	rate, averageRate, fullSpeedRate float64
	// hasDropped is true while the rate is far below averageRate. isSlowTask is true if the run has been slow since its
	// first window, because of its task or its executor.
	hasDropped, isSlowTask bool
	// highestSlowRate is the highest rate that is consistent with the progress since slowAt, when the run became slow or
	// last changed its pace, at slowPercent.
	highestSlowRate float64
	slowAt          tick.Time
	slowPercent     int
	// wasOnSlow is true if the executor has been slow during the run, beganOnSlow if it has been since the run began.
	wasOnSlow, beganOnSlow bool
}

// step has what the runs of one step have in common.
type step struct {
	runs int
	// grain is the greatest common divisor of all reported percentages. Some tasks report progress in large steps.
	grain int
	// rates are the latest rates of runs, except while they have dropped.
	rates []stepRate
}

type stepRate struct {
	run        orders.Run
	executorID string
	rate       float64
}

const (
	// maxStepRates bounds the rates that are kept for a step, minOtherRates is the number of rates on other executors from
	// which their median is the expected rate.
	maxStepRates  = 16
	minOtherRates = 3
	fullPercent   = 100
)

func stepOf(t orders.Task) orders.Task {
	t.Index = 0
	return t
}

// track returns the state of a run.
func (m *Model) track(x *executor, id string, o orders.Run, s Sample) *run {
	r, ok := m.runs[o]
	if ok {
		return r
	}
	key := stepOf(o.Task)
	st, ok := m.steps[key]
	if !ok {
		st = &step{}
		m.steps[key] = st
	}
	st.runs++
	r = &run{
		id: o, executorID: id, executor: x, step: st, windowPercent: s.Percent,
		wasOnSlow: x.isSlow, beganOnSlow: x.isSlow,
	}
	m.runs[o] = r
	x.runs[o] = r
	return r
}

// observe applies a sample and returns the result of the window, if it is over.
func (r *run) observe(now tick.Time, s Sample) (result, bool) {
	r.step.grain = gcd(r.step.grain, s.Percent)
	if !r.hasBegun {
		r.hasBegun = s.Percent > r.windowPercent || s.Percent > 0 && !s.IsResumed
		r.windowAt, r.windowPercent = now, s.Percent
		return result{}, false
	}
	if s.Percent >= fullPercent || s.Percent < r.windowPercent || r.windowAt < s.SteadySince {
		r.windowAt, r.windowPercent = now, s.Percent
		r.slowAt, r.slowPercent = now, s.Percent
		return result{}, false
	}
	span := now.Sub(r.windowAt)
	expected, isByEstimate := r.expectedRate(s)
	grain := max(1, r.step.grain)
	if span < minWindow || slowShare*expected*span.Seconds() < float64(minGrains*grain) {
		return result{}, false
	}
	points := s.Percent - r.windowPercent
	if !r.isSlow() {
		r.slowAt, r.slowPercent = r.windowAt, r.windowPercent
	}
	r.windowAt, r.windowPercent = now, s.Percent
	res, ok := r.judge(now, s, window{
		rate: float64(points) / span.Seconds(), highest: float64(points+grain) / span.Seconds(),
		expected: expected, isByEstimate: isByEstimate,
	})
	r.highestSlowRate = float64(s.Percent-r.slowPercent+grain) / now.Sub(r.slowAt).Seconds()
	return res, ok
}

// window is the progress of a run in one window, in percent a second.
type window struct {
	rate, highest, expected float64
	isByEstimate            bool
}

// expectedRate returns the rate that the run should have, and whether it follows from the expected duration alone.
func (r *run) expectedRate(s Sample) (float64, bool) {
	if r.fullSpeedRate > 0 {
		return r.fullSpeedRate, false
	}
	var others []float64
	for _, o := range r.step.rates {
		if o.executorID != r.executorID {
			others = append(others, o.rate)
		}
	}
	if len(others) >= minOtherRates {
		slices.Sort(others)
		return others[len(others)/2], false
	}
	return fullPercent / s.Typical.Seconds(), true
}

// judge returns the result of a window, or false if it shows nothing about the executor.
func (r *run) judge(now tick.Time, s Sample, w window) (result, bool) {
	isFirst := r.fullSpeedRate == 0
	r.rate = w.rate
	if isFirst {
		r.step.setRate(r, w.rate)
		return r.judgeFirst(now, s, w)
	}
	res := result{at: now, run: r.id, weight: 1}
	isDrop := w.highest <= slowShare*r.averageRate
	switch {
	case isDrop && r.hasDropped:
		return result{}, false
	case isDrop:
		r.hasDropped = true
		res.isSlow, res.weight = true, dropWeight
		return res, true
	case r.hasDropped:
		r.hasDropped = false
	}
	isRisen := w.rate >= r.averageRate/slowShare
	r.averageRate += newestRateWeight * (w.rate - r.averageRate)
	r.step.setRate(r, r.averageRate)
	if !isRisen && (r.beganOnSlow || r.isSlowTask && w.rate < slowShare*r.fullSpeedRate) {
		// A run that stays slow may be a slow task, one that began on a slow executor may still be slowed.
		return result{}, false
	}
	r.isSlowTask, r.beganOnSlow = false, false
	r.fullSpeedRate = r.averageRate
	return res, true
}

// judgeFirst returns the result of the first window of a run.
func (r *run) judgeFirst(now tick.Time, s Sample, w window) (result, bool) {
	isSlow := w.highest <= slowShare*w.expected
	r.averageRate, r.fullSpeedRate = w.rate, w.rate
	if w.isByEstimate {
		slowest := 0.0
		if s.Longest > 0 {
			slowest = fullPercent / s.Longest.Seconds()
		}
		if s.Longest <= 0 || isSlow && w.highest > slowest {
			// The task may take this long, so the run can only be compared with itself.
			return result{}, false
		}
		w.expected = min(w.expected, slowest)
	}
	r.isSlowTask = isSlow
	if isSlow {
		r.fullSpeedRate = w.expected
	}
	return result{at: now, run: r.id, isSlow: isSlow, weight: 1, isByEstimate: w.isByEstimate}, true
}

func (r *run) isSlow() bool { return r.hasDropped || r.isSlowTask }

// newestRateWeight is the weight of the newest window in the average rate of a run. Delays of lists make single windows
// look faster or slower than they are.
const newestRateWeight = 0.3

// setRate replaces the rate of a run.
func (st *step) setRate(r *run, rate float64) {
	st.rates = slices.DeleteFunc(st.rates, func(o stepRate) bool { return o.run == r.id })
	st.rates = append(st.rates, stepRate{r.id, r.executorID, rate})
	if len(st.rates) > maxStepRates {
		st.rates = slices.Delete(st.rates, 0, 1)
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// WasOnSlow reports whether the executor was slow during the run, so that the task may be shorter than the run.
func (m *Model) WasOnSlow(o orders.Run) bool {
	r, ok := m.runs[o]
	return ok && r.wasOnSlow
}

// Remaining returns how long a slow run at the percentage takes to its end if it stays as slow, at least, and how long
// the rest takes at full speed. It returns false for a run that is not slow.
func (m *Model) Remaining(o orders.Run, percent int) (here, elsewhere time.Duration, ok bool) {
	r, isKnown := m.runs[o]
	if !isKnown || !r.isSlow() || r.highestSlowRate <= 0 {
		return 0, 0, false
	}
	fullSpeedRate := r.fullSpeedRate
	if r.hasDropped {
		fullSpeedRate = r.averageRate
	}
	return timeFor(fullPercent-percent, r.highestSlowRate), timeFor(fullPercent-percent, fullSpeedRate), true
}

func timeFor(points int, rate float64) time.Duration {
	return time.Duration(float64(points) / rate * float64(time.Second))
}
