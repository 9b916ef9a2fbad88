package idempotency

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/internal/timing"
	"github.com/bilberrylink/bilberrylink/invariant"
	"github.com/bilberrylink/bilberrylink/ringbuffer"
)

// Defaults of Options.
const (
	DefaultInlineBytes    = 32 << 10 // larger answers go to the object store
	DefaultQueueCapacity  = 1024
	DefaultResolveTimeout = 2 * time.Second
	retryMin              = 50 * time.Millisecond
	retryMax              = 5 * time.Second
	tableCallTimeout      = 2 * time.Second
)

// Options configures a Store. Table and Objects are required; zero values of the others take the defaults.
type Options struct {
	Table          cloud.Table
	Objects        cloud.ObjectStore
	TTL            func() time.Duration // time after its last write at which a row expires
	InlineBytes    int                  // largest body of an answer that is stored in the row
	QueueCapacity  int                  // capacity of the background queue
	ResolveTimeout time.Duration        // how long Begin and Refuse try to find out whether a write in doubt took effect
	Log            *logrus.Logger
	Registerer     prometheus.Registerer

	ignoreCondition bool // tests only: writes have no version condition
}

func (o *Options) applyDefaults() {
	if o.TTL == nil {
		o.TTL = func() time.Duration { return fleet.DefaultIdempotencyTTL }
	}
	if o.InlineBytes == 0 {
		o.InlineBytes = DefaultInlineBytes
	}
	if o.QueueCapacity == 0 {
		o.QueueCapacity = DefaultQueueCapacity
	}
	if o.ResolveTimeout == 0 {
		o.ResolveTimeout = DefaultResolveTimeout
	}
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
	if o.Registerer == nil {
		o.Registerer = prometheus.NewRegistry()
	}
}

// Attempt describes one attempt to execute a call.
type Attempt struct {
	Workspace       string
	Key             string
	RequestHash     string
	ID              string
	Endpoint        string
	ExpectedVersion int64     // version of the row on which the attempt's writes are conditional; 0: the row is absent
	Deadline        time.Time // the attempt does not start after it
}

// row returns the key of the attempt's row.
func (a Attempt) row() string { return RowKey(a.Workspace, a.Key) }

// Claim is the right to call the endpoint once. Begin returns it with the state Started.
type Claim struct {
	attempt Attempt
	nonce   string
	version int64
}

// Version returns the version of the `started` row.
func (c *Claim) Version() int64 { return c.version }

// Store holds the at-most-once records. It is safe for concurrent use. The background queue is processed only while Run
// runs.
type Store struct {
	opts    Options
	pending *ringbuffer.Buffer[task]
	waiting atomic.Int64 // tasks queued or in progress
	open    sync.Map     // row key to *Claim, to assert that a key is not started twice
	writes  prometheus.Counter
	reads   prometheus.Counter
	dropped prometheus.Counter
	backlog prometheus.Gauge
}

// New returns a Store.
func New(opts Options) *Store {
	opts.applyDefaults()
	s := &Store{
		opts:    opts,
		pending: ringbuffer.New[task](opts.QueueCapacity),
		writes:  prometheus.NewCounter(prometheus.CounterOpts{Name: "bilberry_once_table_writes_total", Help: "Table writes for at-most-once records."}),
		reads:   prometheus.NewCounter(prometheus.CounterOpts{Name: "bilberry_once_table_reads_total", Help: "Table reads for at-most-once records."}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{Name: "bilberry_once_dropped_total", Help: "Background writes dropped because the queue was full; their keys answer unknown."}),
		backlog: prometheus.NewGauge(prometheus.GaugeOpts{Name: "bilberry_once_backlog", Help: "Background writes that wait for the table."}),
	}
	opts.Registerer.MustRegister(s.writes, s.reads, s.dropped, s.backlog)
	return s
}

// Begin writes `started`. If the result's state is Started, the caller holds the returned claim and must call the
// endpoint or end the claim. With any other state or an error this attempt must not be executed. Errors: ErrLate,
// ErrStore, ErrInDoubt.
func (s *Store) Begin(ctx context.Context, a Attempt) (Result, *Claim, error) {
	if !time.Now().Before(a.Deadline) {
		return Result{}, nil, ErrDeadlinePassed
	}
	rec := s.record(a, PhaseStarted)
	row, err := s.put(ctx, a.row(), a.ExpectedVersion, rec)
	if err != nil {
		return s.beginFailed(ctx, a, rec, err)
	}
	return s.started(a, rec.Nonce, row)
}

