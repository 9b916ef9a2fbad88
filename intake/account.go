package intake

import (
	"context"
	"math"
	"slices"
	"time"
)

// Account is the account of one connection. A nil Account is one without a bound. It is safe for concurrent use.
type Account struct {
	budget        *Budget
	end           func(Ending)
	address       *group
	addressName   string
	workspace     *group
	workspaceName string

	// The budget's mutex guards the fields below.
	phase      Phase
	since      time.Time // of the phase
	ended      Reason
	closed     bool
	held       int64
	large      bool
	smallLimit int64         // from which the request is large
	readSince  time.Time     // begin of a read that waits for the caller; zero: none
	writeSince time.Time     // begin of a write
	turn       time.Duration // of the process waiting for the caller during the request
	recent     float64       // bytes of progress, halved with each second of turn
	bodyBytes  int64
	window     bodyWindow
}

// bodyWindow is the state of a body at the begin of a window.
type bodyWindow struct {
	turn  time.Duration
	bytes int64
}

type contextKey struct{}

// WithAccount returns a context that carries an account.
func WithAccount(ctx context.Context, a *Account) context.Context {
	return context.WithValue(ctx, contextKey{}, a)
}

// FromContext returns the account of a context, or nil.
func FromContext(ctx context.Context) *Account {
	a, _ := ctx.Value(contextKey{}).(*Account)
	return a
}

// progressFloor is the least number of bytes by which progress is divided, and counts as progress, so that connections that hold next to
// nothing can be compared.
const progressFloor = 1 << 10

// score is low for callers that make little progress for what they hold and for the time that they have taken. The budget's mutex must be held.
func (a *Account) score(now time.Time) float64 {
	turn, recent := a.progress(now)
	return (recent + progressFloor) / float64(a.held+progressFloor) / (turn + time.Millisecond).Seconds()
}

// progress returns the time that the caller has taken and its recent progress. The budget's mutex must be held.
func (a *Account) progress(now time.Time) (turn time.Duration, recent float64) {
	waiting := a.waitingFor(now)
	return a.turn + waiting, a.recent * math.Exp2(-waiting.Seconds())
}

// waitingFor returns how long the process has been waiting for the caller. The budget's mutex must be held.
func (a *Account) waitingFor(now time.Time) (waiting time.Duration) {
	for _, since := range []time.Time{a.readSince, a.writeSince} {
		if !since.IsZero() {
			waiting = max(waiting, now.Sub(since))
		}
	}
	return waiting
}

// isEndable reports whether the connection may be ended in favor of others: its caller makes the process wait. The budget's mutex must be held.
func (a *Account) isEndable(now time.Time) bool {
	if a.phase == Idle || a.phase == Serving && a.writeSince.IsZero() {
		return false
	}
	turn, _ := a.progress(now)
	return turn >= graceTime
}

// placeRank is the order in which connections lose their places.
type placeRank struct {
	class int
	value float64 // within the class
}

func (r placeRank) isBefore(other placeRank) bool {
	return r.class < other.class || r.class == other.class && r.value < other.value
}

// placeRank returns the rank of the connection, unless it must keep its place. The budget's mutex must be held.
func (a *Account) placeRank(now time.Time) (placeRank, bool) {
	inPhase := now.Sub(a.since)
	switch {
	case a.ended != ReasonNone:
		return placeRank{0, -inPhase.Seconds()}, true
	case a.phase == Idle && inPhase > recentlyIdle:
		return placeRank{1, -inPhase.Seconds()}, true
	case a.phase == Idle:
		return placeRank{3, -inPhase.Seconds()}, inPhase >= graceTime
	}
	return placeRank{2, a.score(now)}, a.isEndable(now)
}

// excuse makes a time that the process was suspended not count. The budget's mutex must be held.
func (a *Account) excuse(d time.Duration, now time.Time) {
	for _, since := range []*time.Time{&a.since, &a.readSince, &a.writeSince} {
		if since.IsZero() {
			continue
		}
		if *since = since.Add(d); since.After(now) { // it began after the suspension
			*since = now
		}
	}
}

