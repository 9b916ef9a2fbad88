package membership

import (
	"cmp"
	"container/list"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/internal/timing"
	"github.com/bilberrylink/bilberrylink/wire"
)

const (
	// baseSilenceTimeout and silenceTimeoutPerNode determine the silence after which a node no longer counts as live. The
	// size of gossip messages is bounded, so a record spreads more slowly in a larger fleet: it takes about 18 s with
	// 1,130 nodes.
	baseSilenceTimeout    = 5 * time.Second
	silenceTimeoutPerNode = 50 * time.Millisecond
	// forgetTimeout is the silence after which a node that is not on the VM list is deleted.
	forgetTimeout = 10 * time.Minute
	// maxViewAge is the largest age of the cached view. An entry receives thousands of load reports per second, and
	// routing tolerates a slightly stale view, so the view is not rebuilt for each report.
	maxViewAge = 20 * time.Millisecond
	// maxRetiredIncarnations is the number of earlier incarnations of a node that are remembered, so that delayed gossip
	// about one of them does not replace its successor.
	maxRetiredIncarnations = 4
)

// Options configures a Table.
type Options struct {
	Name string // name of this node
}

// nodeState holds what the table knows about one node.
type nodeState struct {
	record              *wire.NodeRecord // newest record of the newest incarnation; nil if there is none
	producedAt          time.Time        // when the record or the newest update was produced, as far as known
	heardAt             time.Time        // newest evidence that the node runs
	failedAt            time.Time        // newest evidence that it does not answer
	vm                  cloud.VM         // from the newest list that contained the node
	listed              bool             // the newest list contains the node
	unlistedAt          time.Time        // when the node was no longer on the list
	leaving             bool             // the current incarnation is leaving, or the list says so
	retiredIncarnations []string         // earlier incarnations, the oldest first
	knownEpoch          int64            // highest epoch that the node is known to hold, in any incarnation
	reportedEpoch       int64            // highest epoch that the node itself reported
	incarnationKey      uint64           // identifies the record's incarnation in updates
	staticHash          uint32           // hash of the fields of the record that updates do not carry
	updateSequence      uint64           // sequence number of the newest update
	gossipElement       *list.Element    // in Table.gossipOrder
	directElement       *list.Element    // in Table.directOrder; nil if the node itself never sent a record
}

// Table holds the membership as one node knows it. It is safe for concurrent use.
type Table struct {
	options Options

	mu             sync.Mutex
	nodes          map[string]*nodeState
	sortedNames    []string          // keys of nodes, sorted
	listedNames    []string          // names on the newest VM list, sorted
	listDigest     uint64            // hash of listedNames
	nameByEndpoint map[string]string // node name by endpoint name
	nameByKey      map[uint64]string // node name by key of the newest incarnation
	nameByHash     map[uint64]string // node name by its xxhash64
	missingKeys    map[uint64]bool   // keys of updates for which the record is missing or outdated
	gossipOrder    *list.List        // names, the most recently changed first; the order in which records are gossiped
	directOrder    *list.List        // names of nodes that sent their record themselves, the most recent first
	cachedView     view
	pushNames      map[string]bool // names of nodes that began to leave or returned and whose records are to be pushed at once
	pushSignal     chan struct{}   // holds a token while pushNames may have elements
}

// view is the cached result of Entries and Agents.
type view struct {
	validFrom time.Time // like builtAt; zero if a change has made the view outdated
	builtAt   time.Time // when the view was built
	entries   []Node
	agents    []Node
}

// NewTable returns an empty table.
func NewTable(o Options) *Table {
	return &Table{options: o, nodes: make(map[string]*nodeState), nameByEndpoint: make(map[string]string),
		nameByKey: make(map[uint64]string), nameByHash: make(map[uint64]string), missingKeys: make(map[uint64]bool),
		gossipOrder: list.New(), directOrder: list.New(), pushNames: make(map[string]bool), pushSignal: make(chan struct{}, 1)}
}

// stateOf returns the state of a name, which is created if it is new.
func (t *Table) stateOf(name string) *nodeState {
	s := t.nodes[name]
	if s == nil {
		s = &nodeState{gossipElement: t.gossipOrder.PushBack(name)}
		t.nodes[name] = s
		t.nameByHash[xxhash.Sum64String(name)] = name
		index, _ := slices.BinarySearch(t.sortedNames, name)
		t.sortedNames = slices.Insert(t.sortedNames, index, name)
	}
	return s
}