func (s *Store) record(a Attempt, phase Phase) record {
	return record{Phase: phase, Attempt: a.ID, Nonce: newNonce(), RequestHash: a.RequestHash, Endpoint: a.Endpoint, Deadline: a.Deadline}
}

func newNonce() string { return strconv.FormatUint(rand.Uint64(), 36) }

// started registers the claim of an attempt whose `started` write took effect.
func (s *Store) started(a Attempt, nonce string, row cloud.Row) (Result, *Claim, error) {
	c := &Claim{attempt: a, nonce: nonce, version: row.Version}
	previous, loaded := s.open.Swap(a.row(), c)
	twice := loaded && previous.(*Claim).attempt.Deadline.After(time.Now())
	invariant.Check(!twice, "once_started_twice", "key %s started again while an attempt is open", a.row())
	return Result{State: Started, Version: row.Version, AttemptID: a.ID}, c, nil
}

// beginFailed determines the result of Begin after its write returned an error.
func (s *Store) beginFailed(ctx context.Context, a Attempt, rec record, err error) (Result, *Claim, error) {
	if current, ok := conditionFailed(err); ok {
		result, err := s.resolve(ctx, current, a.RequestHash)
		return result, nil, err
	}
	if nothingWritten(err) {
		return Result{}, nil, errors.Wrap(ErrStoreUnavailable, err.Error())
	}
	row, won, err := s.settle(ctx, a, rec)
	if err != nil {
		s.enqueue(task{refuse: &Claim{attempt: a, nonce: rec.Nonce, version: a.ExpectedVersion}})
		return Result{}, nil, errors.Wrap(ErrInDoubt, err.Error())
	}
	if won {
		return s.started(a, rec.Nonce, row)
	}
	result, err := s.resolve(ctx, row, a.RequestHash)
	return result, nil, err
}

// conditionFailed returns the current row if the write failed because the row has another version.
func conditionFailed(err error) (cloud.Row, bool) {
	var condition *cloud.ConditionError
	if errors.As(err, &condition) {
		return condition.Current, true
	}
	return cloud.Row{}, false
}

// nothingWritten reports whether the error proves that the write did not take effect.
func nothingWritten(err error) bool {
	return errors.Is(err, cloud.ErrUnavailable) || errors.Is(err, cloud.ErrRateLimited)
}

// settle finds out whether a write of rec in doubt took effect, and returns the current row. While the row still has the
// expected version, the write may be delayed; it is then repeated on the same condition, so that only one of the two can
// take effect. settle continues after ctx is cancelled, but not beyond the deadline of ctx.
func (s *Store) settle(ctx context.Context, a Attempt, rec record) (row cloud.Row, won bool, err error) {
	limit := time.Now().Add(s.opts.ResolveTimeout)
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(limit) {
		limit = deadline
	}
	if rec.Phase == PhaseStarted && a.Deadline.Before(limit) {
		limit = a.Deadline
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), limit)
	defer cancel()
	for wait := retryMin; ; wait = min(2*wait, retryMax) {
		row, err = s.get(ctx, a.row())
		if err == nil && row.Version == a.ExpectedVersion {
			row, err = s.put(ctx, a.row(), a.ExpectedVersion, rec)
			if current, failed := conditionFailed(err); failed {
				row, err = current, nil
			}
		}
		if err == nil {
			current, decodeErr := decode(row)
			return row, decodeErr == nil && current.Nonce == rec.Nonce, decodeErr
		}
		if timing.Sleep(ctx, timing.Jitter(wait, 0.5)) != nil {
			return cloud.Row{}, false, err
		}
	}
}

func (s *Store) put(ctx context.Context, key string, expect int64, rec record) (cloud.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, tableCallTimeout)
	defer cancel()
	if s.opts.ignoreCondition {
		expect = cloud.AnyVersion
	}
	s.writes.Inc()
	rows, err := s.opts.Table.Commit(ctx, cloud.Write{Key: key, ExpectedVersion: expect, Value: encode(rec), TTL: s.opts.TTL()})
	if err != nil {
		return cloud.Row{}, err
	}
	return rows[0], nil
}

