package agent

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/internal/timing"
)

const (
	ticketBackoffMin = 200 * time.Millisecond
	// ticketBackoffMax bounds how long engines wait although the weight store is idle again, after many started at once.
	ticketBackoffMax = 4 * time.Second
	orderTimeout     = 5 * time.Second
	roleServe        = "serve"
	// versionLoadTimeout is how long loading a version may take before it is ordered again with a new ticket.
	versionLoadTimeout = 2 * time.Minute
	// rolloutSoakTime is how long the earlier steps of a rollout must be healthy before the next one begins. It covers the two
	// failed reports and one exchange after which an engine that crashes with the new version is known to be down.
	rolloutSoakTime = 5 * time.Second
	// maxWatchedEndpoints is the number of endpoints of earlier steps whose records an agent requests. Each of them waited for
	// those before it, so a fault further back stops the rollout after at most this many endpoints.
	maxWatchedEndpoints = 24
)

// orderState is the state of runOrders. Agent.mu guards fault, healthySince and beingReplaced; only runOrders uses the other
// fields.
type orderState struct {
	fault             string
	healthySince      map[endpoint.Version]time.Time // since when the earlier steps of the rollout to a version have been healthy
	beingReplaced     []endpoint.Version             // loaded versions whose replacements wait for tickets
	backoff           time.Duration
	nextTicketTime    time.Time                      // time before which no ticket is requested
	loadingSince      map[endpoint.Version]time.Time // when the engine accepted the order to load a version
	engineIncarnation string                         // incarnation of the engine that accepted the orders
}

// requestOrder wakes runOrders.
func (a *Agent) requestOrder() {
	timing.Signal(a.orderRequested)
}

