package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/kvledger"
	"github.com/bilberrylink/bilberrylink/membership"
	"github.com/bilberrylink/bilberrylink/route"
	"github.com/bilberrylink/bilberrylink/wire"
)

// Limits of split prompts.
const (
	maxMemoryShare       = 0.75 // largest share of an engine's KV memory; the rest is for the import window and short requests
	preferredMemoryShare = 0.4  // preferred share of an engine's KV memory, which leaves room for a long prompt beside the segment
	memoryShareStep      = 0.05
	minPartTokens        = 32_000          // a smaller part is not worth another engine
	maxSplitPasses       = 4               // passes over the prompt; a failure of the last one fails the request
	releaseTimeout       = 2 * time.Second // after it the reservation ends with its lease
	renewalsPerLease     = 3
	maxMissedRenewals    = 2 // a single failed renewal may be a temporary fault
	prefillTimeoutFactor = 3 // a prefill call has no heartbeats and counts as lost after this many times its estimated duration
)

// segment is the part of a split prompt that one engine, called a member, prefills.
type segment struct {
	ep             *route.Endpoint
	node           membership.Node
	reservation    string
	text           string
	tokens         int64          // to reserve: those of the text, and for the last segment also those of the answer
	handle         *wire.KVHandle // of the prefilled KV; nil before
	requested      atomic.Bool    // the reservation was requested
	granted        atomic.Bool    // the reservation was granted
	lost           atomic.Bool    // the member must be replaced
	missedRenewals atomic.Int32   // consecutive renewals without a reply
}

// splitRequest executes one request whose prompt and answer do not fit into one engine.
type splitRequest struct {
	d            *dispatcher
	r            *request
	excluded     map[*route.Endpoint]bool
	version      endpoint.Version // of all members, because later segments import the KV of earlier ones
	failedPasses int

	planned []*segment // not reserved yet, in prompt order

	mu       sync.Mutex
	reserved []*segment // reserved or being reserved, in prompt order
}

// needsSplit reports whether a prompt and its answer need more memory than the largest known engine of the pool allows one
// request.
func (d *dispatcher) needsSplit(r *request) bool {
	if !r.isChat() {
		return false
	}
	largest := int64(0)
	for _, e := range d.pool(r.snap, &r.target).Endpoints() {
		report, _ := e.Report()
		largest = max(largest, report.KVCapacityTokens)
	}
	return largest > 0 && r.promptTokens+r.maxTokens > kvledger.MaxLongTokens(largest)
}

// runSplit prefills the segments of a prompt on several engines and decodes on the last one. All reservations are released
// when it returns.
func (d *dispatcher) runSplit(ctx context.Context, r *request) error {
	d.metrics.splitPrompts.Inc()
	s := &splitRequest{d: d, r: r, excluded: make(map[*route.Endpoint]bool)}
	defer s.releaseAll()
	stopRenewals := s.startRenewals(ctx)
	defer stopRenewals()
	for {
		f, ep := s.runPass(ctx)
		if f == nil {
			r.usage.PromptTokens = r.promptTokens
			return nil
		}
		if err := s.handleFailure(ctx, f, ep); err != nil {
			return err
		}
	}
}

// runPass makes one pass over the prompt and keeps the segments of an earlier pass that are still valid. It plans if there
// are none, reserves and prefills one member after another, and decodes on the last one. A member is reserved only when
// its turn comes, because the prefill of the earlier segments takes up to a minute, in which its memory would be idle.
func (s *splitRequest) runPass(ctx context.Context) (*failure, *route.Endpoint) {
	if len(s.reservedSegments()) == 0 {
		planned, err := s.plan()
		if err != nil {
			return &failure{err: err}, nil
		}
		s.planned = planned
	}
	s.markEvacuated()
	if f, ep := s.replaceLost(ctx); f != nil {
		return f, ep
	}
	for {
		if f, ep := s.prefillReserved(ctx); f != nil {
			return f, ep
		}
		if len(s.planned) == 0 {
			return s.decode(ctx)
		}
		if f, ep := s.reserveNext(ctx); f != nil {
			s.releaseAll()
			return f, ep
		}
	}
}

func (s *splitRequest) reservedSegments() []*segment {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*segment(nil), s.reserved...)
}

