package epoch

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/internal/timing"
	"github.com/bilberrylink/bilberrylink/membership"
)

const (
	defaultDecision = 5 * time.Second        // for the commit, including retries after a lost reply
	defaultConfirm  = 3 * time.Second        // for the confirmation by another node
	retryPause      = 200 * time.Millisecond // between commit attempts, jittered
	collectInterval = time.Second            // between rounds that ask which nodes hold the epoch
	collectFor      = 30 * time.Second       // how long to collect after an acceptance or a status request
	maxAuditDetail  = 200                    // lines of differences or faults stored in an audit row
)

// Cluster gives the acceptor access to the other nodes. peer.Peer implements it.
type Cluster interface {
	// AwaitConfirmation sends the current text to other nodes until one of them reports the epoch or a later one. It returns the
	// context's error if ctx ends first.
	AwaitConfirmation(ctx context.Context, epoch int64) error
	// CollectConfirmations asks other nodes which nodes hold the epoch.
	CollectConfirmations(ctx context.Context, epoch int64)
	// PossiblyServingNodes returns the nodes that may still be serving under the given freshness bound.
	PossiblyServingNodes(bound time.Duration) []membership.ServingCandidate
}

// AcceptorOptions configures an Acceptor.
type AcceptorOptions struct {
	Node           string // name of this entry, for the audit trail
	Services       cloud.Services
	Store          *Store
	Cluster        Cluster
	Log            *logrus.Logger // may be nil
	CommitTimeout  time.Duration  // default 5 s if zero
	ConfirmTimeout time.Duration  // default 3 s if zero

	// UnconditionalCommit commits without the version condition. Only tests set it, to verify that the invariant checks
	// report the lost update.
	UnconditionalCommit bool
	// SkipConfirmation replies without waiting for another node's confirmation. Only tests set it.
	SkipConfirmation bool
}

// Submission is a configuration text that an operator submits.
type Submission struct {
	ID              string // idempotency key that identifies a retry after a lost reply; generated if empty
	Operator        string // name of the verified token, for the audit trail; empty: the token has no name
	ClaimedOperator string // unverified name from the Operator-Name header, for the audit trail
	BaseEpoch       int64  // epoch that the text is based on, from If-Match; 0: no text yet
	Raw             []byte
}

// SubmitResult is the result of a successful submission.
type SubmitResult struct {
	Epoch      int64    `json:"epoch"`
	InForce    bool     `json:"in_force"`
	Submission string   `json:"submission"`
	Warnings   []string `json:"warnings,omitempty"`
}

// RejectionError is the error of a rejected submission. Details lists the faults by line, or what changed since the
// submission's base epoch.
type RejectionError struct {
	Cause        *errkind.Error
	CurrentEpoch int64 // latest epoch known to this entry
	Details      []string
}

func (r *RejectionError) Error() string { return r.Cause.Error() }

// Unwrap returns the cause, which carries the error kind.
func (r *RejectionError) Unwrap() error { return r.Cause }

// AuditRecord is the value of an audit row.
type AuditRecord struct {
	Key             string    `json:"key,omitempty"` // row key, used as the cursor of the next page
	Time            time.Time `json:"time"`
	Node            string    `json:"node"`
	Operator        string    `json:"operator"`         // verified name of the token
	ClaimedOperator string    `json:"remark,omitempty"` // unverified name from the Operator-Name header
	Submission      string    `json:"submission"`
	Outcome         string    `json:"outcome"` // "accepted" or the error kind
	BaseEpoch       int64     `json:"base"`
	Epoch           int64     `json:"epoch,omitempty"`
	Hash            string    `json:"hash"`
	Details         []string  `json:"details,omitempty"`
}

// outcomeAccepted is the AuditRecord.Outcome of an accepted submission.
const outcomeAccepted = "accepted"

// Acceptor validates configuration texts that operators submit to an entry and commits them to the table. It is safe
// for concurrent use.
type Acceptor struct {
	options AcceptorOptions
	force   *forceTracker

	mu       sync.Mutex
	doubts   map[string]doubt // submissions with an unknown outcome, by ID
	collect  time.Time        // Run collects confirmations until this time
	wakeLoop chan struct{}
}

type doubt struct {
	submission Submission
	hash       string
}