// SetVMList replaces the VM list. A node that the list shows as leaving is leaving. The list lags, so a node that it no
// longer contains still counts as live while it is heard.
func (t *Table) SetVMList(vms []cloud.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	onList := make(map[string]bool, len(vms))
	for _, vm := range vms {
		onList[vm.Name] = true
		s := t.stateOf(vm.Name)
		s.vm, s.listed, s.unlistedAt = vm, true, time.Time{}
		if vm.State == cloud.VMLeaving {
			t.markLeavingLocked(vm.Name, s)
		}
	}
	for name, s := range t.nodes {
		if s.listed && !onList[name] {
			s.listed, s.unlistedAt = false, now
		}
		if !s.listed && name != t.options.Name && now.Sub(s.heardAt) > forgetTimeout {
			t.deleteNode(name, s)
		}
	}
	t.listedNames = slices.Sorted(maps.Keys(onList))
	t.listDigest = xxhash.Sum64String(strings.Join(t.listedNames, "\n"))
	t.cachedView.validFrom = time.Time{}
}

// ListedNames returns the sorted names on the newest VM list and their digest. Nodes with equal digests have equal lists,
// so they can refer to a node by its index. The slice must not be changed.
func (t *Table) ListedNames() (names []string, digest uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listedNames, t.listDigest
}

// deleteNode deletes a node and all references to it.
func (t *Table) deleteNode(name string, s *nodeState) {
	delete(t.nodes, name)
	t.gossipOrder.Remove(s.gossipElement)
	if s.directElement != nil {
		t.directOrder.Remove(s.directElement)
	}
	delete(t.nameByKey, s.incarnationKey)
	delete(t.nameByHash, xxhash.Sum64String(name))
	if index, found := slices.BinarySearch(t.sortedNames, name); found {
		t.sortedNames = slices.Delete(t.sortedNames, index, index+1)
	}
	if s.record != nil && t.nameByEndpoint[s.record.Endpoint] == name {
		delete(t.nameByEndpoint, s.record.Endpoint)
	}
}

// markLeavingLocked marks the current incarnation as leaving, which is final, and queues its record for an immediate push.
func (t *Table) markLeavingLocked(name string, s *nodeState) {
	if s.leaving {
		return
	}
	s.leaving = true
	t.moveToGossipFront(s)
	t.cachedView.validFrom = time.Time{}
	t.queuePushLocked(name)
}

// queuePushLocked queues the record of a node for an immediate push.
func (t *Table) queuePushLocked(name string) {
	t.pushNames[name] = true
	timing.Signal(t.pushSignal)
}

// moveToGossipFront makes the record of a node the next one to be gossiped.
func (t *Table) moveToGossipFront(s *nodeState) { t.gossipOrder.MoveToFront(s.gossipElement) }

