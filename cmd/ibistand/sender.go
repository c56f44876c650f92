package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/ibischute/ibischute/internal/modules/execio"
	"github.com/ibischute/ibischute/internal/modules/httpj"
	"github.com/ibischute/ibischute/internal/stand/execu"
	"github.com/ibischute/ibischute/internal/stand/fleet"
)

// sender sends the load of one run. The load is open-loop: requests are sent without waiting for earlier answers, and
// latency counts from the time a request was due.
type sender struct {
	cmd             *loadCommand
	mode            dispatchMode
	experiment      experiment
	client          *http.Client
	entries         []string
	executors       []string
	rng             *rand.Rand
	meanServiceTime time.Duration

	mu         sync.Mutex
	latency    *hdrhistogram.Histogram
	counts     map[string]int
	slotsInUse []int
	// sharesInUse counts the slots in use of each entry instance's share of each executor; the indexes are those of
	// entries and executors. nextExecutor is the round-robin position of each entry instance.
	sharesInUse  [][]int
	nextExecutor []int
}

func newSender(c *loadCommand, f *fleet.Fleet, mode dispatchMode, x experiment) *sender {
	s := &sender{
		cmd: c, mode: mode, experiment: x, client: httpj.NewClient(httpj.Dialer(""), 2048),
		rng:     rand.New(rand.NewPCG(c.Seed, 2)),
		latency: hdrhistogram.New(1, maxLatencyUS, histogramDigits), counts: map[string]int{},
		meanServiceTime: time.Duration(c.ServiceMS * float64(time.Millisecond)),
	}
	for _, n := range f.EntryNames() {
		s.entries = append(s.entries, f.CallerAddress(n))
	}
	for i := range c.Executors {
		s.executors = append(s.executors, f.ExecutorAddress(fmt.Sprintf("a-ex-%d", i+1)))
	}
	s.slotsInUse = make([]int, len(s.executors))
	s.nextExecutor = make([]int, len(s.entries))
	for range s.entries {
		s.sharesInUse = append(s.sharesInUse, make([]int, len(s.executors)))
	}
	return s
}

func (s *sender) sendAll(ctx context.Context, rate float64, duration time.Duration) {
	var wg sync.WaitGroup
	inFlight := make(chan struct{}, maxInFlight)
	start := time.Now()
	due := start
	for i := 0; due.Sub(start) < duration; i++ {
		due = due.Add(time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second)))
		serviceTime := s.meanServiceTime/2 + time.Duration(s.rng.ExpFloat64()*float64(s.meanServiceTime/2))
		isCancelled := s.rng.Float64() < s.experiment.cancelledShare
		cancelAfter := time.Duration(s.rng.Float64() * float64(serviceTime))
		time.Sleep(time.Until(due))
		inFlight <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.sendOne(ctx, i, due, serviceTime, isCancelled, cancelAfter)
			<-inFlight
		}()
	}
	wg.Wait()
}

// route picks the address that a request is sent to. It returns false if there is no free slot, and otherwise a
// function to call when the request has ended.
func (s *sender) route(i int) (string, bool, func()) {
	switch s.mode {
	case modeIbischute, modeKeyed:
		return s.entries[i%len(s.entries)] + "/v1/services/order-desk", true, func() {}
	case modeRoundRobin:
		return s.pickRoundRobin(i % len(s.entries))
	default:
		return s.pickLeastLoaded()
	}
}

// pickRoundRobin implements the round-robin baseline, in which each of the three entry instances has a fixed share of
// every executor's slots: a request goes to the instance's next executor with a free slot in that share.
func (s *sender) pickRoundRobin(entry int) (string, bool, func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range s.executors {
		executor := s.nextExecutor[entry] % len(s.executors)
		s.nextExecutor[entry]++
		if s.sharesInUse[entry][executor] < slotsPerExecutor/len(s.entries) {
			s.sharesInUse[entry][executor]++
			return s.executors[executor], true, func() { s.releaseShare(entry, executor) }
		}
	}
	return "", false, nil
}

func (s *sender) releaseShare(entry, executor int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sharesInUse[entry][executor]--
}

// pickLeastLoaded implements the least-loaded baseline: it picks the executor with the fewest slots in use, by one
// global count without ownership. The direct mode uses it as well, at a load at which a slot is always free.
func (s *sender) pickLeastLoaded() (string, bool, func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	best := 0
	for e := range s.slotsInUse {
		if s.slotsInUse[e] < s.slotsInUse[best] {
			best = e
		}
	}
	if s.slotsInUse[best] >= slotsPerExecutor {
		return "", false, nil
	}
	s.slotsInUse[best]++
	return s.executors[best], true, func() { s.releaseSlot(best) }
}

func (s *sender) releaseSlot(executor int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slotsInUse[executor]--
}

// sendOne sends one request and records its outcome and latency.
func (s *sender) sendOne(
	ctx context.Context, i int, due time.Time, serviceTime time.Duration, isCancelled bool, cancelAfter time.Duration,
) {
	address, ok, release := s.route(i)
	if !ok {
		s.record("refused", 0)
		return
	}
	defer release()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	cancelAt := time.Time{}
	if isCancelled {
		cancelAt = time.Now().Add(cancelAfter)
		ctx, cancel = context.WithDeadline(ctx, cancelAt)
		defer cancel()
	}
	s.record(s.send(ctx, i, address, serviceTime, cancelAt), time.Since(due))
}

// send sends one request and returns its outcome.
func (s *sender) send(
	ctx context.Context, i int, address string, serviceTime time.Duration, cancelAt time.Time,
) string {
	method := http.MethodGet
	if s.mode == modeKeyed {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/q", strings.NewReader("menu"))
	if err != nil {
		return "failed"
	}
	req.Header.Set("Stand-Service-Ms", strconv.FormatFloat(float64(serviceTime)/float64(time.Millisecond), 'f', 3, 64))
	if s.mode == modeDirect || s.mode == modeRoundRobin || s.mode == modeLeastLoaded {
		req.Header.Set(execio.HeaderRequestID, strconv.Itoa(i))
	}
	if !cancelAt.IsZero() {
		req.Header.Set(execu.HeaderCancelAt, strconv.FormatInt(cancelAt.UnixMicro(), 10))
	}
	if s.mode == modeKeyed {
		req.Header.Set("Idempotency-Key", strconv.Itoa(i))
	}
	res, err := s.client.Do(req)
	if err != nil {
		if !cancelAt.IsZero() {
			return "cancelled"
		}
		return "failed"
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		if !cancelAt.IsZero() {
			return "cancelled"
		}
		return "cut"
	}
	if res.StatusCode != http.StatusOK {
		return "refused"
	}
	return "answered"
}

func (s *sender) record(outcome string, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[outcome]++
	if outcome == "answered" {
		_ = s.latency.RecordValue(latency.Microseconds())
	}
}
