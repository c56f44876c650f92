package main

import (
	"net"
	"sync"
	"time"
)

// listener accepts connections that can be silenced for good, without a reset, while new ones work.
type listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*conn]bool
}

type conn struct {
	net.Conn
	l        *listener
	silenced chan struct{}
	once     sync.Once
}

func listen(address string) (*listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: l, conns: map[*conn]bool{}}, nil
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	out := &conn{Conn: c, l: l, silenced: make(chan struct{})}
	l.mu.Lock()
	l.conns[out] = true
	l.mu.Unlock()
	return out, nil
}

// silence silences the present connections.
func (l *listener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.once.Do(func() { close(c.silenced) })
	}
}

func (c *conn) isSilenced() bool {
	select {
	case <-c.silenced:
		return true
	default:
		return false
	}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.isSilenced() {
		time.Sleep(30 * time.Second)
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if c.isSilenced() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn. A silenced connection stays open, so that the other side sees no end.
func (c *conn) Close() error {
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
	if c.isSilenced() {
		time.AfterFunc(40*time.Second, func() { _ = c.Conn.Close() })
		return nil
	}
	return c.Conn.Close()
}
