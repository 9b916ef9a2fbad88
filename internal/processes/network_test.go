package processes

import (
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
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/internal/settings"
	"github.com/bilberrylink/bilberrylink/internal/standin"
	"github.com/bilberrylink/bilberrylink/internal/standin/faultnet"
	"github.com/bilberrylink/bilberrylink/internal/transport"
)

// relay forwards connections to one node, so that a test can silence the open ones.
type relay struct {
	network *faultnet.Network
	addr    string
	target  string
	node    string
}

func startRelay(t *testing.T, network *faultnet.Network, node, ip, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	r := &relay{network: network, addr: l.Addr().String(), target: target, node: node}
	network.Register(target, "", node)
	go r.accept(l)
	return r
}

func (r *relay) accept(l net.Listener) {
	dial := r.network.Dialer("", "relay")
	for {
		clientConn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = clientConn.Close() }()
			nodeConn, err := dial(context.Background(), "tcp", r.target)
			if err != nil {
				return
			}
			defer func() { _ = nodeConn.Close() }()
			r.forward(clientConn, nodeConn)
		}()
	}
}

// forward copies data in both directions until one side closes. A silenced connection never ends, so the client's side
// stays open.
func (r *relay) forward(clientConn, nodeConn net.Conn) {
	var once sync.Once
	ended := make(chan struct{})
	copyData := func(to io.Writer, from io.Reader) {
		_, _ = io.Copy(to, from) // the end of either direction ends both
		once.Do(func() { close(ended) })
	}
	go copyData(nodeConn, clientConn)
	go copyData(clientConn, nodeConn)
	<-ended
}

// Guards against streams and orders that are lost or executed twice when the open connections to their agents stop
// carrying data without being closed.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	platform := standin.New(standin.Options{})
	t.Cleanup(platform.Close)
	network := faultnet.New(platform.Faults())
	f := startFleet(t, fleetOptions{advertise: func(node, addr string) string {
		host, _, err := net.SplitHostPort(addr)
		require.NoError(t, err)
		return startRelay(t, network, node, host, addr).addr
	}})
	traffic := startTraffic(f)
	for range 3 {
		traffic.awaitProgress(minProgress)
		for _, endpoint := range slices.Concat(engines, services) {
			network.Silence("agent-" + endpoint)
		}
	}
	traffic.awaitProgress(minProgress)
	traffic.stopAndWait()
	assert.Empty(t, describeFailures(traffic.chats), "chats")
	assert.Empty(t, describeFailures(traffic.lookups), "lookups")
	traffic.checkExecutions()
	traffic.checkDefiniteOutcomes()
	assert.Positive(t, f.resumeCount(), "no stream was resumed, so the fault had no effect")
}

type certificateAuthority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newCertificateAuthority(t *testing.T) certificateAuthority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "fleet"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return certificateAuthority{certificate, key}
}

// issue writes a certificate for ip and its private key to files.
func (a certificateAuthority) issue(t *testing.T, files settings.TLS, ip string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(time.Now().UnixNano()),
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.ParseIP(ip)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	replaceFile(t, files.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}))
	replaceFile(t, files.CertFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
}

// writeTrustedCAs writes the certificate authorities that a process trusts to files.
func writeTrustedCAs(t *testing.T, files settings.TLS, authorities ...certificateAuthority) {
	t.Helper()
	var data []byte
	for _, a := range authorities {
		data = append(data, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.certificate.Raw})...)
	}
	replaceFile(t, files.CAFile, data)
}

// replaceFile replaces a file atomically, as operators should.
func replaceFile(t *testing.T, name string, data []byte) {
	t.Helper()
	require.NoError(t, os.WriteFile(name+".new", data, 0o600))
	require.NoError(t, os.Rename(name+".new", name))
}

func tlsFiles(dir string) settings.TLS {
	return settings.TLS{CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"),
		CAFile: filepath.Join(dir, "ca.pem")}
}

// reloadWait is longer than the interval at which processes check their certificate files for changes.
const reloadWait = 1500 * time.Millisecond

// Guards against requests that fail during a rotation of certificates and certificate authorities, and against processes
// that still accept the withdrawn authority afterwards.
func TestCertificateRotation(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	oldCA, newCA := newCertificateAuthority(t), newCertificateAuthority(t)
	files := make(map[string]settings.TLS)
	var f *fleet
	ip := fleetIP()
	f = startFleet(t, fleetOptions{ip: ip, tls: func(node string) settings.TLS {
		require.NoError(t, os.Mkdir(filepath.Join(dir, node), 0o700))
		files[node] = tlsFiles(filepath.Join(dir, node))
		oldCA.issue(t, files[node], ip)
		writeTrustedCAs(t, files[node], oldCA)
		return files[node]
	}})
	oldFiles := tlsFiles(t.TempDir())
	oldCA.issue(t, oldFiles, ip)
	writeTrustedCAs(t, oldFiles, oldCA, newCA)
	require.Equal(t, http.StatusOK, f.agentHealthStatus(oldFiles, true))

	traffic := startTraffic(f)
	rotation := []func(settings.TLS){
		func(files settings.TLS) { writeTrustedCAs(t, files, oldCA, newCA) },
		func(files settings.TLS) { newCA.issue(t, files, ip) },
		func(files settings.TLS) { writeTrustedCAs(t, files, newCA) },
	}
	for _, rotateFiles := range rotation {
		traffic.awaitProgress(minProgress)
		for _, nodeFiles := range files {
			rotateFiles(nodeFiles)
		}
		time.Sleep(reloadWait)
	}
	f.restart(f.agents["model-01"])
	traffic.awaitProgress(minProgress)
	traffic.stopAndWait()
	traffic.checkAllSucceeded(true)
	traffic.checkExecutions()

	assert.Equal(t, http.StatusOK, f.agentHealthStatus(files["entry-1"], true))
	assert.Zero(t, f.agentHealthStatus(oldFiles, true), "the withdrawn authority is still accepted")
	assert.Zero(t, f.agentHealthStatus(files["entry-1"], false), "a caller without certificate is accepted")
}

// agentHealthStatus returns the status of an agent's /healthz for a client that trusts the authorities in files and, if
// sendCertificate is set, sends the certificate in files. It returns 0 if there is no response.
func (f *fleet) agentHealthStatus(files settings.TLS, sendCertificate bool) int {
	config, err := transport.ClientTLSConfig(files)
	require.NoError(f.t, err)
	if !sendCertificate {
		config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return new(tls.Certificate), nil }
	}
	client := transport.NewHTTPClient(config, nil)
	defer client.CloseIdleConnections()
	resp, err := client.Get("https://" + f.internalAddrs["agent-model-02"] + "/healthz")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}
