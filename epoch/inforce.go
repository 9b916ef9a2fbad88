package epoch

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/membership"
)

// NodeStatus is the state of one node.
type NodeStatus struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	Role          string `json:"role"`
	Epoch         int64  `json:"epoch"`
	Confirmed     bool   `json:"confirmed"` // holds the current epoch
	LastHeardMs   int64  `json:"heard_ms"`  // time since this entry last heard of the node; -1: never

	Endpoint   string             `json:"endpoint,omitempty"` // endpoint name, agents only
	Live       bool               `json:"live"`               // may receive new work
	Leaving    bool               `json:"leaving,omitempty"`
	Fault      string             `json:"fault,omitempty"`       // why the endpoint cannot serve
	OrderFault string             `json:"order_fault,omitempty"` // why the engine has not loaded its assigned versions
	Loaded     []endpoint.Version `json:"loaded,omitempty"`
	Missing    []endpoint.Version `json:"missing,omitempty"` // assigned versions that the engine does not report as loaded
}

// RecallStatus is the state of one recalled name.
type RecallStatus struct {
	Name string `json:"name"`
	// Stopped is true once the recall is in force: no node can start an answer from the name any more.
	Stopped bool     `json:"stopped"`
	Loaded  []string `json:"loaded,omitempty"` // endpoints whose engines still report weights covered by the name
}

// RolloutStatus is the progress of a version that replaces another one.
type RolloutStatus struct {
	Version           string   `json:"version"`   // weight name
	HoldingEndpoints  int      `json:"holding"`   // assigned endpoints that have loaded it
	AssignedEndpoints int      `json:"endpoints"` // known endpoints that the text assigns it to
	Faults            []string `json:"faults,omitempty"`
}

// Status is the response to GET /v1/fleet/status.
type Status struct {
	Epoch       int64        `json:"epoch"`
	Hash        string       `json:"hash"`
	InForce     bool         `json:"in_force"`
	Fresh       bool         `json:"fresh"`
	Unconfirmed []string     `json:"unconfirmed"`
	InDoubt     []string     `json:"in_doubt"`
	Nodes       []NodeStatus `json:"nodes"`
	Warnings    []string     `json:"warnings,omitempty"`

	Evacuated []EvacuatedDomain `json:"evacuated,omitempty"`
	Recalls   []RecallStatus    `json:"recalls,omitempty"`
	Rollouts  []RolloutStatus   `json:"rollouts,omitempty"`
}

// EvacuatedDomain is a failure domain whose endpoints are sent nothing.
type EvacuatedDomain struct {
	Name      string `json:"name"`
	Endpoints int    `json:"endpoints"` // known endpoints in the domain
}

// inForceTracker decides when an epoch is in force, that is, when no node can serve under an earlier one any more. This is
// so if either
//
//   - every node that may be serving holds the epoch, or
//   - a majority of failure domains has held it for longer than the freshness bound, so that a node without it cannot get
//     fresh evidence (see majorityHolds).
//
// A node without the epoch evaluates its evidence by the failure domains of the text that it holds. That can be any text
// since the last epoch in force, so the majority rule must hold under each of them.
type inForceTracker struct {
	mu            sync.Mutex
	highestEpoch  int64             // highest epoch found in force
	chain         []*fleet.Snapshot // texts from the last one in force to the current one, without gaps; empty if unknown
	majoritySince time.Time         // since when a majority of failure domains has held the epoch; zero if it does not
}

func newInForceTracker() *inForceTracker { return &inForceTracker{} }

// observeInForce records that another node found an epoch in force, and starts the chain of texts there if this node has
// retained that text. Without this, a restarted entry could not apply the majority rule.
func (t *inForceTracker) observeInForce(epoch int64, snapshotAt func(int64) *fleet.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if epoch <= t.highestEpoch {
		return
	}
	t.highestEpoch = epoch
	if s := snapshotAt(epoch); s != nil {
		t.chain, t.majoritySince = []*fleet.Snapshot{s}, time.Time{}
	}
}

// update reports whether current is in force.
func (t *inForceTracker) update(current *fleet.Snapshot, snapshotAt func(int64) *fleet.Snapshot,
	servingCandidates func(time.Duration) []membership.ServingCandidate) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if current.Epoch <= t.highestEpoch {
		return true
	}
	t.extendChain(current, snapshotAt)
	bound := t.maxFreshnessBound()
	candidates := servingCandidates(bound)
	if allHoldEpoch(candidates, current.Epoch) || t.majorityHolds(candidates, current.Epoch, bound) {
		t.highestEpoch, t.chain, t.majoritySince = current.Epoch, []*fleet.Snapshot{current}, time.Time{}
		return true
	}
	return false
}

