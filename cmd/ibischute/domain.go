package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/platform/boot"
	"github.com/ibischute/ibischute/platform/store"
	"github.com/ibischute/ibischute/platform/zones"
)

type domainCommand struct {
	Evacuate domainEvacuateCommand `command:"evacuate" description:"start nothing in a failure domain and move its work"`
	Restore  domainRestoreCommand  `command:"restore" description:"use a failure domain again"`
	Status   domainStatusCommand   `command:"status" description:"show the failure domains"`
}

// storeOptions are the flags of the subcommands that call the platform's store.
type storeOptions struct {
	Store    string        `long:"store" env:"IBISCHUTE_STORE" description:"ip:port of the platform's store"`
	Settings string        `long:"settings" description:"settings file of the platform that has the address of the store; its variable names it otherwise"`
	Timeout  time.Duration `long:"timeout" description:"longest time for the call" default:"10s"`
	JSON     bool          `long:"json" description:"print JSON"`
}

// zones returns the failure domains in the store.
func (o *storeOptions) zones() (*zones.Zones, error) {
	address := o.Store
	if address == "" {
		path := o.Settings
		if path == "" {
			path = os.Getenv(boot.SettingsFileEnv)
		}
		if path == "" {
			return nil, fault.New(fault.CodeSetting, fault.NotRun, "neither --store nor --settings is set")
		}
		s, err := boot.Load(path)
		if err != nil {
			return nil, err
		}
		address = s.Store.Address
	}
	return zones.New(store.New(address, func(string, string, time.Duration) {})), nil
}

// do calls f and prints the state of the domains afterwards.
func (o *storeOptions) do(f func(ctx context.Context, z *zones.Zones) error) error {
	z, err := o.zones()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout)
	defer cancel()
	if err := f(ctx, z); err != nil {
		return err
	}
	list, err := z.List(ctx)
	if err != nil {
		return err
	}
	c := clientOptions{JSON: o.JSON}
	return c.print(list, func() { printDomains(list) })
}

func printDomains(list []zones.Domain) {
	w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "DOMAIN\tEVACUATED\tEXECUTORS\tDRAINING\tCOLD")
	for _, d := range list {
		fmt.Fprintf(w, "%s\t%t\t%d\t%d\t%d\n", d.Name, d.Evacuated, d.Executors, d.Draining, d.Cold)
	}
}

type domainArgs struct {
	Domain string `positional-arg-name:"domain"`
}

type domainEvacuateCommand struct {
	storeOptions
	Force bool       `long:"force" description:"also if no executor is listed in the domain"`
	Args  domainArgs `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *domainEvacuateCommand) Execute([]string) error {
	return c.do(func(ctx context.Context, z *zones.Zones) error { return z.Evacuate(ctx, c.Args.Domain, c.Force) })
}

type domainRestoreCommand struct {
	storeOptions
	Args domainArgs `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *domainRestoreCommand) Execute([]string) error {
	return c.do(func(ctx context.Context, z *zones.Zones) error { return z.Restore(ctx, c.Args.Domain) })
}

type domainStatusCommand struct {
	storeOptions
}

// Execute implements flags.Commander.
func (c *domainStatusCommand) Execute([]string) error {
	return c.do(func(context.Context, *zones.Zones) error { return nil })
}
