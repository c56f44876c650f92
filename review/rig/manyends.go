package main

import (
	"fmt"
	"time"
)

func init() { cases["many-ends"] = caseOf{"TWICE", playManyEnds} }

// playManyEnds has more runs end on one executor than its lists return at a time, while the leader is killed.
func playManyEnds(w *World) {
	q := w.addQueue("orders", 0, 3)
	w.open(3)
	var jobs []*Job
	tasks := 0
	for i := range 20 {
		j := &Job{ID: jobID(i + 1), Queue: q, Spec: fmt.Sprintf("job %d", i), Steps: []Step{
			{Count: 36, CPU: 80, MemMB: 100, EstimateMS: 1200, Work: 1200 * time.Millisecond},
		}}
		jobs = append(jobs, j)
		tasks += 36
		go w.submit(j)
	}
	ok := awaitUntil(20*time.Second, func() bool { started, _, _ := w.count("done"); return started == tasks })
	w.note("all tasks are started: %v", ok)
	if !ok {
		fail(fmt.Errorf("the tasks do not start"))
	}
	if w.trouble {
		w.leader().kill(restartAfter)
	}
	w.awaitStates(jobs, 30*time.Second)
	time.Sleep(2 * time.Second)
}
