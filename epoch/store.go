package epoch

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/invariant"
	"github.com/bilberrylink/bilberrylink/wire"
)

// ErrBaseUnknown means that this node does not hold the base text of a patch.
var ErrBaseUnknown = errors.New("epoch: base text of the patch is unknown")

// maxRetainedSnapshots is the number of earlier snapshots kept as bases of patches. Changes are minutes apart, so a node
// that is further behind has been disconnected for a long time and gets the full text.
const maxRetainedSnapshots = 3

// FaultInjection disables single safety mechanisms. Only tests set it, to verify that the checks detect the violation.
type FaultInjection struct {
	AdoptLowerEpoch            bool // a lower epoch replaces a higher one
	IgnoreEvidenceEpoch        bool // evidence counts even if this node does not hold the epoch that it belongs to
	CountOwnDomainAfterRestart bool // a restarted node counts its own domain before it has known a current epoch
	IgnoreEvidenceAge          bool // evidence never expires
}

// Store holds the newest snapshot known to one node and the evidence that it is current. It is safe for concurrent use.
//
// Evidence consists of the times of the last table read and of the last contact with each failure domain that confirmed
// the epoch held. The snapshot is fresh if the table read, or the contacts with a majority of failure domains, are
// younger than the freshness bound.
type Store struct {
	ownDomain string
	injected  FaultInjection

	mu           sync.Mutex
	snapshot     *fleet.Snapshot
	retained     []*fleet.Snapshot // earlier snapshots, newest first
	changed      chan struct{}
	tableReadAt  time.Time            // start of the latest table read that confirmed the epoch held
	domainSeenAt map[string]time.Time // time of the latest contact, by failure domain
	wasFresh     bool                 // the snapshot was fresh at some time since this process started
	highestEpoch int64                // highest epoch ever held, for the invariant check
	inForceEpoch int64                // highest epoch known to be in force
}

// NewStore returns an empty store for a node in the given failure domain.
func NewStore(domain string) *Store {
	return &Store{ownDomain: domain, changed: make(chan struct{}), domainSeenAt: make(map[string]time.Time)}
}

// NewStoreWithFaults returns a store with disabled safety mechanisms, for tests of the invariant checks.
func NewStoreWithFaults(domain string, faults FaultInjection) *Store {
	s := NewStore(domain)
	s.injected = faults
	return s
}

// Snapshot implements View.
func (s *Store) Snapshot() *fleet.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

// Epoch returns the epoch of the held snapshot, or 0 if there is none.
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

// InForceEpoch returns the highest epoch that is known to be in force.
func (s *Store) InForceEpoch() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inForceEpoch
}

// ObserveInForce records that a node found an epoch in force. An epoch stays in force, so delayed messages do no harm.
func (s *Store) ObserveInForce(epoch int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inForceEpoch = max(s.inForceEpoch, epoch)
}

// Changed implements View.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Adopt replaces the held snapshot by next if next has a higher epoch, and reports whether it did.
func (s *Store) Adopt(next *fleet.Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	heldEpoch := s.epochLocked()
	if s.snapshot != nil && next.Epoch == heldEpoch {
		invariant.Check(next.Hash == s.snapshot.Hash, "epoch_unique", "two texts for epoch %d", next.Epoch)
		return false
	}
	if next.Epoch < heldEpoch && !s.injected.AdoptLowerEpoch {
		return false
	}
	s.installLocked(next)
	return true
}

func (s *Store) installLocked(next *fleet.Snapshot) {
	invariant.Check(next.Epoch >= s.highestEpoch, "epoch_monotonic", "epoch fell from %d to %d", s.highestEpoch, next.Epoch)
	s.highestEpoch = max(s.highestEpoch, next.Epoch)
	if s.snapshot != nil {
		s.retained = append([]*fleet.Snapshot{s.snapshot}, s.retained...)
		s.retained = s.retained[:min(len(s.retained), maxRetainedSnapshots)]
	}
	s.snapshot = next
	close(s.changed)
	s.changed = make(chan struct{})
}

// SnapshotAt returns the snapshot of an epoch if it is the held one or retained, else nil.
func (s *Store) SnapshotAt(epoch int64) *fleet.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshotAtLocked(epoch)
}

func (s *Store) snapshotAtLocked(epoch int64) *fleet.Snapshot {
	if s.snapshot != nil && s.snapshot.Epoch == epoch {
		return s.snapshot
	}
	for _, retained := range s.retained {
		if retained.Epoch == epoch {
			return retained
		}
	}
	return nil
}

// RetainedEpoch returns epoch if its snapshot is retained or if it is not behind the held one, else the epoch that was held before the current
// one; 0 if there is none.
func (s *Store) RetainedEpoch(epoch int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.snapshotAtLocked(epoch) != nil, s.snapshot != nil && epoch >= s.snapshot.Epoch:
		return epoch
	case len(s.retained) > 0:
		return s.retained[0].Epoch
	}
	return 0
}

