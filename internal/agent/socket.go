package agent

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/bilberrylink/bilberrylink/internal/settings"
)

// userTimeout ends a connection whose peer acknowledges nothing for this long. Without it the kernel keeps sending to a
// failed VM for about 15 minutes, and the memory of its streams stays reserved.
const userTimeout = 10 * time.Second

// setUserTimeout sets TCP_USER_TIMEOUT; accepted connections inherit it from the listener.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	err := conn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Wrap(err, "listener socket")
	}
	return errors.Wrap(optionErr, "set TCP_USER_TIMEOUT")
}

// serverTLS returns the configuration of mutual TLS. The files are read again for a handshake after they have changed.
func serverTLS(files settings.TLS) (*tls.Config, error) {
	loader := &tlsLoader{files: files}
	if _, err := loader.config(nil); err != nil {
		return nil, err
	}
	return &tls.Config{GetConfigForClient: loader.config, MinVersion: tls.VersionTLS13}, nil
}

type tlsLoader struct {
	files  settings.TLS
	mu     sync.Mutex
	stamp  [3]time.Time
	loaded *tls.Config
}

func (l *tlsLoader) config(*tls.ClientHelloInfo) (*tls.Config, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	stamp := l.modified()
	if l.loaded != nil && stamp == l.stamp {
		return l.loaded, nil
	}
	fresh, err := loadTLS(l.files)
	if err != nil && l.loaded != nil {
		return l.loaded, nil // a rotation is not complete yet
	}
	if err != nil {
		return nil, err
	}
	l.loaded, l.stamp = fresh, stamp
	return fresh, nil
}

func (l *tlsLoader) modified() (stamp [3]time.Time) {
	for i, name := range []string{l.files.CertFile, l.files.KeyFile, l.files.CAFile} {
		if info, err := os.Stat(name); err == nil {
			stamp[i] = info.ModTime()
		}
	}
	return stamp
}

func loadTLS(files settings.TLS) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "load certificate")
	}
	pem, err := os.ReadFile(files.CAFile)
	if err != nil {
		return nil, errors.Wrap(err, "read certificate authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("no certificate in %s", files.CAFile)
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13}, nil
}
