// Package outl ejects outlier executors, which fail repeatedly or are much slower than the others.
//
// At most half of the executors are ejected at any time, so that the others are not overloaded. An ejected executor is
// used again after a time that doubles with each consecutive ejection.
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
	// failureThreshold is the number of consecutive failures after which an executor is ejected.
	failureThreshold = 5
	baseEjectionTime = 2 * time.Second
	maxEjectionTime  = 60 * time.Second
	// slowThreshold is the multiple of the median latency above which an executor is ejected.
	slowThreshold = 4.0
	// minSamples is the number of successes that are needed before the latency of an executor is compared.
	minSamples      = 10
	ewmaWeight      = 0.2
	maxEjectedShare = 0.5
)

type health struct {
	consecutiveFailures int
	samples             int
	relativeLatency     float64
	ejectedUntil        tick.Time
	ejections           int
}

// Detector decides which executors are ejected. It is not safe for concurrent use.
type Detector struct {
	executors map[ident.Executor]*health
}

// New returns a Detector without executors.
func New() *Detector { return &Detector{executors: map[ident.Executor]*health{}} }

// Add starts tracking an executor.
func (d *Detector) Add(e ident.Executor) {
	if _, ok := d.executors[e]; !ok {
		d.executors[e] = &health{relativeLatency: 1}
	}
}

// Remove stops tracking an executor.
func (d *Detector) Remove(e ident.Executor) { delete(d.executors, e) }

// RelativeLatency returns the moving average of the executor's latencies, each relative to the mean of its class.
func (d *Detector) RelativeLatency(e ident.Executor) float64 {
	if h, ok := d.executors[e]; ok {
		return h.relativeLatency
	}
	return 1
}

// Report records one result. relativeLatency is its latency relative to the mean of its class.
func (d *Detector) Report(now tick.Time, e ident.Executor, ok bool, relativeLatency float64) {
	h, known := d.executors[e]
	if !known {
		return
	}
	if !ok {
		h.consecutiveFailures++
		if h.consecutiveFailures >= failureThreshold {
			d.eject(now, h)
		}
		return
	}
	h.consecutiveFailures = 0
	h.samples++
	h.relativeLatency += ewmaWeight * (relativeLatency - h.relativeLatency)
	if h.samples < minSamples {
		return
	}
	if h.relativeLatency > slowThreshold*d.median() {
		d.eject(now, h)
		return
	}
	if now.After(h.ejectedUntil.Add(maxEjectionTime)) {
		h.ejections = 0
	}
}

// median returns the median relative latency of all executors.
func (d *Detector) median() float64 {
	all := make([]float64, 0, len(d.executors))
	for _, h := range d.executors {
		all = append(all, h.relativeLatency)
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

func (d *Detector) eject(now tick.Time, h *health) {
	if now.Before(h.ejectedUntil) || float64(d.ejectedCount(now)+1) > maxEjectedShare*float64(len(d.executors)) {
		return
	}
	h.ejectedUntil = now.Add(min(baseEjectionTime<<min(h.ejections, 5), maxEjectionTime))
	h.ejections++
	h.consecutiveFailures, h.samples, h.relativeLatency = 0, 0, 1
}

func (d *Detector) ejectedCount(now tick.Time) int {
	n := 0
	for _, h := range d.executors {
		if now.Before(h.ejectedUntil) {
			n++
		}
	}
	return n
}

// IsEjected reports whether the executor is ejected now.
func (d *Detector) IsEjected(now tick.Time, e ident.Executor) bool {
	h, ok := d.executors[e]
	return ok && now.Before(h.ejectedUntil)
}