// reserveNext reserves the next planned member. If its memory is taken, another endpoint that grants the reservation at
// once replaces it, or takes a part of the segment. Otherwise reserveNext waits for the memory, but only if the member's
// name is after those of all reserved members: with this global order, concurrent prompts cannot deadlock.
func (s *splitRequest) reserveNext(ctx context.Context) (*failure, *route.Endpoint) {
	seg := s.planned[0]
	s.planned = s.planned[1:]
	s.setReserved(len(s.reservedSegments()), seg) // before the call, since the reply of a granted reservation may be lost
	f := s.reserve(ctx, seg, 0)
	if f == nil {
		return nil, nil
	}
	if next, ok := s.reserveReplacement(ctx, seg); ok {
		s.setReserved(len(s.reservedSegments())-1, next)
		s.releaseSegments([]*segment{seg})
		return nil, nil
	}
	if s.reservePart(ctx, seg) {
		return nil, nil
	}
	if f.err.Kind != errkind.Overloaded || !s.mayWaitFor(seg) {
		return f, seg.ep
	}
	return s.reserve(ctx, seg, s.d.timing.MaxReserveWait), seg.ep
}

// reservePart splits the last of the reserved segments: it reserves the first part at an endpoint that has room for it now
// and plans the rest as the next segment. Waiting for the whole would leave the memory of the earlier members idle.
func (s *splitRequest) reservePart(ctx context.Context, seg *segment) bool {
	answerTokens := seg.tokens - int64(endpoint.EstimateTokens(seg.text))
	for _, e := range s.unusedCandidates() {
		report, _ := e.Report()
		freeTokens := report.KVFreeTokens - (report.KVCapacityTokens - kvledger.MaxLongTokens(report.KVCapacityTokens))
		if freeTokens < minPartTokens {
			continue
		}
		text := cutText(seg.text, freeTokens)
		rest := seg.text[len(text):]
		if rest == "" {
			continue
		}
		part := s.newSegment(e, text, int64(endpoint.EstimateTokens(text)))
		if f := s.reserve(ctx, part, 0); f != nil {
			s.d.recordFailure(ctx, s.r, f, e)
			s.releaseSegments([]*segment{part})
			continue
		}
		s.setReserved(len(s.reservedSegments())-1, part)
		s.releaseSegments([]*segment{seg})
		s.planned = append([]*segment{s.newSegment(seg.ep, rest, int64(endpoint.EstimateTokens(rest))+answerTokens)}, s.planned...)
		return true
	}
	return false
}

// unusedCandidates returns the candidates that are not members yet, those with the most free memory first.
func (s *splitRequest) unusedCandidates() []*route.Endpoint {
	used := make(map[*route.Endpoint]bool)
	for _, seg := range append(s.reservedSegments(), s.planned...) {
		used[seg.ep] = true
	}
	return slices.DeleteFunc(s.candidates(), func(e *route.Endpoint) bool { return used[e] })
}

// setReserved sets the reserved segment at index i. An index one past the last adds it.
func (s *splitRequest) setReserved(i int, seg *segment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserved = append(s.reserved[:i:i], append([]*segment{seg}, s.reserved[min(i+1, len(s.reserved)):]...)...)
}

// mayWaitFor reports whether no reserved member has a later name than seg's, so that waiting for it keeps the global order.
func (s *splitRequest) mayWaitFor(seg *segment) bool {
	for _, other := range s.reservedSegments() {
		if other.ep.Name > seg.ep.Name {
			return false
		}
	}
	return true
}

// reserve reserves the memory of one segment at its member, waiting in the queue there for up to maxWait.
func (s *splitRequest) reserve(ctx context.Context, seg *segment, maxWait time.Duration) *failure {
	if seg.node.Addr == "" {
		return &failure{err: errkind.New(errkind.NoEndpoint, "endpoint left the membership"), unreachable: true}
	}
	if f := s.d.checkEvacuated(seg.node, seg.ep); f != nil {
		return f
	}
	maxWait = min(maxWait, time.Until(s.r.deadline))
	ctx, cancel := context.WithTimeout(ctx, maxWait+s.d.timing.SilenceTimeout)
	defer cancel()
	seg.requested.Store(true)
	reply, err := s.d.agents.unary(seg.node.Addr).Reserve(ctx, &wire.ReserveRequest{
		Reservation: seg.reservation,
		RequestId:   s.r.id,
		Workspace:   s.r.workspace,
		Class:       string(s.r.class()),
		Tokens:      seg.tokens,
		WaitMs:      maxWait.Milliseconds(),
		LeaseMs:     s.d.timing.ReservationLease.Milliseconds(),
		Epoch:       s.r.snap.Epoch,
		Version:     wire.EncodeVersion(s.version),
	})
	if err != nil {
		return unreachableFailure(err)
	}
	s.d.observeLoad(reply.GetLoad())
	if reply.GetGranted() {
		seg.granted.Store(true)
		return nil
	}
	return refusalFailure(reply.GetRefusal())
}

