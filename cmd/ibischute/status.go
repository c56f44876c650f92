package main

import (
	"fmt"
	"net/http"
	"net/url"
	"text/tabwriter"

	"github.com/ibischute/ibischute/internal/web/opersv"
)

type statusCommand struct {
	clientOptions
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	var s opersv.Status
	if err := c.call(http.MethodGet, "/v1/status", nil, &s); err != nil {
		return err
	}
	return c.print(s, func() { printStatus(s) })
}

func printStatus(s opersv.Status) {
	w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintf(w, "instance\t%s\tdomain %s\tready %t\tversion %d\tepoch %d\tlease left %d ms\tplacer %t\n",
		s.Name, s.Domain, s.Ready, s.Version, s.Epoch, s.LeaseLeftMS, s.IsPlacer)
	for _, m := range s.Members {
		fmt.Fprintf(w, "member\t%s\tat %s\tvoting %t\n", m.Name, m.Address, m.Voting)
	}
	for _, p := range s.Peers {
		fmt.Fprintf(w, "peer\t%s\tdomain %s\tat %s\tversion %d\tsilent %d ms\tdraining %t\n",
			p.Name, p.Domain, p.Address, p.Version, p.SinceHeartbeatMS, p.Draining)
	}
	for _, e := range s.Executors {
		fmt.Fprintf(w, "executor\t%s\tacting %t\tslots %d\tused %d\tdraining %d\tforeign %d\tleaving %t\n",
			e.Name, e.Acting, e.Slots, e.Used, e.Draining, e.Foreign, e.Leaving)
	}
}

type drainCommand struct {
	clientOptions
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	return c.call(http.MethodPost, "/v1/drain", nil, nil)
}

type memberCommand struct {
	Remove memberRemoveCommand `command:"remove" description:"assert that a member is dead, so that others take over its keys"`
}

type memberRemoveCommand struct {
	clientOptions
	Reason string `long:"reason" description:"why, for the log" required:"true"`
	IsDead bool   `long:"i-know-it-is-dead" description:"confirm that the instance cannot run any more" required:"true"`
	Args   struct {
		Name string `positional-arg-name:"member"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *memberRemoveCommand) Execute([]string) error {
	fmt.Fprintln(stdout, "warning: if the instance still runs, its work may be run twice")
	path := "/v1/members/" + url.PathEscape(c.Args.Name) + "/remove"
	return c.call(http.MethodPost, path, opersv.RemoveRequest{Reason: c.Reason}, nil)
}
