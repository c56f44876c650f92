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
	"github.com/ibischute/ibischute/platform/unit"
)

type nodeCommand struct {
	Settings    string `long:"settings" description:"the settings file that the platform writes; its variable names it otherwise"`
	MetricsPort int    `long:"metrics-port" env:"IBISCHUTE_METRICS_PORT" default:"9464" description:"the port for metrics, 0 for none"`
	LogLevel    string `long:"log-level" env:"IBISCHUTE_LOG_LEVEL" default:"info" description:"debug, info, warn or error"`
}

// Execute implements flags.Commander.
func (c *nodeCommand) Execute([]string) (err error) {
	if c.Settings == "" {
		c.Settings = os.Getenv(boot.Variable)
	}
	s, err := boot.Load(c.Settings)
	if err != nil {
		return err
	}
	m := meter.New()
	dropped := func(n int) { m.Count("log_lines_dropped", nil, int64(n)) }
	logger, buffer, err := logkv.NewBounded(os.Stdout, c.LogLevel, ident.Instance(s.Instance), dropped)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, buffer.Close(), m.Close()) }()
	limitMemory(s.Limits.MemoryMB)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	go c.reload(ctx, hangups, s, logger)
	return unit.New(s, c.MetricsPort, m, logger).Run(ctx)
}

// reload reads the settings at each SIGHUP and tells whether they have changed. They concern what a process binds at its
// start, so the next start applies them.
func (c *nodeCommand) reload(ctx context.Context, hangups <-chan os.Signal, had boot.Settings, logger zerolog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		got, err := boot.Load(c.Settings)
		if err != nil {
			logger.Error().Err(err).Msg("settings-unread")
			continue
		}
		logger.Info().Bool("changed", !reflect.DeepEqual(had, got)).Msg("settings-read")
	}
}

const (
	// gcPercent trades memory, of which little is used, for processor time.
	gcPercent = 300
	// memoryShare is the share of the memory at which the collector works harder.
	memoryShare = 0.6
	bytesPerMB  = 1 << 20
)

// limitMemory keeps the process below the memory that its machine gives it.
func limitMemory(memoryMB int64) {
	debug.SetGCPercent(gcPercent)
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(memoryMB) * bytesPerMB))
	}
}
