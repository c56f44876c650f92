package interf

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	denseImages = 30
	// denseUsed is the number of images on one executor.
	denseUsed = 4
)

// dense is a regression that discounts all sums and fits all weights with each difference.
type dense struct {
	weights, vector []float64
	matrix          [][]float64
}

func newDense() *dense {
	d := &dense{weights: make([]float64, denseImages), vector: make([]float64, denseImages)}
	for i := range d.weights {
		d.weights[i] = priorWeight
		d.matrix = append(d.matrix, make([]float64, denseImages))
	}
	return d
}

func (d *dense) add(load float64, delta []float64) {
	for i, a := range delta {
		d.vector[i] = forgettingFactor*d.vector[i] + a*load
		for j, b := range delta {
			d.matrix[i][j] = forgettingFactor*d.matrix[i][j] + a*b
		}
	}
	for range sweepsPerUpdate {
		for i, row := range d.matrix {
			rest := d.vector[i] + priorStrength*priorWeight
			for j, w := range d.weights {
				if j != i {
					rest -= row[j] * w
				}
			}
			d.weights[i] = max(0, rest/(row[i]+priorStrength))
		}
	}
}

func imageName(i int) string { return fmt.Sprintf("be%d", i) }

// drawDifference returns a random difference between two samples on an executor: the load, and the cores of each image.
func drawDifference(rnd *rand.Rand, weights []float64) (float64, []float64) {
	delta := make([]float64, denseImages)
	load := 0.02 * rnd.NormFloat64()
	for range denseUsed {
		i := rnd.IntN(denseImages)
		delta[i] = 10 * rnd.NormFloat64()
	}
	for i, d := range delta {
		load += weights[i] * d
	}
	return load, delta
}

func coresOf(delta []float64) map[string]float64 {
	cores := map[string]float64{}
	for i, d := range delta {
		if d != 0 {
			cores[imageName(i)] = d
		}
	}
	return cores
}

// TestWeightsFollowDenseRegression compares the weights with those of a regression that updates all of its state with
// each difference.
func TestWeightsFollowDenseRegression(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	truth := make([]float64, denseImages)
	for i := range truth {
		truth[i] = 0.02 * rnd.Float64()
	}
	d, r := newDense(), &Regression{}
	for i := range denseImages {
		r.indexOrAdd(imageName(i))
	}
	const differences = 60_000
	for n := range differences {
		load, delta := drawDifference(rnd, truth)
		d.add(load, delta)
		r.AddDifference(load, coresOf(delta))
		if n < 500 {
			continue
		}
		for i := range truth {
			got, want := r.Weight(imageName(i)), d.weights[i]
			assert.Assert(t, math.Abs(got-want) <= 0.0005, "difference %d, image %d: %.5f, dense %.5f", n, i, got, want)
		}
	}
}

func BenchmarkAddDifference(b *testing.B) {
	rnd := rand.New(rand.NewPCG(1, 1))
	weights := make([]float64, denseImages)
	r := &Regression{}
	for i := range denseImages {
		r.indexOrAdd(imageName(i))
	}
	load, delta := drawDifference(rnd, weights)
	cores := coresOf(delta)
	b.ReportAllocs()
	for b.Loop() {
		r.AddDifference(load, cores)
	}
}
