// Package tcprel relays TCP connections and can cut them by the address of the sender, as a network partition does: a
// cut connection stays open and passes nothing.
//
// # Usage
//
//	r, err := tcprel.Listen("127.0.0.1:7102", "127.0.0.1:7112")
//	r.Cut("127.0.0.2", true)
package tcprel

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	bufferSize   = 32 << 10
	pollInterval = 10 * time.Millisecond
)

// Relay passes connections on to one target.
type Relay struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	cut    map[string]bool
	all    bool
	closed bool
	open   map[net.Conn]bool
}

// Listen starts a Relay.
func Listen(address, target string) (*Relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: target, cut: map[string]bool{}, open: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

// Cut cuts or heals the connections from an IP.
func (r *Relay) Cut(ip string, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[ip] = cut
}

// CutAll cuts or heals all connections.
func (r *Relay) CutAll(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = cut
}

// Reset breaks the open connections; new ones work.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		_ = c.Close()
	}
}

// Close ends the relay and its connections.
func (r *Relay) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for c := range r.open {
		_ = c.Close()
	}
	return r.listener.Close()
}

func (r *Relay) isCut(ip string) (cut, closed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.all || r.cut[ip], r.closed
}

// await blocks while the sender is cut and reports false once the relay is closed.
func (r *Relay) await(ip string) bool {
	for {
		cut, closed := r.isCut(ip)
		if closed {
			return false
		}
		if !cut {
			return true
		}
		time.Sleep(pollInterval)
	}
}

func (r *Relay) track(c net.Conn, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if open {
		r.open[c] = true
		return
	}
	delete(r.open, c)
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

func (r *Relay) serve(in net.Conn) {
	defer in.Close()
	r.track(in, true)
	defer r.track(in, false)
	ip, _, _ := net.SplitHostPort(in.RemoteAddr().String())
	if !r.await(ip) {
		return
	}
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer out.Close()
	r.track(out, true)
	defer r.track(out, false)
	done := make(chan struct{}, 2)
	go r.pass(out, in, ip, done)
	go r.pass(in, out, ip, done)
	<-done
}

func (r *Relay) pass(dst io.Writer, src io.Reader, ip string, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, bufferSize)
	for {
		n, err := src.Read(buf)
		if !r.await(ip) {
			return
		}
		if n > 0 {
			if _, writeErr := dst.Write(buf[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