// Observe merges a record that has just arrived. direct says that the node itself sent it.
func (t *Table) Observe(received *wire.NodeRecord, direct bool) {
	if received == nil || received.Name == "" {
		return
	}
	now := time.Now()
	producedAt := now
	if !direct {
		producedAt = now.Add(-time.Duration(max(received.AgeMs, 0)) * time.Millisecond)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stateOf(received.Name)
	if !s.isNewer(received, producedAt) {
		return
	}
	restarted := s.record != nil && s.record.Incarnation != received.Incarnation
	if restarted {
		s.retireIncarnation()
	}
	t.storeRecord(s, received, producedAt, direct, restarted)
	if received.Leaving {
		t.markLeavingLocked(received.Name, s)
	} else if restarted {
		t.queuePushLocked(received.Name)
	}
}

// isNewer reports whether a received record is newer than the known one. A record of another incarnation is newer if it
// was produced later and the incarnation is not one that was replaced earlier.
func (s *nodeState) isNewer(received *wire.NodeRecord, producedAt time.Time) bool {
	if s.record == nil {
		return true
	}
	if received.Incarnation == s.record.Incarnation {
		return received.Sequence > s.record.Sequence || received.Leaving && !s.leaving
	}
	return !slices.Contains(s.retiredIncarnations, received.Incarnation) && producedAt.After(s.producedAt)
}

// retireIncarnation moves the current incarnation to the earlier ones.
func (s *nodeState) retireIncarnation() {
	s.retiredIncarnations = append(s.retiredIncarnations, s.record.Incarnation)
	if len(s.retiredIncarnations) > maxRetiredIncarnations {
		s.retiredIncarnations = s.retiredIncarnations[1:]
	}
	s.leaving = s.listed && s.vm.State == cloud.VMLeaving
	s.failedAt = time.Time{}
}

// storeRecord replaces the record of a node and updates all that is derived from it.
func (t *Table) storeRecord(s *nodeState, received *wire.NodeRecord, producedAt time.Time, direct, restarted bool) {
	previous := s.record
	merged := proto.Clone(received).(*wire.NodeRecord)
	merged.AgeMs = 0
	if previous != nil && !restarted {
		merged.Load = newerLoad(previous.Load, merged.Load)
		merged.Epoch = max(merged.Epoch, previous.Epoch)
	}
	if restarted {
		s.updateSequence = 0
	}
	s.record = merged
	if producedAt.After(s.producedAt) {
		s.producedAt = producedAt
	}
	if producedAt.After(s.heardAt) {
		s.heardAt = producedAt
	}
	s.knownEpoch = max(s.knownEpoch, received.Epoch)
	if direct {
		s.reportedEpoch = max(s.reportedEpoch, received.Epoch)
	}
	if received.Endpoint != "" {
		t.nameByEndpoint[received.Endpoint] = received.Name
	}
	if previous == nil || restarted || previous.Fault != received.Fault {
		t.cachedView.validFrom = time.Time{}
	}
	if previous == nil || restarted {
		delete(t.nameByKey, s.incarnationKey)
		s.incarnationKey = keyOf(received)
		t.nameByKey[s.incarnationKey] = received.Name
	}
	if direct && s.directElement == nil {
		s.directElement = t.directOrder.PushFront(received.Name)
	} else if direct {
		t.directOrder.MoveToFront(s.directElement)
	}
	if hash := staticHashOf(merged); previous == nil || restarted || hash != s.staticHash {
		s.staticHash = hash
		t.moveToGossipFront(s)
	}
}

// newerLoad returns received unless known is at least as new. Loads of one incarnation are ordered by sequence number.
func newerLoad(known, received *wire.Load) *wire.Load {
	if received == nil {
		return known
	}
	if known != nil && known.Incarnation == received.Incarnation && known.Sequence >= received.Sequence {
		return known
	}
	return received
}

// ObserveEpoch records that a node holds an epoch, as reported by a third node.
func (t *Table) ObserveEpoch(name string, epoch int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stateOf(name)
	s.knownEpoch = max(s.knownEpoch, epoch)
}

// ObserveReportedEpoch records that a node reported to another entry that it holds an epoch, so that NodesReportingEpoch
// includes it.
func (t *Table) ObserveReportedEpoch(name string, epoch int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stateOf(name)
	s.knownEpoch, s.reportedEpoch = max(s.knownEpoch, epoch), max(s.reportedEpoch, epoch)
}

// ObserveLoad implements View. Since the agent itself sent the load, it is also evidence that the agent runs.
func (t *Table) ObserveLoad(load *wire.Load) {
	if load == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.nodes[t.nameByEndpoint[load.Endpoint]]
	if s == nil || s.record == nil || slices.Contains(s.retiredIncarnations, load.Incarnation) {
		return
	}
	s.heardAt = time.Now()
	newer := newerLoad(s.record.Load, load)
	if newer == s.record.Load {
		return
	}
	s.record.Load = proto.Clone(newer).(*wire.Load)
}

// ObserveFailure implements View. The node counts as not live until it is heard again.
func (t *Table) ObserveFailure(endpointName string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.nodes[t.nameByEndpoint[endpointName]]; s != nil {
		s.failedAt = time.Now()
		t.cachedView.validFrom = time.Time{}
	}
}

// ObserveLeaving implements View.
func (t *Table) ObserveLeaving(endpointName string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	name := t.nameByEndpoint[endpointName]
	if s := t.nodes[name]; s != nil {
		t.markLeavingLocked(name, s)
	}
}

// SelfLeaving reports whether this node's VM is leaving according to the list or another node.
func (t *Table) SelfLeaving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.nodes[t.options.Name]
	return s != nil && s.leaving
}

