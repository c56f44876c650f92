// Command ibistand runs stand-ins of the platform and of executors to test ibischute against, and measures systems that
// run on them.
//
// # Usage
//
//	ibistand platform --listen 127.0.0.1:7001
//	ibistand executor --listen 127.0.0.1:7201 --name cat-ex-1 --domain catania --service invoicing --platform http://127.0.0.1:7001
//	ibistand demo
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"github.com/ibischute/ibischute/internal/modules/httpj"
	"github.com/ibischute/ibischute/internal/modules/roster"
	"github.com/ibischute/ibischute/internal/stand/execu"
	"github.com/ibischute/ibischute/internal/stand/plat"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
)

const (
	exitFailed        = 1
	exitUsage         = 2
	readHeaderTimeout = 5 * time.Second
	registerTimeout   = 5 * time.Second
)

func main() {
	parser := flags.NewNamedParser("ibistand", flags.HelpFlag|flags.PassDoubleDash)
	addCommand := func(name, short string, data any) {
		if _, err := parser.AddCommand(name, short, short, data); err != nil {
			panic(err)
		}
	}
	addCommand("platform", "run the platform stand-in", &platformCommand{})
	addCommand("executor", "run an executor stand-in", &executorCommand{})
	addCommand("control", "measure the control overhead of an idle system", &controlCommand{})
	addCommand("spread", "measure how fast configuration comes into force", &spreadCommand{})
	addCommand("takeover", "measure how long executors have no acting owner after their owner stopped", &takeoverCommand{})
	addCommand("load", "measure the request path against baselines", &loadCommand{})
	addCommand("demo", "run a whole system on loopback and show what it does", &demoCommand{})
	_, err := parser.Parse()
	var fe *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		fmt.Println(fe.Message)
	case errors.As(err, &fe):
		fmt.Fprintln(os.Stderr, "ibistand:", fe.Message)
		os.Exit(exitUsage)
	default:
		fmt.Fprintln(os.Stderr, "ibistand:", err)
		os.Exit(exitFailed)
	}
}

func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// serve listens on the address and serves until the context is cancelled.
func serve(ctx context.Context, s *http.Server, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fault.Wrap(err, fault.CodeSetting, fault.NotRun, "flag --listen")
	}
	s.ReadHeaderTimeout = readHeaderTimeout
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	select {
	case <-ctx.Done():
		return s.Close()
	case err := <-ended:
		return err
	}
}

type platformCommand struct {
	Listen        string        `long:"listen" description:"ip:port" required:"true"`
	ListLag       time.Duration `long:"list-lag" description:"lag of the instance list" default:"2s"`
	RetainRecords int           `long:"retain-records" description:"records that a stream keeps" default:"100000"`
}

// Execute implements flags.Commander. It runs the platform stand-in until interrupted.
func (c *platformCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	p := plat.New(plat.Options{ListLag: c.ListLag, RetainRecords: c.RetainRecords})
	go p.Run(ctx)
	return serve(ctx, &http.Server{Handler: p.Handler()}, c.Listen)
}

type executorCommand struct {
	Listen      string        `long:"listen" description:"ip:port" required:"true"`
	Name        string        `long:"name" description:"name of the executor" required:"true"`
	Domain      string        `long:"domain" description:"failure domain" required:"true"`
	Service     string        `long:"service" description:"service that it runs" required:"true"`
	Platform    string        `long:"platform" description:"base URL of the platform stand-in, to be listed there"`
	Slots       int           `long:"slots" default:"8" description:"slots"`
	Connections int           `long:"connections" default:"64" description:"connections"`
	ServiceTime time.Duration `long:"service-time" default:"5ms" description:"service time of a request"`
	NoAbort     bool          `long:"no-abort" description:"run work to its end after its connection closed"`
}

// Execute implements flags.Commander. It runs an executor stand-in until interrupted.
func (c *executorCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	x := execu.New(execu.Options{
		Name: c.Name, Slots: c.Slots, Connections: c.Connections, ServiceTime: c.ServiceTime, NoAbort: c.NoAbort,
	})
	if c.Platform != "" {
		if err := c.register(ctx); err != nil {
			return err
		}
	}
	return serve(ctx, &http.Server{Handler: x.Handler(), ConnState: x.ConnState}, c.Listen)
}

func (c *executorCommand) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	return httpj.Call(ctx, http.DefaultClient, http.MethodPost, c.Platform+"/stand/v1/instances", plat.RegisterRequest{
		Entry: roster.Entry{
			Kind: roster.KindExecutor, Name: c.Name, Domain: ident.Domain(c.Domain), Address: c.Listen,
			Service: ident.Service(c.Service), Slots: c.Slots,
		},
	}, nil)
}