// ChangeFrom returns the change that updates a node from the given epoch to the held one: a patch if the base is retained
// and the patch is smaller than the text, else the full text. It returns nil if the node is not behind.
func (s *Store) ChangeFrom(from int64) *wire.Change {
	s.mu.Lock()
	current, base := s.snapshot, s.snapshotAtLocked(from)
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

// ApplyChange verifies the hash of a change received from another node and adopts it. It returns ErrBaseUnknown if the
// base of a patch is missing; any other error means that the change is corrupt.
func (s *Store) ApplyChange(change *wire.Change) (adopted bool, err error) {
	if change == nil || change.Epoch <= s.Epoch() && !s.injected.AdoptLowerEpoch {
		return false, nil
	}
	raw := change.Text
	if change.BaseEpoch != 0 {
		base := s.SnapshotAt(change.BaseEpoch)
		if base == nil {
			return false, ErrBaseUnknown
		}
		if raw, err = fleet.ApplyPatch(base.Raw, change.Patch); err != nil {
			return false, errors.Wrapf(err, "patch from epoch %d to %d", change.BaseEpoch, change.Epoch)
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

// EvidenceExpiring reports whether the evidence is older than half of the freshness bound, so that it must be renewed soon.
func (s *Store) EvidenceExpiring() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot == nil || !s.freshWithinLocked(time.Now(), s.snapshot.Text.Settings.FreshnessBound/2)
}

func (s *Store) freshLocked(now time.Time) bool {
	return s.snapshot != nil && s.freshWithinLocked(now, s.snapshot.Text.Settings.FreshnessBound)
}

// freshWithinLocked reports whether the evidence is younger than bound. The own domain counts as current once the snapshot
// has been fresh.
func (s *Store) freshWithinLocked(now time.Time, bound time.Duration) bool {
	if s.withinBound(s.tableReadAt, now, bound) {
		return true
	}
	domains := s.snapshot.Text.Settings.FailureDomains
	count := 0
	for _, d := range domains {
		own := d == s.ownDomain && (s.wasFresh || s.injected.CountOwnDomainAfterRestart)
		if own || s.withinBound(s.domainSeenAt[d], now, bound) {
			count++
		}
	}
	return len(domains) > 0 && count > len(domains)/2
}

func (s *Store) withinBound(at, now time.Time, bound time.Duration) bool {
	return !at.IsZero() && (s.injected.IgnoreEvidenceAge || now.Sub(at) < bound)
}

// ObserveTableRead records a table read that began at start and returned the given epoch. It counts as evidence only if
// this node holds that epoch or a later one.
func (s *Store) ObserveTableRead(start time.Time, epoch int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epochLocked() < epoch && !s.injected.IgnoreEvidenceEpoch {
		return
	}
	if start.After(s.tableReadAt) {
		s.tableReadAt = start
	}
	s.markFreshLocked()
}

// MergeEvidence adds the evidence in the reply to a request that this node sent at start. The evidence counts only if
// this node holds the epoch of the reply or a later one, because it shows that the epoch of the reply is current, not an
// earlier one.
func (s *Store) MergeEvidence(start time.Time, epoch int64, evidence []*wire.Evidence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epochLocked() < epoch && !s.injected.IgnoreEvidenceEpoch {
		return
	}
	for _, e := range evidence {
		if e.AgeMs < 0 {
			continue
		}
		at := start.Add(-time.Duration(e.AgeMs) * time.Millisecond)
		if e.Domain == "" {
			if at.After(s.tableReadAt) {
				s.tableReadAt = at
			}
			continue
		}
		if at.After(s.domainSeenAt[e.Domain]) {
			s.domainSeenAt[e.Domain] = at
		}
	}
	s.markFreshLocked()
}

// markFreshLocked records that this process has held a fresh snapshot. Only then does its own domain count as evidence: a
// process that restarted with an old epoch must not confirm that epoch for its domain.
func (s *Store) markFreshLocked() {
	if !s.wasFresh && s.freshLocked(time.Now()) {
		s.wasFresh = true
	}
}

// maxEvidenceAge is the age above which evidence is not sent to other nodes. It exceeds every freshness bound in use.
const maxEvidenceAge = time.Minute

// Evidence returns the held epoch and the evidence to send with it. Both are read atomically, since evidence must not be
// newer than the epoch that it is sent with. The own domain is included with age 0 once the snapshot has been fresh.
func (s *Store) Evidence() (epoch int64, evidence []*wire.Evidence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.snapshot == nil {
		return 0, nil
	}
	now := time.Now()
	if age := now.Sub(s.tableReadAt); !s.tableReadAt.IsZero() && age < maxEvidenceAge {
		evidence = append(evidence, &wire.Evidence{AgeMs: ceilMillis(age)})
	}
	for _, d := range s.snapshot.Text.Settings.FailureDomains {
		switch at := s.domainSeenAt[d]; {
		case d == s.ownDomain && (s.wasFresh || s.injected.CountOwnDomainAfterRestart):
			evidence = append(evidence, &wire.Evidence{Domain: d})
		case !at.IsZero() && now.Sub(at) < maxEvidenceAge:
			evidence = append(evidence, &wire.Evidence{Domain: d, AgeMs: ceilMillis(now.Sub(at))})
		}
	}
	return s.snapshot.Epoch, evidence
}

// ceilMillis rounds up to milliseconds, so that evidence never appears younger than it is.
func ceilMillis(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
