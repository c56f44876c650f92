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

// errGateClosed is what a write meets when the right to send lapsed.
var errGateClosed = fault.New(fault.CodeNotSent, fault.NotRun, "the right to send lapsed before the first byte")

// gatedConn asks a gate right before the first write of each request, so that a process that was paused after its
// decision to send finds out before it sends.
type gatedConn struct {
	net.Conn
	mu   sync.Mutex
	gate func() bool
}

func (c *gatedConn) arm(gate func() bool) {
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

// NewWork returns the HTTP client for work: its connections are bound to the local IP, carry a gate, and are bounded
// for each host.
//
// A nil configuration is for connections without TLS.
func NewWork(localIP string, maxConns int, config *tls.Config) *http.Client {
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

// withGate makes the connection that the request gets ask the gate.
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
				c.arm(gate)
			}
		},
	})
}
