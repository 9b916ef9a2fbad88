package transport

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/internal/settings"
)

// authority issues certificates for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T, name string) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return authority{certificate, key}
}

// issue writes a certificate for ip, its key and the authority trusted into dir.
func (a authority) issue(t *testing.T, dir, name, ip string, trusted authority) settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP(ip)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	return settings.TLS{
		CertFile: writePEM(t, dir, "cert.pem", "CERTIFICATE", der),
		KeyFile:  writePEM(t, dir, "key.pem", "EC PRIVATE KEY", keyDER),
		CAFile:   writePEM(t, dir, "ca.pem", "CERTIFICATE", trusted.certificate.Raw),
	}
}

func writePEM(t *testing.T, dir, name, kind string, der []byte) string {
	t.Helper()
	path := filepath.Join(dir, name)
	require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// start serves the subject of the client's certificate and returns the base URL.
func start(t *testing.T, files settings.TLS) string {
	t.Helper()
	config, err := ServerTLSConfig(files)
	require.NoError(t, err)
	server := NewHTTPServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.TLS.PeerCertificates[0].Subject.CommonName)
	}), config)
	server.ErrorLog = nil
	l, err := Listen(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- Serve(server, l) }()
	t.Cleanup(func() {
		require.NoError(t, server.Close())
		require.NoError(t, <-done, "a shutdown is not an error")
	})
	return "https://" + l.Addr().String()
}

func clientOf(t *testing.T, files settings.TLS) *http.Client {
	t.Helper()
	config, err := ClientTLSConfig(files)
	require.NoError(t, err)
	return NewHTTPClient(config, nil)
}

func get(client *http.Client, url string) (string, *tls.ConnectionState, error) {
	resp, err := client.Get(url)
	if err != nil {
		return "", nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), resp.TLS, err
}

func TestPeersOfOneAuthorityConnect(t *testing.T) {
	ca := newAuthority(t, "ca")
	url := start(t, ca.issue(t, t.TempDir(), "server", "127.0.0.1", ca))
	client := clientOf(t, ca.issue(t, t.TempDir(), "client", "127.0.0.1", ca))
	body, state, err := get(client, url)
	require.NoError(t, err)
	require.Equal(t, "client", body)
	require.EqualValues(t, tls.VersionTLS13, state.Version)
}

// Guards against a listener that accepts callers from outside the system.
func TestServerRefusesOtherClients(t *testing.T) {
	ca, foreign := newAuthority(t, "ca"), newAuthority(t, "foreign")
	url := start(t, ca.issue(t, t.TempDir(), "server", "127.0.0.1", ca))

	_, _, err := get(clientOf(t, foreign.issue(t, t.TempDir(), "foreign", "127.0.0.1", ca)), url)
	require.Error(t, err, "foreign certificate")

	roots := x509.NewCertPool()
	roots.AddCert(ca.certificate)
	_, _, err = get(NewHTTPClient(&tls.Config{RootCAs: roots}, nil), url)
	require.ErrorContains(t, err, "certificate required")

	roots = x509.NewCertPool()
	roots.AddCert(ca.certificate)
	old := &tls.Config{RootCAs: roots, MaxVersion: tls.VersionTLS12}
	_, _, err = get(NewHTTPClient(old, nil), url)
	require.ErrorContains(t, err, "protocol version")
}

// Guards against a client that talks to a foreign server, or to a genuine process at another address.
func TestClientRefusesOtherServers(t *testing.T) {
	ca, foreign := newAuthority(t, "ca"), newAuthority(t, "foreign")
	client := clientOf(t, ca.issue(t, t.TempDir(), "client", "127.0.0.1", ca))

	_, _, err := get(client, start(t, foreign.issue(t, t.TempDir(), "foreign", "127.0.0.1", ca)))
	require.ErrorContains(t, err, "verify peer")

	_, _, err = get(client, start(t, ca.issue(t, t.TempDir(), "elsewhere", "127.0.0.9", ca)))
	require.ErrorContains(t, err, "127.0.0.9")
}

// Guards against processes that keep an expired certificate or a withdrawn authority until they restart.
func TestRotationWithoutRestart(t *testing.T) {
	first, second := newAuthority(t, "first"), newAuthority(t, "second")
	serverDir, clientDir := t.TempDir(), t.TempDir()
	url := start(t, first.issue(t, serverDir, "server", "127.0.0.1", first))
	client := clientOf(t, first.issue(t, clientDir, "before", "127.0.0.1", first))
	body, _, err := get(client, url)
	require.NoError(t, err)
	require.Equal(t, "before", body)

	second.issue(t, serverDir, "server", "127.0.0.1", second)
	second.issue(t, clientDir, "after", "127.0.0.1", second)
	time.Sleep(checkInterval + 50*time.Millisecond)
	client.CloseIdleConnections()
	body, _, err = get(client, url)
	require.NoError(t, err)
	require.Equal(t, "after", body)

	stale := clientOf(t, first.issue(t, t.TempDir(), "stale", "127.0.0.1", second))
	_, _, err = get(stale, url)
	require.Error(t, err, "certificate of the withdrawn authority")
}

// Guards against an outage when a check falls between the writes of the certificate and of the key.
func TestHalfRotatedFilesKeepPreviousCertificate(t *testing.T) {
	ca := newAuthority(t, "ca")
	dir := t.TempDir()
	files := ca.issue(t, dir, "server", "127.0.0.1", ca)
	s, err := newSource(files)
	require.NoError(t, err)
	before := s.current
	require.NoError(t, os.WriteFile(files.KeyFile, []byte("partial"), 0o600))
	s.checked = time.Time{}
	require.Same(t, before, s.get())
	ca.issue(t, dir, "server", "127.0.0.1", ca)
	require.Same(t, before, s.get(), "not examined again within the check interval")
	s.checked = time.Time{}
	require.NotSame(t, before, s.get())
}

func TestDisabledAndIncompleteSettings(t *testing.T) {
	server, err := ServerTLSConfig(settings.TLS{})
	require.NoError(t, err)
	require.Nil(t, server)
	client, err := ClientTLSConfig(settings.TLS{})
	require.NoError(t, err)
	require.Nil(t, client)
	_, err = ServerTLSConfig(settings.TLS{CertFile: "only-the-certificate"})
	require.Error(t, err)
	_, err = ClientTLSConfig(settings.TLS{CAFile: "only-the-authority"})
	require.Error(t, err, "a CA file alone must not silently disable TLS")
}

func TestDialIsUsed(t *testing.T) {
	refused := func(context.Context, string, string) (net.Conn, error) { return nil, io.ErrClosedPipe }
	_, _, err := get(NewHTTPClient(nil, refused), "http://127.0.0.1:1")
	require.ErrorIs(t, err, io.ErrClosedPipe)
}

// A prefill call of a split prompt answers after minutes; a timeout for its header would fail every such prompt.
func TestLateHeaderIsNotAnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial := func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
					return // the client sees a closed connection
				}
				time.Sleep(5 * time.Minute)
				_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\ndone")
				_ = server.Close()
			}()
			return client, nil
		}
		body, _, err := get(NewHTTPClient(nil, dial), "http://127.0.0.1:1")
		require.NoError(t, err)
		require.Equal(t, "done", body)
	})
}
