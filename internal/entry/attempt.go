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

// maxResumes bounds the new connections of one attempt that bring no further frame.
const maxResumes = 3

// Causes that end a connection of an attempt.
var (
	errSilent = errors.New("connection silent")
	errAgent  = errors.New("agent gone")
)

// failure is an attempt that did not complete.
type failure struct {
	err        *errkind.Error
	lost       bool // the state at the agent is unknown
	crashed    bool // the endpoint crashed while the request was running there
	unreached  bool // no connection to the agent could be made
	own        bool // this entry may not answer; another endpoint does not change that
	attemptID  string
	rowVersion int64
	load       *wire.Load
}

func (f *failure) Error() string { return f.err.Error() }

// transient reports whether the agent declined the work at once for a reason that passes by itself.
func (f *failure) transient() bool {
	return f.err.Kind.Transient() && f.err.RunState == errkind.NotRun && !f.lost && !f.crashed && !f.unreached
}

// attempt is one execution try at one endpoint.
type attempt struct {
	d       *dispatcher
	r       *request
	id      string
	node    membership.Node
	ep      *route.Endpoint
	reader  *stream.Reader
	message *wire.RunRequest
	started *wire.Started
	resp    *wire.CallResponse
	end     *wire.End
	tokens  int // received in this attempt
	indexed int64
}

func (d *dispatcher) newAttempt(r *request, node membership.Node, ep *route.Endpoint, remaining time.Duration) *attempt {
	id := newID()
	reader := stream.NewReader(r.id, id)
	reader.SkipAttemptCheck = d.opts.Disabled.FrameOwnerCheck
	message := r.message(id, remaining, r.versionAt(node))
	message.Incarnation = incarnationOf(node)
	return &attempt{
		d:       d,
		r:       r,
		id:      id,
		node:    node,
		ep:      ep,
		reader:  reader,
		message: message,
		indexed: int64(len(r.tokens)),
	}
}

// incarnationOf returns the incarnation of the newest load report: a refusal tells of a restart before gossip does.
func incarnationOf(node membership.Node) string {
	if i := node.Load.GetIncarnation(); i != "" {
		return i
	}
	return node.Incarnation
}

// run executes the attempt until its End frame. On any failure the attempt is cancelled at the agent, so that it cannot
// start or go on later. The returned error is a *failure or nil.
func (a *attempt) run(ctx context.Context) error {
	done := a.ep.RecordDispatch(a.r.class(), a.r.promptTokens)
	defer done()
	began := time.Now()
	f := a.stream(ctx)
	if f == nil {
		a.d.metrics.attempts.WithLabelValues("done").Inc()
		a.d.observe(a.end.GetLoad())
		return nil
	}
	f.attemptID = a.id
	a.d.metrics.attempts.WithLabelValues(string(f.err.Kind)).Inc()
	a.d.observe(f.load)
	a.d.log.WithError(f.err).WithField("request", a.r.id).WithField("endpoint", a.ep.Name).
		WithField("after", time.Since(began)).Debug("attempt failed")
	a.abandon(ctx, f)
	return f
}

