package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/blame"
	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/kvledger"
	"github.com/bilberrylink/bilberrylink/membership"
	"github.com/bilberrylink/bilberrylink/route"
	"github.com/bilberrylink/bilberrylink/wire"
)

// Limits of a split prompt.
const (
	usableShare    = 0.75 // most of a member's KV memory; the rest holds the import window and short requests
	wantedShare    = 0.4  // of a member's KV memory, which leaves room for a long prompt beside the segment
	shareStep      = 0.05
	smallestPart   = 32_000          // tokens; less is not worth a member of its own
	splitTries     = 4               // plans, segment re-runs and decodes that may fail
	releaseTimeout = 2 * time.Second // afterwards the lease ends the reservation
	renewsPerLease = 3
	missedRenewals = 2 // one failed renewal may be a passing fault
	prefillSlack   = 3 // a prefill call has no heartbeats; after this many times its estimate it counts as lost
)

// segment is one member's part of a split prompt.
type segment struct {
	ep          *route.Endpoint
	node        membership.Node
	reservation string
	text        string
	tokens      int64 // reserved: the text's tokens, and for the last member the answer's
	handle      *wire.KVHandle
	granted     atomic.Bool
	lost        atomic.Bool
	missed      atomic.Int32 // renewals in a row without an answer
}

// splitRun coordinates one prompt that is larger than one engine.
type splitRun struct {
	d        *dispatcher
	r        *request
	excluded map[*route.Endpoint]bool
	version  endpoint.Version // of all members, since later segments import the KV of earlier ones
	tries    int

	planned []*segment // not reserved yet, in the order of the prompt

	mu       sync.Mutex
	segments []*segment // reserved, in the order of the prompt
}

// tooLarge reports whether a prompt and its answer exceed what the largest known engine of the pool gives one request.
func (d *dispatcher) tooLarge(r *request) bool {
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

// split prefills segments on several engines and decodes at the last one. All reservations are released on return.
func (d *dispatcher) split(ctx context.Context, r *request) error {
	d.metrics.splits.Inc()
	s := &splitRun{d: d, r: r, excluded: make(map[*route.Endpoint]bool)}
	defer s.release()
	stop := s.keepLeases(ctx)
	defer stop()
	for {
		f, ep := s.once(ctx)
		if f == nil {
			r.usage.PromptTokens = r.promptTokens
			return nil
		}
		if err := s.afterFailure(ctx, f, ep); err != nil {
			return err
		}
	}
}

// once goes on from what is held: it plans if nothing is, reserves and prefills one member after another, and decodes at
// the last one. A member is reserved only when its turn comes, because the prefill of the earlier segments takes up to a
// minute in which its memory would lie idle.
func (s *splitRun) once(ctx context.Context) (*failure, *route.Endpoint) {
	if len(s.held()) == 0 {
		planned, err := s.plan()
		if err != nil {
			return &failure{err: err}, nil
		}
		s.planned = planned
	}
	if f, ep := s.replaceLost(ctx); f != nil {
		return f, ep
	}
	for {
		if f, ep := s.prefill(ctx); f != nil {
			return f, ep
		}
		if len(s.planned) == 0 {
			return s.decode(ctx)
		}
		if f, ep := s.reserveNext(ctx); f != nil {
			s.release()
			return f, ep
		}
	}
}

func (s *splitRun) held() []*segment {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*segment(nil), s.segments...)
}

// reserveNext reserves the next planned member. While others hold its memory, an endpoint that grants at once takes its
// place. If there is none either, it waits: members are awaited in ascending order of their names only, so that
// concurrent prompts cannot wait for each other in a circle.
func (s *splitRun) reserveNext(ctx context.Context) (*failure, *route.Endpoint) {
	seg := s.planned[0]
	s.planned = s.planned[1:]
	s.hold(len(s.held()), seg) // before the call: a lost reply may hide a grant
	f := s.reserve(ctx, seg, 0)
	if f == nil {
		return nil, nil
	}
	if next, ok := s.replacement(ctx, seg); ok {
		s.hold(len(s.held())-1, next)
		s.releaseSegments([]*segment{seg})
		return nil, nil
	}
	if s.reservePart(ctx, seg) {
		return nil, nil
	}
	if f.err.Kind != errkind.Overloaded || !s.inOrder(seg) {
		return f, seg.ep
	}
	return s.reserve(ctx, seg, s.d.timing.MaxReserveWait), seg.ep
}

