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

// Table keys, object names and the limits of reading them.
const (
	CurrentKey      = "fleet/current"
	AuditPrefix     = "audit/"
	objectPrefix    = "fleet/"
	callTimeout     = 2 * time.Second // per call to the table or the object store
	fleetReadRate   = 10.0            // table reads per second, all entries together
	minPollInterval = 200 * time.Millisecond
	maxPollBackoff  = 5 * time.Second // after failed reads, unless the normal interval is longer
)

// CurrentRecord is the value of the row fleet/current.
type CurrentRecord struct {
	Epoch      int64  `json:"epoch"`
	Hash       string `json:"hash"`
	Submission string `json:"submission"`
}

// ObjectName returns the object store name of the text with the given hash.
func ObjectName(hash string) string { return objectPrefix + hash }

func auditKey(epoch int64) string { return fmt.Sprintf("%s%012d", AuditPrefix, epoch) }

// readCurrent returns the value and the version of the row fleet/current. If the row is absent, both are zero.
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

// fetch reads the text that c refers to from the object store, verifies its hash and indexes it.
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

// Poller periodically reads the current epoch from the table. The interval grows with the number of entries, so that all
// entries together make about ten reads per second.
type Poller struct {
	Store        *Store
	Services     cloud.Services
	CountEntries func() int      // number of live entries, including this one
	OnPoll       func(err error) // called after each poll with its result; may be nil
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

// delay returns the jittered delay before the next read. After failures it backs off exponentially; while no epoch is
// known, the back-off starts at the minimum interval.
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
