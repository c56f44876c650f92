package cell

import (
	"slices"

	"github.com/ibischute/ibischute/internal/state/interf"
	"github.com/ibischute/ibischute/pkg/tick"
)

// tolerance summarizes what the latency-critical runs of an executor tolerate. It is as of the last list and the last
// change of these runs.
type tolerance struct {
	isKnown bool
	// isOverTarget is true if a run exceeds its target, isNearTarget if one is near it.
	isOverTarget, isNearTarget bool
	// limits has the lowest headroom of the runs with the same regression.
	limits []limit
}

// limit is the load that may be added to the runs with the regression.
type limit struct {
	regression *interf.Regression
	headroom   float64
}

// forgetTolerance has the tolerance summarized again.
func (x *executor) forgetTolerance() { x.tolerance.isKnown = false }

// knownTolerance returns the tolerance.
func (x *executor) knownTolerance() *tolerance {
	if !x.tolerance.isKnown {
		x.tolerance.summarize(x.latencyCritical)
	}
	return &x.tolerance
}

func (t *tolerance) summarize(latencyCritical []*run) {
	*t = tolerance{isKnown: true, limits: t.limits[:0]}
	for _, r := range latencyCritical {
		t.isOverTarget = t.isOverTarget || r.usage > int64(r.task.step.pb.TargetMs)
		t.isNearTarget = t.isNearTarget || r.isNearTarget
		t.add(limit{r.regression, r.headroom})
	}
}

func (t *tolerance) add(l limit) {
	i := slices.IndexFunc(t.limits, func(o limit) bool { return o.regression == l.regression })
	if i < 0 {
		t.limits = append(t.limits, l)
		return
	}
	t.limits[i].headroom = min(t.limits[i].headroom, l.headroom)
}

// tolerates reports whether the executor tolerates one more best-effort task, and the highest load that it would add to
// a run, given the load that it adds to those with a regression.
func (x *executor) tolerates(now tick.Time, loadOn func(*interf.Regression) float64) (float64, bool) {
	t := x.knownTolerance()
	if t.isNearTarget {
		return 0, false
	}
	highest, isPaused := 0.0, now.Before(x.noBestEffortUntil)
	for _, l := range t.limits {
		added := loadOn(l.regression)
		if added >= negligibleInterference && (isPaused || added > l.headroom) {
			return 0, false
		}
		highest = max(highest, added)
	}
	return highest, true
}

// weights are the weights of one best-effort image in the regressions that were asked for.
type weights map[*interf.Regression]float64

// loadOf returns a function that returns the load that a best-effort task of the step adds to the runs with a
// regression. It looks up each weight once in a pass.
func (p *pass) loadOf(s *step) func(*interf.Regression) float64 {
	known, ok := p.weights[s.pb.Image]
	if !ok {
		known = weights{}
		p.weights[s.pb.Image] = known
	}
	return func(g *interf.Regression) float64 {
		w, ok := known[g]
		if !ok {
			w = g.Weight(s.pb.Image)
			known[g] = w
		}
		return w * float64(s.pb.MilliCpu) / milliCPUPerCore
	}
}
