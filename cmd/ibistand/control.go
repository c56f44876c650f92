package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/ibischute/ibischute/internal/stand/fleet"
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
	f, cleanUp, err := c.system(ctx)
	if err != nil {
		return err
	}
	defer cleanUp()
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

func (c *controlCommand) system(ctx context.Context) (*fleet.Fleet, func(), error) {
	var domains []string
	for i := range c.Domains {
		domains = append(domains, fmt.Sprintf("d%d", i+1))
	}
	return startSystem(ctx, c.Ibischute, fleet.Config{
		Domains: domains, Entries: c.Entries, Executors: c.Executors, Workers: c.Workers,
	})
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
