package gateway

import (
	"sync"
	"time"
)

const (
	crashLimit    = 3 // crashes of endpoints after which a call is rejected
	crashMemory   = 5 * time.Minute
	crashCapacity = 4096
)

// CrashTracker counts, for each call, the connections that endpoints broke before the first event. It stops a call that
// crashes each endpoint that runs it from being sent to one endpoint after the other when its caller retries.
type CrashTracker struct {
	mu    sync.Mutex
	calls map[uint64]*crash
	now   func() time.Time
}

type crash struct {
	count int
	last  time.Time
}

// NewCrashTracker returns a Crashes without records.
func NewCrashTracker(now func() time.Time) *CrashTracker {
	return &CrashTracker{calls: make(map[uint64]*crash), now: now}
}

// Blocked reports whether the call has caused so many crashes that it is rejected.
func (c *CrashTracker) Blocked(fingerprint uint64) bool { return c.Count(fingerprint) >= crashLimit }

// Count returns the number of recent crashes that a call has caused.
func (c *CrashTracker) Count(fingerprint uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.calls[fingerprint]
	if k == nil || c.now().Sub(k.last) > crashMemory {
		return 0
	}
	return k.count
}

// RecordCrash records a crash during a call.
func (c *CrashTracker) RecordCrash(fingerprint uint64) { c.Merge(fingerprint, c.Count(fingerprint)+1) }

// Merge raises the count of a call to that of a peer if the peer's is higher.
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

// sweep removes expired records, or all records if that frees no space: losing the counts is safe, since they only protect
// endpoints from repeated crashes.
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

// Forget removes the record of a call that has succeeded.
func (c *CrashTracker) Forget(fingerprint uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, fingerprint)
}

// Recent returns the crash counts of at most the given number of calls whose latest crash is within span. They are sent to
// peers.
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
