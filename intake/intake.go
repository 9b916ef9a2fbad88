// Package intake decides how much callers may make a process hold, and whose connection is ended when that is too much. It accounts for bodies
// that are read or kept for a retry, heads, answers that callers have not read, and connections. It knows neither sockets nor protocols.
package intake

import (
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/bilberrylink/bilberrylink/internal/timing"
)

// Errors of Account.Charge.
var (
	ErrShort = errors.New("the budget for callers is used up")
	ErrEnded = errors.New("the connection is being ended")
)

// Phase is what a connection is doing.
type Phase uint8

// The phases. A connection begins in Idle.
const (
	Idle    Phase = iota // no byte of a request has arrived
	Head                 // the head of a request is arriving
	Body                 // its body is being read
	Serving              // the process works on the request or answers it
)

// Reason tells why a connection was ended or refused. It is the label of the metric.
type Reason string

// The reasons. For those not marked otherwise, a request whose body has not been received in full is refused with an answer.
const (
	ReasonNone        Reason = ""
	ReasonShort       Reason = "short"       // its bytes were needed for others
	ReasonConnections Reason = "connections" // its place was needed for another connection; closed without an answer
	ReasonHeadTime    Reason = "head_time"   // its head took too long
	ReasonIdleTime    Reason = "idle_time"   // no request came; closed without an answer
	ReasonSlowBody    Reason = "slow_body"   // its body came too slowly
	ReasonUnread      Reason = "unread"      // its caller did not read the answer; closed without another
	ReasonLargeHead   Reason = "large_head"  // its head was over the limit
	ReasonLargeBody   Reason = "large_body"  // its body was over the limit
)

// Ending tells how a connection is to be ended.
type Ending struct {
	Reason  Reason
	Phase   Phase
	Writing bool // an answer is being written
}

// Limits are limits of time and size that the configuration may change while the process runs. Zero: none.
type Limits struct {
	MaxHeaderBytes int64
	HeaderTimeout  time.Duration // from the first byte of a head to its end
	IdleTimeout    time.Duration // without a byte of a request
}

// Defaults of the limits that no configuration states.
const (
	// slowBodyWindow is the time of reading in which a body must make progress. It is longer than pauses by a lost segment and its retransmissions.
	slowBodyWindow = 10 * time.Second
	// slowBodyBytes is the least progress in a window.
	slowBodyBytes = 4 << 10
	// unreadTimeout is the time for which one write to a caller may block. The kernel lets a blocked writer go on when a third of the
	// send buffer is free, so that this bounds the rate of reading at about 1 KB/s.
	unreadTimeout = 30 * time.Second
	// graceTime is the time of its caller for which a connection is not ended in favor of others. Without it, requests that arrive together
	// would end each other instead of refusing the last.
	graceTime = 100 * time.Millisecond
	// chargeTimeout bounds the wait for the bytes of connections that are being ended.
	chargeTimeout = time.Second
	// recentlyIdle is the time for which a connection without a request keeps its place before those that are in the middle of one: a caller that has
	// just connected sends its request soon.
	recentlyIdle = time.Second
	// maxSearched bounds the search for a place, which each new connection causes when there is none. The least useful of a random sample is
	// among the least useful of all.
	maxSearched   = 256
	sweepInterval = 250 * time.Millisecond
	// timeMargin is added to the limits of time of the configuration, for callers that use them to the end.
	timeMargin = 500 * time.Millisecond
	// maxSweepDelay is the delay of a sweep from which the process is taken to have been suspended. That time does not count against callers.
	maxSweepDelay = time.Second
	logInterval   = time.Second
)

// Options configures a Budget.
type Options struct {
	Sizes
	Limits     func() Limits // current limits; nil: none
	Log        *logrus.Logger
	Registerer prometheus.Registerer // nil: not registered
}

// Budget is what the callers of a process may make it hold. It is safe for concurrent use.
type Budget struct {
	opts    Options
	limits  atomic.Pointer[Limits]
	metrics *metrics

	mu         sync.Mutex
	accounts   map[*Account]struct{}
	total      group
	large      group // accounts that hold more than a small request
	addresses  map[string]*group
	workspaces map[string]*group
	waiting    int           // calls of Charge that wait for bytes
	freed      chan struct{} // closed when bytes are released or a connection is being ended, if any call waits
	sweptAt    time.Time     // zero: not yet
	unlogged   map[Reason]int
	loggedAt   time.Time
}

// group is a set of accounts with a common bound.
type group struct {
	held   int64
	ending int64 // part of held that belongs to accounts that are being ended
	conns  int
}

