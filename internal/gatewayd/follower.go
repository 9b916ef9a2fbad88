package gatewayd

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bilberrylink/bilberrylink/exchange"
	"github.com/bilberrylink/bilberrylink/hedge"
	"github.com/bilberrylink/bilberrylink/internal/timing"
	"github.com/bilberrylink/bilberrylink/storewatch"
)

const (
	// followInterval is the interval at which the confirmations of peers are taken over, and a failed fetch is repeated.
	followInterval = 100 * time.Millisecond
	// maxFetchDelay spreads the fetches of a new configuration by the gateways of a circle, so that those that have it early become
	// sources for the others and no small VM sends it to all.
	maxFetchDelay = 100 * time.Millisecond
	// gatewaysInterval is the interval at which a gateway that has not read the list of gateways in the store asks a peer for the others.
	gatewaysInterval = time.Second
	// refetchDelay is the delay after a fetch that failed or brought nothing.
	refetchDelay = 400 * time.Millisecond
	// minPollShare is the shortest long poll, as a share of the longest. Different durations keep the watchers' polls from ending
	// at the same time, so that one of them confirms every few hundred milliseconds.
	minPollShare = 0.5
)

// follower takes configuration, endpoints and confirmations of the store over from peers, and decides when this gateway asks the
// store itself.
type follower struct {
	exchange  *exchange.Exchange
	stateSync *stateSync
	self      storewatch.Gateway
	policy    storewatch.Policy
	log       *logrus.Logger
	client    *exchange.StateClient

	fetchAt    time.Time   // no fetch before this time; used by run only
	gatewaysAt time.Time   // when a peer is asked for the other gateways; used by run only
	listRead   atomic.Bool // the list of gateways in the store has been read

	mu   sync.Mutex
	role storewatch.Role
}

func newFollower(e *exchange.Exchange, s *stateSync, self storewatch.Gateway, log *logrus.Logger) *follower {
	s.gateways = e.Addresses
	return &follower{exchange: e, stateSync: s, self: self, log: log, client: exchange.NewStateClient(nil)}
}

// run follows peers until ctx ends.
func (f *follower) run(ctx context.Context) {
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-f.exchange.PeerVersionsChanged():
		}
		f.follow(ctx)
	}
}

// follow takes over what the peers have confirmed, and fetches what is newer at one of them.
func (f *follower) follow(ctx context.Context) {
	peers := f.exchange.LivePeers()
	if now := time.Now(); !f.listRead.Load() && len(peers) > 0 && !now.Before(f.gatewaysAt) {
		f.gatewaysAt = now.Add(gatewaysInterval)
		f.fetch(ctx, peers[rand.IntN(len(peers))])
	}
	if _, wantsConfig, ok := f.newest(peers); ok && !time.Now().Before(f.fetchAt) {
		if wantsConfig && timing.Sleep(ctx, rand.N(maxFetchDelay)) != nil {
			return
		}
		peers = f.exchange.LivePeers()
		if source, _, ok := f.newest(peers); ok && !f.fetch(ctx, source) {
			f.fetchAt = time.Now().Add(refetchDelay)
		}
	}
	f.takeConfirmations(peers)
}

// newest returns a peer that holds a newer configuration or list of endpoints than this gateway, if there is one. It prefers peers
// of the own circle, and chooses at random among several. wantsConfig reports whether the configuration is newer there.
func (f *follower) newest(peers []exchange.Peer) (source exchange.Peer, wantsConfig, found bool) {
	own := f.stateSync.versions()
	foundNear := false
	for _, i := range rand.Perm(len(peers)) {
		p := peers[i]
		newerConfig := p.Versions.Epoch > own.Epoch
		if !newerConfig && p.Versions.EndpointsChanged <= own.Endpoints {
			continue
		}
		near := f.exchange.IsNear(exchange.Member{Name: p.Name, FailureDomain: p.FailureDomain})
		if better := newerConfig && !wantsConfig || newerConfig == wantsConfig && near && !foundNear; !found || better {
			source, wantsConfig, found, foundNear = p, newerConfig, true, near
		}
	}
	return source, wantsConfig, found
}

