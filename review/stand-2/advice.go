package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	ticketValidity = 3 * time.Second
	decisionTime   = 20 * time.Millisecond
	periodTime     = 2 * time.Millisecond
)

// isGood reports whether the policy allows the executor to run the step. It allows one in three, and two for each step.
func (w *world) isGood(step, id string) bool {
	rank := func(id string) uint32 {
		h := fnv.New32a()
		_, _ = h.Write([]byte(step + id))
		return h.Sum32()
	}
	lower := 0
	for _, x := range w.executors {
		if rank(x.id) < rank(id) {
			lower++
		}
	}
	return lower < 2 || rank(id)%3 == 0
}

// ticketOf returns the ticket for the step on the executor, during this life of it.
func ticketOf(step string, x *executor, at time.Time) string {
	return fmt.Sprintf("%s/%s/%d/%d", step, x.id, x.born, at.UnixMilli())
}

// holdsTicket reports whether the ticket is valid for the task on the executor.
func (x *executor) holdsTicket(t taskName, ticket string) bool {
	step := fmt.Sprintf("%s.%d.%d", t.job, t.occ, t.step)
	prefix := fmt.Sprintf("%s/%s/%d/", step, x.id, x.born)
	rest, ok := strings.CutPrefix(ticket, prefix)
	if !ok {
		return false
	}
	var ms int64
	_, err := fmt.Sscan(rest, &ms)
	return err == nil && time.Since(time.UnixMilli(ms)) < ticketValidity
}

// serveAdvice starts the policy service.
func (w *world) serveAdvice() string {
	address := w.base + ".99:8169"
	l, err := net.Listen("tcp", address)
	if err != nil {
		w.fatal("policy service: %v", err)
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			b, _ := io.ReadAll(r.Body)
			var in struct {
				Step    string   `json:"step"`
				Workers []string `json:"workers"`
			}
			_ = json.Unmarshal(b, &in)
			time.Sleep(decisionTime + time.Duration(len(in.Workers))*periodTime)
			good := [][2]string{}
			w.mu.Lock()
			for _, id := range in.Workers {
				for _, x := range w.executors {
					if x.id == id && w.isGood(in.Step, id) {
						good = append(good, [2]string{id, ticketOf(in.Step, x, time.Now())})
					}
				}
			}
			w.mu.Unlock()
			writeJSON(rw, 200, map[string]any{"good": good, "validity_ms": ticketValidity.Milliseconds()})
		}))
	}()
	return address
}
