package main

import (
	"time"

	"go.uber.org/fx"

	"github.com/bilberrylink/bilberrylink/internal/agent"
	"github.com/bilberrylink/bilberrylink/internal/dev"
	"github.com/bilberrylink/bilberrylink/internal/entry"
)

// balancerLag is short because there is no load balancer in front of a development fleet.
const balancerLag = 100 * time.Millisecond

// daemons returns the functions that create the modules of entries and agents.
func daemons(policy string) dev.Daemons {
	return dev.Daemons{
		Entry: func(c dev.EntryConfig) fx.Option {
			return entry.Module(entry.Options{Node: c.Node, CallerListenAddr: c.CallerListenAddr,
				OperatorTokenHashes: c.OperatorTokenHashes, Platform: c.Platform, Seeds: c.Seeds, Dial: c.Dial, Log: c.Log,
				Policy: policy, BalancerLag: balancerLag})
		},
		Agent: func(c dev.AgentConfig) fx.Option {
			return agent.Module(agent.Options{Node: c.Node, Endpoint: c.Endpoint, EndpointKind: c.EndpointKind,
				Engine: c.Engine, Service: c.Service, Platform: c.Platform, Seeds: c.Seeds, Dial: c.Dial, Log: c.Log})
		},
	}
}