func unreachableFailure(err error) *failure {
	return &failure{err: errkind.Wrap(err, errkind.EndpointFailed, "member does not answer").WithRunState(errkind.NotRun),
		unreachable: true}
}

// refusalFailure returns the failure for a member's refusal. Its run state is not_run, because no part of the answer exists
// before the decode.
func refusalFailure(w *wire.Failure) *failure {
	kind := errkind.Kind(w.GetKind())
	if kind == "" {
		kind = errkind.Overloaded
	}
	return &failure{
		err:             errkind.New(kind, w.GetMessage()).WithRunState(errkind.NotRun),
		endpointCrashed: w.GetEndpointCrashed(),
		load:            w.GetLoad(),
	}
}

// prefillReserved prefills the reserved segments that have no KV yet, except the prompt's last one, which the decode
// prefills.
func (s *splitRequest) prefillReserved(ctx context.Context) (*failure, *route.Endpoint) {
	segments := s.reservedSegments()
	for i, seg := range segments {
		if seg.handle != nil || i == len(segments)-1 && len(s.planned) == 0 {
			continue
		}
		if f := s.prefillSegment(ctx, seg, kvHandles(segments[:i])); f != nil {
			return f, seg.ep
		}
	}
	return nil, nil
}

func kvHandles(segments []*segment) []*wire.KVHandle {
	var out []*wire.KVHandle
	for _, seg := range segments {
		out = append(out, seg.handle)
	}
	return out
}

func (s *splitRequest) prefillSegment(ctx context.Context, seg *segment, imported []*wire.KVHandle) *failure {
	if f := s.d.checkEvacuated(seg.node, seg.ep); f != nil {
		return f
	}
	recordEnd := seg.ep.RecordDispatch(s.r.class(), seg.tokens)
	defer recordEnd()
	s.d.metrics.segments.Inc()
	remaining := time.Until(s.r.deadline) - s.d.deadlineMargin(s.r)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeout := prefillTimeoutFactor*estimatePrefill(seg) + 2*s.d.timing.SilenceTimeout
	ctx, expire := context.WithTimeout(ctx, timeout)
	defer expire()
	stopWatching := s.cancelWhenLost(seg, cancel)
	defer stopWatching()
	reply, err := s.d.agents.unary(seg.node.Addr).Prefill(ctx, &wire.PrefillRequest{
		Reservation: seg.reservation,
		RequestId:   s.r.id,
		Prompt:      seg.text,
		Version:     wire.EncodeVersion(s.version),
		Imported:    imported,
		Class:       string(s.r.class()),
		DeadlineMs:  max(remaining.Milliseconds(), 1),
		Epoch:       s.r.snap.Epoch,
		Fingerprint: s.r.fingerprint,
	})
	if err != nil {
		seg.lost.Store(true)
		return unreachableFailure(err)
	}
	s.d.observeLoad(reply.GetLoad())
	if reply.GetFailure() != nil {
		seg.lost.Store(true)
		return refusalFailure(reply.GetFailure())
	}
	seg.handle = reply.GetHandle()
	return nil
}

// estimatePrefill returns the estimated time to prefill the work queued at the member and then the segment.
func estimatePrefill(seg *segment) time.Duration {
	report, _ := seg.ep.Report()
	pendingTokens := seg.tokens
	for _, queued := range report.QueuedPrefillTokens {
		pendingTokens += queued
	}
	return time.Duration(float64(pendingTokens) / float64(max(report.PrefillTokensPerSecond, 1)) * float64(time.Second))
}

// cancelWhenLost cancels a prefill when the renewals mark its member as lost. The unary call has no heartbeats that would
// show it.
func (s *splitRequest) cancelWhenLost(seg *segment, cancel context.CancelCauseFunc) (stop func()) {
	ticker := time.NewTicker(s.d.timing.ReservationLease / renewalsPerLease)
	stopped := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-stopped:
				return
			case <-ticker.C:
				if seg.lost.Load() {
					cancel(errAgentLost)
					return
				}
			}
		}
	}()
	return func() {
		ticker.Stop()
		close(stopped)
		<-ended
	}
}

