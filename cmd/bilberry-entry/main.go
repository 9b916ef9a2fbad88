// Command bilberry-entry runs on an entry VM: HTTP for callers and operators, admission, routing and retries.
package main

import (
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/bilberrylink/bilberrylink/internal/entry"
	"github.com/bilberrylink/bilberrylink/internal/operator"
	"github.com/bilberrylink/bilberrylink/internal/settings"
)

type cli struct {
	settings.Log
	settings.Node
	settings.TLS
	settings.Platform
	CallersListen       string           `name:"listen" default:":8080" help:"host:port for callers and operators."`
	OperatorTokenHashes []string         `name:"operator-token-hash" help:"NAME=HASH or HASH of an operators' token; HASH is hex SHA-256, NAME goes into the audit trail; repeatable."`
	Seeds               []string         `name:"seed" help:"host:port of another node's internal listener; repeatable."`
	Policy              string           `name:"policy" default:"least_ttft" enum:"least_ttft,least_requests,round_robin,random" help:"Routing policy (${enum})."`
	BalancerLag         time.Duration    `name:"balancer-lag" default:"5s" help:"Time from a failing /readyz until the load balancer sends nothing more."`
	DrainTimeout        time.Duration    `name:"drain-timeout" default:"10m" help:"Longest wait for streams to finish at a stop."`
	Version             kong.VersionFlag `name:"version" help:"Print the version and exit."`
}

// Validate implements kong's hook.
func (c *cli) Validate() error {
	for _, text := range c.OperatorTokenHashes {
		if _, _, err := operator.ParseToken(text); err != nil {
			return errors.Wrap(err, "--operator-token-hash")
		}
	}
	return nil
}

func main() {
	var c cli
	kctx := settings.Parse(&c, "bilberry-entry", "Entry of a bilberrylink fleet.")
	log, err := c.Logger(os.Stderr)
	kctx.FatalIfErrorf(err)
	fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		entry.Module(entry.Options{
			Node:                c.Node,
			TLS:                 c.TLS,
			CallersListen:       c.CallersListen,
			OperatorTokenHashes: c.OperatorTokenHashes,
			Services:            platformServices(c.URL, http.DefaultClient),
			Seeds:               c.Seeds,
			Log:                 log,
			Policy:              c.Policy,
			BalancerLag:         c.BalancerLag,
			DrainTimeout:        c.DrainTimeout,
		}),
	).Run()
}
