// Package evacuation holds which failure domains the operator has evacuated: their endpoints get no requests until that is taken back.
//
// The operator writes to the store, and every gateway has to comply within seconds, also one that the store has turned away or that has just
// started. Gateways therefore pass their lists on to each other. A list is complete as of a position in the history of the store, and the
// one with the latest position counts, so messages may be lost, repeated and reordered.
package evacuation

import (
	"maps"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/bilberrylink/bilberrylink/internal/timing"
)

// maxDomains bounds the failure domains that can be evacuated at the same time. Fleets have less than ten.
const maxDomains = 255

// List holds the evacuated failure domains as of a position in the history of the store.
type List struct {
	Position       int64
	FailureDomains []string // sorted
}

// Change is a change by the operator: a failure domain is evacuated, or that is taken back.
type Change struct {
	FailureDomain string
	Position      int64 // of the change in the history of the store
	Evacuated     bool
}

// Options configures a Tracker.
type Options struct {
	// OnChange is called with the evacuated failure domains after each change of the list, one call at a time; nil: not called.
	OnChange   func(failureDomains []string)
	Log        *logrus.Logger // nil: the standard logger
	Registerer prometheus.Registerer
}

// Tracker holds the latest known list. It is safe for concurrent use.
type Tracker struct {
	opts      Options
	evacuated *prometheus.GaugeVec
	changed   chan struct{}

	mu           sync.Mutex
	list         List
	peerOutdated bool // a peer has passed on an older list that differs
}

// New returns a Tracker whose list is empty and older than any other.
func New(opts Options) *Tracker {
	if opts.OnChange == nil {
		opts.OnChange = func([]string) {}
	}
	if opts.Log == nil {
		opts.Log = logrus.StandardLogger()
	}
	t := &Tracker{
		opts: opts, changed: make(chan struct{}, 1),
		evacuated: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "bilberry_failure_domain_evacuated",
			Help: "1 while the endpoints of a failure domain get no requests at the request of the operator."}, []string{"failure_domain"}),
	}
	if opts.Registerer != nil {
		opts.Registerer.MustRegister(t.evacuated)
	}
	return t
}

// Changed returns a channel that signals that this gateway has read another list from the store since the last receive.
func (t *Tracker) Changed() <-chan struct{} { return t.changed }

// List returns the latest known list.
func (t *Tracker) List() List {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.list
}

// ToRepeat returns the list if it has to be repeated to the peers: while it is not empty, and if a peer has shown since the last call that
// it lacks its end. A fleet without evacuations sends nothing.
func (t *Tracker) ToRepeat() (list List, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ok = len(t.list.FailureDomains) > 0 || t.peerOutdated
	t.peerOutdated = false
	return t.list, ok
}

// Merge takes over the list of a peer if it is later than the known one.
func (t *Tracker) Merge(peer string, list List) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if list.Position < t.list.Position {
		t.peerOutdated = t.peerOutdated || !slices.Equal(list.FailureDomains, t.list.FailureDomains)
		return
	}
	t.adopt(list.Position, list.FailureDomains, peer)
}

// fromStore is the source of lists that this gateway has read itself.
const fromStore = "store"

// Replace takes over a list that was read from the store.
func (t *Tracker) Replace(list List) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.adoptFromStore(list.Position, list.FailureDomains)
}

// Update applies changes that were read from the store. They must contain all changes up to a position that follow the previous list or
// update from the store; they may contain earlier ones, too.
func (t *Tracker) Update(changes []Change, position int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	domains := make(map[string]bool)
	for _, d := range t.list.FailureDomains {
		domains[d] = true
	}
	for _, c := range changes {
		if c.Position > t.list.Position {
			domains[c.FailureDomain] = c.Evacuated
		}
	}
	maps.DeleteFunc(domains, func(_ string, evacuated bool) bool { return !evacuated })
	t.adoptFromStore(position, slices.Collect(maps.Keys(domains)))
}

func (t *Tracker) adoptFromStore(position int64, failureDomains []string) {
	if t.adopt(position, failureDomains, fromStore) {
		timing.Signal(t.changed)
	}
}

// adopt replaces the list if the position is later and reports whether the evacuated failure domains have changed.
func (t *Tracker) adopt(position int64, failureDomains []string, from string) (changed bool) {
	if position <= t.list.Position {
		return false
	}
	previous := t.list.FailureDomains
	next := slices.Sorted(slices.Values(failureDomains))
	next = next[:min(len(next), maxDomains)]
	t.list = List{Position: position, FailureDomains: next}
	if slices.Equal(previous, next) {
		return false
	}
	for _, d := range previous {
		t.evacuated.WithLabelValues(d).Set(0)
	}
	for _, d := range next {
		t.evacuated.WithLabelValues(d).Set(1)
	}
	t.opts.Log.WithFields(logrus.Fields{"event": "evacuation", "failure_domains": next, "previous": previous, "from": from}).
		Info("endpoints of the evacuated failure domains get no requests")
	t.opts.OnChange(next)
	return true
}