// get returns a row. An absent row has version 0.
func (s *Store) get(ctx context.Context, key string) (cloud.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, tableCallTimeout)
	defer cancel()
	s.reads.Inc()
	row, err := s.opts.Table.Get(ctx, key)
	if errors.Is(err, cloud.ErrNotFound) {
		return cloud.Row{Key: key}, nil
	}
	return row, err
}

// resolve returns the result that a row means for a request. An empty request hash, of the caller or of the row, matches
// any.
func (s *Store) resolve(ctx context.Context, row cloud.Row, requestHash string) (Result, error) {
	if row.Version == 0 {
		return Result{State: Absent}, nil
	}
	rec, err := decode(row)
	if err != nil {
		return Result{}, errors.Wrap(ErrStoreUnavailable, err.Error())
	}
	result := Result{Version: row.Version, AttemptID: rec.Attempt, RequestHash: rec.RequestHash}
	if rec.RequestHash != requestHash && rec.RequestHash != "" && requestHash != "" {
		result.State = Mismatch
		return result, nil
	}
	switch rec.Phase {
	case PhaseRefused:
		result.State = Refused
	case PhaseDone:
		result.State = Replay
		result.Answer, err = s.answer(ctx, rec)
	default:
		result.State = startedState(rec)
	}
	return result, err
}

// startedState returns the state of a key whose row is `started`.
func startedState(rec record) State {
	if time.Now().Before(rec.Deadline) {
		return InProgress
	}
	return Unknown
}

// answer returns the recorded answer of a `done` row.
func (s *Store) answer(ctx context.Context, rec record) (*Answer, error) {
	if rec.Object == "" {
		return rec.Answer, nil
	}
	data, err := s.opts.Objects.Get(ctx, rec.Object)
	if err != nil {
		return nil, errors.Wrap(ErrAnswerUnreadable, err.Error())
	}
	answer := new(Answer)
	if err := json.Unmarshal(data, answer); err != nil {
		return nil, errors.Wrap(ErrAnswerUnreadable, err.Error())
	}
	return answer, nil
}

// Lookup reads the row of a key. Errors: ErrStore, ErrAnswerLost.
func (s *Store) Lookup(ctx context.Context, workspace, key, requestHash string) (Result, error) {
	row, err := s.get(ctx, RowKey(workspace, key))
	if err != nil {
		return Result{}, errors.Wrap(ErrStoreUnavailable, err.Error())
	}
	return s.resolve(ctx, row, requestHash)
}

// Refuse writes `refused`, which prevents the attempt from starting later. notRun reports that the attempt was not
// executed and never will be; the result describes the current row of the key. Errors: ErrStore, ErrInDoubt (the attempt
// may have started or may still start), ErrAnswerLost.
func (s *Store) Refuse(ctx context.Context, a Attempt) (result Result, notRun bool, err error) {
	rec := s.record(a, PhaseRefused)
	row, err := s.put(ctx, a.row(), a.ExpectedVersion, rec)
	if err == nil {
		return Result{State: Refused, Version: row.Version, AttemptID: a.ID}, true, nil
	}
	row, failed := conditionFailed(err)
	if !failed {
		if nothingWritten(err) {
			return Result{}, false, errors.Wrap(ErrStoreUnavailable, err.Error())
		}
		if row, _, err = s.settle(ctx, a, rec); err != nil {
			return Result{}, false, errors.Wrap(ErrInDoubt, err.Error())
		}
	}
	result, err = s.resolve(ctx, row, a.RequestHash)
	return result, neverRuns(a, row), err
}

// neverRuns reports whether a row proves that the attempt was not executed and cannot start any more.
func neverRuns(a Attempt, row cloud.Row) bool {
	if row.Version <= a.ExpectedVersion {
		return row.Version != a.ExpectedVersion // the expected row has expired, so the condition can never hold again
	}
	rec, err := decode(row)
	return err == nil && (rec.Attempt != a.ID || rec.Phase == PhaseRefused)
}
