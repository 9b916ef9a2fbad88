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

// NodeStatus is one node's line of the status.
type NodeStatus struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	Role          string `json:"role"`
	Epoch         int64  `json:"epoch"`
	Confirmed     bool   `json:"confirmed"` // holds the current epoch
	LastHeardMs   int64  `json:"heard_ms"`  // age of the newest evidence; -1: never heard

	Endpoint   string             `json:"endpoint,omitempty"` // agent: endpoint name
	Live       bool               `json:"live"`               // may receive new work
	Leaving    bool               `json:"leaving,omitempty"`
	Fault      string             `json:"fault,omitempty"`       // why the endpoint cannot serve
	OrderFault string             `json:"order_fault,omitempty"` // why the engine does not hold what the text derives
	Loaded     []endpoint.Version `json:"loaded,omitempty"`
	Missing    []endpoint.Version `json:"missing,omitempty"` // versions of the text that the engine does not report
}

// RecallStatus is the state of one recalled name.
type RecallStatus struct {
	Name string `json:"name"`
	// Stopped says that no node can start an answer from the name any more. Until the epoch is in force it is false.
	Stopped bool     `json:"stopped"`
	Loaded  []string `json:"loaded,omitempty"` // endpoints whose engines still report weights that the name covers
}

// RolloutStatus is the state of a version that replaces another one.
type RolloutStatus struct {
	Version           string   `json:"version"`   // weight name
	HoldingEndpoints  int      `json:"holding"`   // endpoints that hold it
	AssignedEndpoints int      `json:"endpoints"` // known endpoints that the text gives it to
	Faults            []string `json:"faults,omitempty"`
}

// Status is the answer to GET /v1/fleet/status.
type Status struct {
	Epoch       int64        `json:"epoch"`
	Hash        string       `json:"hash"`
	InForce     bool         `json:"in_force"`
	Fresh       bool         `json:"fresh"`
	Unconfirmed []string     `json:"unconfirmed"`
	InDoubt     []string     `json:"in_doubt"`
	Nodes       []NodeStatus `json:"nodes"`
	Warnings    []string     `json:"warnings,omitempty"`

	Recalls  []RecallStatus  `json:"recalls,omitempty"`
	Rollouts []RolloutStatus `json:"rollouts,omitempty"`
}

// forceTracker decides when an epoch is in force. A node without the epoch may judge its evidence by any text since the
// last one that was in force, so the second rule must hold under each of them.
type forceTracker struct {
	mu      sync.Mutex
	inForce int64             // highest epoch that was in force
	texts   []*fleet.Snapshot // from the one last in force to the current one, without gaps; empty: unknown
	since   time.Time         // when a majority of failure domains held the current epoch
}

func newForceTracker() *forceTracker { return &forceTracker{} }

// learn takes over that another node found an epoch in force. The chain of texts then starts there, if this node still
// has that text; without it a restarted entry could not apply the second rule.
func (f *forceTracker) learn(epoch int64, base func(int64) *fleet.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if epoch <= f.inForce {
		return
	}
	f.inForce = epoch
	if s := base(epoch); s != nil {
		f.texts, f.since = []*fleet.Snapshot{s}, time.Time{}
	}
}

// update computes whether current is in force.
func (f *forceTracker) update(current *fleet.Snapshot, base func(int64) *fleet.Snapshot, nodes func(time.Duration) []membership.ServingCandidate) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if current.Epoch <= f.inForce {
		return true
	}
	f.extend(current, base)
	bound := f.bound()
	holders := nodes(bound)
	if allHold(holders, current.Epoch) || f.majorityHolds(holders, current.Epoch, bound) {
		f.inForce, f.texts, f.since = current.Epoch, []*fleet.Snapshot{current}, time.Time{}
		return true
	}
	return false
}

// extend brings texts up to the current epoch. An epoch in between that this node never held makes the chain unknown:
// texts then holds only the current one, and the second rule does not apply.
func (f *forceTracker) extend(current *fleet.Snapshot, base func(int64) *fleet.Snapshot) {
	if len(f.texts) > 0 && f.texts[len(f.texts)-1].Epoch == current.Epoch {
		return
	}
	f.since = time.Time{}
	if len(f.texts) == 0 {
		f.texts = []*fleet.Snapshot{current}
		return
	}
	for e := f.texts[len(f.texts)-1].Epoch + 1; e < current.Epoch; e++ {
		s := base(e)
		if s == nil {
			f.texts = []*fleet.Snapshot{current}
			return
		}
		f.texts = append(f.texts, s)
	}
	f.texts = append(f.texts, current)
}

// bound returns the largest freshness bound of the texts that a node may hold.
func (f *forceTracker) bound() time.Duration {
	var bound time.Duration
	for _, s := range f.texts {
		bound = max(bound, s.Text.Settings.FreshnessBound)
	}
	return bound
}

func allHold(holders []membership.ServingCandidate, epoch int64) bool {
	for _, h := range holders {
		if h.Epoch < epoch {
			return false
		}
	}
	return len(holders) > 0
}

// majorityHolds implements the second rule: all possibly serving nodes of a majority of failure domains hold the epoch,
// and the freshness bound has passed since.
func (f *forceTracker) majorityHolds(holders []membership.ServingCandidate, epoch int64, bound time.Duration) bool {
	if !f.chainKnown(epoch) || !f.majorities(holders, epoch) {
		f.since = time.Time{}
		return false
	}
	now := time.Now()
	if f.since.IsZero() {
		f.since = now
	}
	return now.Sub(f.since) > bound
}

