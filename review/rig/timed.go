package main

import (
	"fmt"
	"time"
)

func init() { cases["timed"] = caseOf{"LOST", playTimed} }

// playTimed hands in a job that comes again many times, and further jobs once its tasks are done or no more of them start.
func playTimed(w *World) {
	plans, orders := w.addQueue("plans", 2, 2), w.addQueue("orders", 0, 3)
	w.open(4)
	times := 1000
	if w.trouble {
		times = 5000
	}
	timed := &Job{ID: jobID(1), Queue: plans, Spec: "timed", Steps: []Step{
		{Count: 8, CPU: 100, MemMB: 10, EstimateMS: 50, Work: 50 * time.Millisecond},
	}, RepeatCount: times, IntervalMS: 10, StartTimeMS: time.Now().UnixMilli() + 500}
	if !w.submit(timed) {
		fail(fmt.Errorf("the job is not accepted"))
	}
	w.setQuiet(true)
	last, lastAt := 0, time.Now()
	awaitUntil(75*time.Second, func() bool {
		started, _, done := w.count("done")
		if started != last {
			last, lastAt = started, time.Now()
		}
		return done >= times*8 || time.Since(lastAt) > 5*time.Second
	})
	w.setQuiet(false)
	started, running, done := w.count("done")
	w.note("runs of the timed job: %d of %d started, %d running, %d done; state %q", started, times*8, running, done, w.state(timed))
	var later []*Job
	for i := range 6 {
		j := &Job{ID: jobID(100 + i), Queue: []*Queue{plans, orders}[i%2], Spec: "later", Steps: []Step{
			{Count: 1, CPU: 1000, MemMB: 100, EstimateMS: 200, Work: 200 * time.Millisecond},
		}}
		if w.submit(j) {
			later = append(later, j)
		}
	}
	states := w.awaitStates(later, finishTime)
	w.noteLogs("too-large-records")
	for _, j := range later {
		w.checkBegun(j, states[j.ID])
	}
}
