package main

import (
	"context"
	"encoding/csv"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/ibischute/ibischute/internal/modules/execio"
	"github.com/ibischute/ibischute/internal/modules/httpj"
	"github.com/ibischute/ibischute/internal/stand/execu"
	"github.com/ibischute/ibischute/internal/stand/fleet"
	"github.com/ibischute/ibischute/pkg/fault"
)

type loadCommand struct {
	Duration  time.Duration `long:"duration" default:"6s" description:"length of each run"`
	Executors int           `long:"executors" default:"8" description:"executors of the one failure domain"`
	ServiceMS float64       `long:"service-ms" default:"20" description:"mean service time"`
	Seed      uint64        `long:"seed" default:"1" description:"seed of arrivals and service times"`
	Only      string        `long:"only" description:"run only this experiment: latency, keyed, overload, slow, cancel"`
	CSV       string        `long:"csv" description:"file for the figures"`
	Ibischute string        `long:"ibischute" description:"the ibischute binary" default:"bin/ibischute"`
}

const (
	slotsPerExecutor = 8
	loadInFlight     = 20_000
	loadDeadline     = 2 * time.Second
	settleTime       = time.Second
)

// way is how requests reach the executors.
type way string

const (
	wayDirect     way = "direct"
	wayRoundRobin way = "round-robin"
	wayLeastOwn   way = "least-loaded"
	wayIbischute  way = "ibischute"
	wayKeyed      way = "ibischute-keyed"
)

type experiment struct {
	name string
	ways []way
	// load is the offered work over the capacity.
	load float64
	// cancelled is the share of callers that leave.
	cancelled float64
	slow      float64
}

var experiments = []experiment{
	{name: "latency", ways: []way{wayDirect, wayRoundRobin, wayLeastOwn, wayIbischute}, load: 0.6},
	{name: "keyed", ways: []way{wayKeyed}, load: 0.3},
	{name: "best", ways: []way{wayIbischute}, load: 0.9},
	{name: "overload", ways: []way{wayRoundRobin, wayLeastOwn, wayIbischute}, load: 2},
	{name: "slow", ways: []way{wayRoundRobin, wayLeastOwn, wayIbischute}, load: 0.5, slow: 10},
	{name: "cancel", ways: []way{wayDirect, wayIbischute}, load: 0.6, cancelled: 0.8},
}

// figures are the results of one run.
type figures struct {
	experiment string
	way        way
	offered    float64
	counts     map[string]int
	p50, p99   float64
	p999       float64
	goodput    float64
	wasted     float64
	violations int
	// perCore is the answers for each second of processor time of the entry instances.
	perCore float64
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	ctx, stop := signalled()
	defer stop()
	var all []figures
	for _, x := range experiments {
		if c.Only != "" && c.Only != x.name {
			continue
		}
		for _, w := range x.ways {
			f, err := c.run(ctx, x, w)
			if err != nil {
				return err
			}
			all = append(all, f)
		}
	}
	printFigures(os.Stdout, all)
	if c.CSV == "" {
		return nil
	}
	return writeCSV(c.CSV, all)
}

// run starts a system, sends the load in one way and ends the system.
func (c *loadCommand) run(ctx context.Context, x experiment, w way) (figures, error) {
	f, cleanUp, err := c.system(ctx)
	if err != nil {
		return figures{}, err
	}
	defer cleanUp()
	if x.slow > 0 {
		if err := f.ExecutorFaults(ctx, "a-ex-1", execu.Faults{SlowFactor: x.slow}); err != nil {
			return figures{}, err
		}
	}
	capacity := float64(c.Executors*slotsPerExecutor) / (c.ServiceMS / 1000)
	rate := x.load * capacity
	s := newSender(c, f, w, x)
	before, err := entryCPU(ctx, f)
	if err != nil {
		return figures{}, err
	}
	began := time.Now()
	s.sendAll(ctx, rate, c.Duration)
	took := time.Since(began)
	after, err := entryCPU(ctx, f)
	if err != nil {
		return figures{}, err
	}
	verdict, err := f.Check(ctx)
	if err != nil {
		return figures{}, err
	}
	out := s.figures(x, w, rate, took, verdict)
	out.perCore = float64(s.counts["answered"]) / (after - before).Seconds()
	return out, nil
}

// entryCPU returns the processor time that the entry instances have used.
func entryCPU(ctx context.Context, f *fleet.Fleet) (time.Duration, error) {
	var sum time.Duration
	for _, n := range f.EntryNames() {
		u, err := f.Usage(ctx, n)
		if err != nil {
			return 0, err
		}
		sum += u.CPU
	}
	return sum, nil
}

