package epoch

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/invariant"
	"github.com/bilberrylink/bilberrylink/wire"
)

// ErrBaseUnknown means that an increment is for a base text that this node does not hold.
var ErrBaseUnknown = errors.New("epoch: base of the increment is unknown")

// retainedBases is the number of earlier snapshots kept as bases of increments. Changes arrive minutes apart, so a node
// that is further behind has been away and takes the whole text.
const retainedBases = 3

// FaultInjection switches single mechanisms off. Only tests set it, to show that the checks report the violation.
type FaultInjection struct {
	AdoptLowerEpoch            bool // a lower epoch replaces a higher one
	IgnoreEvidenceEpoch        bool // evidence is merged without the epoch that came with it
	CountOwnDomainAfterRestart bool // a restarted node counts its own domain before it knows a current epoch
	IgnoreEvidenceAge          bool // evidence never expires
}

// Store holds the snapshot in force at one node and the evidence that it is current. It is safe for concurrent use.
type Store struct {
	domain string
	faulty FaultInjection

	mu          sync.Mutex
	snapshot    *fleet.Snapshot
	bases       []*fleet.Snapshot // earlier snapshots, newest first
	changed     chan struct{}
	tableAt     time.Time            // start of the newest table read that gave the current epoch
	domainAt    map[string]time.Time // per failure domain, time of the newest contact
	established bool                 // this process has known a current epoch since it started
	highest     int64                // highest epoch ever held, for the invariant
	inForce     int64                // highest epoch known to be in force at every node
}

// NewStore returns an empty store for a node in a failure domain.
func NewStore(domain string) *Store {
	return &Store{domain: domain, changed: make(chan struct{}), domainAt: make(map[string]time.Time)}
}

// NewStoreWithFaults returns a store with mechanisms switched off, for tests of the checks.
func NewStoreWithFaults(domain string, faulty FaultInjection) *Store {
	s := NewStore(domain)
	s.faulty = faulty
	return s
}

// Snapshot implements View.
func (s *Store) Snapshot() *fleet.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

// Epoch returns the epoch held, 0 if none.
func (s *Store) Epoch() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epochLocked()
}

func (s *Store) epochLocked() int64 {
	if s.snapshot == nil {
		return 0
	}
	return s.snapshot.Epoch
}

// InForce returns the highest epoch that any node is known to have found in force.
func (s *Store) InForce() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inForce
}

// ObserveInForce records that a node found an epoch in force. An epoch that was in force stays so, hence late messages
// do no harm.
func (s *Store) ObserveInForce(epoch int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inForce = max(s.inForce, epoch)
}

// Changed implements View.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Adopt makes next the snapshot in force if its epoch is higher than the one held, and reports whether it did.
func (s *Store) Adopt(next *fleet.Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.epochLocked()
	if s.snapshot != nil && next.Epoch == held {
		invariant.Check(next.Hash == s.snapshot.Hash, "epoch_unique", "two texts for epoch %d", next.Epoch)
		return false
	}
	if next.Epoch < held && !s.faulty.AdoptLowerEpoch {
		return false
	}
	s.install(next)
	return true
}

func (s *Store) install(next *fleet.Snapshot) {
	invariant.Check(next.Epoch >= s.highest, "epoch_monotonic", "epoch fell from %d to %d", s.highest, next.Epoch)
	s.highest = max(s.highest, next.Epoch)
	if s.snapshot != nil {
		s.bases = append([]*fleet.Snapshot{s.snapshot}, s.bases...)
		s.bases = s.bases[:min(len(s.bases), retainedBases)]
	}
	s.snapshot = next
	close(s.changed)
	s.changed = make(chan struct{})
}

// SnapshotAt returns the held or retained snapshot of an epoch, or nil.
func (s *Store) SnapshotAt(epoch int64) *fleet.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.baseLocked(epoch)
}

func (s *Store) baseLocked(epoch int64) *fleet.Snapshot {
	if s.snapshot != nil && s.snapshot.Epoch == epoch {
		return s.snapshot
	}
	for _, b := range s.bases {
		if b.Epoch == epoch {
			return b
		}
	}
	return nil
}

// ChangeFrom returns the change for a node that holds epoch from: an increment if the base is retained and the
// increment is smaller, else the whole text. It returns nil if the node is not behind.
func (s *Store) ChangeFrom(from int64) *wire.Change {
	s.mu.Lock()
	current, base := s.snapshot, s.baseLocked(from)
	s.mu.Unlock()
	if current == nil || from >= current.Epoch {
		return nil
	}
	change := &wire.Change{Epoch: current.Epoch, Hash: current.Hash}
	if base != nil {
		if patch := fleet.MakePatch(base.Raw, current.Raw); len(patch) < len(current.Raw) {
			change.BaseEpoch, change.Patch = base.Epoch, patch
			return change
		}
	}
	change.Text = current.Raw
	return change
}

