package quant

import (
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// unitsPerRatio is the resolution of the histograms, maxUnits their highest value and digits their precision, which is
	// 1 %.
	unitsPerRatio = 1000
	maxUnits      = 1000 * unitsPerRatio
	digits        = 2
	// generationSize is the number of samples after which the older half of them is dropped. Quantiles near 1 need some
	// hundred samples, and a queue of a few jobs a second has them again within a minute.
	generationSize = 1000
	// refreshInterval is the number of samples after which quantiles are computed again. The first ones count at once.
	refreshInterval = 16
	// stepCount is the number of equal steps of probability between the quantiles that are kept.
	stepCount = 40
)

// sketch holds the quantiles of the newest samples in two histograms. Once the present one is full, it becomes the
// previous one.
type sketch struct {
	present, previous *hdrhistogram.Histogram
	// total is the number of samples in both, sinceRefresh that of those added since the quantiles were computed.
	total, sinceRefresh int
	quantiles           []float64
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxUnits, digits) }

// add adds a ratio n times. Ratios outside the range count as its nearest end.
func (s *sketch) add(ratio float64, n int) {
	if s.present == nil {
		s.present = newHistogram()
	}
	units := int64(min(maxUnits, max(1, ratio*unitsPerRatio)))
	// Recording fails only for values above maxUnits.
	_ = s.present.RecordValues(units, int64(n))
	s.total += n
	s.sinceRefresh += n
	if s.present.TotalCount() < generationSize {
		return
	}
	s.present, s.previous = s.previous, s.present
	if s.present != nil {
		s.total -= int(s.present.TotalCount())
		s.present.Reset()
	}
	s.sinceRefresh = refreshInterval
}

// quantile returns the ratio that the share p of the samples does not exceed, or 1 without samples.
func (s *sketch) quantile(p float64) float64 {
	steps := s.steps()
	if len(steps) == 0 {
		return 1
	}
	return interpolate(steps, p)
}

// interpolate returns the quantile p of values at equal steps of probability.
func interpolate(values []float64, p float64) float64 {
	at := min(1, max(0, p)) * float64(len(values)-1)
	i := min(int(at), len(values)-1)
	next := min(i+1, len(values)-1)
	return values[i] + (at-float64(i))*(values[next]-values[i])
}

// steps returns the quantiles at equal steps of probability from 0 to 1, or none without samples.
func (s *sketch) steps() []float64 {
	isDue := s.sinceRefresh > 0 && (s.sinceRefresh >= refreshInterval || s.total < 2*refreshInterval)
	if !isDue {
		return s.quantiles
	}
	s.sinceRefresh = 0
	h := s.merged()
	percentiles := make([]float64, stepCount+1)
	for i := range percentiles {
		percentiles[i] = float64(i) * 100 / stepCount
	}
	s.quantiles = s.quantiles[:0]
	for i, units := range h.ValueAtPercentilesSlice(percentiles) {
		if i == 0 {
			units = h.Min()
		}
		s.quantiles = append(s.quantiles, max(1, float64(units))/unitsPerRatio)
	}
	return s.quantiles
}

func (s *sketch) merged() *hdrhistogram.Histogram {
	if s.previous == nil {
		return s.present
	}
	h := newHistogram()
	h.Merge(s.previous)
	if s.present != nil {
		h.Merge(s.present)
	}
	return h
}

// mean returns the mean of the samples, or 1 without samples.
func (s *sketch) mean() float64 {
	if s.total == 0 {
		return 1
	}
	return s.merged().Mean() / unitsPerRatio
}

// approximateMean returns the mean of the cached quantiles, which costs far less than that of the samples.
func (s *sketch) approximateMean() float64 {
	steps := s.steps()
	if len(steps) == 0 {
		return 1
	}
	sum := 0.0
	for _, ratio := range steps {
		sum += ratio
	}
	return sum / float64(len(steps))
}

// load adds samples with the quantiles, at most so many that half a generation of new ones outweighs them.
func (s *sketch) load(quantiles []float64, samples uint64) {
	sorted := slices.Sorted(slices.Values(quantiles))
	n := int(min(samples, generationSize/2))
	for i := range n {
		s.add(interpolate(sorted, (float64(i)+0.5)/float64(n)), 1)
	}
}

// jobRatios holds samples of one job in ascending order. When there are too many, every second one is dropped, which
// keeps the quantiles.
type jobRatios struct {
	sorted []float64
	total  int
}

// maxJobSamples bounds the samples of a job that are kept.
const maxJobSamples = 32

func (j *jobRatios) add(ratio float64) {
	j.total++
	i, _ := slices.BinarySearch(j.sorted, ratio)
	j.sorted = slices.Insert(j.sorted, i, ratio)
	if len(j.sorted) <= maxJobSamples {
		return
	}
	kept := j.sorted[:0]
	for k := 0; k < len(j.sorted); k += 2 {
		kept = append(kept, j.sorted[k])
	}
	j.sorted = kept
}

// quantile returns the quantile p of the samples, of which there is at least one.
func (j *jobRatios) quantile(p float64) float64 { return interpolate(j.sorted, p) }
