package agent

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/fleet"
)

const (
	ticketBackoffMin = 200 * time.Millisecond
	// ticketBackoffMax bounds how long the last engines of a mass start wait while the weight store is idle again.
	ticketBackoffMax = 4 * time.Second
	orderTimeout     = 5 * time.Second
	roleServe        = "serve"
	// loadPatience is how long an accepted load may take before it is ordered again with a new ticket.
	loadPatience = 2 * time.Minute
	// rolloutSoak is how long the earlier steps of a rollout must be healthy before the next one begins. An engine that a
	// new version crashes is seen to be down within it: two failed reports and one exchange.
	rolloutSoak = 5 * time.Second
	// rolloutWatch is the number of endpoints of earlier steps whose records an agent asks for. They waited for those before
	// them, so that a fault further back stops the rollout within as many endpoints.
	rolloutWatch = 24
)

// orderState is what the order duty knows. The fault, healthy and waiting are guarded by Agent.mu, the rest
// belongs to the duty.
type orderState struct {
	fault   string
	healthy map[endpoint.Version]time.Time // since when the earlier steps of the rollout to a version are healthy
	waiting []endpoint.Version             // loaded versions whose replacements wait for tickets
	backoff time.Duration
	next    time.Time                      // no ticket is asked for earlier
	loading map[endpoint.Version]time.Time // when the engine accepted the order to load
	engine  string                         // incarnation that accepted them
}

// requestOrder wakes the order duty.
func (a *Agent) requestOrder() {
	select {
	case a.reorder <- struct{}{}:
	default:
	}
}

