package membership

import (
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
	"github.com/bilberrylink/bilberrylink/wire"
)

const (
	// silentBase and silentPerNode determine the silence after which a node no longer counts as live. The size of gossip
	// messages is bounded, so a record spreads more slowly in a larger fleet: it takes about 18 s with 1,130 nodes.
	silentBase    = 5 * time.Second
	silentPerNode = 50 * time.Millisecond
	// forgetAfter is the silence after which a node that is not on the VM list is deleted.
	forgetAfter = 10 * time.Minute
	// maxViewAge is the largest age of the cached view. An entry receives thousands of load reports per second, and
	// routing tolerates a slightly stale view, so the view is not rebuilt for each report.
	maxViewAge = 20 * time.Millisecond
	// retiredIncarnations is the number of earlier incarnations of a node that are remembered, so that delayed gossip
	// about one of them does not replace its successor.
	retiredIncarnations = 4
)

// Options configures a Table.
type Options struct {
	Name string // name of this node
}

// state holds what the table knows about one node.
type state struct {
	record   *wire.NodeRecord // newest record of the newest incarnation; nil if there is none
	born     time.Time        // when the record or the newest update was produced, as far as known
	heard    time.Time        // newest evidence that the node runs
	failed   time.Time        // newest evidence that it does not answer
	vm       cloud.VM         // from the newest list that contained the node
	listed   bool             // the newest list contains the node
	dropped  time.Time        // when the node was no longer on the list
	leaving  bool             // the current incarnation is leaving, or the list says so
	retired  []string         // earlier incarnations, the oldest first
	epoch    int64            // highest epoch that the node is known to hold, in any incarnation
	told     int64            // highest epoch that the node itself reported
	key      uint64           // identifies the record's incarnation in updates
	constant uint32           // hash of the fields of the record that updates do not carry
	updated  uint64           // sequence number of the newest update
	spread   *list.Element    // in Table.spread
	direct   *list.Element    // in Table.direct; nil if the node itself never sent a record
}

// Table holds the membership as one node knows it. It is safe for concurrent use.
type Table struct {
	options Options

	mu       sync.Mutex
	nodes    map[string]*state
	names    []string          // keys of nodes, sorted
	listed   []string          // names on the newest VM list, sorted
	digest   uint64            // hash of listed
	byEnd    map[string]string // node name by endpoint name
	byKey    map[uint64]string // node name by key of the newest incarnation
	byName   map[uint64]string // node name by its xxhash64
	lacking  map[uint64]bool   // keys of updates for which the record is missing or outdated
	spread   *list.List        // names, the most recently changed first; the order in which records are gossiped
	direct   *list.List        // names of nodes that sent their record themselves, the most recent first
	cached   view
	urgent   map[string]bool // names of nodes that began to leave or returned and whose records are to be pushed at once
	wakePush chan struct{}   // holds a token while urgent may have elements
}

// view is the cached result of Entries and Agents.
type view struct {
	at      time.Time // like built; zero if a change has made the view outdated
	built   time.Time // when the view was built
	entries []Node
	agents  []Node
}

// NewTable returns an empty table.
func NewTable(o Options) *Table {
	return &Table{options: o, nodes: make(map[string]*state), byEnd: make(map[string]string),
		byKey: make(map[uint64]string), byName: make(map[uint64]string), lacking: make(map[uint64]bool), spread: list.New(), direct: list.New(), urgent: make(map[string]bool), wakePush: make(chan struct{}, 1)}
}

// node returns the state of a name, which is created if it is new.
func (t *Table) node(name string) *state {
	s := t.nodes[name]
	if s == nil {
		s = &state{spread: t.spread.PushBack(name)}
		t.nodes[name] = s
		t.byName[xxhash.Sum64String(name)] = name
		at, _ := slices.BinarySearch(t.names, name)
		t.names = slices.Insert(t.names, at, name)
	}
	return s
}

