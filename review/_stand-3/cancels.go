package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { scenarios["cancels"] = playCancels }

// answerTime is how long an executor's response takes: 4.5 ms each way.
const answerTime = 9 * time.Millisecond

// playCancels has jobs of many small tasks and, beside them, gangs for which there is room. With the disruption, clients
// cancel many of the other jobs at once and the rest in the second after that.
func playCancels(w *world, trouble bool) error {
	const (
		jobCount, atOnce = 70, 32
		rounds           = 3
		gangsPerRound    = 25
	)
	w.addService("desk", true)
	q := w.addQueue("quotes", "desk", 3)
	w.configure()
	for i := range 8 {
		x := &executor{
			id: fmt.Sprintf("i-%d", i), address: fmt.Sprintf("%s.%d:8080", w.prefix, 100+i), service: "desk", zone: "north",
			labels: []string{"a", fmt.Sprintf("r%d", i/2)}, room: room{CPU: 64000, MemMB: 256000}, guards: true,
			delay: func(string) time.Duration { return answerTime },
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
	var gangs []*job
	var mu sync.Mutex
	for range rounds {
		var wg sync.WaitGroup
		var big []*job
		for range jobCount {
			j := &job{Steps: []*step{{Count: 36, CPU: 125, MemMB: 100, EstimateMS: 25000, work: 25 * time.Second}}}
			big = append(big, j)
			wg.Go(func() { w.submit(j, q) })
			time.Sleep(10 * time.Millisecond)
		}
		wg.Wait()
		w.awaitRunning(jobCount*36, 10*time.Second)
		wg.Go(func() {
			for range gangsPerRound {
				j := &job{Steps: []*step{{
					Count: 20, CPU: 500, MemMB: 100, EstimateMS: 300, Gang: true, work: 300 * time.Millisecond,
				}}}
				mu.Lock()
				gangs = append(gangs, j)
				mu.Unlock()
				wg.Go(func() { w.submit(j, q) })
				time.Sleep(40 * time.Millisecond)
			}
		})
		time.Sleep(400 * time.Millisecond)
		if !trouble {
			// The jobs are cancelled once the gangs are over.
			wg.Wait()
			w.awaitStates(gangs, 10*time.Second, "completed")
		}
		for i, j := range big {
			wg.Go(func() { w.cancel(j) })
			if i >= atOnce {
				time.Sleep(10 * time.Millisecond)
			}
		}
		wg.Wait()
		time.Sleep(5 * time.Second)
	}
	left := w.awaitStates(gangs, 15*time.Second, "completed")
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := w.counts["ended alone"]; n > 0 {
		w.break_("GANG: %d runs ended alone", n)
	}
	w.noteLocked("%d gangs, %d not completed", len(gangs), len(left))
	return nil
}

// awaitRunning waits until as many tasks run.
func (w *world) awaitRunning(n int, timeout time.Duration) {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		w.mu.Lock()
		running := 0
		for _, on := range w.running {
			running += len(on)
		}
		w.mu.Unlock()
		if running >= n {
			return
		}
	}
	w.note("fewer than %d tasks run", n)
}
