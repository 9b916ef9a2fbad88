package route

import "time"

// DownGracePeriod is how long a failed or leaving endpoint still counts as one of the two endpoints of a fingerprint. Gossip
// among 360 entries with one exchange per second takes about ten rounds. Until it has spread, an entry may not know that
// the prompt is a suspect and must not send it to a third endpoint.
const DownGracePeriod = 15 * time.Second

// maxConfinedEndpoints is the number of endpoints to which one unproven prompt may be sent.
const maxConfinedEndpoints = 2

// maxRandomDraws is the number of random draws for one eligible endpoint before the pool is scanned from a random position.
const maxRandomDraws = 4

// Pool is the immutable set of endpoints that may run a service at one epoch.
type Pool struct {
	endpoints []*Endpoint
	intN      func(n int) int
}

// Pool returns the pool of the named endpoints.
func (v *View) Pool(names []string) *Pool {
	p := &Pool{endpoints: make([]*Endpoint, len(names)), intN: v.opts.IntN}
	for i, name := range names {
		p.endpoints[i] = v.Endpoint(name)
	}
	return p
}

// Endpoints returns the endpoints of the pool in the order of the configuration text. The slice must not be changed.
func (p *Pool) Endpoints() []*Endpoint { return p.endpoints }

// Available reports whether any endpoint of the pool may receive work.
func (p *Pool) Available() bool {
	for _, e := range p.endpoints {
		if e.Available() {
			return true
		}
	}
	return false
}

// candidates holds the distinct endpoints between which a policy chooses.
type candidates struct {
	endpoints   [3]*Endpoint
	count       int
	prefixIndex int // index of the endpoint that the prompt's prefix selects, -1 if none
}

// add adds an endpoint unless it is present and returns its index.
func (c *candidates) add(e *Endpoint) int {
	for i := range c.count {
		if c.endpoints[i] == e {
			return i
		}
	}
	c.endpoints[c.count] = e
	c.count++
	return c.count - 1
}

// candidates returns two random endpoints and the one that rendezvous hashing selects for the prefix. For a confined
// request it returns the eligible ones of its two allowed endpoints, which are the same at every entry.
func (p *Pool) candidates(r *Request) candidates {
	c := candidates{prefixIndex: -1}
	if allowed, confined := p.allowedPair(r); confined {
		p.addConfined(&c, &allowed, r)
		return c
	}
	if r.Prefix != 0 {
		if e := p.rendezvousEligible(r.Prefix, r); e != nil {
			c.prefixIndex = c.add(e)
		}
	}
	for range 2 {
		if e := p.randomEligible(r); e != nil {
			c.add(e)
		}
	}
	return c
}

func (p *Pool) addConfined(c *candidates, allowed *endpointPair, r *Request) {
	for i, e := range allowed.endpoints[:allowed.count] {
		if !eligible(e, r) {
			continue
		}
		index := c.add(e)
		if i == allowed.prefixIndex {
			c.prefixIndex = index
		}
	}
}

// endpointPair holds the endpoints to which a confined request may be sent.
type endpointPair struct {
	endpoints   [maxConfinedEndpoints]*Endpoint
	count       int
	prefixIndex int // index of the endpoint that the prompt's prefix selects, -1 if none
}

func (p *endpointPair) contains(e *Endpoint) bool {
	for _, other := range p.endpoints[:p.count] {
		if other == e {
			return true
		}
	}
	return false
}

// allowedPair returns the two endpoints to which a confined request may be sent: those that rendezvous hashing selects for
// its prefix and its fingerprint among the endpoints that are available, went down recently or are still expected. Entries learn at different
// times that an endpoint leaves or returns, so endpoints that left recently count as well. They do not if both selected
// endpoints have left, since the request would otherwise wait for endpoints that were removed on purpose. It then gets only one other, as one of
// the two may be back before all entries know that the prompt crashes endpoints.
func (p *Pool) allowedPair(r *Request) (allowed endpointPair, confined bool) {
	if !r.Confined {
		return endpointPair{prefixIndex: -1}, false
	}
	now := time.Now()
	if allowed = p.selectPair(r, now, true); !allowed.anyPresent(now) {
		allowed = p.selectPair(r, now, false)
		allowed.count = min(allowed.count, 1)
	}
	return allowed, true
}

// anyPresent reports whether at least one endpoint of the pair is available or may soon be.
func (p *endpointPair) anyPresent(now time.Time) bool {
	for _, e := range p.endpoints[:p.count] {
		if e.mayReturn(now) {
			return true
		}
	}
	return false
}

// selectPair returns the two endpoints of a confined request; includeLeft says whether endpoints that left recently count.
func (p *Pool) selectPair(r *Request, now time.Time, includeLeft bool) (selected endpointPair) {
	selected.prefixIndex = -1
	if r.Prefix != 0 {
		if e := p.rendezvousPresent(r.Prefix, nil, now, includeLeft); e != nil {
			selected.endpoints[0], selected.count, selected.prefixIndex = e, 1, 0
		}
	}
	for selected.count < maxConfinedEndpoints {
		var except *Endpoint
		if selected.count > 0 {
			except = selected.endpoints[0]
		}
		e := p.rendezvousPresent(r.Fingerprint, except, now, includeLeft)
		if e == nil {
			break
		}
		selected.endpoints[selected.count] = e
		selected.count++
	}
	return selected
}

// rendezvousPresent returns the endpoint that rendezvous hashing selects for key. Endpoints that failed recently count as
// present, so that all entries agree on the result; with includeLeft, so do endpoints that left recently.
func (p *Pool) rendezvousPresent(key uint64, except *Endpoint, now time.Time, includeLeft bool) *Endpoint {
	var best *Endpoint
	var bestScore uint64
	for _, e := range p.endpoints {
		if e == except || !e.countsAsPresent(now, includeLeft) {
			continue
		}
		if score := mix64(key ^ e.nameHash); best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// rendezvousEligible returns the eligible endpoint that rendezvous hashing selects for key, or nil.
func (p *Pool) rendezvousEligible(key uint64, r *Request) *Endpoint {
	var best *Endpoint
	var bestScore uint64
	for _, e := range p.endpoints {
		if score := mix64(key ^ e.nameHash); (best == nil || score > bestScore) && eligible(e, r) {
			best, bestScore = e, score
		}
	}
	return best
}

func (p *Pool) randomEligible(r *Request) *Endpoint {
	if len(p.endpoints) == 0 {
		return nil
	}
	for range maxRandomDraws {
		if e := p.endpoints[p.intN(len(p.endpoints))]; eligible(e, r) {
			return e
		}
	}
	start := p.intN(len(p.endpoints))
	for i := range p.endpoints {
		if e := p.endpoints[(start+i)%len(p.endpoints)]; eligible(e, r) {
			return e
		}
	}
	return nil
}

// eligible reports whether the endpoint may receive the request.
func eligible(e *Endpoint, r *Request) bool {
	if !e.Available() {
		return false
	}
	for _, excluded := range r.Exclude {
		if excluded == e {
			return false
		}
	}
	return true
}

// mix64 is the finalizer of SplitMix64.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
