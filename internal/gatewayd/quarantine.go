package gatewayd

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bilberrylink/bilberrylink/internal/timing"
	"github.com/bilberrylink/bilberrylink/platform"
	"github.com/bilberrylink/bilberrylink/quarantine"
)

const (
	// quarantineRetryDelay is the pause after a failed read of the stored records.
	quarantineRetryDelay = time.Second
	// quarantineWriteInterval is the interval at which records that are not stored are looked for.
	quarantineWriteInterval = 100 * time.Millisecond
	// minReadTime is the time that the store has for a read even if it answers other calls meanwhile.
	minReadTime = 150 * time.Millisecond
	// maxQuarantineWait is longer than the interval at which peers send what they know.
	maxQuarantineWait = time.Second
	// maxRereadDelay spreads the reads of the gateways after a restore of the store.
	maxRereadDelay = 1500 * time.Millisecond
	// maxQuarantineRows bounds the rows of one transaction of the store.
	maxQuarantineRows = 100
)

// quarantineStorage keeps the records of blocked subjects in the store.
type quarantineStorage struct {
	store   *platform.Store
	tracker *quarantine.Tracker
	era     func() int64 // latest era of the store that is known
	log     *logrus.Logger

	loaded   atomic.Bool
	answered chan struct{} // signals that the store has answered another call

	readEra  int64     // in which the records were last read; used by run only
	rereadAt time.Time // when they are read again after a restore; zero: there was none. Used by run only.
}

func newQuarantineStorage(store *platform.Store, tracker *quarantine.Tracker, era func() int64, log *logrus.Logger) *quarantineStorage {
	return &quarantineStorage{store: store, tracker: tracker, era: era, log: log, answered: make(chan struct{}, 1)}
}

// noteAnswer tells that the store has answered another call, so that a read that hangs since an outage is repeated at once.
func (q *quarantineStorage) noteAnswer() {
	if q.loaded.Load() {
		return
	}
	timing.Signal(q.answered)
}

// mayServe reports whether the stored records are known, or have been waited for long enough since the gateway got its first
// configuration: within that time, peers send what they know.
func (q *quarantineStorage) mayServe(configuredFor time.Duration) bool {
	return q.loaded.Load() || configuredFor > maxQuarantineWait
}

// run reads the stored records until that has succeeded, and then stores those that are not yet stored. Records are not written
// before: a record in the store may be newer.
func (q *quarantineStorage) run(ctx context.Context) {
	for !q.loaded.Load() {
		if q.tryLoad(ctx) {
			break
		}
		pause := time.NewTimer(timing.Jitter(quarantineRetryDelay, peerListJitter))
		select {
		case <-pause.C:
		case <-q.answered:
		case <-ctx.Done():
		}
		pause.Stop()
		if ctx.Err() != nil {
			return
		}
	}
	timing.Every(ctx, quarantineWriteInterval, func() {
		q.reconcile(ctx)
		q.save(ctx)
	})
}

// reconcile reads the stored records again after the store has come back from a copy. Gateways do so at different times, so that most
// find what they would write.
func (q *quarantineStorage) reconcile(ctx context.Context) {
	now := time.Now()
	switch {
	case q.era() <= q.readEra:
		return
	case q.tracker.Empty():
		q.readEra = q.era()
		return
	case q.rereadAt.IsZero():
		q.rereadAt = now.Add(rand.N(maxRereadDelay))
	}
	if now.Before(q.rereadAt) {
		return
	}
	records, _, err := q.read(ctx)
	if err != nil {
		q.rereadAt = now.Add(timing.Jitter(quarantineRetryDelay, peerListJitter))
		return
	}
	q.tracker.Reconcile(records)
	q.rereadAt = time.Time{}
}

// tryLoad reads the stored records. It gives up a call that has not been answered after minReadTime when the store answers another one.
func (q *quarantineStorage) tryLoad(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	startedAt, result := time.Now(), make(chan bool, 1)
	go func() { result <- q.load(ctx) }()
	for {
		select {
		case ok := <-result:
			q.loaded.Store(ok)
			return ok
		case <-q.answered:
			if time.Since(startedAt) > minReadTime {
				cancel()
				<-result
				q.noteAnswer()
				return false
			}
		}
	}
}

func (q *quarantineStorage) load(ctx context.Context) bool {
	records, expired, err := q.read(ctx)
	if err != nil {
		return false
	}
	q.tracker.Merge(records)
	if len(records) > 0 {
		q.log.WithFields(logrus.Fields{"event": "quarantine_read", "records": len(records)}).Info("blocked subjects read from the store")
	}
	q.update(ctx, nil, expired[:min(len(expired), maxQuarantineRows)])
	return true
}

// read returns the stored records, and the keys of those that have expired.
func (q *quarantineStorage) read(ctx context.Context) (records []quarantine.Record, expired []string, err error) {
	rows, era, err := q.store.QuarantineRows(ctx)
	if err != nil {
		q.log.WithError(err).WithField("event", "quarantine_read").Warn("call to the store failed")
		return nil, nil, err
	}
	q.readEra = era
	now := time.Now()
	for _, row := range rows {
		r, err := quarantine.DecodeRow(row.Value, now)
		switch {
		case err != nil:
			q.log.WithError(err).WithFields(logrus.Fields{"event": "quarantine_malformed", "key": row.Key}).Warn("invalid quarantine row")
		case now.After(r.ExpiresAt):
			expired = append(expired, row.Key)
		default:
			records = append(records, r)
		}
	}
	return records, expired, nil
}

func (q *quarantineStorage) save(ctx context.Context) {
	put, remove := q.tracker.Unstored()
	put, remove = put[:min(len(put), maxQuarantineRows/2)], remove[:min(len(remove), maxQuarantineRows/2)]
	values, keys := make(map[string][]byte, len(put)), make([]string, 0, len(remove))
	for i := range put {
		value, err := quarantine.EncodeRow(&put[i])
		if err != nil {
			q.log.WithError(err).Error("cannot encode a quarantine row")
			continue
		}
		values[put[i].Subject.Key()] = value
	}
	for _, s := range remove {
		keys = append(keys, s.Key())
	}
	if q.update(ctx, values, keys) {
		q.tracker.MarkStored(put)
		q.tracker.MarkRemoved(remove)
	}
}

// update writes and deletes rows and reports whether the store has done so.
func (q *quarantineStorage) update(ctx context.Context, put map[string][]byte, remove []string) bool {
	if len(put)+len(remove) == 0 {
		return false
	}
	if err := q.store.UpdateQuarantine(ctx, put, remove); err != nil {
		q.log.WithError(err).WithField("event", "quarantine_write").Warn("call to the store failed")
		return false
	}
	return true
}
