package execio

import (
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/go-faster/errors"

	"github.com/ibischute/ibischute/internal/modules/httpj"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
)

// The header and paths of the executor protocol.
const (
	HeaderRequestID = "Ibischute-Request-Id"
	PathLoad        = "/-/load"
	PathRequests    = "/-/requests/"
)

type httpClient struct {
	scheme   string
	requests *http.Client
	control  *http.Client
}

// NewHTTP returns a Client that uses HTTP; the scheme is http or https. Requests and control calls use separate
// connections, so an abort never waits behind requests. control may be nil if only Send is called.
func NewHTTP(scheme string, requests, control *http.Client) Client {
	return &httpClient{scheme: scheme, requests: requests, control: control}
}

// opaqueBody hides the concrete type of a body to disable automatic retries. net/http resends a request when a reused
// connection breaks if the request has an Idempotency-Key header and a replayable body; a non-nil body of unknown type
// is not replayable.
type opaqueBody struct{ io.Reader }

func (opaqueBody) Close() error { return nil }

type emptyReader struct{}

func (emptyReader) Read([]byte) (int, error) { return 0, io.EOF }

func (c *httpClient) Send(ctx context.Context, address string, r Request) (*Answer, error) {
	body := r.Body
	if body == nil {
		body = emptyReader{}
	}
	target := c.scheme + "://" + address + r.Path
	req, err := http.NewRequestWithContext(withGate(ctx, r.IsSendAllowed), r.Method, target, opaqueBody{body})
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeBadRequest, fault.NotRun, "build request")
	}
	req.Header = r.Header.Clone()
	req.Header.Set(HeaderRequestID, string(r.ID))
	req.ContentLength = r.Length
	res, err := c.requests.Do(req) //nolint:bodyclose // the caller closes the response body
	if err != nil {
		if httpj.IsDialError(err) || errors.Is(err, errGateClosed) {
			return nil, fault.Wrap(err, fault.CodeNotSent, fault.NotRun, "nothing sent")
		}
		if ctx.Err() != nil {
			return nil, fault.FromContext(ctx, fault.Unknown)
		}
		return nil, fault.Wrap(err, fault.CodeBackend, fault.Unknown, "no answer")
	}
	return &Answer{Status: res.StatusCode, Header: res.Header, Body: res.Body}, nil
}

func (c *httpClient) Abort(ctx context.Context, address string, id ident.Request) error {
	target := c.scheme + "://" + address + PathRequests + url.PathEscape(string(id))
	return httpj.Call(ctx, c.control, http.MethodDelete, target, nil, nil)
}

func (c *httpClient) Load(ctx context.Context, address string) (Load, error) {
	var l Load
	err := httpj.Call(ctx, c.control, http.MethodGet, c.scheme+"://"+address+PathLoad, nil, &l)
	return l, err
}
