package agent

import (
	"context"
	"io"
	"math/bits"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/wire"
)

const (
	tokenBuffer = 64 // tokens between the goroutine that reads the engine and the one that writes the stream
	// firstTokenCheckTimeout bounds the read of what the engine has loaded before the first token.
	firstTokenCheckTimeout = time.Second
	// engineResumes is how often a stream whose connection to the engine broke is resumed there.
	engineResumes = 3
)

// tokenEvent is one result of reading an engine's stream.
type tokenEvent struct {
	token endpoint.Token
	usage endpoint.Usage // with io.EOF
	err   error
}

// runModel runs an answer stream on the engine.
func (a *Agent) runModel(att *attempt) error {
	if err := a.ledger.Bind(att.reservation, att.id); err != nil {
		return notRun(errkind.Wrap(err, errkind.Overloaded, "reservation has expired"))
	}
	if err := a.beginExecution(att); err != nil {
		return err
	}
	err := a.pump(att, a.generate(att))
	if err != nil {
		a.cancelOnEngine(att.id)
	}
	return err
}

func (a *Agent) generate(att *attempt) <-chan tokenEvent {
	m := att.request.GetModel()
	g := endpoint.GenerateRequest{
		StreamID:  att.id,
		Version:   att.version(),
		Prompt:    m.GetPrompt(),
		Generated: m.GetGenerated(),
		Imported:  handlesFromWire(m.GetImported()),
		MaxTokens: int(m.GetMaxTokens()),
		Priority:  att.priority(),
	}
	return a.read(att, func(ctx context.Context) (endpoint.TokenStream, error) { return a.opts.Engine.Generate(ctx, g) })
}

// priority orders work inside the engine: by class, and within a class by the length of the prompt, because a short
// prompt behind a long one waits many times its own prefill, while a long one hardly notices the short one.
func (att *attempt) priority() endpoint.Priority {
	first := endpoint.PriorityInteractive
	switch att.class {
	case fleet.ClassUrgent:
		first = endpoint.PriorityUrgent
	case fleet.ClassBulk:
		first = endpoint.PriorityBulk
	}
	return first + endpoint.Priority(att.grade())
}

// shortestGrade is the length in tokens below which prompts are served alike; each further grade doubles it.
const shortestGrade = 4096

// grade is the logarithmic length of the prompt, below endpoint.PrioritySteps. A later segment of a split prompt counts as
// short, because the prompt holds memory on several engines until it is finished.
func (att *attempt) grade() int {
	if len(att.segment.GetImported())+len(att.request.GetModel().GetImported()) > 0 {
		return 0
	}
	return min(bits.Len(uint(att.prefill/shortestGrade)), endpoint.PrioritiesPerClass-1)
}

// read opens a stream and reads it in its own goroutine, because an engine that hangs may ignore the context.
func (a *Agent) read(att *attempt, open func(context.Context) (endpoint.TokenStream, error)) <-chan tokenEvent {
	events := make(chan tokenEvent, tokenBuffer)
	send := func(e tokenEvent) bool {
		select {
		case events <- e:
			return true
		case <-att.ctx.Done():
			return false
		}
	}
	go func() {
		s, err := open(att.ctx)
		if err != nil {
			send(tokenEvent{err: err})
			return
		}
		defer func() { _ = s.Close() }() // detaching cannot fail in a way that matters here
		for {
			token, err := s.Recv()
			e := tokenEvent{token: token, err: err}
			if errors.Is(err, io.EOF) {
				e.usage = s.Usage()
			}
			if !send(e) || err != nil {
				return
			}
		}
	}()
	return events
}

// pump copies tokens to the attempt's stream until the answer is complete or the attempt ends.
func (a *Agent) pump(att *attempt, events <-chan tokenEvent) error {
	next := len(att.request.GetModel().GetGenerated())
	resumes := 0
	last := time.Now()
	for {
		select {
		case <-att.ctx.Done():
			return ran(context.Cause(att.ctx))
		case e := <-events:
			switch {
			case e.err == nil:
				if err := a.token(att, e.token, &next, &last); err != nil {
					return err
				}
			case errors.Is(e.err, io.EOF):
				return a.complete(att, e.usage)
			default:
				resumes++
				if err := a.streamFailed(att, e.err, resumes); err != nil {
					return err
				}
				events = a.resumeEngine(att, next)
			}
		}
	}
}

func (a *Agent) token(att *attempt, t endpoint.Token, next *int, last *time.Time) error {
	if t.Index < *next {
		return nil // the engine repeats a token after a resume
	}
	if t.Index > *next {
		return errkind.New(errkind.StreamBroken, "engine skipped a token")
	}
	if att.answering.Load() {
		a.estimates.observeToken(time.Since(*last))
	}
	if err := a.firstToken(att); err != nil {
		return err
	}
	*next++
	*last = time.Now()
	return att.buffer.Append(&wire.Frame{Payload: &wire.Frame_Token{Token: &wire.Token{Index: int64(t.Index), Text: t.Text}}})
}

