package main

import (
	"fmt"
	"time"
)

func init() { cases["long-history"] = caseOf{"LOST", playLongHistory} }

// historyJobs is the number of jobs that the deployment of playLongHistory has done before its processes are killed. At
// 36 jobs a second, a deployment reaches it in 47 minutes.
const historyJobs = 101000

// historyRate is the number of jobs handed in each second, which the executors do at once.
const historyRate = 1600

// playLongHistory has clients hand in many short jobs, which are all done. Then all processes are killed at the same
// moment and start again, and further jobs come.
func playLongHistory(w *World) {
	q := w.addQueue("orders", 0, 3)
	w.open(4)
	w.setQuiet(true)
	accepted := w.submitMany(q, historyJobs, historyRate, 75*time.Second)
	w.note("%d jobs are accepted", accepted)
	awaitUntil(10*time.Second, func() bool { _, _, done := w.count("done"); return done >= accepted })
	w.setQuiet(false)
	started, running, done := w.count("done")
	w.note("runs: %d started, %d running, %d done; keys in the store: %v", started, running, done, w.store.keys())
	w.noteMemory()
	if accepted < historyJobs {
		fail(fmt.Errorf("only %d jobs were accepted in time", accepted))
	}
	if w.trouble {
		for _, n := range w.nodes {
			n.kill(time.Second)
		}
		time.Sleep(time.Second)
	}
	time.Sleep(6 * time.Second)
	var last []*Job
	for i := range 5 {
		j := &Job{ID: jobID(9000000 + i), Queue: q, Spec: "last", Steps: []Step{
			{Count: 1, CPU: 1000, MemMB: 100, EstimateMS: 200, Work: 200 * time.Millisecond},
		}}
		if w.submit(j) {
			last = append(last, j)
		}
	}
	w.note("%d further jobs are accepted", len(last))
	states := w.awaitStates(last, finishTime)
	w.noteLogs("election-won")
	w.noteLogs("term-ended")
	for _, j := range last {
		w.checkBegun(j, states[j.ID])
	}
	if len(last) == 0 {
		w.mu.Lock()
		w.breaks("LOST no job is accepted any more")
		w.mu.Unlock()
	}
}
