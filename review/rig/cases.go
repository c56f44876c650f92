package main

import (
	"fmt"
	"time"
)

// restartAfter is how long the platform takes to start a killed process again.
const restartAfter = 3500 * time.Millisecond

// finishTime is finish_s: how long after the end of the traffic jobs are asked for.
const finishTime = 14 * time.Second

// settleTime is how long the processes run before clients come.
const settleTime = 2 * time.Second

// open starts a small deployment with the queues so far, and three machines.
func (w *World) open(executors int) {
	for range executors {
		w.addExecutor(64000, 256000)
	}
	w.configure("desk")
	for range 3 {
		w.addNode()
	}
	w.waitReady()
	time.Sleep(settleTime)
}

func jobID(n int) string { return fmt.Sprintf("%08x%08x", 0x5c0e7a21, n) }

// checkBegun breaks LOST if no task of the job has ever started, finish_s after its acceptance, on idle executors.
func (w *World) checkBegun(j *Job, state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.task(j.ID+".0.0.0").runs) == 0 {
		w.breaks("LOST job %s is accepted, has nothing running while all executors are idle, and its state is %q", j.ID, state)
	}
}
