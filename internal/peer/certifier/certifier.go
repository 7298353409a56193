// Package certifier provides gRPC credentials for mutual TLS between daemons. It
// reloads the files when they change, so certificates are replaced without a
// restart.
package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc/credentials"
)

// Certifier holds the certificate of a daemon and the authorities it trusts. The
// exported fields are set before Open.
type Certifier struct {
	CertFile, KeyFile, CAFile string
	Now                       func() time.Time

	mu        sync.Mutex
	cert      *tls.Certificate
	roots     *x509.CertPool
	modTime   time.Time
	lastCheck time.Time
}

const checkInterval = 5 * time.Second

// Open reads the files for the first time.
func (c *Certifier) Open() error {
	return c.load()
}

func (c *Certifier) load() error {
	cert, err := tls.LoadX509KeyPair(c.CertFile, c.KeyFile)
	if err != nil {
		return errors.Annotate(err, "TLS: certificate")
	}
	pem, err := os.ReadFile(c.CAFile)
	if err != nil {
		return errors.Annotate(err, "TLS: certificate authorities")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return errors.Errorf("TLS: %s holds no certificate", c.CAFile)
	}
	c.cert, c.roots, c.modTime = &cert, roots, c.newestModTime()
	return nil
}

// newestModTime returns the latest modification time of the files.
func (c *Certifier) newestModTime() time.Time {
	var newest time.Time
	for _, path := range []string{c.CertFile, c.KeyFile, c.CAFile} {
		if info, err := os.Stat(path); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// current returns the certificate and roots, after reloading changed files. If
// the reload fails, the old ones stay in use.
func (c *Certifier) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	if now.Sub(c.lastCheck) >= checkInterval {
		c.lastCheck = now
		if c.newestModTime().After(c.modTime) {
			_ = c.load() // the old certificate stays in use
		}
	}
	return c.cert, c.roots
}

// Credentials returns the credentials for both sides of a connection. Each side
// must present a certificate signed by an authority that the other trusts.
func (c *Certifier) Credentials() credentials.TransportCredentials {
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := c.current()
			return cert, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := c.current()
			return cert, nil
		},
		ClientAuth: tls.RequireAnyClientCert,
		// The chain is verified below against the current authorities; daemons
		// are addressed by IP number, so no host name is checked.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verify,
	})
}

func (c *Certifier) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("TLS: the other daemon shows no certificate")
	}
	_, roots := c.current()
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: roots, Intermediates: intermediates, CurrentTime: c.Now(),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Annotate(err, "TLS: the other daemon's certificate")
}
