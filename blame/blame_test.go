package blame

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

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
		first, second := New(Options{Table: table}), New(Options{Table: table})
		assert.Equal(t, Unproven, first.Check("p"))
		assert.Equal(t, Suspect, first.RecordCrash(t.Context(), "p", "model-1"))
		assert.Equal(t, Blamed, second.RecordCrash(t.Context(), "p", "model-2"))
		assert.Equal(t, []string{"model-2", "model-1"}, second.BlamedRecords()[0].Endpoints)
		time.Sleep(DefaultTTL)
		assert.Equal(t, Unproven, second.Check("p"), "a blame record expires")
	})
}

// Guards against crashes that are not added up while the table is down, and that are not written once it is back.
func TestCrashesAddUpThroughGossipWhileTableIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &fakeTable{rows: map[string]cloud.Row{}, down: true}
		first, second := New(Options{Table: table}), New(Options{Table: table})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = first.Run(ctx) }()
		assert.Equal(t, Suspect, first.RecordCrash(ctx, "p", "model-1"))
		second.MergeRecords(first.RecentRecords())
		assert.Equal(t, Suspect, second.Check("p"))
		assert.Equal(t, Blamed, second.RecordCrash(ctx, "p", "model-2"))
		first.MergeRecords(second.RecentRecords())
		assert.Equal(t, Blamed, first.Check("p"))
		table.mu.Lock()
		table.down = false
		table.mu.Unlock()
		time.Sleep(3 * retryInterval)
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
func TestCompletedSuspectsAreCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &fakeTable{rows: map[string]cloud.Row{}}
		first, second := New(Options{Table: table}), New(Options{})
		first.RecordCrash(t.Context(), "p", "model-1")
		assert.Equal(t, Suspect, first.RecordCrash(t.Context(), "p", "model-1"), "two requests lost in one crash")
		second.MergeRecords(first.RecentRecords())
		first.RecordCompletion("p", nil)
		assert.Equal(t, Proven, first.Check("p"))
		second.MergeRecords(first.RecentRecords())
		assert.Equal(t, Unproven, second.Check("p"))
		assert.Equal(t, Suspect, first.RecordCrash(t.Context(), "p", "model-3"), "a crash that was cleared does not count")
		time.Sleep(3 * time.Second)
		assert.Equal(t, Blamed, first.RecordCrash(t.Context(), "p", "model-3"))
		first.RecordCompletion("p", nil)
		assert.Equal(t, Blamed, first.Check("p"), "a later success does not clear a blamed prompt")
		disabled := New(Options{Disabled: true})
		disabled.RecordCrash(t.Context(), "p", "model-1")
		disabled.RecordCrash(t.Context(), "p", "model-2")
		assert.Equal(t, Unproven, disabled.Check("p"))
	})
}

// Guards against memory that grows with the number of prompts.
func TestRecordsAreBounded(t *testing.T) {
	tracker := New(Options{MaxRecords: 10})
	for _, c := range "abcdefghijklmnopqrstuvwxyz" {
		tracker.RecordCrash(t.Context(), string(c), "model-1")
		tracker.RecordCompletion("done-"+string(c), nil)
	}
	assert.Len(t, tracker.records.items, 10)
	assert.Len(t, tracker.proven.items, 10)
	assert.Equal(t, Suspect, tracker.Check("z"))
}

// blamedPart returns a part for which a prompt is refused, or an empty string.
func blamedPart(t *Tracker, parts []string) string {
	verdict, part := t.CheckParts(parts)
	if verdict != Blamed {
		return ""
	}
	return part
}

// Guards against a part that is not blamed because its blamed prompts were seen by different entries, and against one that stays blamed
// although prompts with it complete.
func TestPartOfBlamedPromptsIsBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := New(Options{}), New(Options{})
		common, bad := []string{"common"}, []string{"common", "bad"}
		first.RecordCompletion("sound", common)
		first.RecordBlamedPrompt("p1", bad)
		second.RecordBlamedPrompt("p2", bad)
		assert.Empty(t, blamedPart(first, bad))
		second.MergeRecords(first.RecentRecords())
		first.MergeRecords(second.RecentRecords())
		assert.Equal(t, "bad", blamedPart(first, bad))
		assert.Equal(t, "bad", blamedPart(second, bad))
		assert.Empty(t, blamedPart(first, common), "a prompt with it has completed")

		time.Sleep(time.Second)
		first.RecordCompletion("late", bad)
		assert.Empty(t, blamedPart(first, bad))
		second.MergeRecords(first.RecentRecords())
		assert.Empty(t, blamedPart(second, bad))
		time.Sleep(recentCompletion)
		first.RecordBlamedPrompt("p3", bad)
		assert.Empty(t, blamedPart(first, bad))
		first.RecordBlamedPrompt("p4", bad)
		assert.Equal(t, "common", blamedPart(first, bad), "nothing has completed since")
	})
}

