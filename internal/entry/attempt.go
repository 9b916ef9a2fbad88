package entry

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/invariant"
	"github.com/bilberrylink/bilberrylink/membership"
	"github.com/bilberrylink/bilberrylink/route"
	"github.com/bilberrylink/bilberrylink/stream"
	"github.com/bilberrylink/bilberrylink/wire"
)

// maxResumes bounds the consecutive resumes of one attempt that bring no further frame.
const maxResumes = 3

// Errors of a connection of an attempt.
var (
	errConnectionSilent = errors.New("connection silent")
	errAgentLost        = errors.New("agent lost")
)

// failure is the error of an attempt that did not complete.
type failure struct {
	err             *errkind.Error
	maybeRunning    bool // the attempt may still run at its agent, which has not confirmed its end
	endpointCrashed bool // the endpoint crashed while it ran the request
	unreachable     bool // the agent could not be reached
	entryIsolated   bool // this entry lacks fresh evidence, so that another endpoint would not help
	evacuated       bool // nothing was sent, because the endpoint's failure domain is evacuated
	attemptID       string
	recordVersion   int64 // version of the idempotency record that the agent saw
	load            *wire.Load
}

func (f *failure) Error() string { return f.err.Error() }

// transient reports whether the work was refused before it ran, for a temporary reason.
func (f *failure) transient() bool {
	return f.evacuated || f.err.Kind.Transient() && f.err.RunState == errkind.NotRun && !f.maybeRunning && !f.endpointCrashed && !f.unreachable
}

// attempt is one execution of a request at one endpoint.
type attempt struct {
	d              *dispatcher
	r              *request
	id             string
	node           membership.Node
	ep             *route.Endpoint
	reader         *stream.Reader
	message        *wire.RunRequest
	started        *wire.Started
	callResponse   *wire.CallResponse
	end            *wire.End
	receivedTokens int   // received in this attempt
	nextTokenIndex int64 // position of the next token in the answer
}

func (d *dispatcher) newAttempt(r *request, node membership.Node, ep *route.Endpoint, remaining time.Duration) *attempt {
	id := newID()
	reader := stream.NewReader(r.id, id)
	reader.SkipAttemptCheck = d.opts.Disabled.FrameOwnerCheck
	message := r.runRequest(id, remaining, r.versionAt(node))
	message.Incarnation = latestIncarnation(node)
	return &attempt{
		d:              d,
		r:              r,
		id:             id,
		node:           node,
		ep:             ep,
		reader:         reader,
		message:        message,
		nextTokenIndex: int64(len(r.tokens)),
	}
}

// latestIncarnation returns the incarnation in the newest load report, which a refusal may have brought: it shows a restart of
// the agent earlier than the gossiped record.
func latestIncarnation(node membership.Node) string {
	if i := node.Load.GetIncarnation(); i != "" {
		return i
	}
	return node.Incarnation
}

// run executes the attempt until its End frame. An attempt that may still run at the agent after a failure is cancelled
// there, so that it cannot start or continue later. The returned error is nil or a *failure.
func (a *attempt) run(ctx context.Context) error {
	recordEnd := a.ep.RecordDispatch(a.r.class(), a.r.promptTokens)
	defer recordEnd()
	began := time.Now()
	f := a.receive(ctx)
	if f == nil {
		a.d.metrics.attempts.WithLabelValues("done").Inc()
		a.d.observeLoad(a.end.GetLoad())
		return nil
	}
	f.attemptID = a.id
	a.d.metrics.attempts.WithLabelValues(string(f.err.Kind)).Inc()
	a.d.observeLoad(f.load)
	a.d.log.WithError(f.err).WithField("request", a.r.id).WithField("endpoint", a.ep.Name).
		WithField("after", time.Since(began)).Debug("attempt failed")
	a.cancelAtAgent(ctx, f)
	return f
}

