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
	CurrentKey          = "fleet/current"
	AuditPrefix         = "audit/"
	objectPrefix        = "fleet/"
	storeCallTimeout    = 2 * time.Second // per call to the table or the object store
	tableReadsPerSecond = 10.0            // table reads per second, all entries together
	minPollInterval     = 200 * time.Millisecond
	maxPollBackoff      = 5 * time.Second // after failed reads, unless the normal interval is longer
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

// readCurrentRecord returns the value and the version of the row fleet/current. If the row is absent, both are zero.
func readCurrentRecord(ctx context.Context, table cloud.Table) (CurrentRecord, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	row, err := table.Get(ctx, CurrentKey)
	if errors.Is(err, cloud.ErrNotFound) {
		return CurrentRecord{}, 0, nil
	}
	if err != nil {
		return CurrentRecord{}, 0, err
	}
	var record CurrentRecord
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return CurrentRecord{}, 0, errors.Wrap(err, "row "+CurrentKey)
	}
	return record, row.Version, nil
}

// fetchSnapshot reads the text of a record from the object store, verifies its hash and indexes it.
func fetchSnapshot(ctx context.Context, objects cloud.ObjectStore, record CurrentRecord) (*fleet.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	raw, err := objects.Get(ctx, ObjectName(record.Hash))
	if err != nil {
		return nil, errors.Wrapf(err, "text of epoch %d", record.Epoch)
	}
	if fleet.Hash(raw) != record.Hash {
		return nil, errors.Errorf("text of epoch %d does not match its hash", record.Epoch)
	}
	snapshot, faults := fleet.NewSnapshot(record.Epoch, raw)
	if len(faults) > 0 {
		return nil, errors.Errorf("text of epoch %d has faults: %s", record.Epoch, faults[0])
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
		if err := timing.Sleep(ctx, p.nextDelay(failures)); err != nil {
			return err
		}
	}
}

// Poll reads the table once and adopts a newer epoch.
func (p *Poller) Poll(ctx context.Context) error {
	start := time.Now()
	record, _, err := readCurrentRecord(ctx, p.Services.Table)
	if err != nil {
		return err
	}
	if record.Epoch > p.Store.Epoch() {
		next, err := fetchSnapshot(ctx, p.Services.Objects, record)
		if err != nil {
			return err
		}
		p.Store.Adopt(next)
	}
	p.Store.ObserveTableRead(start, record.Epoch)
	return nil
}

// nextDelay returns the jittered delay before the next read. After failures it backs off exponentially; while no epoch is
// known, the back-off starts at the minimum interval.
func (p *Poller) nextDelay(failures int) time.Duration {
	interval := minPollInterval
	if failures == 0 || p.Store.Snapshot() != nil {
		interval = max(interval, time.Duration(float64(p.CountEntries())/tableReadsPerSecond*float64(time.Second)))
	}
	if failures > 0 {
		const maxDoublings = 5
		interval = max(interval, min(interval<<min(failures, maxDoublings), maxPollBackoff))
	}
	return timing.Jitter(interval, 0.5)
}
