package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/ibischute/ibischute/internal/modules/httpj"
	"github.com/ibischute/ibischute/internal/stand/fleet"
	"github.com/ibischute/ibischute/internal/web/opersv"
	"github.com/ibischute/ibischute/pkg/fault"
)

type demoCommand struct {
	Keep      bool          `long:"keep" description:"leave the system running until interrupted"`
	Duration  time.Duration `long:"duration" default:"8s" description:"how long requests are sent"`
	Rate      float64       `long:"rate" default:"300" description:"requests a second"`
	Cancelled float64       `long:"cancelled" default:"0.3" description:"share of requests that their callers cancel"`
	Ibischute string        `long:"ibischute" description:"the ibischute binary" default:"bin/ibischute"`
	Bundle    string        `long:"bundle" description:"bundle to roll out" default:"examples/bundle.yaml"`
	Seed      uint64        `long:"seed" default:"1" description:"seed of the load"`
}

const (
	demoServiceTime = 5 * time.Millisecond
	demoTimeout     = 50 * time.Second
	rolloutTimeout  = 10 * time.Second
	jobTasks        = 12
	maxLatencyUS    = 60_000_000
	histogramDigits = 3
)

// Execute implements flags.Commander. It starts a whole system, sends requests, runs a batch job and prints the
// results.
func (c *demoCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	if !c.Keep {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, demoTimeout)
		defer cancel()
	}
	dir, err := os.MkdirTemp("", "ibischute-demo-")
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, fault.NotRun, "create a folder for logs")
	}
	defer os.RemoveAll(dir)
	f, err := c.start(ctx, dir)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := c.rollOut(ctx, f); err != nil {
		return err
	}
	results := c.load(ctx, f)
	report, err := c.finish(ctx, f, results)
	if err != nil {
		return err
	}
	if c.Keep {
		printAddresses(f)
		<-ctx.Done()
	}
	if len(report.Violations) > 0 {
		return fault.New(fault.CodeInternal, fault.Unknown, fmt.Sprintf("the run had %d violations", len(report.Violations)))
	}
	return nil
}

func (c *demoCommand) start(ctx context.Context, dir string) (*fleet.Fleet, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeInternal, fault.NotRun, "determine the path of the ibistand binary")
	}
	ibischute, err := filepath.Abs(c.Ibischute)
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeSetting, fault.NotRun, "flag --ibischute")
	}
	fmt.Println("starting 1 platform, 9 entry instances, 6 executors and 6 workers in 3 failure domains")
	return fleet.Start(ctx, fleet.Config{
		Ibischute: ibischute, Ibistand: self, Dir: dir, Domains: []string{"catania", "palermo", "trapani"},
		Entries: 3, Executors: 2, Workers: 2, Services: []string{"invoicing", "order-desk"}, ServiceTime: demoServiceTime,
		ListLag: 2 * time.Second,
	})
}

// rollOut publishes the bundle and waits until it is in force on every entry instance.
func (c *demoCommand) rollOut(ctx context.Context, f *fleet.Fleet) error {
	text, err := os.ReadFile(c.Bundle)
	if err != nil {
		return fault.Wrap(err, fault.CodeSetting, fault.NotRun, "flag --bundle")
	}
	names := f.EntryNames()
	start := time.Now()
	if err := f.Publish(ctx, names[0], text); err != nil {
		return err
	}
	err = fleet.Await(ctx, rolloutTimeout, func() bool {
		for _, n := range names {
			if s, err := f.Status(ctx, n); err != nil || s.Version == 0 {
				return false
			}
		}
		return true
	})
	if err != nil {
		return err
	}
	fmt.Printf("bundle version 1 in force on %d instances after %d ms\n", len(names), time.Since(start).Milliseconds())
	return f.AwaitReady(ctx, names...)
}

type requestResult struct {
	class     string
	outcome   string
	latencyUS int64
}

type requestKind struct{ service, class, method, path string }

var requestKinds = []requestKind{
	{"invoicing", "invoice", http.MethodPost, "/invoices"},
	{"order-desk", "quote-check", http.MethodGet, "/quotes/17"},
}

// load sends requests at a fixed rate, without waiting for the answers to earlier ones.
func (c *demoCommand) load(ctx context.Context, f *fleet.Fleet) []requestResult {
	rng := rand.New(rand.NewPCG(c.Seed, c.Seed))
	client := httpj.NewClient(httpj.Dialer(""), 256)
	names := f.EntryNames()
	var mu sync.Mutex
	var results []requestResult
	var wg sync.WaitGroup
	interval := time.Duration(float64(time.Second) / c.Rate)
	count := int(c.Rate * c.Duration.Seconds())
	start := time.Now()
	for i := range count {
		due := start.Add(time.Duration(i) * interval)
		time.Sleep(time.Until(due))
		k := requestKinds[rng.IntN(len(requestKinds))]
		isCancelled := rng.Float64() < c.Cancelled
		target := names[rng.IntN(len(names))]
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := send(ctx, client, f.CallerAddress(target), k, i, isCancelled, due)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, r)
		}()
	}
	wg.Wait()
	return results
}

