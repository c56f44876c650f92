package main

import (
	"fmt"
	"slices"
	"time"
)

func init() { scenarios["removed"] = playRemoved }

// playRemoved submits jobs of two steps to a queue with a policy service. With the disruption, the operator removes the
// route of the queue while the first step runs, and the leader is killed after that and starts again.
func playRemoved(w *world, trouble bool) error {
	w.addService("desk", true)
	w.addQueue("quotes", "desk", 3)
	if _, err := w.startAdviser(w.prefix+".90:8169", 50*time.Millisecond, 5*time.Millisecond, 3*time.Second); err != nil {
		return err
	}
	q := w.addQueue("menus", "desk", 3)
	q.Advice = map[string]any{"decision_ms": 50, "period_ms": 5, "validity_ms": 3000}
	w.configure()
	for i := range 8 {
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
	time.Sleep(2 * time.Second)
	var jobs []*job
	for range 6 {
		j := &job{Steps: []*step{
			{Count: 3, CPU: 4000, MemMB: 500, EstimateMS: 14000, work: 14 * time.Second},
			{Count: 3, CPU: 4000, MemMB: 500, EstimateMS: 500, work: 500 * time.Millisecond, DependsOn: []int{0}},
		}}
		w.submit(j, q)
		jobs = append(jobs, j)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		w.mu.Lock()
		w.queues = slices.DeleteFunc(w.queues, func(o *queue) bool { return o == q })
		w.mu.Unlock()
		w.configure()
	}
	time.Sleep(5 * time.Second)
	if trouble {
		n := w.leader()
		w.note("kill %s", n.name)
		n.kill()
		time.Sleep(time.Second)
		if err := n.start(); err != nil {
			return err
		}
	}
	// The first steps end within 10 s.
	time.Sleep(10 * time.Second)
	idle := map[*job]time.Duration{}
	const interval = 100 * time.Millisecond
	for range 250 {
		time.Sleep(interval)
		w.mu.Lock()
		for _, j := range jobs {
			if w.isIdle(j) {
				idle[j] += interval
				continue
			}
			idle[j] = 0
		}
		w.mu.Unlock()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range jobs {
		if idle[j] >= 3*time.Second {
			w.break_("LOST: %s has had nothing running for %v, all executors are free", j.id, idle[j].Round(interval))
		}
	}
	return nil
}

// isIdle reports whether the job has a task whose turn has come, and nothing that runs.
func (w *world) isIdle(j *job) bool {
	isWaiting := false
	for name, t := range w.tasks {
		if t.job != j {
			continue
		}
		if len(w.running[name]) > 0 {
			return false
		}
		isWaiting = isWaiting || w.counts["done "+name] == 0
	}
	return isWaiting
}
