// Package hopio is the protocol by which one entry instance hands a request to another.
//
// The request keeps its method, path, headers and body; what the receiver needs to know stands in one header as JSON.
// An answer of the executor and a refusal of the receiver are told apart by a header.
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

// Kind tells what the receiver is to do.
type Kind string

// The kinds of hops.
const (
	// KindDispatch asks the owner of executors to run the request.
	KindDispatch Kind = "dispatch"
	// KindKeyed asks the owner of the idempotency key to see the request through.
	KindKeyed Kind = "keyed"
)

// The headers and the path prefix of the protocol.
const (
	HeaderMeta    = "Ibischute-Hop"
	headerRefusal = "Ibischute-Refusal"
	// PathPrefix is followed by the kind.
	PathPrefix = "/peer/v1/"
	maxDetail  = 1 << 10
)

// Meta is what the receiver needs to know.
type Meta struct {
	ID       ident.Request `json:"id"`
	Service  ident.Service `json:"service"`
	Class    ident.Class   `json:"class"`
	Tenant   ident.Tenant  `json:"tenant"`
	Priority int           `json:"priority"`
	Share    float64       `json:"share"`
	MaxQueue int           `json:"max-queue"`
	// DeadlineMS is the time left for the request.
	DeadlineMS int64 `json:"deadline-ms"`
	// NotAfterMS is the calendar time after which the sender had no right to send any more; 0 is none.
	NotAfterMS int64 `json:"not-after-ms,omitempty"`
	Queue      bool  `json:"queue,omitempty"`
	Idempotent bool  `json:"idempotent,omitempty"`
	// Key is the idempotency key of a keyed request.
	Key string `json:"key,omitempty"`
	// Path is the path below the service.
	Path string `json:"path"`
	// Hops counts the instances the request has passed.
	Hops int `json:"hops,omitempty"`
	// Fingerprint tells apart requests that wrongly share an idempotency key.
	Fingerprint  string  `json:"fingerprint,omitempty"`
	RetryPercent float64 `json:"retry-percent,omitempty"`
}

// Client hands requests to other instances.
type Client interface {
	Forward(ctx context.Context, address string, kind Kind, m Meta, r execio.Request) (*execio.Answer, error)
}

type httpClient struct{ exec execio.Client }

// NewHTTP returns a Client over the transport of an executor client, which never sends a request twice.
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
	detail, _ := io.ReadAll(io.LimitReader(answer.Body, maxDetail))
	return nil, parseRefusal(refusal, string(detail))
}

// Decode returns the Meta of a received request.
func Decode(r *http.Request) (Meta, error) {
	var m Meta
	if err := json.Unmarshal([]byte(r.Header.Get(HeaderMeta)), &m); err != nil {
		return m, fault.Wrap(err, fault.CodeBadRequest, fault.NotRun, "hop header")
	}
	return m, nil
}

// Refuse answers a received request with a failure.
func Refuse(w http.ResponseWriter, err error) {
	f := fault.From(err)
	w.Header().Set(headerRefusal, string(f.Code)+";"+string(f.Ran)+";"+strconv.FormatInt(f.RetryAfter.Milliseconds(), 10))
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, f.Detail)
}

const refusalFields = 3

func parseRefusal(s, detail string) error {
	parts := strings.Split(s, ";")
	if len(parts) != refusalFields {
		return fault.New(fault.CodeInternal, fault.Unknown, "refusal not understood: "+s)
	}
	ms, _ := strconv.ParseInt(parts[2], 10, 64)
	f := fault.New(fault.Code(parts[0]), fault.Ran(parts[1]), detail)
	return f.WithRetry(time.Duration(ms) * time.Millisecond)
}
