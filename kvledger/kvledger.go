// Package kvledger keeps track of the reservations of an engine's KV cache memory, in tokens.
//
// A reservation is a lease. Long requests are granted in FCFS order and leave a headroom free. Short requests may use the
// headroom, and while a long request waits they may use only the headroom, so neither kind can starve the other.
// Reservations may be bound to the IDs of streams and prompt segments on the engine. Reconcile compares these with the
// engine's report.
package kvledger

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/invariant"
)

// Errors of a Ledger.
var (
	// ErrTooLarge means that the request exceeds what the engine can ever grant.
	ErrTooLarge = errors.New("kvledger: larger than the engine's memory for one request")
	// ErrBusy means that the wait ended, or that too many requests wait.
	ErrBusy = errors.New("kvledger: no memory within the wait")
	// ErrNoCapacity means that the engine's capacity is not known yet.
	ErrNoCapacity = errors.New("kvledger: capacity unknown")
	// ErrNotFound means that no granted reservation has that ID.
	ErrNotFound = errors.New("kvledger: unknown reservation")
)

// Defaults of Options.
const (
	DefaultShortTokens      = 36_000 // interactive prompts of up to 32,000 tokens must not queue behind long documents
	DefaultHeadroomFraction = 0.15   // of 400,000 tokens it holds one such prompt and a dozen small ones
	DefaultMaxWaiters       = 256
	DefaultReportGrace      = 5 * time.Second // engine reports lag by up to a few seconds
)

// Options configures a Ledger. Zero values take the defaults.
type Options struct {
	ShortTokens      int           // largest request that counts as short
	HeadroomFraction float64       // fraction of the capacity that only short requests may use
	MaxWaiters       int           // largest number of waiting requests
	ReportGrace      time.Duration // largest lag of the engine's report that is tolerated
	OnChange         func()        // called without locks after memory was freed or a waiter was granted

	ignoreCapacity bool // tests only: grants every request at once
	ignoreLeases   bool // tests only: leases do not expire
}

func (o *Options) applyDefaults() {
	if o.ShortTokens == 0 {
		o.ShortTokens = DefaultShortTokens
	}
	if o.HeadroomFraction == 0 {
		o.HeadroomFraction = DefaultHeadroomFraction
	}
	if o.MaxWaiters == 0 {
		o.MaxWaiters = DefaultMaxWaiters
	}
	if o.ReportGrace == 0 {
		o.ReportGrace = DefaultReportGrace
	}
	if o.OnChange == nil {
		o.OnChange = func() {}
	}
}

// Ledger holds the reservations of one engine. It is safe for concurrent use.
type Ledger struct {
	mu            sync.Mutex
	opts          Options
	capacity      int                     // tokens
	reserved      int                     // tokens
	shortReserved int                     // tokens reserved by short requests; part of reserved
	grants        map[string]*reservation // granted reservations by ID
	waiters       []*reservation          // long and short, in order of arrival
	byEngineID    map[string]*reservation // granted reservations by the engine IDs bound to them
}

// reservation is a granted or waiting request for memory.
type reservation struct {
	id        string
	tokens    int
	short     bool
	expiresAt time.Time
	lease     time.Duration
	granted   chan struct{}       // closed by the grant
	bindings  map[string]*binding // by engine ID
}

// binding is the use of a reservation by one stream or segment on the engine.
type binding struct {
	lastRunning time.Time // when the engine was last known to run it; zero if never
}

// New returns a ledger whose capacity is unknown until SetCapacity.
func New(opts Options) *Ledger {
	opts.applyDefaults()
	return &Ledger{opts: opts, grants: make(map[string]*reservation), byEngineID: make(map[string]*reservation)}
}

// SetCapacity sets the engine's memory in tokens.
func (l *Ledger) SetCapacity(tokens int) {
	l.mu.Lock()
	increased := tokens > l.capacity
	l.capacity = tokens
	l.mu.Unlock()
	if increased {
		l.grantWaiters()
	}
}

// Capacity returns the engine's memory in tokens, 0 while unknown.
func (l *Ledger) Capacity() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.capacity
}

// Reserved returns the reserved memory in tokens.
func (l *Ledger) Reserved() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reserved
}

// Len returns the number of granted reservations.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.grants)
}

// MaxLongTokens returns the largest number of tokens that a long request can reserve on an engine with the given capacity
// and the default headroom. Entries split larger prompts over several engines.
func MaxLongTokens(capacity int64) int64 {
	return capacity - int64(float64(capacity)*DefaultHeadroomFraction)
}

// headroomTokens returns the tokens that only short requests may use.
func (l *Ledger) headroomTokens() int { return int(float64(l.capacity) * l.opts.HeadroomFraction) }

// ReserveOrEnqueue grants a reservation at once or queues it in FCFS order. Another call with the same ID reports whether
// it has been granted. Release ends the wait. The lease starts at the grant. Errors: ErrTooLarge, ErrBusy, ErrNoCapacity.
func (l *Ledger) ReserveOrEnqueue(id string, tokens int, lease time.Duration) (granted bool, err error) {
	r, err := l.reserveOrEnqueue(id, tokens, lease)
	if err != nil {
		return false, err
	}
	return isClosed(r.granted), nil
}

