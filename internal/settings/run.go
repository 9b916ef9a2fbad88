package settings

import (
	"context"

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

// Run runs a daemon until a signal or a failure ends it, and returns the exit code of the process. It logs why the
// daemon did not start or did not stop cleanly; fx.App.Run exits without a word when its own log is off.
func Run(log *logrus.Logger, options ...fx.Option) int {
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
