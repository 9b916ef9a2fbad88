package membership

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/bilberrylink/bilberrylink/wire"
)

const (
	// directShare is the divisor of the part of a message's updates that is reserved for nodes that sent their record to
	// this node. Those updates are the newest in the fleet. The others are selected at random, so that updates of every
	// node keep spreading.
	directShare = 3
	// maxLacking is the number of records that one message may request. With it, a restarted entry has the records of
	// 1,130 nodes after about 20 messages of 12 kB each.
	maxLacking = 64
)

// Ages of nodes are sent as one byte each, in units of ageUnit.
const (
	ageUnit    = 500 * time.Millisecond
	ageUnknown = 255
)

// Ages returns, for each name on the VM list, how long ago the node was heard, and the digest of the list. Every reply
// between entries contains them. Random records alone take about 100 s to reach all of 360 entries, which is longer than
// the silence after which a node does not count as live. A complete vector reaches twice as many entries with each round.
func (t *Table) Ages() (ages []byte, digest uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	ages = make([]byte, len(t.listed))
	for i, name := range t.listed {
		ages[i] = ageUnknown
		if s := t.nodes[name]; s != nil && !s.heard.IsZero() {
			units := (now.Sub(s.heard) + ageUnit - 1) / ageUnit // rounded up, so that no node looks younger than it is
			ages[i] = byte(min(units, ageUnknown))
		}
	}
	return ages, t.digest
}

// ObserveAges merges ages that have just arrived, if the sender has the same VM list.
func (t *Table) ObserveAges(ages []byte, digest uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if digest != t.digest || len(ages) != len(t.listed) {
		return
	}
	now := time.Now()
	for i, age := range ages {
		at := now.Add(-time.Duration(age) * ageUnit)
		if s := t.nodes[t.listed[i]]; age != ageUnknown && s != nil && s.record != nil && at.After(s.heard) {
			s.heard = at
		}
	}
}

// nodeKey identifies one incarnation of a node in updates.
func nodeKey(r *wire.NodeRecord) uint64 { return xxhash.Sum64String(r.Name + "\x00" + r.Incarnation) }

// constantOf returns a hash of the fields of a record that updates do not carry.
func constantOf(r *wire.NodeRecord) uint32 {
	parts := []string{r.Addr, r.Endpoint, r.EndpointKind, r.Fault, strconv.FormatInt(r.GetLoad().GetKvCapacity(), 10), strconv.FormatBool(r.Load != nil)}
	for _, v := range r.Loaded {
		parts = append(parts, v.Model, v.Version, v.Adapter, v.Batch)
	}
	return uint32(xxhash.Sum64String(strings.Join(parts, "\x00")))
}

// Updates returns up to limit updates of other nodes.
func (t *Table) Updates(limit int) []*wire.NodeUpdate {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	taken := make(map[string]bool, limit)
	updates := make([]*wire.NodeUpdate, 0, limit)
	add := func(name string) {
		s := t.nodes[name]
		if s.record == nil || name == t.options.Name || taken[name] || now.Sub(s.born) > t.silentAfter() {
			return
		}
		taken[name] = true
		updates = append(updates, update(s, now))
	}
	for e := t.direct.Front(); e != nil && len(updates) < limit/directShare; e = e.Next() {
		name, _ := e.Value.(string)
		add(name)
	}
	if len(t.names) == 0 {
		return updates
	}
	start := rand.IntN(len(t.names))
	for i := 0; i < len(t.names) && len(updates) < limit; i++ {
		add(t.names[(start+i)%len(t.names)])
	}
	return updates
}

