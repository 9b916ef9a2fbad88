package blame

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/internal/timing"
)

// Run loads the records of the table and then writes queued ones until ctx ends.
func (t *Tracker) Run(ctx context.Context) error {
	if t.opts.Table == nil {
		<-ctx.Done()
		return nil
	}
	for t.loadRows(ctx) != nil && timing.Sleep(ctx, retryInterval) == nil {
	}
	for {
		fingerprint, err := t.writeQueue.Pop(ctx)
		if err != nil {
			return nil
		}
		for t.persist(ctx, fingerprint) != nil && timing.Sleep(ctx, retryInterval) == nil {
		}
	}
}

func (t *Tracker) loadRows(ctx context.Context) error {
	after := ""
	for {
		rows, err := t.opts.Table.Scan(ctx, RowPrefix, after, scanPageRows)
		if err != nil {
			return errors.Wrap(err, "scan blame records")
		}
		for _, row := range rows {
			t.mergeRow(row)
			after = row.Key
		}
		if len(rows) < scanPageRows {
			return nil
		}
	}
}

func (t *Tracker) mergeRow(row cloud.Row) {
	var r Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		t.opts.Log.WithError(err).WithField("row", row.Key).Warn("cannot decode blame record")
		return
	}
	r.Fingerprint = row.Key[len(RowPrefix):]
	r.Expires = row.Expires
	t.merge(r, false)
}

// persist writes a record to its row. If another entry has written the row, it merges the row and tries again.
func (t *Tracker) persist(ctx context.Context, fingerprint string) error {
	if t.opts.Table == nil {
		return nil
	}
	key := RowPrefix + fingerprint
	expectedVersion := int64(0)
	for range maxWriteAttempts {
		value, ttl, ok := t.encodeRow(fingerprint)
		if !ok {
			return nil
		}
		_, err := t.opts.Table.Commit(ctx, cloud.Write{Key: key, ExpectedVersion: expectedVersion, Value: value, TTL: ttl})
		var conflict *cloud.ConditionError
		if !errors.As(err, &conflict) {
			return errors.Wrap(err, "write blame record")
		}
		expectedVersion = conflict.Current.Version
		if expectedVersion > 0 {
			t.mergeRow(conflict.Current)
		}
	}
	return errors.New("blame record: too many conflicting writes")
}

// encodeRow returns the value and remaining time to live of the row for a record; ok is false if there is nothing to write.
func (t *Tracker) encodeRow(fingerprint string) (value []byte, ttl time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records.get(fingerprint)
	if !ok {
		return nil, 0, false
	}
	ttl = time.Until(r.Expires)
	if ttl <= 0 {
		return nil, 0, false
	}
	value, err := json.Marshal(r)
	return value, ttl, err == nil
}
