package logio

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"github.com/ibischute/ibischute/internal/modules/httpj"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
)

// MaxReadRecords is the maximum number of records that one read returns.
const MaxReadRecords = 512

// AppendRequest is the request body of an append.
type AppendRequest struct {
	Records []Record `json:"records"`
}

// AppendResponse is the response to an append.
type AppendResponse struct {
	First ident.Offset `json:"first"`
}

type httpLog struct {
	base   string
	client *http.Client
}

// NewHTTP returns a Log that calls the platform's log at the base address by HTTP with JSON bodies.
func NewHTTP(base string, client *http.Client) Log {
	return &httpLog{base: base, client: client}
}

func (l *httpLog) recordsURL(s ident.Stream) string {
	return l.base + "/v1/streams/" + url.PathEscape(string(s)) + "/records"
}

func (l *httpLog) Append(ctx context.Context, s ident.Stream, records []Record) (ident.Offset, error) {
	var out AppendResponse
	err := httpj.Call(ctx, l.client, http.MethodPost, l.recordsURL(s), AppendRequest{Records: records}, &out)
	return out.First, platformError(err, "append to "+string(s))
}

func (l *httpLog) Read(ctx context.Context, s ident.Stream, from ident.Offset, wait time.Duration) (Batch, error) {
	var out Batch
	target := fmt.Sprintf("%s?from=%d&max=%d&wait-ms=%d", l.recordsURL(s), from, MaxReadRecords, wait.Milliseconds())
	err := httpj.Call(ctx, l.client, http.MethodGet, target, nil, &out)
	if httpj.Status(err) == http.StatusGone {
		out = streamBounds(err)
	}
	return out, platformError(err, "read of "+string(s))
}

// streamBounds returns the bounds of the stream from the response to a read of a trimmed offset.
func streamBounds(err error) Batch {
	var b Batch
	var se *httpj.StatusError
	if errors.As(err, &se) {
		_ = json.Unmarshal([]byte(se.Body), &b)
	}
	return b
}

// platformError maps the status codes of the platform's log to fault codes.
func platformError(err error, operation string) error {
	if err == nil {
		return nil
	}
	switch httpj.Status(err) {
	case http.StatusGone:
		return fault.Wrap(err, fault.CodeTrimmed, fault.NotRun, operation)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return fault.Wrap(err, fault.CodeUnavailable, fault.NotRun, operation)
	}
	if fault.IsErrNotRun(err) {
		return fault.Wrap(err, fault.CodeUnavailable, fault.NotRun, operation)
	}
	return fault.Wrap(err, fault.CodeUnknownOutcome, fault.Unknown, operation)
}
