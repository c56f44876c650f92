package main

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"github.com/ibischute/ibischute/internal/stand/fleet"
	"github.com/ibischute/ibischute/pkg/ident"
)

type takeoverCommand struct {
	controlCommand
	Times int `long:"times" default:"5" description:"how often each way of ending is measured"`
}

const takeoverTimeout = 30 * time.Second

// Execute implements flags.Commander. It measures how long executors have no acting owner after their owner was
// stopped or killed.
func (c *takeoverCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	c.Domains = 1
	f, cleanUp, err := c.startSystem(ctx)
	if err != nil {
		return err
	}
	defer cleanUp()
	for _, ending := range []struct {
		name   string
		signal syscall.Signal
	}{{"graceful stop", syscall.SIGTERM}, {"kill for good", syscall.SIGKILL}} {
		var gaps []time.Duration
		for range c.Times {
			gap, err := c.measureOnce(ctx, f, ending.signal)
			if err != nil {
				return err
			}
			gaps = append(gaps, gap)
		}
		slices.Sort(gaps)
		fmt.Printf("%s: executors without an acting owner for %v to %v, median %v (%d times)\n", ending.name,
			gaps[0].Round(time.Millisecond), gaps[len(gaps)-1].Round(time.Millisecond),
			gaps[len(gaps)/2].Round(time.Millisecond), len(gaps))
	}
	return nil
}

// measureOnce signals the entry instance that owns the most executors, measures the time until the other instances are
// the acting owners of all executors, and starts the instance again.
func (c *takeoverCommand) measureOnce(
	ctx context.Context, f *fleet.Fleet, signal syscall.Signal,
) (time.Duration, error) {
	victim := largestOwner(ctx, f)
	others := slices.DeleteFunc(f.EntryNames(), func(n string) bool { return n == victim })
	start := time.Now()
	if err := f.Signal(victim, signal); err != nil {
		return 0, err
	}
	err := fleet.Await(ctx, takeoverTimeout, func() bool { return actingExecutors(ctx, f, others) == c.Executors })
	if err != nil {
		return 0, err
	}
	gap := time.Since(start)
	if err := f.AwaitEnd(victim); err != nil {
		return 0, err
	}
	if err := f.StartEntry(victim); err != nil {
		return 0, err
	}
	err = fleet.Await(ctx, takeoverTimeout, func() bool {
		return actingExecutors(ctx, f, f.EntryNames()) == c.Executors && isVoting(ctx, f, victim)
	})
	time.Sleep(2 * settleDelay)
	return gap, err
}

// largestOwner returns the entry instance that is the acting owner of the most executors.
func largestOwner(ctx context.Context, f *fleet.Fleet) string {
	best, most := "", -1
	for _, n := range f.EntryNames() {
		if acting := actingExecutors(ctx, f, []string{n}); acting > most {
			best, most = n, acting
		}
	}
	return best
}

// actingExecutors returns how many executors have an acting owner among the named instances. Executors that still run
// requests of another owner are not counted.
func actingExecutors(ctx context.Context, f *fleet.Fleet, names []string) int {
	acting := map[ident.Executor]bool{}
	for _, n := range names {
		s, err := f.Status(ctx, n)
		if err != nil {
			continue
		}
		for _, e := range s.Executors {
			if e.Acting && e.Foreign == 0 {
				acting[e.Name] = true
			}
		}
	}
	return len(acting)
}

func isVoting(ctx context.Context, f *fleet.Fleet, name string) bool {
	s, err := f.Status(ctx, name)
	if err != nil {
		return false
	}
	for _, m := range s.Members {
		if string(m.Name) == name {
			return m.Voting
		}
	}
	return false
}