// Guards against blaming a sound part for one that was always beside it, whatever is known of them and however long sound prompts pause, and
// against a part at fault that is let through again and again.
func TestPartsBlamedTogetherAreToldApart(t *testing.T) {
	const maxRuns = 3 // of prompts with the part at fault after it was blamed
	rapid.Check(t, func(rt *rapid.T) {
		shared := rapid.IntRange(1, 100).Draw(rt, "shared parts")
		position := rapid.IntRange(0, shared-1).Draw(rt, "position")
		bad, sound := make([]string, shared), make([]string, shared)
		for i := range bad {
			bad[i] = strconv.Itoa(i)
			sound[i] = bad[i]
		}
		bad[position], sound[position] = "bad", "sound"
		before := rapid.Bool().Draw(rt, "sound prompts before")
		pause := time.Duration(rapid.IntRange(0, 10).Draw(rt, "pause in s")) * time.Second
		burst := rapid.IntRange(2, 10).Draw(rt, "burst")
		runs, served, all := 0, 0, 0
		synctest.Test(t, func(*testing.T) {
			tracker := New(Options{})
			run := func(parts []string) bool {
				verdict, _ := tracker.CheckParts(parts)
				return verdict == Unproven || verdict == Suspect && tracker.TryParts(parts)
			}
			if before {
				tracker.RecordCompletion("before", sound)
				time.Sleep(pause)
			}
			for i := range burst {
				tracker.RecordBlamedPrompt(fmt.Sprint("burst", i), bad)
			}
			for i := range 20 {
				time.Sleep(time.Second)
				if run(bad) {
					runs++
					tracker.RecordBlamedPrompt(fmt.Sprint("later", i), bad)
				}
				all++
				if run(sound) {
					served++
					tracker.RecordCompletion(fmt.Sprint("sound", i), sound)
				}
			}
		})
		if runs > maxRuns || served < all-1 {
			rt.Fatalf("%d runs with the part at fault, %d of %d sound prompts served", runs, served, all)
		}
	})
}

// Guards against records of which other entries never hear since newer ones fill each message.
func TestGossipReachesAllRecordsOfALongPrompt(t *testing.T) {
	const parts = 5 * maxGossipRecords
	var all []string
	for i := range parts {
		all = append(all, strconv.Itoa(i))
	}
	first, second := New(Options{}), New(Options{})
	first.RecordBlamedPrompt("p1", all)
	first.RecordBlamedPrompt("p2", all)
	for range 2*parts/maxGossipRecords + 1 {
		second.MergeRecords(first.RecentRecords())
	}
	for _, part := range all {
		assert.Equal(t, Blamed, second.Check(partPrefix+part), part)
	}
}

// Guards against one long prompt that takes the place of all other records.
func TestPartsOfALongPromptAreBounded(t *testing.T) {
	tracker := New(Options{MaxRecords: 100})
	tracker.RecordCrash(t.Context(), "p", "model-1")
	var all []string
	for i := range 10_000 {
		all = append(all, strconv.Itoa(i))
	}
	tracker.RecordBlamedPrompt("long", all)
	assert.Equal(t, Suspect, tracker.Check("p"))
	assert.Len(t, tracker.records.items, 1+100/maxPartRecords)
}

// Guards against a check that compares all parts of a long prompt with each other while all requests wait for it.
func TestCheckOfALongBlamedPromptIsQuick(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	tracker := New(Options{Log: log})
	parts := make([]string, DefaultMaxRecords/maxPartRecords)
	for i := range parts {
		parts[i] = strconv.Itoa(i)
	}
	for i := range blameThreshold {
		tracker.RecordBlamedPrompt(strconv.Itoa(i), parts)
	}
	startedAt := time.Now()
	verdict, _ := tracker.CheckParts(parts)
	assert.Less(t, time.Since(startedAt), time.Second)
	assert.Equal(t, Blamed, verdict)
	verdict, _ = tracker.CheckParts(parts[1:])
	assert.Equal(t, Suspect, verdict)
}
