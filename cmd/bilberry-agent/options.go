package main

import (
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bilberrylink/bilberrylink/internal/agent"
)

// options connects the process's settings with the clients of the platform and of the endpoint.
func options(c cli, log *logrus.Logger) (agent.Options, error) {
	opts := agent.Options{Node: c.Node, TLS: c.TLS, Endpoint: c.Endpoint, EndpointKind: c.Kind, Seeds: c.Seeds, Log: log}
	return opts, connect(c, &opts)
}

// connect sets the clients of platformhttp and endpointhttp.
func connect(cli, *agent.Options) error {
	return errors.New("clients of the platform and the endpoint are not connected")
}
