package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryMB is the memory of a machine, as in the settings.
	memoryMB = 284
	// specBytes is the longest spec that the pages allow.
	specBytes = 4000
	// historyJobs is the number of jobs that are handed in, fewHistoryJobs that without the disruption.
	historyJobs, fewHistoryJobs = 90000, 15000
	loadTime                    = 55 * time.Second
	senders                     = 48
)

// memory: clients hand in jobs for long; a process that exceeds the memory of its machine is killed.
func memory(dir string, hasTrouble bool) *world {
	w := newWorld(dir, 3, 8)
	w.onSignal()
	w.awaitReady()
	w.isQuiet = true
	var kills [3]atomic.Int64
	go w.limitMemory(&kills)
	count := historyJobs
	if !hasTrouble {
		count = fewHistoryJobs
	}
	accepted := w.load(count)
	w.note("%d jobs accepted, each with a spec of %d bytes; no more come", accepted, specBytes)
	time.Sleep(5 * time.Second)
	var before [3]int64
	for i := range kills {
		before[i] = kills[i].Load()
	}
	w.note("from here on nothing comes and nothing is disturbed")
	w.isQuiet = false
	step := stepSpec{Count: 1, CPU: 500, MemMB: 100, EstimateMS: 500, b: behavior{cpu: 500, needMS: 500}}
	jobs := []*jobSpec{}
	for range 3 {
		j := &jobSpec{id: newID(), queue: "r-short", Spec: "last", Steps: []stepSpec{step}}
		jobs = append(jobs, j)
		w.submit(j, nil)
	}
	time.Sleep(30 * time.Second)
	over := 0
	for i := range kills {
		n := kills[i].Load() - before[i]
		w.note("%s: %d ends over its memory since, %d in all", w.nodes[i].name, n, kills[i].Load())
		if n >= 3 {
			over++
		}
	}
	w.mu.Lock()
	if over >= 2 {
		w.check.fail("Fault", "on %d of 3 machines, processes have ended three times or more over their memory, in calm", over)
	}
	w.mu.Unlock()
	w.checkStates(jobs...)
	return w
}

// limitMemory kills a process that exceeds the memory of its machine, as the platform does.
func (w *world) limitMemory(kills *[3]atomic.Int64) {
	peak := [3]int64{}
	for !w.isOver() {
		time.Sleep(100 * time.Millisecond)
		for i, n := range w.nodes {
			n.mu.Lock()
			cmd := n.cmd
			n.mu.Unlock()
			if cmd == nil {
				continue
			}
			rss := residentMB(cmd.Process.Pid)
			if rss >= peak[i]+20 {
				peak[i] = rss
				w.note("%s has %d MB", n.name, rss)
			}
			if rss > memoryMB {
				w.note("%s has %d MB of %d, %d jobs accepted so far", n.name, rss, memoryMB, w.accepted.Load())
				kills[i].Add(1)
				n.signal(syscall.SIGKILL)
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
}

// residentMB returns the resident memory of the process.
func residentMB(pid int) int64 {
	b, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb / 1024
		}
	}
	return 0
}

// load hands in jobs over connections that stay open, and returns how many were accepted.
func (w *world) load(count int) int64 {
	accepted := &w.accepted
	var wg sync.WaitGroup
	end := time.Now().Add(loadTime)
	spec := strings.Repeat("x", specBytes)
	step := stepSpec{Count: 1, CPU: 100, MemMB: 10, EstimateMS: 5, b: behavior{cpu: 100, needMS: 5}}
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: senders}}
	for range senders {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) && accepted.Load() < int64(count) && !w.isOver() {
				n := w.nodes[rand.IntN(len(w.nodes))]
				j := &jobSpec{id: newID(), queue: "r-short", Spec: spec, Steps: []stepSpec{step}, maxAttempts: 3}
				w.mu.Lock()
				w.check.jobs[j.id] = j
				w.mu.Unlock()
				body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":1,"cpu":100,"mem_mb":10,"estimate_ms":5}]}`, spec)
				req, _ := http.NewRequest("POST", n.url(w.path(j)), bytes.NewReader([]byte(body)))
				req.Host = w.host
				req.Header.Set("Content-Type", "application/json")
				req.Header.Set("Ibischute-Deadline-Ms", "3000")
				res, err := client.Do(req)
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					accepted.Add(1)
				} else {
					time.Sleep(100 * time.Millisecond)
				}
			}
		}()
	}
	wg.Wait()
	return accepted.Load()
}
