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
	tokenBufferSize = 64 // tokens buffered between the reader of the engine's stream and the writer of the attempt's stream
	// firstTokenCheckTimeout bounds the read of the engine's report before the first token.
	firstTokenCheckTimeout = time.Second
	// maxEngineResumes is how often a stream is resumed on the engine after its connection broke.
	maxEngineResumes = 3
)

// tokenEvent is one token of an engine's stream, or its end.
type tokenEvent struct {
	token endpoint.Token
	usage endpoint.Usage // set if err is io.EOF
	err   error
}

// runModel generates an answer on the engine and streams it.
func (a *Agent) runModel(att *attempt) error {
	if err := a.ledger.Bind(att.reservation, att.id); err != nil {
		return asNotRun(errkind.Wrap(err, errkind.Overloaded, "reservation has expired"))
	}
	if err := a.beginExecution(att); err != nil {
		return err
	}
	err := a.forwardTokens(att, a.generate(att))
	if err != nil {
		a.cancelOnEngine(att.id)
	}
	return err
}

func (a *Agent) generate(att *attempt) <-chan tokenEvent {
	work := att.request.GetModel()
	req := endpoint.GenerateRequest{
		StreamID:  att.id,
		Version:   att.version(),
		Prompt:    work.GetPrompt(),
		Generated: work.GetGenerated(),
		Imported:  decodeHandles(work.GetImported()),
		MaxTokens: int(work.GetMaxTokens()),
		Priority:  att.priority(),
	}
	return a.startReading(att, func(ctx context.Context) (endpoint.TokenStream, error) { return a.opts.Engine.Generate(ctx, req) })
}

// priority returns the priority in the engine: by class, and within a class by the length of the prompt. A short prompt behind a
// long one would wait many times its own prefill time, while a short one hardly delays a long one.
func (att *attempt) priority() endpoint.Priority {
	classPriority := endpoint.PriorityInteractive
	switch att.class {
	case fleet.ClassUrgent:
		classPriority = endpoint.PriorityUrgent
	case fleet.ClassBulk:
		classPriority = endpoint.PriorityBulk
	}
	return classPriority + endpoint.Priority(att.lengthGrade())
}

// shortPromptTokens is the length below which all prompts have grade 0. The limit of each further grade is twice as high.
const shortPromptTokens = 4096

// lengthGrade returns the logarithmic length of the prompt, which is less than endpoint.PrioritiesPerClass. A later segment of a
// split prompt counts as short, because the prompt holds memory on several engines until it is finished.
func (att *attempt) lengthGrade() int {
	if len(att.segment.GetImported())+len(att.request.GetModel().GetImported()) > 0 {
		return 0
	}
	return min(bits.Len(uint(att.promptTokens/shortPromptTokens)), endpoint.PrioritiesPerClass-1)
}

// startReading opens a stream and reads it in a new goroutine, because an engine that hangs may ignore the context.
func (a *Agent) startReading(att *attempt, open func(context.Context) (endpoint.TokenStream, error)) <-chan tokenEvent {
	events := make(chan tokenEvent, tokenBufferSize)
	send := func(e tokenEvent) bool {
		select {
		case events <- e:
			return true
		case <-att.ctx.Done():
			return false
		}
	}
	go func() {
		tokens, err := open(att.ctx)
		if err != nil {
			a.pauseAfter(err)
			send(tokenEvent{err: err})
			return
		}
		defer func() { _ = tokens.Close() }() // an error of closing changes nothing for the attempt
		for {
			token, err := tokens.Recv()
			e := tokenEvent{token: token, err: err}
			if errors.Is(err, io.EOF) {
				e.usage = tokens.Usage()
			}
			if !send(e) || err != nil {
				return
			}
		}
	}()
	return events
}

// forwardTokens copies tokens to the attempt's stream until the answer is complete or the attempt ends. It resumes a broken
// stream of the engine.
func (a *Agent) forwardTokens(att *attempt, events <-chan tokenEvent) error {
	nextIndex := len(att.request.GetModel().GetGenerated())
	resumes := 0
	lastTokenAt := time.Now()
	for {
		select {
		case <-att.ctx.Done():
			return asRan(context.Cause(att.ctx))
		case e := <-events:
			switch {
			case e.err == nil:
				if err := a.handleToken(att, e.token, &nextIndex, &lastTokenAt); err != nil {
					return err
				}
			case errors.Is(e.err, io.EOF):
				return a.completeAnswer(att, e.usage)
			default:
				resumes++
				if err := a.streamError(att, e.err, resumes > 1, resumes <= maxEngineResumes); err != nil {
					return err
				}
				events = a.resumeOnEngine(att, nextIndex)
			}
		}
	}
}

func (a *Agent) handleToken(att *attempt, t endpoint.Token, nextIndex *int, lastTokenAt *time.Time) error {
	if t.Index < *nextIndex {
		return nil // the engine repeats a token after a resume
	}
	if t.Index > *nextIndex {
		return errkind.New(errkind.StreamBroken, "engine skipped a token")
	}
	if att.answerStarted.Load() {
		a.estimates.observeToken(time.Since(*lastTokenAt))
	}
	if err := a.ensureAnswerStarted(att); err != nil {
		return err
	}
	*nextIndex++
	*lastTokenAt = time.Now()
	return att.buffer.Append(&wire.Frame{Payload: &wire.Frame_Token{Token: &wire.Token{Index: int64(t.Index), Text: t.Text}}})
}