// overTime returns the limit of time that the connection exceeds. The budget's mutex must be held.
func (a *Account) overTime(limits Limits, now time.Time) Reason {
	inPhase := now.Sub(a.since)
	switch {
	case !a.writeSince.IsZero() && now.Sub(a.writeSince) > unreadTimeout:
		return ReasonUnread
	case a.phase == Idle && limits.IdleTimeout > 0 && inPhase > limits.IdleTimeout+timeMargin:
		return ReasonIdleTime
	case a.phase == Head && limits.HeaderTimeout > 0 && inPhase > limits.HeaderTimeout+timeMargin:
		return ReasonHeadTime
	case a.phase == Body && a.writeSince.IsZero():
		turn, _ := a.progress(now)
		if turn-a.window.turn < slowBodyWindow {
			return ReasonNone
		}
		if a.bodyBytes-a.window.bytes < slowBodyBytes {
			return ReasonSlowBody
		}
		a.window = bodyWindow{turn, a.bodyBytes}
	}
	return ReasonNone
}

// beginEnd marks the account as being ended. The budget's mutex must be held.
func (a *Account) beginEnd(reason Reason) Ending {
	if a.ended == ReasonNone {
		a.ended = reason
		for _, g := range a.groups() {
			if g != nil {
				g.ending += a.held
			}
		}
		a.budget.count(reason)
	}
	return Ending{Reason: reason, Phase: a.phase, Writing: !a.writeSince.IsZero()}
}

// groups returns the groups of the account, of which some may be nil. The budget's mutex must be held.
func (a *Account) groups() [4]*group {
	groups := [4]*group{&a.budget.total, a.address, a.workspace}
	if a.large {
		groups[3] = &a.budget.large
	}
	return groups
}

// isIn reports whether the account counts toward a group. The budget's mutex must be held.
func (a *Account) isIn(g *group) bool {
	groups := a.groups()
	return slices.Contains(groups[:], g)
}

// add changes what the account holds. The budget's mutex must be held.
func (a *Account) add(n int64) {
	if !a.large && a.held+n > a.smallLimit {
		a.join(&a.budget.large)
		a.large = true
	}
	a.held += n
	for _, g := range a.groups() {
		if g == nil {
			continue
		}
		g.held += n
		if a.ended != ReasonNone {
			g.ending += n
		}
	}
	if n < 0 {
		a.budget.wake()
	}
}

// join adds what the account holds to a group. The budget's mutex must be held.
func (a *Account) join(g *group) {
	g.held += a.held
	if a.ended != ReasonNone {
		g.ending += a.held
	}
}

