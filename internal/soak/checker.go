package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Bounds of the platform that are checked.
const (
	contactTime      = 3 * time.Second // after a disturbance, until what others know must be known to a gateway
	crashesBeforeEnd = 5               // crashes of a part after which only maxLateSends of its requests may reach endpoints
	crashesOfCall    = 3               // the same for a call
	maxLateSends     = 3
	limitWindow      = 4 * time.Second
	limitFactor      = 1.5
	limitSlack       = 5
	configTime       = 2 * time.Second        // from a change of the configuration until it must be in force
	drainTime        = 2 * time.Second        // from an answer of an endpoint that leaves until its gateway must send it no requests
	evacuationTime   = 5 * time.Second        // from the evacuation of a failure domain until its endpoints must get no requests
	refusalLag       = 500 * time.Millisecond // from a refusal with a time to return, for requests under way
	maxSendsToPaused = 2
)

// result is what a caller got for one attempt.
type result struct {
	attempt     string
	kind        string // chat, order or stock
	gateway     string
	sentAt      time.Time
	endedAt     time.Time
	status      int    // 0: no answer
	body        string // of a complete answer
	complete    bool
	bytes       int // received
	parts       string
	badResponse string // what is wrong with the answer itself
}

// evacuation is a time in which otherDomain was evacuated.
type evacuation struct{ from, until time.Time } // until is zero while it lasts

// limitChange is a limit that an endpoint states from a time on; 0: none.
type limitChange struct {
	perSecond float64
	at        time.Time
}

// checker collects what callers and endpoints have seen, and compares it with the promises of the platform's pages.
type checker struct {
	mu           sync.Mutex
	runs         []run
	refusals     []run
	probes       int // of the configuration
	results      []result
	crashes      map[string][]time.Time // of endpoints, by the crashing part or call
	cuts         map[string]time.Time   // streams that a gateway has cut while their endpoint was at work, by attempt
	faults       []time.Time            // of gateways and the store: starts, kills, pauses, ends of outages
	stops        map[string][]time.Time // planned stops, by gateway
	hardFaults   map[string][]time.Time // kills and pauses, by gateway
	limits       map[string]limitChange // by endpoint incarnation
	limitedUntil map[string]time.Time
	evacuations  []evacuation
	violations   []string
}

func newChecker() *checker {
	return &checker{stops: make(map[string][]time.Time), hardFaults: make(map[string][]time.Time), limits: make(map[string]limitChange),
		limitedUntil: make(map[string]time.Time), crashes: make(map[string][]time.Time), cuts: make(map[string]time.Time)}
}

func (c *checker) violate(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// recordRun records a request that an endpoint executes while it states a limit; 0: none.
func (c *checker) recordRun(r run, limit float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs = append(c.runs, r)
	if current, known := c.limits[r.endpoint]; limit > 0 && (!known || current.perSecond != limit) {
		c.limits[r.endpoint] = limitChange{perSecond: limit, at: r.at}
	}
	if limit > 0 {
		c.limitedUntil[r.endpoint] = r.at
	}
}

func (c *checker) recordRefusal(r run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusals = append(c.refusals, r)
}

func (c *checker) recordCrash(cause string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes[cause] = append(c.crashes[cause], at)
}

// recordCut records that an endpoint could not write an event of a stream.
func (c *checker) recordCut(attempt string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cuts[attempt] = at
}

func (c *checker) recordResult(r result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
}

// recordFault records a disturbance of all gateways, or of one.
func (c *checker) recordFault(gateway string, planned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.faults = append(c.faults, now)
	switch {
	case gateway == "":
	case planned:
		c.stops[gateway] = append(c.stops[gateway], now)
	default:
		c.hardFaults[gateway] = append(c.hardFaults[gateway], now)
	}
}

// recordEvacuation records that otherDomain is evacuated from now on, or not any more.
func (c *checker) recordEvacuation(evacuated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if n := len(c.evacuations); n > 0 && c.evacuations[n-1].until.IsZero() {
		c.evacuations[n-1].until = now
	}
	if evacuated {
		c.evacuations = append(c.evacuations, evacuation{from: now})
	}
}

func (c *checker) checkEvacuations() {
	late := 0
	for _, r := range slices.Concat(c.runs, c.refusals) {
		for _, e := range c.evacuations {
			lasts := e.until.IsZero() || r.at.Before(e.until)
			if r.domain == otherDomain && r.at.After(e.from.Add(evacuationTime)) && lasts && !c.disturbedAt(r.at) {
				late++
			}
		}
	}
	if late > 0 {
		c.add("%d requests reached endpoints of an evacuated failure domain", late)
	}
}

// check returns all violations.
func (c *checker) check() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	runsByAttempt := make(map[string][]run)
	for _, r := range c.runs {
		runsByAttempt[r.attempt] = append(runsByAttempt[r.attempt], r)
	}
	for i := range c.results {
		c.checkResult(&c.results[i], runsByAttempt[c.results[i].attempt])
	}
	c.checkCrashing(crashingPart, crashesBeforeEnd, func(r *run) bool { return strings.Contains(r.parts, crashingPart+":") })
	c.checkCrashing(crashingPath, crashesOfCall, func(r *run) bool { return r.path == crashingPath })
	c.checkLimits()
	c.checkEvacuations()
	c.checkSends()
	return c.violations
}

