// Package execio defines the client interface to the executors of backend servers.
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

// Request is a request to be run by an executor.
type Request struct {
	ID     ident.Request
	Method string
	// Path is the path and query relative to the service.
	Path   string
	Header http.Header
	Body   io.Reader
	// Length is the length of the body in bytes, -1 if unknown.
	Length int64
	// IsSendAllowed is called immediately before the first byte is written; if it returns false, the request is not sent.
	// Nil means always allowed. It is the complete check of this connection: package sched combines its ownership check
	// for the executor with the MaySend of its caller, and package route passes MaySend alone to another instance.
	IsSendAllowed func() bool
}

// Answer is an executor's response. Reading a truncated body returns an error.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Load is the load that an executor reports.
type Load struct {
	Slots   int  `json:"slots"`
	Running int  `json:"running"`
	Leaving bool `json:"leaving"`
}

// Client sends requests and control calls to executors.
type Client interface {
	// Send runs the request. An error with Ran NotRun guarantees that nothing was sent.
	Send(ctx context.Context, address string, r Request) (*Answer, error)
	// Abort stops the request. A nil error guarantees that the request no longer occupies a slot.
	Abort(ctx context.Context, address string, id ident.Request) error
	// Load returns the executor's current load.
	Load(ctx context.Context, address string) (Load, error)
}
