// Command bilberry-entry is the daemon of an entry VM. It serves callers and operators over HTTP and is responsible for
// admission, routing and retries.
package main

import (
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/cloud/cloudhttp"
	"github.com/bilberrylink/bilberrylink/internal/entry"
	"github.com/bilberrylink/bilberrylink/internal/operator"
	"github.com/bilberrylink/bilberrylink/internal/settings"
	"github.com/bilberrylink/bilberrylink/internal/transport"
)

type cli struct {
	settings.Log
	settings.Node
	settings.TLS
	settings.Platform
	CallerListenAddr    string           `name:"listen" default:":8080" help:"host:port for callers and operators."`
	OperatorTokenHashes []string         `name:"operator-token-hash" help:"NAME=HASH or HASH of an operator token; HASH is its hex SHA-256, NAME appears in the audit trail; repeatable."`
	Seeds               []string         `name:"seeds" aliases:"seed" help:"host:port of other entries' internal listeners for the first exchanges."`
	Policy              string           `name:"policy" default:"least_ttft" enum:"least_ttft,least_requests,round_robin,random" help:"Routing policy (${enum})."`
	BalancerLag         time.Duration    `name:"balancer-lag" default:"5s" help:"Time from /readyz failing until the load balancer sends no more requests."`
	DrainTimeout        time.Duration    `name:"drain-timeout" default:"10m" help:"Maximum time to wait for streams to finish on shutdown."`
	MemoryMB            int64            `name:"memory-mb" help:"Memory of this VM in MB, from which the bounds for callers follow; 0: none."`
	MaxFds              int              `name:"max-fds" help:"File descriptors of this process, from which the bound for connections follows; 0: none."`
	Version             kong.VersionFlag `name:"version" env:"-" help:"Print the version and exit."`
}

// Validate checks the addresses, the token hashes and the durations. Kong calls it after parsing.
func (c cli) Validate() error {
	if err := settings.CheckAddr("--listen", c.CallerListenAddr); err != nil {
		return err
	}
	for _, seed := range c.Seeds {
		if err := settings.CheckAddr("--seeds", seed); err != nil {
			return err
		}
	}
	for _, text := range c.OperatorTokenHashes {
		if _, _, err := operator.ParseToken(text); err != nil {
			return errors.Wrap(err, "--operator-token-hash")
		}
	}
	if c.MemoryMB < 0 || c.MaxFds < 0 {
		return errors.New("--memory-mb and --max-fds must not be negative")
	}
	if c.BalancerLag < 0 || c.DrainTimeout < 0 {
		return errors.New("--balancer-lag and --drain-timeout must not be negative")
	}
	return nil
}

func main() {
	var c cli
	kctx := settings.Parse(&c, "bilberry-entry", "Entry of a bilberrylink fleet.")
	log, err := c.Logger(os.Stderr)
	kctx.FatalIfErrorf(err)
	os.Exit(settings.RunDaemon(log, entry.Module(entry.Options{
		Node:                c.Node,
		TLS:                 c.TLS,
		CallerListenAddr:    c.CallerListenAddr,
		OperatorTokenHashes: c.OperatorTokenHashes,
		Platform:            cloudhttp.New(c.URL, transport.NewHTTPClient(nil, nil)),
		Seeds:               c.Seeds,
		MemoryBytes:         c.MemoryMB << 20,
		MaxFds:              c.MaxFds,
		Log:                 log,
		Policy:              c.Policy,
		BalancerLag:         c.BalancerLag,
		DrainTimeout:        c.DrainTimeout,
	})))
}
