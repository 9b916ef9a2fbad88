// Command bilberry-load generates seeded open-loop load against entries and evaluates the reports of its runs.
package main

import (
	"github.com/alecthomas/kong"

	"github.com/bilberrylink/bilberrylink/internal/load"
	"github.com/bilberrylink/bilberrylink/internal/settings"
	"github.com/bilberrylink/bilberrylink/internal/trial"
)

type cli struct {
	load.Commands
	Recall  trial.RecallCommand  `cmd:"" help:"Recall a name on a running development fleet and report when the last answer from it started."`
	Rollout trial.RolloutCommand `cmd:"" help:"Change a model's version on a running development fleet and report the capacity during the change."`
	Version kong.VersionFlag     `env:"-" help:"Print the version and exit."`
}

func main() {
	var c cli
	kctx := settings.Parse(&c, "bilberry-load", "Seeded open-loop load generator.")
	kctx.FatalIfErrorf(kctx.Run())
}