// SetVMList replaces the VM list. A node that the list shows as leaving is leaving. The list lags, so a node that it no
// longer contains still counts as live while it is heard.
func (t *Table) SetVMList(vms []cloud.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	named := make(map[string]bool, len(vms))
	for _, vm := range vms {
		named[vm.Name] = true
		s := t.node(vm.Name)
		s.vm, s.listed, s.dropped = vm, true, time.Time{}
		if vm.State == cloud.VMLeaving {
			t.leaveLocked(vm.Name, s)
		}
	}
	for name, s := range t.nodes {
		if s.listed && !named[name] {
			s.listed, s.dropped = false, now
		}
		if !s.listed && name != t.options.Name && now.Sub(s.heard) > forgetAfter {
			t.forget(name, s)
		}
	}
	t.listed = slices.Sorted(maps.Keys(named))
	t.digest = xxhash.Sum64String(strings.Join(t.listed, "\n"))
	t.cached.at = time.Time{}
}

// ListedNames returns the sorted names on the newest VM list and their digest. Nodes with equal digests have equal lists, so
// they can refer to a node by its index. The slice must not be changed.
func (t *Table) ListedNames() (names []string, digest uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listed, t.digest
}

// forget deletes a node.
func (t *Table) forget(name string, s *state) {
	delete(t.nodes, name)
	t.spread.Remove(s.spread)
	if s.direct != nil {
		t.direct.Remove(s.direct)
	}
	delete(t.byKey, s.key)
	delete(t.byName, xxhash.Sum64String(name))
	if at, found := slices.BinarySearch(t.names, name); found {
		t.names = slices.Delete(t.names, at, at+1)
	}
	if s.record != nil && t.byEnd[s.record.Endpoint] == name {
		delete(t.byEnd, s.record.Endpoint)
	}
}

// leaveLocked marks the current incarnation as leaving, which is final, and queues its record for an immediate push.
func (t *Table) leaveLocked(name string, s *state) {
	if s.leaving {
		return
	}
	s.leaving = true
	t.touch(s)
	t.cached.at = time.Time{}
	t.announceLocked(name)
}

// announceLocked queues the record of a node for an immediate push.
func (t *Table) announceLocked(name string) {
	t.urgent[name] = true
	select {
	case t.wakePush <- struct{}{}:
	default:
	}
}

// touch makes the record of a node the next one to be gossiped.
func (t *Table) touch(s *state) { t.spread.MoveToFront(s.spread) }

