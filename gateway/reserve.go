package gateway

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bilberrylink/bilberrylink/internal/timing"
	"github.com/bilberrylink/bilberrylink/registry"
)

const (
	// reserveTimeout bounds a call that reserves or releases memory. Endpoints respond within milliseconds.
	reserveTimeout = 300 * time.Millisecond
	// reservationTTL is the lifetime of a reservation that is not renewed. When a gateway crashes, its requests end at once, and the
	// memory must be free again within four seconds, the platform's bound. An endpoint may still execute the last renewal two seconds
	// after it was sent, or later.
	reservationTTL = 1800 * time.Millisecond
	// renewInterval is the interval between renewals, and renewRetryInterval that after a call that got no response. A reservation
	// survives three such calls in a row.
	renewInterval      = 600 * time.Millisecond
	renewRetryInterval = reserveTimeout
	// maxExecutionDelay is the time for which an endpoint may still execute a call that got no response.
	maxExecutionDelay = 13 * time.Second
	// releaseInterval is the interval at which a release is repeated after a call that got no response.
	releaseInterval = 1500 * time.Millisecond
	// lostAfter is the time for which no renewal gets a connection after which the primary endpoint counts as lost. Its helpers hold their
	// memory for nothing then.
	lostAfter = 1100 * time.Millisecond
)

// reservation is a reservation of memory for one attempt at one endpoint.
type reservation struct {
	state        *requestState
	endpoint     *registry.Endpoint
	id           string
	tokens       int
	unansweredAt time.Time // of the latest call that got no response; zero: none
	unreachedAt  time.Time // of the first of the latest calls in a row that got no connection; zero: none
}

// reservationSet holds all reservations of an attempt. They are renewed until they are released.
type reservationSet struct {
	list         []*reservation // by the endpoints of the plan; nil where nothing is reserved
	stopRenewals context.CancelFunc
	wg           sync.WaitGroup
	lost         context.Context // ends when the primary endpoint counts as lost
	markLost     context.CancelFunc
}

// ids returns the IDs of the reservations by endpoint; empty where there is none.
func (rs *reservationSet) ids() []string {
	if rs == nil {
		return nil
	}
	ids := make([]string, len(rs.list))
	for i, r := range rs.list {
		if r != nil {
			ids[i] = r.id
		}
	}
	return ids
}

// reserve reserves the memory of a plan at all its endpoints concurrently. The reservations must be released even if ok is
// false.
func (s *requestState) reserve(ctx context.Context, plan *resolvedPlan) (set *reservationSet, ok bool) {
	renewals, stop := context.WithCancel(context.Background())
	set = &reservationSet{list: make([]*reservation, len(plan.endpoints)), stopRenewals: stop}
	set.lost, set.markLost = context.WithCancel(context.Background())
	results, pending := make(chan bool, len(plan.endpoints)), 0
	for i, tokens := range plan.ReserveTokens {
		if tokens == 0 {
			continue
		}
		r := &reservation{state: s, endpoint: plan.endpoints[i], tokens: tokens,
			id: s.gw.opts.Name + "-" + s.gw.incarnation + "-" + strconv.FormatUint(s.gw.reservationCount.Add(1), 36)}
		set.list[i] = r
		pending++
		go func() { results <- r.reserveOrRenew(ctx) }()
	}
	ok = true
	for range pending {
		ok = <-results && ok
	}
	if !ok {
		return set, false
	}
	for _, r := range set.list {
		if r != nil {
			set.wg.Go(func() { set.renew(renewals, r) })
		}
	}
	return set, true
}

// reserveOrRenew reserves the memory or renews the reservation.
func (r *reservation) reserveOrRenew(ctx context.Context) bool {
	ctx, cancel := context.WithTimeoutCause(ctx, reserveTimeout, ErrEndpointSilent)
	defer cancel()
	ok, err := r.state.gw.opts.Backend.Reserve(ctx, r.endpoint, r.id, r.tokens, reservationTTL)
	var sendErr *SendError
	if errors.As(err, &sendErr) && !sendErr.MaybeReceived {
		if r.unreachedAt.IsZero() {
			r.unreachedAt = r.state.gw.opts.Now()
		}
	} else {
		r.unreachedAt = time.Time{}
	}
	if err != nil {
		r.unansweredAt = r.state.gw.opts.Now()
		if ctx.Err() == nil { // a late response is no sign of a failed endpoint
			r.state.reportUnreachable(r.endpoint, err.Error())
		}
		r.logEntry("reserve_failed").WithError(err).Warn("no response to a reservation")
	}
	return ok && err == nil
}

func (r *reservation) logEntry(event string) *logrus.Entry {
	return r.state.gw.opts.Log.WithFields(logrus.Fields{"event": event, "request": r.state.req.ID, "at": r.endpoint.ID})
}

// renew renews a reservation until ctx ends. It does not cancel a call in progress, since it would then be unknown whether the
// endpoint executes the call.
func (rs *reservationSet) renew(ctx context.Context, r *reservation) {
	for interval := renewInterval; timing.Sleep(ctx, interval) == nil; {
		startedAt := r.state.gw.opts.Now()
		interval = renewInterval
		if ok := r.reserveOrRenew(context.Background()); !ok {
			interval = renewRetryInterval
		}
		interval -= r.state.gw.opts.Now().Sub(startedAt)
		if r == rs.list[0] && r.isLost() {
			rs.markLost()
		}
	}
}

// isLost reports whether the endpoint of a reservation accepts no connections and has been silent since it began to.
func (r *reservation) isLost() bool {
	return !r.unreachedAt.IsZero() && r.state.gw.opts.Now().Sub(r.unreachedAt) >= lostAfter && !r.endpoint.ActiveSince(r.unreachedAt)
}

// onLost calls do, in a goroutine of its own, when the primary endpoint counts as lost. The returned function ends that.
func (rs *reservationSet) onLost(do func()) (stop func() bool) {
	if rs == nil {
		return func() bool { return true }
	}
	return context.AfterFunc(rs.lost, do)
}

// release ends the reservations in the background, so that the response to the caller does not wait for it.
func (rs *reservationSet) release() {
	if rs == nil {
		return
	}
	rs.stopRenewals()
	rs.markLost()
	go func() {
		rs.wg.Wait()
		for _, r := range rs.list {
			if r != nil {
				go r.release()
			}
		}
	}()
}

// release ends the reservation. It repeats the release as long as an earlier call that got no response may still be
// executed and reserve the memory again.
func (r *reservation) release() {
	for {
		ctx, cancel := context.WithTimeoutCause(context.Background(), reserveTimeout, ErrEndpointSilent)
		err := r.state.gw.opts.Backend.Release(ctx, r.endpoint, r.id)
		cancel()
		now := r.state.gw.opts.Now()
		if err != nil && r.unansweredAt.IsZero() {
			r.unansweredAt = now
			r.logEntry("release_failed").WithError(err).Warn("no response to the release of a reservation")
		}
		if r.unansweredAt.IsZero() || now.Sub(r.unansweredAt) > maxExecutionDelay {
			return
		}
		time.Sleep(releaseInterval)
	}
}