// ensureAnswerStarted starts the answer if it has not started yet, provided that the configuration is fresh, the version is not
// recalled and the engine reports it as loaded. The last is checked because the engine may have ignored an order.
func (a *Agent) ensureAnswerStarted(att *attempt) error {
	if att.answerStarted.Load() {
		return nil
	}
	a.removeOutstanding(att)
	a.ledger.MarkRunning(att.id)
	if err := a.checkLoaded(att); err != nil {
		return asRan(err)
	}
	if err := a.checkMayAnswer(att); err != nil {
		return asRan(err)
	}
	a.assertNotRecalled(att)
	att.answerStarted.Store(true)
	a.metrics.firstToken.Observe(time.Since(att.arrivedAt).Seconds())
	return att.buffer.Append(a.newStartedFrame(att))
}

func (a *Agent) newStartedFrame(att *attempt) *wire.Frame {
	started := &wire.Started{Load: a.currentLoad(), Version: att.request.GetModel().GetVersion()}
	if s := a.peer.Epochs().Snapshot(); s != nil {
		started.Epoch = s.Epoch
	}
	return &wire.Frame{Payload: &wire.Frame_Started{Started: started}}
}

// checkLoaded reads the engine's report again and returns an error unless the attempt's version is loaded.
func (a *Agent) checkLoaded(att *attempt) error {
	report, err := a.readReport(att.ctx, firstTokenCheckTimeout)
	if err != nil {
		return errkind.Wrap(err, errkind.NotLoaded, "engine does not say what it has loaded")
	}
	if contains(report.Loaded, att.version()) {
		return nil
	}
	a.requestOrder()
	return errkind.New(errkind.NotLoaded, "engine no longer holds the version")
}

// readReport reads the engine's report in a new goroutine, because an engine that hangs may ignore the context.
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

func (a *Agent) completeAnswer(att *attempt, usage endpoint.Usage) error {
	if err := a.ensureAnswerStarted(att); err != nil { // an answer without tokens
		return err
	}
	a.estimates.observeAnswer(usage.CompletionTokens)
	a.succeed(att, &wire.End{PromptTokens: int64(usage.PromptTokens), CachedTokens: int64(usage.CachedTokens),
		CompletionTokens: int64(usage.CompletionTokens)})
	return nil
}

// streamError converts an error of the engine's stream. It returns nil if the stream is to be resumed on the engine. resumed means that it
// has been resumed before: a refusal to resume it says nothing of its start.
func (a *Agent) streamError(att *attempt, err error, resumed, mayResume bool) error {
	if att.ctx.Err() != nil {
		return asRan(context.Cause(att.ctx))
	}
	refusable := !resumed && !att.answerStarted.Load()
	switch {
	case errors.Is(err, endpoint.ErrNoMemory) && refusable:
		att.executed.Store(false) // the engine refused the stream
		return asNotRun(errkind.Wrap(err, errkind.Overloaded, "engine has no memory"))
	case errors.Is(err, endpoint.ErrNotLoaded) && refusable:
		att.executed.Store(false) // the engine refused the stream
		a.requestOrder()
		return asNotRun(errkind.Wrap(err, errkind.NotLoaded, "engine has not loaded the version"))
	case !errors.Is(err, endpoint.ErrDown) || !mayResume:
		return asRan(errkind.Wrap(err, errkind.EndpointFailed, "engine broke the stream"))
	}
	if a.detectEngineCrash(att) {
		return newCrashError()
	}
	return nil
}

func newCrashError() error {
	return errkind.Wrap(errEndpointCrashed, errkind.EndpointFailed, "endpoint crashed").WithRunState(errkind.Ran)
}

func (a *Agent) resumeOnEngine(att *attempt, nextIndex int) <-chan tokenEvent {
	return a.startReading(att, func(ctx context.Context) (endpoint.TokenStream, error) {
		return a.opts.Engine.Resume(ctx, att.id, nextIndex)
	})
}

// runSegment prefills a segment of a long prompt into reserved memory.
func (a *Agent) runSegment(att *attempt) error {
	prefill := att.segment
	if err := a.ledger.Bind(att.reservation, att.reservation); err != nil {
		return asNotRun(errkind.Wrap(err, errkind.Overloaded, "reservation has expired"))
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
		h, err := a.opts.Engine.Prefill(att.ctx, endpoint.PrefillRequest{ID: att.reservation, Version: att.version(),
			Prompt: prefill.GetPrompt(), Imported: decodeHandles(prefill.GetImported()), Priority: att.priority()})
		a.pauseAfter(err)
		results <- result{h, err}
	}()
	select {
	case <-att.ctx.Done():
		a.cancelOnEngine(att.reservation)
		return asRan(context.Cause(att.ctx))
	case r := <-results:
		if r.err != nil {
			return a.segmentError(att, r.err)
		}
		a.ledger.MarkRunning(att.reservation)
		if err := a.checkMayAnswer(att); err != nil {
			a.cancelOnEngine(att.reservation)
			return asRan(err)
		}
		att.segmentHandle = r.handle
		a.succeed(att, &wire.End{})
		return nil
	}
}

func (a *Agent) segmentError(att *attempt, err error) error {
	if errors.Is(err, endpoint.ErrDown) && a.detectEngineCrash(att) {
		return newCrashError()
	}
	return a.streamError(att, err, false, false)
}