// New returns a Budget.
func New(opts Options) *Budget {
	if opts.Limits == nil {
		opts.Limits = func() Limits { return Limits{} }
	}
	b := &Budget{opts: opts, accounts: make(map[*Account]struct{}), addresses: make(map[string]*group),
		workspaces: make(map[string]*group), freed: make(chan struct{}), unlogged: make(map[Reason]int)}
	b.metrics = newMetrics(opts.Registerer, b)
	b.refreshLimits()
	return b
}

// Limits returns the current limits.
func (b *Budget) Limits() Limits { return *b.limits.Load() }

func (b *Budget) refreshLimits() {
	limits := b.opts.Limits()
	b.limits.Store(&limits)
}

// Run ends the connections that exceed a limit of time, until ctx ends.
func (b *Budget) Run(ctx context.Context) { timing.Every(ctx, sweepInterval, b.Sweep) }

// Open opens the account of a new connection. It returns nil if there is no place for it. end ends the connection, and must not block; it is
// called once or, if the place is needed before the connection has gone, twice.
func (b *Budget) Open(addr string, end func(Ending)) *Account {
	now := time.Now()
	b.mu.Lock()
	address := b.addresses[addr]
	if address == nil {
		address = new(group)
	}
	var victim *Account
	if bound := b.opts.Connections; bound > 0 {
		switch {
		case address.conns >= share(bound, addressShare):
			victim = b.leastUseful(now, func(a *Account) bool { return a.address == address })
		case b.total.conns >= bound:
			victim = b.leastUseful(now, func(*Account) bool { return true })
		}
		if victim == nil && (address.conns >= share(bound, addressShare) || b.total.conns >= bound) {
			b.count(ReasonConnections)
			b.mu.Unlock()
			return nil
		}
	}
	a := &Account{budget: b, address: address, addressName: addr, end: end, since: now, smallLimit: SmallRequestBytes}
	var ending Ending
	if victim != nil {
		ending = victim.beginEnd(ReasonConnections)
		b.remove(victim)
		b.wake()
	}
	b.accounts[a] = struct{}{}
	b.addresses[addr] = address
	b.total.conns++
	address.conns++
	b.mu.Unlock()
	if victim != nil {
		victim.end(ending)
	}
	return a
}

// leastUseful returns the connection whose place is needed least, or nil: one that is being ended, or else the one that has been idle for the
// longest time, or else the one with the least progress. Requests that the process works on are not ended. b.mu must be held.
func (b *Budget) leastUseful(now time.Time, eligible func(*Account) bool) *Account {
	var best *Account
	var bestRank placeRank
	searched := 0
	for a := range b.accounts { // in random order
		if searched++; searched > maxSearched && best != nil {
			break
		}
		if !eligible(a) {
			continue
		}
		if rank, ok := a.placeRank(now); ok && (best == nil || rank.isBefore(bestRank)) {
			best, bestRank = a, rank
		}
	}
	return best
}

// remove takes an account out of the budget. b.mu must be held.
func (b *Budget) remove(a *Account) {
	if _, ok := b.accounts[a]; !ok {
		return
	}
	delete(b.accounts, a)
	b.total.conns--
	a.address.conns--
	b.dropEmpty(a)
}

// dropEmpty forgets the groups of an account that have become empty. b.mu must be held.
func (b *Budget) dropEmpty(a *Account) {
	if a.address.conns == 0 && a.address.held == 0 && b.addresses[a.addressName] == a.address {
		delete(b.addresses, a.addressName)
	}
	if a.workspace != nil && a.workspace.conns == 0 && a.workspace.held == 0 && b.workspaces[a.workspaceName] == a.workspace {
		delete(b.workspaces, a.workspaceName)
	}
}

// wake makes the calls of Charge that wait try again. b.mu must be held.
func (b *Budget) wake() {
	if b.waiting > 0 {
		close(b.freed)
		b.freed = make(chan struct{})
	}
}

// bound is a bound of a group.
type bound struct {
	group *group
	limit int64
}

