// Package interf estimates by how much best-effort tasks load the latency-critical tasks on the same executor.
//
// The load of a latency-critical task is 1 - base/tail, where tail is its tail latency and base the lowest tail latency
// observed for its image. The load grows roughly linearly with the cores that a best-effort image uses on the executor,
// while the tail latency itself grows without bound. The task's own load also changes, but more slowly than the
// best-effort usage, so the regression uses differences between two samples.
//
// # Usage
//
//	m := interf.New()
//	m.Observe(now, &last, interf.Tail{Image: "web", MS: 30, TargetMS: 50, Cores: cores})
//	added := m.Weight("web", "sum") * 4 // the load that four cores add
//	headroom := m.Headroom("web", 30, 35)
package interf

import (
	"maps"
	"slices"
	"time"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/pkg/tick"
)

// Model has the regressions of all latency-critical images. It is not safe for concurrent use.
type Model struct {
	// BaseMS has the lowest tail latency of each latency-critical image.
	BaseMS      map[string]float64
	Regressions map[string]*Regression
}

// Regression is a least-squares regression for one latency-critical image. Its weights are the load that each core of a
// best-effort image adds. Weights are not negative, and a prior dominates the weights of images with few differences.
type Regression struct {
	Images  []string
	Weights []float64
	// NormalMatrix and NormalVector are the sums of the normal equations, multiplied by the scale.
	NormalMatrix [][]float64
	NormalVector []float64
	// scale is the weight of the newest difference, which grows with each one; 0 stands for 1. The older differences count
	// less by it, without a change of their sums.
	scale float64
	// unswept is the number of differences since the last sweep over all weights.
	unswept int
}

const (
	// priorWeight is the load that one core of an unknown image is assumed to add.
	priorWeight = 0.004
	// priorStrength is the weight of the prior, in squared cores of difference.
	priorStrength = 40
	// forgettingFactor is the factor by which older differences are discounted at each new one.
	forgettingFactor = 0.9995
	// maxBestEffortImages bounds the best-effort images that one regression distinguishes.
	maxBestEffortImages = 64
	// sweepsPerUpdate is the number of coordinate descent passes for each new difference, over the weights of the images
	// in it. sweepInterval is the number of differences between two passes over all weights.
	sweepsPerUpdate = 2
	sweepInterval   = 64
	// maxScale bounds the scale of the sums, whose precision would suffer.
	maxScale = 1e6
	// minBaseRatio is the lowest base of an image, as a ratio to the task's latency target.
	minBaseRatio = 0.02
	// saturatedRatio is the ratio of tail latency to target beyond which a sample does not update the regression, since
	// such a high tail latency says little about its cause.
	saturatedRatio = 6
)

// New returns a Model without samples.
func New() *Model { return &Model{BaseMS: map[string]float64{}, Regressions: map[string]*Regression{}} }

// Weight returns the load that one core of the best-effort image adds to the latency-critical one.
func (m *Model) Weight(latencyCritical, bestEffort string) float64 {
	return m.Regressions[latencyCritical].Weight(bestEffort)
}

// Weight returns the load that one core of a best-effort image adds. The regression may be nil.
func (r *Regression) Weight(image string) float64 {
	if r == nil {
		return priorWeight
	}
	if i := slices.Index(r.Images, image); i >= 0 {
		return r.Weights[i]
	}
	return priorWeight
}

// indexOrAdd returns the index of an image in the regression. It adds a new image unless the regression is full, in
// which case it returns -1.
func (r *Regression) indexOrAdd(image string) int {
	if i := slices.Index(r.Images, image); i >= 0 {
		return i
	}
	if len(r.Images) == maxBestEffortImages {
		return -1
	}
	r.Images = append(r.Images, image)
	r.Weights = append(r.Weights, priorWeight)
	r.NormalVector = append(r.NormalVector, 0)
	for i := range r.NormalMatrix {
		r.NormalMatrix[i] = append(r.NormalMatrix[i], 0)
	}
	r.NormalMatrix = append(r.NormalMatrix, make([]float64, len(r.Images)))
	return len(r.Images) - 1
}

// change is the difference in cores used by the image with the index.
type change struct {
	index int
	cores float64
}

// AddDifference updates the weights with the difference in load between two samples and the differences in cores used
// by each best-effort image.
func (r *Regression) AddDifference(load float64, cores map[string]float64) {
	r.discount()
	changes := r.changes(cores)
	for _, a := range changes {
		r.NormalVector[a.index] += r.scale * a.cores * load
		for _, b := range changes {
			r.NormalMatrix[a.index][b.index] += r.scale * a.cores * b.cores
		}
	}
	for range sweepsPerUpdate {
		for _, a := range changes {
			r.fit(a.index)
		}
	}
	if r.unswept++; r.unswept >= sweepInterval {
		r.Sweep()
	}
}

// changes returns the differences that are not 0, in the order of their images. It adds the images that are new.
func (r *Regression) changes(cores map[string]float64) []change {
	out := make([]change, 0, len(cores))
	for image, d := range cores {
		if i := r.indexOrAdd(image); i >= 0 && d != 0 {
			out = append(out, change{i, d})
		}
	}
	slices.SortFunc(out, func(a, b change) int { return a.index - b.index })
	return out
}