// abandon cancels an attempt whose end the agent has not confirmed.
func (a *attempt) abandon(ctx context.Context, f *failure) {
	if a.d.opts.Disabled.Cancel || f.unreached || !f.lost {
		return
	}
	limit := a.d.cancelBudget(a.r)
	if errors.Is(context.Cause(ctx), errOutrun) {
		limit = min(limit, outrunCancelTimeout)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
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

// stream reads frames over one or more connections until the attempt ends.
func (a *attempt) stream(ctx context.Context) *failure {
	resumes := 0
	for {
		before := a.reader.NextSequence()
		err := a.connection(ctx, resumes > 0 || before > 0)
		if err == nil {
			return nil
		}
		var f *failure
		if errors.As(err, &f) {
			return f
		}
		if a.reader.NextSequence() > before {
			resumes = 0
		}
		if f := a.unresumable(ctx, err, resumes); f != nil {
			return f
		}
		resumes++
		a.d.metrics.resumes.Inc()
		a.d.agents.dropIdle()
	}
}

// unresumable returns the failure if err cannot be repaired by a new connection.
func (a *attempt) unresumable(ctx context.Context, err error, resumes int) *failure {
	var kinded *errkind.Error
	switch {
	case ctx.Err() != nil:
		return a.interrupted(ctx)
	case errors.Is(err, errNotSent) && resumes == 0 && a.reader.NextSequence() == 0:
		return &failure{err: errkind.Wrap(err, errkind.EndpointFailed, "agent not reachable").WithRunState(errkind.NotRun), unreached: true}
	case errors.Is(err, errNotSent), errors.Is(err, errUnknownAttempt):
		return a.lost(errors.Wrap(errAgent, err.Error()))
	case errors.Is(err, stream.ErrDigestMismatch):
		return &failure{err: errkind.Wrap(err, errkind.StreamBroken, "answer failed its check"), lost: true}
	case errors.As(err, &kinded):
		return &failure{err: kinded, lost: kinded.RunState == errkind.RunUnknown}
	case resumes >= maxResumes || a.d.opts.Disabled.Resume:
		return a.lost(err)
	}
	return nil
}

func (a *attempt) lost(err error) *failure {
	run := errkind.RunUnknown
	if a.started != nil {
		run = errkind.Ran
	}
	return &failure{err: errkind.Wrap(err, errkind.EndpointFailed, "connection to the endpoint was lost").WithRunState(run), lost: true}
}

// interrupted returns the failure for a context that ended: the deadline, a lost hedge, or the caller's disconnect.
func (a *attempt) interrupted(ctx context.Context) *failure {
	kind, message := errkind.Canceled, "caller went away"
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		kind, message = errkind.DeadlineExceeded, "not finished by the deadline"
	}
	run := errkind.RunUnknown
	if a.started != nil {
		run = errkind.Ran
	}
	return &failure{err: errkind.New(kind, message).WithRunState(run), lost: true}
}

// connection reads one connection until the End frame (nil), a *failure, or an error of the connection. Silence ends
// the connection.
func (a *attempt) connection(attemptCtx context.Context, resume bool) error {
	ctx, cancel, detach := detachable(attemptCtx)
	silence := time.AfterFunc(a.d.timing.SilenceTimeout, func() { cancel(errSilent) })
	defer silence.Stop()
	body, err := a.open(ctx, resume)
	if err != nil {
		cancel(nil)
		return err
	}
	a.reader.Attach(body)
	for {
		frame, err := a.reader.Recv()
		if err != nil {
			cancel(nil)
			_ = body.Close() // the connection is dropped
			return err
		}
		silence.Reset(a.d.timing.SilenceTimeout)
		// The reader has counted the frame, so it is handled even if the connection was given up as silent meanwhile:
		// the resume begins after it.
		finished, err := a.handle(attemptCtx, frame)
		if finished || frame.GetFailure() != nil {
			detach()
			go drain(body, cancel)
			return err
		}
		if err != nil {
			cancel(nil)
			_ = body.Close() // an unread rest is dropped with the connection
			return err
		}
	}
}

// detachable returns a context that ends with its parent until detach is called.
func detachable(parent context.Context) (ctx context.Context, cancel context.CancelCauseFunc, detach func() bool) {
	ctx, cancel = context.WithCancelCause(context.WithoutCancel(parent))
	return ctx, cancel, context.AfterFunc(parent, func() { cancel(context.Cause(parent)) })
}

// drainTimeout bounds the wait for the end of a body after its last frame.
const drainTimeout = time.Second

// drain reads the end of a body and closes it. The HTTP client keeps the connection for the next request only after the
// end was read; otherwise each request would pay for a new connection with its TLS handshake.
func drain(body io.ReadCloser, cancel context.CancelCauseFunc) {
	timer := time.AfterFunc(drainTimeout, func() { cancel(nil) })
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, body) // nothing but the end is expected
	_ = body.Close()
	cancel(nil)
}

