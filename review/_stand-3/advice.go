package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"sync"
	"time"
)

// ticket permits the tasks of a step to start on one life of an executor.
type ticket struct {
	step, executor string
	born           int64
	until          time.Time
}

// adviser is the service that knows which executors may run a step. It handles one call of each machine at a time.
type adviser struct {
	w                          *world
	decision, period, validity time.Duration
	mu                         sync.Mutex
	turns                      map[string]*sync.Mutex
	waiting                    int
	tickets                    map[string]ticket
}

const maxAdviceWaiting = 32

// startAdviser serves the adviser at the address.
func (w *world) startAdviser(address string, decision, period, validity time.Duration) (*adviser, error) {
	a := &adviser{
		w: w, decision: decision, period: period, validity: validity, turns: map[string]*sync.Mutex{},
		tickets: map[string]ticket{},
	}
	l, err := listenRetry(address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/advise", a.advise)
	s := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.Serve(l) }()
	w.advice, w.adviser = address, a
	return a, nil
}

// isGood reports whether the executor may run the step, which does not change.
func isGood(step, executor string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(step + "/" + executor))
	return h.Sum32()%10 < 6
}

func (a *adviser) advise(rw http.ResponseWriter, r *http.Request) {
	var in struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Workers) > 100 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	caller, _, _ := net.SplitHostPort(r.RemoteAddr)
	a.mu.Lock()
	if a.waiting >= maxAdviceWaiting {
		a.mu.Unlock()
		rw.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.waiting++
	turn, ok := a.turns[caller]
	if !ok {
		turn = &sync.Mutex{}
		a.turns[caller] = turn
	}
	a.mu.Unlock()
	turn.Lock()
	time.Sleep(a.decision + time.Duration(len(in.Workers))*a.period)
	turn.Unlock()
	good := [][2]string{}
	a.mu.Lock()
	a.waiting--
	for _, id := range in.Workers {
		x := a.w.executorOf(id)
		if x == nil || !isGood(in.Step, id) {
			continue
		}
		name := fmt.Sprintf("%08x-%s", len(a.tickets), id)
		a.tickets[name] = ticket{in.Step, id, x.born, time.Now().Add(a.validity)}
		good = append(good, [2]string{id, name})
	}
	a.mu.Unlock()
	a.w.note("advice %s for %d executors: %d good", in.Step, len(in.Workers), len(good))
	b, _ := json.Marshal(map[string]any{"good": good, "validity_ms": a.validity.Milliseconds()})
	rw.Header().Set("Content-Type", "application/json")
	_, _ = rw.Write(b)
}

// isValid reports whether the ticket permits a task of the step to start on the executor now.
func (a *adviser) isValid(name, step string, x *executor) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.tickets[name]
	return ok && t.step == step && t.executor == x.id && t.born == x.born && time.Now().Before(t.until)
}

func (w *world) executorOf(id string) *executor {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.executors[id]
}