// bounds returns the bounds of an account that would hold a number of bytes. Groups may be nil. Large requests of an address or a workspace leave
// room for its small ones. b.mu must be held.
func (b *Budget) bounds(a *Account, held int64) [4]bound {
	total := bound{&b.total, b.opts.Bytes}
	switch {
	case held > a.smallLimit && b.isAlone(a):
		return [4]bound{total, {&b.large, share(b.opts.Bytes, largeShare)}}
	case held > a.smallLimit:
		return [4]bound{total, {a.address, share(b.opts.Bytes, addressShare)}, {a.workspace, share(b.opts.Bytes, workspaceShare)},
			{&b.large, share(b.opts.Bytes, largeShare)}}
	case a.phase == Serving: // the answer to a small request that has run
		return [4]bound{total}
	}
	return [4]bound{total, {a.address, share(b.opts.Bytes, smallShare)}, {a.workspace, share(b.opts.Bytes, smallShare)}}
}

// isAlone reports whether no other connection holds anything. A request without other load may take all that large ones may. b.mu must be held.
func (b *Budget) isAlone(a *Account) bool { return b.total.held == a.held }

// makeRoom reports whether an account may hold n more bytes. Otherwise it returns the accounts to end for it, of which there may be none if
// enough are being ended, or ErrShort. An answer takes precedence over requests that are still being read, as its request has run. b.mu must be
// held.
func (b *Budget) makeRoom(a *Account, n int64, now time.Time) (fits bool, victims []*Account, err error) {
	held := a.held + n
	if held > share(b.opts.Bytes, connectionShare) && !b.isAlone(a) {
		return false, nil, ErrShort
	}
	fits = true
	for _, bound := range b.bounds(a, held) {
		if bound.group == nil {
			continue
		}
		needed := n
		if bound.group == &b.large && !a.large {
			needed = held // the account joins the group with all that it holds
		}
		missing := bound.group.held + needed - bound.limit
		if missing <= 0 {
			continue
		}
		fits = false
		missing -= bound.group.ending
		for _, v := range victims {
			if v.isIn(bound.group) {
				missing -= v.held
			}
		}
		for missing > 0 {
			v := b.leastProgress(now, func(o *Account) bool { return o.isIn(bound.group) && !slices.Contains(victims, o) })
			if v == nil || v == a || a.phase != Serving && a.score(now) <= v.score(now) {
				return false, nil, ErrShort
			}
			victims = append(victims, v)
			missing -= v.held
		}
	}
	return fits, victims, nil
}

// leastProgress returns the account whose caller has made the least progress for what it holds, among those that may be ended, or nil. b.mu must be held.
func (b *Budget) leastProgress(now time.Time, eligible func(*Account) bool) *Account {
	var worst *Account
	lowest := math.Inf(1)
	for a := range b.accounts {
		if a.held > 0 && a.ended == ReasonNone && a.isEndable(now) && eligible(a) {
			if score := a.score(now); score < lowest {
				worst, lowest = a, score
			}
		}
	}
	return worst
}

// Sweep ends the connections that exceed a limit of time.
func (b *Budget) Sweep() {
	b.refreshLimits()
	limits, now := b.Limits(), time.Now()
	type ended struct {
		account *Account
		ending  Ending
	}
	var list []ended
	b.mu.Lock()
	delay := now.Sub(b.sweptAt) - sweepInterval
	suspended := !b.sweptAt.IsZero() && delay > maxSweepDelay
	b.sweptAt = now
	for a := range b.accounts {
		if a.ended != ReasonNone {
			continue
		}
		if suspended {
			a.excuse(delay, now)
		}
		if reason := a.overTime(limits, now); reason != ReasonNone {
			list = append(list, ended{a, a.beginEnd(reason)})
		}
	}
	if len(list) > 0 {
		b.wake()
	}
	fields := b.logFields(now)
	b.mu.Unlock()
	for _, e := range list {
		e.account.end(e.ending)
	}
	if fields != nil && b.opts.Log != nil {
		b.opts.Log.WithFields(fields).Warn("connections of callers were ended or refused")
	}
}

// count counts an ended or refused connection or request. b.mu must be held.
func (b *Budget) count(reason Reason) {
	b.metrics.ended.WithLabelValues(string(reason)).Inc()
	if reason != ReasonIdleTime { // the usual end of a connection
		b.unlogged[reason]++
	}
}

// logFields returns the fields of the next log line, or nil if nothing has happened or the last line was less than a second ago. b.mu must be held.
func (b *Budget) logFields(now time.Time) logrus.Fields {
	if len(b.unlogged) == 0 || now.Sub(b.loggedAt) < logInterval {
		return nil
	}
	fields := logrus.Fields{"event": "callers_ended", "held": b.total.held, "connections": b.total.conns}
	for reason, n := range b.unlogged {
		fields["ended_"+string(reason)] = n
	}
	clear(b.unlogged)
	b.loggedAt = now
	return fields
}
