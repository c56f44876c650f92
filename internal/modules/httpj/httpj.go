// Package httpj provides HTTP calls with JSON bodies and typed errors over connections bound to a local address.
//
// # Usage
//
//	client := httpj.NewClient(httpj.Dialer("127.0.0.1"), 16)
//	err := httpj.Call(ctx, client, http.MethodPost, url, request, &response)
package httpj

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/ibischute/ibischute/pkg/fault"
)

const (
	dialTimeout      = 500 * time.Millisecond
	idleTimeout      = 30 * time.Second
	maxResponseBytes = 16 << 20
)

// StatusError is returned for an HTTP response with a status outside the 2xx range.
type StatusError struct {
	Code int
	Body string
}

// Error implements error.
func (e *StatusError) Error() string { return "status " + strconv.Itoa(e.Code) + ": " + e.Body }

// Status returns the status code of the StatusError in err's chain, or 0 if there is none.
func Status(err error) int {
	var se *StatusError
	if errors.As(err, &se) {
		return se.Code
	}
	return 0
}

// Dialer returns a dialer that binds outgoing connections to localIP. With an empty localIP, the system selects the
// address.
func Dialer(localIP string) *net.Dialer {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: idleTimeout}
	if ip := net.ParseIP(localIP); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return d
}

// NewTransport returns a transport with at most maxConns connections for each host. It ignores proxy settings and does
// not decompress responses, so bodies are passed through unchanged.
func NewTransport(d *net.Dialer, maxConns int) *http.Transport {
	return &http.Transport{
		DialContext: d.DialContext, MaxConnsPerHost: maxConns, MaxIdleConnsPerHost: maxConns,
		IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
}

// NewClient returns a client that uses NewTransport and does not follow redirects.
func NewClient(d *net.Dialer, maxConns int) *http.Client {
	return &http.Client{Transport: NewTransport(d, maxConns), CheckRedirect: noRedirect}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// IsDialError reports whether err is a failure to connect, which guarantees that nothing was sent.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Get decodes the JSON at the URL into out and returns its entity tag. If the entity tag still equals tag, out is not
// changed.
func Get(ctx context.Context, c *http.Client, url, tag string, out any) (string, error) {
	req, err := newRequest(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	res, err := c.Do(req)
	if err != nil {
		return "", fault.Wrap(err, fault.CodeUnavailable, fault.NotRun, "no answer")
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusNotModified {
		return tag, nil
	}
	return res.Header.Get("Etag"), decode(res, out)
}

// Call sends in as the JSON request body and decodes the response into out. Either may be nil.
func Call(ctx context.Context, c *http.Client, method, url string, in, out any) error {
	req, err := newRequest(ctx, method, url, in)
	if err != nil {
		return err
	}
	res, err := c.Do(req)
	if err != nil {
		if IsDialError(err) {
			return fault.Wrap(err, fault.CodeNotSent, fault.NotRun, method+" not sent")
		}
		return fault.Wrap(err, fault.CodeUnknownOutcome, fault.Unknown, method+" got no answer")
	}
	defer res.Body.Close()
	return decode(res, out)
}

// decode reads the response into out, which may be nil.
func decode(res *http.Response, out any) error {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return fault.Wrap(err, fault.CodeUnknownOutcome, fault.Unknown, "answer cut")
	}
	if res.StatusCode/100 != 2 {
		return &StatusError{Code: res.StatusCode, Body: string(body)}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fault.Wrap(err, fault.CodeUnknownOutcome, fault.Unknown, "answer is not the JSON expected")
	}
	return nil
}

func newRequest(ctx context.Context, method, url string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return nil, fault.Wrap(err, fault.CodeInternal, fault.NotRun, "encode request")
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeInternal, fault.NotRun, "build request")
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// Write sends v as a JSON response.
func Write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Decode parses a JSON request body of at most limit bytes and rejects unknown keys.
func Decode[T any](r *http.Request, limit int64) (T, error) {
	var v T
	dec := json.NewDecoder(io.LimitReader(r.Body, limit))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&v); err != nil {
		return v, fault.Wrap(err, fault.CodeBadRequest, fault.NotRun, "request body")
	}
	return v, nil
}