func (a *attempt) open(ctx context.Context, resume bool) (io.ReadCloser, error) {
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

func (a *attempt) handle(ctx context.Context, frame *wire.Frame) (finished bool, err error) {
	if ctx.Err() != nil {
		return false, ctx.Err()
	}
	switch p := frame.GetPayload().(type) {
	case *wire.Frame_Heartbeat:
		a.d.observe(p.Heartbeat.GetLoad())
	case *wire.Frame_Started:
		return false, a.onStarted(p.Started)
	case *wire.Frame_Token:
		return false, a.onToken(p.Token)
	case *wire.Frame_Response:
		a.resp = p.Response
	case *wire.Frame_Failure:
		return false, a.onFailure(p.Failure)
	case *wire.Frame_End:
		return true, a.onEnd(p.End)
	default:
		return false, &failure{err: errkind.New(errkind.StreamBroken, "frame of unknown type"), lost: true}
	}
	return false, nil
}

// onStarted checks the recall and the freshness again before anything of the answer is given out.
func (a *attempt) onStarted(s *wire.Started) error {
	a.d.observe(s.GetLoad())
	a.started = s
	if !a.r.isChat() {
		return nil
	}
	if err := a.d.mayAnswer(a.r, a.message.GetModel().GetVersion(), s.GetVersion()); err != nil {
		return &failure{err: err.WithRunState(errkind.Ran), lost: true, own: err.Kind == errkind.Isolated}
	}
	if a.r.version == nil {
		return nil
	}
	if !sameVersion(a.r.version, s.GetVersion()) {
		err := errkind.New(errkind.NotLoaded, "the answer cannot continue on another version").WithRunState(errkind.Ran)
		return &failure{err: err, lost: true}
	}
	return nil
}

func (a *attempt) onToken(t *wire.Token) error {
	if a.started == nil {
		return &failure{err: errkind.New(errkind.StreamBroken, "token before the start"), lost: true}
	}
	if t.GetIndex() != a.indexed && !a.d.opts.Disabled.TokenIndexCheck {
		return &failure{err: errkind.New(errkind.StreamBroken, "token out of order"), lost: true}
	}
	a.indexed++
	a.tokens++
	if err := a.d.mayContinue(a.r, a.started.GetVersion()); err != nil {
		return &failure{err: err, lost: true}
	}
	if a.r.version == nil {
		a.r.version = a.started.GetVersion()
	}
	a.r.tokens = append(a.r.tokens, t.GetText())
	if a.r.onToken == nil {
		return nil
	}
	if err := a.r.onToken(t.GetText()); err != nil {
		return &failure{err: errkind.Wrap(err, errkind.Canceled, "caller went away").WithRunState(errkind.Ran), lost: true}
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
		run = errkind.Ran // it began to answer
	}
	return &failure{
		err:        errkind.New(kind, f.GetMessage()).WithRunState(run),
		crashed:    f.GetEndpointCrashed(),
		rowVersion: f.GetRowVersion(),
		load:       f.GetLoad(),
	}
}

func (a *attempt) onEnd(end *wire.End) error {
	a.end = end
	if a.r.isChat() {
		complete := a.started != nil && end.GetCompletionTokens() <= a.indexed
		invariant.Check(complete, "entry_answer_complete", "request %s: %d tokens received, %d announced",
			a.r.id, a.indexed, end.GetCompletionTokens())
		if !complete {
			return &failure{err: errkind.New(errkind.StreamBroken, "answer is incomplete").WithRunState(errkind.Ran), lost: true}
		}
		a.r.usage = end
		return nil
	}
	if a.resp == nil {
		return &failure{err: errkind.New(errkind.StreamBroken, "end without a response"), lost: true}
	}
	return nil
}
