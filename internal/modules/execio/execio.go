// Package execio is the interface to the executors of backend servers.
//
// # Usage
//
//	answer, err := exec.Send(ctx, address, request)
//	err = exec.Abort(ctx, address, requestID) // returns once the work has ended
//	load, err := exec.Load(ctx, address)
package execio

import (
	"context"
	"io"
	"net/http"

	"github.com/ibischute/ibischute/pkg/ident"
)

// Request is the work to send to an executor.
type Request struct {
	ID     ident.Request
	Method string
	// Path is the path and query below the service.
	Path   string
	Header http.Header
	Body   io.Reader
	// Length is the length of the body in bytes, -1 if unknown.
	Length int64
	// Gate is asked right before the first byte is written; false keeps the request from being sent.
	Gate func() bool
}

// Answer is an executor's answer. The body reports a cut answer as an error.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Load is what an executor says about itself.
type Load struct {
	Slots   int  `json:"slots"`
	Running int  `json:"running"`
	Leaving bool `json:"leaving"`
}

// Client speaks to executors.
type Client interface {
	// Send runs the request. A failure with Ran NotRun proves that nothing was sent.
	Send(ctx context.Context, address string, r Request) (*Answer, error)
	// Abort stops the request. Success is evidence that it no longer uses a slot.
	Abort(ctx context.Context, address string, id ident.Request) error
	// Load reads the executor's state.
	Load(ctx context.Context, address string) (Load, error)
}
