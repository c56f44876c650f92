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

// sender sends one load. Arrivals are open-loop: they do not wait for answers, and latency counts from when a request
// was due.
type sender struct {
	cmd     *loadCommand
	way     way
	x       experiment
	client  *http.Client
	entries []string
	execs   []string
	rng     *rand.Rand
	usual   time.Duration

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	counts  map[string]int
	inUse   []int
	// shares are the slots in use of each entry instance's share, and next its place in the rotation.
	shares [][]int
	next   []int
}

func newSender(c *loadCommand, f *fleet.Fleet, w way, x experiment) *sender {
	s := &sender{
		cmd: c, way: w, x: x, client: httpj.NewClient(httpj.Dialer(""), 2048), rng: rand.New(rand.NewPCG(c.Seed, 2)),
		latency: hdrhistogram.New(1, maxLatencyUS, histogramDigits), counts: map[string]int{},
		usual: time.Duration(c.ServiceMS * float64(time.Millisecond)),
	}
	for _, n := range f.EntryNames() {
		s.entries = append(s.entries, f.CallerAddress(n))
	}
	for i := range c.Executors {
		s.execs = append(s.execs, f.ExecutorAddress(fmt.Sprintf("a-ex-%d", i+1)))
	}
	s.inUse = make([]int, len(s.execs))
	s.next = make([]int, len(s.entries))
	for range s.entries {
		s.shares = append(s.shares, make([]int, len(s.execs)))
	}
	return s
}

func (s *sender) sendAll(ctx context.Context, rate float64, length time.Duration) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, loadInFlight)
	began := time.Now()
	due := began
	for i := 0; due.Sub(began) < length; i++ {
		due = due.Add(time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second)))
		work := s.usual/2 + time.Duration(s.rng.ExpFloat64()*float64(s.usual/2))
		isCancelled := s.rng.Float64() < s.x.cancelled
		leaveAfter := time.Duration(s.rng.Float64() * float64(work))
		time.Sleep(time.Until(due))
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.one(ctx, i, due, work, isCancelled, leaveAfter)
			<-slots
		}()
	}
	wg.Wait()
}

// address picks where a request goes and returns what to call at its end.
func (s *sender) address(i int) (string, bool, func()) {
	switch s.way {
	case wayIbischute, wayKeyed:
		return s.entries[i%len(s.entries)] + "/v1/services/order-desk", true, func() {}
	case wayRoundRobin:
		return s.fixedShare(i % len(s.entries))
	default:
		return s.leastLoaded()
	}
}

// fixedShare is the baseline of round robin with a fixed share of each executor's slots for each of three entry
// instances: a request goes to the instance's next executor whose share is not used up.
func (s *sender) fixedShare(entry int) (string, bool, func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range s.execs {
		e := s.next[entry] % len(s.execs)
		s.next[entry]++
		if s.shares[entry][e] < slotsPerExecutor/len(s.entries) {
			s.shares[entry][e]++
			return s.execs[e], true, func() { s.freeShare(entry, e) }
		}
	}
	return "", false, nil
}

func (s *sender) freeShare(entry, e int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shares[entry][e]--
}

// leastLoaded is the baseline of the least loaded executor by one global count without ownership; direct uses it as
// well, at a load where it never has to wait.
func (s *sender) leastLoaded() (string, bool, func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	best := 0
	for e := range s.inUse {
		if s.inUse[e] < s.inUse[best] {
			best = e
		}
	}
	if s.inUse[best] >= slotsPerExecutor {
		return "", false, nil
	}
	s.inUse[best]++
	return s.execs[best], true, func() { s.free(best) }
}

func (s *sender) free(e int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse[e]--
}

func (s *sender) one(
	ctx context.Context, i int, due time.Time, work time.Duration, isCancelled bool, leaveAfter time.Duration,
) {
	address, ok, done := s.address(i)
	if !ok {
		s.note("refused", 0)
		return
	}
	defer done()
	ctx, cancel := context.WithTimeout(ctx, loadDeadline)
	defer cancel()
	leaveAt := time.Time{}
	if isCancelled {
		leaveAt = time.Now().Add(leaveAfter)
		ctx, cancel = context.WithDeadline(ctx, leaveAt)
		defer cancel()
	}
	s.note(s.send(ctx, i, address, work, leaveAt), time.Since(due))
}

func (s *sender) send(ctx context.Context, i int, address string, work time.Duration, leaveAt time.Time) string {
	method := http.MethodGet
	if s.way == wayKeyed {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/q", strings.NewReader("menu"))
	if err != nil {
		return "failed"
	}
	req.Header.Set("Stand-Service-Ms", strconv.FormatFloat(float64(work)/float64(time.Millisecond), 'f', 3, 64))
	if s.way == wayDirect || s.way == wayRoundRobin || s.way == wayLeastOwn {
		req.Header.Set(execio.HeaderRequestID, strconv.Itoa(i))
	}
	if !leaveAt.IsZero() {
		req.Header.Set(execu.HeaderLeave, strconv.FormatInt(leaveAt.UnixMicro(), 10))
	}
	if s.way == wayKeyed {
		req.Header.Set("Idempotency-Key", strconv.Itoa(i))
	}
	res, err := s.client.Do(req)
	if err != nil {
		if !leaveAt.IsZero() {
			return "cancelled"
		}
		return "failed"
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		if !leaveAt.IsZero() {
			return "cancelled"
		}
		return "cut"
	}
	if res.StatusCode != http.StatusOK {
		return "refused"
	}
	return "answered"
}

func (s *sender) note(outcome string, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[outcome]++
	if outcome == "answered" {
		_ = s.latency.RecordValue(latency.Microseconds())
	}
}
