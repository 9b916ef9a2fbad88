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

// task is one write that is repeated until the table takes it.
type task struct {
	refuse *Claim // turn the own `started` row into `refused`
	finish *Claim // turn the own `started` row into `done`
	answer Answer
	tries  int
	until  time.Time
}

// Finish writes `done` with the answer. When the write fails it is repeated in the background, and the error says so;
// the call has run in any case.
func (s *Store) Finish(ctx context.Context, c *Claim, answer Answer) error {
	err := s.finish(ctx, c, answer)
	if err != nil {
		s.enqueue(task{finish: c, answer: answer})
		return errors.Wrap(err, "answer is not recorded yet")
	}
	return nil
}

// Abandon gives up a claim whose call was not made: the row is turned into `refused` in the background.
func (s *Store) Abandon(c *Claim) {
	s.close(c)
	s.enqueue(task{refuse: c})
}

// CloseUnknown gives up a claim whose call may have run without a known outcome; the row stays `started` for good.
func (s *Store) CloseUnknown(c *Claim) { s.close(c) }

func (s *Store) close(c *Claim) { s.open.CompareAndDelete(c.attempt.row(), c) }

// PendingWrites returns the number of background writes that wait for the table.
func (s *Store) PendingWrites() int { return int(s.waiting.Load()) }

// Run performs the background writes until ctx ends.
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
		s.opts.Log.WithError(err).WithField("tries", t.tries).Debug("at-most-once record not written, retrying")
		t.tries++
		s.enqueue(t)
		s.waiting.Add(-1)
		if timing.Sleep(ctx, timing.Jitter(wait, 0.5)) != nil {
			return ctx.Err()
		}
		wait = min(2*wait, retryMax)
	}
}

// enqueue adds a task. When the queue is full the task is dropped and its key answers unknown.
func (s *Store) enqueue(t task) {
	if t.until.IsZero() {
		t.until = time.Now().Add(s.opts.TTL()) // the row itself is gone by then
	}
	if time.Now().After(t.until) {
		return
	}
	s.waiting.Add(1)
	if err := s.pending.Push(t); err != nil {
		s.waiting.Add(-1)
		s.dropped.Inc()
		s.opts.Log.WithError(err).Warn("background queue of at-most-once records is full, the key will answer unknown")
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

// checkDone accepts a row that an earlier try of the same write has produced, or that has expired.
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

// refuseOwn makes sure that the `started` write of a claim that was not called leaves `refused`, also when that write
// has not arrived yet: a write on the same condition then takes its place.
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
		return errors.Wrap(err, "row changed") // read again
	}
	return err
}

func ownStarted(row cloud.Row, c *Claim) bool {
	rec, err := decode(row)
	return err == nil && rec.Phase == PhaseStarted && rec.Nonce == c.nonce
}
