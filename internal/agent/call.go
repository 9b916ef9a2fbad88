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

// recordGrace is how long a non-idempotent call may run on after its deadline, so that its outcome is still recorded
// for a repeat of the key.
const recordGrace = 30 * time.Second

// runCall runs one call of a plain service.
func (a *Agent) runCall(att *attempt) error {
	call := att.request.GetCall()
	rule, ok := att.service.MatchCall(call.GetMethod(), pathOf(call.GetPath()))
	if !ok {
		return errkind.New(errkind.MethodNotAllowed, "the service does not list this call")
	}
	switch {
	case rule.Idempotent && call.GetIdempotent(), a.opts.Disabled.CallRecords:
		return a.runRepeatable(att)
	case call.GetIdempotencyKey() != "" && !a.opts.Disabled.CallRecords:
		return a.runOnce(att)
	case rule.WithoutKey == fleet.WithoutKeySingleAttempt:
		return a.runRepeatable(att) // one attempt and no record; the entry does not retry it
	}
	return errkind.New(errkind.KeyRequired, "the call needs an idempotency key")
}

// runRepeatable runs a call without a record.
func (a *Agent) runRepeatable(att *attempt) error {
	if err := a.beginExecution(att); err != nil {
		return err
	}
	results := a.do(att, att.ctx)
	select {
	case <-att.ctx.Done():
		return errkind.From(context.Cause(att.ctx)).WithRunState(errkind.RunUnknown)
	case r := <-results:
		if r.err != nil {
			return a.callFailed(att, r.err)
		}
		return a.respond(att, responseFrame(r.response, false))
	}
}

// callResult is the result of a plain service's call.
type callResult struct {
	response endpoint.Response
	err      error
}

// do calls the service in its own goroutine, because a service that hangs may ignore the context.
func (a *Agent) do(att *attempt, ctx context.Context) <-chan callResult {
	results := make(chan callResult, 1)
	started := time.Now()
	go func() {
		response, err := a.opts.Service.Do(ctx, callOf(att.request.GetCall()))
		if err == nil {
			a.estimates.observeCall(time.Since(started))
		}
		results <- callResult{response, err}
	}()
	return results
}

// keyHeader passes the caller's key on, so that the service's own records can be compared with the caller's.
const keyHeader = "Idempotency-Key"

func callOf(c *wire.CallWork) endpoint.Call {
	header := make(http.Header, len(c.GetHeaders()))
	for _, h := range c.GetHeaders() {
		header[http.CanonicalHeaderKey(h.GetName())] = h.GetValues()
	}
	if key := c.GetIdempotencyKey(); key != "" {
		header.Set(keyHeader, key)
	}
	return endpoint.Call{Method: c.GetMethod(), Path: c.GetPath(), Header: header, Body: c.GetBody()}
}

// callFailed answers a call whose outcome is not known.
func (a *Agent) callFailed(att *attempt, err error) error {
	if att.ctx.Err() != nil {
		return errkind.From(context.Cause(att.ctx)).WithRunState(errkind.RunUnknown)
	}
	if errors.Is(err, endpoint.ErrDown) && a.serviceCrashed(att) {
		return errkind.Wrap(errCrashed, errkind.EndpointFailed, "endpoint crashed").WithRunState(errkind.RunUnknown)
	}
	return errkind.Wrap(err, errkind.EndpointFailed, "call failed").WithRunState(errkind.RunUnknown)
}

// runOnce runs a non-idempotent call under an at-most-once record.
func (a *Agent) runOnce(att *attempt) error {
	result, claim, err := a.once.Begin(att.ctx, a.onceAttempt(att))
	if err != nil {
		return notStarted(err)
	}
	if claim == nil {
		return a.answerRecorded(att, result)
	}
	if a.beforeCall != nil {
		a.beforeCall()
	}
	if err := a.beginExecution(att); err != nil {
		a.once.Abandon(claim)
		return err
	}
	return a.callOnce(att, claim)
}

