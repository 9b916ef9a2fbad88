package main

import (
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/bilberrylink/bilberrylink/endpoint/endpointhttp"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/internal/agent"
	"github.com/bilberrylink/bilberrylink/platform/platformhttp"
)

// options connects the process's settings with the clients of the platform and of the endpoint.
func options(c cli, log *logrus.Logger) agent.Options {
	opts := agent.Options{Node: c.Node, TLS: c.TLS, Endpoint: c.Endpoint, EndpointKind: c.Kind, Seeds: c.Seeds, Log: log,
		Services: platformhttp.New(c.URL, http.DefaultClient)}
	if c.Kind == fleet.KindModel {
		opts.Engine = endpointhttp.NewEngine(c.EndpointURL, http.DefaultClient)
	} else {
		opts.Service = endpointhttp.NewService(c.EndpointURL, http.DefaultClient)
	}
	return opts
}
