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

// relay forwards connections to one node, so that the ones that are open can be made silent.
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
		near, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = near.Close() }()
			far, err := dial(context.Background(), "tcp", r.target)
			if err != nil {
				return
			}
			defer func() { _ = far.Close() }()
			r.forward(near, far)
		}()
	}
}

// forward returns when one side closes. A silent connection reports nothing, so its near side stays open.
func (r *relay) forward(near, far net.Conn) {
	var once sync.Once
	ended := make(chan struct{})
	pipe := func(to io.Writer, from io.Reader) {
		_, _ = io.Copy(to, from) // an end of either side ends both
		once.Do(func() { close(ended) })
	}
	go pipe(far, near)
	go pipe(near, far)
	<-ended
}

// Guards against streams and orders that are lost or run twice when the connections to the agents that carry them go
// silent for good.
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
		traffic.awaitProgress(steady)
		for _, endpoint := range slices.Concat(engines, services) {
			network.Silence("agent-" + endpoint)
		}
	}
	traffic.awaitProgress(steady)
	traffic.end()
	assert.Empty(t, failed(traffic.chats), "chats")
	assert.Empty(t, failed(traffic.lookups), "lookups")
	traffic.checkOnce()
	traffic.checkClear()
	assert.Positive(t, f.resumes(), "no stream was resumed, so the fault had no effect")
}

// authority issues certificates.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
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
	return authority{certificate, key}
}

// issue writes a certificate for ip and its key.
func (a authority) issue(t *testing.T, files settings.TLS, ip string) {
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

// trust writes the authorities that a process accepts.
func trust(t *testing.T, files settings.TLS, authorities ...authority) {
	t.Helper()
	var data []byte
	for _, a := range authorities {
		data = append(data, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.certificate.Raw})...)
	}
	replaceFile(t, files.CAFile, data)
}

// replaceFile replaces a file at once, as an operator should.
func replaceFile(t *testing.T, name string, data []byte) {
	t.Helper()
	require.NoError(t, os.WriteFile(name+".new", data, 0o600))
	require.NoError(t, os.Rename(name+".new", name))
}

func tlsFiles(dir string) settings.TLS {
	return settings.TLS{CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"), CAFile: filepath.Join(dir, "ca.pem")}
}

// rotationStep is longer than the interval at which processes examine their files.
const rotationStep = 1500 * time.Millisecond

// Guards against requests that a rotation of certificates and authorities fails, and against processes that go on to
// accept the withdrawn authority.
func TestCertificateRotation(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	old, next := newAuthority(t), newAuthority(t)
	files := make(map[string]settings.TLS)
	var f *fleet
	ip := fleetIP()
	f = startFleet(t, fleetOptions{ip: ip, tls: func(node string) settings.TLS {
		require.NoError(t, os.Mkdir(filepath.Join(dir, node), 0o700))
		files[node] = tlsFiles(filepath.Join(dir, node))
		old.issue(t, files[node], ip)
		trust(t, files[node], old)
		return files[node]
	}})
	former := tlsFiles(t.TempDir())
	old.issue(t, former, ip)
	trust(t, former, old, next)
	require.Equal(t, http.StatusOK, f.internalStatus(former, true))

	traffic := startTraffic(f)
	steps := []func(settings.TLS){
		func(files settings.TLS) { trust(t, files, old, next) },
		func(files settings.TLS) { next.issue(t, files, ip) },
		func(files settings.TLS) { trust(t, files, next) },
	}
	for _, step := range steps {
		traffic.awaitProgress(steady)
		for _, own := range files {
			step(own)
		}
		time.Sleep(rotationStep)
	}
	f.restart(f.agents["model-01"])
	traffic.awaitProgress(steady)
	traffic.end()
	traffic.checkNoneCutOff(true)
	traffic.checkOnce()

	assert.Equal(t, http.StatusOK, f.internalStatus(files["entry-1"], true))
	assert.Zero(t, f.internalStatus(former, true), "the withdrawn authority is still accepted")
	assert.Zero(t, f.internalStatus(files["entry-1"], false), "a caller without certificate is accepted")
}

// internalStatus returns the status of an agent's /healthz for a caller that trusts the authorities in files and may
// send the certificate in files; 0 without an answer.
func (f *fleet) internalStatus(files settings.TLS, sendCertificate bool) int {
	config, err := transport.ClientTLSConfig(files)
	require.NoError(f.t, err)
	if !sendCertificate {
		config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return new(tls.Certificate), nil }
	}
	client := transport.NewHTTPClient(config, nil)
	defer client.CloseIdleConnections()
	resp, err := client.Get("https://" + f.internal["agent-model-02"] + "/healthz")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}