// Charge adds bytes that the caller makes the process hold, before they are allocated. If the budget is short, it ends connections that have
// made less progress and waits for their bytes. It returns ErrShort if there are none, and ErrEnded if this one is ended.
func (a *Account) Charge(n int64) error {
	if a == nil || a.budget.opts.Bytes <= 0 {
		return nil
	}
	b := a.budget
	var timeout <-chan time.Time
	for {
		b.mu.Lock()
		if a.ended != ReasonNone || a.closed {
			b.mu.Unlock()
			return ErrEnded
		}
		fits, victims, err := b.makeRoom(a, n, time.Now())
		if fits {
			a.add(n)
			b.mu.Unlock()
			return nil
		}
		if err != nil {
			b.count(ReasonShort)
			b.mu.Unlock()
			return err
		}
		endings := make([]Ending, len(victims))
		for i, v := range victims {
			endings[i] = v.beginEnd(ReasonShort)
		}
		if len(victims) > 0 {
			b.wake()
		}
		freed := b.freed
		b.waiting++
		b.mu.Unlock()
		for i, v := range victims {
			v.end(endings[i])
		}
		if timeout == nil {
			timer := time.NewTimer(chargeTimeout)
			defer timer.Stop()
			timeout = timer.C
		}
		err = nil
		select {
		case <-freed:
		case <-timeout:
			err = ErrShort
		}
		b.mu.Lock()
		b.waiting--
		if err != nil {
			b.count(ReasonShort)
		}
		b.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

// Release takes back charged bytes that are no longer held.
func (a *Account) Release(n int64) {
	if a == nil || n == 0 || a.budget.opts.Bytes <= 0 {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if !a.closed {
		a.add(-min(n, a.held))
	}
}

// SetWorkspace makes what the connection holds count toward the share of a workspace, until the end of the request.
func (a *Account) SetWorkspace(name string) {
	if a == nil || a.budget.opts.Bytes <= 0 || name == "" {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed || a.workspace != nil {
		return
	}
	if b.workspaces[name] == nil {
		b.workspaces[name] = new(group)
	}
	a.workspace, a.workspaceName = b.workspaces[name], name
	a.workspace.conns++
	a.join(a.workspace)
}

// BeginRead tells that the process begins to read from the caller.
func (a *Account) BeginRead() {
	if a == nil {
		return
	}
	now := time.Now()
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.phase == Head || a.phase == Body {
		a.readSince = now
	}
}

// EndRead tells that the process has read n bytes, and reports whether they belong to the head of a request.
func (a *Account) EndRead(n int) (head bool) {
	if a == nil {
		return false
	}
	now := time.Now()
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.endTurn(&a.readSince, n, now)
	if a.phase == Idle && n > 0 {
		a.phase, a.since = Head, now
	}
	if a.phase == Body {
		a.bodyBytes += int64(n)
	}
	return a.phase == Head
}

// BeginWrite tells that the process begins to write to the caller.
func (a *Account) BeginWrite() {
	if a == nil {
		return
	}
	now := time.Now()
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.writeSince = now
}

// EndWrite tells that the process has written n bytes.
func (a *Account) EndWrite(n int) {
	if a == nil {
		return
	}
	now := time.Now()
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.endTurn(&a.writeSince, n, now)
}

// endTurn ends the time in which the process waited for the caller. The budget's mutex must be held.
func (a *Account) endTurn(since *time.Time, n int, now time.Time) {
	if !since.IsZero() {
		took := now.Sub(*since)
		a.turn += took
		a.recent *= math.Exp2(-took.Seconds())
		*since = time.Time{}
	}
	a.recent += float64(n)
}

// BeginBody tells that the head of a request has been read.
func (a *Account) BeginBody() {
	if a == nil {
		return
	}
	now := time.Now()
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.phase, a.since, a.bodyBytes, a.window = Body, now, 0, bodyWindow{turn: a.turn}
}

// ExpectBody tells the length of a body before it is read, or -1. Large requests are bounded as such from their first byte, and those that state
// no length from maxUnstatedBytes.
func (a *Account) ExpectBody(n int64) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	switch {
	case n > SmallRequestBytes:
		a.smallLimit = 0
	case n < 0:
		a.smallLimit = maxUnstatedBytes
	}
}

// BeginServing tells that the request has been read. It returns ErrEnded if the connection is being ended; the request must be refused then.
func (a *Account) BeginServing() error {
	if a == nil {
		return nil
	}
	now := time.Now()
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.ended != ReasonNone {
		return ErrEnded
	}
	a.phase, a.since, a.readSince = Serving, now, time.Time{} // a read from here on only waits for a disconnect
	a.smallLimit = SmallRequestBytes
	return nil
}

// CountRefusal counts a request that was refused for another reason than the budget.
func (a *Account) CountRefusal(reason Reason) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.count(reason)
}

// Ended returns why the connection is being ended.
func (a *Account) Ended() Reason {
	if a == nil {
		return ReasonNone
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.ended
}

// EndRequest tells that the request has been answered. Nothing of it is held any longer.
func (a *Account) EndRequest() {
	if a == nil {
		return
	}
	now := time.Now()
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.reset()
	a.phase, a.since, a.turn, a.recent = Idle, now, 0, 0
	a.readSince, a.writeSince = time.Time{}, time.Time{}
}

// reset releases everything that the account holds. The budget's mutex must be held.
func (a *Account) reset() {
	if a.closed {
		return
	}
	a.add(-a.held)
	a.large, a.smallLimit = false, SmallRequestBytes
	if a.workspace != nil {
		a.workspace.conns--
		a.budget.dropEmpty(a)
		a.workspace = nil
	}
}

// Close tells that the connection has been closed.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.reset()
	a.closed = true
	a.budget.remove(a)
	a.budget.dropEmpty(a)
}
