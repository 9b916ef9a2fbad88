// Command bilberry-dev runs a complete fleet on loopback, with emulators of the platform and the endpoints.
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
	Listen        []string         `name:"listen" default:"127.0.0.1:8080,127.0.0.1:8081" help:"host:port for callers, one for each entry (${default})."`
	StandinListen string           `name:"standin-listen" default:"127.0.0.1:8090" help:"host:port of the emulators and their control interface (${default})."`
	TimeScale     float64          `name:"time-scale" default:"1" help:"Speedup of the emulators; divides their durations and multiplies their rates (${default})."`
	Engines       int              `name:"engines" default:"8" help:"Maximum number of engines to start; 0 starts all (${default})."`
	Policy        string           `name:"policy" default:"least_ttft" enum:"least_ttft,least_requests,round_robin,random" help:"Routing policy of the entries (${enum})."`
	Weights       float64          `name:"weights-per-second" default:"100" help:"Tickets per second of the emulated weight store; at 10, the emulator's default, a fleet takes about 12 s to start (${default})."`
	OnlyStandins  bool             `name:"only-standins" help:"Serve only the emulators, for daemons that run as separate processes."`
	Version       kong.VersionFlag `name:"version" env:"-" help:"Print the version and exit."`
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
	kctx := settings.Parse(&c, "bilberry-dev", "Runs a fleet on loopback with emulators of the platform and the endpoints.")
	kctx.FatalIfErrorf(run(c))
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