// extendChain appends the texts up to the current epoch. If a text in between is not retained, the chain is reset to the
// current text only, and the majority rule does not apply.
func (t *inForceTracker) extendChain(current *fleet.Snapshot, snapshotAt func(int64) *fleet.Snapshot) {
	if len(t.chain) > 0 && t.chain[len(t.chain)-1].Epoch == current.Epoch {
		return
	}
	t.majoritySince = time.Time{}
	if len(t.chain) == 0 {
		t.chain = []*fleet.Snapshot{current}
		return
	}
	for e := t.chain[len(t.chain)-1].Epoch + 1; e < current.Epoch; e++ {
		s := snapshotAt(e)
		if s == nil {
			t.chain = []*fleet.Snapshot{current}
			return
		}
		t.chain = append(t.chain, s)
	}
	t.chain = append(t.chain, current)
}

// maxFreshnessBound returns the largest freshness bound of all texts that a node may hold.
func (t *inForceTracker) maxFreshnessBound() time.Duration {
	var bound time.Duration
	for _, s := range t.chain {
		bound = max(bound, s.Text.Settings.FreshnessBound)
	}
	return bound
}

func allHoldEpoch(candidates []membership.ServingCandidate, epoch int64) bool {
	for _, c := range candidates {
		if c.Epoch < epoch {
			return false
		}
	}
	return len(candidates) > 0
}

// majorityHolds implements the majority rule: in a majority of failure domains all nodes that may be serving hold the
// epoch, and the freshness bound has passed since.
func (t *inForceTracker) majorityHolds(candidates []membership.ServingCandidate, epoch int64, bound time.Duration) bool {
	if !t.chainComplete(epoch) || !t.majorityUnderAllTexts(candidates, epoch) {
		t.majoritySince = time.Time{}
		return false
	}
	now := time.Now()
	if t.majoritySince.IsZero() {
		t.majoritySince = now
	}
	return now.Sub(t.majoritySince) > bound
}

// chainComplete reports whether the chain starts at the last epoch in force, or at epoch 1.
func (t *inForceTracker) chainComplete(epoch int64) bool {
	first := t.chain[0].Epoch
	return first == 1 || first == t.highestEpoch && first < epoch
}

// majorityUnderAllTexts reports whether a majority of failure domains holds the epoch under every text that a node may
// hold. It is false if a text lets isolated nodes serve, since those do not need fresh evidence.
func (t *inForceTracker) majorityUnderAllTexts(candidates []membership.ServingCandidate, epoch int64) bool {
	behind, present := make(map[string]bool), make(map[string]bool)
	for _, c := range candidates {
		present[c.FailureDomain] = true
		if c.Epoch < epoch {
			behind[c.FailureDomain] = true
		}
	}
	for _, s := range t.chain {
		if servesWhenIsolated(s.Text) {
			return false
		}
		domains, complete := s.Text.Settings.FailureDomains, 0
		for _, d := range domains {
			if present[d] && !behind[d] {
				complete++
			}
		}
		if len(domains) == 0 || complete <= len(domains)/2 {
			return false
		}
	}
	return true
}

func servesWhenIsolated(t *fleet.Text) bool {
	for _, s := range t.Services {
		if s.WhenIsolated == fleet.WhenIsolatedServe {
			return true
		}
	}
	return false
}

// InForce reports whether this entry knows that an epoch is in force. Once in force, an epoch stays in force.
func (a *Acceptor) InForce(epoch int64) bool {
	current := a.options.Store.Snapshot()
	if current == nil || epoch <= 0 {
		return false
	}
	a.inForce.observeInForce(a.options.Store.InForceEpoch(), a.options.Store.SnapshotAt)
	currentInForce := a.inForce.update(current, a.options.Store.SnapshotAt, a.options.Cluster.ServingCandidates)
	a.options.Store.ObserveInForce(a.inForce.highestInForce())
	if currentInForce {
		return epoch <= current.Epoch
	}
	return epoch <= a.inForce.highestInForce()
}

func (t *inForceTracker) highestInForce() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.highestEpoch
}

