package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { scenarios["kinds"] = playKinds }

// playKinds has a queue of short tasks that require one kind of executor, and more work than its executors can do. With
// the disruption, two of the executors at a time, an eighth, crash and start again under their ids a second later. One of
// them is of the required kind before and of another one after the crash, the other the other way round.
func playKinds(w *world, trouble bool) error {
	const (
		executors = 16
		rounds    = 22
		downtime  = time.Second
	)
	w.addService("desk", true)
	q := w.addQueue("quotes", "desk", 3)
	w.configure()
	var all []*executor
	for i := range executors {
		x := &executor{
			id: fmt.Sprintf("i-%d", i), address: fmt.Sprintf("%s.%d:8080", w.prefix, 100+i), service: "desk", zone: "north",
			labels: []string{kindOf(i), fmt.Sprintf("r%d", i/4)}, room: room{CPU: 8000, MemMB: 32000}, guards: true,
		}
		if err := w.startExecutor(x, 0); err != nil {
			return err
		}
		all = append(all, x)
	}
	if err := w.startNodes(3, nil); err != nil {
		return err
	}
	if !w.awaitReady() {
		return fmt.Errorf("not ready")
	}
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	for i := range rounds {
		for range 4 {
			j := &job{Steps: []*step{{
				Count: 25, CPU: 4000, MemMB: 500, EstimateMS: 500, Requirements: "a", work: 500 * time.Millisecond,
			}}}
			wg.Go(func() { w.submit(j, q) })
		}
		time.Sleep(downtime / 2)
		for n, old := range all {
			if !trouble || n/2 != i%(executors/2) {
				continue
			}
			next := &executor{
				id: old.id, address: old.address, service: "desk", zone: "north",
				labels: []string{otherKind(old.labels[0]), old.labels[1]}, room: old.room, guards: true,
			}
			old.crash()
			all[n] = next
			wg.Go(func() {
				time.Sleep(downtime)
				_ = w.startExecutor(next, 0)
			})
		}
		time.Sleep(2 * downtime)
	}
	wg.Wait()
	return nil
}

func kindOf(i int) string {
	if i%2 == 0 {
		return "a"
	}
	return "b"
}

func otherKind(kind string) string {
	if kind == "a" {
		return "b"
	}
	return "a"
}
