// Package route chooses the endpoint for a request from a view of the endpoints' load.
//
// The view holds the newest load report of each endpoint and the work that this entry dispatched since that report. It
// may be stale. A stale view costs latency but never correctness, because the agent decides on admission with current
// state.
package route

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/wire"
)

// numClasses is the number of service classes. Arrays over classes are ordered from the most to the least urgent.
const numClasses = 3

// DefaultPrefillRate is the prefill rate, in tokens per second, assumed for an endpoint before its first report.
const DefaultPrefillRate = 10_000

// LoadReport is a load report of an endpoint. Quantities of work and memory are in tokens, rates in tokens per second.
type LoadReport struct {
	Incarnation            string
	Sequence               uint64
	QueuedPrefillTokens    [numClasses]int64 // by class
	Running                int64             // requests
	Waiting                int64             // requests
	KVFreeTokens           int64
	KVCapacityTokens       int64
	PrefillTokensPerSecond int64
}

// Endpoint is the view's record of one endpoint. It is safe for concurrent use.
type Endpoint struct {
	Name     string
	nameHash uint64

	available    atomic.Bool
	failedAtNano atomic.Int64 // time of the failure in Unix nanoseconds; 0 while available, leaving or never seen
	// leftAtNano is the time of a planned leave in Unix nanoseconds; 0 while available or failed, neverSeen initially.
	leftAtNano    atomic.Int64
	inFlight      atomic.Int64 // requests that this entry has open at the endpoint
	expectedUntil time.Time    // until then it counts as present although it has not been heard of

	mu               sync.Mutex
	report           LoadReport
	dispatchedTokens [numClasses]int64 // prefill tokens that this entry dispatched since the report, by class
}

// Options configures a View.
type Options struct {
	PrefillRate int64           // tokens per second assumed before the first report; 0: DefaultPrefillRate
	IntN        func(n int) int // returns a random number in [0,n), safe for concurrent use; nil: rand.IntN of math/rand/v2
	// SettleTime is the time from the start for which endpoints that have not been heard of count when the two endpoints of a prompt are
	// selected, as they do at entries that know them.
	SettleTime time.Duration
}

// View is the load view of one entry.
type View struct {
	opts      Options
	settledAt time.Time

	mu        sync.RWMutex
	endpoints map[string]*Endpoint
}

// NewView returns an empty view.
func NewView(opts Options) *View {
	if opts.PrefillRate <= 0 {
		opts.PrefillRate = DefaultPrefillRate
	}
	if opts.IntN == nil {
		opts.IntN = rand.IntN
	}
	return &View{opts: opts, settledAt: time.Now().Add(opts.SettleTime), endpoints: make(map[string]*Endpoint)}
}