// fetch fetches from a peer what this gateway lacks and reports whether that brought anything.
func (f *follower) fetch(ctx context.Context, p exchange.Peer) bool {
	own := f.stateSync.versions()
	state, by, err := f.client.Fetch(ctx, p.Addr, exchange.StateQuery{Epoch: own.Epoch, EndpointsVersion: own.Endpoints,
		WantsGateways: !f.listRead.Load()})
	if err == nil && by == hedge.New {
		f.log.WithFields(logrus.Fields{"event": "peer_connection_silent", "peer": p.Name}).Warn("peer answers on a new connection only")
	}
	if err == nil && len(state.Config) > 0 {
		var config []byte
		if config, err = exchange.Decompress(state.Config); err == nil {
			f.stateSync.updateConfig(config, p.Name, 0)
		}
	}
	if err != nil {
		f.log.WithError(err).WithFields(logrus.Fields{"event": "peer_state", "peer": p.Name}).Info("cannot fetch state from a peer")
		return false
	}
	for _, addr := range state.Gateways {
		if err := f.exchange.AddTarget(addr); err != nil {
			f.log.WithError(err).WithFields(logrus.Fields{"event": "peer_malformed", "peer": p.Name}).Warn("invalid address of a gateway")
		}
	}
	if state.Endpoints.Version > own.Endpoints {
		f.stateSync.applyEndpointsOfPeer(state.Endpoints, p.Name)
	}
	now := f.stateSync.versions()
	return now.Epoch > own.Epoch || now.Endpoints > own.Endpoints
}

// takeConfirmations takes over the confirmations of peers that hold nothing newer than this gateway.
func (f *follower) takeConfirmations(peers []exchange.Peer) {
	own := f.stateSync.versions()
	for _, p := range peers {
		v := p.Versions
		if v.ConfirmedAt.IsZero() {
			continue
		}
		if v.Epoch <= own.Epoch {
			f.stateSync.config.MarkConfirmed(v.ConfirmedAt)
		}
		if v.EndpointsChanged <= own.Endpoints {
			f.stateSync.confirmEndpoints(v.ConfirmedAt)
		}
		if v.StoreReachable {
			f.stateSync.registry.ObserveStoreUp(v.ConfirmedAt, v.OutageEndedAt)
		}
	}
}

// awaitTurn returns a function that blocks until this gateway has to ask the store for the changes of a table, and returns for how
// long the store may hold the call open, at most longestPoll.
func (f *follower) awaitTurn(longestPoll time.Duration) func(context.Context) (time.Duration, error) {
	askedAt := time.Now()
	return func(ctx context.Context) (time.Duration, error) {
		for {
			view := f.view(askedAt)
			role := f.policy.RoleOf(view)
			f.logRole(role)
			if f.policy.ShouldAsk(view) {
				askedAt = time.Now()
				if role == storewatch.Watcher {
					return longestPoll - rand.N(time.Duration(float64(longestPoll)*(1-minPollShare))), nil
				}
				return 0, nil
			}
			if err := timing.Sleep(ctx, timing.Jitter(followInterval, 0.5)); err != nil {
				return 0, err
			}
		}
	}
}

// view returns what this gateway knows. askedAt is when it last asked the store.
func (f *follower) view(askedAt time.Time) storewatch.View {
	v := storewatch.View{Self: f.self, Confirmation: time.Since(f.stateSync.confirmedAt()), SinceAsked: time.Since(askedAt)}
	v.Self.StoreReachable = f.stateSync.storeReachable()
	for _, p := range f.exchange.LivePeers() {
		v.Peers = append(v.Peers, storewatch.Gateway{
			Name: p.Name, FailureDomain: p.FailureDomain, StoreReachable: p.Versions.StoreReachable,
		})
	}
	return v
}

func (f *follower) logRole(role storewatch.Role) {
	f.mu.Lock()
	changed := role != f.role
	f.role = role
	f.mu.Unlock()
	if changed {
		f.log.WithFields(logrus.Fields{"event": "store_role", "role": role}).Info("role in watching the store has changed")
	}
}