// reservePart reserves a first part of a segment, the last held one, at an endpoint that has room for it now, and plans
// the rest as the next segment. Waiting for the whole would keep the memory of the earlier members idle.
func (s *splitRun) reservePart(ctx context.Context, seg *segment) bool {
	answer := seg.tokens - int64(endpoint.EstimateTokens(seg.text))
	for _, e := range s.unused() {
		report, _ := e.Report()
		room := report.KVFreeTokens - (report.KVCapacityTokens - kvledger.MaxLongTokens(report.KVCapacityTokens))
		if room < smallestPart {
			continue
		}
		text := cutText(seg.text, room)
		rest := seg.text[len(text):]
		if rest == "" {
			continue
		}
		part := s.newSegment(e, text, int64(endpoint.EstimateTokens(text)))
		if f := s.reserve(ctx, part, 0); f != nil {
			s.d.learn(ctx, s.r, f, e)
			s.releaseSegments([]*segment{part})
			continue
		}
		s.hold(len(s.held())-1, part)
		s.releaseSegments([]*segment{seg})
		s.planned = append([]*segment{s.newSegment(seg.ep, rest, int64(endpoint.EstimateTokens(rest))+answer)}, s.planned...)
		return true
	}
	return false
}

// unused returns the candidates that are no members of the prompt, those with the most free memory first.
func (s *splitRun) unused() []*route.Endpoint {
	used := make(map[*route.Endpoint]bool)
	for _, seg := range append(s.held(), s.planned...) {
		used[seg.ep] = true
	}
	return slices.DeleteFunc(s.candidates(), func(e *route.Endpoint) bool { return used[e] })
}

// hold puts a segment at an index of the reserved ones.
func (s *splitRun) hold(i int, seg *segment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.segments = append(s.segments[:i:i], append([]*segment{seg}, s.segments[min(i+1, len(s.segments)):]...)...)
}

// inOrder reports whether no other held member has a later name, so that a wait for seg is in the global order.
func (s *splitRun) inOrder(seg *segment) bool {
	for _, other := range s.held() {
		if other.ep.Name > seg.ep.Name {
			return false
		}
	}
	return true
}

// reserve takes one member's memory, waiting in its queue for up to wait.
func (s *splitRun) reserve(ctx context.Context, seg *segment, wait time.Duration) *failure {
	if seg.node.Addr == "" {
		return &failure{err: errkind.New(errkind.NoEndpoint, "endpoint left the membership"), unreached: true}
	}
	wait = min(wait, time.Until(s.r.deadline))
	ctx, cancel := context.WithTimeout(ctx, wait+s.d.timing.SilenceTimeout)
	defer cancel()
	reply, err := s.d.agents.unary(seg.node.Addr).Reserve(ctx, &wire.ReserveRequest{
		Reservation: seg.reservation,
		RequestId:   s.r.id,
		Workspace:   s.r.workspace,
		Class:       string(s.r.class()),
		Tokens:      seg.tokens,
		WaitMs:      wait.Milliseconds(),
		LeaseMs:     s.d.timing.ReservationLease.Milliseconds(),
		Epoch:       s.r.snap.Epoch,
		Version:     wire.EncodeVersion(s.version),
	})
	if err != nil {
		return unreachable(err)
	}
	s.d.observe(reply.GetLoad())
	if reply.GetGranted() {
		seg.granted.Store(true)
		return nil
	}
	return refused(reply.GetRefusal())
}

func unreachable(err error) *failure {
	return &failure{err: errkind.Wrap(err, errkind.EndpointFailed, "member does not answer").WithRunState(errkind.NotRun), unreached: true}
}

// refused returns the failure of a member. Nothing of the answer exists before the decode, so the state is not_run.
func refused(w *wire.Failure) *failure {
	kind := errkind.Kind(w.GetKind())
	if kind == "" {
		kind = errkind.Overloaded
	}
	return &failure{
		err:     errkind.New(kind, w.GetMessage()).WithRunState(errkind.NotRun),
		crashed: w.GetEndpointCrashed(),
		load:    w.GetLoad(),
	}
}

// prefill computes the reserved segments whose KV is not held. The last segment of the prompt is left to the decode.
func (s *splitRun) prefill(ctx context.Context) (*failure, *route.Endpoint) {
	segments := s.held()
	for i, seg := range segments {
		if seg.handle != nil || i == len(segments)-1 && len(s.planned) == 0 {
			continue
		}
		if f := s.prefillOne(ctx, seg, handles(segments[:i])); f != nil {
			return f, seg.ep
		}
	}
	return nil, nil
}

func handles(segments []*segment) []*wire.KVHandle {
	var out []*wire.KVHandle
	for _, seg := range segments {
		out = append(out, seg.handle)
	}
	return out
}

func (s *splitRun) prefillOne(ctx context.Context, seg *segment, imported []*wire.KVHandle) *failure {
	done := seg.ep.RecordDispatch(s.r.class(), seg.tokens)
	defer done()
	s.d.metrics.segments.Inc()
	remaining := time.Until(s.r.deadline) - s.d.margin(s.r)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	patience := prefillSlack*estimateOf(seg) + 2*s.d.timing.SilenceTimeout
	ctx, expire := context.WithTimeout(ctx, patience)
	defer expire()
	watch := s.watch(seg, cancel)
	defer watch()
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
		return unreachable(err)
	}
	s.d.observe(reply.GetLoad())
	if reply.GetFailure() != nil {
		seg.lost.Store(true)
		return refused(reply.GetFailure())
	}
	seg.handle = reply.GetHandle()
	return nil
}