func (a *Agent) onceAttempt(att *attempt) idempotency.Attempt {
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

// notStarted answers an error of once.Begin, after which this agent does not run the call.
func notStarted(err error) error {
	switch {
	case errors.Is(err, idempotency.ErrDeadlinePassed):
		return errkind.Wrap(err, errkind.DeadlineExceeded, "deadline has passed").WithRunState(errkind.NotRun)
	case errors.Is(err, idempotency.ErrAnswerUnreadable):
		return errkind.Wrap(err, errkind.StoreUnavailable, "the recorded answer cannot be read now").WithRunState(errkind.Ran)
	}
	return errkind.Wrap(err, errkind.StoreUnavailable, "the call cannot be recorded").WithRunState(errkind.NotRun)
}

// answerRecorded answers from the key's row when the attempt did not get it. The failure carries the row's version.
func (a *Agent) answerRecorded(att *attempt, result idempotency.Result) error {
	row := &rowError{version: result.Version}
	switch result.State {
	case idempotency.Replay:
		return a.respond(att, responseFrame(endpoint.Response{Status: result.Answer.Status, Header: result.Answer.Header, Body: result.Answer.Body}, true))
	case idempotency.InProgress:
		return errkind.Wrap(row, errkind.KeyInProgress, "the first call with this key is in progress")
	case idempotency.Unknown:
		return errkind.Wrap(row, errkind.OutcomeUnknown, "the call with this key has started and no outcome is recorded")
	case idempotency.Mismatch:
		return errkind.Wrap(row, errkind.KeyMismatch, "the key was used with another request")
	}
	if result.AttemptID == att.id {
		return errkind.Wrap(row, errkind.Canceled, "the attempt was refused before it started").WithRunState(errkind.NotRun)
	}
	return errkind.Wrap(row, errkind.Overloaded, "the key's row has changed; a new attempt must expect its version").WithRunState(errkind.NotRun)
}

// callOnce makes the call of a claim. The call runs on after the deadline, so that its outcome can be recorded.
func (a *Agent) callOnce(att *attempt, claim *idempotency.Claim) error {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(att.ctx), att.deadline.Add(recordGrace))
	results := a.do(att, ctx)
	select {
	case r := <-results:
		cancel()
		return a.recordAndRespond(att, claim, r)
	case <-att.ctx.Done():
		a.late.Add(1)
		go func() {
			defer a.late.Add(-1)
			defer cancel()
			a.recordLate(claim, <-results)
		}()
		return errkind.From(context.Cause(att.ctx)).WithRunState(errkind.RunUnknown)
	}
}

func (a *Agent) recordAndRespond(att *attempt, claim *idempotency.Claim, r callResult) error {
	if r.err != nil {
		a.once.CloseUnknown(claim)
		return a.callFailed(att, r.err)
	}
	if err := a.once.Finish(att.ctx, claim, answerOf(r.response)); err != nil {
		a.log.WithError(err).Warn("outcome of a call is not recorded yet")
	}
	return a.respond(att, responseFrame(r.response, false))
}

func (a *Agent) recordLate(claim *idempotency.Claim, r callResult) {
	if r.err != nil {
		a.once.CloseUnknown(claim)
		return
	}
	if err := a.once.Finish(context.WithoutCancel(a.ctx), claim, answerOf(r.response)); err != nil {
		a.log.WithError(err).Warn("late outcome of a call is not recorded yet")
	}
}

func answerOf(r endpoint.Response) idempotency.Answer {
	return idempotency.Answer{Status: r.Status, Header: r.Header, Body: r.Body}
}

func responseFrame(r endpoint.Response, replayed bool) *wire.Frame {
	response := &wire.CallResponse{Status: int32(r.Status), Body: r.Body, Replayed: replayed}
	for name, values := range r.Header {
		response.Headers = append(response.Headers, &wire.Header{Name: name, Values: values})
	}
	return &wire.Frame{Payload: &wire.Frame_Response{Response: response}}
}

// respond sends a call's answer.
func (a *Agent) respond(att *attempt, response *wire.Frame) error {
	if err := att.buffer.Append(a.startedFrame(att)); err != nil {
		return ran(err)
	}
	if err := att.buffer.Append(response); err != nil {
		return ran(err)
	}
	a.succeed(att, &wire.End{})
	return nil
}
