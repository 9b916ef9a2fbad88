// Command bilberry-dev runs a whole fleet on loopback with emulators of the platform and of the endpoints.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/internal/dev"
	"github.com/bilberrylink/bilberrylink/internal/settings"
)

type cli struct {
	settings.Log  `embed:""`
	Text          string           `name:"text" default:"examples/workshop.yaml" help:"Configuration text (${default})."`
	Listen        []string         `name:"listen" default:"127.0.0.1:8080,127.0.0.1:8081" help:"host:port of each entry for callers (${default})."`
	StandinListen string           `name:"standin-listen" default:"127.0.0.1:8090" help:"host:port of the emulators and their controls (${default})."`
	TimeScale     float64          `name:"time-scale" default:"1" help:"Divides the emulators' own durations (${default})."`
	Engines       int              `name:"engines" default:"8" help:"Most engines to start, 0 for all (${default})."`
	Policy        string           `name:"policy" default:"least_ttft" enum:"least_ttft,least_requests,round_robin,random" help:"Routing policy of the entries (${enum})."`
	Weights       float64          `name:"weights-per-second" default:"100" help:"Tickets per second of the emulated weight store; with 10, the emulator's own default, a fleet takes about 12 s to start (${default})."`
	OnlyStandins  bool             `name:"only-standins" help:"Serve the emulators only, for daemons in processes of their own."`
	Version       kong.VersionFlag `name:"version" env:"-" help:"Print the version."`
}

// Validate checks the numbers. Kong calls it after parsing.
func (c cli) Validate() error {
	if c.TimeScale <= 0 {
		return errors.New("--time-scale must be positive")
	}
	if c.Engines < 0 {
		return errors.New("--engines must not be negative")
	}
	return nil
}

func main() {
	var c cli
	k := settings.Parse(&c, "bilberry-dev", "Runs a fleet on loopback with emulators of the platform and of the endpoints.")
	k.FatalIfErrorf(run(c))
}

func run(c cli) error {
	log, err := c.Logger(os.Stderr)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(c.Text)
	if err != nil {
		return errors.Wrap(err, "configuration text")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return dev.Run(ctx, dev.Options{Text: text, Listen: c.Listen, StandinListen: c.StandinListen, TimeScale: c.TimeScale,
		Engines: c.Engines, OnlyStandins: c.OnlyStandins, WeightsPerSecond: c.Weights, Daemons: daemons(c.Policy), Log: log, Out: os.Stdout})
}