func (c *checker) add(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *checker) checkResult(r *result, runs []run) {
	if r.badResponse != "" {
		c.add("%s %s at %s: %s", r.kind, r.attempt, r.gateway, r.badResponse)
	}
	if r.kind == "order" && len(runs) > 1 {
		c.add("order %s ran %d times", r.attempt, len(runs))
	}
	if r.kind == "order" && slices.Contains([]int{408, 421, 429, 503}, r.status) && len(runs) > 0 {
		c.add("order %s was answered %d by %s and ran", r.attempt, r.status, r.gateway)
	}
	if r.status == 200 && r.complete && len(runs) == 0 {
		c.add("%s %s was answered and never ran", r.kind, r.attempt)
	}
	plannedStop := slices.ContainsFunc(c.stops[r.gateway], func(at time.Time) bool {
		return r.endedAt.After(at) && r.endedAt.Before(at.Add(graceTime))
	})
	disturbed := slices.ContainsFunc(c.hardFaults[r.gateway], func(at time.Time) bool {
		return at.After(r.sentAt.Add(-contactTime)) && at.Before(r.endedAt.Add(time.Second))
	})
	if plannedStop && !disturbed && r.bytes == 0 && r.status == 0 && len(runs) > 0 {
		c.add("%s %s got no answer from %s, which was stopping", r.kind, r.attempt, r.gateway)
	}
	if !disturbed && c.wasCut(r, runs) {
		c.add("%s %s was cut by %s while its endpoint was at work", r.kind, r.attempt, r.gateway)
	}
}

// wasCut reports whether a gateway has ended an answer that had begun, well before its caller gave up or the gateway had to end, while the latest
// endpoint was at work on it.
func (c *checker) wasCut(r *result, runs []run) bool {
	cutAt, cut := c.cuts[r.attempt]
	if !cut || r.status != 200 || r.complete || r.endedAt.Sub(r.sentAt) > callerTimeout-time.Second || cutAt.Before(runs[len(runs)-1].at) {
		return false
	}
	return !slices.ContainsFunc(c.stops[r.gateway], func(at time.Time) bool {
		return r.endedAt.After(at.Add(graceTime*5/6)) && r.endedAt.Before(at.Add(graceTime+time.Second))
	})
}

// disturbedAt reports whether a gateway or the store was disturbed shortly before a time.
func (c *checker) disturbedAt(at time.Time) bool {
	return slices.ContainsFunc(c.faults, func(fault time.Time) bool { return !fault.After(at) && at.Sub(fault) < contactTime })
}

