package main

import (
	"context"
	"os"
	"path/filepath"
	"time"

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
	maxInFlight      = 20_000
	requestTimeout   = 2 * time.Second
	settleDelay      = time.Second
)

// dispatchMode is how requests are routed to the executors.
type dispatchMode string

const (
	modeDirect      dispatchMode = "direct"
	modeRoundRobin  dispatchMode = "round-robin"
	modeLeastLoaded dispatchMode = "least-loaded"
	modeIbischute   dispatchMode = "ibischute"
	modeKeyed       dispatchMode = "ibischute-keyed"
)

type experiment struct {
	name  string
	modes []dispatchMode
	// loadFactor is the offered load divided by the capacity of the executors.
	loadFactor float64
	// cancelledShare is the share of requests that their callers cancel.
	cancelledShare float64
	// slowFactor is the factor by which the first executor is slowed; 0 leaves it at normal speed.
	slowFactor float64
}

var experiments = []experiment{
	{name: "latency", modes: []dispatchMode{modeDirect, modeRoundRobin, modeLeastLoaded, modeIbischute}, loadFactor: 0.6},
	{name: "keyed", modes: []dispatchMode{modeKeyed}, loadFactor: 0.3},
	{name: "best", modes: []dispatchMode{modeIbischute}, loadFactor: 0.9},
	{name: "overload", modes: []dispatchMode{modeRoundRobin, modeLeastLoaded, modeIbischute}, loadFactor: 2},
	{name: "slow", modes: []dispatchMode{modeRoundRobin, modeLeastLoaded, modeIbischute}, loadFactor: 0.5, slowFactor: 10},
	{name: "cancel", modes: []dispatchMode{modeDirect, modeIbischute}, loadFactor: 0.6, cancelledShare: 0.8},
}

// Execute implements flags.Commander. It runs the experiments and prints a row of results for each run.
func (c *loadCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	var results []loadResult
	for _, x := range experiments {
		if c.Only != "" && c.Only != x.name {
			continue
		}
		for _, mode := range x.modes {
			result, err := c.run(ctx, x, mode)
			if err != nil {
				return err
			}
			results = append(results, result)
		}
	}
	printResults(os.Stdout, results)
	if c.CSV == "" {
		return nil
	}
	return writeCSV(c.CSV, results)
}

// run starts a system, sends the load of the experiment in the given dispatch mode and stops the system.
func (c *loadCommand) run(ctx context.Context, x experiment, mode dispatchMode) (loadResult, error) {
	f, cleanUp, err := c.startSystem(ctx)
	if err != nil {
		return loadResult{}, err
	}
	defer cleanUp()
	if x.slowFactor > 0 {
		if err := f.SetExecutorFaults(ctx, "a-ex-1", execu.Faults{SlowFactor: x.slowFactor}); err != nil {
			return loadResult{}, err
		}
	}
	capacity := float64(c.Executors*slotsPerExecutor) / (c.ServiceMS / 1000)
	rate := x.loadFactor * capacity
	s := newSender(c, f, mode, x)
	before, err := entryCPU(ctx, f)
	if err != nil {
		return loadResult{}, err
	}
	start := time.Now()
	s.sendAll(ctx, rate, c.Duration)
	elapsed := time.Since(start)
	after, err := entryCPU(ctx, f)
	if err != nil {
		return loadResult{}, err
	}
	report, err := f.Check(ctx)
	if err != nil {
		return loadResult{}, err
	}
	result := s.result(x, mode, rate, elapsed, report)
	result.answersPerCoreSecond = float64(s.counts["answered"]) / (after - before).Seconds()
	return result, nil
}

// entryCPU returns the total processor time that the entry instances have used.
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

func (c *loadCommand) startSystem(ctx context.Context) (*fleet.Fleet, func(), error) {
	return startSystem(ctx, c.Ibischute, fleet.Config{
		Domains: []string{"a"}, Entries: 3, Executors: c.Executors,
		ServiceTime: time.Duration(c.ServiceMS * float64(time.Millisecond)),
	})
}

// startSystem starts a system, rolls out loadBundle, and waits until the instances are ready and settled. The returned
// function stops the system and removes its log folder.
func startSystem(ctx context.Context, ibischute string, config fleet.Config) (*fleet.Fleet, func(), error) {
	self, err := os.Executable()
	if err != nil {
		return nil, nil, fault.Wrap(err, fault.CodeInternal, fault.NotRun, "determine the path of the ibistand binary")
	}
	dir, err := os.MkdirTemp("", "ibischute-measure-")
	if err != nil {
		return nil, nil, fault.Wrap(err, fault.CodeInternal, fault.NotRun, "create a folder for logs")
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
	time.Sleep(2 * settleDelay)
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
