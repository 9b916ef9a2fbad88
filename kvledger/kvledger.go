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
	mu       sync.Mutex
	opts     Options
	capacity int                     // tokens
	reserved int                     // tokens
	short    int                     // tokens reserved by short requests; part of reserved
	held     map[string]*reservation // granted reservations by ID
	waiters  []*reservation          // long and short, in order of arrival
	engine   map[string]*reservation // granted reservations by the engine IDs bound to them
}

// reservation is a granted or waiting request for memory.
type reservation struct {
	id      string
	tokens  int
	short   bool
	expires time.Time
	lease   time.Duration
	granted chan struct{}       // closed by the grant
	bound   map[string]*binding // by engine ID
}

// binding is the use of a reservation by one stream or segment on the engine.
type binding struct {
	seen time.Time // when the engine was last known to run it; zero if never
}

// New returns a ledger whose capacity is unknown until SetCapacity.
func New(opts Options) *Ledger {
	opts.applyDefaults()
	return &Ledger{opts: opts, held: make(map[string]*reservation), engine: make(map[string]*reservation)}
}

// SetCapacity sets the engine's memory in tokens.
func (l *Ledger) SetCapacity(tokens int) {
	l.mu.Lock()
	grew := tokens > l.capacity
	l.capacity = tokens
	l.mu.Unlock()
	if grew {
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
	return len(l.held)
}

// MaxLongTokens returns the largest number of tokens that a long request can reserve on an engine with the given capacity
// and the default headroom. Entries split larger prompts over several engines.
func MaxLongTokens(capacity int64) int64 {
	return capacity - int64(float64(capacity)*DefaultHeadroomFraction)
}

// headroom returns the tokens that only short requests may use.
func (l *Ledger) headroom() int { return int(float64(l.capacity) * l.opts.HeadroomFraction) }

// ReserveOrEnqueue grants a reservation at once or queues it in FCFS order. Another call with the same ID reports whether it has
// been granted. Release ends the wait. The lease starts at the grant. Errors: ErrTooLarge, ErrBusy, ErrNoCapacity.
func (l *Ledger) ReserveOrEnqueue(id string, tokens int, lease time.Duration) (granted bool, err error) {
	r, err := l.request(id, tokens, lease)
	if err != nil {
		return false, err
	}
	return isClosed(r.granted), nil
}

// CheckSize returns an error if the engine can never grant a request of this size. Errors: ErrTooLarge, ErrNoCapacity.
func (l *Ledger) CheckSize(tokens int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.possible(tokens)
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

func (l *Ledger) request(id string, tokens int, lease time.Duration) (*reservation, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.find(id); r != nil {
		return r, nil
	}
	r := &reservation{id: id, tokens: tokens, short: l.IsShort(tokens), lease: lease,
		granted: make(chan struct{}), bound: make(map[string]*binding)}
	if err := l.possible(tokens); err != nil {
		return nil, err
	}
	if !l.waitsBefore(r) && l.fits(r) {
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
	if r := l.held[id]; r != nil {
		return r
	}
	for _, w := range l.waiters {
		if w.id == id {
			return w
		}
	}
	return nil
}

func (l *Ledger) possible(tokens int) error {
	if l.opts.ignoreCapacity {
		return nil
	}
	if l.capacity == 0 {
		return ErrNoCapacity
	}
	limit := l.capacity
	if !l.IsShort(tokens) {
		limit -= l.headroom()
	}
	if tokens > limit {
		return ErrTooLarge
	}
	return nil
}

// waitsBefore reports whether a waiter of the same kind, long or short, is ahead of r.
func (l *Ledger) waitsBefore(r *reservation) bool {
	for _, w := range l.waiters {
		if w == r {
			return false
		}
		if w.short == r.short {
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
		return l.reserved-l.short+r.tokens <= l.capacity-l.headroom()
	}
	return !l.longWaits() || l.short+r.tokens <= l.headroom()
}

func (l *Ledger) longWaits() bool {
	return slices.ContainsFunc(l.waiters, func(w *reservation) bool { return !w.short })
}

func (l *Ledger) grant(r *reservation) {
	l.held[r.id] = r
	l.reserved += r.tokens
	if r.short {
		l.short += r.tokens
	}
	r.expires = time.Now().Add(r.lease)
	close(r.granted)
	invariant.Check(l.reserved <= l.capacity, "kv_reserved_over_capacity", "reserved %d of %d tokens", l.reserved, l.capacity)
}

// grantWaiters grants the waiting reservations that fit, in order of arrival.
func (l *Ledger) grantWaiters() {
	l.mu.Lock()
	kept := make([]*reservation, 0, len(l.waiters))
	all := slices.Clone(l.waiters)
	for _, w := range all {
		if l.waitsBefore(w) || !l.fits(w) {
			kept = append(kept, w)
			continue
		}
		l.waiters = slices.DeleteFunc(l.waiters, func(o *reservation) bool { return o == w })
		l.grant(w)
	}
	l.waiters = kept
	l.mu.Unlock()
	l.opts.OnChange()
}

// Reserve is like Request but waits for the grant, at most for the duration wait. A reservation that is not granted in
// time is removed. Errors: those of Request, and the context's error.
func (l *Ledger) Reserve(ctx context.Context, id string, tokens int, lease, wait time.Duration) error {
	r, err := l.request(id, tokens, lease)
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

// Renew extends the lease of a reservation to at least the duration lease from now. Errors: ErrUnknown.
func (l *Ledger) Renew(id string, lease time.Duration) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.held[id]
	if r == nil {
		return ErrNotFound
	}
	if until := time.Now().Add(lease); until.After(r.expires) {
		r.expires = until
	}
	return nil
}

// Bind records that a stream or segment on the engine uses the memory of a reservation. Errors: ErrUnknown.
func (l *Ledger) Bind(id, engineID string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.held[id]
	if r == nil {
		return ErrNotFound
	}
	r.bound[engineID] = new(binding)
	l.engine[engineID] = r
	return nil
}

// MarkRunning records that the engine runs a bound ID, as shown for example by its first token.
func (l *Ledger) MarkRunning(engineID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.engine[engineID]; r != nil {
		r.bound[engineID].seen = time.Now()
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
	l.waiters = slices.DeleteFunc(l.waiters, func(w *reservation) bool { return w.id == id })
	r := l.held[id]
	if r == nil {
		return nil
	}
	delete(l.held, id)
	l.reserved -= r.tokens
	if r.short {
		l.short -= r.tokens
	}
	for engineID := range r.bound {
		delete(l.engine, engineID)
		engineIDs = append(engineIDs, engineID)
	}
	slices.Sort(engineIDs)
	invariant.Check(l.reserved >= 0 && l.short >= 0, "kv_reserved_negative", "reserved %d, short %d", l.reserved, l.short)
	return engineIDs
}

// Expire frees the reservations whose lease has ended. It returns their IDs and the engine IDs bound to them, which the
// caller must cancel on the engine.
func (l *Ledger) Expire() (expired, engineIDs []string) {
	l.mu.Lock()
	now := time.Now()
	for id, r := range l.held {
		if now.Before(r.expires) || l.opts.ignoreLeases {
			continue
		}
		expired = append(expired, id)
		engineIDs = append(engineIDs, l.release(id)...)
	}
	l.checkLeases(now)
	l.mu.Unlock()
	if len(expired) > 0 {
		l.grantWaiters()
	}
	return expired, engineIDs
}

// checkLeases asserts that no reservation has outlived its lease by more than the grace.
func (l *Ledger) checkLeases(now time.Time) {
	for id, r := range l.held {
		invariant.Check(now.Sub(r.expires) <= l.opts.ReportGrace, "kv_lease_outlived", "reservation %s outlives its lease", id)
	}
}

// AssertIdle asserts that nothing is reserved. The agent calls it when it runs no work and no other node holds a lease.
func (l *Ledger) AssertIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	invariant.Check(l.reserved == 0 && len(l.engine) == 0, "kv_reserved_when_idle", "reserved %d tokens in %d reservations", l.reserved, len(l.held))
}

// Reset frees all reservations after the engine has restarted with empty memory, and returns their IDs. Waiters stay.
func (l *Ledger) Reset() (dropped []string) {
	l.mu.Lock()
	for id := range l.held {
		dropped = append(dropped, id)
	}
	for _, id := range dropped {
		l.release(id)
	}
	l.mu.Unlock()
	l.grantWaiters()
	return dropped
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
		if r := l.engine[engineID]; r != nil {
			r.bound[engineID].seen = now
			continue
		}
		unknown = append(unknown, engineID)
	}
	for id, r := range l.held {
		if l.gone(r, now) {
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

// gone reports whether all IDs bound to a reservation have run and stopped.
func (l *Ledger) gone(r *reservation, now time.Time) bool {
	for _, b := range r.bound {
		if b.seen.IsZero() || now.Sub(b.seen) < l.opts.ReportGrace {
			return false
		}
	}
	return len(r.bound) > 0
}

// HasEngineID reports whether an engine ID is bound to a granted reservation.
func (l *Ledger) HasEngineID(engineID string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.engine[engineID] != nil
}
