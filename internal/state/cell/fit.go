package cell

import (
	"slices"
	"time"

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
