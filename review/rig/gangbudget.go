package main

import (
	"fmt"
	"time"
)

func init() { cases["gang-budget"] = caseOf{"BUDGET", playGangBudget} }

// playGangBudget has one member of a gang fail in each run, and kills the leader during the last permitted run.
func playGangBudget(w *World) {
	q := w.addQueue("plans", 2, 2)
	w.open(3)
	j := &Job{ID: jobID(1), Queue: q, Spec: "gang", Steps: []Step{{
		Count: 3, CPU: 4000, MemMB: 1000, EstimateMS: 6000, Gang: true, Work: 6 * time.Second,
		FailsAfter: map[int]time.Duration{0: 4 * time.Second},
	}}}
	if !w.submit(j) {
		fail(fmt.Errorf("the job is not accepted"))
	}
	first := j.ID + ".0.0.0"
	runs := func() int {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.task(first).runs)
	}
	if !awaitUntil(30*time.Second, func() bool { return runs() == 2 }) {
		fail(fmt.Errorf("no second run"))
	}
	time.Sleep(time.Second)
	if w.trouble {
		w.leader().kill(restartAfter)
	}
	w.awaitStates([]*Job{j}, 40*time.Second)
	time.Sleep(2 * time.Second)
}
