package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/ibischute/ibischute/internal/stand/fleet"
	"github.com/ibischute/ibischute/pkg/fault"
)

type controlCommand struct {
	Duration  time.Duration `long:"duration" default:"10s" description:"length of the measurement"`
	Entries   int           `long:"entries" default:"3" description:"entry instances in each domain"`
	Domains   int           `long:"domains" default:"3" description:"failure domains"`
	Executors int           `long:"executors" default:"2" description:"executors in each domain"`
	Workers   int           `long:"workers" default:"2" description:"workers in each domain"`
	Ibischute string        `long:"ibischute" description:"the ibischute binary" default:"bin/ibischute"`
}

// Execute implements flags.Commander. It measures what an idle system spends on control.
func (c *controlCommand) Execute([]string) error {
	ctx, stop := signalled()
	defer stop()
	dir, err := os.MkdirTemp("", "ibischute-control-")
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, fault.NotRun, "make a folder for logs")
	}
	defer os.RemoveAll(dir)
	f, err := c.start(ctx, dir)
	if err != nil {
		return err
	}
	defer f.Close()
	before, err := usages(ctx, f)
	if err != nil {
		return err
	}
	began := time.Now()
	time.Sleep(c.Duration)
	after, err := usages(ctx, f)
	if err != nil {
		return err
	}
	c.print(f, before, after, time.Since(began))
	return nil
}

func (c *controlCommand) start(ctx context.Context, dir string) (*fleet.Fleet, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeInternal, fault.NotRun, "find the own binary")
	}
	ibischute, err := filepath.Abs(c.Ibischute)
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeSetting, fault.NotRun, "flag --ibischute")
	}
	var domains []string
	for i := range c.Domains {
		domains = append(domains, fmt.Sprintf("d%d", i+1))
	}
	f, err := fleet.Start(ctx, fleet.Config{
		Ibischute: ibischute, Ibistand: self, Dir: dir, Domains: domains, Entries: c.Entries, Executors: c.Executors,
		Workers: c.Workers, Services: []string{"order-desk"}, EntryArgs: []string{"--log-level", "warn"},
	})
	if err != nil {
		return nil, err
	}
	if err = f.Publish(ctx, f.EntryNames()[0], []byte(loadBundle)); err == nil {
		err = f.AwaitReady(ctx, f.EntryNames()...)
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	time.Sleep(2 * settleTime)
	return f, nil
}

func usages(ctx context.Context, f *fleet.Fleet) (map[string]fleet.Usage, error) {
	out := map[string]fleet.Usage{}
	for _, n := range f.EntryNames() {
		u, err := f.Usage(ctx, n)
		if err != nil {
			return nil, err
		}
		out[n] = u
	}
	return out, nil
}

func (c *controlCommand) print(f *fleet.Fleet, before, after map[string]fleet.Usage, took time.Duration) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "instance\tcore-%\tmemory-MB\tplatform-KB/s\tpeers-KB/s\texecutors-KB/s")
	for _, n := range f.EntryNames() {
		a, b := after[n], before[n]
		rate := func(to string) float64 { return (a.Control[to] - b.Control[to]) / took.Seconds() / 1000 }
		fmt.Fprintf(w, "%s\t%.2f\t%.1f\t%.2f\t%.2f\t%.2f\n", n, 100*(a.CPU-b.CPU).Seconds()/took.Seconds(), a.MemoryMB,
			rate("platform"), rate("peers"), rate("executors"))
	}
}
