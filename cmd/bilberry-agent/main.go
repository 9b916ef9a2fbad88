// Command bilberry-agent is the sidecar daemon of one endpoint. It controls which work the endpoint runs.
package main

import (
	"os"

	"github.com/alecthomas/kong"

	"github.com/bilberrylink/bilberrylink/internal/agent"
	"github.com/bilberrylink/bilberrylink/internal/settings"
)

type cli struct {
	settings.Node
	settings.TLS
	settings.Log
	settings.Platform

	Endpoint    string           `name:"endpoint" required:"" help:"Name of the endpoint in the configuration text."`
	Kind        string           `name:"endpoint-kind" required:"" enum:"model,plain" help:"Kind of the endpoint (${enum})."`
	EndpointURL string           `name:"endpoint-url" required:"" help:"Base URL of the engine or plain service that this agent controls."`
	Seeds       []string         `name:"seeds" help:"host:port of entries' internal listeners for the first exchanges."`
	Version     kong.VersionFlag `name:"version" env:"-" help:"Print the version and exit."`
}

// Validate checks the addresses. Kong calls it after parsing.
func (c cli) Validate() error {
	for _, seed := range c.Seeds {
		if err := settings.CheckAddr("--seeds", seed); err != nil {
			return err
		}
	}
	return settings.CheckURL("--endpoint-url", c.EndpointURL)
}

func main() {
	var c cli
	kctx := settings.Parse(&c, "bilberry-agent", "Sidecar of a model engine or a plain service.")
	log, err := c.Logger(os.Stderr)
	kctx.FatalIfErrorf(err)
	os.Exit(settings.RunDaemon(log, agent.Module(options(c, log))))
}
