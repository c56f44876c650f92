package main

import (
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// fuzz submits random jobs of all kinds under random disruptions, and then waits in calm.
func fuzz(dir string, hasTrouble bool) *world {
	w := newWorld(dir, 4, 8)
	w.onSignal()
	w.awaitReady()
	length := 40 * time.Second
	if s, err := strconv.Atoi(os.Getenv("LENGTH")); err == nil {
		length = time.Duration(s) * time.Second
	}
	end := time.Now().Add(length)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var jobs []*jobSpec
	for time.Now().Before(end) {
		j := randomJob()
		mu.Lock()
		jobs = append(jobs, j)
		mu.Unlock()
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.submit(j, nil)
			if rand.Float64() < 0.1 {
				time.Sleep(time.Duration(rand.IntN(4000)) * time.Millisecond)
				w.cancel(j)
			}
			if rand.Float64() < 0.1 {
				// A request with the same id arrives again after the answer.
				time.Sleep(time.Duration(rand.IntN(4000)) * time.Millisecond)
				status, _ := w.call(w.nodes[rand.IntN(len(w.nodes))], "POST", w.path(j), j, 3*time.Second)
				w.mu.Lock()
				j.attempts++
				if status/100 == 4 || status == 503 {
					j.rejected++
				}
				w.mu.Unlock()
			}
			if rand.Float64() < 0.5 {
				time.Sleep(time.Duration(3000+rand.IntN(3000)) * time.Millisecond)
				state := w.show(j, w.nodes[rand.IntN(len(w.nodes))])
				if state == "completed" {
					w.mu.Lock()
					w.judge(j, state)
					w.mu.Unlock()
				}
			}
		}()
		if hasTrouble && rand.Float64() < 0.2 {
			go w.disturb()
		}
		time.Sleep(time.Duration(50+rand.IntN(300)) * time.Millisecond)
	}
	wg.Wait()
	for i, j := range jobs {
		// Tasks that last would take the room of the others in the end.
		if j.Steps[0].LongRunning && i%4 > 0 {
			w.cancel(j)
		}
	}
	w.mu.Lock()
	left := time.Until(w.troubleUntil)
	w.mu.Unlock()
	time.Sleep(max(0, left))
	for i := 0; i < 90; i++ {
		time.Sleep(500 * time.Millisecond)
		if i > 40 && w.settled(jobs) {
			break
		}
	}
	w.checkStates(jobs...)
	w.mu.Lock()
	for _, j := range jobs {
		if j.hasStarted && j.attempts > 0 && j.rejected == j.attempts {
			w.check.fail("REFUSED", "job %s has started, and all attempts were rejected", j.id)
		}
	}
	w.mu.Unlock()
	return w
}

func (w *world) settled(jobs []*jobSpec) bool { return false }

func randomJob() *jobSpec {
	j := &jobSpec{id: newID(), Spec: "spec-" + newID()}
	kind := rand.IntN(10)
	if rand.IntN(25) == 0 {
		// A wide job of short tasks.
		j.queue = "r-batch"
		for range 2 {
			s := stepSpec{Count: 100 + rand.IntN(300), CPU: 30, MemMB: 10, EstimateMS: 300}
			s.b = behavior{cpu: s.CPU, needMS: float64(100 + rand.IntN(600))}
			j.Steps = append(j.Steps, s)
		}
		j.Steps[1].DependsOn = []int{0}
		return j
	}
	steps := 1 + rand.IntN(3)
	j.queue = []string{"r-short", "r-batch"}[rand.IntN(2)]
	if os.Getenv("ADVICE") != "" && rand.IntN(3) == 0 {
		j.queue = "r-advised"
	}
	if kind == 0 {
		j.queue, steps = "r-watch", 1
	}
	for i := range steps {
		ms := 100 + rand.IntN(2500)
		if rand.IntN(4) == 0 {
			ms = 20 + rand.IntN(100)
		}
		s := stepSpec{Count: 1 + rand.IntN(4), CPU: int64(200 + rand.IntN(1500)), MemMB: 100, EstimateMS: ms}
		s.b = behavior{cpu: s.CPU, needMS: float64(ms)}
		if rand.IntN(3) == 0 {
			s.Checkpointed, s.b.saves = true, true
		}
		if rand.IntN(4) == 0 {
			s.Gang, s.b.gang = true, s.Count
		}
		if rand.IntN(5) == 0 {
			s.b.failShare = 0.15
		}
		if rand.IntN(5) == 0 {
			s.Requirements = "a"
		}
		if rand.IntN(5) == 0 {
			s.Affinity = "r" + strconv.Itoa(rand.IntN(4))
		}
		if rand.IntN(5) == 0 && j.queue != "r-advised" {
			s.AntiAffinity = 1 + rand.IntN(2)
		}
		if rand.IntN(12) == 0 {
			s.Speculative = true
		}
		if kind == 0 {
			s.LongRunning, s.b.lasting, s.b.needMS, s.MayMiss, s.EstimateMS = true, true, 0, 1, 0
			s.Checkpointed, s.b.saves = false, false
		}
		if i > 0 && rand.IntN(3) > 0 {
			s.DependsOn = []int{rand.IntN(i)}
		}
		j.Steps = append(j.Steps, s)
	}
	if kind == 1 {
		j.RepeatCount = 1 + rand.IntN(4)
		j.StartMS = time.Now().UnixMilli() + int64(rand.IntN(3000))
		j.IntervalMS = int64(300 + rand.IntN(2000))
	}
	return j
}

