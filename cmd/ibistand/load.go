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
