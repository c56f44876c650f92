package cell

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

// pair is an image that serves and an image that fills beside it.
type pair struct {
	serving, filling string
}

// presses learns by how much tasks that fill load the tasks that serve beside them.
//
// The load of a serving task is 1 - base/tail, where base is the least tail seen of its image: it grows by about the
// same amount for each core that an image uses beside it, while the tail itself grows without bound. A serving task's
// own load changes too, but slower than what fills beside it, so the model is fitted to differences between two looks.
type presses struct {
	base map[string]float64
	fits map[string]*fit
}

// fit is the least-squares fit of one serving image: the load that each core of a filling image adds. Weights are not
// negative, and a prior holds those of which little is known.
type fit struct {
	images []string
	weight []float64
	// products and targets are the sums of the normal equations.
	products [][]float64
	targets  []float64
}

const (
	// priorWeight is the load that one core adds of which nothing is known.
	priorWeight = 0.004
	// priorStrength is how many squared cores of difference the prior counts for.
	priorStrength = 40
	// forgetting keeps that share of what was learnt at each new difference.
	forgetting = 0.9995
	// maxImages bounds the filling images that one fit tells apart.
	maxImages = 64
	// fitSweeps is how many times the weights are improved one by one at each new difference.
	fitSweeps = 2
	// minBaseShare is the least base of an image, as a share of its target.
	minBaseShare = 0.02
	// saturatedShare is the share of its target beyond which a tail tells little of its cause.
	saturatedShare = 6
	// coreThousandths is the number of units of processor share in a core.
	coreThousandths = 1000
)

func newPresses() *presses { return &presses{base: map[string]float64{}, fits: map[string]*fit{}} }

func (p *presses) weightOf(k pair) float64 {
	return p.fits[k.serving].weightOf(k.filling)
}

// weightOf returns the load that one core of a filling image adds. The fit may be nil.
func (f *fit) weightOf(image string) float64 {
	if f == nil {
		return priorWeight
	}
	if i := slices.Index(f.images, image); i >= 0 {
		return f.weight[i]
	}
	return priorWeight
}

// index returns the place of an image in the fit, which it adds if there is room, or -1.
func (f *fit) index(image string) int {
	if i := slices.Index(f.images, image); i >= 0 {
		return i
	}
	if len(f.images) == maxImages {
		return -1
	}
	f.images = append(f.images, image)
	f.weight = append(f.weight, priorWeight)
	f.targets = append(f.targets, 0)
	for i := range f.products {
		f.products[i] = append(f.products[i], 0)
	}
	f.products = append(f.products, make([]float64, len(f.images)))
	return len(f.images) - 1
}

// add takes the difference of the load between two looks, and the differences of the cores used beside it.
func (f *fit) add(load float64, cores map[string]float64) {
	delta := make([]float64, len(f.images), len(f.images)+len(cores))
	for image, d := range cores {
		if i := f.index(image); i >= 0 {
			for len(delta) <= i {
				delta = append(delta, 0)
			}
			delta[i] = d
		}
	}
	for i, d := range delta {
		f.targets[i] = forgetting*f.targets[i] + d*load
		for j, e := range delta {
			f.products[i][j] = forgetting*f.products[i][j] + d*e
		}
	}
	for range fitSweeps {
		f.sweep()
	}
}

// sweep sets each weight to the best value for the present others.
func (f *fit) sweep() {
	for i, row := range f.products {
		rest := f.targets[i] + priorStrength*priorWeight
		for j, w := range f.weight {
			if j != i {
				rest -= row[j] * w
			}
		}
		f.weight[i] = max(0, rest/(row[i]+priorStrength))
	}
}

// load returns the load of a serving run by its tail.
func (p *presses) load(r *run) float64 {
	if r.usage <= 0 {
		return 0
	}
	return max(0, 1-p.base[r.task.step.pb.Image]/float64(r.usage))
}

// full returns the cores that a filling run would use at its full pace.
func (r *run) full() float64 { return float64(r.task.step.pb.MilliCpu) / coreThousandths }

// used returns the cores that a filling run has used of late.
func (r *run) used() float64 { return float64(r.usage) / coreThousandths }

// look is a serving run's tail and what was used beside it at one time.
type look struct {
	at    tick.Time
	load  float64
	cores map[string]float64
	// isClear means that the tail was not beyond what tells of its cause.
	isClear bool
}

// lookInterval is the time between two looks that are compared.
const lookInterval = 450 * time.Millisecond

// observe compares a serving run's tail, and what fills beside it, with the last look.
func (p *presses) observe(now tick.Time, s *run, cores map[string]float64) {
	pb := s.task.step.pb
	if s.usage <= 0 || s.percent < fullPace || now.Sub(s.look.at) < lookInterval {
		return
	}
	tail := max(float64(s.usage), minBaseShare*float64(pb.TargetMs))
	if b, ok := p.base[pb.Image]; !ok || tail < b {
		p.base[pb.Image] = tail
	}
	l := look{at: now, load: p.load(s), cores: cores, isClear: float64(s.usage) < saturatedShare*float64(pb.TargetMs)}
	last := s.look
	s.look = l
	if last.at == 0 || !last.isClear || !l.isClear {
		return
	}
	f, ok := p.fits[pb.Image]
	if !ok {
		f = &fit{}
		p.fits[pb.Image] = f
	}
	delta := map[string]float64{}
	for image, c := range l.cores {
		delta[image] = c
	}
	for image, c := range last.cores {
		delta[image] -= c
	}
	f.add(l.load-last.load, delta)
}

const (
	// calmShare is the share of its target below which a serving task bears more beside it.
	calmShare = 0.7
	// tightShare is the share of its target beyond which the press on a serving task is cut a little.
	tightShare = 0.85
	// overShare is the share beyond which the press is cut to nothing.
	overShare = 3
	// tightCut and targetCut are the shares of the press that are cut beyond tightShare and beyond the target.
	tightCut  = 0.25
	targetCut = 0.8
	// overPatience is how long a serving task may be over its target before all that fills beside it is halted.
	overPatience = 1200 * time.Millisecond
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
	if markOver(x.heardAt, serving) > overPatience {
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
	case share > overShare:
		out = c.cut(now, x, worst, filling, 1, out)
	case share > 1:
		out = c.cut(now, x, worst, filling, targetCut, out)
	case share > tightShare:
		out = c.cut(now, x, worst, filling, tightCut, out)
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
