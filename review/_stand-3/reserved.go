package main

import (
	"fmt"
	"time"
)

func init() { scenarios["reserved"] = playReserved }

// playReserved has one task of 16 s on each executor, which leave 40 of its 64 cores free, and small jobs. With the
// disruption, a large job comes that needs 48 cores on each executor, and so has to wait. Then a job of middle size and
// one of tasks that last come, which fit beside what runs.
func playReserved(w *world, trouble bool) error {
	const executors = 8
	w.addService("desk", true)
	q := w.addQueue("quotes", "desk", 3)
	w.configure()
	for i := range executors {
		x := &executor{
			id: fmt.Sprintf("i-%d", i), address: fmt.Sprintf("%s.%d:8080", w.prefix, 100+i), service: "desk", zone: "north",
			labels: []string{"a", fmt.Sprintf("r%d", i/2)}, room: room{CPU: 64000, MemMB: 256000}, guards: true,
		}
		if err := w.startExecutor(x, 0); err != nil {
			return err
		}
	}
	if err := w.startNodes(3, nil); err != nil {
		return err
	}
	if !w.awaitReady() {
		return fmt.Errorf("not ready")
	}
	time.Sleep(3 * time.Second)
	w.submit(&job{Steps: []*step{{
		Count: executors, CPU: 24000, MemMB: 13000, EstimateMS: 16000, AntiAffinity: 1, work: 16 * time.Second,
	}}}, q)
	time.Sleep(time.Second)
	if trouble {
		w.submit(&job{Steps: []*step{{
			Count: executors, CPU: 48000, MemMB: 13000, EstimateMS: 2000, Gang: true, work: 2 * time.Second,
		}}}, q)
	}
	for range 6 {
		w.submit(&job{Steps: []*step{{Count: 4, CPU: 1000, MemMB: 100, EstimateMS: 500, work: 500 * time.Millisecond}}}, q)
		time.Sleep(time.Second)
	}
	late := []*job{
		{Steps: []*step{{Count: 2, CPU: 18000, MemMB: 13000, EstimateMS: 20000, work: 6 * time.Second}}},
		{Steps: []*step{{Count: 2, CPU: 18000, MemMB: 13000, EstimateMS: 20000, LongRunning: true}}},
	}
	for _, j := range late {
		w.submit(j, q)
	}
	idle, longest := map[*job]time.Duration{}, map[*job]time.Duration{}
	const interval = 50 * time.Millisecond
	for range 600 {
		time.Sleep(interval)
		w.mu.Lock()
		for _, j := range late {
			idle[j] += interval
			// What is in use, and what is free on the executor with the most room, as they are now.
			if !w.isIdle(j) || !w.hasRoomTwice(j) {
				idle[j] = 0
			}
			longest[j] = max(longest[j], idle[j])
		}
		w.mu.Unlock()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range late {
		w.noteLocked("%s: nothing running, and room for it twice over, for %v", j.id, longest[j])
		if longest[j] >= 3*time.Second {
			w.break_("LOST: %s had nothing running for %v, while there was room for it twice over", j.id, longest[j])
		}
	}
	return nil
}

// hasRoomTwice reports whether there is room for twice the tasks of the job's first step, and under half of the
// processors of the service are in use.
func (w *world) hasRoomTwice(j *job) bool {
	used, total, places := int64(0), int64(0), int64(0)
	for _, x := range w.executors {
		free := x.room.CPU
		for name, on := range w.running {
			if on[x.id] == x {
				free -= w.tasks[name].step.CPU
			}
		}
		used += x.room.CPU - free
		total += x.room.CPU
		places += free / j.Steps[0].CPU
	}
	return 2*used < total && places >= 2*int64(j.Steps[0].Count)
}
