// Package mtls configures mutual TLS with a common certificate authority.
//
// The files are reloaded when they change, so certificates can be renewed without a restart.
//
// # Usage
//
//	credentials, err := mtls.Load(mtls.Files{Cert: "peer.crt", Key: "peer.key", CA: "peers.crt"})
//	listener = tls.NewListener(listener, credentials.Server())
//	transport.TLSClientConfig = credentials.Client()
package mtls

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/ibischute/ibischute/pkg/fault"
)

// Files contains the paths of the PEM files of one side.
type Files struct {
	Cert, Key, CA string
}

// Credentials holds a certificate with its key, and the certificate authority that must have issued the peer's
// certificate.
type Credentials struct {
	files Files

	mu            sync.Mutex
	loadedModTime time.Time
	cert          *tls.Certificate
	caPool        *x509.CertPool
}

// groupOtherPerms are the permission bits that a key file must not have.
const groupOtherPerms = 0o077

// Load reads and validates the files.
func Load(f Files) (*Credentials, error) {
	info, err := os.Stat(f.Key)
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeSetting, fault.NotRun, "check permissions of key file")
	}
	if info.Mode().Perm()&groupOtherPerms != 0 {
		return nil, fault.New(fault.CodeSetting, fault.NotRun, "key file is accessible to group or others")
	}
	c := &Credentials{files: f}
	return c, c.load()
}

func (c *Credentials) load() error {
	cert, err := tls.LoadX509KeyPair(c.files.Cert, c.files.Key)
	if err != nil {
		return fault.Wrap(err, fault.CodeSetting, fault.NotRun, "load certificate and key")
	}
	pem, err := os.ReadFile(c.files.CA)
	if err != nil {
		return fault.Wrap(err, fault.CodeSetting, fault.NotRun, "read CA certificates")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return fault.New(fault.CodeSetting, fault.NotRun, "no CA certificate found in "+c.files.CA)
	}
	c.cert, c.caPool, c.loadedModTime = &cert, pool, c.modTime()
	return nil
}

// modTime returns the latest modification time of the files.
func (c *Credentials) modTime() time.Time {
	var latest time.Time
	for _, path := range []string{c.files.Cert, c.files.Key, c.files.CA} {
		if info, err := os.Stat(path); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// current returns the certificate and the CA pool, reloaded if a file has changed. If reloading fails, it returns the
// ones loaded last.
func (c *Credentials) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.modTime().After(c.loadedModTime) {
		_ = c.load()
	}
	return c.cert, c.caPool
}

// Server returns the TLS configuration for the server side.
func (c *Credentials) Server() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		cert, caPool := c.current()
		return &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}, ClientCAs: caPool,
			ClientAuth: tls.RequireAndVerifyClientCert,
		}, nil
	}}
}

// Client returns the TLS configuration for the client side. A changed CA file takes effect there only after a restart.
func (c *Credentials) Client() *tls.Config {
	_, caPool := c.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, RootCAs: caPool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := c.current()
			return cert, nil
		},
	}
}
