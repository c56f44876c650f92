package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/ibischute/ibischute/internal/modules/logkv"
	"github.com/ibischute/ibischute/internal/modules/params"
	"github.com/ibischute/ibischute/internal/web/entry"
	"github.com/ibischute/ibischute/pkg/ident"
)

type serveCommand struct {
	params.Settings
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	if err := c.Check(); err != nil {
		return err
	}
	logger, err := logkv.New(os.Stderr, c.LogLevel, ident.Instance(c.Name))
	if err != nil {
		return err
	}
	e, err := entry.New(c.Settings, logger)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return e.Run(ctx)
}
