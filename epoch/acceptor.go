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
	defaultDecision = 5 * time.Second        // time to learn the outcome of a write whose answer was lost
	defaultConfirm  = 3 * time.Second        // time for another node to confirm the text
	retryPause      = 200 * time.Millisecond // between attempts to learn an outcome, jittered
	collectInterval = time.Second            // between rounds that ask which nodes hold the epoch
	collectFor      = 30 * time.Second       // after an acceptance or a status request
	maxAuditDetail  = 200                    // lines of differences or faults kept in an audit row
)

// Cluster is what the acceptor needs of the exchange between nodes. peer.Peer implements it.
type Cluster interface {
	// AwaitConfirmation sends the current text to other nodes until one confirms the epoch. Errors: the context's error.
	AwaitConfirmation(ctx context.Context, epoch int64) error
	// CollectConfirmations asks other nodes which nodes hold an epoch.
	CollectConfirmations(ctx context.Context, epoch int64)
	// PossiblyServingNodes returns the nodes that may be serving, given the freshness bound.
	PossiblyServingNodes(bound time.Duration) []membership.ServingCandidate
}

// AcceptorOptions configure an Acceptor.
type AcceptorOptions struct {
	Node           string // name of the accepting entry, for the audit trail
	Services       cloud.Services
	Store          *Store
	Cluster        Cluster
	Log            *logrus.Logger // may be nil
	CommitTimeout  time.Duration  // 0: 5 s
	ConfirmTimeout time.Duration  // 0: 3 s

	// UnconditionalCommit drops the condition of the commit. Only tests set it, to show that the checks report it.
	UnconditionalCommit bool
	// SkipConfirmation answers without another node's confirmation. Only tests set it.
	SkipConfirmation bool
}

// Submission is one text that an operator wants to be accepted.
type Submission struct {
	ID              string // resolves lost answers; empty: chosen by the acceptor
	Operator        string // name of the verified token, for the audit trail; empty: the token has no name
	ClaimedOperator string // unverified name that the operator gave, for the audit trail
	BaseEpoch       int64  // epoch of If-Match; 0: no text yet
	Raw             []byte
}

// SubmitResult is the answer to an accepted submission.
type SubmitResult struct {
	Epoch      int64    `json:"epoch"`
	InForce    bool     `json:"in_force"`
	Submission string   `json:"submission"`
	Warnings   []string `json:"warnings,omitempty"`
}

// RejectionError is an error with details, such as faults by line or the differences that another change made.
type RejectionError struct {
	Cause        *errkind.Error
	CurrentEpoch int64 // current epoch as far as known
	Details      []string
}

// Error implements the error interface.
func (r *RejectionError) Error() string { return r.Cause.Error() }

// Unwrap returns the error with its kind.
func (r *RejectionError) Unwrap() error { return r.Cause }

// AuditRecord is the value of an audit row.
type AuditRecord struct {
	Key             string    `json:"key,omitempty"` // of the row, to ask for the records after it
	Time            time.Time `json:"time"`
	Node            string    `json:"node"`
	Operator        string    `json:"operator"`         // name of the token, verified
	ClaimedOperator string    `json:"remark,omitempty"` // Operator-Name header, unverified
	Submission      string    `json:"submission"`
	Outcome         string    `json:"outcome"` // accepted, or the error kind
	BaseEpoch       int64     `json:"base"`
	Epoch           int64     `json:"epoch,omitempty"`
	Hash            string    `json:"hash"`
	Details         []string  `json:"details,omitempty"`
}

// outcomeAccepted is the outcome of an accepted submission.
const outcomeAccepted = "accepted"

// Acceptor accepts texts at an entry. It is safe for concurrent use.
type Acceptor struct {
	options AcceptorOptions
	force   *forceTracker

	mu       sync.Mutex
	doubts   map[string]doubt // submissions whose outcome is not known
	collect  time.Time        // until when to collect
	wakeLoop chan struct{}
}

type doubt struct {
	submission Submission
	hash       string
}

// NewAcceptor returns an acceptor. Run must run for it to resolve doubts and to collect confirmations.
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

// Submit validates and commits a text. Errors are *Refusal of kind FleetInvalid, EpochConflict, StoreUnavailable or
// AcceptanceUnknown; the last means that the text may have been accepted.
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

// catchUp reads the current row and adopts its text, so that the submission is checked against it.
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

