// Package transport configures the connections between the system's own processes: mutual TLS with certificate rotation
// without a restart, and HTTP clients and servers with timeouts.
package transport

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/internal/settings"
)

// checkInterval is the minimum time between checks of the files for changes.
const checkInterval = time.Second

// fileStamp is the file metadata by which changes are detected.
type fileStamp struct {
	modifiedAt time.Time
	sizeBytes  int64
}

// credentials is a consistent set of certificate, key and certificate authorities.
type credentials struct {
	certificate  tls.Certificate
	authorities  *x509.CertPool
	serverConfig *tls.Config
}

// credentialReloader reloads the files of a settings.TLS when they change. It is safe for concurrent use.
type credentialReloader struct {
	files settings.TLS

	mu         sync.Mutex
	checkedAt  time.Time
	fileStamps [3]fileStamp
	current    *credentials
}

func newCredentialReloader(files settings.TLS) (*credentialReloader, error) {
	if err := files.Validate(); err != nil {
		return nil, err
	}
	r := &credentialReloader{files: files}
	stamps, err := r.statFiles()
	if err != nil {
		return nil, err
	}
	r.current, err = loadCredentials(files)
	if err != nil {
		return nil, err
	}
	r.fileStamps = stamps
	r.checkedAt = time.Now()
	return r, nil
}

// latest checks the files at most once per checkInterval and returns the latest credentials. If the files cannot be read
// or do not match each other, as in the middle of a rotation, the previous credentials stay in use until a later check
// succeeds.
func (r *credentialReloader) latest() *credentials {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.checkedAt) < checkInterval {
		return r.current
	}
	r.checkedAt = now
	stamps, err := r.statFiles()
	if err != nil || stamps == r.fileStamps {
		return r.current
	}
	next, err := loadCredentials(r.files)
	if err != nil {
		return r.current
	}
	r.current = next
	r.fileStamps = stamps
	return next
}

func (r *credentialReloader) statFiles() ([3]fileStamp, error) {
	var stamps [3]fileStamp
	for i, name := range []string{r.files.CertFile, r.files.KeyFile, r.files.CAFile} {
		info, err := os.Stat(name)
		if err != nil {
			return stamps, errors.Wrap(err, "TLS file")
		}
		stamps[i] = fileStamp{modifiedAt: info.ModTime(), sizeBytes: info.Size()}
	}
	return stamps, nil
}

func loadCredentials(files settings.TLS) (*credentials, error) {
	certificate, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "load certificate and key")
	}
	pem, err := os.ReadFile(files.CAFile)
	if err != nil {
		return nil, errors.Wrap(err, "read certificate authorities")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("no certificate authority in %s", files.CAFile)
	}
	c := &credentials{certificate: certificate, authorities: authorities}
	c.serverConfig = c.newServerConfig()
	return c, nil
}

// newServerConfig returns the configuration of a listener. It disables session tickets because a resumed session would
// not be verified against rotated authorities.
func (c *credentials) newServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{c.certificate},
		ClientAuth:             tls.RequireAndVerifyClientCert,
		ClientCAs:              c.authorities,
		SessionTicketsDisabled: true,
		NextProtos:             []string{"http/1.1"},
	}
}

// verifyServer checks a server's certificate chain against the current authorities, and its name if the client sent one.
func (c *credentials) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, intermediate := range state.PeerCertificates[1:] {
		intermediates.AddCert(intermediate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         c.authorities,
		Intermediates: intermediates,
		DNSName:       state.ServerName,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return errors.Wrap(err, "verify peer")
}

// ServerTLSConfig returns the configuration of a listener that accepts only peers with a certificate issued by the
// authorities in files, or nil if mutual TLS is disabled. It returns an error if the files cannot be loaded.
func ServerTLSConfig(files settings.TLS) (*tls.Config, error) {
	if !files.Enabled() {
		return nil, files.Validate()
	}
	reloader, err := newCredentialReloader(files)
	if err != nil {
		return nil, err
	}
	config := reloader.current.newServerConfig()
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return reloader.latest().serverConfig, nil
	}
	return config, nil
}

// ClientTLSConfig returns the configuration of connections to other processes of the system, or nil if mutual TLS is
// disabled. It verifies the peer's certificate chain and DNS name; NewHTTPClient also verifies IP addresses, which TLS
// does not send as a server name. ClientTLSConfig returns an error if the files cannot be loaded.
func ClientTLSConfig(files settings.TLS) (*tls.Config, error) {
	if !files.Enabled() {
		return nil, files.Validate()
	}
	reloader, err := newCredentialReloader(files)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The standard verification uses a fixed pool of authorities; VerifyConnection uses the current one.
		InsecureSkipVerify: true,
		VerifyConnection:   func(state tls.ConnectionState) error { return reloader.latest().verifyServer(state) },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &reloader.latest().certificate, nil
		},
		NextProtos: []string{"http/1.1"},
	}, nil
}
