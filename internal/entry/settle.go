package entry

import (
	"context"
	"time"

	"github.com/bilberrylink/bilberrylink/errkind"
)

// settle makes the outcome of a failed non-idempotent attempt certain where the row allows it. A nil error without a
// response means that the attempt certainly did not run.
func (d *dispatcher) settle(ctx context.Context, r *request, f *failure) error {
	if r.idempotent() {
		return nil
	}
	key := r.call.GetIdempotencyKey()
	if f.err.RunState == errkind.NotRun {
		return d.afterRefusal(ctx, r, f, key)
	}
	if d.opts.Disabled.Settlement {
		f.err, r.ran = f.err.WithRunState(errkind.NotRun), errkind.NotRun
		return nil
	}
	if !f.lost && f.err.Kind != errkind.EndpointFailed {
		return f.err // the agent answered for the row
	}
	if key == "" || d.opts.Once == nil {
		return outcomeUnknown(f)
	}
	ctx, cancel := d.settleContext(ctx, r)
	defer cancel()
	row, err := d.opts.Once.Refuse(ctx, r.workspace, key, r.expect, f.attemptID)
	if err != nil {
		d.log.WithError(err).WithField("request", r.id).Warn("outcome of a call could not be settled")
		return outcomeUnknown(f)
	}
	return d.applyRow(r, f, row)
}

// afterRefusal adopts a newer row version, so that the next attempt is made for the row as it is.
func (d *dispatcher) afterRefusal(ctx context.Context, r *request, f *failure, key string) error {
	if f.rowVersion <= r.expect || key == "" || d.opts.Once == nil || !errkind.RuleOf(f.err.Kind).Retryable {
		return nil
	}
	ctx, cancel := d.settleContext(ctx, r)
	defer cancel()
	row, err := d.opts.Once.Lookup(ctx, r.workspace, key)
	if err != nil {
		return errkind.Wrap(err, errkind.StoreUnavailable, "the state of this key cannot be read")
	}
	return d.applyRow(r, f, row)
}

// applyRow continues from the row: refused or absent allows another attempt, done gives the recorded answer.
func (d *dispatcher) applyRow(r *request, f *failure, row IdempotencyRecord) error {
	if row.RequestHash != "" && row.RequestHash != r.call.GetRequestHash() {
		return errkind.New(errkind.KeyMismatch, "this key was used for another request")
	}
	switch row.State {
	case IdempotencyAbsent, IdempotencyRefused:
		f.err = f.err.WithRunState(errkind.NotRun)
		r.ran = errkind.NotRun
		r.expect = row.Version
		return nil
	case IdempotencyDone:
		if row.Response == nil {
			return errkind.New(errkind.Internal, "recorded outcome is empty").WithRunState(errkind.Ran)
		}
		r.response = row.Response
		return nil
	}
	return outcomeUnknown(f)
}

// settleContext outlives the caller's disconnect: the row must be settled all the same. It ends early
// enough before the deadline to write the answer.
func (d *dispatcher) settleContext(ctx context.Context, r *request) (context.Context, context.CancelFunc) {
	limit := time.Now().Add(d.timing.SettleTimeout)
	if last := r.deadline.Add(-d.answerMargin(r)); last.Before(limit) {
		limit = last
	}
	return context.WithDeadline(context.WithoutCancel(ctx), limit)
}

func outcomeUnknown(f *failure) error {
	return errkind.Wrap(f.err, errkind.OutcomeUnknown, "the call may have run; repeat it with the same key to learn its outcome")
}
