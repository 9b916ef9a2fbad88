package entry

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/internal/settings"
)

// rereadEvery bounds how often the certificate files are checked for a change.
const rereadEvery = 10 * time.Second

// credentials serve the certificate and the authorities of mutual TLS from files that may be rotated.
type credentials struct {
	files settings.TLS

	mu      sync.Mutex
	checked time.Time
	changed time.Time
	cert    *tls.Certificate
	roots   *x509.CertPool
}

// newCredentials returns nil if mutual TLS is not configured.
func newCredentials(files settings.TLS) (*credentials, error) {
	if !files.Enabled() {
		return nil, nil
	}
	c := &credentials{files: files}
	_, _, err := c.current()
	return c, err
}

// current returns the newest readable certificate and authorities; an unreadable change keeps the former ones.
func (c *credentials) current() (*tls.Certificate, *x509.CertPool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.cert != nil && now.Sub(c.checked) < rereadEvery {
		return c.cert, c.roots, nil
	}
	c.checked = now
	if err := c.reload(); err != nil && c.cert == nil {
		return nil, nil, err
	}
	return c.cert, c.roots, nil
}

func (c *credentials) reload() error {
	newest, err := newestChange(c.files.CertFile, c.files.KeyFile, c.files.CAFile)
	if err != nil {
		return err
	}
	if c.cert != nil && newest.Equal(c.changed) {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(c.files.CertFile, c.files.KeyFile)
	if err != nil {
		return errors.Wrap(err, "load certificate")
	}
	pem, err := os.ReadFile(c.files.CAFile)
	if err != nil {
		return errors.Wrap(err, "read authorities")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return errors.Errorf("%s holds no certificate", c.files.CAFile)
	}
	c.cert, c.roots, c.changed = &cert, roots, newest
	return nil
}

func newestChange(files ...string) (time.Time, error) {
	var newest time.Time
	for _, name := range files {
		info, err := os.Stat(name)
		if err != nil {
			return newest, errors.Wrap(err, "certificate file")
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}

// client returns the configuration of connections to agents. The server's chain is verified against the current
// authorities; VMs are addressed by IP, so certificates name the VM and the host name is not compared.
func (c *credentials) client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _, err := c.current()
			return cert, err
		},
		InsecureSkipVerify: true, // replaced by VerifyConnection
		VerifyConnection:   c.verifyServer,
	}
}

func (c *credentials) verifyServer(state tls.ConnectionState) error {
	_, roots, err := c.current()
	if err != nil {
		return err
	}
	if len(state.PeerCertificates) == 0 {
		return errors.New("server sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: roots, Intermediates: intermediates})
	return errors.Wrap(err, "verify server")
}

// server returns the configuration of the internal listener.
func (c *credentials) server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, roots, err := c.current()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    roots,
			}, nil
		},
	}
}
