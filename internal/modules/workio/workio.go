// Package workio defines the interface to the platform's workers, which run tasks under leases.
//
// # Usage
//
//	err := workers.Start(ctx, "cat-w-1", workio.Task{ID: "statements.0", Attempt: 1, ...})
//	tasks, err := workers.Sync(ctx, "cat-w-1", leases)
package workio

import (
	"context"
	"net/http"
	"net/url"

	"github.com/ibischute/ibischute/internal/modules/httpj"
	"github.com/ibischute/ibischute/pkg/demand"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
)

// TaskID is the platform-wide identifier of a task.
type TaskID string

// State is the state of a task on a worker.
type State string

// The states of a task.
const (
	StateRunning      State = "running"
	StateFinished     State = "finished"
	StateFailed       State = "failed"
	StateStopped      State = "stopped"
	StateLeaseExpired State = "lapsed"
)

// Task is an attempt of a task on a worker.
type Task struct {
	ID      TaskID `json:"id"`
	Attempt uint64 `json:"attempt"`
	LeaseMS int64  `json:"lease-ms"`
	// RunMS is the declared run time. The platform stand-in uses it as the actual run time.
	RunMS int64         `json:"run-ms"`
	Size  demand.Vector `json:"size"`
	// Command is the command that the task runs.
	Command string `json:"command,omitempty"`
	// Checkpoint is the reference of the checkpoint to resume from.
	Checkpoint string `json:"checkpoint,omitempty"`
	State      State  `json:"state,omitempty"`
}

// Client calls workers.
type Client interface {
	// Start starts an attempt of a task under a lease.
	Start(ctx context.Context, w ident.Worker, t Task) error
	// Sync extends the leases of the given attempts and returns all attempts that the worker has recorded, including
	// ended ones.
	Sync(ctx context.Context, w ident.Worker, renew []Lease) ([]Task, error)
	// Stop ends an attempt. A nil error guarantees that it no longer runs.
	Stop(ctx context.Context, w ident.Worker, t Task) error
	// Checkpoint saves the progress of an attempt and returns the reference of the checkpoint.
	Checkpoint(ctx context.Context, w ident.Worker, t Task) (string, error)
}

// Lease is the request to extend the lease of one attempt.
type Lease struct {
	ID      TaskID `json:"id"`
	Attempt uint64 `json:"attempt"`
	LeaseMS int64  `json:"lease-ms"`
}

// SyncRequest is the request body of a sync.
type SyncRequest struct {
	Renew []Lease `json:"renew"`
}

// CheckpointResponse is the response to a checkpoint request.
type CheckpointResponse struct {
	Reference string `json:"reference"`
}

type httpClient struct {
	base   string
	client *http.Client
}

// NewHTTP returns a Client that calls the platform at the base address.
func NewHTTP(base string, client *http.Client) Client { return &httpClient{base: base, client: client} }

func (c *httpClient) post(ctx context.Context, w ident.Worker, verb string, t Task, out any) error {
	target := c.base + "/v1/workers/" + url.PathEscape(string(w)) + "/" + verb
	return workerError(httpj.Call(ctx, c.client, http.MethodPost, target, t, out), verb)
}

func (c *httpClient) Start(ctx context.Context, w ident.Worker, t Task) error {
	return c.post(ctx, w, "start", t, nil)
}

func (c *httpClient) Stop(ctx context.Context, w ident.Worker, t Task) error {
	return c.post(ctx, w, "stop", t, nil)
}

func (c *httpClient) Checkpoint(ctx context.Context, w ident.Worker, t Task) (string, error) {
	var out CheckpointResponse
	err := c.post(ctx, w, "checkpoint", t, &out)
	return out.Reference, err
}

func (c *httpClient) Sync(ctx context.Context, w ident.Worker, renew []Lease) ([]Task, error) {
	var out []Task
	target := c.base + "/v1/workers/" + url.PathEscape(string(w)) + "/sync"
	err := httpj.Call(ctx, c.client, http.MethodPost, target, SyncRequest{Renew: renew}, &out)
	return out, workerError(err, "sync")
}

// workerError maps a worker's response to a fault. An error status guarantees that nothing was done.
func workerError(err error, verb string) error {
	switch {
	case err == nil:
		return nil
	case httpj.Status(err) == http.StatusServiceUnavailable:
		return fault.Wrap(err, fault.CodeUnavailable, fault.NotRun, verb)
	case httpj.Status(err) != 0:
		return fault.Wrap(err, fault.CodeConflict, fault.NotRun, verb)
	case fault.IsErrNotRun(err):
		return err
	}
	return fault.Wrap(err, fault.CodeUnknownOutcome, fault.Unknown, verb)
}
