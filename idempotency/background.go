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

// task is a background write that is retried until the table accepts it.
type task struct {
	refuse *Claim // change the `started` row of the claim to `refused`
	finish *Claim // change the `started` row of the claim to `done`
	answer Answer // with finish
	tries  int
	until  time.Time // the task is dropped after it
}

// Finish writes `done` with the answer. If the write fails, it is retried in the background and Finish returns an error;
// the call has run in either case.
func (s *Store) Finish(ctx context.Context, c *Claim, answer Answer) error {
	err := s.finish(ctx, c, answer)
	if err != nil {
		s.enqueue(task{finish: c, answer: answer})
		return errors.Wrap(err, "answer is not recorded yet")
	}
	return nil
}

// Abandon ends a claim whose call was not made. The row is changed to `refused` in the background.
func (s *Store) Abandon(c *Claim) {
	s.close(c)
	s.enqueue(task{refuse: c})
}

// CloseUnknown ends a claim whose call may have run with an unknown outcome. The row stays `started`.
func (s *Store) CloseUnknown(c *Claim) { s.close(c) }

func (s *Store) close(c *Claim) { s.open.CompareAndDelete(c.attempt.row(), c) }

// PendingWrites returns the number of background writes that are queued or in progress.
func (s *Store) PendingWrites() int { return int(s.waiting.Load()) }

// Run performs the background writes until ctx ends. Failed writes are retried with exponential backoff.
func (s *Store) Run(ctx context.Context) error {
	wait := retryMin
	for {
		t, err := s.pending.Pop(ctx)
		if err != nil {
			return err
		}
		s.backlog.Set(float64(s.PendingWrites()))
		err = s.perform(ctx, t)
		if err == nil {
			s.waiting.Add(-1)
			wait = retryMin
			continue
		}
		s.opts.Log.WithError(err).WithField("tries", t.tries).Debug("cannot write at-most-once record; retrying")
		t.tries++
		s.enqueue(t)
		s.waiting.Add(-1)
		if timing.Sleep(ctx, timing.Jitter(wait, 0.5)) != nil {
			return ctx.Err()
		}
		wait = min(2*wait, retryMax)
	}
}

// enqueue adds a task. If the queue is full, the task is dropped and the state of its key becomes unknown.
func (s *Store) enqueue(t task) {
	if t.until.IsZero() {
		t.until = time.Now().Add(s.opts.TTL()) // the row has expired by then
	}
	if time.Now().After(t.until) {
		return
	}
	s.waiting.Add(1)
	if err := s.pending.Push(t); err != nil {
		s.waiting.Add(-1)
		s.dropped.Inc()
		s.opts.Log.WithError(err).Warn("queue of at-most-once records is full; the outcome of the call stays unknown")
	}
	s.backlog.Set(float64(s.PendingWrites()))
}

func (s *Store) perform(ctx context.Context, t task) error {
	if t.finish != nil {
		return s.finish(ctx, t.finish, t.answer)
	}
	return s.refuseOwn(ctx, t.refuse)
}

func (s *Store) finish(ctx context.Context, c *Claim, answer Answer) error {
	rec := s.record(c.attempt, PhaseDone)
	rec.Nonce = c.nonce
	if err := s.attach(ctx, &rec, answer); err != nil {
		return err
	}
	_, err := s.put(ctx, c.attempt.row(), c.version, rec)
	if current, failed := conditionFailed(err); failed {
		err = s.checkDone(c, current)
	}
	if err == nil {
		s.close(c)
	}
	return err
}

// checkDone accepts a row that an earlier attempt of the same write produced, and a row that has expired.
func (s *Store) checkDone(c *Claim, current cloud.Row) error {
	if current.Version == 0 {
		return nil
	}
	rec, err := decode(current)
	if err != nil {
		return err
	}
	own := rec.Nonce == c.nonce && rec.Phase == PhaseDone
	invariant.Check(own, "once_row_taken_over", "row %s: %s by attempt %s after it was started by %s", current.Key, rec.Phase, rec.Attempt, c.attempt.ID)
	return nil
}

// attach puts the answer into the record, or into the object store if it is too large for the row.
func (s *Store) attach(ctx context.Context, rec *record, answer Answer) error {
	if len(answer.Body) <= s.opts.InlineBytes {
		rec.Answer = &answer
		return nil
	}
	data, err := json.Marshal(answer)
	if err != nil {
		return errors.Wrap(err, "marshal answer")
	}
	rec.Object = rowObject(rec)
	return errors.Wrap(s.opts.Objects.Put(ctx, rec.Object, data), "store answer")
}

func rowObject(rec *record) string { return "once/" + rec.Attempt + "-" + rec.Nonce }

// refuseOwn changes the row of a claim whose call was not made to `refused`. If the claim's `started` write may still
// arrive, this write replaces it: both have the same condition, so that only one of them can take effect.
func (s *Store) refuseOwn(ctx context.Context, c *Claim) error {
	row, err := s.get(ctx, c.attempt.row())
	if err != nil {
		return err
	}
	if row.Version != c.attempt.ExpectedVersion && !ownStarted(row, c) {
		return nil
	}
	rec := s.record(c.attempt, PhaseRefused)
	_, err = s.put(ctx, c.attempt.row(), row.Version, rec)
	if _, failed := conditionFailed(err); failed {
		return errors.Wrap(err, "row changed") // the retry reads the row again
	}
	return err
}

func ownStarted(row cloud.Row, c *Claim) bool {
	rec, err := decode(row)
	return err == nil && rec.Phase == PhaseStarted && rec.Nonce == c.nonce
}
