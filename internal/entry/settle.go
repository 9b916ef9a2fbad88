package entry

import (
	"context"
	"time"

	"github.com/bilberrylink/bilberrylink/errkind"
)

// settleOutcome determines the outcome of a failed non-idempotent attempt from its idempotency record. A nil error without a
// response means that another attempt may follow, because the call is idempotent or certainly did not run.
func (d *dispatcher) settleOutcome(ctx context.Context, r *request, f *failure) error {
	if r.idempotent() {
		return nil
	}
	key := r.call.GetIdempotencyKey()
	if f.err.RunState == errkind.NotRun {
		return d.adoptRecordVersion(ctx, r, f, key)
	}
	if d.opts.Disabled.Settlement {
		f.err, r.runState = f.err.WithRunState(errkind.NotRun), errkind.NotRun
		return nil
	}
	if !f.maybeRunning && f.err.Kind != errkind.EndpointFailed {
		return f.err // the agent has settled the record itself
	}
	if key == "" || d.opts.Idempotency == nil {
		return outcomeUnknownError(f)
	}
	ctx, cancel := d.settleContext(ctx, r)
	defer cancel()
	record, err := d.opts.Idempotency.Refuse(ctx, r.workspace, key, r.expectedRecordVersion, f.attemptID)
	if err != nil {
		d.log.WithError(err).WithField("request", r.id).Warn("outcome of a failed call could not be determined")
		return outcomeUnknownError(f)
	}
	return d.applyRecord(r, f, record)
}

// adoptRecordVersion reads the record after an agent refused the attempt because the record has a newer version, so that the
// next attempt is made for that version.
func (d *dispatcher) adoptRecordVersion(ctx context.Context, r *request, f *failure, key string) error {
	if f.recordVersion <= r.expectedRecordVersion || key == "" || d.opts.Idempotency == nil ||
		!errkind.RuleOf(f.err.Kind).Retryable {
		return nil
	}
	ctx, cancel := d.settleContext(ctx, r)
	defer cancel()
	record, err := d.opts.Idempotency.Lookup(ctx, r.workspace, key)
	if err != nil {
		return errkind.Wrap(err, errkind.StoreUnavailable, "the state of this key cannot be read")
	}
	return d.applyRecord(r, f, record)
}

// applyRecord continues from the state of the record: absent or refused allows another attempt, done gives the recorded
// response, and anything else leaves the outcome unknown.
func (d *dispatcher) applyRecord(r *request, f *failure, record IdempotencyRecord) error {
	if record.RequestHash != "" && record.RequestHash != r.call.GetRequestHash() {
		return errkind.New(errkind.KeyMismatch, "this key was used for another request")
	}
	switch record.State {
	case IdempotencyAbsent, IdempotencyRefused:
		f.err = f.err.WithRunState(errkind.NotRun)
		r.runState = errkind.NotRun
		r.expectedRecordVersion = record.Version
		return nil
	case IdempotencyDone:
		if record.Response == nil {
			return errkind.New(errkind.Internal, "recorded outcome is empty").WithRunState(errkind.Ran)
		}
		r.response = record.Response
		return nil
	}
	return outcomeUnknownError(f)
}

// settleContext returns a context that a disconnect of the caller does not end, since the record must be settled all the
// same. It ends early enough before the deadline to write the response.
func (d *dispatcher) settleContext(ctx context.Context, r *request) (context.Context, context.CancelFunc) {
	end := time.Now().Add(d.timing.SettleTimeout)
	if latest := r.deadline.Add(-d.answerMargin(r)); latest.Before(end) {
		end = latest
	}
	return context.WithDeadline(context.WithoutCancel(ctx), end)
}

func outcomeUnknownError(f *failure) error {
	return errkind.Wrap(f.err, errkind.OutcomeUnknown, "the call may have run; repeat it with the same key to learn its outcome")
}
