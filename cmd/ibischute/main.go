// Command ibischute runs an entry instance of the scheduler and is the operators' command line.
//
// # Usage
//
//	ibischute serve --name cat-1 --domain catania ...
//	ibischute bundle check bundle.yaml
//	ibischute status --operator 127.0.0.1:7103
//
// Exit codes: 0 done, 1 failed, 2 wrong use, 3 refused by the system, 4 the system could not be reached.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"github.com/ibischute/ibischute/internal/modules/httpj"
	"github.com/ibischute/ibischute/pkg/fault"
)

// The exit codes of the command.
const (
	exitDone        = 0
	exitFailed      = 1
	exitUsage       = 2
	exitRefused     = 3
	exitUnreachable = 4
)

// stdout is where subcommands print.
var stdout io.Writer = os.Stdout

type command struct {
	name, short, long string
	data              any
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	parser := flags.NewNamedParser("ibischute", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range commands() {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			fmt.Fprintln(os.Stderr, "ibischute:", err)
			return exitFailed
		}
	}
	_, err := parser.ParseArgs(args)
	return report(err)
}

func commands() []command {
	return []command{
		{"serve", "run an entry instance", "Runs an entry instance until SIGTERM or SIGINT, then stops gracefully.", &serveCommand{}},
		{"node", "run an entry instance on the platform", "Runs an entry instance with the settings of the platform until SIGTERM.", &nodeCommand{}},
		{"bundle", "check, sign off and roll out configuration", "Manages configuration bundles.", &bundleCommand{}},
		{"job", "submit and watch batch jobs", "Manages batch jobs.", &jobCommand{}},
		{"status", "show an instance's state", "Shows members, peers, executors and versions.", &statusCommand{}},
		{"drain", "stop an instance gracefully", "Asks an instance to stop gracefully.", &drainCommand{}},
		{"domain", "evacuate and restore failure domains", "Manages the failure domains of the platform.", &domainCommand{}},
		{"member", "manage the members of a domain", "Manages the members of a failure domain.", &memberCommand{}},
	}
}

// report prints the error and returns the exit code for it.
func report(err error) int {
	if err == nil {
		return exitDone
	}
	var fe *flags.Error
	if errors.As(err, &fe) {
		if fe.Type == flags.ErrHelp {
			fmt.Fprintln(stdout, fe.Message)
			return exitDone
		}
		fmt.Fprintln(os.Stderr, "ibischute:", fe.Message)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "ibischute:", err)
	switch {
	case fault.IsErrCode(err, fault.CodeSetting):
		return exitUsage
	case httpj.Status(err) != 0:
		return exitRefused
	case fault.IsErrCode(err, fault.CodeNotSent), fault.IsErrCode(err, fault.CodeUnknownOutcome):
		return exitUnreachable
	}
	return exitFailed
}
