package main

import (
	"fmt"
	"time"
)

func init() { cases["lost-policy"] = caseOf{"LOST", playLostPolicy} }

// playLostPolicy removes a queue with a policy service while a job of it has a step to go, and kills the leader.
func playLostPolicy(w *World) {
	w.adviser = w.net + ".98:8169"
	w.serve(w.adviser, &Advise{world: w})
	q := w.addQueue("plans", 2, 2)
	q.Advice = &Advice{DecisionMS: 5, PeriodMS: 1, ValidityMS: 3000}
	w.addQueue("orders", 0, 3)
	w.open(3)
	j := &Job{ID: jobID(1), Queue: q, Spec: "two steps", Steps: []Step{
		{Count: 4, CPU: 1000, MemMB: 100, EstimateMS: 6000, Work: 6 * time.Second},
		{Count: 4, CPU: 1000, MemMB: 100, EstimateMS: 1000, Work: time.Second, DependsOn: []int{0}},
	}}
	if !w.submit(j) {
		fail(fmt.Errorf("the job is not accepted"))
	}
	time.Sleep(time.Second)
	w.queues = w.queues[1:]
	w.configure("desk")
	time.Sleep(3 * time.Second)
	if w.trouble {
		w.leader().kill(restartAfter)
	}
	time.Sleep(22 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for i := range 4 {
		if len(w.task(fmt.Sprintf("%s.0.1.%d", j.ID, i)).runs) > 0 {
			n++
		}
	}
	w.noteLocked("%d tasks of the second step have started", n)
	if n == 0 {
		w.breaks("LOST job %s: no task of its second step has started, on idle executors", j.ID)
	}
}
