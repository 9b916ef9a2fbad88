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

	"github.com/bilberrylink/bilberrylink/internal/timing"
	"github.com/bilberrylink/bilberrylink/platform"
)

// tableDelay is the response time of the table and the object store.
const tableDelay = 4 * time.Millisecond

// Table is an in-memory table and object store with faults.
type Table struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	objects map[string][]byte
	down    bool
	lose    bool
	reads   int
	writes  int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: make(map[string]platform.Row), objects: make(map[string][]byte)}
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

// Get implements platform.Table.
func (t *Table) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := timing.Sleep(ctx, tableDelay); err != nil {
		return platform.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	if t.down {
		return platform.Row{}, platform.ErrUnavailable
	}
	row, ok := t.rows[key]
	if !ok {
		return row, platform.ErrNotFound
	}
	return row, nil
}

// Commit implements platform.Table.
func (t *Table) Commit(ctx context.Context, writes ...platform.Write) ([]platform.Row, error) {
	if err := timing.Sleep(ctx, tableDelay); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes++
	if t.down {
		return nil, platform.ErrUnavailable
	}
	for _, w := range writes {
		if held := t.rows[w.Key]; w.Expect != platform.AnyVersion && held.Version != w.Expect {
			held.Key = w.Key
			return nil, &platform.ConditionError{Current: held}
		}
	}
	rows := make([]platform.Row, 0, len(writes))
	for _, w := range writes {
		row := platform.Row{Key: w.Key, Version: t.rows[w.Key].Version + 1, Value: w.Value}
		t.rows[w.Key] = row
		rows = append(rows, row)
	}
	if t.lose {
		return nil, platform.ErrInDoubt
	}
	return rows, nil
}

// Scan implements platform.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := timing.Sleep(ctx, tableDelay); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	if t.down {
		return nil, platform.ErrUnavailable
	}
	var rows []platform.Row
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(rows) < limit {
			rows = append(rows, t.rows[key])
		}
	}
	return rows, nil
}

// Objects returns the object store, which shares the table's faults.
func (t *Table) Objects() platform.ObjectStore { return objects{t} }

type objects struct{ table *Table }

func (o objects) Put(ctx context.Context, name string, data []byte) error {
	if err := timing.Sleep(ctx, tableDelay); err != nil {
		return err
	}
	o.table.mu.Lock()
	defer o.table.mu.Unlock()
	if o.table.down {
		return platform.ErrUnavailable
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
		return nil, platform.ErrUnavailable
	}
	data, ok := o.table.objects[name]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return data, nil
}
