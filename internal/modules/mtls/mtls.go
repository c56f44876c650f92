// Package mtls makes both sides of a connection show a certificate of one authority.
//
// The files are read again when they change, so that certificates are renewed without a restart.
//
// # Usage
//
//	keys, err := mtls.Load(mtls.Files{Cert: "peer.crt", Key: "peer.key", Authority: "peers.crt"})
//	listener = tls.NewListener(listener, keys.Server())
//	transport.TLSClientConfig = keys.Client()
package mtls

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/ibischute/ibischute/pkg/fault"
)

// Files names the PEM files of a side.
type Files struct {
	Cert, Key, Authority string
}

// Keys holds a certificate, its key and the authority that the other side must be of.
type Keys struct {
	files Files

	mu        sync.Mutex
	readAt    time.Time
	cert      *tls.Certificate
	authority *x509.CertPool
}

// othersMayRead are the permissions that a key file must not have.
const othersMayRead = 0o077

// Load reads the files and checks them.
func Load(f Files) (*Keys, error) {
	info, err := os.Stat(f.Key)
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeSetting, fault.NotRun, "key file")
	}
	if info.Mode().Perm()&othersMayRead != 0 {
		return nil, fault.New(fault.CodeSetting, fault.NotRun, "the key file may be read by others than its owner")
	}
	k := &Keys{files: f}
	return k, k.read()
}

func (k *Keys) read() error {
	cert, err := tls.LoadX509KeyPair(k.files.Cert, k.files.Key)
	if err != nil {
		return fault.Wrap(err, fault.CodeSetting, fault.NotRun, "certificate and key")
	}
	pem, err := os.ReadFile(k.files.Authority)
	if err != nil {
		return fault.Wrap(err, fault.CodeSetting, fault.NotRun, "certificate of the authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return fault.New(fault.CodeSetting, fault.NotRun, "no certificate of an authority in "+k.files.Authority)
	}
	k.cert, k.authority, k.readAt = &cert, pool, k.changedAt()
	return nil
}

// changedAt returns when the files last changed.
func (k *Keys) changedAt() time.Time {
	var last time.Time
	for _, path := range []string{k.files.Cert, k.files.Key, k.files.Authority} {
		if info, err := os.Stat(path); err == nil && info.ModTime().After(last) {
			last = info.ModTime()
		}
	}
	return last
}

// current returns what the files hold, or what they held if they cannot be read now.
func (k *Keys) current() (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.changedAt().After(k.readAt) {
		_ = k.read()
	}
	return k.cert, k.authority
}

// Server returns the configuration of the side that is called.
func (k *Keys) Server() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		cert, authority := k.current()
		return &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}, ClientCAs: authority,
			ClientAuth: tls.RequireAndVerifyClientCert,
		}, nil
	}}
}

// Client returns the configuration of the calling side. A new authority takes effect there after a restart.
func (k *Keys) Client() *tls.Config {
	_, authority := k.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, RootCAs: authority,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := k.current()
			return cert, nil
		},
	}
}
