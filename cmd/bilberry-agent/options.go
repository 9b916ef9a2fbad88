package main

import (
	"github.com/sirupsen/logrus"

	"github.com/bilberrylink/bilberrylink/cloud/cloudhttp"
	"github.com/bilberrylink/bilberrylink/endpoint/endpointhttp"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/internal/agent"
	"github.com/bilberrylink/bilberrylink/internal/transport"
)

// options returns the agent's options, with HTTP clients of the platform and of the endpoint.
func options(c cli, log *logrus.Logger) agent.Options {
	client := transport.NewHTTPClient(nil, nil)
	opts := agent.Options{Node: c.Node, TLS: c.TLS, Endpoint: c.Endpoint, EndpointKind: c.Kind, Seeds: c.Seeds, Log: log,
		Platform: cloudhttp.New(c.URL, client)}
	if c.Kind == fleet.KindModel {
		opts.Engine = endpointhttp.NewEngine(c.EndpointURL, client)
	} else {
		opts.Service = endpointhttp.NewService(c.EndpointURL, client)
	}
	return opts
}
