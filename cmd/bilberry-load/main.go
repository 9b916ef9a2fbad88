// Command bilberry-load generates seeded open-loop load against entries and evaluates reports of such runs.
package main

import (
	"github.com/alecthomas/kong"

	"github.com/bilberrylink/bilberrylink/internal/load"
	"github.com/bilberrylink/bilberrylink/internal/settings"
)

type cli struct {
	load.Commands
	Version kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var c cli
	ctx := settings.Parse(&c, "bilberry-load", "Seeded open-loop load generator.")
	ctx.FatalIfErrorf(ctx.Run())
}
