package settings

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/sirupsen/logrus"
	"go.uber.org/dig"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
)

// Exit codes of the daemons.
const (
	exitOK      = 0
	exitFailure = 1
)

// heapGrowthPercent keeps the resident memory of a node near 32 MB at rest while it holds a text of 11,000 workspaces. With
// Go's default of 100 an entry stayed at 109 MiB and an agent at 49 MiB after they had parsed it, with 40 at 32 and 27 MiB.
const heapGrowthPercent = 40

// limitHeapGrowth sets the garbage collector's target unless the environment does.
func limitHeapGrowth() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(heapGrowthPercent)
	}
}

// RunDaemon runs a daemon until a signal or a failure ends it, and returns the exit code of the process. It logs why the
// daemon did not start or did not stop cleanly; fx.App.RunDaemon exits without a word when its own log is off.
func RunDaemon(log *logrus.Logger, options ...fx.Option) int {
	limitHeapGrowth()
	quiet := fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger })
	app := fx.New(append(options, quiet)...)
	if err := app.Err(); err != nil {
		log.WithError(dig.RootCause(err)).Error("daemon cannot be set up")
		return exitFailure
	}
	start, cancelStart := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancelStart()
	if err := app.Start(start); err != nil {
		log.WithError(err).Error("daemon did not start")
		return exitFailure
	}
	end := <-app.Wait()
	stop, cancelStop := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancelStop()
	if err := app.Stop(stop); err != nil {
		log.WithError(err).Error("daemon did not stop cleanly")
		return exitFailure
	}
	return max(end.ExitCode, exitOK)
}
