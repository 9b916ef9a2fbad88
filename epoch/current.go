package epoch

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/internal/timing"
)

// Keys of the table and names of the object store.
const (
	CurrentKey      = "fleet/current"
	AuditPrefix     = "audit/"
	objectPrefix    = "fleet/"
	callTimeout     = 2 * time.Second // of one call of the table or the object store
	fleetReadRate   = 10.0            // table reads per second of all entries together
	minPollInterval = 200 * time.Millisecond
	maxPollBackoff  = 5 * time.Second // after failed reads, unless the normal interval is longer
)

// CurrentRecord is the value of the row fleet/current.
type CurrentRecord struct {
	Epoch      int64  `json:"epoch"`
	Hash       string `json:"hash"`
	Submission string `json:"submission"`
}

// ObjectName returns the name of a text in the object store.
func ObjectName(hash string) string { return objectPrefix + hash }

func auditKey(epoch int64) string { return fmt.Sprintf("%s%012d", AuditPrefix, epoch) }

// readCurrent returns the row fleet/current; an absent row gives version 0 and epoch 0.
func readCurrent(ctx context.Context, table cloud.Table) (CurrentRecord, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := table.Get(ctx, CurrentKey)
	if errors.Is(err, cloud.ErrNotFound) {
		return CurrentRecord{}, 0, nil
	}
	if err != nil {
		return CurrentRecord{}, 0, err
	}
	var c CurrentRecord
	if err := json.Unmarshal(row.Value, &c); err != nil {
		return CurrentRecord{}, 0, errors.Wrap(err, "row "+CurrentKey)
	}
	return c, row.Version, nil
}

// fetch reads the text of a row from the object store and indexes it.
func fetch(ctx context.Context, objects cloud.ObjectStore, c CurrentRecord) (*fleet.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	raw, err := objects.Get(ctx, ObjectName(c.Hash))
	if err != nil {
		return nil, errors.Wrapf(err, "text of epoch %d", c.Epoch)
	}
	if fleet.Hash(raw) != c.Hash {
		return nil, errors.Errorf("text of epoch %d does not match its hash", c.Epoch)
	}
	snapshot, faults := fleet.NewSnapshot(c.Epoch, raw)
	if len(faults) > 0 {
		return nil, errors.Errorf("text of epoch %d has faults: %s", c.Epoch, faults[0])
	}
	return snapshot, nil
}

// Poller reads the current epoch from the table. The entries together read about ten times per second at any size.
type Poller struct {
	Store        *Store
	Services     cloud.Services
	CountEntries func() int // number of live entries, this one included
	OnPoll       func(err error)
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) error {
	failures := 0
	for {
		err := p.Poll(ctx)
		if p.OnPoll != nil {
			p.OnPoll(err)
		}
		failures++
		if err == nil {
			failures = 0
		}
		if err := timing.Sleep(ctx, p.delay(failures)); err != nil {
			return err
		}
	}
}

// Poll reads the table once and adopts a newer epoch.
func (p *Poller) Poll(ctx context.Context) error {
	start := time.Now()
	c, _, err := readCurrent(ctx, p.Services.Table)
	if err != nil {
		return err
	}
	if c.Epoch > p.Store.Epoch() {
		next, err := fetch(ctx, p.Services.Objects, c)
		if err != nil {
			return err
		}
		p.Store.Adopt(next)
	}
	p.Store.ObserveTableRead(start, c.Epoch)
	return nil
}

// delay returns the jittered pause before the next read. While no epoch is known, failed reads are repeated from the
// minimum interval on, with back-off.
func (p *Poller) delay(failures int) time.Duration {
	interval := minPollInterval
	if failures == 0 || p.Store.Snapshot() != nil {
		interval = max(interval, time.Duration(float64(p.CountEntries())/fleetReadRate*float64(time.Second)))
	}
	if failures > 0 {
		const maxDoublings = 5
		interval = max(interval, min(interval<<min(failures, maxDoublings), maxPollBackoff))
	}
	return timing.Jitter(interval, 0.5)
}
