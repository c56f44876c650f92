package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["crashes"] = playCrashes }

// playCrashes has jobs whose tasks always succeed. With the disruption, a tenth of the executors goes down and up by turns,
// other ones each time.
func playCrashes(w *world, trouble bool) error {
	const (
		executors = 20
		flapping  = executors / 10
		period    = 1400 * time.Millisecond
		flapFor   = 6500 * time.Millisecond
		waves     = 9
	)
	w.addService("desk", true)
	q := w.addQueue("quotes", "desk", 3)
	w.configure()
	var all []*executor
	for i := range executors {
		x := &executor{
			id: fmt.Sprintf("i-%d", i), address: fmt.Sprintf("%s.%d:8080", w.prefix, 100+i), service: "desk", zone: "north",
			labels: []string{"a", fmt.Sprintf("r%d", i/5)}, room: room{CPU: 64000, MemMB: 256000}, guards: true,
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
	var jobs []*job
	var wg sync.WaitGroup
	stop := time.Now().Add(waves * (flapFor + period))
	wg.Go(func() {
		for time.Now().Before(stop) {
			j := &job{Steps: []*step{{
				Count: 8, CPU: 7000, MemMB: 13000, EstimateMS: 2700, work: 2700 * time.Millisecond,
			}}}
			jobs = append(jobs, j)
			wg.Go(func() { w.submit(j, q) })
			time.Sleep(200 * time.Millisecond)
		}
	})
	for range waves {
		if !trouble {
			time.Sleep(flapFor + period)
			continue
		}
		var flaps sync.WaitGroup
		for _, n := range rand.Perm(executors)[:flapping] {
			flaps.Go(func() { all[n] = w.flap(all[n], period, flapFor) })
		}
		flaps.Wait()
	}
	wg.Wait()
	left := w.awaitStates(jobs, 20*time.Second, "completed", "failed")
	w.mu.Lock()
	defer w.mu.Unlock()
	failed := 0
	for _, j := range jobs {
		if j.state != "failed" {
			continue
		}
		failed++
		if w.countEnds(j, "failed") == 0 {
			w.break_("LOST: %s is shown as failed, none of its runs has ended failed", j.id)
		}
	}
	w.noteLocked("%d jobs, %d shown as failed, %d not ended", len(jobs), failed, len(left))
	return nil
}

// countEnds returns how many runs of the job have ended so.
func (w *world) countEnds(j *job, how string) int {
	n := 0
	for name, h := range w.history {
		for _, e := range h.ends {
			if strings.HasPrefix(name, j.id) && e.how == how {
				n++
			}
		}
	}
	return n
}

// flap has the executor go down and up by turns, each for half of the period. It returns the last process.
func (w *world) flap(x *executor, period, flapFor time.Duration) *executor {
	for until := time.Now().Add(flapFor); time.Now().Before(until); {
		x.crash()
		time.Sleep(period / 2)
		x = &executor{
			id: x.id, address: x.address, service: x.service, zone: x.zone, labels: x.labels, room: x.room, guards: x.guards,
		}
		_ = w.startExecutor(x, 0)
		time.Sleep(period / 2)
	}
	return x
}
