package cell

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

// full returns the cores that a filling run would use at its full pace.
func (r *run) full() float64 { return float64(r.task.step.pb.MilliCpu) / coreThousandths }

// used returns the cores that a filling run has used of late.
func (r *run) used() float64 { return float64(r.usage) / coreThousandths }

const (
	// calmShare is the share of its target below which a serving task bears more beside it.
	calmShare = 0.7
	// tightShare is the share of its target beyond which the press on a serving task is cut a little.
	tightShare = 0.85
	// overShare is the share beyond which the press is cut to nothing.
	overShare = 3
	// tightCut and targetCut are the shares of the press that are cut beyond tightShare and beyond the target. Most of
	// a tail is its own task's doing, so that a larger cut costs the filling tasks more than it gives the serving ones.
	tightCut  = 0.1
	targetCut = 0.4
	// tailDelay is how long after a pace has changed the tails show most of it: they cover half a second.
	tailDelay = 400 * time.Millisecond
	// worseFactor is how much a tail must have grown since the last cut for another one before that shows.
	worseFactor = 1.15
	// overShareOfBound is the share of the time for which a serving task may be over its target after which all that
	// fills beside it is halted; the rest is for looks, orders and the tail's own delay.
	overShareOfBound = 0.3
	// defaultInterference is that time where the deployment names none.
	defaultInterference = 4 * time.Second
	// haltPause is how long nothing that fills is started after that.
	haltPause = time.Second
	// fillPause is the shortest time between two starts of filling tasks beside serving ones.
	fillPause = 300 * time.Millisecond
	// paceStep is the granularity of paces, and paceRise the most by which one rises at once, in percent.
	paceStep = 10
	paceRise = 40
	// slowPace is the pace below which a run is moved when that lasts, and moveAfter how long it may last.
	slowPace  = 60
	moveAfter = 500 * time.Millisecond
	// maxMoveSearches bounds the searches for a better place in one plan.
	maxMoveSearches = 8
	// restartPercent is the progress up to which a run without checkpoints is moved too.
	restartPercent = 25
)

// learn takes the tails of a fresh list.
func (c *Cell) learn(now tick.Time, x *executor) {
	if len(x.serving) == 0 {
		return
	}
	cores := map[string]float64{}
	for _, f := range x.filling {
		cores[f.task.step.pb.Image] += f.used()
	}
	for _, s := range x.serving {
		c.press.observe(now, s, cores)
		c.press.assess(s)
	}
}

// assess notes what a serving run bears, for all placements until its next look.
func (p *presses) assess(s *run) {
	pb := s.task.step.pb
	s.fit = p.fits[pb.Image]
	s.isTight = float64(s.usage) > tightShare*float64(pb.TargetMs)
	s.headroom = 0
	if s.usage > 0 {
		s.headroom = 1 - p.base[pb.Image]/(calmShare*float64(pb.TargetMs)) - p.load(s)
	}
}

// steer sets the paces of filling runs so that the serving runs beside them stay below their targets.
func (c *Cell) steer(now tick.Time, p *placement, out []Order) []Order {
	searches := 0
	for _, x := range c.execs {
		if x.isDead || x.heardAt == x.judgedAt {
			continue
		}
		x.judgedAt = x.heardAt
		if len(x.filling) == 0 {
			continue
		}
		out = c.steerExecutor(now, x, x.serving, slices.Clone(x.filling), out)
		for _, f := range x.filling {
			if searches < maxMoveSearches && c.isToMove(now, f) {
				searches++
				c.move(p, f)
			}
		}
	}
	return out
}

func (c *Cell) steerExecutor(now tick.Time, x *executor, serving, filling []*run, out []Order) []Order {
	worst, share := mostLoaded(serving)
	if markOver(x.heardAt, serving) > c.params.overPatience() {
		// Whatever the model says, what fills must not work on beside a target missed for long.
		return c.halt(now, x, filling, out)
	}
	slices.SortFunc(filling, func(a, b *run) int {
		return cmp.Or(
			cmp.Compare(c.weightOn(worst, b), c.weightOn(worst, a)), cmp.Compare(b.startedAt, a.startedAt),
			strings.Compare(a.id.Task.Job, b.id.Task.Job), cmp.Compare(a.id.Task.Index, b.id.Task.Index),
		)
	})
	switch {
	case share > tightShare && c.isCutDue(now, x, share):
		x.cutAt, x.cutShare = now, share
		out = c.cut(now, x, worst, filling, cutOf(share), out)
	case share < calmShare:
		out = c.raise(now, x, filling, out)
	}
	for _, f := range filling {
		if f.isPaceUnsure {
			out = append(out, c.setPace(now, x, f, f.pace))
		}
	}
	return out
}

// isCutDue reports whether the press may be cut: the last cut shows in the tails by now, or they have grown since.
func (c *Cell) isCutDue(now tick.Time, x *executor, share float64) bool {
	return now.Sub(x.cutAt) >= c.params.PaceDelay+tailDelay || share > worseFactor*x.cutShare
}

// cutOf returns the share of the press to cut at a tail's share of its target.
func cutOf(share float64) float64 {
	switch {
	case share > overShare:
		return 1
	case share > 1:
		return targetCut
	}
	return tightCut
}

