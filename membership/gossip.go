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
	// directShareDivisor gives the part of a message's updates, a third, that is reserved for nodes that sent their record
	// to this node. Those updates are the newest in the fleet. The others are selected at random, so that updates of every
	// node keep spreading.
	directShareDivisor = 3
	// maxMissingKeys is the number of records that one message may request. With it, a restarted entry has the records of
	// 1,130 nodes after about 20 messages of 12 kB each.
	maxMissingKeys = 64
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
	ages = make([]byte, len(t.listedNames))
	for i, name := range t.listedNames {
		ages[i] = ageUnknown
		if s := t.nodes[name]; s != nil && !s.heardAt.IsZero() {
			units := (now.Sub(s.heardAt) + ageUnit - 1) / ageUnit // rounded up, so that no node looks younger than it is
			ages[i] = byte(min(units, ageUnknown))
		}
	}
	return ages, t.listDigest
}

// ObserveAges merges ages that have just arrived, if the sender has the same VM list.
func (t *Table) ObserveAges(ages []byte, digest uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if digest != t.listDigest || len(ages) != len(t.listedNames) {
		return
	}
	now := time.Now()
	for i, age := range ages {
		heardAt := now.Add(-time.Duration(age) * ageUnit)
		if s := t.nodes[t.listedNames[i]]; age != ageUnknown && s != nil && s.record != nil && heardAt.After(s.heardAt) {
			s.heardAt = heardAt
		}
	}
}

// keyOf returns the key that identifies one incarnation of a node in updates.
func keyOf(r *wire.NodeRecord) uint64 { return xxhash.Sum64String(r.Name + "\x00" + r.Incarnation) }

// staticHashOf returns a hash of the fields of a record that updates do not carry.
func staticHashOf(r *wire.NodeRecord) uint32 {
	parts := []string{r.Addr, r.Endpoint, r.EndpointKind, r.Fault, strconv.FormatInt(r.GetLoad().GetKvCapacity(), 10),
		strconv.FormatBool(r.Load != nil)}
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
	included := make(map[string]bool, limit)
	updates := make([]*wire.NodeUpdate, 0, limit)
	add := func(name string) {
		s := t.nodes[name]
		if s.record == nil || name == t.options.Name || included[name] || now.Sub(s.producedAt) > t.silenceTimeout() {
			return
		}
		included[name] = true
		updates = append(updates, newUpdate(s, now))
	}
	for element := t.directOrder.Front(); element != nil && len(updates) < limit/directShareDivisor; element = element.Next() {
		name, _ := element.Value.(string)
		add(name)
	}
	if len(t.sortedNames) == 0 {
		return updates
	}
	start := rand.IntN(len(t.sortedNames))
	for i := 0; i < len(t.sortedNames) && len(updates) < limit; i++ {
		add(t.sortedNames[(start+i)%len(t.sortedNames)])
	}
	return updates
}

// newUpdate returns the newest update of a node.
func newUpdate(s *nodeState, now time.Time) *wire.NodeUpdate {
	r := s.record
	update := &wire.NodeUpdate{Node: s.incarnationKey, Sequence: max(r.Sequence, s.updateSequence), Constant: s.staticHash,
		Epoch: r.Epoch, AgeMs: min(int64(now.Sub(s.producedAt)/time.Millisecond), math.MaxInt32)}
	if l := r.Load; l != nil && l.Incarnation == r.Incarnation {
		update.LoadSequence, update.QueuedPrefill, update.KvFree, update.PrefillRate =
			l.Sequence, l.QueuedPrefill, l.KvFree, l.PrefillRate
		update.Running, update.Waiting, update.QueuedUrgent, update.QueuedInteractive =
			l.Running, l.Waiting, l.QueuedUrgent, l.QueuedInteractive
	}
	return update
}

// ObserveUpdates merges updates that have just arrived. It notes the keys whose records are missing or outdated, so that
// they can be requested.
func (t *Table) ObserveUpdates(updates []*wire.NodeUpdate) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, update := range updates {
		s := t.nodes[t.nameByKey[update.Node]]
		switch {
		case s == nil || s.incarnationKey != update.Node:
			if len(t.missingKeys) < maxMissingKeys {
				t.missingKeys[update.Node] = true
			}
		case update.Sequence > max(s.record.Sequence, s.updateSequence):
			if update.Constant != s.staticHash && len(t.missingKeys) < maxMissingKeys {
				t.missingKeys[update.Node] = true
			}
			s.applyUpdate(update, now.Add(-time.Duration(max(update.AgeMs, 0))*time.Millisecond))
		}
	}
}

// applyUpdate applies a newer update. Readers may hold the record and its load, so these are replaced and not changed.
func (s *nodeState) applyUpdate(update *wire.NodeUpdate, producedAt time.Time) {
	updated, _ := proto.Clone(s.record).(*wire.NodeRecord)
	updated.Epoch = max(update.Epoch, updated.Epoch)
	// The record keeps its own sequence number: a record that arrives later may be newer than it and older than the update.
	s.updateSequence = update.Sequence
	s.knownEpoch = max(s.knownEpoch, update.Epoch)
	if l := updated.Load; l != nil && l.Incarnation == updated.Incarnation && update.LoadSequence > l.Sequence {
		l.Sequence, l.QueuedPrefill, l.KvFree, l.PrefillRate =
			update.LoadSequence, update.QueuedPrefill, update.KvFree, update.PrefillRate
		l.Running, l.Waiting, l.QueuedUrgent, l.QueuedInteractive =
			update.Running, update.Waiting, update.QueuedUrgent, update.QueuedInteractive
	}
	s.record = updated
	if producedAt.After(s.producedAt) {
		s.producedAt = producedAt
	}
	if producedAt.After(s.heardAt) {
		s.heardAt = producedAt
	}
}

// MissingNameHashes returns the hashes of up to limit names of nodes without a record. A restarted entry requests these
// records by name, since random updates would repeat many nodes before they have covered all.
func (t *Table) MissingNameHashes(limit int) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var nameHashes []uint64
	for i, start := 0, rand.IntN(len(t.sortedNames)+1); i < len(t.sortedNames) && len(nameHashes) < limit; i++ {
		name := t.sortedNames[(start+i)%len(t.sortedNames)]
		if t.nodes[name].record == nil {
			nameHashes = append(nameHashes, xxhash.Sum64String(name))
		}
	}
	return nameHashes
}

// RecordsByNameHash returns the records of the nodes whose names have the given hashes, at most limit.
func (t *Table) RecordsByNameHash(nameHashes []uint64, limit int) []*wire.NodeRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for _, nameHash := range nameHashes[:min(len(nameHashes), limit)] {
		if name := t.nameByHash[nameHash]; name != "" && t.nodes[name].record != nil {
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
	for key := range t.missingKeys {
		keys = append(keys, key)
	}
	clear(t.missingKeys)
	return keys
}

// RecordsByKey returns the records that this node holds for the given keys, at most maxMissingKeys.
func (t *Table) RecordsByKey(keys []uint64) []*wire.NodeRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for _, key := range keys[:min(len(keys), maxMissingKeys)] {
		if name, known := t.nameByKey[key]; known {
			names = append(names, name)
		}
	}
	return t.recordsLocked(names)
}
