// Package hopio implements the protocol for forwarding requests between entry instances.
//
// The request keeps its method, path, headers and body; routing metadata is sent as JSON in one header. Another header
// distinguishes a rejection by the receiver from a response of the executor.
//
// # Usage
//
//	answer, err := client.Forward(ctx, address, hopio.KindDispatch, meta, request)
package hopio

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ibischute/ibischute/internal/modules/execio"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
)

// Kind is the operation requested from the receiver.
type Kind string

// The kinds of forwarded requests.
const (
	// KindDispatch requests that the owner of the executors runs the request.
	KindDispatch Kind = "dispatch"
	// KindKeyed requests that the owner of the idempotency key processes the request to completion.
	KindKeyed Kind = "keyed"
)

// The headers, the path prefix and the limits of the forwarding protocol.
const (
	HeaderMeta    = "Ibischute-Hop"
	headerRefusal = "Ibischute-Refusal"
	// PathPrefix precedes the kind in the path.
	PathPrefix = "/peer/v1/"
	// maxDetailBytes limits the error detail that is read from a rejection.
	maxDetailBytes = 1 << 10
)

// Meta is the metadata of a forwarded request.
type Meta struct {
	ID       ident.Request `json:"id"`
	Service  ident.Service `json:"service"`
	Class    ident.Class   `json:"class"`
	Tenant   ident.Tenant  `json:"tenant"`
	Priority int           `json:"priority"`
	Share    float64       `json:"share"`
	MaxQueue int           `json:"max-queue"`
	// DeadlineMS is the time remaining until the request's deadline.
	DeadlineMS int64 `json:"deadline-ms"`
	// NotAfterMS is the end of the sender's lease in milliseconds since 1970; a receiver rejects the request after that
	// time. 0 means no limit.
	NotAfterMS int64 `json:"not-after-ms,omitempty"`
	// Queue allows the request to wait for a free slot; without it, a busy owner rejects the request immediately.
	Queue      bool `json:"queue,omitempty"`
	Idempotent bool `json:"idempotent,omitempty"`
	// Key is the idempotency key; it is set for KindKeyed.
	Key string `json:"key,omitempty"`
	// Path is the path relative to the service.
	Path string `json:"path"`
	// Hops is the number of instances that have forwarded the request.
	Hops int `json:"hops,omitempty"`
	// Fingerprint identifies the request's content, to detect different requests that reuse one idempotency key.
	Fingerprint  string  `json:"fingerprint,omitempty"`
	RetryPercent float64 `json:"retry-percent,omitempty"`
}

// Client forwards requests to other instances.
type Client interface {
	Forward(ctx context.Context, address string, kind Kind, m Meta, r execio.Request) (*execio.Answer, error)
}

type httpClient struct{ exec execio.Client }

// NewHTTP returns a Client that sends through an executor client, which never resends a request.
func NewHTTP(c execio.Client) Client { return &httpClient{exec: c} }

func (c *httpClient) Forward(
	ctx context.Context, address string, kind Kind, m Meta, r execio.Request,
) (*execio.Answer, error) {
	meta, err := json.Marshal(m)
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeInternal, fault.NotRun, "encode hop")
	}
	r.Header = r.Header.Clone()
	r.Header.Set(HeaderMeta, string(meta))
	r.Path = PathPrefix + string(kind)
	answer, err := c.exec.Send(ctx, address, r)
	if fault.IsErrCode(err, fault.CodeBackend) {
		return nil, fault.Wrap(err, fault.CodeUnknownOutcome, fault.Unknown, "the owner gave no answer")
	}
	if err != nil {
		return nil, err
	}
	refusal := answer.Header.Get(headerRefusal)
	if refusal == "" {
		return answer, nil
	}
	defer answer.Body.Close()
	detail, _ := io.ReadAll(io.LimitReader(answer.Body, maxDetailBytes))
	return nil, parseRefusal(refusal, string(detail))
}

// Decode parses the Meta of a received request.
func Decode(r *http.Request) (Meta, error) {
	var m Meta
	if err := json.Unmarshal([]byte(r.Header.Get(HeaderMeta)), &m); err != nil {
		return m, fault.Wrap(err, fault.CodeBadRequest, fault.NotRun, "hop header")
	}
	return m, nil
}

// Reject rejects a received request with an error.
func Reject(w http.ResponseWriter, err error) {
	f := fault.From(err)
	w.Header().Set(headerRefusal, string(f.Code)+";"+string(f.Ran)+";"+strconv.FormatInt(f.RetryAfter.Milliseconds(), 10))
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, f.Detail)
}

const refusalFieldCount = 3

func parseRefusal(s, detail string) error {
	parts := strings.Split(s, ";")
	if len(parts) != refusalFieldCount {
		return fault.New(fault.CodeInternal, fault.Unknown, "refusal not understood: "+s)
	}
	ms, _ := strconv.ParseInt(parts[2], 10, 64)
	f := fault.New(fault.Code(parts[0]), fault.Ran(parts[1]), detail)
	return f.WithRetry(time.Duration(ms) * time.Millisecond)
}
