package main

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"net/http"
	"os"
	"text/tabwriter"

	"github.com/ibischute/ibischute/internal/modules/params"
	"github.com/ibischute/ibischute/internal/web/opersv"
	"github.com/ibischute/ibischute/pkg/bundle"
	"github.com/ibischute/ibischute/pkg/fault"
)

const keyFileMode = 0o600

type bundleCommand struct {
	Keygen  keygenCommand       `command:"keygen" description:"make an operator's key pair"`
	Check   checkCommand        `command:"check" description:"report every problem of a bundle"`
	Diff    diffCommand         `command:"diff" description:"say what a bundle changes"`
	Propose proposeCommand      `command:"propose" description:"publish a bundle for sign-off"`
	Sign    signCommand         `command:"sign" description:"sign a proposed bundle off"`
	Status  bundleStatusCommand `command:"status" description:"show proposals and accepted versions"`
}

type keygenCommand struct {
	Out string `long:"out" description:"file for the private key" required:"true"`
}

// Execute implements flags.Commander.
func (c *keygenCommand) Execute([]string) error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, fault.NotRun, "generate key pair")
	}
	f, err := os.OpenFile(c.Out, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return fault.Wrap(err, fault.CodeSetting, fault.NotRun, "flag --out")
	}
	defer f.Close()
	if _, err := fmt.Fprintln(f, base64.StdEncoding.EncodeToString(private.Seed())); err != nil {
		return fault.Wrap(err, fault.CodeInternal, fault.NotRun, "write private key")
	}
	fmt.Fprintln(stdout, base64.StdEncoding.EncodeToString(public))
	return nil
}

type fileArgs struct {
	File string `positional-arg-name:"bundle.yaml"`
}

type checkCommand struct {
	Args fileArgs `positional-args:"yes" required:"yes"`
}

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeSetting, fault.NotRun, "read bundle file")
	}
	return data, nil
}

// loadBundle reads and validates a bundle and prints its problems.
func loadBundle(path string) (*bundle.Bundle, []byte, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, nil, err
	}
	b, problems := bundle.Parse(data)
	for _, p := range problems {
		fmt.Fprintf(stdout, "%s:%d: %s: %s\n", path, p.Line, p.Field, p.Detail)
	}
	if len(problems) > 0 {
		return nil, nil, fault.New(fault.CodeBadRequest, fault.NotRun, fmt.Sprintf("%d problems", len(problems)))
	}
	return b, data, nil
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	b, data, err := loadBundle(c.Args.File)
	if err != nil {
		return err
	}
	fmt.Fprintf(stdout, "version %d, id %s\n", b.Version, bundle.ID(data))
	return nil
}

type diffCommand struct {
	Args struct {
		From string `positional-arg-name:"from.yaml"`
		To   string `positional-arg-name:"to.yaml"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	from, _, err := loadBundle(c.Args.From)
	if err != nil {
		return err
	}
	to, _, err := loadBundle(c.Args.To)
	if err != nil {
		return err
	}
	for _, line := range bundle.Diff(from, to) {
		fmt.Fprintln(stdout, line)
	}
	return nil
}

type proposeCommand struct {
	clientOptions
	Args fileArgs `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *proposeCommand) Execute([]string) error {
	_, data, err := loadBundle(c.Args.File)
	if err != nil {
		return err
	}
	var out opersv.ProposeResponse
	if err := c.call(http.MethodPost, "/v1/bundles", opersv.ProposeRequest{Bundle: data}, &out); err != nil {
		return err
	}
	return c.print(out, func() { fmt.Fprintln(stdout, out.ID) })
}

type signCommand struct {
	clientOptions
	Name string   `long:"name" description:"the operator's name in the version in force" required:"true"`
	Key  string   `long:"key-file" description:"file with the operator's private key" required:"true"`
	Args fileArgs `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander. It signs the local file that the operator reviewed, not a copy from an instance.
func (c *signCommand) Execute([]string) error {
	_, data, err := loadBundle(c.Args.File)
	if err != nil {
		return err
	}
	encoded, err := params.ReadSecret("key-file", c.Key)
	if err != nil {
		return err
	}
	seed, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil || len(seed) != ed25519.SeedSize {
		return fault.New(fault.CodeSetting, fault.NotRun, "flag --key-file: not a base64 ed25519 private key")
	}
	id := bundle.ID(data)
	req := opersv.SignOffRequest{Operator: c.Name, Signature: bundle.Sign(ed25519.NewKeyFromSeed(seed), id)}
	return c.call(http.MethodPost, "/v1/bundles/"+id+"/sign-offs", req, nil)
}

type bundleStatusCommand struct {
	clientOptions
}

// Execute implements flags.Commander.
func (c *bundleStatusCommand) Execute([]string) error {
	var list []opersv.Proposal
	if err := c.call(http.MethodGet, "/v1/bundles", nil, &list); err != nil {
		return err
	}
	return c.print(list, func() {
		w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
		defer w.Flush()
		fmt.Fprintln(w, "VERSION\tPARENT\tSTATE\tSIGNED BY\tID\tREASON")
		for _, p := range list {
			fmt.Fprintf(w, "%d\t%d\t%s\t%v\t%.12s\t%s\n", p.Version, p.Parent, p.State, p.SignedBy, p.ID, p.Reason)
		}
	})
}