// disturb brings one random disruption about.
func (w *world) disturb() {
	n := w.nodes[rand.IntN(len(w.nodes))]
	if l := w.leader(); l != nil && rand.IntN(2) == 0 {
		n = l
	}
	x := w.executors[rand.IntN(len(w.executors))]
	d := time.Duration(300+rand.IntN(5200)) * time.Millisecond
	all := func(f func(v *storeView)) {
		for _, m := range w.nodes {
			m.view.set(f)
		}
	}
	setMode := func(mode string) func(v *storeView) { return func(v *storeView) { v.mode = mode } }
	modes := []string{"busy", "many", "silent", "reset"}
	mode := modes[rand.IntN(len(modes))]
	w.trouble(d + 2*time.Second)
	switch rand.IntN(20) {
	case 0, 1:
		w.note("TROUBLE kill %s", n.name)
		n.signal(syscall.SIGKILL)
	case 2:
		w.note("TROUBLE freeze %s for %v", n.name, d)
		n.signal(syscall.SIGSTOP)
		time.Sleep(d)
		n.signal(syscall.SIGCONT)
	case 3:
		w.note("TROUBLE term %s", n.name)
		w.trouble(8 * time.Second)
		n.signal(syscall.SIGTERM)
	case 4:
		w.note("TROUBLE store %s for %s, %v", mode, n.name, d)
		n.view.set(setMode(mode))
		time.Sleep(d)
		n.view.set(setMode(""))
	case 5:
		w.note("TROUBLE store %s for all, %v", mode, d)
		all(setMode(mode))
		time.Sleep(d)
		all(setMode(""))
	case 6:
		w.note("TROUBLE store loses answers, %v", d)
		w.trouble(d + 8*time.Second)
		late := rand.IntN(2) == 0
		all(func(v *storeView) {
			if late {
				v.late = 0.3
			} else {
				v.lose = 0.3
			}
		})
		time.Sleep(d)
		all(func(v *storeView) { v.lose, v.late = 0, 0 })
	case 7:
		w.note("TROUBLE store slow, %v", d)
		all(func(v *storeView) { v.delay = 200 * time.Millisecond })
		time.Sleep(d)
		all(func(v *storeView) { v.delay = 0 })
	case 8:
		w.mu.Lock()
		isUp := x.isUp
		w.mu.Unlock()
		if isUp {
			w.note("TROUBLE crash of %s, %v", x.id, d)
			x.crash()
			time.Sleep(d)
			if rand.IntN(2) == 0 {
				w.mu.Lock()
				old := x.id
				x.id = "i-" + newID()[:8]
				w.mu.Unlock()
				time.AfterFunc(3*heartbeat, func() { w.store.put("keyed.servers", old, nil) })
			}
			x.start()
		}
	case 9:
		w.note("TROUBLE %s silent for %v", x.id, d)
		isStoreCut := rand.IntN(2) == 0
		set := func(b bool) { w.mu.Lock(); x.isSilent = b; x.isStoreCut = b && isStoreCut; w.mu.Unlock() }
		set(true)
		time.Sleep(d)
		set(false)
	case 10:
		w.note("TROUBLE executors lose answers, %v", d)
		w.setOrders(0.05, 0)
		time.Sleep(d)
		w.setOrders(0, 0)
	case 11:
		w.note("TROUBLE executors carry out late, %v", d)
		w.trouble(d + 12*time.Second)
		w.setOrders(0, 0.06)
		time.Sleep(d)
		w.setOrders(0, 0)
	case 13:
		w.note("TROUBLE connections of the store fall silent")
		w.trouble(6 * time.Second)
		for _, m := range w.nodes {
			m.listener.silence()
		}
	case 14:
		w.note("TROUBLE connections of the executors fall silent")
		w.trouble(6 * time.Second)
		for _, y := range w.executors {
			w.mu.Lock()
			l := y.listener
			w.mu.Unlock()
			l.silence()
		}
	case 17:
		w.note("TROUBLE the store deletes its history")
		w.store.compact()
	case 18, 19:
		d = time.Duration(20+rand.IntN(200)) * time.Millisecond
		w.mu.Lock()
		isUp := x.isUp
		w.mu.Unlock()
		if isUp {
			w.note("TROUBLE short crash of %s, %v", x.id, d)
			x.crash()
			time.Sleep(d)
			x.start()
		}
	case 16:
		w.note("TROUBLE settings change, %s", n.name)
		n.signal(syscall.SIGHUP)
	case 15:
		w.note("TROUBLE config changes")
		w.mu.Lock()
		w.version++
		v := w.version
		w.mu.Unlock()
		w.writeConfig(1 + v)
	case 12:
		w.note("TROUBLE all nodes are killed")
		for _, m := range w.nodes {
			m.signal(syscall.SIGKILL)
		}
	}
}

func (w *world) setOrders(lose, late float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.executors {
		x.lose, x.late = lose, late
	}
}