// cancelAtAgent cancels an attempt that may still run at its agent, and takes over the run state that the agent reports.
func (a *attempt) cancelAtAgent(ctx context.Context, f *failure) {
	if a.d.opts.Disabled.Cancel || f.unreachable || !f.maybeRunning {
		return
	}
	timeout := a.d.cancelTimeout(a.r)
	if errors.Is(context.Cause(ctx), errSlowerAttempt) {
		timeout = min(timeout, slowerCancelTimeout)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	reply, err := a.d.agents.unary(a.node.Addr).Cancel(ctx, &wire.CancelRequest{RequestId: a.r.id, AttemptId: a.id})
	if err != nil {
		a.d.metrics.cancels.WithLabelValues("failed").Inc()
		return
	}
	a.d.metrics.cancels.WithLabelValues("done").Inc()
	if a.started != nil {
		return // an attempt that began to answer cannot become not_run
	}
	switch run := errkind.RunState(reply.GetRun()); run {
	case errkind.NotRun, errkind.Ran:
		f.err = f.err.WithRunState(run)
	}
}

// receive reads the attempt's frames until it ends, resuming on a new connection when one fails.
func (a *attempt) receive(ctx context.Context) *failure {
	resumes := 0
	for {
		firstSequence := a.reader.NextSequence()
		err := a.receiveOnConnection(ctx, resumes > 0 || firstSequence > 0)
		if err == nil {
			return nil
		}
		var f *failure
		if errors.As(err, &f) {
			return f
		}
		if a.reader.NextSequence() > firstSequence {
			resumes = 0
		}
		if f := a.terminalFailure(ctx, err, resumes); f != nil {
			return f
		}
		resumes++
		a.d.metrics.resumes.Inc()
		a.d.agents.closeIdleConnections()
	}
}

// terminalFailure returns the failure of an attempt that a new connection cannot resume after err, or nil.
func (a *attempt) terminalFailure(ctx context.Context, err error, resumes int) *failure {
	var kindErr *errkind.Error
	switch {
	case ctx.Err() != nil:
		return a.contextFailure(ctx)
	case errors.Is(err, errNotSent) && resumes == 0 && a.reader.NextSequence() == 0:
		return &failure{err: errkind.Wrap(err, errkind.EndpointFailed, "agent not reachable").WithRunState(errkind.NotRun),
			unreachable: true}
	case errors.Is(err, errNotSent), errors.Is(err, errUnknownAttempt):
		return a.connectionLost(errors.Wrap(errAgentLost, err.Error()))
	case errors.Is(err, stream.ErrDigestMismatch):
		return &failure{err: errkind.Wrap(err, errkind.StreamBroken, "answer failed its check"), maybeRunning: true}
	case errors.As(err, &kindErr):
		return &failure{err: kindErr, maybeRunning: kindErr.RunState == errkind.RunUnknown}
	case resumes >= maxResumes || a.d.opts.Disabled.Resume:
		return a.connectionLost(err)
	case a.r.idempotent() && a.d.evacuated(a.node):
		return a.connectionLost(err) // the request continues elsewhere; a non-idempotent call could not
	}
	return nil
}

func (a *attempt) connectionLost(err error) *failure {
	run := errkind.RunUnknown
	if a.started != nil {
		run = errkind.Ran
	}
	return &failure{err: errkind.Wrap(err, errkind.EndpointFailed, "connection to the endpoint was lost").WithRunState(run),
		maybeRunning: true}
}

// contextFailure returns the failure of an attempt whose context ended: by the deadline, because another attempt of a hedged
// call answered first, because the caller disconnected, or because the entry stops.
func (a *attempt) contextFailure(ctx context.Context) *failure {
	run := errkind.RunUnknown
	if a.started != nil {
		run = errkind.Ran
	}
	return &failure{err: endError(ctx).WithRunState(run), maybeRunning: true}
}

// endError returns the error for the end of a request's context.
func endError(ctx context.Context) *errkind.Error {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		return errkind.New(errkind.DeadlineExceeded, "not finished by the deadline")
	case errors.Is(cause, errEntryStops):
		return errkind.New(errkind.Draining, "entry stopped before the request was finished")
	}
	return errkind.New(errkind.Canceled, "caller went away")
}

// receiveOnConnection reads the frames of one connection. It returns nil after the End frame, a *failure if the attempt
// failed, or another error if the connection failed or was silent for too long.
func (a *attempt) receiveOnConnection(attemptCtx context.Context, resume bool) error {
	ctx, cancel, detach := detachableContext(attemptCtx)
	silenceTimer := time.AfterFunc(a.d.timing.SilenceTimeout, func() { cancel(errConnectionSilent) })
	defer silenceTimer.Stop()
	body, err := a.openStream(ctx, resume)
	if err != nil {
		cancel(nil)
		return err
	}
	a.reader.Attach(body)
	for {
		frame, err := a.reader.Recv()
		if err != nil {
			cancel(nil)
			_ = body.Close() // the connection is not reused
			return err
		}
		silenceTimer.Reset(a.d.timing.SilenceTimeout)
		// The reader has counted the frame and a resume would begin after it. So the frame is handled even if the silence
		// timeout has cancelled the connection in the meantime.
		finished, err := a.handleFrame(attemptCtx, frame)
		if finished || frame.GetFailure() != nil {
			detach()
			go drainBody(body, cancel)
			return err
		}
		if err != nil {
			cancel(nil)
			_ = body.Close() // the unread rest is discarded with the connection
			return err
		}
	}
}

// detachableContext returns a context that is cancelled with its parent unless detach was called before.
func detachableContext(parent context.Context) (ctx context.Context, cancel context.CancelCauseFunc, detach func() bool) {
	ctx, cancel = context.WithCancelCause(context.WithoutCancel(parent))
	return ctx, cancel, context.AfterFunc(parent, func() { cancel(context.Cause(parent)) })
}

// drainBodyTimeout bounds the wait for the end of a response body after its last frame.
const drainBodyTimeout = time.Second