func (c *loadCommand) system(ctx context.Context) (*fleet.Fleet, func(), error) {
	return startSystem(ctx, c.Ibischute, fleet.Config{
		Domains: []string{"a"}, Entries: 3, Executors: c.Executors,
		ServiceTime: time.Duration(c.ServiceMS * float64(time.Millisecond)),
	})
}

// startSystem starts a system, rolls out the bundle of the measurements and lets it settle. The function returned
// ends it.
func startSystem(ctx context.Context, ibischute string, config fleet.Config) (*fleet.Fleet, func(), error) {
	self, err := os.Executable()
	if err != nil {
		return nil, nil, fault.Wrap(err, fault.CodeInternal, fault.NotRun, "find the own binary")
	}
	dir, err := os.MkdirTemp("", "ibischute-measure-")
	if err != nil {
		return nil, nil, fault.Wrap(err, fault.CodeInternal, fault.NotRun, "make a folder for logs")
	}
	path, err := filepath.Abs(ibischute)
	if err != nil {
		return nil, nil, fault.Wrap(err, fault.CodeSetting, fault.NotRun, "flag --ibischute")
	}
	config.Ibischute, config.Ibistand, config.Dir = path, self, dir
	config.Services = []string{"order-desk"}
	config.EntryArgs = []string{"--log-level", "warn"}
	f, err := fleet.Start(ctx, config)
	if err != nil {
		return nil, nil, err
	}
	cleanUp := func() {
		f.Close()
		_ = os.RemoveAll(dir)
	}
	if err = f.Publish(ctx, f.EntryNames()[0], []byte(loadBundle)); err == nil {
		err = f.AwaitReady(ctx, f.EntryNames()...)
	}
	if err != nil {
		cleanUp()
		return nil, nil, err
	}
	time.Sleep(2 * settleTime)
	return f, cleanUp, nil
}

const loadBundle = `
schema: 1
version: 1
parent: 0
operators: {threshold: 1, keys: [{name: root, public-key: $ROOT_PUBLIC}]}
services:
  - name: order-desk
    classes:
      - {name: quote-check, default-deadline: 2s, max-queue: 400}
tenants:
  default: {rate: 100000}
`

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

func (s *sender) figures(x experiment, w way, rate float64, took time.Duration, v fleet.Verdict) figures {
	ms := func(q float64) float64 { return float64(s.latency.ValueAtQuantile(q)) / 1000 }
	out := figures{
		experiment: x.name, way: w, offered: rate, counts: s.counts, p50: ms(50), p99: ms(99), p999: ms(99.9),
		goodput: float64(s.counts["answered"]) / took.Seconds(), violations: len(v.Violations),
	}
	var busy, wasted int64
	for _, e := range v.Executors {
		busy += e.BusyMS
		wasted += e.WastedMS
	}
	if busy > 0 {
		out.wasted = float64(wasted) / float64(busy)
	}
	return out
}

func (f figures) row() []string {
	n := func(name string) string { return strconv.Itoa(f.counts[name]) }
	d := func(v float64) string { return strconv.FormatFloat(v, 'f', 2, 64) }
	return []string{
		f.experiment, string(f.way), strconv.Itoa(int(f.offered)), n("answered"), n("refused"), n("cancelled"),
		n("failed"), d(f.p50), d(f.p99), d(f.p999), strconv.Itoa(int(f.goodput)), d(100 * f.wasted),
		strconv.Itoa(f.violations), strconv.Itoa(int(f.perCore)),
	}
}

var figureNames = []string{
	"experiment", "way", "offered/s", "answered", "refused", "cancelled", "failed", "p50-ms", "p99-ms", "p99.9-ms",
	"goodput/s", "wasted-%", "violations", "answers/core-s",
}

func printFigures(out io.Writer, all []figures) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, strings.Join(figureNames, "\t"))
	for _, f := range all {
		fmt.Fprintln(w, strings.Join(f.row(), "\t"))
	}
}

func writeCSV(path string, all []figures) error {
	file, err := os.Create(path)
	if err != nil {
		return fault.Wrap(err, fault.CodeSetting, fault.NotRun, "flag --csv")
	}
	defer file.Close()
	w := csv.NewWriter(file)
	if err := w.Write(figureNames); err != nil {
		return fault.Wrap(err, fault.CodeInternal, fault.Unknown, "write figures")
	}
	for _, f := range all {
		if err := w.Write(f.row()); err != nil {
			return fault.Wrap(err, fault.CodeInternal, fault.Unknown, "write figures")
		}
	}
	w.Flush()
	return w.Error()
}
