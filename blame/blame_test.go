package blame

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/bilberrylink/bilberrylink/cloud"
)

// fakeTable is an in-memory table with conditional writes.
type fakeTable struct {
	cloud.Table
	mu   sync.Mutex
	rows map[string]cloud.Row
	down bool
}

func (f *fakeTable) Commit(_ context.Context, writes ...cloud.Write) ([]cloud.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, cloud.ErrUnavailable
	}
	w := writes[0]
	if row := f.rows[w.Key]; row.Version != w.ExpectedVersion {
		return nil, &cloud.ConditionError{Current: row}
	}
	row := cloud.Row{Key: w.Key, Version: w.ExpectedVersion + 1, Value: w.Value, Expires: time.Now().Add(w.TTL)}
	f.rows[w.Key] = row
	return []cloud.Row{row}, nil
}

func (f *fakeTable) Scan(_ context.Context, _, after string, _ int) (rows []cloud.Row, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, cloud.ErrUnavailable
	}
	for key, row := range f.rows {
		if key > after {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// Guards against an entry that does not count a crash recorded by another entry.
func TestCrashesAddUpThroughTheTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &fakeTable{rows: map[string]cloud.Row{}}
		a, b := New(Options{Table: table}), New(Options{Table: table})
		assert.Equal(t, Unproven, a.Check("p"))
		assert.Equal(t, Suspect, a.RecordCrash(t.Context(), "p", "model-1"))
		assert.Equal(t, Blamed, b.RecordCrash(t.Context(), "p", "model-2"))
		assert.Equal(t, []string{"model-2", "model-1"}, b.BlamedRecords()[0].Endpoints)
		time.Sleep(DefaultTTL)
		assert.Equal(t, Unproven, b.Check("p"), "a blame record expires")
	})
}

// Guards against crashes that are not added up while the table is down, and that are not written once it is back.
func TestCrashesAddUpThroughGossipWhileTableIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &fakeTable{rows: map[string]cloud.Row{}, down: true}
		a, b := New(Options{Table: table}), New(Options{Table: table})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = a.Run(ctx) }()
		assert.Equal(t, Suspect, a.RecordCrash(ctx, "p", "model-1"))
		b.MergeRecords(a.RecentRecords())
		assert.Equal(t, Suspect, b.Check("p"))
		assert.Equal(t, Blamed, b.RecordCrash(ctx, "p", "model-2"))
		a.MergeRecords(b.RecentRecords())
		assert.Equal(t, Blamed, a.Check("p"))
		table.mu.Lock()
		table.down = false
		table.mu.Unlock()
		time.Sleep(3 * retryEvery)
		rows, _ := table.Scan(ctx, RowPrefix, "", 10)
		assert.Len(t, rows, 1)
		fresh := New(Options{Table: table})
		go func() { _ = fresh.Run(ctx) }()
		synctest.Wait()
		assert.Equal(t, Blamed, fresh.Check("p"), "a restarted entry loads the rows")
		cancel()
	})
}

// Guards against prompts that stay suspects although they finished later, and against one crash that counts twice.
func TestInnocentSuspectsAreCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &fakeTable{rows: map[string]cloud.Row{}}
		a, b := New(Options{Table: table}), New(Options{})
		a.RecordCrash(t.Context(), "p", "model-1")
		assert.Equal(t, Suspect, a.RecordCrash(t.Context(), "p", "model-1"), "two requests lost in one crash")
		b.MergeRecords(a.RecentRecords())
		a.RecordCompletion("p")
		assert.Equal(t, Proven, a.Check("p"))
		b.MergeRecords(a.RecentRecords())
		assert.Equal(t, Unproven, b.Check("p"))
		assert.Equal(t, Suspect, a.RecordCrash(t.Context(), "p", "model-3"), "a crash that was cleared does not count")
		time.Sleep(3 * time.Second)
		assert.Equal(t, Blamed, a.RecordCrash(t.Context(), "p", "model-3"))
		a.RecordCompletion("p")
		assert.Equal(t, Blamed, a.Check("p"), "a later success does not clear a blamed prompt")
		off := New(Options{Disabled: true})
		off.RecordCrash(t.Context(), "p", "model-1")
		off.RecordCrash(t.Context(), "p", "model-2")
		assert.Equal(t, Unproven, off.Check("p"))
	})
}

// Guards against memory that grows with the number of prompts.
func TestRecordsAreBounded(t *testing.T) {
	tr := New(Options{MaxRecords: 10})
	for _, c := range "abcdefghijklmnopqrstuvwxyz" {
		tr.RecordCrash(t.Context(), string(c), "model-1")
		tr.RecordCompletion("done-" + string(c))
	}
	assert.Len(t, tr.records.items, 10)
	assert.Len(t, tr.proven.items, 10)
	assert.Equal(t, Suspect, tr.Check("z"))
}
