// Command stand2 plays one case of the review: it starts the program's processes on loopback addresses beside a store,
// executors and clients of its own, and checks a rule.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"
)

func main() {
	if len(os.Args) < 3 {
		fmt.Println("usage: stand2 CASE FOLDER")
		os.Exit(2)
	}
	play, ok := map[string]func(dir string, hasTrouble bool) *world{
		"fuzz": fuzz, "foreign": foreign, "crashes": crashes, "clock": clock, "settings": settings, "config": config, "guard": guard, "memory": memory,
	}[os.Args[1]]
	if !ok {
		fmt.Println("no such case")
		os.Exit(2)
	}
	w := play(os.Args[2], os.Getenv("TROUBLE") != "0")
	w.mu.Lock()
	breaks := append([]string{}, w.check.breaks...)
	w.mu.Unlock()
	for _, n := range w.nodes {
		n.mu.Lock()
		if n.ends > 0 {
			breaks = append(breaks, fmt.Sprintf("%s ended by itself %d times", n.name, n.ends))
		}
		n.mu.Unlock()
	}
	w.close()
	for _, b := range breaks {
		w.note("result: %s", b)
		fmt.Println(b)
	}
	if len(breaks) > 0 {
		os.Exit(1)
	}
	w.note("result: the rule held")
	fmt.Println("held")
}

// onSignal ends the processes if the case itself is stopped.
func (w *world) onSignal() {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	timeout := time.NewTimer(caseTimeout)
	if os.Getenv("LENGTH") != "" {
		timeout.Stop()
	}
	go func() {
		select {
		case <-c:
		case <-timeout.C:
			w.note("the case took too long")
		}
		w.close()
		os.Exit(2)
	}()
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (w *world) path(j *jobSpec) string {
	for _, q := range w.queues {
		if q.name == j.queue {
			return q.prefix + j.id
		}
	}
	return "/" + j.id
}

// submit hands the job in, at another node after no answer, a broken connection, 502, 504 or a refusal, up to five times.
func (w *world) submit(j *jobSpec, at *node) bool {
	w.mu.Lock()
	for _, q := range w.queues {
		if q.name == j.queue {
			j.maxAttempts = q.maxAttempts
		}
	}
	w.check.jobs[j.id] = j
	w.mu.Unlock()
	for try := 0; try < 5 && !w.isOver(); try++ {
		n := at
		if n == nil || try > 0 {
			n = w.nodes[rand.IntN(len(w.nodes))]
		}
		w.mu.Lock()
		j.attempts++
		w.mu.Unlock()
		status, _ := w.call(n, "POST", w.path(j), j, 3*time.Second)
		w.mu.Lock()
		switch {
		case status/100 == 2:
			j.acceptedAt = time.Now()
		case status == 429 || status == 503 || status == 404 || status == 400:
			j.rejected++
		}
		isAccepted := !j.acceptedAt.IsZero()
		w.mu.Unlock()
		if isAccepted {
			return true
		}
		time.Sleep(time.Duration(200+rand.IntN(1000)) * time.Millisecond)
	}
	return false
}

func (w *world) cancel(j *jobSpec) {
	w.mu.Lock()
	j.cancelSentAt = time.Now()
	w.mu.Unlock()
	for try := 0; try < 6 && !w.isOver(); try++ {
		status, _ := w.call(w.nodes[rand.IntN(len(w.nodes))], "DELETE", w.path(j), nil, 3*time.Second)
		if status/100 == 2 || status == 410 {
			w.mu.Lock()
			j.cancelledAt = time.Now()
			w.mu.Unlock()
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// show asks for the state of the job. It is empty if there was no answer, and "410" if the job is not known.
func (w *world) show(j *jobSpec, n *node) string {
	status, text := w.call(n, "GET", w.path(j), nil, 3*time.Second)
	if status == 410 {
		return "410"
	}
	for _, s := range []string{"queued", "running", "completed", "failed", "cancelled"} {
		if status == 200 && text != "" && contains(text, `"`+s+`"`) {
			return s
		}
	}
	return ""
}

func contains(s, part string) bool {
	for i := 0; i+len(part) <= len(s); i++ {
		if s[i:i+len(part)] == part {
			return true
		}
	}
	return false
}

// caseTimeout ends a case that hangs, within the 120 seconds that a script may take.
const caseTimeout = 112 * time.Second
