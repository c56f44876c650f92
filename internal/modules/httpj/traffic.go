package httpj

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Traffic counts the bytes sent and received on connections.
type Traffic struct{ bytes atomic.Int64 }

// Bytes returns the total number of bytes counted.
func (t *Traffic) Bytes() int64 { return t.bytes.Load() }

// Client changes c to count the bytes of its connections and returns it.
func (t *Traffic) Client(c *http.Client) *http.Client {
	transport, ok := c.Transport.(*http.Transport)
	if !ok {
		return c
	}
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, traffic: t}, nil
	}
	return c
}

// Listener wraps l to count the bytes of its connections.
func (t *Traffic) Listener(l net.Listener) net.Listener {
	return &countedListener{Listener: l, traffic: t}
}

type countedListener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, traffic: l.traffic}, nil
}

type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.bytes.Add(int64(n))
	return n, err
}
