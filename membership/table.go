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
	// silentBase and silentPerNode give the silence after which a node no longer counts as live. Exchanges are bounded,
	// so a record takes longer to come round in a larger fleet: about 18 s at 1,130 nodes.
	silentBase    = 5 * time.Second
	silentPerNode = 50 * time.Millisecond
	// forgetAfter is the silence after which a node that the list does not name is forgotten.
	forgetAfter = 10 * time.Minute
	// maxViewAge bounds the age of the cached view: load reports arrive thousands of times per second at an entry, and
	// routing tolerates a slightly stale view.
	maxViewAge = 20 * time.Millisecond
	// retiredIncarnations is the number of earlier incarnations that a node keeps, so that late gossip about one of
	// them does not replace its successor.
	retiredIncarnations = 4
)

// Options configure a Table.
type Options struct {
	Name string // of this node
}

// state is what the table knows of one node.
type state struct {
	record   *wire.NodeRecord // newest record of the newest incarnation; nil if never heard
	born     time.Time        // when that record's sequence was produced, as far as known
	heard    time.Time        // newest evidence that the node runs
	failed   time.Time        // newest evidence that it does not answer
	vm       cloud.VM
	listed   bool
	dropped  time.Time // when the list dropped it
	leaving  bool      // of the current incarnation, or said by the list
	retired  []string
	epoch    int64         // highest epoch that the node is known to hold, in any incarnation
	told     int64         // highest epoch that the node itself told this node
	key      uint64        // of the newest record, in updates
	constant uint32        // hash of what updates do not carry
	updated  uint64        // sequence of the newest update
	spread   *list.Element // in Table.spread
	direct   *list.Element // in Table.direct; nil: never heard directly
}

// Table joins the VM list, heartbeats and direct evidence. It is safe for concurrent use.
type Table struct {
	options Options

	mu       sync.Mutex
	nodes    map[string]*state
	names    []string          // keys of nodes in order
	listed   []string          // names of the newest list, in order
	digest   uint64            // of listed
	byEnd    map[string]string // endpoint name to node name
	byKey    map[uint64]string // key of the newest incarnation to node name
	byName   map[uint64]string // xxhash64 of name to node name
	lacking  map[uint64]bool   // keys of updates without a record
	spread   *list.List        // names, the most recently changed first, for gossip
	direct   *list.List        // names, the most recently heard directly first
	cached   view
	urgent   map[string]bool // names whose leaving or return is to be pushed at once
	wakePush chan struct{}
}

// view is a cached answer of Entries and Agents.
type view struct {
	at      time.Time // zero: outdated
	built   time.Time
	entries []Node
	agents  []Node
}

// NewTable returns an empty table.
func NewTable(o Options) *Table {
	return &Table{options: o, nodes: make(map[string]*state), byEnd: make(map[string]string),
		byKey: make(map[uint64]string), byName: make(map[uint64]string), lacking: make(map[uint64]bool), spread: list.New(), direct: list.New(), urgent: make(map[string]bool), wakePush: make(chan struct{}, 1)}
}

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

// SetVMList takes over the platform's list. The list decides on leaving; it does not overrule heartbeats on whether a
// node runs, since it lags.
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

// ListedNames returns the names of the newest VM list in order and their digest. Nodes with equal digests number the names
// alike. The slice must not be changed.
func (t *Table) ListedNames() (names []string, digest uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listed, t.digest
}

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

// leaveLocked marks the current incarnation as leaving, which is final, and queues the news for an immediate push.
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

func (t *Table) touch(s *state) { t.spread.MoveToFront(s.spread) }

// Observe merges a gossiped record that arrived now. direct says that the node itself sent it.
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

// accepts reports whether r is newer than what the table holds. A record of another incarnation is newer if it was
// produced later and its incarnation was not replaced before.
func (s *state) accepts(r *wire.NodeRecord, born time.Time) bool {
	if s.record == nil {
		return true
	}
	if r.Incarnation == s.record.Incarnation {
		return r.Sequence > s.record.Sequence || r.Leaving && !s.leaving
	}
	return !slices.Contains(s.retired, r.Incarnation) && born.After(s.born)
}

// retire moves the current incarnation to the replaced ones.
func (s *state) retire() {
	s.retired = append(s.retired, s.record.Incarnation)
	if len(s.retired) > retiredIncarnations {
		s.retired = s.retired[1:]
	}
	s.leaving = s.listed && s.vm.State == cloud.VMLeaving
	s.failed = time.Time{}
}

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

// newerLoad returns the later of two loads. Loads of one incarnation are ordered by sequence.
func newerLoad(held, next *wire.Load) *wire.Load {
	if next == nil {
		return held
	}
	if held != nil && held.Incarnation == next.Incarnation && held.Sequence >= next.Sequence {
		return held
	}
	return next
}

// ObserveEpoch records that a node holds an epoch, as reported by a node that heard it.
func (t *Table) ObserveEpoch(name string, epoch int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.node(name)
	s.epoch = max(s.epoch, epoch)
}

// ObserveReportedEpoch records that a node told another entry that it holds an epoch, so that ToldEpoch passes it on.
func (t *Table) ObserveReportedEpoch(name string, epoch int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.node(name)
	s.epoch, s.told = max(s.epoch, epoch), max(s.told, epoch)
}

// ObserveLoad implements View. A load that the agent sent itself is direct evidence that it runs.
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

// SelfLeaving reports whether the list or another node says that this node's VM is leaving.
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

// live decides whether a node may receive new work:
//   - named by the list but never heard: not live; it has announced no endpoint and may not have started;
//   - dropped by the list but still answering: live, since the list lags;
//   - leaving, by the list or by its own record: not live;
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

// current returns the cached view, rebuilt if it is too old. The slices are shared and must not be changed.
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

// mayBeLive reports whether the views name a node: the list names it, or it was heard lately.
func (t *Table) mayBeLive(s *state, now time.Time) bool {
	return s.listed || t.live(s, now) || !s.heard.IsZero() && now.Sub(s.heard) < t.silentAfter()
}

// CachedEntries returns Entries as they were at most age ago. The exchange chooses its targets from it: rebuilding the
// view for every message would be most of the processor time of a node in a large fleet.
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

// ServingCandidate is a node that may be serving, with the epoch that it is known to hold.
type ServingCandidate struct {
	Name          string
	FailureDomain string
	Role          cloud.VMRole
	Epoch         int64
	LastHeard     time.Time
	Endpoint      string // agent: endpoint name
	Live          bool   // may receive new work
	Leaving       bool
	Fault         string
	OrderFault    string
	Loaded        []endpoint.Version
}

// NodesReportingEpoch returns the names of the nodes that told this node themselves that they hold epoch or a later one.
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

// ServingCandidates returns the nodes that the list names, and those that it does not name and that were heard within
// bound, in name order.
func (t *Table) ServingCandidates(bound time.Duration) []ServingCandidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	bound = max(bound, t.silentAfter()) // in a large fleet the news that a node was heard takes longer than the bound
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

// Records returns up to limit bytes of records of other nodes to gossip, the most recently changed first, without those
// of skip.
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

// LeavingRecord returns the record of a node if it is known to be leaving, to tell the node itself.
func (t *Table) LeavingRecord(name string) []*wire.NodeRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.nodes[name]; s != nil && s.leaving && s.record != nil {
		return t.recordsLocked([]string{name})
	}
	return nil
}

// EndpointRecords returns the records of the agents beside the named endpoints, as far as known.
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

// PushSignal returns a channel that signals news to push at once.
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