// watchEpochs reacts to each change of the configuration: attempts of recalled versions end, and the engine is ordered.
func (a *Agent) watchEpochs(ctx context.Context) error {
	for {
		changed := a.peer.Epochs().Changed()
		if s := a.peer.Epochs().Snapshot(); s != nil {
			a.applyRecalls(s)
			a.requestOrder()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// applyRecalls ends the attempts of recalled versions that have not begun to answer, and the others if the text says so.
func (a *Agent) applyRecalls(s *fleet.Snapshot) {
	if a.opts.Disabled.RecallCheck {
		return
	}
	cut := s.Text.Settings.RecallStreams == fleet.RecallStreamsCut
	held := a.cancelRecalled(s, cut)
	// The segments are forgotten after their memory is free: without a segment, reserved memory counts as leaked.
	a.cancelOnEngine(a.ledger.Release(held...)...)
	a.forgetSegments(held)
}

// cancelRecalled cancels the attempts and returns the reservations that hold KV of recalled versions.
func (a *Agent) cancelRecalled(s *fleet.Snapshot, cut bool) (held []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, att := range a.attempts {
		err := recallError(s, att)
		if err == nil || att.isDone() || (att.answering.Load() && !cut) {
			continue
		}
		att.cancel(err)
	}
	for id, h := range a.segments {
		if _, recalled := s.Recalled(h.version); recalled {
			held = append(held, id)
		}
	}
	return held
}

// runOrders keeps what the engine holds equal to what the configuration text derives for this endpoint.
func (a *Agent) runOrders(ctx context.Context) error {
	ticker := time.NewTicker(orderInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.reorder:
		case <-ticker.C:
		}
		a.order(ctx)
	}
}

// order sends the engine its current order if what is loaded differs.
func (a *Agent) order(ctx context.Context) {
	s := a.peer.Epochs().Snapshot()
	if s == nil || !a.peer.Epochs().Fresh() {
		return
	}
	report, err := a.readReport(ctx, reportTimeout)
	if err != nil {
		return // the reporter handles it
	}
	wanted := a.wanted(s, report.Loaded)
	a.forgetLoading(report, wanted)
	loading := a.loadingVersions(wanted)
	missing := without(wanted, slices.Concat(report.Loaded, loading))
	waiting := a.awaitingReplacement(s, report.Loaded, missing)
	a.setWaiting(waiting)
	kept := append(intersect(report.Loaded, wanted), waiting...)
	if len(kept) < len(report.Loaded) {
		// Unloading needs no ticket and does not wait for the weight store. What is loading stays ordered.
		a.send(ctx, endpoint.Order{FencingToken: s.Epoch, Versions: slices.Concat(kept, loading), Role: roleServe})
	}
	switch {
	case len(missing) > 0:
		a.loadMissing(ctx, s, slices.Concat(kept, loading), missing)
	case len(loading) == 0:
		a.setOrderFault("")
	}
}

// forgetLoading drops what has been loaded, is no longer wanted, takes too long, or was lost by a restart of the engine.
func (a *Agent) forgetLoading(report endpoint.LoadReport, wanted []endpoint.Version) {
	o := &a.orderState
	if o.engine != report.Incarnation || o.loading == nil {
		o.engine = report.Incarnation
		o.loading = make(map[endpoint.Version]time.Time)
	}
	for v, since := range o.loading {
		late := time.Since(since) > loadPatience
		if late {
			a.setOrderFault(v.WeightName() + " is not loaded " + loadPatience.String() + " after its order")
		}
		if holds(report.Loaded, v) || !holds(wanted, v) || late {
			delete(o.loading, v)
		}
	}
}

func (a *Agent) loadingVersions(wanted []endpoint.Version) []endpoint.Version {
	var loading []endpoint.Version
	for _, v := range wanted {
		if _, ok := a.orderState.loading[v]; ok {
			loading = append(loading, v)
		}
	}
	return loading
}

// awaitingReplacement returns the loaded versions that missing ones replace. They serve on until the weight store grants
// the tickets, because it may refuse for a long time. Recalled versions are not among them.
func (a *Agent) awaitingReplacement(s *fleet.Snapshot, loaded, missing []endpoint.Version) []endpoint.Version {
	var old []endpoint.Version
	for _, v := range missing {
		old = append(old, replacedBy(s, loaded, v)...)
	}
	return without(old, a.wanted(s, loaded))
}

func (a *Agent) setWaiting(versions []endpoint.Version) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.orderState.waiting = versions
}

func (a *Agent) waiting() []endpoint.Version {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.orderState.waiting
}

// loadMissing orders the missing versions for which the weight store grants a ticket, on top of held. What they replace
// is unloaded by the same order.
func (a *Agent) loadMissing(ctx context.Context, s *fleet.Snapshot, held, missing []endpoint.Version) {
	if time.Now().Before(a.orderState.next) {
		return
	}
	granted, tickets, err := a.tickets(ctx, missing)
	if len(granted) > 0 {
		a.orderState.backoff = 0 // the store grants: an engine that keeps doubling would leave it idle
	}
	if err != nil {
		a.backOff(err)
	}
	if len(granted) == 0 {
		return
	}
	for _, v := range granted {
		held = without(held, replacedBy(s, held, v))
	}
	a.setWaiting(intersect(a.waiting(), held))
	if !a.send(ctx, endpoint.Order{FencingToken: s.Epoch, Versions: slices.Concat(held, granted), Role: roleServe, Tickets: tickets}) {
		return
	}
	for _, v := range granted {
		a.orderState.loading[v] = time.Now()
	}
}

// tickets fetches tickets until the first error and returns the versions that have one.
func (a *Agent) tickets(ctx context.Context, versions []endpoint.Version) (granted []endpoint.Version, tickets map[string]string, err error) {
	tickets = make(map[string]string, len(versions))
	for _, v := range versions {
		ticket, err := a.opts.Services.Weights.IssueTicket(ctx, v.WeightName())
		if err != nil {
			return granted, tickets, errors.Wrap(err, v.WeightName())
		}
		tickets[v.WeightName()] = ticket
		granted = append(granted, v)
	}
	return granted, tickets, nil
}

// backOff delays the next tickets by a jittered, doubling time, so that the fleet does not ask in step.
func (a *Agent) backOff(err error) {
	a.orderState.backoff = min(max(2*a.orderState.backoff, ticketBackoffMin), ticketBackoffMax)
	a.orderState.next = time.Now().Add(a.orderState.backoff/2 + rand.N(a.orderState.backoff))
	a.metrics.orders.WithLabelValues("no_ticket").Inc()
	if !errors.Is(err, cloud.ErrRateLimited) && !errors.Is(err, cloud.ErrUnavailable) {
		a.setOrderFault("weights: " + err.Error())
	}
}

func (a *Agent) send(ctx context.Context, o endpoint.Order) bool {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- a.opts.Engine.ApplyOrder(ctx, o) }()
	var err error
	select {
	case err = <-done:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		a.log.WithError(err).WithField("fence", o.FencingToken).Warn("engine refused an order")
		a.metrics.orders.WithLabelValues("failed").Inc()
		a.setOrderFault("order: " + err.Error())
		return false
	}
	a.metrics.orders.WithLabelValues("ok").Inc()
	return true
}

func (a *Agent) setOrderFault(fault string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.orderState.fault = fault
}