// Status returns the state of the fleet. While the current epoch is not in force, it also makes Run collect
// confirmations for a while.
func (a *Acceptor) Status() Status {
	current := a.options.Store.Snapshot()
	if current == nil {
		return Status{Unconfirmed: []string{}, InDoubt: a.InDoubt(), Nodes: []NodeStatus{}}
	}
	status := Status{Epoch: current.Epoch, Hash: current.Hash, InForce: a.InForce(current.Epoch), Fresh: a.options.Store.Fresh(),
		Unconfirmed: []string{}, InDoubt: a.InDoubt(), Nodes: []NodeStatus{}, Warnings: fleet.Warnings(current)}
	if !status.InForce {
		a.requestCollection()
	}
	now := time.Now()
	candidates := a.options.Cluster.ServingCandidates(current.Text.Settings.FreshnessBound)
	for _, c := range candidates {
		n := nodeStatus(current, c, now)
		if !n.Confirmed {
			status.Unconfirmed = append(status.Unconfirmed, c.Name)
		}
		status.Nodes = append(status.Nodes, n)
	}
	status.Evacuated = evacuatedDomains(current, candidates)
	status.Recalls = recallStatus(current, a.inForce.lastInForce(), candidates)
	status.Rollouts = rolloutStatus(current, candidates)
	return status
}

func nodeStatus(current *fleet.Snapshot, c membership.ServingCandidate, now time.Time) NodeStatus {
	n := NodeStatus{Name: c.Name, FailureDomain: c.FailureDomain, Role: string(c.Role), Epoch: c.Epoch,
		Confirmed: c.Epoch >= current.Epoch, LastHeardMs: -1, Endpoint: c.Endpoint, Live: c.Live, Leaving: c.Leaving,
		Fault: c.Fault, OrderFault: c.OrderFault, Loaded: c.Loaded}
	if !c.LastHeard.IsZero() {
		n.LastHeardMs = now.Sub(c.LastHeard).Milliseconds()
	}
	for _, v := range current.AssignedVersions(c.Endpoint) {
		if !slices.Contains(c.Loaded, v) {
			n.Missing = append(n.Missing, v)
		}
	}
	return n
}

// lastInForce returns the snapshot of the last epoch in force, or nil if it is not known.
func (t *inForceTracker) lastInForce() *fleet.Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.chain) > 0 && t.chain[0].Epoch == t.highestEpoch {
		return t.chain[0]
	}
	return nil
}

// evacuatedDomains returns the failure domains that current evacuates, in the order of the text.
func evacuatedDomains(current *fleet.Snapshot, candidates []membership.ServingCandidate) []EvacuatedDomain {
	var list []EvacuatedDomain
	for _, name := range current.Text.Settings.Evacuated {
		domain := EvacuatedDomain{Name: name}
		for _, c := range candidates {
			if c.FailureDomain == name && c.Endpoint != "" {
				domain.Endpoints++
			}
		}
		list = append(list, domain)
	}
	return list
}

// recallStatus returns the state of the names recalled by current. A name is stopped if lastInForce, the snapshot of
// the last epoch in force, already recalls it.
func recallStatus(current, lastInForce *fleet.Snapshot, candidates []membership.ServingCandidate) []RecallStatus {
	var list []RecallStatus
	for _, name := range current.Text.Recalled {
		r := RecallStatus{Name: name, Stopped: lastInForce != nil && slices.Contains(lastInForce.Text.Recalled, name)}
		for _, c := range candidates {
			if slices.ContainsFunc(c.Loaded, func(v endpoint.Version) bool { return fleet.RecallCovers(name, v) }) {
				r.Loaded = append(r.Loaded, c.Endpoint)
			}
		}
		list = append(list, r)
	}
	return list
}

// rolloutStatus returns the progress of each version that still has to replace another one on some endpoint.
func rolloutStatus(current *fleet.Snapshot, candidates []membership.ServingCandidate) []RolloutStatus {
	byName := make(map[string]*RolloutStatus)
	replacing := make(map[string]bool)
	for _, c := range candidates {
		for _, v := range current.AssignedVersions(c.Endpoint) {
			name := v.WeightName()
			if byName[name] == nil {
				byName[name] = &RolloutStatus{Version: name}
			}
			r := byName[name]
			r.AssignedEndpoints++
			if slices.Contains(c.Loaded, v) {
				r.HoldingEndpoints++
			} else if slices.ContainsFunc(c.Loaded,
				func(loaded endpoint.Version) bool { return loaded.Model == v.Model && loaded.Adapter == v.Adapter }) {
				replacing[name] = true
			}
			for _, fault := range []string{c.Fault, c.OrderFault} {
				if fault != "" {
					r.Faults = append(r.Faults, c.Endpoint+": "+fault)
				}
			}
		}
	}
	var list []RolloutStatus
	for _, name := range slices.Sorted(maps.Keys(replacing)) {
		list = append(list, *byName[name])
	}
	return list
}
