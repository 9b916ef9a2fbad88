package gateway

import (
	"sync"
	"time"
)

const (
	maxCrashes      = 3 // crashes of endpoints after which a call is rejected
	crashTTL        = 5 * time.Minute
	maxCrashRecords = 4096
)

// CrashTracker counts, for each call, the connections that endpoints broke before the first event. It stops a call that
// crashes each endpoint that runs it from being sent to one endpoint after the other when its caller retries.
type CrashTracker struct {
	mu    sync.Mutex
	calls map[uint64]*crashRecord
	now   func() time.Time
}

type crashRecord struct {
	count  int
	lastAt time.Time
}

// NewCrashTracker returns a CrashTracker without records.
func NewCrashTracker(now func() time.Time) *CrashTracker {
	return &CrashTracker{calls: make(map[uint64]*crashRecord), now: now}
}

// Blocked reports whether the call has caused so many crashes that it is rejected.
func (c *CrashTracker) Blocked(fingerprint uint64) bool { return c.Count(fingerprint) >= maxCrashes }

// Count returns the number of recent crashes that a call has caused.
func (c *CrashTracker) Count(fingerprint uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	record := c.calls[fingerprint]
	if record == nil || c.now().Sub(record.lastAt) > crashTTL {
		return 0
	}
	return record.count
}

// RecordCrash records a crash during a call.
func (c *CrashTracker) RecordCrash(fingerprint uint64) { c.Merge(fingerprint, c.Count(fingerprint)+1) }

// Merge raises the count of a call to that of a peer if the peer's is higher.
func (c *CrashTracker) Merge(fingerprint uint64, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	record := c.calls[fingerprint]
	if record == nil || now.Sub(record.lastAt) > crashTTL {
		if len(c.calls) >= maxCrashRecords {
			c.evict(now)
		}
		record = new(crashRecord)
		c.calls[fingerprint] = record
	}
	if count > record.count {
		record.count, record.lastAt = count, now
	}
}

// evict removes expired records, or all records if that frees no space: losing the counts is safe, since they only protect
// endpoints from repeated crashes.
func (c *CrashTracker) evict(now time.Time) {
	for fingerprint, record := range c.calls {
		if now.Sub(record.lastAt) > crashTTL {
			delete(c.calls, fingerprint)
		}
	}
	if len(c.calls) >= maxCrashRecords {
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
func (c *CrashTracker) Recent(span time.Duration, maxCalls int) map[uint64]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	recent := make(map[uint64]int)
	for fingerprint, record := range c.calls {
		if c.now().Sub(record.lastAt) <= span && len(recent) < maxCalls {
			recent[fingerprint] = record.count
		}
	}
	return recent
}
