package route

import "time"

// RecentlyDown is how long a failed or leaving endpoint still counts as one of the two endpoints of a fingerprint. Gossip over 360
// entries at one exchange per second needs about ten rounds; until then an entry may not know that the prompt is a
// suspect, and must not send it to a third endpoint.
const DownGracePeriod = 15 * time.Second

// confinedEndpoints is the number of endpoints that one unproven prompt may reach.
const confinedEndpoints = 2

// randomTries bounds the draws for one random candidate; beyond it the pool is scanned from a random position.
const randomTries = 4

// Pool is the fixed set of endpoints that may run a service at one epoch.
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

type candidates struct {
	list   [3]*Endpoint
	n      int
	prefix int // index of the prefix's choice, -1 if none
}

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

// candidates returns two random endpoints and the rendezvous choice of the prefix. A confined request has the two
// endpoints of its fingerprint instead, the same ones at every entry.
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

// pair holds the endpoints that a confined request may reach.
type pair struct {
	list   [confinedEndpoints]*Endpoint
	n      int
	prefix int
}

func (a *pair) has(e *Endpoint) bool {
	for _, x := range a.list[:a.n] {
		if x == e {
			return true
		}
	}
	return false
}

// allowed returns the two endpoints that a confined request may reach: the rendezvous choices of its prefix and of its
// fingerprint over the endpoints that are available or went down recently. Entries learn at different times that an
// endpoint leaves or returns, so that leaving ones count as well, unless both choices are among them: then the request
// would have to wait for endpoints that are gone by plan.
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

// present reports whether an endpoint of the pair is available or has failed recently.
func (a *pair) present(now time.Time) bool {
	for _, e := range a.list[:a.n] {
		if e.Available() || e.recentlyDown(now) {
			return true
		}
	}
	return false
}

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

// stableRendezvous counts recently failed endpoints as present, so that entries agree on the choice, and with absent
// also those that left by plan.
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
