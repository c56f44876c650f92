package execio

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/ibischute/ibischute/internal/modules/httpj"
	"github.com/ibischute/ibischute/pkg/fault"
)

// errGateClosed is returned by the first write of a request if its IsSendAllowed returns false.
var errGateClosed = fault.New(fault.CodeNotSent, fault.NotRun, "the right to send lapsed before the first byte")

// gatedConn calls the gate of a request, which is its IsSendAllowed, immediately before the first write. A process that
// was paused between its decision to send and the write then detects that it may no longer send.
type gatedConn struct {
	net.Conn
	mu   sync.Mutex
	gate func() bool
}

func (c *gatedConn) setGate(gate func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate = gate
}

// Write implements net.Conn.
func (c *gatedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	gate := c.gate
	c.gate = nil
	c.mu.Unlock()
	if gate != nil && !gate() {
		return 0, errGateClosed
	}
	return c.Conn.Write(b)
}

// NewRequestClient returns the HTTP client for requests to executors. Its connections are bound to the local IP, check
// the gate of each request, and are limited to maxConns for each host.
//
// A nil configuration disables TLS.
func NewRequestClient(localIP string, maxConns int, config *tls.Config) *http.Client {
	d := httpj.Dialer(localIP)
	c := httpj.NewClient(d, maxConns)
	t, _ := c.Transport.(*http.Transport)
	t.TLSClientConfig = config
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &gatedConn{Conn: conn}, nil
	}
	return c
}

// withGate returns a context for a request, which sets the gate on the connection that the request uses.
func withGate(ctx context.Context, gate func() bool) context.Context {
	if gate == nil {
		return ctx
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn := info.Conn
			if t, ok := conn.(*tls.Conn); ok {
				conn = t.NetConn()
			}
			if c, ok := conn.(*gatedConn); ok {
				c.setGate(gate)
			}
		},
	})
}