// estimateOf returns the time for the work queued at the member and the segment itself.
func estimateOf(seg *segment) time.Duration {
	report, _ := seg.ep.Report()
	ahead := seg.tokens
	for _, queued := range report.QueuedPrefillTokens {
		ahead += queued
	}
	return time.Duration(float64(ahead) / float64(max(report.PrefillRate, 1)) * float64(time.Second))
}

// watch cancels a prefill whose member loses its reservation or goes silent; the unary call has no heartbeats.
func (s *splitRun) watch(seg *segment, cancel context.CancelCauseFunc) (stop func()) {
	ticker := time.NewTicker(s.d.timing.ReservationLease / renewsPerLease)
	done := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				if seg.lost.Load() {
					cancel(errAgent)
					return
				}
			}
		}
	}()
	return func() {
		ticker.Stop()
		close(done)
		<-ended
	}
}

// decode runs the answer at the last member, which attends to the KV of the others.
func (s *splitRun) decode(ctx context.Context) (*failure, *route.Endpoint) {
	segments := s.held()
	last := segments[len(segments)-1]
	a := s.d.newAttempt(s.r, last.node, last.ep, time.Until(s.r.deadline)-s.d.margin(s.r))
	work := a.message.GetModel()
	work.Version = wire.EncodeVersion(s.version) // that of the other segments
	work.Prompt = last.text
	work.PromptTokens = int64(endpoint.EstimateTokens(last.text))
	work.Imported = handles(segments[:len(segments)-1])
	work.Reservation = last.reservation
	if err := a.run(ctx); err != nil {
		var f *failure
		errors.As(err, &f) // run returns nothing else
		for range missedRenewals {
			s.probe(ctx)
		}
		return f, last.ep
	}
	if f := s.d.complete(s.r, a); f != nil {
		return f, last.ep
	}
	return nil, nil
}

// afterFailure decides whether the coordination goes on with the members that still hold their part.
func (s *splitRun) afterFailure(ctx context.Context, f *failure, ep *route.Endpoint) error {
	s.r.note(f.err.RunState)
	if ep != nil {
		s.d.learn(ctx, s.r, f, ep)
		s.excluded[ep] = f.err.Kind != errkind.Overloaded
	}
	if ctx.Err() != nil {
		return s.d.expired(ctx, f)
	}
	if s.tries++; s.tries >= splitTries {
		return f.err
	}
	if err := s.d.retryable(s.r, f); err != nil {
		return err
	}
	if f.err.Kind == errkind.Recalled || f.err.Kind == errkind.PromptTooLarge {
		return f.err
	}
	if s.d.opts.Blames.Check(s.r.fingerprint) == blame.Blamed {
		return errkind.New(errkind.PromptBlamed, "this prompt crashed endpoints and is refused for a while")
	}
	s.r.restartAfter(f)
	s.markLost(ep, f)
	return s.d.spend(s.r, f)
}

// restartAfter drops an unseen answer that failed its check.
func (r *request) restartAfter(f *failure) {
	if f.err.Kind == errkind.StreamBroken {
		r.restart()
	}
}

// markLost makes the next round replace a member that failed.
func (s *splitRun) markLost(ep *route.Endpoint, f *failure) {
	for _, seg := range s.held() {
		if seg.ep == ep && (f.crashed || f.lost || f.unreached) {
			seg.lost.Store(true)
		}
	}
}

// replaceLost puts another endpoint in the place of each lost member. It does not wait at the replacement, because
// waiting while holding memory of later names could deadlock; if none grants at once, everything is released.
func (s *splitRun) replaceLost(ctx context.Context) (*failure, *route.Endpoint) {
	for i, seg := range s.held() {
		if !seg.lost.Load() {
			continue
		}
		s.excluded[seg.ep] = true
		next, ok := s.replacement(ctx, seg)
		if !ok {
			s.release()
			return &failure{err: errkind.New(errkind.Overloaded, "no replacement for a failed member")}, nil
		}
		s.hold(i, next)
		s.releaseSegments([]*segment{seg})
	}
	return nil, nil
}

func (s *splitRun) replacement(ctx context.Context, lost *segment) (*segment, bool) {
	for _, e := range s.unused() {
		next := s.newSegment(e, lost.text, lost.tokens)
		f := s.reserve(ctx, next, 0)
		if f == nil {
			return next, true
		}
		s.d.learn(ctx, s.r, f, e)
		s.releaseSegments([]*segment{next})
	}
	return nil, false
}