// chainKnown reports whether texts starts at an epoch that was in force, or at the first epoch of all.
func (f *forceTracker) chainKnown(epoch int64) bool {
	first := f.texts[0].Epoch
	return first == 1 || first == f.inForce && first < epoch
}

// majorities reports whether the rule holds under the failure domains of every text that a node may hold.
func (f *forceTracker) majorities(holders []membership.ServingCandidate, epoch int64) bool {
	behind, present := make(map[string]bool), make(map[string]bool)
	for _, h := range holders {
		present[h.FailureDomain] = true
		if h.Epoch < epoch {
			behind[h.FailureDomain] = true
		}
	}
	for _, s := range f.texts {
		if servesIsolated(s.Text) {
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

func servesIsolated(t *fleet.Text) bool {
	for _, s := range t.Services {
		if s.WhenIsolated == fleet.WhenIsolatedServe {
			return true
		}
	}
	return false
}

// InForce reports whether an epoch is in force as far as this entry knows. It stays so once it was.
func (a *Acceptor) InForce(epoch int64) bool {
	current := a.options.Store.Snapshot()
	if current == nil || epoch <= 0 {
		return false
	}
	a.force.learn(a.options.Store.InForce(), a.options.Store.SnapshotAt)
	done := a.force.update(current, a.options.Store.SnapshotAt, a.options.Cluster.PossiblyServingNodes)
	a.options.Store.ObserveInForce(a.force.highest())
	if done {
		return epoch <= current.Epoch
	}
	return epoch <= a.force.highest()
}

func (f *forceTracker) highest() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inForce
}

// Status returns the epoch at each node. It makes this entry collect confirmations for a while.
func (a *Acceptor) Status() Status {
	current := a.options.Store.Snapshot()
	if current == nil {
		return Status{Unconfirmed: []string{}, InDoubt: a.InDoubt(), Nodes: []NodeStatus{}}
	}
	st := Status{Epoch: current.Epoch, Hash: current.Hash, InForce: a.InForce(current.Epoch), Fresh: a.options.Store.Fresh(),
		Unconfirmed: []string{}, InDoubt: a.InDoubt(), Nodes: []NodeStatus{}, Warnings: fleet.Warnings(current)}
	if !st.InForce {
		a.wantCollect()
	}
	now := time.Now()
	holders := a.options.Cluster.PossiblyServingNodes(current.Text.Settings.FreshnessBound)
	for _, h := range holders {
		n := nodeStatus(current, h, now)
		if !n.Confirmed {
			st.Unconfirmed = append(st.Unconfirmed, h.Name)
		}
		st.Nodes = append(st.Nodes, n)
	}
	st.Recalls = recallStatus(current, a.force.settled(), holders)
	st.Rollouts = rolloutStatus(current, holders)
	return st
}

func nodeStatus(current *fleet.Snapshot, h membership.ServingCandidate, now time.Time) NodeStatus {
	n := NodeStatus{Name: h.Name, FailureDomain: h.FailureDomain, Role: string(h.Role), Epoch: h.Epoch,
		Confirmed: h.Epoch >= current.Epoch, LastHeardMs: -1, Endpoint: h.Endpoint, Live: h.Live, Leaving: h.Leaving,
		Fault: h.Fault, OrderFault: h.OrderFault, Loaded: h.Loaded}
	if !h.LastHeard.IsZero() {
		n.LastHeardMs = now.Sub(h.LastHeard).Milliseconds()
	}
	for _, v := range current.AssignedVersions(h.Endpoint) {
		if !slices.Contains(h.Loaded, v) {
			n.Missing = append(n.Missing, v)
		}
	}
	return n
}

// settled returns the snapshot of the epoch last in force, nil if none is known.
func (f *forceTracker) settled() *fleet.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.texts) > 0 && f.texts[0].Epoch == f.inForce {
		return f.texts[0]
	}
	return nil
}

// recallStatus describes the recalled names of current. A name that the epoch last in force recalled already is stopped.
func recallStatus(current, settled *fleet.Snapshot, holders []membership.ServingCandidate) []RecallStatus {
	var list []RecallStatus
	for _, name := range current.Text.Recalled {
		r := RecallStatus{Name: name, Stopped: settled != nil && slices.Contains(settled.Text.Recalled, name)}
		for _, h := range holders {
			if slices.ContainsFunc(h.Loaded, func(v endpoint.Version) bool { return fleet.RecallCovers(name, v) }) {
				r.Loaded = append(r.Loaded, h.Endpoint)
			}
		}
		list = append(list, r)
	}
	return list
}

// rolloutStatus describes the versions of current for which an endpoint still holds another one.
func rolloutStatus(current *fleet.Snapshot, holders []membership.ServingCandidate) []RolloutStatus {
	byName := make(map[string]*RolloutStatus)
	replacing := make(map[string]bool)
	for _, h := range holders {
		for _, v := range current.AssignedVersions(h.Endpoint) {
			name := v.WeightName()
			if byName[name] == nil {
				byName[name] = &RolloutStatus{Version: name}
			}
			r := byName[name]
			r.AssignedEndpoints++
			if slices.Contains(h.Loaded, v) {
				r.HoldingEndpoints++
			} else if slices.ContainsFunc(h.Loaded, func(l endpoint.Version) bool { return l.Model == v.Model && l.Adapter == v.Adapter }) {
				replacing[name] = true
			}
			for _, fault := range []string{h.Fault, h.OrderFault} {
				if fault != "" {
					r.Faults = append(r.Faults, h.Endpoint+": "+fault)
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
