package catalog

import (
	"sync"
	"time"
)

// CurrentSnapshot holds the newest known snapshot. It never returns to an older one. It is safe for concurrent use.
type CurrentSnapshot struct {
	mu          sync.Mutex
	snapshot    *Snapshot
	source      []byte // encoded form of snapshot
	confirmedAt time.Time
	since       time.Time // when the first snapshot was adopted
}

// Adopt replaces the snapshot if s is newer and reports whether it did. source is the encoded form of s.
func (c *CurrentSnapshot) Adopt(s *Snapshot, source []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot != nil && s.Epoch <= c.snapshot.Epoch {
		return false
	}
	if c.snapshot == nil {
		c.since = time.Now()
	}
	c.snapshot, c.source = s, source
	return true
}

// AvailableSince returns when the first snapshot was adopted; zero: there is none.
func (c *CurrentSnapshot) AvailableSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since
}

// MarkConfirmed records that the snapshot was the newest one in the store at the given time.
func (c *CurrentSnapshot) MarkConfirmed(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

// ConfirmedAt returns the latest time at which the snapshot was known to be the newest one.
func (c *CurrentSnapshot) ConfirmedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmedAt
}

// Snapshot returns the newest known snapshot, or nil.
func (c *CurrentSnapshot) Snapshot() *Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshot
}

// Source returns the encoded form of the newest known snapshot and its epoch, or nil and 0.
func (c *CurrentSnapshot) Source() ([]byte, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot == nil {
		return nil, 0
	}
	return c.source, c.snapshot.Epoch
}
