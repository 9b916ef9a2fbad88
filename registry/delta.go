package registry

import (
	"sort"
	"time"
)

// Delta is the part of a list of endpoints that changed after a position, as gateways pass it on to each other.
type Delta struct {
	Since   int64         `json:"since"`   // the changes after this position; 0: the whole list
	Version int64         `json:"version"` // position that the list is at least as new as
	Stable  bool          `json:"stable"`  // no entry is missing because of a store outage
	Ended   time.Duration `json:"ended"`   // time since the end of the sender's latest store outage; 0: none or not ended
	Entries []Entry       `json:"entries,omitempty"`
	Removed []Removal     `json:"removed,omitempty"`
}

// Removal is the removal of an entry.
type Removal struct {
	ID      string `json:"id"`
	Version int64  `json:"version"` // position of the removal
	Expired bool   `json:"expired"` // around a store outage; the endpoint may be live
}

// DeltaSince returns what changed after a position. It returns the whole list if the position is 0 or so old that
// removals after it have been forgotten.
func (r *Registry) DeltaSince(version int64) Delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version < r.forgottenVersion {
		version = 0
	}
	d := Delta{Since: version, Version: r.appliedVersion, Stable: r.storeStable()}
	if !r.storeDown && !r.outageEndedAt.IsZero() {
		d.Ended = r.now().Sub(r.outageEndedAt)
	}
	for id, rec := range r.records {
		switch {
		case version > 0 && rec.version <= version:
		case rec.removedAt.IsZero() || !rec.restoredAt.IsZero():
			e := rec.endpoint.Entry
			e.Draining, e.Version = rec.draining, rec.version
			d.Entries = append(d.Entries, e)
		case version > 0:
			d.Removed = append(d.Removed, Removal{ID: id, Version: rec.version, Expired: rec.expiredInOutage})
		}
	}
	sort.Slice(d.Entries, func(i, j int) bool { return d.Entries[i].ID < d.Entries[j].ID })
	sort.Slice(d.Removed, func(i, j int) bool { return d.Removed[i].ID < d.Removed[j].ID })
	return d
}

// ApplyDelta applies a list of another gateway and returns the number of changed entries. It ignores one that is older than the
// changes applied here or that begins after them. Of the whole list of a gateway that may miss entries because of a store outage it
// takes only the entries, unless there is no list here yet or the store has come back from a copy. applied is false in these cases. No
// entry and no removal replaces a newer one.
func (r *Registry) ApplyDelta(d Delta) (changed int, applied bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.Version < r.startedVersion || d.Since > r.appliedVersion {
		return 0, false
	}
	restored := r.isRestored(d.Version) && d.Ended > 0
	if d.Since == 0 && !d.Stable && r.appliedVersion != 0 && !restored {
		return r.upsertAll(d.Entries, r.appliedVersion), false
	}
	previous := r.appliedVersion
	r.startedVersion, r.appliedVersion = d.Version, d.Version
	if d.Ended > 0 && !r.storeDown {
		r.setOutageEnd(r.now().Add(-d.Ended))
	}
	if d.Since == 0 {
		return r.replace(d.Entries, d.Version, previous, restored && !d.Stable), true
	}
	changed = r.upsertAll(d.Entries, previous)
	for _, removal := range d.Removed {
		changed += r.remove([]string{removal.ID}, removal.Version, !d.Stable && (removal.Expired || r.nearOutage()))
	}
	return changed, true
}

func (r *Registry) upsertAll(entries []Entry, since int64) (changed int) {
	for _, e := range entries {
		if r.upsert(e, since) {
			changed++
		}
	}
	return changed
}
