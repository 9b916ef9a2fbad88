package settings

import (
	"bytes"
	"context"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"go.uber.org/fx"
)

// An operator's mistake must be named at the start instead of showing later as a node that nobody reaches.
func TestWrongSettingsNameTheFlag(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		flag string
	}{
		"no port":          {Node{Listen: "127.0.0.1"}.Validate(), "--listen-internal"},
		"port name":        {Node{Listen: "127.0.0.1:http"}.Validate(), "--listen-internal"},
		"any address":      {Node{Listen: "0.0.0.0:7000"}.Validate(), "--advertise"},
		"no host":          {Node{Listen: ":7000"}.Validate(), "--advertise"},
		"advertised":       {Node{Listen: ":7000", Advertise: "vm"}.Validate(), "--advertise"},
		"half of TLS":      {TLS{CertFile: "cert.pem", KeyFile: "key.pem"}.Validate(), "--tls-ca"},
		"platform":         {Platform{URL: "platform:8090"}.Validate(), "--platform-url"},
		"platform, scheme": {Platform{URL: "ftp://platform"}.Validate(), "--platform-url"},
	} {
		require.ErrorContains(t, test.err, test.flag, name)
	}
	require.NoError(t, Node{Listen: ":7000", Advertise: "10.0.0.1:7000"}.Validate())
	require.NoError(t, Platform{URL: "http://127.0.0.1:8090"}.Validate())
}

// A daemon that cannot start must say why and exit with a failure.
func TestRunReportsFailedStart(t *testing.T) {
	cause := errors.New("address in use")
	for name, option := range map[string]fx.Option{
		"setup": fx.Invoke(func() error { return cause }),
		"start": fx.Invoke(func(lc fx.Lifecycle) {
			lc.Append(fx.Hook{OnStart: func(context.Context) error { return cause }})
		}),
	} {
		var out bytes.Buffer
		log := logrus.New()
		log.SetOutput(&out)
		require.Equal(t, exitFailure, RunDaemon(log, option), name)
		require.Contains(t, out.String(), cause.Error(), name)
	}
}

// Guards against a missing flag that is reported as a malformed one.
func TestMissingFlagsAreNamed(t *testing.T) {
	var cli struct {
		Node
		Platform
	}
	parser, err := kong.New(&cli, KongOptions("test", "test")...)
	require.NoError(t, err)
	_, err = parser.Parse(nil)
	require.ErrorContains(t, err, "missing flags")
	require.ErrorContains(t, err, "--platform-url")
}