// halt stops the work of all filling runs of an executor.
func (c *Cell) halt(now tick.Time, x *executor, filling []*run, out []Order) []Order {
	x.noFillUntil = max(x.noFillUntil, now.Add(haltPause))
	for _, f := range filling {
		if f.pace > 0 || f.isPaceUnsure {
			c.note(Event{Name: "halted", Task: f.id.Task, Run: f.id.Number, Executor: x.entry.ID})
			out = append(out, c.setPace(now, x, f, 0))
		}
	}
	return out
}

// overPatience is how long a serving task may be over its target before all that fills beside it is halted.
func (p Params) overPatience() time.Duration {
	bound := p.Interference
	if bound == 0 {
		bound = defaultInterference
	}
	return time.Duration(overShareOfBound * float64(bound))
}

// markOver notes since when the serving runs are over their targets, and returns the longest such time.
func markOver(now tick.Time, serving []*run) time.Duration {
	longest := time.Duration(0)
	for _, s := range serving {
		if s.usage <= int64(s.task.step.pb.TargetMs) {
			s.overSince = 0
			continue
		}
		if s.overSince == 0 {
			s.overSince = now
		}
		longest = max(longest, now.Sub(s.overSince))
	}
	return longest
}

// mostLoaded returns the serving run that is nearest to its target or farthest beyond it, and its share of the target.
func mostLoaded(serving []*run) (*run, float64) {
	var worst *run
	most := 0.0
	for _, s := range serving {
		if share := float64(s.usage) / float64(s.task.step.pb.TargetMs); share > most {
			worst, most = s, share
		}
	}
	return worst, most
}

// cut takes a share of the press on the serving run away, from the runs that press most for each core first.
func (c *Cell) cut(now tick.Time, x *executor, worst *run, filling []*run, share float64, out []Order) []Order {
	x.noFillUntil = max(x.noFillUntil, now.Add(fillPause))
	total := 0.0
	for _, f := range filling {
		total += c.pressOf(worst, f)
	}
	excess := total * share
	for _, f := range filling {
		press := c.pressOf(worst, f)
		if excess <= 0 || press <= 0 || f.isUnwanted {
			continue
		}
		keep := max(0, 1-excess/press)
		excess -= press * (1 - keep)
		out = append(out, c.setPace(now, x, f, int(keep*float64(f.pace))/paceStep*paceStep))
	}
	return out
}

// raise lets the first slowed run that presses least go faster.
func (c *Cell) raise(now tick.Time, x *executor, filling []*run, out []Order) []Order {
	for _, f := range slices.Backward(filling) {
		if f.pace < fullPace && !f.isUnwanted {
			x.noFillUntil = max(x.noFillUntil, now.Add(fillPause))
			return append(out, c.setPace(now, x, f, min(fullPace, f.pace+paceRise)))
		}
	}
	return out
}

// pressOf returns the load that a filling run adds to a serving run at its pace.
func (c *Cell) pressOf(s, f *run) float64 {
	return c.weightOn(s, f) * f.full() * float64(f.pace) / fullPace
}

// weightOn returns the load that each core of a filling run adds to a serving run.
func (c *Cell) weightOn(s, f *run) float64 {
	if s == nil {
		return 0
	}
	return c.press.weightOf(pair{s.task.step.pb.Image, f.task.step.pb.Image})
}

// isToMove reports whether a run has been slowed for a while and can resume elsewhere.
func (c *Cell) isToMove(now tick.Time, f *run) bool {
	pb := f.task.step.pb
	if f.isUnwanted || f.pace >= slowPace || now.Sub(f.slowAt) < moveAfter || pb.Gang {
		return false
	}
	return pb.Checkpointing || f.percent <= restartPercent
}

// move stops a run if another executor can take it at its full pace.
func (c *Cell) move(p *placement, f *run) {
	if x := p.candidates(f.task.step).best(f.task); x == nil || x == f.exec {
		return
	}
	c.unwant(f)
	c.note(Event{Name: "moved", Task: f.id.Task, Run: f.id.Number, Executor: f.exec.entry.ID, Detail: "slowed"})
}

func (c *Cell) setPace(now tick.Time, x *executor, r *run, percent int) Order {
	if r.pace >= slowPace && percent < slowPace {
		r.slowAt = now
	}
	r.pace = percent
	r.isPaceUnsure = false
	return Order{Target: x.target(), Pace: &orders.Pace{Run: r.id, Percent: percent, Epoch: c.epoch}}
}

// bears reports whether the serving runs of an executor bear one more filling task, and the load that it would add.
func bears(now tick.Time, x *executor, s *step) (float64, bool) {
	if len(x.serving) == 0 {
		return 0, true
	}
	cores := float64(s.pb.MilliCpu) / coreThousandths
	most := 0.0
	for _, r := range x.serving {
		if r.isTight {
			return 0, false
		}
		adds := r.fit.weightOf(s.pb.Image) * cores
		most = max(most, adds)
		if adds >= lightPress && (adds > r.headroom || now.Before(x.noFillUntil)) {
			return 0, false
		}
	}
	return most, true
}

// lightPress is the load that a filling task may add to any serving one.
const lightPress = 0.02