// watchEpochs cancels attempts of recalled versions, returns queued attempts if the failure domain is evacuated, and requests
// an order whenever the configuration changes.
func (a *Agent) watchEpochs(ctx context.Context) error {
	for {
		changed := a.peer.Epochs().Changed()
		if s := a.peer.Epochs().Snapshot(); s != nil {
			a.applyRecalls(s)
			a.applyEvacuation(s)
			a.requestOrder()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// applyRecalls cancels the attempts of recalled versions that have not started to answer, and also the others if the
// configuration says so. It releases the segments of recalled versions.
func (a *Agent) applyRecalls(s *fleet.Snapshot) {
	if a.opts.Disabled.RecallCheck {
		return
	}
	cutStreams := s.Text.Settings.RecallStreams == fleet.RecallStreamsCut
	recalledReservations := a.cancelRecalled(s, cutStreams)
	// The segments are removed after their memory is released: reserved memory without a segment counts as leaked.
	a.cancelOnEngine(a.ledger.Release(recalledReservations...)...)
	a.removeSegmentReservations(recalledReservations)
}

// applyEvacuation ends the queued attempts that may not start because the failure domain is evacuated, so that their entries
// send them elsewhere. An attempt that is queued after this is refused when its turn comes.
func (a *Agent) applyEvacuation(s *fleet.Snapshot) {
	a.mu.Lock()
	attempts := slices.Collect(maps.Values(a.attempts))
	a.mu.Unlock()
	for _, att := range attempts {
		if err := a.evacuationError(s, att); err != nil && a.queue.Remove(att.queueItem) {
			a.fail(att, asNotRun(err))
		}
	}
}

// cancelRecalled cancels attempts of recalled versions and returns the reservations of segments that hold KV memory of such
// versions.
func (a *Agent) cancelRecalled(s *fleet.Snapshot, cutStreams bool) (recalledReservations []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, att := range a.attempts {
		err := recallError(s, att)
		if err == nil || att.isDone() || (att.answerStarted.Load() && !cutStreams) {
			continue
		}
		att.cancel(err)
	}
	for id, segment := range a.segmentReservations {
		if _, recalled := s.Recalled(segment.version); recalled {
			recalledReservations = append(recalledReservations, id)
		}
	}
	return recalledReservations
}

// runOrders orders the engine to load the versions that the configuration assigns to this endpoint.
func (a *Agent) runOrders(ctx context.Context) error {
	ticker := time.NewTicker(orderInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.orderRequested:
		case <-ticker.C:
		}
		a.reconcileVersions(ctx)
	}
}

// reconcileVersions sends orders to the engine if the loaded versions differ from the wanted ones.
func (a *Agent) reconcileVersions(ctx context.Context) {
	s := a.peer.Epochs().Snapshot()
	if s == nil || !a.peer.Epochs().Fresh() {
		return
	}
	report, err := a.readReport(ctx, reportTimeout)
	if err != nil {
		return // runReporter handles the error
	}
	wanted := a.wantedVersions(s, report.Loaded)
	a.pruneLoading(report, wanted)
	loading := a.loadingVersions(wanted)
	missing := difference(wanted, slices.Concat(report.Loaded, loading))
	replaced := a.replacedVersions(s, report.Loaded, missing)
	a.setBeingReplaced(replaced)
	kept := append(intersect(report.Loaded, wanted), replaced...)
	if len(kept) < len(report.Loaded) {
		// Unloading needs no ticket and does not wait for the weight store. The order includes the versions that are loading.
		a.sendOrder(ctx, endpoint.Order{FencingToken: s.Epoch, Versions: slices.Concat(kept, loading), Role: roleServe})
	}
	switch {
	case len(missing) > 0:
		a.loadMissing(ctx, s, slices.Concat(kept, loading), missing)
	case len(loading) == 0:
		a.setOrderFault("")
	}
}

// pruneLoading removes versions that have been loaded, are no longer wanted, take too long to load, or were ordered before the
// engine restarted.
func (a *Agent) pruneLoading(report endpoint.LoadReport, wanted []endpoint.Version) {
	o := &a.orderState
	if o.engineIncarnation != report.Incarnation || o.loadingSince == nil {
		o.engineIncarnation = report.Incarnation
		o.loadingSince = make(map[endpoint.Version]time.Time)
	}
	for v, since := range o.loadingSince {
		overdue := time.Since(since) > versionLoadTimeout
		if overdue {
			a.setOrderFault(v.WeightName() + " is not loaded " + versionLoadTimeout.String() + " after its order")
		}
		if contains(report.Loaded, v) || !contains(wanted, v) || overdue {
			delete(o.loadingSince, v)
		}
	}
}

func (a *Agent) loadingVersions(wanted []endpoint.Version) []endpoint.Version {
	var loading []endpoint.Version
	for _, v := range wanted {
		if _, ok := a.orderState.loadingSince[v]; ok {
			loading = append(loading, v)
		}
	}
	return loading
}

// replacedVersions returns the loaded versions that missing ones replace, except recalled ones. They continue to serve until
// the weight store grants the tickets, which it may refuse for a long time.
func (a *Agent) replacedVersions(s *fleet.Snapshot, loaded, missing []endpoint.Version) []endpoint.Version {
	var old []endpoint.Version
	for _, v := range missing {
		old = append(old, replacedBy(s, loaded, v)...)
	}
	return difference(old, a.wantedVersions(s, loaded))
}

func (a *Agent) setBeingReplaced(versions []endpoint.Version) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.orderState.beingReplaced = versions
}

func (a *Agent) beingReplaced() []endpoint.Version {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.orderState.beingReplaced
}

// loadMissing orders the missing versions for which the weight store grants a ticket, in addition to the ordered ones. The same
// order unloads the versions that they replace.
func (a *Agent) loadMissing(ctx context.Context, s *fleet.Snapshot, ordered, missing []endpoint.Version) {
	if time.Now().Before(a.orderState.nextTicketTime) {
		return
	}
	granted, tickets, err := a.requestTickets(ctx, missing)
	if len(granted) > 0 {
		a.orderState.backoff = 0 // the store grants tickets again; a longer backoff would leave it idle
	}
	if err != nil {
		a.backOffTickets(err)
	}
	if len(granted) == 0 {
		return
	}
	for _, v := range granted {
		ordered = difference(ordered, replacedBy(s, ordered, v))
	}
	a.setBeingReplaced(intersect(a.beingReplaced(), ordered))
	if !a.sendOrder(ctx, endpoint.Order{FencingToken: s.Epoch, Versions: slices.Concat(ordered, granted), Role: roleServe,
		Tickets: tickets}) {
		return
	}
	for _, v := range granted {
		a.orderState.loadingSince[v] = time.Now()
	}
}

// requestTickets requests tickets until the first error. It returns the versions for which it got one, and the tickets by weight
// name.
func (a *Agent) requestTickets(ctx context.Context, versions []endpoint.Version) (
	granted []endpoint.Version, tickets map[string]string, err error) {
	tickets = make(map[string]string, len(versions))
	for _, v := range versions {
		ticket, err := a.opts.Platform.Weights.IssueTicket(ctx, v.WeightName())
		if err != nil {
			return granted, tickets, errors.Wrap(err, v.WeightName())
		}
		tickets[v.WeightName()] = ticket
		granted = append(granted, v)
	}
	return granted, tickets, nil
}

// backOffTickets delays the next ticket request by an exponential backoff with jitter, so that agents do not retry at the same
// time.
func (a *Agent) backOffTickets(err error) {
	a.orderState.backoff = min(max(2*a.orderState.backoff, ticketBackoffMin), ticketBackoffMax)
	a.orderState.nextTicketTime = time.Now().Add(a.orderState.backoff/2 + rand.N(a.orderState.backoff))
	a.metrics.orders.WithLabelValues("no_ticket").Inc()
	if !errors.Is(err, cloud.ErrRateLimited) && !errors.Is(err, cloud.ErrUnavailable) {
		a.setOrderFault("weights: " + err.Error())
	}
}

func (a *Agent) sendOrder(ctx context.Context, o endpoint.Order) bool {
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
		a.log.WithError(err).WithField("fence", o.FencingToken).Warn("engine did not accept an order")
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

// needsOrder reports whether the loaded versions differ from the wanted ones.
func (a *Agent) needsOrder(report endpoint.LoadReport) bool {
	s := a.peer.Epochs().Snapshot()
	if s == nil {
		return false
	}
	wanted := a.wantedVersions(s, report.Loaded)
	return len(intersect(report.Loaded, wanted)) != len(report.Loaded) || len(intersect(wanted, report.Loaded)) != len(wanted)
}

// wantedVersions returns the versions that the engine should hold now. Until it is this endpoint's turn in a rollout, the loaded
// versions of the model stay, except recalled ones.
func (a *Agent) wantedVersions(s *fleet.Snapshot, loaded []endpoint.Version) []endpoint.Version {
	var wanted []endpoint.Version
	for _, v := range s.AssignedVersions(a.opts.Endpoint) {
		old := replacedBy(s, loaded, v)
		if len(old) == 0 || contains(loaded, v) || a.isRolloutTurn(s, v) {
			wanted = append(wanted, v)
			continue
		}
		for _, o := range old {
			if !contains(wanted, o) {
				wanted = append(wanted, o)
			}
		}
	}
	return wanted
}

// replacedBy returns the loaded versions of v's model and adapter other than v, except recalled ones.
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

// isRolloutTurn reports whether this endpoint may change to v: all endpoints of earlier steps hold it and have been healthy for
// rolloutSoakTime. A fault on one of them stops the rollout. Endpoints that are not live or not known are ignored; within
// rolloutSoakTime, several exchanges can make unknown ones known.
func (a *Agent) isRolloutTurn(s *fleet.Snapshot, v endpoint.Version) bool {
	earlier := a.earlierEndpoints(s, v)
	return len(earlier) == 0 || a.hasSoaked(v, a.allHold(earlier, v))
}

// earlierEndpoints returns the last maxWatchedEndpoints endpoints of the rollout steps before this endpoint's step.
func (a *Agent) earlierEndpoints(s *fleet.Snapshot, v endpoint.Version) []string {
	names := s.ModelEndpoints(v.Model)
	rank := slices.Index(names, a.opts.Endpoint)
	batchSize := max(s.Text.Settings.RolloutBatchSize, 1)
	batchStart := rank / batchSize * batchSize
	return names[max(0, batchStart-maxWatchedEndpoints):batchStart]
}

// watchedEndpoints returns the endpoints whose records the agent needs now: those of earlier steps while it waits for its turn.
// The exchange sends an agent no other records of agents.
func (a *Agent) watchedEndpoints() []string {
	s := a.peer.Epochs().Snapshot()
	if s == nil {
		return nil
	}
	a.mu.Lock()
	loaded := a.report.Loaded
	a.mu.Unlock()
	var names []string
	for _, v := range s.AssignedVersions(a.opts.Endpoint) {
		if contains(loaded, v) || len(replacedBy(s, loaded, v)) == 0 {
			continue
		}
		for _, name := range a.earlierEndpoints(s, v) {
			if !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	return names
}

// allHold reports whether all live endpoints among names hold v without a fault.
func (a *Agent) allHold(names []string, v endpoint.Version) bool {
	for _, name := range names {
		node, ok := a.peer.Members().Endpoint(name)
		if !ok || !node.Live {
			continue
		}
		if node.Fault != "" || node.OrderFault != "" || !contains(node.Loaded, v) {
			return false
		}
	}
	return true
}

// hasSoaked records whether the earlier steps of the rollout to v are healthy now, and reports whether they have been healthy for
// rolloutSoakTime.
func (a *Agent) hasSoaked(v endpoint.Version, healthy bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	o := &a.orderState
	if !healthy {
		delete(o.healthySince, v)
		return false
	}
	if o.healthySince == nil {
		o.healthySince = make(map[endpoint.Version]time.Time)
	}
	since, known := o.healthySince[v]
	if !known {
		since = time.Now()
		o.healthySince[v] = since
	}
	return time.Since(since) >= rolloutSoakTime
}

func intersect(versions, others []endpoint.Version) []endpoint.Version {
	kept := make([]endpoint.Version, 0, len(versions))
	for _, v := range versions {
		if contains(others, v) {
			kept = append(kept, v)
		}
	}
	return kept
}

func difference(versions, excluded []endpoint.Version) []endpoint.Version {
	var rest []endpoint.Version
	for _, v := range versions {
		if !contains(excluded, v) {
			rest = append(rest, v)
		}
	}
	return rest
}
