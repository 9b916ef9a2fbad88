package gateway

import (
	"sync"
	"time"
)

// Limits of the crash memory.
const (
	crashLimit    = 3 // endpoints that one call may take down before it is refused
	crashMemory   = 5 * time.Minute
	crashCapacity = 4096
)

// CrashTracker remembers calls during which endpoints broke the connection before the first event. It answers for a call
// that crashes each endpoint that begins to run it and that comes again and again.
type CrashTracker struct {
	mu    sync.Mutex
	calls map[uint64]*crash
	now   func() time.Time
}

type crash struct {
	count int
	last  time.Time
}

// NewCrashTracker returns an empty memory.
func NewCrashTracker(now func() time.Time) *CrashTracker {
	return &CrashTracker{calls: make(map[uint64]*crash), now: now}
}

// Blocked reports whether the call is refused.
func (c *CrashTracker) Blocked(fingerprint uint64) bool { return c.Count(fingerprint) >= crashLimit }

// Count returns the crashes on record for a call.
func (c *CrashTracker) Count(fingerprint uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.calls[fingerprint]
	if k == nil || c.now().Sub(k.last) > crashMemory {
		return 0
	}
	return k.count
}

// RecordCrash adds a crash.
func (c *CrashTracker) RecordCrash(fingerprint uint64) { c.Merge(fingerprint, c.Count(fingerprint)+1) }

// Merge raises the count of a call to that of a peer.
func (c *CrashTracker) Merge(fingerprint uint64, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	k := c.calls[fingerprint]
	if k == nil || now.Sub(k.last) > crashMemory {
		if len(c.calls) >= crashCapacity {
			c.sweep(now)
		}
		k = new(crash)
		c.calls[fingerprint] = k
	}
	if count > k.count {
		k.count, k.last = count, now
	}
}

// sweep drops old records, or all if none is old: the memory is a protection, not a promise.
func (c *CrashTracker) sweep(now time.Time) {
	for f, k := range c.calls {
		if now.Sub(k.last) > crashMemory {
			delete(c.calls, f)
		}
	}
	if len(c.calls) >= crashCapacity {
		clear(c.calls)
	}
}

// Forget forgets a call that ended well.
func (c *CrashTracker) Forget(fingerprint uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, fingerprint)
}

// Recent returns the calls of the last span and their counts, for the exchange with peers.
func (c *CrashTracker) Recent(span time.Duration, most int) map[uint64]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	recent := make(map[uint64]int)
	for f, k := range c.calls {
		if c.now().Sub(k.last) <= span && len(recent) < most {
			recent[f] = k.count
		}
	}
	return recent
}
