package standin

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/internal/timing"
)

// newLimiter returns a limiter of perSecond events whose burst is the events of a tenth of a second, at least one.
func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond/10), 1))
}

type table struct {
	faults   *Faults
	counters *Counters
	reads    *rate.Limiter
	writes   *rate.Limiter
	delay    time.Duration

	mu   sync.Mutex
	rows map[string]cloud.Row
}

func newTable(o Options, f *Faults, c *Counters) *table {
	return &table{faults: f, counters: c, reads: newLimiter(o.TableReadsPerSecond * o.TimeScale),
		writes: newLimiter(o.TableWritesPerSecond * o.TimeScale), delay: o.scaled(o.TableDelay),
		rows: make(map[string]cloud.Row)}
}

// admitCall applies the injected outage, the rate limit and the delay to a call of n rows.
func (t *table) admitCall(ctx context.Context, limit *rate.Limiter, n int) error {
	if t.faults.State().TableDown {
		return cloud.ErrUnavailable
	}
	if !limit.AllowN(time.Now(), min(n, limit.Burst())) {
		return cloud.ErrRateLimited
	}
	return timing.Sleep(ctx, t.delay+milliseconds(t.faults.State().TableDelayMS))
}

// Get implements cloud.Table.
func (t *table) Get(ctx context.Context, key string) (cloud.Row, error) {
	if err := t.admitCall(ctx, t.reads, 1); err != nil {
		return cloud.Row{}, err
	}
	t.counters.countTableCall(key, 1, 0)
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.liveRow(key, time.Now())
	if !ok {
		return cloud.Row{}, cloud.ErrNotFound
	}
	return row, nil
}

// liveRow returns a copy of a row, unless it has expired. An expired row is removed.
func (t *table) liveRow(key string, now time.Time) (cloud.Row, bool) {
	row, ok := t.rows[key]
	if !ok {
		return cloud.Row{}, false
	}
	if !row.Expires.IsZero() && !now.Before(row.Expires) {
		delete(t.rows, key)
		return cloud.Row{}, false
	}
	row.Value = bytes.Clone(row.Value)
	return row, true
}

// Commit implements cloud.Table. If ctx ends during the delay, the commit is reported as in doubt although nothing was
// written, because a real client could not tell.
func (t *table) Commit(ctx context.Context, writes ...cloud.Write) ([]cloud.Row, error) {
	if err := t.admitCall(ctx, t.writes, len(writes)); err != nil {
		if ctx.Err() != nil {
			return nil, errors.Wrap(cloud.ErrInDoubt, err.Error())
		}
		return nil, err
	}
	for _, w := range writes {
		t.counters.countTableCall(w.Key, 0, 1)
	}
	rows, err := t.commit(writes)
	if err == nil && t.faults.loseAnswer() {
		return nil, cloud.ErrInDoubt
	}
	return rows, err
}

func (t *table) commit(writes []cloud.Write) ([]cloud.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, w := range writes {
		row, _ := t.liveRow(w.Key, now)
		if w.ExpectedVersion != cloud.AnyVersion && w.ExpectedVersion != row.Version {
			row.Key = w.Key
			return nil, &cloud.ConditionError{Current: row}
		}
	}
	rows := make([]cloud.Row, 0, len(writes))
	for _, w := range writes {
		rows = append(rows, t.writeRow(w, now))
	}
	return rows, nil
}

func (t *table) writeRow(w cloud.Write, now time.Time) cloud.Row {
	row := cloud.Row{Key: w.Key, Version: t.rows[w.Key].Version + 1, Value: bytes.Clone(w.Value)}
	if w.Delete {
		delete(t.rows, w.Key)
		return cloud.Row{Key: w.Key}
	}
	if w.TTL > 0 {
		row.Expires = now.Add(w.TTL)
	}
	t.rows[w.Key] = row
	row.Value = bytes.Clone(w.Value)
	return row
}

