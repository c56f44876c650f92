package cell

import (
	"slices"
	"time"

	"github.com/ibischute/ibischute/pkg/tick"
)

// imagePair is a latency-critical image and a best-effort image that runs on the same executor.
type imagePair struct {
	latencyCritical, bestEffort string
}

// interferenceModel estimates by how much best-effort tasks load the latency-critical tasks on the same executor.
//
// The load of a latency-critical task is 1 - base/tail, where tail is its tail latency and base the lowest tail latency
// observed for its image. The load grows roughly linearly with the cores that a best-effort image uses on the executor,
// while the tail latency itself grows without bound. The task's own load also changes, but more slowly than the
// best-effort usage, so the regression uses differences between two samples.
type interferenceModel struct {
	baseMS      map[string]float64
	regressions map[string]*regression
}

// regression is a least-squares regression for one latency-critical image. Its weights are the load that each core of a
// best-effort image adds. Weights are not negative, and a prior dominates the weights of images with few differences.
type regression struct {
	images  []string
	weights []float64
	// normalMatrix and normalVector are the sums of the normal equations.
	normalMatrix [][]float64
	normalVector []float64
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
	// sweepsPerUpdate is the number of coordinate descent passes over the weights for each new difference.
	sweepsPerUpdate = 2
	// minBaseRatio is the lowest base of an image, as a ratio to the task's latency target.
	minBaseRatio = 0.02
	// saturatedRatio is the ratio of tail latency to target beyond which a sample does not update the regression, since
	// such a high tail latency says little about its cause.
	saturatedRatio  = 6
	milliCPUPerCore = 1000
)

func newInterferenceModel() *interferenceModel {
	return &interferenceModel{baseMS: map[string]float64{}, regressions: map[string]*regression{}}
}

func (m *interferenceModel) weightOf(k imagePair) float64 {
	return m.regressions[k.latencyCritical].weightOf(k.bestEffort)
}

// weightOf returns the load that one core of a best-effort image adds. The regression may be nil.
func (r *regression) weightOf(image string) float64 {
	if r == nil {
		return priorWeight
	}
	if i := slices.Index(r.images, image); i >= 0 {
		return r.weights[i]
	}
	return priorWeight
}

// indexOrAdd returns the index of an image in the regression. It adds a new image unless the regression is full, in
// which case it returns -1.
func (r *regression) indexOrAdd(image string) int {
	if i := slices.Index(r.images, image); i >= 0 {
		return i
	}
	if len(r.images) == maxBestEffortImages {
		return -1
	}
	r.images = append(r.images, image)
	r.weights = append(r.weights, priorWeight)
	r.normalVector = append(r.normalVector, 0)
	for i := range r.normalMatrix {
		r.normalMatrix[i] = append(r.normalMatrix[i], 0)
	}
	r.normalMatrix = append(r.normalMatrix, make([]float64, len(r.images)))
	return len(r.images) - 1
}

// addDifference updates the weights with the difference in load between two samples and the differences in cores used
// by each best-effort image.
func (r *regression) addDifference(load float64, cores map[string]float64) {
	delta := make([]float64, len(r.images), len(r.images)+len(cores))
	for image, d := range cores {
		if i := r.indexOrAdd(image); i >= 0 {
			for len(delta) <= i {
				delta = append(delta, 0)
			}
			delta[i] = d
		}
	}
	for i, d := range delta {
		r.normalVector[i] = forgettingFactor*r.normalVector[i] + d*load
		for j, e := range delta {
			r.normalMatrix[i][j] = forgettingFactor*r.normalMatrix[i][j] + d*e
		}
	}
	for range sweepsPerUpdate {
		r.sweep()
	}
}

// sweep sets each weight in turn to its least-squares optimum for the present values of the others.
func (r *regression) sweep() {
	for i, row := range r.normalMatrix {
		rest := r.normalVector[i] + priorStrength*priorWeight
		for j, w := range r.weights {
			if j != i {
				rest -= row[j] * w
			}
		}
		r.weights[i] = max(0, rest/(row[i]+priorStrength))
	}
}

// load returns the load of a latency-critical run according to its tail latency.
func (m *interferenceModel) load(r *run) float64 {
	if r.usage <= 0 {
		return 0
	}
	return max(0, 1-m.baseMS[r.task.step.pb.Image]/float64(r.usage))
}

// tailSample is the load of a latency-critical run and the cores in use by each best-effort image on the same
// executor at one time.
type tailSample struct {
	at    tick.Time
	load  float64
	cores map[string]float64
	// isUnsaturated is true if the tail latency was below saturatedRatio times the target.
	isUnsaturated bool
}

// minSampleInterval is the shortest time between two samples that are compared.
const minSampleInterval = 450 * time.Millisecond

// observe samples the tail latency of a latency-critical run and the cores in use by best-effort runs on its executor,
// and updates the regression of its image with the difference from the last sample.
func (m *interferenceModel) observe(now tick.Time, lc *run, cores map[string]float64) {
	pb := lc.task.step.pb
	if lc.usage <= 0 || lc.percent < fullPacePercent || now.Sub(lc.lastSample.at) < minSampleInterval {
		return
	}
	tail := max(float64(lc.usage), minBaseRatio*float64(pb.TargetMs))
	if b, ok := m.baseMS[pb.Image]; !ok || tail < b {
		m.baseMS[pb.Image] = tail
	}
	sample := tailSample{
		at: now, load: m.load(lc), cores: cores,
		isUnsaturated: float64(lc.usage) < saturatedRatio*float64(pb.TargetMs),
	}
	last := lc.lastSample
	lc.lastSample = sample
	if last.at == 0 || !last.isUnsaturated || !sample.isUnsaturated {
		return
	}
	reg, ok := m.regressions[pb.Image]
	if !ok {
		reg = &regression{}
		m.regressions[pb.Image] = reg
	}
	delta := map[string]float64{}
	for image, c := range sample.cores {
		delta[image] = c
	}
	for image, c := range last.cores {
		delta[image] -= c
	}
	reg.addDifference(sample.load-last.load, delta)
}
