// Package outl ejects executors that fail or are much slower than the rest.
//
// Ejection has a floor: at most half of the executors are out at any time, so that the rest does not drown. An ejected
// executor comes back after a time that doubles with each ejection in a row.
//
// # Usage
//
//	d := outl.New()
//	d.Report(now, "cat-ex-1", ok, latency/classMean)
//	if d.IsEjected(now, "cat-ex-1") { ... }
package outl

import (
	"slices"
	"time"

	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	failuresInRow  = 5
	baseEjection   = 2 * time.Second
	maxEjection    = 60 * time.Second
	slowFactor     = 4.0
	minSamples     = 10
	latencyWeight  = 0.2
	ejectableShare = 0.5
)

type health struct {
	failures int
	samples  int
	slowness float64
	until    tick.Time
	times    int
}

// Detector decides on ejections. It is not safe for concurrent use.
type Detector struct {
	executors map[ident.Executor]*health
}

// New returns a Detector without executors.
func New() *Detector { return &Detector{executors: map[ident.Executor]*health{}} }

// Add makes an executor count.
func (d *Detector) Add(e ident.Executor) {
	if _, ok := d.executors[e]; !ok {
		d.executors[e] = &health{slowness: 1}
	}
}

// Remove forgets an executor.
func (d *Detector) Remove(e ident.Executor) { delete(d.executors, e) }

// Slowness returns the mean of the executor's latencies relative to what is usual for their classes.
func (d *Detector) Slowness(e ident.Executor) float64 {
	if h, ok := d.executors[e]; ok {
		return h.slowness
	}
	return 1
}

// Report counts one result; relative is its latency relative to what is usual for its class.
func (d *Detector) Report(now tick.Time, e ident.Executor, ok bool, relative float64) {
	h, known := d.executors[e]
	if !known {
		return
	}
	if !ok {
		h.failures++
		if h.failures >= failuresInRow {
			d.eject(now, h)
		}
		return
	}
	h.failures = 0
	h.samples++
	h.slowness += latencyWeight * (relative - h.slowness)
	if h.samples < minSamples {
		return
	}
	if h.slowness > slowFactor*d.median() {
		d.eject(now, h)
		return
	}
	if now.After(h.until.Add(maxEjection)) {
		h.times = 0
	}
}

// median returns the median slowness of all executors.
func (d *Detector) median() float64 {
	all := make([]float64, 0, len(d.executors))
	for _, h := range d.executors {
		all = append(all, h.slowness)
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

func (d *Detector) eject(now tick.Time, h *health) {
	if now.Before(h.until) || float64(d.ejected(now)+1) > ejectableShare*float64(len(d.executors)) {
		return
	}
	h.until = now.Add(min(baseEjection<<min(h.times, 5), maxEjection))
	h.times++
	h.failures, h.samples, h.slowness = 0, 0, 1
}

func (d *Detector) ejected(now tick.Time) int {
	n := 0
	for _, h := range d.executors {
		if now.Before(h.until) {
			n++
		}
	}
	return n
}

// IsEjected reports whether the executor is out at the time now.
func (d *Detector) IsEjected(now tick.Time, e ident.Executor) bool {
	h, ok := d.executors[e]
	return ok && now.Before(h.until)
}
