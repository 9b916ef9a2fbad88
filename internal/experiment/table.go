// Package experiment runs many peers in one process over an in-memory table and network with fault injection. Its tests
// run randomised faults and measure propagation, both in virtual time.
package experiment

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/internal/timing"
)

// tableLatency is the response time of every call to the table and the object store.
const tableLatency = 4 * time.Millisecond

// Table is an in-memory table and object store with fault injection.
type Table struct {
	mu            sync.Mutex
	rows          map[string]cloud.Row
	objects       map[string][]byte
	down          bool
	loseResponses bool
	readCount     int
	writeCount    int
	scanCounts    map[string]int // by key prefix
}

func NewTable() *Table {
	return &Table{rows: make(map[string]cloud.Row), objects: make(map[string][]byte), scanCounts: make(map[string]int)}
}

// SetDown makes every call to the table and the object store fail with ErrUnavailable.
func (t *Table) SetDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

// SetLoseResponses simulates lost responses: every commit takes effect and then fails with ErrInDoubt.
func (t *Table) SetLoseResponses(enabled bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loseResponses = enabled
}

// OperationCounts returns the numbers of table reads and writes so far, including those that failed.
func (t *Table) OperationCounts() (reads, writes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.readCount, t.writeCount
}

// ScanCount returns the number of scans of a key prefix so far, including those that failed.
func (t *Table) ScanCount(prefix string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.scanCounts[prefix]
}

// Get implements cloud.Table.
func (t *Table) Get(ctx context.Context, key string) (cloud.Row, error) {
	if err := timing.Sleep(ctx, tableLatency); err != nil {
		return cloud.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readCount++
	if t.down {
		return cloud.Row{}, cloud.ErrUnavailable
	}
	row, ok := t.rows[key]
	if !ok {
		return row, cloud.ErrNotFound
	}
	return row, nil
}

// Commit implements cloud.Table.
func (t *Table) Commit(ctx context.Context, writes ...cloud.Write) ([]cloud.Row, error) {
	if err := timing.Sleep(ctx, tableLatency); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writeCount++
	if t.down {
		return nil, cloud.ErrUnavailable
	}
	for _, write := range writes {
		if current := t.rows[write.Key]; write.ExpectedVersion != cloud.AnyVersion && current.Version != write.ExpectedVersion {
			current.Key = write.Key
			return nil, &cloud.ConditionError{Current: current}
		}
	}
	rows := make([]cloud.Row, 0, len(writes))
	for _, write := range writes {
		row := cloud.Row{Key: write.Key, Version: t.rows[write.Key].Version + 1, Value: write.Value}
		t.rows[write.Key] = row
		rows = append(rows, row)
	}
	if t.loseResponses {
		return nil, cloud.ErrInDoubt
	}
	return rows, nil
}

// Scan implements cloud.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]cloud.Row, error) {
	if err := timing.Sleep(ctx, tableLatency); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readCount++
	t.scanCounts[prefix]++
	if t.down {
		return nil, cloud.ErrUnavailable
	}
	var rows []cloud.Row
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(rows) < limit {
			rows = append(rows, t.rows[key])
		}
	}
	return rows, nil
}

// Objects returns the object store, which is down whenever the table is.
func (t *Table) Objects() cloud.ObjectStore { return objectStore{t} }

type objectStore struct{ table *Table }

func (o objectStore) Put(ctx context.Context, name string, data []byte) error {
	if err := timing.Sleep(ctx, tableLatency); err != nil {
		return err
	}
	o.table.mu.Lock()
	defer o.table.mu.Unlock()
	if o.table.down {
		return cloud.ErrUnavailable
	}
	o.table.objects[name] = slices.Clone(data)
	return nil
}

func (o objectStore) Get(ctx context.Context, name string) ([]byte, error) {
	if err := timing.Sleep(ctx, tableLatency); err != nil {
		return nil, err
	}
	o.table.mu.Lock()
	defer o.table.mu.Unlock()
	if o.table.down {
		return nil, cloud.ErrUnavailable
	}
	data, ok := o.table.objects[name]
	if !ok {
		return nil, cloud.ErrNotFound
	}
	return data, nil
}