// drainBody reads a response body to its end and closes it. The HTTP client reuses a connection only after the end was read;
// otherwise each request would need a new connection and TLS handshake.
func drainBody(body io.ReadCloser, cancel context.CancelCauseFunc) {
	timer := time.AfterFunc(drainBodyTimeout, func() { cancel(nil) })
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, body) // no data is expected
	_ = body.Close()
	cancel(nil)
}

func (a *attempt) openStream(ctx context.Context, resume bool) (io.ReadCloser, error) {
	if !resume {
		return a.d.agents.run(ctx, a.node.Addr, a.message)
	}
	return a.d.agents.resume(ctx, a.node.Addr, &wire.ResumeRequest{
		RequestId:    a.r.id,
		AttemptId:    a.id,
		NextSequence: a.reader.NextSequence(),
		DeadlineMs:   max(time.Until(a.r.deadline).Milliseconds(), 1),
	})
}

func (a *attempt) handleFrame(ctx context.Context, frame *wire.Frame) (finished bool, err error) {
	if ctx.Err() != nil {
		return false, ctx.Err()
	}
	switch p := frame.GetPayload().(type) {
	case *wire.Frame_Heartbeat:
		a.d.observeLoad(p.Heartbeat.GetLoad())
	case *wire.Frame_Started:
		return false, a.onStarted(p.Started)
	case *wire.Frame_Token:
		return false, a.onToken(p.Token)
	case *wire.Frame_Response:
		a.callResponse = p.Response
	case *wire.Frame_Failure:
		return false, a.onFailure(p.Failure)
	case *wire.Frame_End:
		return true, a.onEnd(p.End)
	default:
		return false, &failure{err: errkind.New(errkind.StreamBroken, "frame of unknown type"), maybeRunning: true}
	}
	return false, nil
}

// onStarted checks recalls and freshness again before any part of the answer is sent to the caller.
func (a *attempt) onStarted(s *wire.Started) error {
	a.d.observeLoad(s.GetLoad())
	a.started = s
	if !a.r.isChat() {
		return nil
	}
	if err := a.d.checkAnswer(a.r, a.message.GetModel().GetVersion(), s.GetVersion()); err != nil {
		return &failure{err: err.WithRunState(errkind.Ran), maybeRunning: true, entryIsolated: err.Kind == errkind.Isolated}
	}
	if a.r.version == nil {
		return nil
	}
	if !sameVersion(a.r.version, s.GetVersion()) {
		err := errkind.New(errkind.NotLoaded, "the answer cannot continue on another version").WithRunState(errkind.Ran)
		return &failure{err: err, maybeRunning: true}
	}
	return nil
}

func (a *attempt) onToken(t *wire.Token) error {
	if a.started == nil {
		return &failure{err: errkind.New(errkind.StreamBroken, "token before the start"), maybeRunning: true}
	}
	if t.GetIndex() != a.nextTokenIndex && !a.d.opts.Disabled.TokenIndexCheck {
		return &failure{err: errkind.New(errkind.StreamBroken, "token out of order"), maybeRunning: true}
	}
	a.nextTokenIndex++
	a.receivedTokens++
	if err := a.d.checkRunningAnswer(a.r, a.started.GetVersion()); err != nil {
		return &failure{err: err, maybeRunning: true}
	}
	if a.r.version == nil {
		a.r.version = a.started.GetVersion()
	}
	a.r.tokens = append(a.r.tokens, t.GetText())
	if a.r.onToken == nil {
		return nil
	}
	if err := a.r.onToken(t.GetText()); err != nil {
		return &failure{err: errkind.Wrap(err, errkind.Canceled, "caller went away").WithRunState(errkind.Ran), maybeRunning: true}
	}
	return nil
}

func (a *attempt) onFailure(f *wire.Failure) error {
	kind := errkind.Kind(f.GetKind())
	run := errkind.RunState(f.GetRun())
	if run == "" {
		run = errkind.RuleOf(kind).RunState
	}
	if a.started != nil && run == errkind.NotRun {
		run = errkind.Ran // a started attempt has run, whatever the agent reports
	}
	return &failure{
		err:             errkind.New(kind, f.GetMessage()).WithRunState(run),
		endpointCrashed: f.GetEndpointCrashed(),
		recordVersion:   f.GetRowVersion(),
		load:            f.GetLoad(),
	}
}

func (a *attempt) onEnd(end *wire.End) error {
	a.end = end
	if a.r.isChat() {
		complete := a.started != nil && end.GetCompletionTokens() <= a.nextTokenIndex
		invariant.Check(complete, "entry_answer_complete", "request %s: %d tokens received, %d announced",
			a.r.id, a.nextTokenIndex, end.GetCompletionTokens())
		if !complete {
			return &failure{err: errkind.New(errkind.StreamBroken, "answer is incomplete").WithRunState(errkind.Ran), maybeRunning: true}
		}
		a.r.usage = end
		return nil
	}
	if a.callResponse == nil {
		return &failure{err: errkind.New(errkind.StreamBroken, "end without a response"), maybeRunning: true}
	}
	return nil
}
