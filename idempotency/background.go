package idempotency

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/internal/timing"
	"github.com/bilberrylink/bilberrylink/invariant"
)

// backgroundWrite is a write that is retried in the background until the table accepts it.
type backgroundWrite struct {
	refuseClaim *Claim // change the `started` row of the claim to `refused`
	finishClaim *Claim // change the `started` row of the claim to `done`
	answer      Answer // with finish
	attempts    int
	expiresAt   time.Time // the write is dropped after it
}

// Finish writes `done` with the answer. If the write fails, it is retried in the background and Finish returns an error;
// the call has run in either case.
func (s *Store) Finish(ctx context.Context, c *Claim, answer Answer) error {
	err := s.finish(ctx, c, answer)
	if err != nil {
		s.enqueue(backgroundWrite{finishClaim: c, answer: answer})
		return errors.Wrap(err, "answer is not recorded yet")
	}
	return nil
}

// Abandon ends a claim whose call was not made. The row is changed to `refused` in the background.
func (s *Store) Abandon(c *Claim) {
	s.closeClaim(c)
	s.enqueue(backgroundWrite{refuseClaim: c})
}

// CloseUnknown ends a claim whose call may have run with an unknown outcome. The row stays `started`.
func (s *Store) CloseUnknown(c *Claim) { s.closeClaim(c) }

// closeClaim ends a claim, so that the key may be started again without a violated invariant.
func (s *Store) closeClaim(c *Claim) { s.openClaims.CompareAndDelete(c.attempt.rowKey(), c) }

// PendingWrites returns the number of background writes that are queued or in progress.
func (s *Store) PendingWrites() int { return int(s.pendingCount.Load()) }

// Run performs the background writes until ctx ends. Failed writes are retried with exponential backoff.
func (s *Store) Run(ctx context.Context) error {
	delay := minRetryDelay
	for {
		write, err := s.queue.Pop(ctx)
		if err != nil {
			return err
		}
		s.backlog.Set(float64(s.PendingWrites()))
		err = s.perform(ctx, write)
		if err == nil {
			s.pendingCount.Add(-1)
			delay = minRetryDelay
			continue
		}
		s.opts.Log.WithError(err).WithField("tries", write.attempts).Debug("cannot write at-most-once record; retrying")
		write.attempts++
		s.enqueue(write)
		s.pendingCount.Add(-1)
		if timing.Sleep(ctx, timing.Jitter(delay, 0.5)) != nil {
			return ctx.Err()
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// enqueue adds a background write. If the queue is full, the write is dropped and the state of its key becomes unknown.
func (s *Store) enqueue(write backgroundWrite) {
	if write.expiresAt.IsZero() {
		write.expiresAt = time.Now().Add(s.opts.TTL()) // the row has expired by then
	}
	if time.Now().After(write.expiresAt) {
		return
	}
	s.pendingCount.Add(1)
	if err := s.queue.Push(write); err != nil {
		s.pendingCount.Add(-1)
		s.dropped.Inc()
		s.opts.Log.WithError(err).Warn("queue of at-most-once records is full; the outcome of the call stays unknown")
	}
	s.backlog.Set(float64(s.PendingWrites()))
}

func (s *Store) perform(ctx context.Context, write backgroundWrite) error {
	if write.finishClaim != nil {
		return s.finish(ctx, write.finishClaim, write.answer)
	}
	return s.refuseUncalled(ctx, write.refuseClaim)
}

func (s *Store) finish(ctx context.Context, c *Claim, answer Answer) error {
	done := s.newRecord(c.attempt, PhaseDone)
	done.Nonce = c.nonce
	if err := s.attachAnswer(ctx, &done, answer); err != nil {
		return err
	}
	_, err := s.putRow(ctx, c.attempt.rowKey(), c.version, done)
	if current, failed := conditionFailed(err); failed {
		err = s.checkDone(c, current)
	}
	if err == nil {
		s.closeClaim(c)
	}
	return err
}

// checkDone accepts a row that an earlier attempt of the same write produced, and a row that has expired. Any other row
// violates an invariant.
func (s *Store) checkDone(c *Claim, current cloud.Row) error {
	if current.Version == 0 {
		return nil
	}
	rec, err := decode(current)
	if err != nil {
		return err
	}
	writtenByClaim := rec.Nonce == c.nonce && rec.Phase == PhaseDone
	invariant.Check(writtenByClaim, "once_row_taken_over", "row %s: %s by attempt %s after it was started by %s", current.Key, rec.Phase, rec.AttemptID, c.attempt.ID)
	return nil
}

// attachAnswer puts the answer into the record, or into the object store if it is too large for the row.
func (s *Store) attachAnswer(ctx context.Context, rec *record, answer Answer) error {
	if len(answer.Body) <= s.opts.InlineBytes {
		rec.Answer = &answer
		return nil
	}
	data, err := json.Marshal(answer)
	if err != nil {
		return errors.Wrap(err, "marshal answer")
	}
	rec.Object = answerObjectName(rec)
	return errors.Wrap(s.opts.Objects.Put(ctx, rec.Object, data), "store answer")
}

func answerObjectName(rec *record) string { return "once/" + rec.AttemptID + "-" + rec.Nonce }

// refuseUncalled changes the row of a claim whose call was not made to `refused`. If the claim's `started` write may still
// arrive, this write replaces it: both have the same condition, so that only one of them can take effect.
func (s *Store) refuseUncalled(ctx context.Context, c *Claim) error {
	current, err := s.getRow(ctx, c.attempt.rowKey())
	if err != nil {
		return err
	}
	if current.Version != c.attempt.ExpectedVersion && !isOwnStarted(current, c) {
		return nil
	}
	rec := s.newRecord(c.attempt, PhaseRefused)
	_, err = s.putRow(ctx, c.attempt.rowKey(), current.Version, rec)
	if _, failed := conditionFailed(err); failed {
		return errors.Wrap(err, "row changed") // the retry reads the row again
	}
	return err
}

// isOwnStarted reports whether a row holds the `started` write of a claim.
func isOwnStarted(row cloud.Row, c *Claim) bool {
	rec, err := decode(row)
	return err == nil && rec.Phase == PhaseStarted && rec.Nonce == c.nonce
}
