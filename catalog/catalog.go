// Package catalog holds the operator's configuration as the gateway uses it: routes, services and the workspaces that own
// API keys. A Snapshot is one immutable version of it.
package catalog

import (
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/bilberrylink/bilberrylink/engine"
)

// Kind tells whether a request of a route may be executed more than once.
type Kind int

const (
	NonIdempotent Kind = iota // at most once for each attempt of the caller
	Idempotent                // any number of times
	Stream                    // the response is a stream of events; at most once unless the route is resumable
)

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	return [...]string{"non_idempotent", "idempotent", "stream"}[k]
}

// WeightedService is a service of a route and its share of the route's traffic, relative to the other weights.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route tells which requests go to which services, and within which limits.
type Route struct {
	Name          string
	Host          string // lower case, no port
	Prefix        string // path prefix, begins and ends with a slash
	Kind          Kind
	Timeout       time.Duration // from the arrival of a request to the end of its response; 0: unlimited
	LatencyTarget time.Duration // for the response, or for the first event of a stream
	GapTarget     time.Duration // for the time between two events; streams only
	MaxAttempts   int           // number of times that one request may be sent to an endpoint
	Public        bool          // needs no API key
	Resumable     bool          // a broken stream may be resumed at another endpoint
	TrafficSplit  []WeightedService
}

// Retryable reports whether a request of the route may be executed more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// PickService returns the service for x by the traffic split. x is a uniform random number in [0, 1).
func (r *Route) PickService(x float64) string {
	totalWeight := 0.0
	for _, s := range r.TrafficSplit {
		totalWeight += s.Weight
	}
	x *= totalWeight
	for _, s := range r.TrafficSplit {
		if x < s.Weight {
			return s.Service
		}
		x -= s.Weight
	}
	if len(r.TrafficSplit) == 0 {
		return ""
	}
	return r.TrafficSplit[len(r.TrafficSplit)-1].Service
}

// RandomService returns a service that is chosen at random by the traffic split.
func (r *Route) RandomService() string { return r.PickService(rand.Float64()) }

// Service is a group of interchangeable endpoints.
type Service struct {
	Name   string
	Engine *engine.TimingModel // nil for plain services
	// ColdStart is the time for which an endpoint is cold after its start: it works slowly, and crashes if it gets many more requests from all
	// gateways together than ColdRequestsPerSecond; 0: any number.
	ColdStart             time.Duration
	ColdRequestsPerSecond float64
}

// Workspace owns API keys.
type Workspace struct {
	Name string
}

// Snapshot is one version of the configuration.
type Snapshot struct {
	Epoch          int64         // version number set by the operator
	MaxBodyBytes   int64         // 0: unlimited
	MaxHeaderBytes int64         // request line and headers; 0: unlimited
	HeaderTimeout  time.Duration // for a caller to send them; 0: unlimited
	IdleTimeout    time.Duration // of a caller's connection between requests; 0: unlimited
	RequiresAPIKey bool

	services     map[string]*Service   // by name
	routesByHost map[string][]*Route   // longest prefix first
	keys         map[string]*Workspace // by API key
}

// New returns a snapshot. keys maps API keys to their workspaces; nil means that API keys are not in use.
func New(epoch int64, routes []*Route, services []*Service, keys map[string]*Workspace) *Snapshot {
	s := &Snapshot{
		Epoch:          epoch,
		RequiresAPIKey: keys != nil,
		services:       make(map[string]*Service, len(services)),
		routesByHost:   make(map[string][]*Route),
		keys:           keys,
	}
	for _, service := range services {
		s.services[service.Name] = service
	}
	for _, route := range routes {
		s.routesByHost[route.Host] = append(s.routesByHost[route.Host], route)
	}
	for _, hostRoutes := range s.routesByHost {
		sort.SliceStable(hostRoutes, func(i, j int) bool { return len(hostRoutes[i].Prefix) > len(hostRoutes[j].Prefix) })
	}
	return s
}

// Service returns the service with the given name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// MatchRoute returns the route for host whose prefix is the longest one that path has, or nil. A port in host is ignored.
func (s *Snapshot) MatchRoute(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := s.routesByHost[host]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i >= 0 {
			routes = s.routesByHost[host[:i]]
		}
	}
	for _, route := range routes {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// WorkspaceByKey returns the workspace that owns an API key, or nil.
func (s *Snapshot) WorkspaceByKey(key string) *Workspace { return s.keys[key] }
