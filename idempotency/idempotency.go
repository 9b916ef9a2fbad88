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
	DefaultQueueCapacity  = 1024     // background writes
	DefaultResolveTimeout = 2 * time.Second
	minRetryDelay         = 50 * time.Millisecond
	maxRetryDelay         = 5 * time.Second
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

// rowKey returns the key of the attempt's row.
func (a Attempt) rowKey() string { return RowKey(a.Workspace, a.Key) }

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
	opts         Options
	queue        *ringbuffer.Buffer[backgroundWrite]
	pendingCount atomic.Int64 // background writes queued or in progress
	openClaims   sync.Map     // row key to *Claim, to assert that a key is not started twice
	tableWrites  prometheus.Counter
	tableReads   prometheus.Counter
	dropped      prometheus.Counter
	backlog      prometheus.Gauge
}

// New returns a Store.
func New(opts Options) *Store {
	opts.applyDefaults()
	s := &Store{
		opts:        opts,
		queue:       ringbuffer.New[backgroundWrite](opts.QueueCapacity),
		tableWrites: prometheus.NewCounter(prometheus.CounterOpts{Name: "bilberry_once_table_writes_total", Help: "Table writes for at-most-once records."}),
		tableReads:  prometheus.NewCounter(prometheus.CounterOpts{Name: "bilberry_once_table_reads_total", Help: "Table reads for at-most-once records."}),
		dropped:     prometheus.NewCounter(prometheus.CounterOpts{Name: "bilberry_once_dropped_total", Help: "Background writes dropped because the queue was full; the outcome of their calls stays unknown."}),
		backlog:     prometheus.NewGauge(prometheus.GaugeOpts{Name: "bilberry_once_backlog", Help: "Background writes that wait for the table."}),
	}
	opts.Registerer.MustRegister(s.tableWrites, s.tableReads, s.dropped, s.backlog)
	return s
}

// Begin writes `started`. If the result's state is Started, the caller holds the returned claim and must call the
// endpoint or end the claim. With any other state or an error this attempt must not be executed. Errors:
// ErrDeadlinePassed, ErrStoreUnavailable, ErrInDoubt.
func (s *Store) Begin(ctx context.Context, a Attempt) (Result, *Claim, error) {
	if !time.Now().Before(a.Deadline) {
		return Result{}, nil, ErrDeadlinePassed
	}
	rec := s.newRecord(a, PhaseStarted)
	row, err := s.putRow(ctx, a.rowKey(), a.ExpectedVersion, rec)
	if err != nil {
		return s.resolveFailedBegin(ctx, a, rec, err)
	}
	return s.newClaim(a, rec.Nonce, row)
}

func (s *Store) newRecord(a Attempt, phase Phase) record {
	return record{Phase: phase, AttemptID: a.ID, Nonce: newNonce(), RequestHash: a.RequestHash, Endpoint: a.Endpoint,
		Deadline: a.Deadline}
}

func newNonce() string { return strconv.FormatUint(rand.Uint64(), 36) }

// newClaim registers the claim of an attempt whose `started` write took effect.
func (s *Store) newClaim(a Attempt, nonce string, row cloud.Row) (Result, *Claim, error) {
	c := &Claim{attempt: a, nonce: nonce, version: row.Version}
	previous, found := s.openClaims.Swap(a.rowKey(), c)
	startedTwice := found && previous.(*Claim).attempt.Deadline.After(time.Now())
	invariant.Check(!startedTwice, "once_started_twice", "key %s started again while an attempt is open", a.rowKey())
	return Result{State: Started, Version: row.Version, AttemptID: a.ID}, c, nil
}

// resolveFailedBegin determines the result of Begin after its write returned an error.
func (s *Store) resolveFailedBegin(ctx context.Context, a Attempt, rec record, err error) (Result, *Claim, error) {
	if current, ok := conditionFailed(err); ok {
		result, err := s.resultOf(ctx, current, a.RequestHash)
		return result, nil, err
	}
	if nothingWritten(err) {
		return Result{}, nil, errors.Wrap(ErrStoreUnavailable, err.Error())
	}
	row, tookEffect, err := s.resolveInDoubt(ctx, a, rec)
	if err != nil {
		s.enqueue(backgroundWrite{refuseClaim: &Claim{attempt: a, nonce: rec.Nonce, version: a.ExpectedVersion}})
		return Result{}, nil, errors.Wrap(ErrInDoubt, err.Error())
	}
	if tookEffect {
		return s.newClaim(a, rec.Nonce, row)
	}
	result, err := s.resultOf(ctx, row, a.RequestHash)
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

// resolveInDoubt finds out whether a write of rec in doubt took effect, and returns the current row. While the row still
// has the expected version, the write may be delayed; it is then repeated on the same condition, so that only one of the
// two can take effect. resolveInDoubt continues after ctx is cancelled, but not beyond the deadline of ctx.
func (s *Store) resolveInDoubt(ctx context.Context, a Attempt, rec record) (row cloud.Row, tookEffect bool, err error) {
	deadline := time.Now().Add(s.opts.ResolveTimeout)
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(deadline) {
		deadline = ctxDeadline
	}
	if rec.Phase == PhaseStarted && a.Deadline.Before(deadline) {
		deadline = a.Deadline
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		row, err = s.getRow(ctx, a.rowKey())
		if err == nil && row.Version == a.ExpectedVersion {
			row, err = s.putRow(ctx, a.rowKey(), a.ExpectedVersion, rec)
			if current, failed := conditionFailed(err); failed {
				row, err = current, nil
			}
		}
		if err == nil {
			current, decodeErr := decode(row)
			return row, decodeErr == nil && current.Nonce == rec.Nonce, decodeErr
		}
		if timing.Sleep(ctx, timing.Jitter(delay, 0.5)) != nil {
			return cloud.Row{}, false, err
		}
	}
}

// putRow writes a record on the condition that the row has the expected version.
func (s *Store) putRow(ctx context.Context, key string, expect int64, rec record) (cloud.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, tableCallTimeout)
	defer cancel()
	if s.opts.ignoreCondition {
		expect = cloud.AnyVersion
	}
	s.tableWrites.Inc()
	rows, err := s.opts.Table.Commit(ctx, cloud.Write{Key: key, ExpectedVersion: expect, Value: encode(rec), TTL: s.opts.TTL()})
	if err != nil {
		return cloud.Row{}, err
	}
	return rows[0], nil
}