// checkCrashing checks that requests with something that crashes endpoints are not sent any more after a number of crashes.
func (c *checker) checkCrashing(cause string, tolerated int, contains func(r *run) bool) {
	crashes := c.crashes[cause]
	if len(crashes) < tolerated {
		return
	}
	slices.SortFunc(crashes, time.Time.Compare)
	known := crashes[tolerated-1].Add(contactTime)
	late := 0
	for _, r := range c.runs {
		if contains(&r) && r.at.After(known) && !c.disturbedAt(r.at) {
			late++
		}
	}
	if late > maxLateSends {
		c.add("%d requests with %s, which had crashed %d endpoints, were sent", late, cause, tolerated)
	}
}

func (c *checker) checkLimits() {
	for endpoint, limit := range c.limits {
		var arrivals []time.Time
		for _, r := range c.runs {
			if r.endpoint == endpoint && r.at.After(limit.at.Add(contactTime)) && r.at.Before(c.limitedUntil[endpoint]) && !c.disturbedAt(r.at) {
				arrivals = append(arrivals, r.at)
			}
		}
		slices.SortFunc(arrivals, time.Time.Compare)
		allowed := int(limitFactor*limit.perSecond*limitWindow.Seconds()) + limitSlack
		for i := range arrivals {
			if j := i + allowed; j < len(arrivals) && arrivals[j].Sub(arrivals[i]) <= limitWindow {
				c.add("endpoint %s accepts %g a second and got over %d requests in %s", endpoint, limit.perSecond, allowed, limitWindow)
				break
			}
		}
	}
}

// sender is a gateway and the endpoint that it sends requests to.
type sender struct{ gateway, endpoint string }

// checkSends checks that gateways leave endpoints alone that have told them that they shut down, or that they want no requests for a while.
func (c *checker) checkSends() {
	byAttempt := make(map[string]*result, len(c.results))
	for i := range c.results {
		byAttempt[c.results[i].attempt] = &c.results[i]
	}
	arrivals := make(map[sender][]run)
	for _, r := range slices.Concat(c.runs, c.refusals) {
		if from := byAttempt[r.attempt]; from != nil {
			key := sender{from.gateway, r.endpoint}
			arrivals[key] = append(arrivals[key], r)
		}
	}
	for key, runs := range arrivals {
		slices.SortFunc(runs, func(a, b run) int { return a.at.Compare(b.at) })
		var toldAt time.Time // when the gateway passed the first answer on
		for _, r := range runs {
			from := byAttempt[r.attempt]
			if !toldAt.IsZero() && from.sentAt.After(toldAt.Add(drainTime)) && !c.wasHit(key.gateway, toldAt, r.at) {
				c.add("%s got a request from %s %s after an answer that it leaves", key.endpoint, key.gateway, from.sentAt.Sub(toldAt))
				break
			}
			if r.leaving && from.status == 200 && from.complete && (toldAt.IsZero() || from.endedAt.Before(toldAt)) {
				toldAt = from.endedAt
			}
		}
		c.checkPause(key, runs)
	}
}

func (c *checker) checkPause(key sender, runs []run) {
	for i, r := range runs {
		if !r.refused || c.wasHit(key.gateway, r.at, r.at.Add(refusalTime)) {
			continue
		}
		late := 0
		for _, next := range runs[i+1:] {
			if after := next.at.Sub(r.at); after > refusalLag && after < refusalTime {
				late++
			}
		}
		if late > maxSendsToPaused {
			c.add("%s refused a request of %s and got %d more before its time to return", key.endpoint, key.gateway, late)
			return
		}
	}
}

// wasHit reports whether a gateway was killed or paused between two times.
func (c *checker) wasHit(gateway string, from, to time.Time) bool {
	return slices.ContainsFunc(slices.Concat(c.hardFaults[gateway], c.stops[gateway]), func(at time.Time) bool {
		return at.After(from.Add(-contactTime)) && at.Before(to.Add(contactTime))
	})
}

// outcomes counts the results by kind and status.
func (c *checker) outcomes() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{"probes of the configuration": c.probes, "refusals of endpoints": len(c.refusals)}
	for i := range c.results {
		r := &c.results[i]
		label := fmt.Sprintf("%s %d", r.kind, r.status)
		if r.status != 0 && !r.complete {
			label += " broken off"
		}
		counts[label]++
	}
	return counts
}