// NewAcceptor returns an acceptor. The caller must also call Run, which resolves submissions with an unknown outcome and
// collects confirmations.
func NewAcceptor(o AcceptorOptions) *Acceptor {
	if o.CommitTimeout <= 0 {
		o.CommitTimeout = defaultDecision
	}
	if o.ConfirmTimeout <= 0 {
		o.ConfirmTimeout = defaultConfirm
	}
	if o.Log == nil {
		o.Log = logrus.New()
		o.Log.SetLevel(logrus.PanicLevel)
	}
	return &Acceptor{options: o, force: newForceTracker(), doubts: make(map[string]doubt), wakeLoop: make(chan struct{}, 1)}
}

// Submit validates and commits a text. It returns a *Refusal of kind FleetInvalid, EpochConflict, StoreUnavailable or
// AcceptanceUnknown; AcceptanceUnknown means that the text may have been accepted.
func (a *Acceptor) Submit(ctx context.Context, sub Submission) (SubmitResult, error) {
	if sub.ID == "" {
		sub.ID = rand.Text()
	}
	current, version, err := a.catchUp(ctx)
	if err != nil {
		return SubmitResult{}, a.refuse(errkind.Wrap(err, errkind.StoreUnavailable, "the table or object store is down"), 0)
	}
	if done, ok := a.earlier(ctx, sub, current); ok {
		return a.confirm(ctx, sub, done)
	}
	next, refusal := a.check(ctx, sub, current)
	if refusal != nil {
		a.auditRefusal(ctx, sub, refusal)
		return SubmitResult{}, refusal
	}
	won, refusal := a.commit(ctx, sub, next, version)
	if refusal != nil {
		a.auditRefusal(ctx, sub, refusal)
		return SubmitResult{}, refusal
	}
	return a.confirm(ctx, sub, won)
}

// catchUp reads the row fleet/current and adopts a newer text, so that a submission is checked against the current text.
// It also returns the version of the row.
func (a *Acceptor) catchUp(ctx context.Context) (CurrentRecord, int64, error) {
	start := time.Now()
	current, version, err := readCurrent(ctx, a.options.Services.Table)
	if err != nil {
		return current, version, err
	}
	if current.Epoch > a.options.Store.Epoch() {
		snapshot, err := fetch(ctx, a.options.Services.Objects, current)
		if err != nil {
			return current, version, err
		}
		a.options.Store.Adopt(snapshot)
	}
	a.options.Store.ObserveTableRead(start, current.Epoch)
	return current, version, nil
}

// earlier returns the record of the same submission if an earlier attempt was accepted.
func (a *Acceptor) earlier(ctx context.Context, sub Submission, current CurrentRecord) (CurrentRecord, bool) {
	if current.Submission == sub.ID {
		return current, true
	}
	row, err := a.audit(ctx, sub.BaseEpoch+1)
	if err != nil || row.Submission != sub.ID {
		return CurrentRecord{}, false
	}
	return CurrentRecord{Epoch: row.Epoch, Hash: row.Hash, Submission: sub.ID}, true
}

func (a *Acceptor) audit(ctx context.Context, epoch int64) (AuditRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := a.options.Services.Table.Get(ctx, auditKey(epoch))
	if err != nil {
		return AuditRecord{}, err
	}
	var r AuditRecord
	return r, errors.Wrap(json.Unmarshal(row.Value, &r), "audit row")
}

// check validates a submission against the current text.
func (a *Acceptor) check(ctx context.Context, sub Submission, current CurrentRecord) (*fleet.Snapshot, *RejectionError) {
	if sub.BaseEpoch != current.Epoch {
		return nil, a.conflict(ctx, sub.BaseEpoch, current.Epoch)
	}
	next, faults := fleet.NewSnapshot(current.Epoch+1, sub.Raw)
	if len(faults) == 0 {
		var old *fleet.Text
		if held := a.options.Store.Snapshot(); held != nil {
			old = held.Text
		}
		faults = fleet.CheckRecallChanges(old, next.Text, sub.Raw)
	}
	if len(faults) == 0 {
		return next, nil
	}
	r := a.refuse(errkind.New(errkind.FleetInvalid, fmt.Sprintf("the text has %d faults", len(faults))), current.Epoch)
	for _, f := range faults {
		r.Details = append(r.Details, f.String())
	}
	return nil, r
}

func (a *Acceptor) refuse(err *errkind.Error, epoch int64) *RejectionError {
	return &RejectionError{Cause: err, CurrentEpoch: epoch}
}