// decode runs the last segment and the answer on the last member, which imports the KV of the others.
func (s *splitRequest) decode(ctx context.Context) (*failure, *route.Endpoint) {
	segments := s.reservedSegments()
	last := segments[len(segments)-1]
	if f := s.d.checkEvacuated(last.node, last.ep); f != nil {
		return f, last.ep
	}
	a := s.d.newAttempt(s.r, last.node, last.ep, time.Until(s.r.deadline)-s.d.deadlineMargin(s.r))
	work := a.message.GetModel()
	work.Version = wire.EncodeVersion(s.version) // the version of the other segments
	work.Prompt = last.text
	work.PromptTokens = int64(endpoint.EstimateTokens(last.text))
	work.Imported = kvHandles(segments[:len(segments)-1])
	work.Reservation = last.reservation
	if err := a.run(ctx); err != nil {
		var f *failure
		errors.As(err, &f)            // run returns no other error
		for range maxMissedRenewals { // marks members that no longer answer as lost before the next pass
			s.renewAll(ctx)
		}
		return f, last.ep
	}
	if f := s.d.acceptResult(s.r, a); f != nil {
		return f, last.ep
	}
	return nil, nil
}

// handleFailure handles a failed pass. It returns nil if another pass may follow with the members that still hold their
// segments, and otherwise the error of the request.
func (s *splitRequest) handleFailure(ctx context.Context, f *failure, ep *route.Endpoint) error {
	s.r.raiseRunState(f.err.RunState)
	if ep != nil {
		s.d.recordFailure(ctx, s.r, f, ep)
		s.excluded[ep] = f.err.Kind != errkind.Overloaded
	}
	if ctx.Err() != nil {
		return s.d.contextError(ctx, f)
	}
	if s.failedPasses++; s.failedPasses >= maxSplitPasses {
		return f.err
	}
	if err := s.d.retryError(s.r, f); err != nil {
		return err
	}
	if f.err.Kind == errkind.Recalled || f.err.Kind == errkind.PromptTooLarge {
		return f.err
	}
	if err := s.d.blameError(s.r); err != nil {
		return err
	}
	s.r.discardIfBroken(f)
	s.markLost(ep, f)
	return s.d.withdrawRetry(s.r, f)
}

// discardIfBroken discards a buffered answer whose stream was broken.
func (r *request) discardIfBroken(f *failure) {
	if f.err.Kind == errkind.StreamBroken {
		r.discardBuffered()
	}
}

// markLost makes the next pass replace a member that failed.
func (s *splitRequest) markLost(ep *route.Endpoint, f *failure) {
	for _, seg := range s.reservedSegments() {
		if seg.ep == ep && (f.endpointCrashed || f.maybeRunning || f.unreachable) {
			seg.lost.Store(true)
		}
	}
}

// markEvacuated makes the pass replace the members in evacuated failure domains that have prefilled nothing. The others keep
// their segments, as running requests are left to finish.
func (s *splitRequest) markEvacuated() {
	for _, seg := range s.reservedSegments() {
		if seg.handle == nil && s.d.evacuated(seg.node) {
			seg.lost.Store(true)
		}
	}
}

// replaceLost replaces each lost member by another endpoint. It does not wait for the memory of a replacement, because
// waiting while members with later names are reserved could deadlock. If no endpoint grants it at once, all reservations
// are released.
func (s *splitRequest) replaceLost(ctx context.Context) (*failure, *route.Endpoint) {
	for i, seg := range s.reservedSegments() {
		if !seg.lost.Load() {
			continue
		}
		s.excluded[seg.ep] = true
		next, ok := s.reserveReplacement(ctx, seg)
		if !ok {
			s.releaseAll()
			return &failure{err: errkind.New(errkind.Overloaded, "no replacement for a failed member")}, nil
		}
		s.setReserved(i, next)
		s.releaseSegments([]*segment{seg})
	}
	return nil, nil
}

func (s *splitRequest) reserveReplacement(ctx context.Context, lost *segment) (*segment, bool) {
	for _, e := range s.unusedCandidates() {
		next := s.newSegment(e, lost.text, lost.tokens)
		f := s.reserve(ctx, next, 0)
		if f == nil {
			return next, true
		}
		s.d.recordFailure(ctx, s.r, f, e)
		s.releaseSegments([]*segment{next})
	}
	return nil, false
}
