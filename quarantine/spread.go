package quarantine

import (
	"cmp"
	"slices"
)

// Changed returns a channel that signals that records have changed at this gateway since the last call of TakeChanged.
func (t *Tracker) Changed() <-chan struct{} { return t.changed }

// TakeChanged returns the records that have changed at this gateway since the last call. If there are too many, it returns those with the most
// crashes: all or none of those with as many, as peers would take the ones that they hear of for the cause. Spread returns the others.
func (t *Tracker) TakeChanged() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []*entry
	for s := range t.unsent {
		if e := t.records[s]; e != nil {
			changed = append(changed, e)
		}
	}
	clear(t.unsent)
	if limit := maxChanged / max(t.opts.Gateways(), 1); len(changed) > limit {
		slices.SortFunc(changed, func(a, b *entry) int { return cmp.Compare(len(b.endpoints), len(a.endpoints)) })
		least := len(changed[limit].endpoints)
		changed = slices.DeleteFunc(changed, func(e *entry) bool { return len(e.endpoints) <= least })
	}
	records := make([]Record, len(changed))
	for i, e := range changed {
		records[i] = e.clone()
	}
	return records
}

// Spread returns at most limit of the records that peers may lack: those that changed a short while ago, and all that block a subject, so
// that a gateway learns of these after a restart. Successive calls return one after the other.
func (t *Tracker) Spread(limit int) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	var subjects []Subject
	for s, e := range t.records {
		if now.Before(e.ExpiresAt) && (e.verdict != Admitted || now.Sub(e.changedAt) < spreadPeriod) {
			subjects = append(subjects, s)
		}
	}
	slices.SortFunc(subjects, compareSubjects)
	start, _ := slices.BinarySearchFunc(subjects, t.lastSent, compareSubjects)
	if start < len(subjects) && subjects[start] == t.lastSent {
		start++
	}
	records := make([]Record, 0, min(limit, len(subjects)))
	for i := range min(limit, len(subjects)) {
		s := subjects[(start+i)%len(subjects)]
		records = append(records, t.records[s].clone())
		t.lastSent = s
	}
	return records
}

func compareSubjects(a, b Subject) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Hash, b.Hash))
}

// Unstored returns the records that block a subject and are not in the store, as far as it is this gateway's turn to store them, and
// the subjects whose rows are outdated.
func (t *Tracker) Unstored() (put []Record, remove []Subject) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpired()
	now := t.opts.Now()
	for s, e := range t.records {
		switch {
		case e.verdict != Admitted && e.group.members <= maxStored && (e.rowLost || !e.isStored(e.verdict)) && !now.Before(e.storeAt):
			put = append(put, e.clone())
		case e.verdict == Admitted && e.removeRow:
			remove = append(remove, s)
		}
	}
	return put, remove
}

// MarkStored records that the store holds the given records.
func (t *Tracker) MarkStored(records []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range records {
		r := &records[i]
		e := t.records[r.Subject]
		switch {
		case e == nil:
		case e.Generation != r.Generation:
			e.removeRow = true // cleared while it was being stored
		default:
			e.StoredEndpoints, e.removeRow, e.rowLost = max(e.StoredEndpoints, len(r.crashedEndpoints())), false, false
			t.noteChange(e, true)
		}
	}
}

// MarkRemoved records that the store does not hold rows of the given subjects any more.
func (t *Tracker) MarkRemoved(subjects []Subject) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range subjects {
		if e := t.records[s]; e != nil {
			e.removeRow = false
		}
	}
}

// Reconcile tells what the store holds after it has lost its latest writes. The records that it lacks are stored again, and the rows of
// subjects that have turned out to be harmless are removed again.
func (t *Tracker) Reconcile(held []Record) {
	bySubject := make(map[Subject]*Record, len(held))
	for i := range held {
		bySubject[held[i].Subject] = &held[i]
	}
	t.mu.Lock()
	for s, e := range t.records {
		r := bySubject[s]
		sameGeneration := r != nil && r.Generation == e.Generation
		e.rowLost = e.verdict != Admitted && !(sameGeneration && r.isStored(e.verdict))
		e.removeRow = e.removeRow || r != nil && r.Generation < e.Generation && e.verdict == Admitted
	}
	t.mu.Unlock()
	t.Merge(held)
}

// Empty reports whether nothing is recorded.
func (t *Tracker) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records) == 0
}