// earlier returns the outcome of the same submission if it was accepted before.
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

// conflict names what changed between the submission's base and the current text.
func (a *Acceptor) conflict(ctx context.Context, base, current int64) *RejectionError {
	r := a.refuse(errkind.New(errkind.EpochConflict, fmt.Sprintf("another change came first: epoch is %d, not %d", current, base)), current)
	held, old := a.options.Store.Snapshot(), a.snapshotOf(ctx, base)
	if held != nil && old != nil {
		r.Details = fleet.Diff(old.Text, held.Text)
	}
	return r
}

// snapshotOf returns the snapshot of an earlier epoch, or nil if it cannot be had.
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

// commit stores the text and advances the row. A lost answer is resolved by sending the same conditional transaction
// again: it succeeds at most once, and a failed condition shows the submission that won.
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

// difference returns what a text changes, for its audit row. The first text is only counted: it is stored by its hash, and
// listing all of it takes some 200 MB at 11,000 workspaces.
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

// afterConflict decides between an own write whose answer was lost and another operator's change.
func (a *Acceptor) afterConflict(ctx context.Context, sub Submission, next *fleet.Snapshot, inDoubt bool) (CurrentRecord, *RejectionError) {
	for {
		row, err := a.audit(ctx, next.Epoch)
		if err == nil && row.Submission == sub.ID {
			a.options.Store.Adopt(next)
			return CurrentRecord{Epoch: next.Epoch, Hash: next.Hash, Submission: sub.ID}, nil
		}
		if err == nil {
			current, _, _ := a.catchUp(ctx) // a failure only costs the details of the answer
			return CurrentRecord{}, a.conflict(ctx, sub.BaseEpoch, max(current.Epoch, next.Epoch))
		}
		if timing.Sleep(ctx, timing.Jitter(retryPause, 0.5)) != nil {
			return CurrentRecord{}, a.undecided(sub, next, inDoubt)
		}
	}
}

// undecided answers when time is up. Without a lost answer nothing was written; with one the outcome is open.
func (a *Acceptor) undecided(sub Submission, next *fleet.Snapshot, inDoubt bool) *RejectionError {
	if !inDoubt {
		return a.refuse(errkind.New(errkind.StoreUnavailable, "the table is down; nothing was written"), next.Epoch-1)
	}
	a.mu.Lock()
	a.doubts[sub.ID] = doubt{submission: sub, hash: next.Hash}
	a.mu.Unlock()
	return a.refuse(errkind.New(errkind.AcceptanceUnknown, "the write is in doubt; submission "+sub.ID), next.Epoch-1)
}

// confirm waits until another node holds the epoch. A text that no other node confirmed stays in the table, but its
// acceptance is not answered: this node may be cut off.
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

// auditRefusal writes an audit row for a submission that was not accepted. A failure is logged: the refusal stands.
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
			Warn("audit row of a refused submission not written")
	}
}

// Limits of one answer of the audit trail.
const (
	MaxAuditLimit = 1000
	maxAuditPages = 20 // pages read for the newest records: refusals of one epoch are not bounded
)

// Audit returns up to limit audit records, oldest first: those after a key, or the newest ones if after is empty. The
// order is by epoch; refusals follow the epoch at which they were refused. Errors: InvalidRequest, StoreUnavailable.
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

// CurrentSnapshot returns the current snapshot, read from the table if possible. Errors: NotReady.
func (a *Acceptor) CurrentSnapshot(ctx context.Context) (*fleet.Snapshot, error) {
	if _, _, err := a.catchUp(ctx); err != nil {
		a.options.Log.WithError(err).Debug("current text answered from memory")
	}
	if s := a.options.Store.Snapshot(); s != nil {
		return s, nil
	}
	return nil, errkind.New(errkind.NotReady, "no configuration text is known")
}

// Run resolves doubts and collects confirmations until ctx ends.
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

// resolve reads back the outcome of submissions in doubt. One is settled once the audit row of its epoch exists.
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
		a.options.Log.WithFields(logrus.Fields{"submission": d.submission.ID, "outcome": outcome}).Info("submission in doubt resolved")
		a.mu.Lock()
		delete(a.doubts, d.submission.ID)
		a.mu.Unlock()
	}
}

// InDoubt returns the submissions whose outcome is not known, in order.
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
