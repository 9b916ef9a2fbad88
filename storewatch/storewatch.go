// Package storewatch decides which gateways ask the platform's store for changes. A few gateways of each failure domain, the
// watchers, do; the others follow: they take changes, and the confirmation that there were none, from other gateways.
//
// It is designed for hundreds of gateways before a store whose calls are billed: when each of 103 gateways polled by itself, these
// calls were the largest cost of a day, and one changed row was read 103 times.
package storewatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultWatchersPerDomain is the number of watchers of a failure domain. One may fail without a delay for the others.
	DefaultWatchersPerDomain = 2
	// minFollowedFleet is the smallest fleet in which gateways follow. In a smaller one nearly all would be watchers.
	minFollowedFleet = 9
	// DefaultMaxAge is the age of the newest confirmation of the store known to a gateway from which it asks the store itself. All
	// watchers of a fleet together confirm several times a second; without them a change must still be in force within the few
	// seconds that platforms allow.
	DefaultMaxAge = 2200 * time.Millisecond
	// DefaultProbeInterval is the interval at which a gateway that is not a watcher asks a store that did not answer it, or that
	// answers nobody.
	DefaultProbeInterval = 3 * time.Second
)

// Gateway is a gateway as others know it.
type Gateway struct {
	Name           string
	FailureDomain  string
	StoreReachable bool // whether its latest calls to the store succeeded
}

// View is what a gateway knows when it decides.
type View struct {
	Self         Gateway
	Peers        []Gateway     // the live ones
	Confirmation time.Duration // age of the newest confirmation of the store, its own or that of a peer
	SinceAsked   time.Duration // time since this gateway last asked the store
}

// Policy decides whether a gateway asks the store. Zero fields have the defaults of this package.
type Policy struct {
	WatchersPerDomain int
	MaxAge            time.Duration
	ProbeInterval     time.Duration
}

// WithDefaults returns the policy with defaults for zero fields.
func (p Policy) WithDefaults() Policy {
	if p.WatchersPerDomain == 0 {
		p.WatchersPerDomain = DefaultWatchersPerDomain
	}
	if p.MaxAge == 0 {
		p.MaxAge = DefaultMaxAge
	}
	if p.ProbeInterval == 0 {
		p.ProbeInterval = DefaultProbeInterval
	}
	return p
}

// Role is the part of a gateway in watching the store.
type Role string

const (
	Watcher  Role = "watcher"  // asks the store all the time
	Prober   Role = "prober"   // asks the store now and then, since it or the watchers do not reach it
	Follower Role = "follower" // follows other gateways
)

// RoleOf returns the role of the gateway with the view.
func (p Policy) RoleOf(v View) Role {
	p = p.WithDefaults()
	switch {
	case len(v.Peers)+1 < minFollowedFleet || p.isWatcher(v):
		return Watcher
	case !v.Self.StoreReachable || v.Confirmation > p.MaxAge:
		return Prober
	}
	return Follower
}

// ShouldAsk reports whether the gateway with the view asks the store now.
func (p Policy) ShouldAsk(v View) bool {
	p = p.WithDefaults()
	switch p.RoleOf(v) {
	case Watcher:
		return true
	case Prober:
		return v.SinceAsked >= p.ProbeInterval
	}
	return false
}

// isWatcher reports whether the gateway is among the first of its failure domain, in an order by the hashes of the names that is
// the same everywhere. A gateway that reaches the store passes over those that do not. One that does not is compared with all, so
// that only the first ones keep asking in an outage.
func (p Policy) isWatcher(v View) bool {
	before, own := 0, rank(v.Self)
	for _, peer := range v.Peers {
		if peer.FailureDomain != v.Self.FailureDomain || v.Self.StoreReachable && !peer.StoreReachable {
			continue
		}
		if rank(peer) < own {
			before++
		}
	}
	return before < p.WatchersPerDomain
}

func rank(g Gateway) uint64 { return xxhash.Sum64String(g.FailureDomain + "\x00" + g.Name) }
