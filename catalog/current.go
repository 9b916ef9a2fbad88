package catalog

import (
	"sync"
	"time"
)

// CurrentSnapshot holds the newest snapshot that a process knows. It never goes back to an older one. It is safe for
// concurrent use.
type CurrentSnapshot struct {
	mu        sync.Mutex
	snapshot  *Snapshot
	source    []byte
	confirmed time.Time
}

// Adopt takes a snapshot and the bytes that it was decoded from, and reports whether it is newer than the one in force.
func (c *CurrentSnapshot) Adopt(s *Snapshot, source []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot != nil && s.Epoch <= c.snapshot.Epoch {
		return false
	}
	c.snapshot, c.source = s, source
	return true
}

// MarkConfirmed notes that the store has been asked and knows nothing newer.
func (c *CurrentSnapshot) MarkConfirmed(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmed = now
}

// ConfirmedAt returns when the snapshot was last known to be the newest.
func (c *CurrentSnapshot) ConfirmedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmed
}

// Snapshot returns the snapshot in force, or nil.
func (c *CurrentSnapshot) Snapshot() *Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshot
}

// Source returns the bytes of the snapshot in force and its epoch; 0 if there is none.
func (c *CurrentSnapshot) Source() ([]byte, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot == nil {
		return nil, 0
	}
	return c.source, c.snapshot.Epoch
}