// Observe merges a record that has just arrived. direct says that the node itself sent it.
func (t *Table) Observe(r *wire.NodeRecord, direct bool) {
	if r == nil || r.Name == "" {
		return
	}
	now := time.Now()
	born := now
	if !direct {
		born = now.Add(-time.Duration(max(r.AgeMs, 0)) * time.Millisecond)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.node(r.Name)
	if !s.accepts(r, born) {
		return
	}
	restarted := s.record != nil && s.record.Incarnation != r.Incarnation
	if restarted {
		s.retire()
	}
	t.store(s, r, born, direct, restarted)
	if r.Leaving {
		t.leaveLocked(r.Name, s)
	} else if restarted {
		t.announceLocked(r.Name)
	}
}

// accepts reports whether r is newer than the known record. A record of another incarnation is newer if it was produced
// later and the incarnation is not one that was replaced earlier.
func (s *state) accepts(r *wire.NodeRecord, born time.Time) bool {
	if s.record == nil {
		return true
	}
	if r.Incarnation == s.record.Incarnation {
		return r.Sequence > s.record.Sequence || r.Leaving && !s.leaving
	}
	return !slices.Contains(s.retired, r.Incarnation) && born.After(s.born)
}

// retire moves the current incarnation to the earlier ones.
func (s *state) retire() {
	s.retired = append(s.retired, s.record.Incarnation)
	if len(s.retired) > retiredIncarnations {
		s.retired = s.retired[1:]
	}
	s.leaving = s.listed && s.vm.State == cloud.VMLeaving
	s.failed = time.Time{}
}

// store replaces the record of a node and updates all that is derived from it.
func (t *Table) store(s *state, r *wire.NodeRecord, born time.Time, direct, restarted bool) {
	previous := s.record
	next := proto.Clone(r).(*wire.NodeRecord)
	next.AgeMs = 0
	if previous != nil && !restarted {
		next.Load = newerLoad(previous.Load, next.Load)
		next.Epoch = max(next.Epoch, previous.Epoch)
	}
	if restarted {
		s.updated = 0
	}
	s.record = next
	if born.After(s.born) {
		s.born = born
	}
	if born.After(s.heard) {
		s.heard = born
	}
	s.epoch = max(s.epoch, r.Epoch)
	if direct {
		s.told = max(s.told, r.Epoch)
	}
	if r.Endpoint != "" {
		t.byEnd[r.Endpoint] = r.Name
	}
	if previous == nil || restarted || previous.Fault != r.Fault {
		t.cached.at = time.Time{}
	}
	if previous == nil || restarted {
		delete(t.byKey, s.key)
		s.key = nodeKey(r)
		t.byKey[s.key] = r.Name
	}
	if direct && s.direct == nil {
		s.direct = t.direct.PushFront(r.Name)
	} else if direct {
		t.direct.MoveToFront(s.direct)
	}
	if constant := constantOf(next); previous == nil || restarted || constant != s.constant {
		s.constant = constant
		t.touch(s)
	}
}

// newerLoad returns next unless held is at least as new. Loads of one incarnation are ordered by sequence number.
func newerLoad(held, next *wire.Load) *wire.Load {
	if next == nil {
		return held
	}
	if held != nil && held.Incarnation == next.Incarnation && held.Sequence >= next.Sequence {
		return held
	}
	return next
}

// ObserveEpoch records that a node holds an epoch, as reported by a third node.
func (t *Table) ObserveEpoch(name string, epoch int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.node(name)
	s.epoch = max(s.epoch, epoch)
}

// ObserveReportedEpoch records that a node reported to another entry that it holds an epoch, so that ToldEpoch includes it.
func (t *Table) ObserveReportedEpoch(name string, epoch int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.node(name)
	s.epoch, s.told = max(s.epoch, epoch), max(s.told, epoch)
}

// ObserveLoad implements View. Since the agent itself sent the load, it is also evidence that the agent runs.
func (t *Table) ObserveLoad(load *wire.Load) {
	if load == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.nodes[t.byEnd[load.Endpoint]]
	if s == nil || s.record == nil || slices.Contains(s.retired, load.Incarnation) {
		return
	}
	s.heard = time.Now()
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
	if s := t.nodes[t.byEnd[endpointName]]; s != nil {
		s.failed = time.Now()
		t.cached.at = time.Time{}
	}
}

// ObserveLeaving implements View.
func (t *Table) ObserveLeaving(endpointName string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	name := t.byEnd[endpointName]
	if s := t.nodes[name]; s != nil {
		t.leaveLocked(name, s)
	}
}

// SelfLeaving reports whether this node's VM is leaving according to the list or another node.
func (t *Table) SelfLeaving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.nodes[t.options.Name]
	return s != nil && s.leaving
}

// silentAfter returns the silence after which a node does not count as live.
func (t *Table) silentAfter() time.Duration {
	return silentBase + time.Duration(len(t.nodes))*silentPerNode
}

// live reports whether a node may receive new work:
//   - on the list but never heard: not live, since its endpoint is unknown and it may not have started;
//   - no longer on the list but still heard: live, since the list lags;
//   - leaving, according to the list or to its own record: not live;
//   - failed to answer after it was last heard: not live until it is heard again.
func (t *Table) live(s *state, now time.Time) bool {
	if s.record == nil || s.leaving || s.heard.IsZero() {
		return false
	}
	if !s.failed.IsZero() && !s.heard.After(s.failed) {
		return false
	}
	return now.Sub(s.heard) < t.silentAfter()
}

// describe returns the Node for a state.
func (t *Table) describe(name string, s *state, now time.Time) Node {
	n := Node{Name: name, Addr: s.vm.Addr, FailureDomain: s.vm.FailureDomain, Role: s.vm.Role, Leaving: s.leaving,
		Live: t.live(s, now), LastHeard: s.heard, Epoch: s.epoch}
	if r := s.record; r != nil {
		n.Addr, n.FailureDomain, n.Role = r.Addr, r.FailureDomain, cloud.VMRole(r.Role)
		n.Endpoint, n.EndpointKind, n.Incarnation = r.Endpoint, r.EndpointKind, r.Incarnation
		n.Epoch, n.Fault, n.OrderFault, n.Load = r.Epoch, r.Fault, r.OrderFault, r.Load
		for _, v := range r.Loaded {
			n.Loaded = append(n.Loaded, wire.DecodeVersion(v))
		}
	}
	return n
}