// update returns the newest update of a node.
func update(s *state, now time.Time) *wire.NodeUpdate {
	r := s.record
	b := &wire.NodeUpdate{Node: s.key, Sequence: max(r.Sequence, s.updated), Constant: s.constant, Epoch: r.Epoch,
		AgeMs: min(int64(now.Sub(s.born)/time.Millisecond), math.MaxInt32)}
	if l := r.Load; l != nil && l.Incarnation == r.Incarnation {
		b.LoadSequence, b.QueuedPrefill, b.KvFree, b.PrefillRate = l.Sequence, l.QueuedPrefill, l.KvFree, l.PrefillRate
		b.Running, b.Waiting, b.QueuedUrgent, b.QueuedInteractive = l.Running, l.Waiting, l.QueuedUrgent, l.QueuedInteractive
	}
	return b
}

// ObserveUpdates merges updates that have just arrived. It notes the keys whose records are missing or outdated, so that
// they can be requested.
func (t *Table) ObserveUpdates(updates []*wire.NodeUpdate) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range updates {
		s := t.nodes[t.byKey[b.Node]]
		switch {
		case s == nil || s.key != b.Node:
			if len(t.lacking) < maxLacking {
				t.lacking[b.Node] = true
			}
		case b.Sequence > max(s.record.Sequence, s.updated):
			if b.Constant != s.constant && len(t.lacking) < maxLacking {
				t.lacking[b.Node] = true
			}
			s.update(b, now.Add(-time.Duration(max(b.AgeMs, 0))*time.Millisecond))
		}
	}
}

// update applies a newer update. Readers may hold the record and its load, so these are replaced and not changed.
func (s *state) update(b *wire.NodeUpdate, born time.Time) {
	next, _ := proto.Clone(s.record).(*wire.NodeRecord)
	next.Epoch = max(b.Epoch, next.Epoch)
	s.updated = b.Sequence // the record keeps its sequence number: a later record that is older than this update may be newer than it
	s.epoch = max(s.epoch, b.Epoch)
	if l := next.Load; l != nil && l.Incarnation == next.Incarnation && b.LoadSequence > l.Sequence {
		l.Sequence, l.QueuedPrefill, l.KvFree, l.PrefillRate = b.LoadSequence, b.QueuedPrefill, b.KvFree, b.PrefillRate
		l.Running, l.Waiting, l.QueuedUrgent, l.QueuedInteractive = b.Running, b.Waiting, b.QueuedUrgent, b.QueuedInteractive
	}
	s.record = next
	if born.After(s.born) {
		s.born = born
	}
	if born.After(s.heard) {
		s.heard = born
	}
}

// MissingNameHashes returns the hashes of up to limit names of nodes without a record. A restarted entry requests these records by
// name, since random updates would repeat many nodes before they have covered all.
func (t *Table) MissingNameHashes(limit int) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sums []uint64
	for i, start := 0, rand.IntN(len(t.names)+1); i < len(t.names) && len(sums) < limit; i++ {
		name := t.names[(start+i)%len(t.names)]
		if t.nodes[name].record == nil {
			sums = append(sums, xxhash.Sum64String(name))
		}
	}
	return sums
}

// RecordsByNameHash returns the records of the nodes whose names have the given hashes, at most limit.
func (t *Table) RecordsByNameHash(sums []uint64, limit int) []*wire.NodeRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for _, sum := range sums[:min(len(sums), limit)] {
		if name := t.byName[sum]; name != "" && t.nodes[name].record != nil {
			names = append(names, name)
		}
	}
	return t.recordsLocked(names)
}

// TakeMissingKeys returns and clears the keys noted by ObserveUpdates.
func (t *Table) TakeMissingKeys() []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var keys []uint64
	for key := range t.lacking {
		keys = append(keys, key)
	}
	clear(t.lacking)
	return keys
}

// RecordsByKey returns the records that this node holds for the given keys, at most maxLacking.
func (t *Table) RecordsByKey(keys []uint64) []*wire.NodeRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for _, key := range keys[:min(len(keys), maxLacking)] {
		if name, known := t.byKey[key]; known {
			names = append(names, name)
		}
	}
	return t.recordsLocked(names)
}
