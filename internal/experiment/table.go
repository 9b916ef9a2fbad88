// Package experiment runs many peers in one process over an in-memory table and network with faults. Tests use it for
// randomised runs and for the measurement of propagation, both in virtual time.
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

// tableDelay is the response time of the table and the object store.
const tableDelay = 4 * time.Millisecond

// Table is an in-memory table and object store with faults.
type Table struct {
	mu      sync.Mutex
	rows    map[string]cloud.Row
	objects map[string][]byte
	down    bool
	lose    bool
	reads   int
	writes  int
	scans   map[string]int // by prefix
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: make(map[string]cloud.Row), objects: make(map[string][]byte), scans: make(map[string]int)}
}

// SetDown makes every call fail with ErrUnavailable.
func (t *Table) SetDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

// SetLoseAnswers makes every commit take effect and then fail with ErrInDoubt.
func (t *Table) SetLoseAnswers(lose bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lose = lose
}

// Counts returns the reads and writes so far, including refused ones.
func (t *Table) Counts() (reads, writes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.writes
}

// Scans returns the scans of a prefix so far, including refused ones.
func (t *Table) Scans(prefix string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.scans[prefix]
}

// Get implements cloud.Table.
func (t *Table) Get(ctx context.Context, key string) (cloud.Row, error) {
	if err := timing.Sleep(ctx, tableDelay); err != nil {
		return cloud.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
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
	if err := timing.Sleep(ctx, tableDelay); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes++
	if t.down {
		return nil, cloud.ErrUnavailable
	}
	for _, w := range writes {
		if held := t.rows[w.Key]; w.ExpectedVersion != cloud.AnyVersion && held.Version != w.ExpectedVersion {
			held.Key = w.Key
			return nil, &cloud.ConditionError{Current: held}
		}
	}
	rows := make([]cloud.Row, 0, len(writes))
	for _, w := range writes {
		row := cloud.Row{Key: w.Key, Version: t.rows[w.Key].Version + 1, Value: w.Value}
		t.rows[w.Key] = row
		rows = append(rows, row)
	}
	if t.lose {
		return nil, cloud.ErrInDoubt
	}
	return rows, nil
}

// Scan implements cloud.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]cloud.Row, error) {
	if err := timing.Sleep(ctx, tableDelay); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	t.scans[prefix]++
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

// Objects returns the object store, which shares the table's faults.
func (t *Table) Objects() cloud.ObjectStore { return objects{t} }

type objects struct{ table *Table }

func (o objects) Put(ctx context.Context, name string, data []byte) error {
	if err := timing.Sleep(ctx, tableDelay); err != nil {
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

func (o objects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := timing.Sleep(ctx, tableDelay); err != nil {
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