// conflict returns the error of a submission with an outdated base, with the changes since that base as details.
func (a *Acceptor) conflict(ctx context.Context, base, current int64) *RejectionError {
	r := a.refuse(errkind.New(errkind.EpochConflict, fmt.Sprintf("another change came first: epoch is %d, not %d", current, base)), current)
	held, old := a.options.Store.Snapshot(), a.snapshotOf(ctx, base)
	if held != nil && old != nil {
		r.Details = fleet.Diff(old.Text, held.Text)
	}
	return r
}

// snapshotOf returns the snapshot of an earlier epoch, or nil if it is neither retained nor readable from the store.
func (a *Acceptor) snapshotOf(ctx context.Context, epoch int64) *fleet.Snapshot {
	if s := a.options.Store.SnapshotAt(epoch); s != nil {
		return s
	}
	row, err := a.audit(ctx, epoch)
	if err != nil {
		return nil
	}
	s, err := fetch(ctx, a.options.Services.Objects, CurrentRecord{Epoch: epoch, Hash: row.Hash})
	if err != nil {
		return nil
	}
	return s
}

// commit stores the text and updates the row fleet/current. After a lost reply it repeats the same conditional
// transaction, which can succeed at most once; if the condition fails, the audit row tells which submission won.
func (a *Acceptor) commit(ctx context.Context, sub Submission, next *fleet.Snapshot, version int64) (CurrentRecord, *RejectionError) {
	if err := a.options.Services.Objects.Put(ctx, ObjectName(next.Hash), sub.Raw); err != nil {
		return CurrentRecord{}, a.refuse(errkind.Wrap(err, errkind.StoreUnavailable, "the text could not be stored"), next.Epoch-1)
	}
	won := CurrentRecord{Epoch: next.Epoch, Hash: next.Hash, Submission: sub.ID}
	writes, err := a.transaction(sub, won, next, version)
	if err != nil {
		return CurrentRecord{}, a.refuse(errkind.Wrap(err, errkind.Internal, "audit row"), next.Epoch-1)
	}
	ctx, cancel := context.WithTimeout(ctx, a.options.CommitTimeout)
	defer cancel()
	inDoubt := false
	for {
		err := a.commitOnce(ctx, writes)
		switch {
		case err == nil:
			a.options.Store.Adopt(next)
			return won, nil
		case errors.Is(err, cloud.ErrConditionFailed):
			return a.afterConflict(ctx, sub, next, inDoubt)
		case errors.Is(err, cloud.ErrUnavailable) || errors.Is(err, cloud.ErrRateLimited):
		default:
			inDoubt = true
		}
		if timing.Sleep(ctx, timing.Jitter(retryPause, 0.5)) != nil {
			return CurrentRecord{}, a.undecided(sub, next, inDoubt)
		}
	}
}

func (a *Acceptor) commitOnce(ctx context.Context, writes []cloud.Write) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := a.options.Services.Table.Commit(ctx, writes...)
	return err
}

func (a *Acceptor) transaction(sub Submission, won CurrentRecord, next *fleet.Snapshot, version int64) ([]cloud.Write, error) {
	value, err := json.Marshal(won)
	if err != nil {
		return nil, err
	}
	record := a.record(sub, outcomeAccepted, next.Hash)
	record.Epoch = next.Epoch
	record.Details = difference(a.options.Store.Snapshot(), next)
	audit, err := json.Marshal(record)
	if err != nil {
		return nil, err
	}
	writes := []cloud.Write{{Key: CurrentKey, ExpectedVersion: version, Value: value}, {Key: auditKey(next.Epoch), Value: audit}}
	if a.options.UnconditionalCommit {
		writes[0].ExpectedVersion, writes[1].ExpectedVersion = cloud.AnyVersion, cloud.AnyVersion
	}
	return writes, nil
}

func (a *Acceptor) record(sub Submission, outcome, hash string) AuditRecord {
	return AuditRecord{Time: time.Now().UTC(), Node: a.options.Node, Operator: sub.Operator, ClaimedOperator: sub.ClaimedOperator, Submission: sub.ID,
		Outcome: outcome, BaseEpoch: sub.BaseEpoch, Hash: hash}
}

// difference returns the changes between two texts for the audit row. For the first text it returns only item counts,
// since listing every item would take about 200 MB at 11,000 workspaces and the text itself is stored by its hash.
func difference(old, next *fleet.Snapshot) []string {
	if old != nil {
		return truncate(fleet.Diff(old.Text, next.Text))
	}
	t := next.Text
	return []string{fmt.Sprintf("first text: %d services, %d models, %d adapters, %d batches, %d workspaces, %d recalled",
		len(t.Services), len(t.Models), len(t.Adapters), len(t.Batches), len(t.Workspaces), len(t.Recalled))}
}

