package dev

import (
	"context"
	"net"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/internal/settings"
)

// Dial is the dialer of one node.
type Dial = func(ctx context.Context, network, addr string) (net.Conn, error)

// EntryConfig is what an entry needs.
type EntryConfig struct {
	Node                settings.Node
	CallersListen       string
	OperatorTokenHashes []string // NAME=HASH, see operator.ParseToken
	Services            cloud.Services
	Seeds               []string
	Dial                Dial
	Log                 *logrus.Logger
}

// AgentConfig is what an agent needs. Exactly one of Engine and Service is set.
type AgentConfig struct {
	Node         settings.Node
	Endpoint     string
	EndpointKind string
	Engine       endpoint.Engine
	Service      endpoint.Service
	Services     cloud.Services
	Seeds        []string
	Dial         Dial
	Log          *logrus.Logger
}

// Daemons makes the modules of the daemons. Both functions must be set unless only the emulators run.
type Daemons struct {
	Entry func(EntryConfig) fx.Option
	Agent func(AgentConfig) fx.Option
}