// discount lowers the weight of all sums so far by forgettingFactor.
func (r *Regression) discount() {
	r.scale = r.sumScale() / forgettingFactor
	if r.scale < maxScale {
		return
	}
	for i, row := range r.NormalMatrix {
		r.NormalVector[i] /= r.scale
		for j := range row {
			row[j] /= r.scale
		}
	}
	r.scale = 1
}

// sumScale returns the factor by which the sums are multiplied.
func (r *Regression) sumScale() float64 {
	if r.scale == 0 {
		return 1
	}
	return r.scale
}

// Sweep sets each weight in turn to its least-squares optimum for the present values of the others.
func (r *Regression) Sweep() {
	r.unswept = 0
	for i := range r.NormalMatrix {
		r.fit(i)
	}
}

// fit sets the weight with the index to its least-squares optimum for the present values of the others.
func (r *Regression) fit(i int) {
	row, prior := r.NormalMatrix[i], r.sumScale()*priorStrength
	rest := r.NormalVector[i] + prior*priorWeight
	for j, w := range r.Weights {
		if j != i {
			rest -= row[j] * w
		}
	}
	r.Weights[i] = max(0, rest/(row[i]+prior))
}

// Load returns the load of a latency-critical task of the image with the tail latency.
func (m *Model) Load(image string, tailMS int64) float64 {
	if tailMS <= 0 {
		return 0
	}
	return max(0, 1-m.BaseMS[image]/float64(tailMS))
}

// Headroom returns the load that may be added to a task of the image until its tail latency reaches the limit.
func (m *Model) Headroom(image string, tailMS int64, limitMS float64) float64 {
	if tailMS <= 0 {
		return 0
	}
	return 1 - m.BaseMS[image]/limitMS - m.Load(image, tailMS)
}

// Tail is the tail latency of a latency-critical task and its target, and the cores in use by each best-effort image on
// the same executor.
type Tail struct {
	Image        string
	MS, TargetMS int64
	Cores        map[string]float64
}

// Sample is the last sample of a latency-critical task.
type Sample struct {
	at    tick.Time
	load  float64
	cores map[string]float64
	// isUnsaturated is true if the tail latency was below saturatedRatio times the target.
	isUnsaturated bool
}

// minSampleInterval is the shortest time between two samples that are compared.
const minSampleInterval = 450 * time.Millisecond

// Observe samples a tail latency and updates the regression of its image with the difference from the last sample of
// the same task, which it replaces.
func (m *Model) Observe(now tick.Time, last *Sample, t Tail) {
	if t.MS <= 0 || now.Sub(last.at) < minSampleInterval {
		return
	}
	tail := max(float64(t.MS), minBaseRatio*float64(t.TargetMS))
	if b, ok := m.BaseMS[t.Image]; !ok || tail < b {
		m.BaseMS[t.Image] = tail
	}
	former := *last
	*last = Sample{
		at: now, load: m.Load(t.Image, t.MS), cores: t.Cores,
		isUnsaturated: float64(t.MS) < saturatedRatio*float64(t.TargetMS),
	}
	if former.at == 0 || !former.isUnsaturated || !last.isUnsaturated {
		return
	}
	reg, ok := m.Regressions[t.Image]
	if !ok {
		reg = &Regression{}
		m.Regressions[t.Image] = reg
	}
	delta := map[string]float64{}
	for image, c := range last.cores {
		delta[image] = c
	}
	for image, c := range former.cores {
		delta[image] -= c
	}
	reg.AddDifference(last.load-former.load, delta)
}

// maxEvidence limits the weight that a new leader gives to the evidence of previous ones. The evidence for a
// weight is its diagonal element of the normal matrix, in squared cores.
const maxEvidence = 400

// Save returns the regressions for storage.
func (m *Model) Save() []*jobpb.ImageFit {
	var fits []*jobpb.ImageFit
	for _, image := range slices.Sorted(maps.Keys(m.BaseMS)) {
		p := &jobpb.ImageFit{Serving: image, BaseMs: m.BaseMS[image]}
		if reg, ok := m.Regressions[image]; ok {
			p.Images, p.Weights = reg.Images, reg.Weights
			for i := range reg.Images {
				p.Evidence = append(p.Evidence, reg.NormalMatrix[i][i]/reg.sumScale())
			}
		}
		fits = append(fits, p)
	}
	return fits
}

// Restore restores the regressions that Save has returned.
func (m *Model) Restore(fits []*jobpb.ImageFit) {
	for _, p := range fits {
		m.BaseMS[p.Serving] = p.BaseMs
		reg := &Regression{}
		for i, image := range p.Images {
			if i >= len(p.Weights) || i >= len(p.Evidence) || reg.indexOrAdd(image) != i {
				break
			}
			evidence := min(maxEvidence, p.Evidence[i])
			reg.Weights[i] = p.Weights[i]
			reg.NormalMatrix[i][i] = evidence
			// With these sums, a sweep yields the recorded weight.
			reg.NormalVector[i] = evidence*p.Weights[i] + priorStrength*(p.Weights[i]-priorWeight)
		}
		m.Regressions[p.Serving] = reg
	}
}