func truncate(lines []string) []string {
	if len(lines) <= maxAuditDetail {
		return lines
	}
	return append(slices.Clone(lines[:maxAuditDetail]), fmt.Sprintf("and %d more", len(lines)-maxAuditDetail))
}

// afterConflict distinguishes this submission's own write, whose reply was lost, from another operator's change.
func (a *Acceptor) afterConflict(ctx context.Context, sub Submission, next *fleet.Snapshot, inDoubt bool) (CurrentRecord, *RejectionError) {
	for {
		row, err := a.audit(ctx, next.Epoch)
		if err == nil && row.Submission == sub.ID {
			a.options.Store.Adopt(next)
			return CurrentRecord{Epoch: next.Epoch, Hash: next.Hash, Submission: sub.ID}, nil
		}
		if err == nil {
			current, _, _ := a.catchUp(ctx) // on failure the error only has fewer details
			return CurrentRecord{}, a.conflict(ctx, sub.BaseEpoch, max(current.Epoch, next.Epoch))
		}
		if timing.Sleep(ctx, timing.Jitter(retryPause, 0.5)) != nil {
			return CurrentRecord{}, a.undecided(sub, next, inDoubt)
		}
	}
}

// undecided returns the error of a commit that ran out of time. If no reply was lost, nothing was written; otherwise the
// outcome is unknown, and Run resolves it later.
func (a *Acceptor) undecided(sub Submission, next *fleet.Snapshot, inDoubt bool) *RejectionError {
	if !inDoubt {
		return a.refuse(errkind.New(errkind.StoreUnavailable, "the table is down; nothing was written"), next.Epoch-1)
	}
	a.mu.Lock()
	a.doubts[sub.ID] = doubt{submission: sub, hash: next.Hash}
	a.mu.Unlock()
	return a.refuse(errkind.New(errkind.AcceptanceUnknown, "the write is in doubt; submission "+sub.ID), next.Epoch-1)
}

// confirm waits until another node holds the epoch. Without a confirmation the text stays in the table but the
// submission is not reported as accepted, because this node may be partitioned from the others.
func (a *Acceptor) confirm(ctx context.Context, sub Submission, won CurrentRecord) (SubmitResult, error) {
	answer := SubmitResult{Epoch: won.Epoch, Submission: sub.ID}
	if snapshot := a.options.Store.SnapshotAt(won.Epoch); snapshot != nil {
		answer.Warnings = fleet.Warnings(snapshot)
	}
	a.wantCollect()
	if !a.options.SkipConfirmation {
		ctx, cancel := context.WithTimeout(ctx, a.options.ConfirmTimeout)
		defer cancel()
		if err := a.options.Cluster.AwaitConfirmation(ctx, won.Epoch); err != nil {
			return SubmitResult{}, a.refuse(errkind.Wrap(err, errkind.AcceptanceUnknown,
				fmt.Sprintf("epoch %d is written, but no other node has confirmed it yet; submission %s", won.Epoch, sub.ID)), won.Epoch)
		}
	}
	answer.InForce = a.InForce(won.Epoch)
	return answer, nil
}

// auditRefusal writes an audit row for a rejected submission. A failed write is only logged; the submission is rejected
// either way.
func (a *Acceptor) auditRefusal(ctx context.Context, sub Submission, r *RejectionError) {
	record := a.record(sub, string(r.Cause.Kind), fleet.Hash(sub.Raw))
	record.Details = truncate(r.Details)
	value, err := json.Marshal(record)
	if err == nil {
		key := fmt.Sprintf("%s-refused-%020d-%s-%s", auditKey(r.CurrentEpoch), record.Time.UnixNano(), sub.ID, rand.Text()[:8])
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		defer cancel()
		_, err = a.options.Services.Table.Commit(ctx, cloud.Write{Key: key, Value: value})
	}
	if err != nil {
		a.options.Log.WithError(err).WithFields(logrus.Fields{"submission": sub.ID, "outcome": record.Outcome}).
			Warn("failed to write the audit row of a rejected submission")
	}
}

// Limits of an audit query.
const (
	MaxAuditLimit = 1000
	maxAuditPages = 20 // bounds the search for the newest records, as one epoch can have any number of rejections
)

