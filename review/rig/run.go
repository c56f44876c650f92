package main

import (
	"time"
)

// run is one run of a task.
type run struct {
	task      string
	number    uint64
	exec      *Executor
	step      *Step
	index     int
	startedAt time.Time
	// workingSince is when the run began to work.
	workingSince time.Time
	endedAt      time.Time
	how          string
	endNumber    uint64
	// isNoted is true once the end is acknowledged and the lease of the executor has not lapsed since.
	isNoted bool
	timer   *time.Timer
	gang    *gangRun
}

// gangRun is a run of a gang.
type gangRun struct {
	members map[int]*run
	isOver  bool
}

type endedRun struct {
	number uint64
	run    *run
}

func (r *run) percent() int {
	if r.workingSince.IsZero() {
		return 0
	}
	if r.step.LongRunning {
		return 100
	}
	total := r.step.Work
	if after, ok := r.step.FailsAfter[r.index]; ok {
		total = 2 * after
	}
	return int(min(99, 100*time.Since(r.workingSince)/max(1, total)))
}
