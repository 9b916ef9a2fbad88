package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/kvledger"
	"github.com/bilberrylink/bilberrylink/wire"
)

const (
	maxLease = time.Minute
	minLease = time.Second
	maxWait  = time.Minute
)

var _ wire.Agent = (*Agent)(nil)

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func leaseOf(ms int64) time.Duration { return min(max(milliseconds(ms), minLease), maxLease) }

// Reserve implements wire.Agent.
func (a *Agent) Reserve(ctx context.Context, req *wire.ReserveRequest) (*wire.ReserveReply, error) {
	if err := a.reserve(ctx, req); err != nil {
		return &wire.ReserveReply{Refusal: a.failure(errkind.From(notRun(err))), Load: a.load()}, nil
	}
	return &wire.ReserveReply{Granted: true, Load: a.load()}, nil
}

func (a *Agent) reserve(ctx context.Context, req *wire.ReserveRequest) error {
	if req.GetReservation() == "" || req.GetTokens() <= 0 {
		return errkind.New(errkind.InvalidRequest, "a reservation needs a name and tokens")
	}
	if a.isDraining() {
		return errkind.New(errkind.Draining, "endpoint is leaving")
	}
	if err := a.catchUp(ctx, req.GetEpoch()); err != nil {
		return err
	}
	probe := &attempt{segment: &wire.PrefillRequest{Version: req.GetVersion()}, request: &wire.RunRequest{}}
	if err := a.mayRun(probe); err != nil {
		return err
	}
	wait := min(milliseconds(req.GetWaitMs()), maxWait)
	return a.reserveMemory(ctx, req, wait)
}

func (a *Agent) reserveMemory(ctx context.Context, req *wire.ReserveRequest, wait time.Duration) error {
	a.mu.Lock()
	a.segments[req.GetReservation()] = hold{version: wire.DecodeVersion(req.GetVersion()), workspace: req.GetWorkspace()}
	a.mu.Unlock()
	err := a.ledger.Reserve(ctx, req.GetReservation(), int(req.GetTokens()), leaseOf(req.GetLeaseMs()), wait)
	if err == nil {
		return nil
	}
	a.forgetSegments([]string{req.GetReservation()})
	switch {
	case errors.Is(err, kvledger.ErrTooLarge):
		return errkind.Wrap(err, errkind.PromptTooLarge, "segment needs more memory than the engine has")
	case errors.Is(err, kvledger.ErrNoCapacity):
		return errkind.Wrap(err, errkind.NotReady, "engine has not reported yet")
	}
	return errkind.Wrap(err, errkind.Overloaded, "no memory within the wait")
}

// Renew implements wire.Agent.
func (a *Agent) Renew(_ context.Context, req *wire.RenewRequest) (*wire.RenewReply, error) {
	reply := new(wire.RenewReply)
	for _, id := range req.GetReservations() {
		if a.ledger.Renew(id, leaseOf(req.GetLeaseMs())) != nil {
			reply.Unknown = append(reply.Unknown, id)
		}
	}
	return reply, nil
}

// Release implements wire.Agent.
func (a *Agent) Release(_ context.Context, req *wire.ReleaseRequest) (*wire.ReleaseReply, error) {
	for _, id := range req.GetReservations() {
		a.cancelSegment(id)
	}
	a.cancelOnEngine(a.ledger.Release(req.GetReservations()...)...)
	a.forgetSegments(req.GetReservations())
	return &wire.ReleaseReply{Load: a.load()}, nil
}

func (a *Agent) cancelSegment(reservation string) {
	if att := a.attempt(segmentAttempt(reservation)); att != nil {
		att.cancel(errkind.New(errkind.Canceled, "reservation was released"))
	}
}

func segmentAttempt(reservation string) string { return "prefill/" + reservation }

// Prefill implements wire.Agent. The segment passes through the run queue like any other work.
func (a *Agent) Prefill(ctx context.Context, req *wire.PrefillRequest) (*wire.PrefillReply, error) {
	att := a.submitSegment(ctx, req)
	select {
	case <-att.done:
	case <-ctx.Done():
		att.cancel(errkind.Wrap(ctx.Err(), errkind.Canceled, "the entry went away"))
		<-att.done
	}
	reply := &wire.PrefillReply{Failure: att.buffer.LastFrame().GetFailure(), Load: a.load()}
	if reply.Failure == nil {
		h := att.handle
		reply.Handle = &wire.KVHandle{Engine: h.Engine, Id: h.ID, Tokens: int64(h.Tokens), Version: wire.EncodeVersion(h.Version)}
	}
	return reply, nil
}

func (a *Agent) submitSegment(ctx context.Context, req *wire.PrefillRequest) *attempt {
	workspace := a.workspaceOf(req.GetReservation())
	run := &wire.RunRequest{
		Workspace:   workspace,
		Weight:      a.weightOf(workspace),
		RequestId:   req.GetRequestId(),
		AttemptId:   segmentAttempt(req.GetReservation()),
		Class:       req.GetClass(),
		Epoch:       req.GetEpoch(),
		DeadlineMs:  min(req.GetDeadlineMs(), maxDeadline.Milliseconds()),
		Fingerprint: req.GetFingerprint(),
		Work:        &wire.RunRequest_Model{Model: &wire.ModelWork{Prompt: req.GetPrompt(), Version: req.GetVersion(), Reservation: req.GetReservation()}},
	}
	att := a.newAttempt(run)
	att.segment = req
	return a.enter(ctx, att)
}

// workspaceOf returns the workspace for which a reservation was made.
func (a *Agent) workspaceOf(reservation string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.segments[reservation].workspace
}

// weightOf returns the share of a workspace in the text, 0 if unknown.
func (a *Agent) weightOf(workspace string) float64 {
	s := a.peer.Epochs().Snapshot()
	if s == nil || s.Text.Workspaces[workspace] == nil {
		return 0
	}
	return s.Text.Workspaces[workspace].Weight
}

// Cancel implements wire.Agent.
func (a *Agent) Cancel(ctx context.Context, req *wire.CancelRequest) (*wire.CancelReply, error) {
	return &wire.CancelReply{Run: string(a.cancelAttempt(ctx, req.GetAttemptId()))}, nil
}

// Drain implements wire.Agent.
func (a *Agent) Drain(context.Context, *wire.DrainRequest) (*wire.DrainReply, error) {
	return &wire.DrainReply{Running: int32(a.startDraining())}, nil
}
