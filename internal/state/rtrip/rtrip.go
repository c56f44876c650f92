// Package rtrip estimates after which time a response to a call is overdue, from the response times of earlier calls.
//
// The estimate is the smoothed response time plus four times its smoothed deviation, as for the retransmission timeout
// of TCP. It grows while the path to the callees is saturated, so that slow responses do not cause further calls then.
//
// # Usage
//
//	e := rtrip.New(100*time.Millisecond, 800*time.Millisecond)
//	e.Observe(took) // for each response
//	if now.Sub(sentAt) > e.Timeout() { /* the response is overdue */ }
//	e.BackOff() // after a call that is given up at the timeout
package rtrip

import "time"

const (
	// meanGain and deviationGain are the weights of the newest response time.
	meanGain      = 1.0 / 8
	deviationGain = 1.0 / 4
	// deviations is the number of deviations from the mean at which a response is overdue.
	deviations = 4
)

// Estimator is the estimate for one kind of call.
type Estimator struct {
	lowest, highest time.Duration
	mean, deviation float64
	hasSample       bool
	// backOff is the factor by which calls that were given up have raised the timeout since the last response.
	backOff float64
}

// New returns an Estimator whose timeout lies between the bounds. It is the highest one until a response was observed.
func New(lowest, highest time.Duration) *Estimator {
	return &Estimator{lowest: lowest, highest: highest, backOff: 1}
}

// Observe applies the time that a response took.
func (e *Estimator) Observe(took time.Duration) {
	sample := float64(max(0, took))
	e.backOff = 1
	if !e.hasSample {
		e.mean, e.deviation, e.hasSample = sample, sample/2, true
		return
	}
	e.deviation += deviationGain * (max(sample-e.mean, e.mean-sample) - e.deviation)
	e.mean += meanGain * (sample - e.mean)
}

// Timeout returns the time after which a response is overdue.
func (e *Estimator) Timeout() time.Duration {
	if !e.hasSample {
		return e.highest
	}
	timeout := max(float64(e.lowest), e.mean+deviations*e.deviation)
	return min(e.highest, time.Duration(timeout*e.backOff))
}

// BackOff doubles the timeout until the next response, as the callee may only have become slower.
func (e *Estimator) BackOff() {
	if e.Timeout() < e.highest {
		e.backOff *= 2
	}
}