// ApplyChange adopts a change received from another node. It checks the hash before it adopts. Errors: ErrBaseUnknown for an
// increment without its base; other errors mean a corrupt change.
func (s *Store) ApplyChange(change *wire.Change) (adopted bool, err error) {
	if change == nil || change.Epoch <= s.Epoch() && !s.faulty.AdoptLowerEpoch {
		return false, nil
	}
	raw := change.Text
	if change.BaseEpoch != 0 {
		base := s.SnapshotAt(change.BaseEpoch)
		if base == nil {
			return false, ErrBaseUnknown
		}
		if raw, err = fleet.ApplyPatch(base.Raw, change.Patch); err != nil {
			return false, errors.Wrapf(err, "increment from epoch %d to %d", change.BaseEpoch, change.Epoch)
		}
	}
	if fleet.Hash(raw) != change.Hash {
		return false, errors.Errorf("text of epoch %d does not match its hash", change.Epoch)
	}
	next, faults := fleet.NewSnapshot(change.Epoch, raw)
	if len(faults) > 0 {
		return false, errors.Errorf("text of epoch %d has faults: %s", change.Epoch, faults[0])
	}
	return s.Adopt(next), nil
}

// Fresh implements View.
func (s *Store) Fresh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.freshLocked(time.Now())
}

// EvidenceExpiring reports whether the evidence will be too old within half of the freshness bound, unless it is renewed.
func (s *Store) EvidenceExpiring() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot == nil || !s.freshWithin(time.Now(), s.snapshot.Text.Settings.FreshnessBound/2)
}

func (s *Store) freshLocked(now time.Time) bool {
	return s.snapshot != nil && s.freshWithin(now, s.snapshot.Text.Settings.FreshnessBound)
}

func (s *Store) freshWithin(now time.Time, bound time.Duration) bool {
	if s.young(s.tableAt, now, bound) {
		return true
	}
	domains := s.snapshot.Text.Settings.FailureDomains
	count := 0
	for _, d := range domains {
		own := d == s.domain && (s.established || s.faulty.CountOwnDomainAfterRestart)
		if own || s.young(s.domainAt[d], now, bound) {
			count++
		}
	}
	return len(domains) > 0 && count > len(domains)/2
}

func (s *Store) young(at, now time.Time, bound time.Duration) bool {
	return !at.IsZero() && (s.faulty.IgnoreEvidenceAge || now.Sub(at) < bound)
}

// ObserveTableRead records that a table read that started at start gave the given epoch. It counts only if this node
// holds that epoch.
func (s *Store) ObserveTableRead(start time.Time, epoch int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epochLocked() < epoch && !s.faulty.IgnoreEvidenceEpoch {
		return
	}
	if start.After(s.tableAt) {
		s.tableAt = start
	}
	s.establishLocked()
}

// MergeEvidence takes over the evidence of a reply to an own request that started at start. It counts only if this node holds
// the epoch of the reply or a later one: only then does it know everything that the evidence vouches for.
func (s *Store) MergeEvidence(start time.Time, epoch int64, evidence []*wire.Evidence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epochLocked() < epoch && !s.faulty.IgnoreEvidenceEpoch {
		return
	}
	for _, e := range evidence {
		if e.AgeMs < 0 {
			continue
		}
		at := start.Add(-time.Duration(e.AgeMs) * time.Millisecond)
		if e.Domain == "" {
			if at.After(s.tableAt) {
				s.tableAt = at
			}
			continue
		}
		if at.After(s.domainAt[e.Domain]) {
			s.domainAt[e.Domain] = at
		}
	}
	s.establishLocked()
}

// establishLocked notes that this process knew a current epoch once. From then on its own domain counts as seen: a
// process that restarted with an old epoch must not vouch for its domain.
func (s *Store) establishLocked() {
	if !s.established && s.freshLocked(time.Now()) {
		s.established = true
	}
}

// maxEvidenceAge is the age after which evidence is not passed on; it is above every freshness bound in use.
const maxEvidenceAge = time.Minute

// Evidence returns the epoch held and the evidence to send with it, taken together: evidence must not be newer than the
// epoch that it is sent with. The sender's own domain is included with age 0 once the sender knew a current epoch.
func (s *Store) Evidence() (epoch int64, evidence []*wire.Evidence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.snapshot == nil {
		return 0, nil
	}
	now := time.Now()
	if age := now.Sub(s.tableAt); !s.tableAt.IsZero() && age < maxEvidenceAge {
		evidence = append(evidence, &wire.Evidence{AgeMs: ceilMillis(age)})
	}
	for _, d := range s.snapshot.Text.Settings.FailureDomains {
		switch at := s.domainAt[d]; {
		case d == s.domain && (s.established || s.faulty.CountOwnDomainAfterRestart):
			evidence = append(evidence, &wire.Evidence{Domain: d})
		case !at.IsZero() && now.Sub(at) < maxEvidenceAge:
			evidence = append(evidence, &wire.Evidence{Domain: d, AgeMs: ceilMillis(now.Sub(at))})
		}
	}
	return s.snapshot.Epoch, evidence
}

// ceilMillis rounds up, so that evidence never looks younger than it is.
func ceilMillis(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