// Scan implements cloud.Table.
func (t *table) Scan(ctx context.Context, prefix, after string, limit int) ([]cloud.Row, error) {
	if err := t.admitCall(ctx, t.reads, 1); err != nil {
		return nil, err
	}
	t.counters.countTableCall(prefix, 1, 0)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	rows := []cloud.Row{}
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		if len(rows) == limit {
			break
		}
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if row, ok := t.liveRow(key, now); ok {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

type objectStore struct {
	faults *Faults

	mu      sync.Mutex
	objects map[string][]byte
}

// Put implements cloud.ObjectStore.
func (s *objectStore) Put(ctx context.Context, name string, data []byte) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if s.faults.State().ObjectsDown {
		return cloud.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.objects[name]; ok && !bytes.Equal(old, data) {
		return errors.Errorf("object %s exists with other data", name)
	}
	s.objects[name] = bytes.Clone(data)
	return nil
}

// Get implements cloud.ObjectStore.
func (s *objectStore) Get(ctx context.Context, name string) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if s.faults.State().ObjectsDown {
		return nil, cloud.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[name]
	if !ok {
		return nil, cloud.ErrNotFound
	}
	return bytes.Clone(data), nil
}

type weightStore struct {
	faults   *Faults
	counters *Counters
	limit    *rate.Limiter

	mu      sync.Mutex
	issued  int
	tickets map[string]string // ticket to weight name, until redeemed
}

// IssueTicket implements cloud.WeightStore.
func (s *weightStore) IssueTicket(ctx context.Context, name string) (string, error) {
	if err := ctx.Err(); err != nil {
		return "", err
	}
	if s.faults.State().WeightsDown {
		return "", cloud.ErrUnavailable
	}
	if name == "" {
		return "", cloud.ErrNotFound
	}
	allowed := s.limit.Allow()
	s.counters.countTicket(allowed)
	if !allowed {
		return "", cloud.ErrRateLimited
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.issued++
	ticket := fmt.Sprintf("ticket-%d", s.issued)
	s.tickets[ticket] = name
	return ticket, nil
}

// redeem consumes a ticket and reports whether it was valid for name. A ticket loads one set of weights once.
func (s *weightStore) redeem(name, ticket string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ticket == "" || s.tickets[ticket] != name {
		return false
	}
	delete(s.tickets, ticket)
	return true
}

// vmListSnapshot is the content of the list after a change.
type vmListSnapshot struct {
	takenAt time.Time
	vms     []cloud.VM
}

type vmList struct {
	faults *Faults

	mu      sync.Mutex
	vms     map[string]cloud.VM
	history []vmListSnapshot // oldest first; before the first snapshot the list is empty
}

// maxVMSnapshots bounds the snapshots that are retained to emulate the lag of the list.
const maxVMSnapshots = 1024

// Set adds or replaces a VM.
func (l *vmList) Set(vm cloud.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms[vm.Name] = vm
	l.recordSnapshot(l.faults.State().VMLeaving)
}

// Remove drops a VM.
func (l *vmList) Remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.vms, name)
	l.recordSnapshot(l.faults.State().VMLeaving)
}

// recordLeaving records a change of the VMs that are marked as leaving.
func (l *vmList) recordLeaving(before, after FaultState) {
	if slices.Equal(before.VMLeaving, after.VMLeaving) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordSnapshot(after.VMLeaving)
}

// recordSnapshot appends the current list to the history. The caller holds l.mu.
func (l *vmList) recordSnapshot(leaving []string) {
	vms := make([]cloud.VM, 0, len(l.vms))
	for _, name := range slices.Sorted(maps.Keys(l.vms)) {
		vm := l.vms[name]
		if slices.Contains(leaving, name) {
			vm.State = cloud.VMLeaving
		}
		vms = append(vms, vm)
	}
	l.history = append(l.history, vmListSnapshot{takenAt: time.Now(), vms: vms})
	if len(l.history) > maxVMSnapshots {
		l.history = slices.Delete(l.history, 0, len(l.history)-maxVMSnapshots)
	}
}

// List implements cloud.VMList.
func (l *vmList) List(ctx context.Context) ([]cloud.VM, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	asOf := time.Now().Add(-milliseconds(l.faults.State().VMListLagMS))
	l.mu.Lock()
	defer l.mu.Unlock()
	var vms []cloud.VM
	for _, change := range l.history {
		if change.takenAt.After(asOf) {
			break
		}
		vms = change.vms
	}
	return slices.Clone(vms), nil
}