// silenceTimeout returns the silence after which a node does not count as live.
func (t *Table) silenceTimeout() time.Duration {
	return baseSilenceTimeout + time.Duration(len(t.nodes))*silenceTimeoutPerNode
}

// live reports whether a node may receive new work:
//   - on the list but never heard: not live, since its endpoint is unknown and it may not have started;
//   - no longer on the list but still heard: live, since the list lags;
//   - leaving, according to the list or to its own record: not live;
//   - failed to answer after it was last heard: not live until it is heard again.
func (t *Table) live(s *nodeState, now time.Time) bool {
	if s.record == nil || s.leaving || s.heardAt.IsZero() {
		return false
	}
	if !s.failedAt.IsZero() && !s.heardAt.After(s.failedAt) {
		return false
	}
	return now.Sub(s.heardAt) < t.silenceTimeout()
}

// nodeOf returns the Node for a state.
func (t *Table) nodeOf(name string, s *nodeState, now time.Time) Node {
	n := Node{Name: name, Addr: s.vm.Addr, FailureDomain: s.vm.FailureDomain, Role: s.vm.Role, Leaving: s.leaving,
		Live: t.live(s, now), LastHeard: s.heardAt, Epoch: s.knownEpoch}
	if r := s.record; r != nil {
		n.Addr, n.FailureDomain, n.Role = r.Addr, cmp.Or(r.FailureDomain, s.vm.FailureDomain), cloud.VMRole(r.Role)
		n.Endpoint, n.EndpointKind, n.Incarnation = r.Endpoint, r.EndpointKind, r.Incarnation
		n.Epoch, n.Fault, n.OrderFault, n.Load = r.Epoch, r.Fault, r.OrderFault, r.Load
		for _, v := range r.Loaded {
			n.Loaded = append(n.Loaded, wire.DecodeVersion(v))
		}
	}
	return n
}

// currentView returns the cached view, which it rebuilds if it is outdated. The slices are shared and must not be changed.
func (t *Table) currentView() view {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if !t.cachedView.validFrom.IsZero() && now.Sub(t.cachedView.validFrom) < maxViewAge {
		return t.cachedView
	}
	next := view{validFrom: now, builtAt: now}
	for _, name := range t.sortedNames {
		n := t.nodeOf(name, t.nodes[name], now)
		switch {
		case n.Role == cloud.RoleEntry && t.mayBeLive(t.nodes[name], now):
			next.entries = append(next.entries, n)
		case n.Role == cloud.RoleAgent && n.Endpoint != "" && t.mayBeLive(t.nodes[name], now):
			next.agents = append(next.agents, n)
		}
	}
	t.cachedView = next
	return next
}

// mayBeLive reports whether the view contains a node: it is on the list, or was heard recently.
func (t *Table) mayBeLive(s *nodeState, now time.Time) bool {
	return s.listed || t.live(s, now) || !s.heardAt.IsZero() && now.Sub(s.heardAt) < t.silenceTimeout()
}

// CachedEntries returns Entries from a view that is at most maxAge old. It is used to select the targets of gossip: in a
// large fleet, rebuilding the view for every message would take most of a node's CPU time.
func (t *Table) CachedEntries(maxAge time.Duration) []Node {
	t.mu.Lock()
	cached := t.cachedView
	t.mu.Unlock()
	if cached.builtAt.IsZero() || time.Since(cached.builtAt) >= maxAge {
		cached = t.currentView()
	}
	return cached.entries
}

// Entries implements View. The slice is shared; callers must not change it.
func (t *Table) Entries() []Node { return t.currentView().entries }

// Agents implements View. The slice is shared; callers must not change it.
func (t *Table) Agents() []Node { return t.currentView().agents }

// Endpoint implements View.
func (t *Table) Endpoint(name string) (Node, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	nodeName, ok := t.nameByEndpoint[name]
	if !ok {
		return Node{}, false
	}
	return t.nodeOf(nodeName, t.nodes[nodeName], time.Now()), true
}

// LiveEntryCount returns the number of live entries, at least 1.
func (t *Table) LiveEntryCount() int {
	count := 0
	for _, n := range t.Entries() {
		if n.Live {
			count++
		}
	}
	return max(count, 1)
}

