// Package catalog holds one version of the operator's configuration as the gateway uses it: routes, services and the
// workspaces that own API keys. A Snapshot never changes once it is built.
package catalog

import (
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/bilberrylink/bilberrylink/engine"
)

// Kind says how often a request of a route may run.
type Kind int

// Kinds of routes.
const (
	NonIdempotent Kind = iota // at most once for each caller attempt
	Idempotent                // any number of times
	Stream                    // a series of events; at most once unless the route is resumable
)

// String names the kind in logs and metrics.
func (k Kind) String() string {
	return [...]string{"non_idempotent", "idempotent", "stream"}[k]
}

// WeightedService is one service of a route and its weight in the split.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route is one rule of the operator: which requests go to which services, and within which limits.
type Route struct {
	Name          string
	Host          string // lower case, no port
	Prefix        string // begins and ends with a slash
	Kind          Kind
	Timeout       time.Duration // longest time that a caller is kept waiting; 0: no bound
	LatencyTarget time.Duration // time to the answer, or to the first event, that callers call good
	GapTarget     time.Duration // longest pause between events that callers call good; streams only
	MaxAttempts   int           // endpoints that one request may be sent to
	Public        bool          // no API key is asked for
	Resumable     bool          // a stream may go on at another endpoint
	TrafficSplit  []WeightedService
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// PickService draws a service by the weights of the split; x is uniform in [0, 1).
func (r *Route) PickService(x float64) string {
	total := 0.0
	for _, s := range r.TrafficSplit {
		total += s.Weight
	}
	x *= total
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

// RandomService draws a service by the weights of the split.
func (r *Route) RandomService() string { return r.PickService(rand.Float64()) }

// Service is one service of the operator.
type Service struct {
	Name   string
	Engine *engine.TimingModel // timing of a model engine; nil for plain services
}

// Workspace is the owner of API keys.
type Workspace struct {
	Name string
}

// Snapshot is one version of the configuration.
type Snapshot struct {
	Epoch          int64 // version given by the operator
	MaxBodyBytes   int64 // bytes; 0: no bound
	RequiresAPIKey bool  // API keys are in use

	services map[string]*Service
	hosts    map[string][]*Route // by falling length of prefix
	keys     map[string]*Workspace
}

// New returns a snapshot of the given parts. keys maps an API key to its workspace; nil means that keys are not in use.
func New(epoch int64, routes []*Route, services []*Service, keys map[string]*Workspace) *Snapshot {
	s := &Snapshot{
		Epoch:          epoch,
		RequiresAPIKey: keys != nil,
		services:       make(map[string]*Service, len(services)),
		hosts:          make(map[string][]*Route),
		keys:           keys,
	}
	for _, v := range services {
		s.services[v.Name] = v
	}
	for _, r := range routes {
		s.hosts[r.Host] = append(s.hosts[r.Host], r)
	}
	for _, list := range s.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return s
}

// Service returns a service, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// MatchRoute returns the route with the longest prefix of path on host, or nil.
func (s *Snapshot) MatchRoute(host, path string) *Route {
	host = strings.ToLower(host)
	list, ok := s.hosts[host]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i >= 0 {
			list = s.hosts[host[:i]]
		}
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// WorkspaceByKey returns the owner of an API key, or nil.
func (s *Snapshot) WorkspaceByKey(key string) *Workspace { return s.keys[key] }
