package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/ibischute/ibischute/internal/modules/httpj"
	"github.com/ibischute/ibischute/internal/modules/params"
	"github.com/ibischute/ibischute/pkg/fault"
)

const callTimeout = 10 * time.Second

// clientOptions are the flags of the subcommands that call an instance.
type clientOptions struct {
	Operator  string `long:"operator" env:"IBISCHUTE_OPERATOR" description:"ip:port of an instance's operator port" default:"127.0.0.1:7103"`
	TokenFile string `long:"operator-token-file" env:"IBISCHUTE_OPERATOR_TOKEN_FILE" description:"file with the operators' token"`
	JSON      bool   `long:"json" description:"print JSON"`
}

type bearerTransport struct {
	token string
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (b bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if b.token != "" {
		r.Header.Set("Authorization", "Bearer "+b.token)
	}
	return b.next.RoundTrip(r)
}

func (o *clientOptions) client() (*http.Client, error) {
	c := httpj.NewClient(httpj.Dialer(""), 1)
	if o.TokenFile == "" {
		return c, nil
	}
	token, err := params.ReadSecret("operator-token-file", o.TokenFile)
	if err != nil {
		return nil, err
	}
	c.Transport = bearerTransport{token: token, next: c.Transport}
	return c, nil
}

// call sends a request with the body in to the operators' API and decodes the answer into out.
func (o *clientOptions) call(method, path string, in, out any) error {
	c, err := o.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return httpj.Call(ctx, c, method, "http://"+o.Operator+path, in, out)
}

// print prints v as JSON if --json is set, else calls printText.
func (o *clientOptions) print(v any, printText func()) error {
	if !o.JSON {
		printText()
		return nil
	}
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, fault.NotRun, "encode output")
	}
	fmt.Fprintln(stdout, string(data))
	return nil
}