// Audit returns up to limit audit records, oldest first: those after the row key after, or the newest ones if after is
// empty. Records are ordered by epoch; rejections follow the epoch at which they were rejected. Errors: InvalidRequest,
// StoreUnavailable.
func (a *Acceptor) Audit(ctx context.Context, after string, limit int) ([]AuditRecord, error) {
	if limit < 1 || limit > MaxAuditLimit || after != "" && !strings.HasPrefix(after, AuditPrefix) {
		return nil, errkind.New(errkind.InvalidRequest, "limit must be between 1 and 1000, and after the key of a record")
	}
	if after != "" {
		return a.auditPage(ctx, after, limit)
	}
	current, _, err := readCurrent(ctx, a.options.Services.Table)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.StoreUnavailable, "the table is down")
	}
	var records []AuditRecord
	after = auditKey(max(current.Epoch-int64(limit), 0))
	if current.Epoch <= int64(limit) {
		after = AuditPrefix
	}
	for range maxAuditPages {
		page, err := a.auditPage(ctx, after, limit)
		if err != nil {
			return nil, err
		}
		records = append(records, page...)
		records = records[max(0, len(records)-limit):]
		if len(page) < limit {
			break
		}
		after = page[len(page)-1].Key
	}
	return records, nil
}

func (a *Acceptor) auditPage(ctx context.Context, after string, limit int) ([]AuditRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := a.options.Services.Table.Scan(ctx, AuditPrefix, after, limit)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.StoreUnavailable, "the table is down")
	}
	records := make([]AuditRecord, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &records[i]); err != nil {
			return nil, errkind.Wrap(err, errkind.Internal, "audit row "+row.Key)
		}
		records[i].Key = row.Key
	}
	return records, nil
}

// CurrentSnapshot returns the current snapshot after trying to update it from the table. Errors: NotReady.
func (a *Acceptor) CurrentSnapshot(ctx context.Context) (*fleet.Snapshot, error) {
	if _, _, err := a.catchUp(ctx); err != nil {
		a.options.Log.WithError(err).Debug("cannot read the current epoch; returning the text in memory")
	}
	if s := a.options.Store.Snapshot(); s != nil {
		return s, nil
	}
	return nil, errkind.New(errkind.NotReady, "no configuration text is known")
}

// Run resolves submissions with an unknown outcome and collects confirmations until ctx ends.
func (a *Acceptor) Run(ctx context.Context) error {
	for {
		if held := a.options.Store.Epoch(); held > 0 && a.collecting() && !a.InForce(held) {
			a.options.Cluster.CollectConfirmations(ctx, held)
		}
		a.InForce(a.options.Store.Epoch())
		a.resolve(ctx)
		timer := time.NewTimer(timing.Jitter(collectInterval, 0.5))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-a.wakeLoop:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (a *Acceptor) wantCollect() {
	a.mu.Lock()
	a.collect = time.Now().Add(collectFor)
	a.mu.Unlock()
	select {
	case a.wakeLoop <- struct{}{}:
	default:
	}
}

func (a *Acceptor) collecting() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.collect)
}

// resolve looks up the outcome of submissions in doubt. An outcome is known once the audit row of its epoch exists.
func (a *Acceptor) resolve(ctx context.Context) {
	a.mu.Lock()
	open := make([]doubt, 0, len(a.doubts))
	for _, d := range a.doubts {
		open = append(open, d)
	}
	a.mu.Unlock()
	for _, d := range open {
		row, err := a.audit(ctx, d.submission.BaseEpoch+1)
		if err != nil {
			continue
		}
		outcome := outcomeAccepted
		if row.Submission != d.submission.ID {
			outcome = string(errkind.EpochConflict)
			a.auditRefusal(ctx, d.submission, a.refuse(errkind.New(errkind.EpochConflict, "another change came first"), row.Epoch))
		}
		a.options.Log.WithFields(logrus.Fields{"submission": d.submission.ID, "outcome": outcome}).Info("resolved the outcome of a submission in doubt")
		a.mu.Lock()
		delete(a.doubts, d.submission.ID)
		a.mu.Unlock()
	}
}

// InDoubt returns the sorted IDs of submissions with an unknown outcome.
func (a *Acceptor) InDoubt() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	ids := make([]string, 0, len(a.doubts))
	for id := range a.doubts {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, strings.Compare)
	return ids
}