// Endpoint returns the record of the named endpoint. A new record is created as unavailable.
func (v *View) Endpoint(name string) *Endpoint {
	v.mu.RLock()
	e := v.endpoints[name]
	v.mu.RUnlock()
	if e != nil {
		return e
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if e = v.endpoints[name]; e == nil {
		e = &Endpoint{Name: name, nameHash: xxhash.Sum64String(name), expectedUntil: v.settledAt}
		e.report.PrefillTokensPerSecond = v.opts.PrefillRate
		e.leftAtNano.Store(neverSeen)
		v.endpoints[name] = e
	}
	return e
}

// Retain deletes the records of endpoints for which keep returns false, so that replaced endpoints do not accumulate.
func (v *View) Retain(keep func(name string) bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for name := range v.endpoints {
		if !keep(name) {
			delete(v.endpoints, name)
		}
	}
}

// Observe merges a load report from a reply or from gossip. A report that is older than the known one is ignored.
func (v *View) Observe(load *wire.Load) {
	if load == nil || load.GetEndpoint() == "" {
		return
	}
	v.Endpoint(load.GetEndpoint()).observe(load)
}

func (e *Endpoint) observe(load *wire.Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if load.GetIncarnation() == e.report.Incarnation && load.GetSequence() <= e.report.Sequence {
		return
	}
	rate := load.GetPrefillRate()
	if rate <= 0 {
		rate = e.report.PrefillTokensPerSecond
	}
	urgent, interactive := load.GetQueuedUrgent(), load.GetQueuedInteractive()
	e.report = LoadReport{
		Incarnation:            load.GetIncarnation(),
		Sequence:               load.GetSequence(),
		QueuedPrefillTokens:    [numClasses]int64{urgent, interactive, max(load.GetQueuedPrefill()-urgent-interactive, 0)},
		Running:                int64(load.GetRunning()),
		Waiting:                int64(load.GetWaiting()),
		KVFreeTokens:           load.GetKvFree(),
		KVCapacityTokens:       load.GetKvCapacity(),
		PrefillTokensPerSecond: rate,
	}
	e.dispatchedTokens = [numClasses]int64{}
}

// Report returns the newest report and the prefill tokens by class that this entry dispatched since that report.
func (e *Endpoint) Report() (newest LoadReport, dispatchedTokens [numClasses]int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report, e.dispatchedTokens
}

// SetDefaultPrefillRate sets the prefill rate, in tokens per second, assumed until a report contains one.
func (e *Endpoint) SetDefaultPrefillRate(rate int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if rate > 0 && e.report.Sequence == 0 {
		e.report.PrefillTokensPerSecond = rate
	}
}

// neverSeen is the value of leftAtNano for an endpoint that is only known from the configuration text.
const neverSeen = -1

// SetAvailable records whether the endpoint may receive work; planned says that it is unavailable because it is leaving
// or otherwise refuses work on purpose, and not because it failed. Either way it still counts for DownGracePeriod when the
// endpoints of a fingerprint are selected.
func (e *Endpoint) SetAvailable(available, planned bool) {
	if available {
		e.available.Store(true)
		e.failedAtNano.Store(0)
		e.leftAtNano.Store(0)
		return
	}
	wasAvailable := e.available.Swap(false)
	now := time.Now().UnixNano()
	switch {
	case planned && (wasAvailable || e.failedAtNano.Swap(0) != 0 || e.leftAtNano.Load() == neverSeen):
		e.leftAtNano.Store(now)
	case !planned && (wasAvailable || e.leftAtNano.Swap(0) != 0):
		e.failedAtNano.Store(now)
	}
}

// Available reports whether the endpoint may receive work.
func (e *Endpoint) Available() bool { return e.available.Load() }

// failedRecently reports whether the endpoint failed less than DownGracePeriod ago.
func (e *Endpoint) failedRecently(now time.Time) bool {
	return withinGracePeriod(e.failedAtNano.Load(), now)
}

// leftRecently reports whether the endpoint's planned leave began less than DownGracePeriod ago.
func (e *Endpoint) leftRecently(now time.Time) bool {
	return withinGracePeriod(e.leftAtNano.Load(), now)
}

// mayReturn reports whether the endpoint is available, or unavailable for a reason that may end soon.
func (e *Endpoint) mayReturn(now time.Time) bool {
	return e.Available() || e.failedRecently(now) || e.leftAtNano.Load() == neverSeen && now.Before(e.expectedUntil)
}

// countsAsPresent reports whether the endpoint takes part when the endpoints of a fingerprint are selected; includeLeft
// says whether endpoints that left recently do.
func (e *Endpoint) countsAsPresent(now time.Time, includeLeft bool) bool {
	return e.mayReturn(now) || includeLeft && e.leftRecently(now)
}

// withinGracePeriod reports whether since, in Unix nanoseconds, is set and less than DownGracePeriod ago.
func withinGracePeriod(since int64, now time.Time) bool {
	return since > 0 && now.Sub(time.Unix(0, since)) < DownGracePeriod
}

// RecordDispatch adds the prefill tokens of a request to the endpoint's load until a newer report arrives. The caller must
// call done when the request has ended at the endpoint.
func (e *Endpoint) RecordDispatch(class fleet.Class, tokens int64) (done func()) {
	e.inFlight.Add(1)
	e.mu.Lock()
	e.dispatchedTokens[classIndex(class)] += tokens
	e.mu.Unlock()
	return sync.OnceFunc(func() { e.inFlight.Add(-1) })
}

// InFlight returns the number of requests that this entry has open at the endpoint.
func (e *Endpoint) InFlight() int64 { return e.inFlight.Load() }

// classIndex returns the index of a class in arrays over classes. An unknown class ranks as interactive.
func classIndex(class fleet.Class) int {
	switch class {
	case fleet.ClassUrgent:
		return 0
	case fleet.ClassBulk:
		return 2
	default:
		return 1
	}
}
