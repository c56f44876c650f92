package main

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/ibischute/ibischute/internal/modules/logkv"
	"github.com/ibischute/ibischute/internal/modules/meter"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/platform/boot"
	"github.com/ibischute/ibischute/platform/node"
)

type nodeCommand struct {
	Settings    string `long:"settings" description:"the settings file that the platform writes; its variable names it otherwise"`
	MetricsPort int    `long:"metrics-port" env:"IBISCHUTE_METRICS_PORT" default:"9464" description:"the port for metrics, 0 for none"`
	LookAhead   string `long:"look-ahead" env:"IBISCHUTE_LOOK_AHEAD" default:"on" choice:"on" choice:"off" description:"reserve executors for tasks that need more room than any has free, and let jobs that have waited long move up"`
	LogLevel    string `long:"log-level" env:"IBISCHUTE_LOG_LEVEL" default:"info" description:"debug, info, warn or error"`
}

// lookAheadOn is the value of nodeCommand.LookAhead that turns it on.
const lookAheadOn = "on"

// Execute implements flags.Commander.
func (c *nodeCommand) Execute([]string) (err error) {
	if c.Settings == "" {
		c.Settings = os.Getenv(boot.SettingsFileEnv)
	}
	s, err := boot.Load(c.Settings)
	if err != nil {
		return err
	}
	m := meter.New()
	onDropped := func(n int) { m.Count("log_lines_dropped", nil, int64(n)) }
	logger, buffer, err := logkv.NewBounded(os.Stdout, c.LogLevel, ident.Instance(s.Instance), onDropped)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, buffer.Close(), m.Close()) }()
	limitMemory(s.Limits.MemoryMB)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	defer signal.Stop(sighups)
	go c.logSettingsChanges(ctx, sighups, s, logger)
	options := node.Options{MetricsPort: c.MetricsPort, LookAhead: c.LookAhead == lookAheadOn}
	return node.New(s, options, m, logger).Run(ctx)
}

// logSettingsChanges reads the settings file at each SIGHUP and logs whether the settings differ from those at the
// start. The settings concern resources that are bound at the start, so a change takes effect only at the next start.
func (c *nodeCommand) logSettingsChanges(
	ctx context.Context, sighups <-chan os.Signal, old boot.Settings, logger zerolog.Logger,
) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighups:
		}
		reloaded, err := boot.Load(c.Settings)
		if err != nil {
			logger.Error().Err(err).Msg("settings-reload-failed")
			continue
		}
		logger.Info().Bool("changed", !reflect.DeepEqual(old, reloaded)).Msg("settings-reloaded")
	}
}

const (
	// gcPercent makes garbage collections rarer to save processor time; the process uses little of its memory.
	gcPercent = 300
	// memoryLimitShare is the fraction of the memory that is set as the soft limit of the Go runtime. Near it, the
	// garbage collector runs more often.
	memoryLimitShare = 0.6
	bytesPerMB       = 1 << 20
)

// limitMemory configures the garbage collector to keep the process below the memory that its machine grants it.
func limitMemory(memoryMB int64) {
	debug.SetGCPercent(gcPercent)
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(memoryMB) * bytesPerMB))
	}
}