// current returns the cached view, which it rebuilds if it is outdated. The slices are shared and must not be changed.
func (t *Table) current() view {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if !t.cached.at.IsZero() && now.Sub(t.cached.at) < maxViewAge {
		return t.cached
	}
	next := view{at: now, built: now}
	for _, name := range t.names {
		n := t.describe(name, t.nodes[name], now)
		switch {
		case n.Role == cloud.RoleEntry && t.mayBeLive(t.nodes[name], now):
			next.entries = append(next.entries, n)
		case n.Role == cloud.RoleAgent && n.Endpoint != "" && t.mayBeLive(t.nodes[name], now):
			next.agents = append(next.agents, n)
		}
	}
	t.cached = next
	return next
}

// mayBeLive reports whether the view contains a node: it is on the list, or was heard recently.
func (t *Table) mayBeLive(s *state, now time.Time) bool {
	return s.listed || t.live(s, now) || !s.heard.IsZero() && now.Sub(s.heard) < t.silentAfter()
}

// CachedEntries returns Entries from a view that is at most age old. It is used to select the targets of gossip: in a
// large fleet, rebuilding the view for every message would take most of a node's CPU time.
func (t *Table) CachedEntries(age time.Duration) []Node {
	t.mu.Lock()
	held := t.cached
	t.mu.Unlock()
	if held.built.IsZero() || time.Since(held.built) >= age {
		held = t.current()
	}
	return held.entries
}

// Entries implements View. The slice is shared; callers must not change it.
func (t *Table) Entries() []Node { return t.current().entries }

// Agents implements View. The slice is shared; callers must not change it.
func (t *Table) Agents() []Node { return t.current().agents }

// Endpoint implements View.
func (t *Table) Endpoint(name string) (Node, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	nodeName, ok := t.byEnd[name]
	if !ok {
		return Node{}, false
	}
	return t.describe(nodeName, t.nodes[nodeName], time.Now()), true
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
		if s.told >= epoch {
			names = append(names, name)
		}
	}
	return names
}

// ServingCandidates returns the nodes that may be serving requests, sorted by name: those on the list, and others that were
// heard within bound.
func (t *Table) ServingCandidates(bound time.Duration) []ServingCandidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	bound = max(bound, t.silentAfter()) // in a large fleet, gossip about a node may take longer than bound to arrive
	var holders []ServingCandidate
	for _, name := range t.names {
		s := t.nodes[name]
		if !s.listed && (s.heard.IsZero() || now.Sub(s.heard) >= bound) {
			continue
		}
		n := t.describe(name, s, now)
		holders = append(holders, ServingCandidate{Name: name, FailureDomain: n.FailureDomain, Role: n.Role, Epoch: s.epoch, LastHeard: s.heard,
			Endpoint: n.Endpoint, Live: n.Live, Leaving: n.Leaving, Fault: n.Fault, OrderFault: n.OrderFault, Loaded: n.Loaded})
	}
	return holders
}

// Records returns records of other nodes for a gossip message to the node skip: up to limit bytes, the most recently
// changed first, and without the record of skip unless skip is leaving.
func (t *Table) Records(limit int, skip string) []*wire.NodeRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []*wire.NodeRecord
	for e := t.spread.Front(); e != nil; e = e.Next() {
		name, _ := e.Value.(string)
		s := t.nodes[name]
		if s.record == nil || name == t.options.Name || name == skip && !s.leaving {
			continue
		}
		r := t.recordsLocked([]string{name})[0]
		if limit -= proto.Size(r); limit < 0 {
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
		r.AgeMs = min(int64(now.Sub(s.born)/time.Millisecond), math.MaxInt32)
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
	for _, e := range endpoints {
		if name, ok := t.byEnd[e]; ok && t.nodes[name].record != nil {
			names = append(names, name)
		}
	}
	return t.recordsLocked(names)
}

// PushSignal returns a channel that receives a value when TakeUrgent may have records to push at once.
func (t *Table) PushSignal() <-chan struct{} { return t.wakePush }

// TakePushRecords returns up to limit records of nodes that began to leave or returned since the last call.
func (t *Table) TakePushRecords(limit int) []*wire.NodeRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for name := range t.urgent {
		delete(t.urgent, name)
		if s := t.nodes[name]; s != nil && s.record != nil && len(names) < limit {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return t.recordsLocked(names)
}
