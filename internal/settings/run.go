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

// gcPercent is the GOGC value of the daemons. It keeps the resident memory of an idle node near 32 MB: after parsing a
// configuration text of 11,000 workspaces, an entry used 32 MiB and an agent 27 MiB; with Go's default of 100 they used
// 109 MiB and 49 MiB.
const gcPercent = 40

// setGCPercent applies gcPercent unless the environment variable GOGC is set.
func setGCPercent() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}

// RunDaemon runs a daemon until a signal or a failure ends it, and returns the exit code of the process. It logs why the
// daemon failed to start or to stop cleanly, which fx.App.Run would not report with its own log disabled.
func RunDaemon(log *logrus.Logger, options ...fx.Option) int {
	setGCPercent()
	noFxLog := fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger })
	app := fx.New(append(options, noFxLog)...)
	if err := app.Err(); err != nil {
		log.WithError(dig.RootCause(err)).Error("failed to set up the daemon")
		return exitFailure
	}
	startCtx, cancelStart := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancelStart()
	if err := app.Start(startCtx); err != nil {
		log.WithError(err).Error("failed to start the daemon")
		return exitFailure
	}
	shutdown := <-app.Wait()
	stopCtx, cancelStop := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancelStop()
	if err := app.Stop(stopCtx); err != nil {
		log.WithError(err).Error("failed to stop the daemon cleanly")
		return exitFailure
	}
	return max(shutdown.ExitCode, exitOK)
}
