package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/fx"
)

// stopTimeout bounds a graceful stop. It leaves time for an attempt with the longest deadline.
const stopTimeout = maxDeadline + time.Minute

// defaultPeer constructs the exchange loop when Options.Peer is nil.
func defaultPeer(PeerParams) (Peer, error) {
	return nil, errors.New("agent: Options.Peer is required")
}

// Module returns a complete agent: constructors, background duties and the internal listener.
func Module(opts Options) fx.Option {
	return fx.Options(
		fx.StopTimeout(stopTimeout),
		fx.Supply(opts),
		fx.Provide(New),
		fx.Invoke(register),
	)
}

func register(lc fx.Lifecycle, shutdown fx.Shutdowner, a *Agent) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return a.Start(func(error) { _ = shutdown.Shutdown(fx.ExitCode(1)) }) },
		OnStop:  a.Stop,
	})
}
