// Command bilberry-gateway is the gateway daemon that serves callers on the users' platform.
package main

import (
	"context"
	"os"

	"github.com/alecthomas/kong"

	"github.com/bilberrylink/bilberrylink/internal/gatewayd"
	"github.com/bilberrylink/bilberrylink/internal/logsink"
	"github.com/bilberrylink/bilberrylink/internal/settings"
	"github.com/bilberrylink/bilberrylink/platform"
)

type cli struct {
	LogLevel string           `name:"log-level" default:"info" enum:"debug,info,warn,error" help:"Least severe level that is logged (${enum})."`
	Settings string           `name:"settings" env:"${settings_variable}" required:"" help:"Path of the platform's settings file."`
	Check    bool             `name:"check" help:"Check the settings and exit."`
	Version  kong.VersionFlag `name:"version" env:"-" help:"Print the version and exit."`
}

func main() {
	var c cli
	kctx := kong.Parse(&c, append(settings.KongOptions("bilberry-gateway", "Gateway of a bilberrylink fleet on the users' platform."),
		kong.Vars{"settings_variable": platform.SettingsVariable})...)
	log, err := settings.Log{Level: c.LogLevel, Format: "json"}.Logger(logsink.New(context.Background(), os.Stdout))
	kctx.FatalIfErrorf(err)
	s, err := platform.LoadSettings(c.Settings)
	kctx.FatalIfErrorf(err)
	if c.Check {
		return
	}
	os.Exit(settings.RunDaemon(log, gatewayd.Module(gatewayd.Options{Settings: s, SettingsPath: c.Settings, Log: log})))
}
