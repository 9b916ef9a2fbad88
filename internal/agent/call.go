package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/idempotency"
	"github.com/bilberrylink/bilberrylink/wire"
)

// recordGrace is how long a non-idempotent call may continue after its deadline, so that its outcome is recorded for a retry
// with the same key.
const recordGrace = 30 * time.Second

// runCall runs one call of a plain service.
func (a *Agent) runCall(att *attempt) error {
	call := att.request.GetCall()
	rule, ok := att.service.MatchCall(call.GetMethod(), pathWithoutQuery(call.GetPath()))
	if !ok {
		return errkind.New(errkind.MethodNotAllowed, "the service does not list this call")
	}
	switch {
	case rule.Idempotent && call.GetIdempotent(), a.opts.Disabled.CallRecords:
		return a.runWithoutRecord(att)
	case call.GetIdempotencyKey() != "" && !a.opts.Disabled.CallRecords:
		return a.runWithRecord(att)
	case rule.WithoutKey == fleet.WithoutKeySingleAttempt:
		return a.runWithoutRecord(att) // the entry does not retry the call
	}
	return errkind.New(errkind.KeyRequired, "the call needs an idempotency key")
}

// runWithoutRecord runs a call without an idempotency record.
func (a *Agent) runWithoutRecord(att *attempt) error {
	if err := a.beginExecution(att); err != nil {
		return err
	}
	results := a.startCall(att, att.ctx)
	select {
	case <-att.ctx.Done():
		return errkind.From(context.Cause(att.ctx)).WithRunState(errkind.RunUnknown)
	case r := <-results:
		if r.err != nil {
			return a.callError(att, r.err)
		}
		return a.respond(att, newResponseFrame(r.response, false))
	}
}

// callResult is the result of a call to a plain service.
type callResult struct {
	response endpoint.Response
	err      error
}

// startCall calls the service in a new goroutine, because a service that hangs may ignore the context.
func (a *Agent) startCall(att *attempt, ctx context.Context) <-chan callResult {
	results := make(chan callResult, 1)
	startedAt := time.Now()
	go func() {
		response, err := a.opts.Service.Do(ctx, newEndpointCall(att.request.GetCall()))
		if err == nil {
			a.estimates.observeCall(time.Since(startedAt))
		}
		if err == nil && response.Status == http.StatusServiceUnavailable {
			a.pause(endpoint.RetryAfter(response.Header))
		}
		results <- callResult{response, err}
	}()
	return results
}

// keyHeader forwards the caller's key, so that records of the service can be compared with the caller's.
const keyHeader = "Idempotency-Key"

func newEndpointCall(c *wire.CallWork) endpoint.Call {
	header := make(http.Header, len(c.GetHeaders()))
	for _, h := range c.GetHeaders() {
		header[http.CanonicalHeaderKey(h.GetName())] = h.GetValues()
	}
	if key := c.GetIdempotencyKey(); key != "" {
		header.Set(keyHeader, key)
	}
	return endpoint.Call{Method: c.GetMethod(), Path: c.GetPath(), Header: header, Body: c.GetBody()}
}

// callError returns the error of a call whose outcome is unknown.
func (a *Agent) callError(att *attempt, err error) error {
	if att.ctx.Err() != nil {
		return errkind.From(context.Cause(att.ctx)).WithRunState(errkind.RunUnknown)
	}
	if errors.Is(err, endpoint.ErrDown) && a.detectServiceCrash(att) {
		return errkind.Wrap(errEndpointCrashed, errkind.EndpointFailed, "endpoint crashed").WithRunState(errkind.RunUnknown)
	}
	return errkind.Wrap(err, errkind.EndpointFailed, "call failed").WithRunState(errkind.RunUnknown)
}

// runWithRecord runs a non-idempotent call at most once, under the record of its idempotency key.
func (a *Agent) runWithRecord(att *attempt) error {
	result, claim, err := a.idempotency.Begin(att.ctx, a.newIdempotencyAttempt(att))
	if err != nil {
		return claimError(err)
	}
	if claim == nil {
		return a.answerFromRecord(att, result)
	}
	if a.beforeCallHook != nil {
		a.beforeCallHook()
	}
	if err := a.beginExecution(att); err != nil {
		a.idempotency.Abandon(claim)
		return err
	}
	return a.makeClaimedCall(att, claim)
}

func (a *Agent) newIdempotencyAttempt(att *attempt) idempotency.Attempt {
	call := att.request.GetCall()
	return idempotency.Attempt{
		Workspace:       att.request.GetWorkspace(),
		Key:             call.GetIdempotencyKey(),
		RequestHash:     call.GetRequestHash(),
		ID:              att.id,
		Endpoint:        a.opts.Endpoint,
		ExpectedVersion: call.GetExpectVersion(),
		Deadline:        att.deadline,
	}
}

