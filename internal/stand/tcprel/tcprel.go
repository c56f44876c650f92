// Package tcprel relays TCP connections and simulates network partitions by client address: a blocked connection stays
// open but no data passes.
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

// Relay forwards connections to one target.
type Relay struct {
	listener net.Listener
	target   string

	mu        sync.Mutex
	cutIPs    map[string]bool
	isAllCut  bool
	isClosed  bool
	openConns map[net.Conn]bool
}

// Listen starts a Relay that accepts connections on the address and forwards them to the target.
func Listen(address, target string) (*Relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: target, cutIPs: map[string]bool{}, openConns: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

// Cut blocks or restores the connections from a client IP address.
func (r *Relay) Cut(ip string, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutIPs[ip] = cut
}

// CutAll cuts or restores all connections.
func (r *Relay) CutAll(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isAllCut = cut
}

// Reset closes the open connections; new connections are accepted.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.openConns {
		_ = c.Close()
	}
}

// Close stops the relay and closes its connections.
func (r *Relay) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isClosed = true
	for c := range r.openConns {
		_ = c.Close()
	}
	return r.listener.Close()
}

func (r *Relay) cutState(ip string) (cut, closed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isAllCut || r.cutIPs[ip], r.isClosed
}

// awaitRestored blocks while the connections of the client are cut. It returns false if the relay is closed.
func (r *Relay) awaitRestored(ip string) bool {
	for {
		cut, closed := r.cutState(ip)
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
		r.openConns[c] = true
		return
	}
	delete(r.openConns, c)
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
	if !r.awaitRestored(ip) {
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
	go r.forward(out, in, ip, done)
	go r.forward(in, out, ip, done)
	<-done
}

// forward copies data in one direction until either connection ends or the relay is closed.
func (r *Relay) forward(dst io.Writer, src io.Reader, ip string, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, bufferSize)
	for {
		n, err := src.Read(buf)
		if !r.awaitRestored(ip) {
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
