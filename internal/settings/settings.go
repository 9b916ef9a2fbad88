// Package settings holds the flags and environment variables that the daemons share. They give a process its name,
// addresses, failure domain and credentials; the fleet itself is described by the operators' text alone.
package settings

import (
	"io"
	"net"
	"net/url"
	"os"
	"runtime/debug"
	"strconv"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// Version is the program's version, set at link time; without it the version of the build information is used.
var Version = ""

// EnvPrefix starts the names of all environment variables.
const EnvPrefix = "BILBERRY"

// Log configures structured logs.
type Log struct {
	Level  string `name:"log-level" default:"info" enum:"debug,info,warn,error" help:"Least severe level that is logged (${enum})."`
	Format string `name:"log-format" default:"text" enum:"text,json" help:"Log format (${enum})."`
}

// Logger returns a logger that writes to w.
func (l Log) Logger(w io.Writer) (*logrus.Logger, error) {
	level, err := logrus.ParseLevel(l.Level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(level)
	if l.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	return log, nil
}

// Node identifies a process within the fleet.
type Node struct {
	Name          string `name:"name" required:"" help:"Unique name of this node, as in the platform's VM list."`
	FailureDomain string `name:"failure-domain" required:"" help:"Failure domain of this VM, as in the operators' text."`
	Listen        string `name:"listen-internal" required:"" help:"host:port for the system's own processes."`
	Advertise     string `name:"advertise" help:"host:port by which other nodes reach this one (default: --listen-internal)."`
}

// Validate checks the addresses. Kong calls it after parsing.
func (n Node) Validate() error {
	if n.Listen == "" {
		return nil // kong reports missing flags after it has validated the given ones
	}
	if err := CheckAddr("--listen-internal", n.Listen); err != nil {
		return err
	}
	host, _, _ := net.SplitHostPort(n.Listen) // checked above
	if n.Advertise != "" {
		return CheckAddr("--advertise", n.Advertise)
	}
	if ip := net.ParseIP(host); host == "" || ip.IsUnspecified() {
		return errors.Errorf("--listen-internal %s names no address that other nodes can reach; add --advertise", n.Listen)
	}
	return nil
}

// CheckAddr returns an error that names the flag unless addr is host:port with a port number.
func CheckAddr(flag, addr string) error {
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return errors.Errorf("%s must be host:port, not %q", flag, addr)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return errors.Errorf("%s %q: the port must be a number from 0 to 65535", flag, addr)
	}
	return nil
}

// CheckURL returns an error that names the flag unless raw is an absolute HTTP URL or missing.
func CheckURL(flag, raw string) error {
	if raw == "" {
		return nil // kong reports missing flags after it has validated the given ones
	}
	u, err := url.Parse(raw)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return errors.Errorf("%s must be a URL such as http://127.0.0.1:8090, not %q", flag, raw)
	}
	return nil
}

// Addr returns the address by which other nodes reach this one.
func (n Node) Addr() string {
	if n.Advertise != "" {
		return n.Advertise
	}
	return n.Listen
}

// TLS names the files of the mutual TLS between the system's own processes. All three or none must be given.
type TLS struct {
	CertFile string `name:"tls-cert" type:"path" help:"Certificate of this process (PEM); reread when it changes."`
	KeyFile  string `name:"tls-key" type:"path" help:"Private key of this process (PEM)."`
	CAFile   string `name:"tls-ca" type:"path" help:"Certificate authorities of the system's processes (PEM)."`
}

// Enabled reports whether mutual TLS is configured.
func (t TLS) Enabled() bool { return t.CertFile != "" }

// Validate checks that all files or none are given. Kong calls it after parsing.
func (t TLS) Validate() error {
	given := 0
	for _, f := range []string{t.CertFile, t.KeyFile, t.CAFile} {
		if f != "" {
			given++
		}
	}
	if given != 0 && given != 3 {
		return errors.New("--tls-cert, --tls-key and --tls-ca must be given together")
	}
	return nil
}

// Platform locates the platform's services.
type Platform struct {
	URL string `name:"platform-url" required:"" help:"Base URL of the platform's table, object store, weight store and VM list."`
}

// Validate checks the URL. Kong calls it after parsing.
func (p Platform) Validate() error { return CheckURL("--platform-url", p.URL) }

// Parse fills cli from the command line and the environment, or exits with a message.
func Parse(cli any, name, description string) *kong.Context {
	return kong.Parse(cli, KongOptions(name, description)...)
}

// KongOptions returns the kong options common to all programs.
func KongOptions(name, description string) []kong.Option {
	return []kong.Option{
		kong.Name(name),
		kong.Description(description),
		kong.DefaultEnvars(EnvPrefix),
		kong.Vars{"version": name + " " + buildVersion()},
		kong.UsageOnError(),
		kong.Writers(os.Stdout, os.Stderr),
	}
}

func buildVersion() string {
	if Version != "" {
		return Version
	}
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}
