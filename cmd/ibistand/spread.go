package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/ibischute/ibischute/internal/stand/fleet"
	"github.com/ibischute/ibischute/pkg/ident"
)

type spreadCommand struct {
	controlCommand
	Changes int `long:"changes" default:"500" description:"configuration versions to publish one after the other"`
}

const spreadTimeout = 30 * time.Second

// Execute implements flags.Commander. It measures the time from the sign-off that accepts a version until the version
// is in force on every entry instance.
func (c *spreadCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	f, cleanUp, err := c.startSystem(ctx)
	if err != nil {
		return err
	}
	defer cleanUp()
	h := hdrhistogram.New(1, maxLatencyUS, histogramDigits)
	names := f.EntryNames()
	for version := 2; version <= c.Changes+1; version++ {
		text := strings.NewReplacer("version: 1\nparent: 0", fmt.Sprintf("version: %d\nparent: %d", version, version-1)).
			Replace(loadBundle)
		if err := f.Publish(ctx, names[version%len(names)], []byte(text)); err != nil {
			return err
		}
		start := time.Now()
		if err := awaitVersion(ctx, f, ident.Version(version)); err != nil {
			return err
		}
		_ = h.RecordValue(time.Since(start).Microseconds())
	}
	fmt.Printf("%d versions on %d instances, time from the sign-off response until in force on all: p50 %.1f ms, p99 %.1f ms, "+
		"max %.1f ms\n", c.Changes, len(names), float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000,
		float64(h.Max())/1000)
	return nil
}

// awaitVersion waits until the version, or a later one, is in force on every entry instance.
func awaitVersion(ctx context.Context, f *fleet.Fleet, v ident.Version) error {
	for _, n := range f.EntryNames() {
		err := fleet.Await(ctx, spreadTimeout, func() bool {
			s, err := f.Status(ctx, n)
			return err == nil && s.Version >= v
		})
		if err != nil {
			return err
		}
	}
	return nil
}