// orderDiffers reports whether the engine holds something else than it should.
func (a *Agent) orderDiffers(report endpoint.LoadReport) bool {
	s := a.peer.Epochs().Snapshot()
	if s == nil {
		return false
	}
	wanted := a.wanted(s, report.Loaded)
	return len(intersect(report.Loaded, wanted)) != len(report.Loaded) || len(intersect(wanted, report.Loaded)) != len(wanted)
}

// wanted returns the versions that the engine should hold now. While it is not this endpoint's turn in a rollout, the
// loaded versions of the model stay, unless they are recalled.
func (a *Agent) wanted(s *fleet.Snapshot, loaded []endpoint.Version) []endpoint.Version {
	var wanted []endpoint.Version
	for _, v := range s.AssignedVersions(a.opts.Endpoint) {
		old := replacedBy(s, loaded, v)
		if len(old) == 0 || holds(loaded, v) || a.turn(s, v) {
			wanted = append(wanted, v)
			continue
		}
		for _, o := range old {
			if !holds(wanted, o) {
				wanted = append(wanted, o)
			}
		}
	}
	return wanted
}

// replacedBy returns the loaded, not recalled versions of v's model and adapter that differ from v.
func replacedBy(s *fleet.Snapshot, loaded []endpoint.Version, v endpoint.Version) []endpoint.Version {
	var old []endpoint.Version
	for _, l := range loaded {
		_, recalled := s.Recalled(l)
		if l.Model == v.Model && l.Adapter == v.Adapter && l != v && !recalled {
			old = append(old, l)
		}
	}
	return old
}

// turn reports whether this endpoint may change to v: all endpoints of earlier steps hold it and have been healthy for
// rolloutSoak. A fault on one of them stops the rollout. Endpoints that are not live do not hold it up. Nor do those that
// are not known, but several exchanges that could tell of them take place within rolloutSoak.
func (a *Agent) turn(s *fleet.Snapshot, v endpoint.Version) bool {
	earlier := a.earlier(s, v)
	return len(earlier) == 0 || a.soaked(v, a.changed(earlier, v))
}

// earlier returns the last rolloutWatch endpoints of the steps before this endpoint's one.
func (a *Agent) earlier(s *fleet.Snapshot, v endpoint.Version) []string {
	names := s.ModelEndpoints(v.Model)
	rank := slices.Index(names, a.opts.Endpoint)
	step := max(s.Text.Settings.RolloutBatchSize, 1)
	end := rank / step * step
	return names[max(0, end-rolloutWatch):end]
}

// watch returns the endpoints whose records the agent needs now: those of earlier steps while it waits for its turn. The
// exchange does not tell agents of other agents otherwise.
func (a *Agent) watch() []string {
	s := a.peer.Epochs().Snapshot()
	if s == nil {
		return nil
	}
	a.mu.Lock()
	loaded := a.report.Loaded
	a.mu.Unlock()
	var names []string
	for _, v := range s.AssignedVersions(a.opts.Endpoint) {
		if holds(loaded, v) || len(replacedBy(s, loaded, v)) == 0 {
			continue
		}
		for _, name := range a.earlier(s, v) {
			if !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	return names
}

// changed reports whether the live endpoints among names hold v without a fault.
func (a *Agent) changed(names []string, v endpoint.Version) bool {
	for _, name := range names {
		node, ok := a.peer.Members().Endpoint(name)
		if !ok || !node.Live {
			continue
		}
		if node.Fault != "" || node.OrderFault != "" || !holds(node.Loaded, v) {
			return false
		}
	}
	return true
}

// soaked records whether the earlier steps of the rollout to v are healthy, and reports whether they have been so for
// rolloutSoak.
func (a *Agent) soaked(v endpoint.Version, healthy bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	o := &a.orderState
	if !healthy {
		delete(o.healthy, v)
		return false
	}
	if o.healthy == nil {
		o.healthy = make(map[endpoint.Version]time.Time)
	}
	since, known := o.healthy[v]
	if !known {
		since = time.Now()
		o.healthy[v] = since
	}
	return time.Since(since) >= rolloutSoak
}

func intersect(versions, with []endpoint.Version) []endpoint.Version {
	kept := make([]endpoint.Version, 0, len(versions))
	for _, v := range versions {
		if holds(with, v) {
			kept = append(kept, v)
		}
	}
	return kept
}

func without(versions, some []endpoint.Version) []endpoint.Version {
	var rest []endpoint.Version
	for _, v := range versions {
		if !holds(some, v) {
			rest = append(rest, v)
		}
	}
	return rest
}