// send sends one request. Latency counts from the time the request was due.
func send(
	ctx context.Context, client *http.Client, address string, k requestKind, i int, isCancelled bool, due time.Time,
) requestResult {
	r := requestResult{class: k.class, outcome: "cancelled"}
	if isCancelled {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, demoServiceTime/2)
		defer cancel()
	}
	body := fmt.Sprintf("%s %d", k.class, i)
	url := "http://" + address + "/v1/services/" + k.service + k.path
	req, err := http.NewRequestWithContext(ctx, k.method, url, strings.NewReader(body))
	if err != nil {
		r.outcome = "failed"
		return r
	}
	req.Header.Set("Ibischute-Tenant", fmt.Sprintf("member-%d", i%20))
	if k.method == http.MethodPost {
		req.Header.Set("Idempotency-Key", fmt.Sprintf("demo-%d", i))
	}
	res, err := client.Do(req)
	if err != nil {
		if !isCancelled {
			r.outcome = "failed"
		}
		return r
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	r.latencyUS = time.Since(due).Microseconds()
	switch {
	case err != nil && isCancelled:
	case err != nil:
		r.outcome = "cut"
	case res.StatusCode != http.StatusOK:
		r.outcome = "refused"
	case !strings.HasSuffix(string(text), body):
		r.outcome = "wrong answer"
	default:
		r.outcome = "answered"
	}
	return r
}

// finish runs a batch job, prints the results and returns the reports of the stand-ins, together with the violations
// that the callers saw.
func (c *demoCommand) finish(ctx context.Context, f *fleet.Fleet, results []requestResult) (fleet.Report, error) {
	job, err := runJob(ctx, f)
	if err != nil {
		return fleet.Report{}, err
	}
	report, err := f.Check(ctx)
	if err != nil {
		return report, err
	}
	for _, r := range results {
		if r.outcome == "wrong answer" {
			report.Violations = append(report.Violations, "a caller got the answer to another request")
		}
	}
	printTable(results)
	fmt.Printf("batch job %s: %s, %d of %d tasks done\n", job.Spec.ID, job.Phase, job.Done, job.Spec.Tasks)
	if job.Phase != "finished" {
		report.Violations = append(report.Violations, "the batch job did not finish")
	}
	fmt.Printf("violations seen by the stand-ins and the callers: %d\n", len(report.Violations))
	for _, text := range report.Violations {
		fmt.Println("  " + text)
	}
	return report, nil
}

func runJob(ctx context.Context, f *fleet.Fleet) (opersv.Job, error) {
	base := "http://" + f.OperatorAddress(f.EntryNames()[0]) + "/v1/jobs"
	client := httpj.NewClient(httpj.Dialer(""), 1)
	spec := opersv.JobSpec{
		ID: "statements-november", Team: "accounts", Tasks: jobTasks, MilliCPU: 4000, MemoryMB: 8000, RunMS: 500,
	}
	var j opersv.Job
	if err := httpj.Call(ctx, client, http.MethodPost, base, spec, &j); err != nil {
		return j, err
	}
	err := fleet.Await(ctx, 30*time.Second, func() bool {
		err := httpj.Call(ctx, client, http.MethodGet, base+"/"+spec.ID, nil, &j)
		return err == nil && j.Phase != "accepted"
	})
	return j, err
}

func printTable(results []requestResult) {
	outcomes := []string{"answered", "refused", "cancelled", "failed", "cut", "wrong answer"}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer w.Flush()
	fmt.Fprintln(w, "class\t"+strings.Join(outcomes, "\t")+"\tp50 ms\tp99 ms\tp99.9 ms\t")
	for _, k := range requestKinds {
		h := hdrhistogram.New(1, maxLatencyUS, histogramDigits)
		counts := map[string]int{}
		for _, r := range results {
			if r.class != k.class {
				continue
			}
			counts[r.outcome]++
			if r.outcome == "answered" {
				_ = h.RecordValue(r.latencyUS)
			}
		}
		fmt.Fprintf(w, "%s\t", k.class)
		for _, o := range outcomes {
			fmt.Fprintf(w, "%d\t", counts[o])
		}
		for _, q := range []float64{50, 99, 99.9} {
			fmt.Fprintf(w, "%.1f\t", float64(h.ValueAtQuantile(q))/1000)
		}
		fmt.Fprintln(w)
	}
}

func printAddresses(f *fleet.Fleet) {
	fmt.Println("platform", f.PlatformURL())
	for _, n := range f.EntryNames() {
		fmt.Printf("%s callers http://%s operators %s\n", n, f.CallerAddress(n), f.OperatorAddress(n))
	}
	fmt.Println("interrupt to stop the system")
}
