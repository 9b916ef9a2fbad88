package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/fx"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/epoch"
	"github.com/bilberrylink/bilberrylink/internal/transport"
	"github.com/bilberrylink/bilberrylink/membership"
	"github.com/bilberrylink/bilberrylink/peer"
)

// stopTimeout bounds a graceful stop. It leaves enough time for an attempt with the longest deadline.
const stopTimeout = maxDeadline + time.Minute

// exchangePeer adapts peer.Peer, whose methods return concrete types, to Peer.
type exchangePeer struct{ *peer.Peer }

// Epochs implements Peer.
func (p exchangePeer) Epochs() epoch.View { return p.Peer.EpochStore() }

// Members implements Peer.
func (p exchangePeer) Members() membership.View { return p.Peer.Members() }

// WaitForEpoch implements Peer.
func (p exchangePeer) WaitForEpoch(ctx context.Context, wantedEpoch int64) error {
	return p.CatchUp(ctx, wantedEpoch)
}

// defaultPeer is the default of Options.NewPeer. It constructs a Peer of package peer.
func defaultPeer(params PeerParams) (Peer, error) {
	o := params.Options
	config, err := transport.ClientTLSConfig(o.TLS)
	if err != nil {
		return nil, errors.Wrap(err, "TLS configuration of the exchange")
	}
	p, err := peer.New(peer.Options{
		Name:             o.Node.Name,
		Addr:             o.Node.Addr(),
		FailureDomain:    o.Node.FailureDomain,
		Role:             cloud.RoleAgent,
		Endpoint:         o.Endpoint,
		EndpointKind:     o.EndpointKind,
		Incarnation:      params.Incarnation,
		Seeds:            o.Seeds,
		Services:         o.Platform,
		Client:           transport.PeerClients(transport.NewHTTPClient(config, o.Dial), o.TLS.Enabled()),
		FillRecord:       params.FillRecord,
		WatchedEndpoints: params.WatchedEndpoints,
		Log:              o.Log,
		Registerer:       o.Registry,
	})
	if err != nil {
		return nil, err
	}
	return exchangePeer{p}, nil
}

// Module returns the fx module of a complete agent with its background tasks and internal listener.
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