// ServingCandidate is a node that may be serving requests, with the epoch that it is known to hold.
type ServingCandidate struct {
	Name          string
	FailureDomain string
	Role          cloud.VMRole
	Epoch         int64
	LastHeard     time.Time
	Endpoint      string // agent: endpoint name
	Live          bool   // may receive new work
	Leaving       bool
	Fault         string // as in Node
	OrderFault    string // as in Node
	Loaded        []endpoint.Version
}

// NodesReportingEpoch returns the names of the nodes that have themselves reported that they hold epoch or a later one.
func (t *Table) NodesReportingEpoch(epoch int64) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for name, s := range t.nodes {
		if s.reportedEpoch >= epoch {
			names = append(names, name)
		}
	}
	return names
}

// ServingCandidates returns the nodes that may be serving requests, sorted by name: those on the list, and others that
// were heard within maxSilence.
func (t *Table) ServingCandidates(maxSilence time.Duration) []ServingCandidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	maxSilence = max(maxSilence, t.silenceTimeout()) // in a large fleet, gossip may take longer than maxSilence to arrive
	var candidates []ServingCandidate
	for _, name := range t.sortedNames {
		s := t.nodes[name]
		if !s.listed && (s.heardAt.IsZero() || now.Sub(s.heardAt) >= maxSilence) {
			continue
		}
		n := t.nodeOf(name, s, now)
		candidates = append(candidates, ServingCandidate{Name: name, FailureDomain: n.FailureDomain, Role: n.Role,
			Epoch: s.knownEpoch, LastHeard: s.heardAt, Endpoint: n.Endpoint, Live: n.Live, Leaving: n.Leaving, Fault: n.Fault,
			OrderFault: n.OrderFault, Loaded: n.Loaded})
	}
	return candidates
}

// Records returns records of other nodes for a gossip message to the node target: up to maxBytes, the most recently
// changed first, and without the record of target unless target is leaving.
func (t *Table) Records(maxBytes int, target string) []*wire.NodeRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []*wire.NodeRecord
	for element := t.gossipOrder.Front(); element != nil; element = element.Next() {
		name, _ := element.Value.(string)
		s := t.nodes[name]
		if s.record == nil || name == t.options.Name || name == target && !s.leaving {
			continue
		}
		r := t.recordsLocked([]string{name})[0]
		if maxBytes -= proto.Size(r); maxBytes < 0 {
			break
		}
		records = append(records, r)
	}
	return records
}

// recordsLocked returns copies of the records of the named nodes, with their current ages.
func (t *Table) recordsLocked(names []string) []*wire.NodeRecord {
	now := time.Now()
	records := make([]*wire.NodeRecord, 0, len(names))
	for _, name := range names {
		s := t.nodes[name]
		r := proto.Clone(s.record).(*wire.NodeRecord)
		r.AgeMs = min(int64(now.Sub(s.producedAt)/time.Millisecond), math.MaxInt32)
		r.Leaving = s.leaving
		records = append(records, r)
	}
	return records
}

// LeavingRecord returns the record of a node if the node is known to be leaving. It is used to inform the node itself.
func (t *Table) LeavingRecord(name string) []*wire.NodeRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.nodes[name]; s != nil && s.leaving && s.record != nil {
		return t.recordsLocked([]string{name})
	}
	return nil
}

// EndpointRecords returns the known records of the agents of the named endpoints.
func (t *Table) EndpointRecords(endpoints []string) []*wire.NodeRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for _, endpointName := range endpoints {
		if name, ok := t.nameByEndpoint[endpointName]; ok && t.nodes[name].record != nil {
			names = append(names, name)
		}
	}
	return t.recordsLocked(names)
}

// PushSignal returns a channel that receives a value when TakePushRecords may have records to push at once.
func (t *Table) PushSignal() <-chan struct{} { return t.pushSignal }

// TakePushRecords returns up to limit records of nodes that began to leave or returned since the last call.
func (t *Table) TakePushRecords(limit int) []*wire.NodeRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for name := range t.pushNames {
		delete(t.pushNames, name)
		if s := t.nodes[name]; s != nil && s.record != nil && len(names) < limit {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return t.recordsLocked(names)
}