// firstToken decides, before the first frame of an answer, whether the answer may start: the node is fresh, the version
// is not recalled, and the engine reports it as loaded now. The engine may have ignored an order.
func (a *Agent) firstToken(att *attempt) error {
	if att.answering.Load() {
		return nil
	}
	a.noLongerOutstanding(att)
	a.ledger.MarkRunning(att.id)
	if err := a.checkLoaded(att); err != nil {
		return ran(err)
	}
	if err := a.mayAnswer(att); err != nil {
		return ran(err)
	}
	a.checkRecall(att)
	att.answering.Store(true)
	a.metrics.firstByte.Observe(time.Since(att.arrived).Seconds())
	return att.buffer.Append(a.startedFrame(att))
}

func (a *Agent) startedFrame(att *attempt) *wire.Frame {
	started := &wire.Started{Load: a.load(), Version: att.request.GetModel().GetVersion()}
	if s := a.peer.Epochs().Snapshot(); s != nil {
		started.Epoch = s.Epoch
	}
	return &wire.Frame{Payload: &wire.Frame_Started{Started: started}}
}

// checkLoaded re-reads what the engine holds.
func (a *Agent) checkLoaded(att *attempt) error {
	report, err := a.readReport(att.ctx, firstTokenCheckTimeout)
	if err != nil {
		return errkind.Wrap(err, errkind.NotLoaded, "engine does not say what it has loaded")
	}
	if holds(report.Loaded, att.version()) {
		return nil
	}
	a.requestOrder()
	return errkind.New(errkind.NotLoaded, "engine no longer holds the version")
}

// readReport reads the engine's report in its own goroutine, because an engine that hangs may ignore the context.
func (a *Agent) readReport(ctx context.Context, timeout time.Duration) (endpoint.LoadReport, error) {
	type result struct {
		report endpoint.LoadReport
		err    error
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	results := make(chan result, 1)
	go func() {
		report, err := a.opts.Engine.Report(ctx)
		results <- result{report, err}
	}()
	select {
	case r := <-results:
		return r.report, r.err
	case <-ctx.Done():
		return endpoint.LoadReport{}, ctx.Err()
	}
}

func (a *Agent) complete(att *attempt, u endpoint.Usage) error {
	if err := a.firstToken(att); err != nil { // an answer without tokens
		return err
	}
	a.estimates.observeAnswer(u.CompletionTokens)
	a.succeed(att, &wire.End{PromptTokens: int64(u.PromptTokens), CachedTokens: int64(u.CachedTokens), CompletionTokens: int64(u.CompletionTokens)})
	return nil
}

// streamFailed classifies an engine's error. It returns nil if the stream may be resumed on the engine.
func (a *Agent) streamFailed(att *attempt, err error, resumes int) error {
	if att.ctx.Err() != nil {
		return ran(context.Cause(att.ctx))
	}
	switch {
	case errors.Is(err, endpoint.ErrNoMemory) && !att.answering.Load():
		att.executed.Store(false) // the engine refused the stream
		return notRun(errkind.Wrap(err, errkind.Overloaded, "engine has no memory"))
	case errors.Is(err, endpoint.ErrNotLoaded) && !att.answering.Load():
		att.executed.Store(false) // the engine refused the stream
		a.requestOrder()
		return notRun(errkind.Wrap(err, errkind.NotLoaded, "engine has not loaded the version"))
	case !errors.Is(err, endpoint.ErrDown) || resumes > engineResumes:
		return ran(errkind.Wrap(err, errkind.EndpointFailed, "engine broke the stream"))
	}
	if a.engineCrashed(att) {
		return crashed()
	}
	return nil
}

func crashed() error {
	return errkind.Wrap(errCrashed, errkind.EndpointFailed, "endpoint crashed").WithRunState(errkind.Ran)
}

func (a *Agent) resumeEngine(att *attempt, from int) <-chan tokenEvent {
	return a.read(att, func(ctx context.Context) (endpoint.TokenStream, error) {
		return a.opts.Engine.Resume(ctx, att.id, from)
	})
}

// runSegment prefills one segment of a long prompt under a reservation.
func (a *Agent) runSegment(att *attempt) error {
	p := att.segment
	if err := a.ledger.Bind(att.reservation, att.reservation); err != nil {
		return notRun(errkind.Wrap(err, errkind.Overloaded, "reservation has expired"))
	}
	if err := a.beginExecution(att); err != nil {
		return err
	}
	type result struct {
		handle endpoint.KVHandle
		err    error
	}
	results := make(chan result, 1)
	go func() {
		h, err := a.opts.Engine.Prefill(att.ctx, endpoint.PrefillRequest{ID: att.reservation, Version: att.version(), Prompt: p.GetPrompt(),
			Imported: handlesFromWire(p.GetImported()), Priority: att.priority()})
		results <- result{h, err}
	}()
	select {
	case <-att.ctx.Done():
		a.cancelOnEngine(att.reservation)
		return ran(context.Cause(att.ctx))
	case r := <-results:
		if r.err != nil {
			return a.segmentFailed(att, r.err)
		}
		a.ledger.MarkRunning(att.reservation)
		if err := a.mayAnswer(att); err != nil {
			a.cancelOnEngine(att.reservation)
			return ran(err)
		}
		att.handle = r.handle
		a.succeed(att, &wire.End{})
		return nil
	}
}

func (a *Agent) segmentFailed(att *attempt, err error) error {
	const noResume = engineResumes + 1
	if errors.Is(err, endpoint.ErrDown) && a.engineCrashed(att) {
		return crashed()
	}
	return a.streamFailed(att, err, noResume)
}