// CheckSize returns an error if the engine can never grant a request of this size. Errors: ErrTooLarge, ErrNoCapacity.
func (l *Ledger) CheckSize(tokens int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.checkSizeLocked(tokens)
}

// IsShort reports whether a request counts as short.
func (l *Ledger) IsShort(tokens int) bool { return tokens <= l.opts.ShortTokens }

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (l *Ledger) reserveOrEnqueue(id string, tokens int, lease time.Duration) (*reservation, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.find(id); r != nil {
		return r, nil
	}
	r := &reservation{id: id, tokens: tokens, short: l.IsShort(tokens), lease: lease,
		granted: make(chan struct{}), bindings: make(map[string]*binding)}
	if err := l.checkSizeLocked(tokens); err != nil {
		return nil, err
	}
	if !l.hasEarlierWaiter(r) && l.fits(r) {
		l.grant(r)
		return r, nil
	}
	if len(l.waiters) >= l.opts.MaxWaiters {
		return nil, ErrBusy
	}
	l.waiters = append(l.waiters, r)
	return r, nil
}

// find returns the granted or waiting reservation of an ID, or nil.
func (l *Ledger) find(id string) *reservation {
	if r := l.grants[id]; r != nil {
		return r
	}
	for _, waiter := range l.waiters {
		if waiter.id == id {
			return waiter
		}
	}
	return nil
}

func (l *Ledger) checkSizeLocked(tokens int) error {
	if l.opts.ignoreCapacity {
		return nil
	}
	if l.capacity == 0 {
		return ErrNoCapacity
	}
	maxTokens := l.capacity
	if !l.IsShort(tokens) {
		maxTokens -= l.headroomTokens()
	}
	if tokens > maxTokens {
		return ErrTooLarge
	}
	return nil
}

// hasEarlierWaiter reports whether a waiter of the same kind, long or short, is ahead of r.
func (l *Ledger) hasEarlierWaiter(r *reservation) bool {
	for _, waiter := range l.waiters {
		if waiter == r {
			return false
		}
		if waiter.short == r.short {
			return true
		}
	}
	return false
}

// fits reports whether the free memory suffices for r.
func (l *Ledger) fits(r *reservation) bool {
	if l.opts.ignoreCapacity {
		return true
	}
	if l.reserved+r.tokens > l.capacity {
		return false
	}
	if !r.short {
		return l.reserved-l.shortReserved+r.tokens <= l.capacity-l.headroomTokens()
	}
	return !l.longRequestWaits() || l.shortReserved+r.tokens <= l.headroomTokens()
}

func (l *Ledger) longRequestWaits() bool {
	return slices.ContainsFunc(l.waiters, func(waiter *reservation) bool { return !waiter.short })
}

func (l *Ledger) grant(r *reservation) {
	l.grants[r.id] = r
	l.reserved += r.tokens
	if r.short {
		l.shortReserved += r.tokens
	}
	r.expiresAt = time.Now().Add(r.lease)
	close(r.granted)
	invariant.Check(l.reserved <= l.capacity, "kv_reserved_over_capacity", "reserved %d of %d tokens", l.reserved, l.capacity)
}

// grantWaiters grants the waiting reservations that fit, in order of arrival.
func (l *Ledger) grantWaiters() {
	l.mu.Lock()
	stillWaiting := make([]*reservation, 0, len(l.waiters))
	inOrder := slices.Clone(l.waiters)
	for _, waiter := range inOrder {
		if l.hasEarlierWaiter(waiter) || !l.fits(waiter) {
			stillWaiting = append(stillWaiting, waiter)
			continue
		}
		l.waiters = slices.DeleteFunc(l.waiters, func(other *reservation) bool { return other == waiter })
		l.grant(waiter)
	}
	l.waiters = stillWaiting
	l.mu.Unlock()
	l.opts.OnChange()
}

// Reserve is like ReserveOrEnqueue but waits for the grant, at most for the duration wait. A reservation that is not
// granted in time is removed. Errors: those of ReserveOrEnqueue, and the context's error.
func (l *Ledger) Reserve(ctx context.Context, id string, tokens int, lease, wait time.Duration) error {
	r, err := l.reserveOrEnqueue(id, tokens, lease)
	if err != nil {
		return err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-r.granted:
	case <-timer.C:
		if isClosed(r.granted) {
			return nil
		}
		err = ErrBusy
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		l.Release(id)
	}
	return err
}

// Renew extends the lease of a reservation to at least the duration lease from now. Errors: ErrNotFound.
func (l *Ledger) Renew(id string, lease time.Duration) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.grants[id]
	if r == nil {
		return ErrNotFound
	}
	if expiresAt := time.Now().Add(lease); expiresAt.After(r.expiresAt) {
		r.expiresAt = expiresAt
	}
	return nil
}

