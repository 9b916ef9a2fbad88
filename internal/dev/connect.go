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

// Dial makes the outgoing connections of one node.
type Dial = func(ctx context.Context, network, addr string) (net.Conn, error)

// EntryConfig configures the module of an entry.
type EntryConfig struct {
	Node                settings.Node
	CallerListenAddr    string
	OperatorTokenHashes []string // NAME=HASH, see operator.ParseToken
	Platform            cloud.Services
	Seeds               []string
	Dial                Dial
	Log                 *logrus.Logger
}

// AgentConfig configures the module of an agent. Exactly one of Engine and Service is set.
type AgentConfig struct {
	Node         settings.Node
	Endpoint     string
	EndpointKind string
	Engine       endpoint.Engine
	Service      endpoint.Service
	Platform     cloud.Services
	Seeds        []string
	Dial         Dial
	Log          *logrus.Logger
}

// Daemons contains the functions that create the modules of the daemons. Both must be set unless Options.OnlyStandins is.
type Daemons struct {
	Entry func(EntryConfig) fx.Option
	Agent func(AgentConfig) fx.Option
}