// claimError converts an error of idempotency.Store.Begin. This attempt has not started the call.
func claimError(err error) error {
	switch {
	case errors.Is(err, idempotency.ErrDeadlinePassed):
		return errkind.Wrap(err, errkind.DeadlineExceeded, "deadline has passed").WithRunState(errkind.NotRun)
	case errors.Is(err, idempotency.ErrAnswerUnreadable):
		return errkind.Wrap(err, errkind.StoreUnavailable, "the recorded answer cannot be read now").WithRunState(errkind.Ran)
	}
	return errkind.Wrap(err, errkind.StoreUnavailable, "the call cannot be recorded").WithRunState(errkind.NotRun)
}

// answerFromRecord answers an attempt that did not claim its key, from the row of the key. A failure carries the row's version.
func (a *Agent) answerFromRecord(att *attempt, result idempotency.Result) error {
	mismatch := &rowMismatchError{version: result.Version}
	switch result.State {
	case idempotency.Replay:
		return a.respond(att, newResponseFrame(endpoint.Response{Status: result.Answer.Status, Header: result.Answer.Header,
			Body: result.Answer.Body}, true))
	case idempotency.InProgress:
		return errkind.Wrap(mismatch, errkind.KeyInProgress, "the first call with this key is in progress")
	case idempotency.Unknown:
		return errkind.Wrap(mismatch, errkind.OutcomeUnknown, "the call with this key has started and no outcome is recorded")
	case idempotency.Mismatch:
		return errkind.Wrap(mismatch, errkind.KeyMismatch, "the key was used with another request")
	}
	if result.AttemptID == att.id {
		return errkind.Wrap(mismatch, errkind.Canceled, "the attempt was refused before it started").WithRunState(errkind.NotRun)
	}
	return errkind.Wrap(mismatch, errkind.Overloaded, "the key's row has changed; a new attempt must expect its version").
		WithRunState(errkind.NotRun)
}

// makeClaimedCall makes the call for which claim was granted. The call continues after the deadline, so that its outcome can be
// recorded.
func (a *Agent) makeClaimedCall(att *attempt, claim *idempotency.Claim) error {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(att.ctx), att.deadline.Add(recordGrace))
	results := a.startCall(att, ctx)
	select {
	case r := <-results:
		cancel()
		return a.recordAndRespond(att, claim, r)
	case <-att.ctx.Done():
		a.lateCalls.Add(1)
		go func() {
			defer a.lateCalls.Add(-1)
			defer cancel()
			a.recordLateOutcome(claim, <-results)
		}()
		return errkind.From(context.Cause(att.ctx)).WithRunState(errkind.RunUnknown)
	}
}

func (a *Agent) recordAndRespond(att *attempt, claim *idempotency.Claim, r callResult) error {
	if r.err != nil {
		a.idempotency.CloseUnknown(claim)
		return a.callError(att, r.err)
	}
	if err := a.idempotency.Finish(att.ctx, claim, recordedAnswer(r.response)); err != nil {
		a.log.WithError(err).Warn("cannot record the outcome of a call yet")
	}
	return a.respond(att, newResponseFrame(r.response, false))
}

func (a *Agent) recordLateOutcome(claim *idempotency.Claim, r callResult) {
	if r.err != nil {
		a.idempotency.CloseUnknown(claim)
		return
	}
	if err := a.idempotency.Finish(context.WithoutCancel(a.ctx), claim, recordedAnswer(r.response)); err != nil {
		a.log.WithError(err).Warn("cannot record the late outcome of a call yet")
	}
}

func recordedAnswer(r endpoint.Response) idempotency.Answer {
	return idempotency.Answer{Status: r.Status, Header: r.Header, Body: r.Body}
}

func newResponseFrame(r endpoint.Response, replayed bool) *wire.Frame {
	response := &wire.CallResponse{Status: int32(r.Status), Body: r.Body, Replayed: replayed}
	for name, values := range r.Header {
		response.Headers = append(response.Headers, &wire.Header{Name: name, Values: values})
	}
	return &wire.Frame{Payload: &wire.Frame_Response{Response: response}}
}

// respond sends the response of a call and ends the attempt.
func (a *Agent) respond(att *attempt, response *wire.Frame) error {
	if err := att.buffer.Append(a.newStartedFrame(att)); err != nil {
		return asRan(err)
	}
	if err := att.buffer.Append(response); err != nil {
		return asRan(err)
	}
	a.succeed(att, &wire.End{})
	return nil
}
