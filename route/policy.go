package route

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/fleet"
)

// Names of the routing policies.
const (
	Random        = "random"
	RoundRobin    = "round_robin"
	LeastRequests = "least_requests"
	LeastTTFT     = "least_ttft" // default
)

// Request holds the properties of a request that policies use.
type Request struct {
	Class        fleet.Class
	PromptTokens int64
	Prefix       uint64 // hash of the prompt's prefix; 0: no prefix affinity
	CachedTokens int64  // prompt tokens expected in the prefix cache of the endpoint that Prefix selects
	Favor        string // fleet.FavorSlowdown or fleet.FavorFirstToken
	Fingerprint  uint64 // hash of the prompt; selects the endpoints of a confined request
	Confined     bool   // unproven or suspect prompt: only the two endpoints selected by Prefix and Fingerprint may run it
	Exclude      []*Endpoint
}

// Choice is the endpoint that a policy selected.
type Choice struct {
	Endpoint      *Endpoint
	EstimatedTTFT time.Duration // estimated time to first token
	PrefillTime   time.Duration // time to prefill the request's own prompt, contained in the estimate
}

// Policy chooses among the endpoints of a pool. It is safe for concurrent use.
type Policy interface {
	// Name returns the policy's name in settings and metrics.
	Name() string
	// Choose returns the endpoint for a request; ok is false if no endpoint may receive it.
	Choose(p *Pool, r *Request) (c Choice, ok bool)
}

// NewPolicy returns the named policy; an empty name gives LeastTTFT.
func NewPolicy(name string) (Policy, error) {
	switch name {
	case "", LeastTTFT:
		return leastTTFT{}, nil
	case Random:
		return random{}, nil
	case RoundRobin:
		return new(roundRobin), nil
	case LeastRequests:
		return leastRequests{}, nil
	}
	return nil, errors.Errorf("unknown routing policy %q", name)
}

// PolicyNames returns the names of all policies.
func PolicyNames() []string { return []string{LeastTTFT, LeastRequests, RoundRobin, Random} }

type random struct{}

func (random) Name() string { return Random }

func (random) Choose(p *Pool, r *Request) (Choice, bool) {
	return p.firstEligible(r, p.randomIndex())
}

type roundRobin struct{ next atomic.Uint64 }

func (*roundRobin) Name() string { return RoundRobin }

func (rr *roundRobin) Choose(p *Pool, r *Request) (Choice, bool) {
	if len(p.endpoints) == 0 {
		return Choice{}, false
	}
	return p.firstEligible(r, int((rr.next.Add(1)-1)%uint64(len(p.endpoints))))
}

// firstEligible returns the first eligible endpoint at or after index start, wrapping around.
func (p *Pool) firstEligible(r *Request, start int) (Choice, bool) {
	allowed, confined := p.allowedPair(r)
	for i := range p.endpoints {
		e := p.endpoints[(start+i)%len(p.endpoints)]
		if eligible(e, r) && (!confined || allowed.contains(e)) {
			return Choice{Endpoint: e, EstimatedTTFT: estimateTTFT(e, r, false), PrefillTime: prefillTime(e, r, false)}, true
		}
	}
	return Choice{}, false
}

type leastRequests struct{}

func (leastRequests) Name() string { return LeastRequests }

func (leastRequests) Choose(p *Pool, r *Request) (Choice, bool) {
	return p.lowestCost(r, func(e *Endpoint, _ bool) time.Duration { return time.Duration(e.requestCount()) })
}

// requestCount returns the number of requests at the endpoint: the larger of the reported number and the number that this
// entry has open there.
func (e *Endpoint) requestCount() int64 {
	report, _ := e.Report()
	return max(report.Running+report.Waiting, e.InFlight())
}

type leastTTFT struct{}

func (leastTTFT) Name() string { return LeastTTFT }

func (leastTTFT) Choose(p *Pool, r *Request) (Choice, bool) {
	return p.lowestCost(r, func(e *Endpoint, cached bool) time.Duration { return cost(e, r, cached) })
}

// lowestCost returns the candidate with the lowest cost. The argument cached of costOf says whether the candidate is the
// endpoint that the prompt's prefix selects, and is therefore expected to have the prefix in its cache.
func (p *Pool) lowestCost(r *Request, costOf func(e *Endpoint, cached bool) time.Duration) (Choice, bool) {
	var c Choice
	var lowest time.Duration
	candidateSet := p.candidates(r)
	for i, e := range candidateSet.endpoints[:candidateSet.count] {
		cached := i == candidateSet.prefixIndex
		if cost := costOf(e, cached); c.Endpoint == nil || cost < lowest {
			c, lowest = Choice{Endpoint: e, EstimatedTTFT: estimateTTFT(e, r, cached), PrefillTime: prefillTime(e, r, cached)}, cost
		}
	}
	return c, c.Endpoint != nil
}

func (p *Pool) randomIndex() int {
	if len(p.endpoints) == 0 {
		return 0
	}
	return p.intN(len(p.endpoints))
}
