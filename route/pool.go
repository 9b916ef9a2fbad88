package route

import "time"

// RecentlyDown is how long a failed or leaving endpoint still counts as one of the two endpoints of a fingerprint. Gossip
// among 360 entries with one exchange per second takes about ten rounds. Until it has spread, an entry may not know that
// the prompt is a suspect and must not send it to a third endpoint.
const DownGracePeriod = 15 * time.Second

// confinedEndpoints is the number of endpoints to which one unproven prompt may be sent.
const confinedEndpoints = 2

// randomTries is the number of random draws for one eligible endpoint before the pool is scanned from a random position.
const randomTries = 4

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
	list   [3]*Endpoint
	n      int
	prefix int // index of the endpoint that the prompt's prefix selects, -1 if none
}

// add adds an endpoint unless it is present and returns its index.
func (c *candidates) add(e *Endpoint) int {
	for i := range c.n {
		if c.list[i] == e {
			return i
		}
	}
	c.list[c.n] = e
	c.n++
	return c.n - 1
}

// candidates returns two random endpoints and the one that rendezvous hashing selects for the prefix. For a confined
// request it returns the eligible ones of its two allowed endpoints, which are the same at every entry.
func (p *Pool) candidates(r *Request) candidates {
	c := candidates{prefix: -1}
	if allowed, limited := p.allowed(r); limited {
		p.addConfined(&c, &allowed, r)
		return c
	}
	if r.Prefix != 0 {
		if e := p.rendezvous(r.Prefix, r); e != nil {
			c.prefix = c.add(e)
		}
	}
	for range 2 {
		if e := p.randomEligible(r); e != nil {
			c.add(e)
		}
	}
	return c
}

func (p *Pool) addConfined(c *candidates, allowed *pair, r *Request) {
	for i, e := range allowed.list[:allowed.n] {
		if !eligible(e, r) {
			continue
		}
		at := c.add(e)
		if i == allowed.prefix {
			c.prefix = at
		}
	}
}

// pair holds the endpoints to which a confined request may be sent.
type pair struct {
	list   [confinedEndpoints]*Endpoint
	n      int
	prefix int // index of the endpoint that the prompt's prefix selects, -1 if none
}

func (a *pair) has(e *Endpoint) bool {
	for _, x := range a.list[:a.n] {
		if x == e {
			return true
		}
	}
	return false
}

// allowed returns the two endpoints to which a confined request may be sent: those that rendezvous hashing selects for
// its prefix and its fingerprint among the endpoints that are available or went down recently. Entries learn at different
// times that an endpoint leaves or returns, so endpoints that left recently count as well. They do not if both selected
// endpoints have left, since the request would otherwise wait for endpoints that were removed on purpose.
func (p *Pool) allowed(r *Request) (a pair, limited bool) {
	if !r.Confined {
		return pair{prefix: -1}, false
	}
	now := time.Now()
	if a = p.pairOf(r, now, true); !a.present(now) {
		a = p.pairOf(r, now, false)
	}
	return a, true
}

// present reports whether at least one endpoint of the pair is available or has failed recently.
func (a *pair) present(now time.Time) bool {
	for _, e := range a.list[:a.n] {
		if e.Available() || e.recentlyDown(now) {
			return true
		}
	}
	return false
}

// pairOf selects the two endpoints of a confined request; absent says whether endpoints that left recently count.
func (p *Pool) pairOf(r *Request, now time.Time, absent bool) (a pair) {
	a.prefix = -1
	if r.Prefix != 0 {
		if e := p.stableRendezvous(r.Prefix, nil, now, absent); e != nil {
			a.list[0], a.n, a.prefix = e, 1, 0
		}
	}
	for a.n < confinedEndpoints {
		var except *Endpoint
		if a.n > 0 {
			except = a.list[0]
		}
		e := p.stableRendezvous(r.Fingerprint, except, now, absent)
		if e == nil {
			break
		}
		a.list[a.n] = e
		a.n++
	}
	return a
}

// stableRendezvous returns the endpoint that rendezvous hashing selects for key. Endpoints that failed recently count as
// present, so that all entries agree on the result; with absent, so do endpoints that left recently.
func (p *Pool) stableRendezvous(key uint64, except *Endpoint, now time.Time, absent bool) *Endpoint {
	var best *Endpoint
	var top uint64
	for _, e := range p.endpoints {
		if e == except || !e.counts(now, absent) {
			continue
		}
		if s := mix(key ^ e.hash); best == nil || s > top {
			best, top = e, s
		}
	}
	return best
}

// rendezvous returns the eligible endpoint that rendezvous hashing selects for key, or nil.
func (p *Pool) rendezvous(key uint64, r *Request) *Endpoint {
	var best *Endpoint
	var top uint64
	for _, e := range p.endpoints {
		if s := mix(key ^ e.hash); (best == nil || s > top) && eligible(e, r) {
			best, top = e, s
		}
	}
	return best
}

func (p *Pool) randomEligible(r *Request) *Endpoint {
	if len(p.endpoints) == 0 {
		return nil
	}
	for range randomTries {
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
	for _, x := range r.Exclude {
		if x == e {
			return false
		}
	}
	return true
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