// Bind records that a stream or segment on the engine uses the memory of a reservation. Errors: ErrNotFound.
func (l *Ledger) Bind(id, engineID string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.grants[id]
	if r == nil {
		return ErrNotFound
	}
	r.bindings[engineID] = new(binding)
	l.byEngineID[engineID] = r
	return nil
}

// MarkRunning records that the engine runs a bound ID, as shown for example by its first token.
func (l *Ledger) MarkRunning(engineID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.byEngineID[engineID]; r != nil {
		r.bindings[engineID].lastRunning = time.Now()
	}
}

// Release frees reservations, or ends their wait, and returns the engine IDs bound to them, which the caller must cancel
// on the engine. Unknown reservations are ignored.
func (l *Ledger) Release(ids ...string) (engineIDs []string) {
	l.mu.Lock()
	for _, id := range ids {
		engineIDs = append(engineIDs, l.release(id)...)
	}
	l.mu.Unlock()
	l.grantWaiters()
	return engineIDs
}

func (l *Ledger) release(id string) (engineIDs []string) {
	l.waiters = slices.DeleteFunc(l.waiters, func(waiter *reservation) bool { return waiter.id == id })
	r := l.grants[id]
	if r == nil {
		return nil
	}
	delete(l.grants, id)
	l.reserved -= r.tokens
	if r.short {
		l.shortReserved -= r.tokens
	}
	for engineID := range r.bindings {
		delete(l.byEngineID, engineID)
		engineIDs = append(engineIDs, engineID)
	}
	slices.Sort(engineIDs)
	invariant.Check(l.reserved >= 0 && l.shortReserved >= 0, "kv_reserved_negative", "reserved %d, short %d", l.reserved, l.shortReserved)
	return engineIDs
}

// Expire frees the reservations whose lease has ended. It returns their IDs and the engine IDs bound to them, which the
// caller must cancel on the engine.
func (l *Ledger) Expire() (expired, engineIDs []string) {
	l.mu.Lock()
	now := time.Now()
	for id, r := range l.grants {
		if now.Before(r.expiresAt) || l.opts.ignoreLeases {
			continue
		}
		expired = append(expired, id)
		engineIDs = append(engineIDs, l.release(id)...)
	}
	l.assertLeases(now)
	l.mu.Unlock()
	if len(expired) > 0 {
		l.grantWaiters()
	}
	return expired, engineIDs
}

// assertLeases asserts that no reservation has outlived its lease by more than the grace.
func (l *Ledger) assertLeases(now time.Time) {
	for id, r := range l.grants {
		invariant.Check(now.Sub(r.expiresAt) <= l.opts.ReportGrace, "kv_lease_outlived", "reservation %s outlives its lease", id)
	}
}

// AssertIdle asserts that nothing is reserved. The agent calls it when it runs no work and no other node holds a lease.
func (l *Ledger) AssertIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	invariant.Check(l.reserved == 0 && len(l.byEngineID) == 0, "kv_reserved_when_idle", "reserved %d tokens in %d reservations", l.reserved, len(l.grants))
}

// Reset frees all reservations after the engine has restarted with empty memory, and returns their IDs. Waiters stay.
func (l *Ledger) Reset() (freed []string) {
	l.mu.Lock()
	for id := range l.grants {
		freed = append(freed, id)
	}
	for _, id := range freed {
		l.release(id)
	}
	l.mu.Unlock()
	l.grantWaiters()
	return freed
}

// Reconcile compares the ledger with the engine's report and adopts its capacity. It returns the engine IDs that the
// engine runs and the ledger does not know, which the caller must cancel on the engine, and the reservations that it
// freed because none of their bound IDs has run for longer than the grace. An ID counts as stopped only if it was seen
// running before, since an engine does not report streams that wait for memory.
func (l *Ledger) Reconcile(report endpoint.LoadReport) (unknown, freed []string) {
	l.SetCapacity(report.KVCapacityTokens)
	l.mu.Lock()
	now := time.Now()
	for _, engineID := range report.RunningIDs {
		if r := l.byEngineID[engineID]; r != nil {
			r.bindings[engineID].lastRunning = now
			continue
		}
		unknown = append(unknown, engineID)
	}
	for id, r := range l.grants {
		if l.streamsEnded(r, now) {
			freed = append(freed, id)
			l.release(id)
		}
	}
	l.mu.Unlock()
	if len(freed) > 0 {
		l.grantWaiters()
	}
	return unknown, freed
}

// streamsEnded reports whether all engine IDs bound to a reservation were seen running, but not within the grace.
func (l *Ledger) streamsEnded(r *reservation, now time.Time) bool {
	for _, stream := range r.bindings {
		if stream.lastRunning.IsZero() || now.Sub(stream.lastRunning) < l.opts.ReportGrace {
			return false
		}
	}
	return len(r.bindings) > 0
}

// HasEngineID reports whether an engine ID is bound to a granted reservation.
func (l *Ledger) HasEngineID(engineID string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byEngineID[engineID] != nil
}
