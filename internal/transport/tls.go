// Package transport configures the connections between the system's own processes: mutual TLS with certificates that
// rotate without a restart, and HTTP clients and servers with bounded timeouts.
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

// checkInterval bounds how often the files are examined for changes.
const checkInterval = time.Second

// stamp identifies the content of a file cheaply.
type stamp struct {
	modified time.Time
	size     int64
}

// material is one consistent set of certificate, key and authorities.
type material struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	server      *tls.Config
}

// source rereads the files of a settings.TLS when they change. It is safe for concurrent use.
type source struct {
	files settings.TLS

	mu      sync.Mutex
	checked time.Time
	stamps  [3]stamp
	current *material
}

func newSource(files settings.TLS) (*source, error) {
	if err := files.Validate(); err != nil {
		return nil, err
	}
	s := &source{files: files}
	stamps, err := s.stat()
	if err != nil {
		return nil, err
	}
	s.current, err = load(files)
	if err != nil {
		return nil, err
	}
	s.stamps = stamps
	s.checked = time.Now()
	return s, nil
}

// get returns the current material. Files that cannot be read or do not match each other, as in the middle of a
// rotation, leave the previous material in use until a later check succeeds.
func (s *source) get() *material {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.checked) < checkInterval {
		return s.current
	}
	s.checked = now
	stamps, err := s.stat()
	if err != nil || stamps == s.stamps {
		return s.current
	}
	next, err := load(s.files)
	if err != nil {
		return s.current
	}
	s.current = next
	s.stamps = stamps
	return next
}

func (s *source) stat() ([3]stamp, error) {
	var stamps [3]stamp
	for i, name := range []string{s.files.CertFile, s.files.KeyFile, s.files.CAFile} {
		info, err := os.Stat(name)
		if err != nil {
			return stamps, errors.Wrap(err, "TLS file")
		}
		stamps[i] = stamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

func load(files settings.TLS) (*material, error) {
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
	m := &material{certificate: certificate, authorities: authorities}
	m.server = m.serverConfig()
	return m, nil
}

// serverConfig disables session tickets because a resumed session would skip verification against rotated authorities.
func (m *material) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{m.certificate},
		ClientAuth:             tls.RequireAndVerifyClientCert,
		ClientCAs:              m.authorities,
		SessionTicketsDisabled: true,
		NextProtos:             []string{"http/1.1"},
	}
}

// verify checks a server's chain against the current authorities, and its name when the client sent one.
func (m *material) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         m.authorities,
		Intermediates: intermediates,
		DNSName:       state.ServerName,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return errors.Wrap(err, "verify peer")
}

// ServerTLSConfig returns the configuration of a listener that accepts only peers with a certificate of the authorities in
// files, or nil when mutual TLS is disabled. It fails when the files cannot be loaded.
func ServerTLSConfig(files settings.TLS) (*tls.Config, error) {
	if !files.Enabled() {
		return nil, files.Validate()
	}
	s, err := newSource(files)
	if err != nil {
		return nil, err
	}
	config := s.current.serverConfig()
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return s.get().server, nil
	}
	return config, nil
}

// ClientTLSConfig returns the configuration of connections to other processes of the system, or nil when mutual TLS is
// disabled. It verifies the peer's chain and DNS name; HTTPClient also verifies IP addresses, which TLS does not send
// as a server name. It fails when the files cannot be loaded.
func ClientTLSConfig(files settings.TLS) (*tls.Config, error) {
	if !files.Enabled() {
		return nil, files.Validate()
	}
	s, err := newSource(files)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The standard verification uses a fixed pool; VerifyConnection verifies against the current one.
		InsecureSkipVerify: true,
		VerifyConnection:   func(state tls.ConnectionState) error { return s.get().verify(state) },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.get().certificate, nil
		},
		NextProtos: []string{"http/1.1"},
	}, nil
}
