package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/ibischute/ibischute/internal/modules/logkv"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/platform/boot"
	"github.com/ibischute/ibischute/platform/unit"
)

type nodeCommand struct {
	Settings string `long:"settings" env:"IBISCHUTE_BOOT" required:"true" description:"the settings file that the platform writes"`
	LogLevel string `long:"log-level" env:"IBISCHUTE_LOG_LEVEL" default:"info" description:"debug, info, warn or error"`
}

// Execute implements flags.Commander.
func (c *nodeCommand) Execute([]string) error {
	s, err := boot.Load(c.Settings)
	if err != nil {
		return err
	}
	logger, err := logkv.New(os.Stdout, c.LogLevel, ident.Instance(s.Instance))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// The settings that may change while a process runs concern nothing that it holds; the next start reads them.
	signal.Ignore(syscall.SIGHUP)
	return unit.New(s, logger).Run(ctx)
}
