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

// Execute implements flags.Commander. It measures the processor time, memory and control traffic of the entry
// instances of an idle system.
func (c *controlCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	f, cleanUp, err := c.startSystem(ctx)
	if err != nil {
		return err
	}
	defer cleanUp()
	before, err := collectUsage(ctx, f)
	if err != nil {
		return err
	}
	start := time.Now()
	time.Sleep(c.Duration)
	after, err := collectUsage(ctx, f)
	if err != nil {
		return err
	}
	c.print(f, before, after, time.Since(start))
	return nil
}

func (c *controlCommand) startSystem(ctx context.Context) (*fleet.Fleet, func(), error) {
	var domains []string
	for i := range c.Domains {
		domains = append(domains, fmt.Sprintf("d%d", i+1))
	}
	return startSystem(ctx, c.Ibischute, fleet.Config{
		Domains: domains, Entries: c.Entries, Executors: c.Executors, Workers: c.Workers,
	})
}

func collectUsage(ctx context.Context, f *fleet.Fleet) (map[string]fleet.Usage, error) {
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

func (c *controlCommand) print(f *fleet.Fleet, before, after map[string]fleet.Usage, elapsed time.Duration) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "instance\tcore-%\tmemory-MB\tplatform-KB/s\tpeers-KB/s\texecutors-KB/s")
	for _, n := range f.EntryNames() {
		current, previous := after[n], before[n]
		rate := func(to string) float64 {
			return (current.Control[to] - previous.Control[to]) / elapsed.Seconds() / 1000
		}
		fmt.Fprintf(w, "%s\t%.2f\t%.1f\t%.2f\t%.2f\t%.2f\n", n,
			100*(current.CPU-previous.CPU).Seconds()/elapsed.Seconds(), current.MemoryMB,
			rate("platform"), rate("peers"), rate("executors"))
	}
}