// getRow returns a row. An absent row has version 0.
func (s *Store) getRow(ctx context.Context, key string) (cloud.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, tableCallTimeout)
	defer cancel()
	s.tableReads.Inc()
	row, err := s.opts.Table.Get(ctx, key)
	if errors.Is(err, cloud.ErrNotFound) {
		return cloud.Row{Key: key}, nil
	}
	return row, err
}

// resultOf returns the result that a row means for a request. An empty request hash, of the caller or of the row, matches
// any.
func (s *Store) resultOf(ctx context.Context, row cloud.Row, requestHash string) (Result, error) {
	if row.Version == 0 {
		return Result{State: Absent}, nil
	}
	rec, err := decode(row)
	if err != nil {
		return Result{}, errors.Wrap(ErrStoreUnavailable, err.Error())
	}
	result := Result{Version: row.Version, AttemptID: rec.AttemptID, RequestHash: rec.RequestHash}
	if rec.RequestHash != requestHash && rec.RequestHash != "" && requestHash != "" {
		result.State = Mismatch
		return result, nil
	}
	switch rec.Phase {
	case PhaseRefused:
		result.State = Refused
	case PhaseDone:
		result.State = Replay
		result.Answer, err = s.loadAnswer(ctx, rec)
	default:
		result.State = stateOfStarted(rec)
	}
	return result, err
}

// stateOfStarted returns the state of a key whose row is `started`.
func stateOfStarted(rec record) State {
	if time.Now().Before(rec.Deadline) {
		return InProgress
	}
	return Unknown
}

// loadAnswer returns the recorded answer of a `done` row.
func (s *Store) loadAnswer(ctx context.Context, rec record) (*Answer, error) {
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

// Lookup reads the row of a key. Errors: ErrStoreUnavailable, ErrAnswerUnreadable.
func (s *Store) Lookup(ctx context.Context, workspace, key, requestHash string) (Result, error) {
	row, err := s.getRow(ctx, RowKey(workspace, key))
	if err != nil {
		return Result{}, errors.Wrap(ErrStoreUnavailable, err.Error())
	}
	return s.resultOf(ctx, row, requestHash)
}

// Refuse writes `refused`, which prevents the attempt from starting later. notRun reports that the attempt was not
// executed and never will be; the result describes the current row of the key. Errors: ErrStoreUnavailable, ErrInDoubt
// (the attempt may have started or may still start), ErrAnswerUnreadable.
func (s *Store) Refuse(ctx context.Context, a Attempt) (result Result, notRun bool, err error) {
	rec := s.newRecord(a, PhaseRefused)
	row, err := s.putRow(ctx, a.rowKey(), a.ExpectedVersion, rec)
	if err == nil {
		return Result{State: Refused, Version: row.Version, AttemptID: a.ID}, true, nil
	}
	row, failed := conditionFailed(err)
	if !failed {
		if nothingWritten(err) {
			return Result{}, false, errors.Wrap(ErrStoreUnavailable, err.Error())
		}
		if row, _, err = s.resolveInDoubt(ctx, a, rec); err != nil {
			return Result{}, false, errors.Wrap(ErrInDoubt, err.Error())
		}
	}
	result, err = s.resultOf(ctx, row, a.RequestHash)
	return result, provesNotRun(a, row), err
}

// provesNotRun reports whether a row proves that the attempt was not executed and cannot start any more.
func provesNotRun(a Attempt, row cloud.Row) bool {
	if row.Version <= a.ExpectedVersion {
		return row.Version != a.ExpectedVersion // the expected row has expired, so the condition can never hold again
	}
	rec, err := decode(row)
	return err == nil && (rec.AttemptID != a.ID || rec.Phase == PhaseRefused)
}
