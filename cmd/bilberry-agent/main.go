// Command bilberry-agent runs beside one endpoint and decides what it may run now.
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

	Endpoint    string           `name:"endpoint" required:"" help:"Name of the endpoint, as in the operators' text."`
	Kind        string           `name:"endpoint-kind" required:"" enum:"model,plain" help:"What the endpoint is (${enum})."`
	EndpointURL string           `name:"endpoint-url" required:"" help:"Base URL of the engine or plain service beside this process."`
	Seeds       []string         `name:"seeds" help:"host:port of entries' internal listeners, to exchange with first."`
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
	k := settings.Parse(&c, "bilberry-agent", "Sidecar beside a model engine or a plain service.")
	log, err := c.Logger(os.Stderr)
	k.FatalIfErrorf(err)
	os.Exit(settings.RunDaemon(log, agent.Module(options(c, log))))
}
