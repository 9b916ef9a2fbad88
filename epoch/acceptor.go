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
	defaultCommitTimeout  = 5 * time.Second        // for the commit, including retries after a lost reply
	defaultConfirmTimeout = 3 * time.Second        // for the confirmation by another node
	commitRetryDelay      = 200 * time.Millisecond // between commit attempts, jittered
	collectInterval       = time.Second            // between rounds that ask which nodes hold the epoch
	collectDuration       = 30 * time.Second       // how long to collect after an acceptance or a status request
	maxAuditDetails       = 200                    // lines of differences or faults stored in an audit row
)

// Cluster gives the acceptor access to the other nodes. peer.Peer implements it.
type Cluster interface {
	// AwaitConfirmation sends the current text to other nodes until one of them reports the epoch or a later one. It
	// returns the context's error if ctx ends first.
	AwaitConfirmation(ctx context.Context, epoch int64) error
	// CollectConfirmations asks other nodes which nodes hold the epoch.
	CollectConfirmations(ctx context.Context, epoch int64)
	// ServingCandidates returns the nodes that may still be serving under the given freshness bound.
	ServingCandidates(bound time.Duration) []membership.ServingCandidate
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

	// UnconditionalCommit omits the version condition of the commit. Only tests set it, to verify that the invariant
	// checks report the lost update.
	UnconditionalCommit bool
	// SkipConfirmation returns without waiting for another node's confirmation. Only tests set it.
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
	inForce *inForceTracker

	mu           sync.Mutex
	inDoubt      map[string]inDoubtSubmission // submissions with an unknown outcome, by ID
	collectUntil time.Time                    // Run collects confirmations until this time
	wakeRun      chan struct{}
}

type inDoubtSubmission struct {
	submission Submission
	hash       string
}

// NewAcceptor returns an acceptor. The caller must also call Run, which resolves submissions with an unknown outcome and
// collects confirmations.
func NewAcceptor(o AcceptorOptions) *Acceptor {
	if o.CommitTimeout <= 0 {
		o.CommitTimeout = defaultCommitTimeout
	}
	if o.ConfirmTimeout <= 0 {
		o.ConfirmTimeout = defaultConfirmTimeout
	}
	if o.Log == nil {
		o.Log = logrus.New()
		o.Log.SetLevel(logrus.PanicLevel)
	}
	return &Acceptor{options: o, inForce: newInForceTracker(), inDoubt: make(map[string]inDoubtSubmission),
		wakeRun: make(chan struct{}, 1)}
}

// Submit validates and commits a text. It returns a *RejectionError of kind FleetInvalid, EpochConflict,
// StoreUnavailable or AcceptanceUnknown; AcceptanceUnknown means that the text may have been accepted.
func (a *Acceptor) Submit(ctx context.Context, sub Submission) (SubmitResult, error) {
	if sub.ID == "" {
		sub.ID = rand.Text()
	}
	current, version, err := a.syncFromTable(ctx)
	if err != nil {
		return SubmitResult{}, a.newRejection(errkind.Wrap(err, errkind.StoreUnavailable, "the table or object store is down"), 0)
	}
	if earlier, ok := a.findEarlierAttempt(ctx, sub, current); ok {
		return a.awaitConfirmation(ctx, sub, earlier)
	}
	next, rejection := a.validate(ctx, sub, current)
	if rejection != nil {
		a.auditRejection(ctx, sub, rejection)
		return SubmitResult{}, rejection
	}
	committed, rejection := a.commit(ctx, sub, next, version)
	if rejection != nil {
		a.auditRejection(ctx, sub, rejection)
		return SubmitResult{}, rejection
	}
	return a.awaitConfirmation(ctx, sub, committed)
}

// syncFromTable reads the row fleet/current and adopts a newer text, so that a submission is checked against the current
// text. It also returns the version of the row.
func (a *Acceptor) syncFromTable(ctx context.Context) (CurrentRecord, int64, error) {
	start := time.Now()
	current, version, err := readCurrentRecord(ctx, a.options.Services.Table)
	if err != nil {
		return current, version, err
	}
	if current.Epoch > a.options.Store.Epoch() {
		snapshot, err := fetchSnapshot(ctx, a.options.Services.Objects, current)
		if err != nil {
			return current, version, err
		}
		a.options.Store.Adopt(snapshot)
	}
	a.options.Store.ObserveTableRead(start, current.Epoch)
	return current, version, nil
}

// findEarlierAttempt returns the epoch and hash of the submission if an earlier attempt to submit it was accepted. The row
// fleet/current shows only the latest submission, so it also reads the audit row of the epoch after the base.
func (a *Acceptor) findEarlierAttempt(ctx context.Context, sub Submission, current CurrentRecord) (CurrentRecord, bool) {
	if current.Submission == sub.ID {
		return current, true
	}
	record, err := a.readAuditRecord(ctx, sub.BaseEpoch+1)
	if err != nil || record.Submission != sub.ID {
		return CurrentRecord{}, false
	}
	return CurrentRecord{Epoch: record.Epoch, Hash: record.Hash, Submission: sub.ID}, true
}

func (a *Acceptor) readAuditRecord(ctx context.Context, epoch int64) (AuditRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	row, err := a.options.Services.Table.Get(ctx, auditKey(epoch))
	if err != nil {
		return AuditRecord{}, err
	}
	var record AuditRecord
	return record, errors.Wrap(json.Unmarshal(row.Value, &record), "audit row")
}

// validate checks a submission against the current text and returns its snapshot for the next epoch.
func (a *Acceptor) validate(ctx context.Context, sub Submission, current CurrentRecord) (*fleet.Snapshot, *RejectionError) {
	if sub.BaseEpoch != current.Epoch {
		return nil, a.newConflict(ctx, sub.BaseEpoch, current.Epoch)
	}
	var old *fleet.Text
	if held := a.options.Store.Snapshot(); held != nil {
		old = held.Text
	}
	report := fleet.Validate(current.Epoch+1, sub.Raw, old)
	if report.Snapshot != nil {
		return report.Snapshot, nil
	}
	rejection := a.newRejection(errkind.New(errkind.FleetInvalid, fmt.Sprintf("the text has %d faults", len(report.Faults))), current.Epoch)
	for _, f := range report.Faults {
		rejection.Details = append(rejection.Details, f.String())
	}
	return nil, rejection
}

func (a *Acceptor) newRejection(err *errkind.Error, epoch int64) *RejectionError {
	return &RejectionError{Cause: err, CurrentEpoch: epoch}
}

// newConflict returns the error of a submission with an outdated base, with the changes since that base as details.
func (a *Acceptor) newConflict(ctx context.Context, base, current int64) *RejectionError {
	rejection := a.newRejection(errkind.New(errkind.EpochConflict,
		fmt.Sprintf("another change came first: epoch is %d, not %d", current, base)), current)
	held, old := a.options.Store.Snapshot(), a.snapshotAt(ctx, base)
	if held != nil && old != nil {
		rejection.Details = fleet.Diff(old.Text, held.Text)
	}
	return rejection
}

// snapshotAt returns the snapshot of an earlier epoch, or nil if it is neither retained nor readable from the store.
func (a *Acceptor) snapshotAt(ctx context.Context, epoch int64) *fleet.Snapshot {
	if s := a.options.Store.SnapshotAt(epoch); s != nil {
		return s
	}
	record, err := a.readAuditRecord(ctx, epoch)
	if err != nil {
		return nil
	}
	s, err := fetchSnapshot(ctx, a.options.Services.Objects, CurrentRecord{Epoch: epoch, Hash: record.Hash})
	if err != nil {
		return nil
	}
	return s
}

// commit stores the text and updates the row fleet/current. After a lost reply it repeats the same conditional
// transaction, which can succeed at most once; if the condition fails, the audit row tells which submission won.
func (a *Acceptor) commit(ctx context.Context, sub Submission, next *fleet.Snapshot,
	version int64) (CurrentRecord, *RejectionError) {
	if err := a.options.Services.Objects.Put(ctx, ObjectName(next.Hash), sub.Raw); err != nil {
		return CurrentRecord{}, a.newRejection(
			errkind.Wrap(err, errkind.StoreUnavailable, "the text could not be stored"), next.Epoch-1)
	}
	committed := CurrentRecord{Epoch: next.Epoch, Hash: next.Hash, Submission: sub.ID}
	writes, err := a.buildTransaction(sub, committed, next, version)
	if err != nil {
		return CurrentRecord{}, a.newRejection(errkind.Wrap(err, errkind.Internal, "audit row"), next.Epoch-1)
	}
	ctx, cancel := context.WithTimeout(ctx, a.options.CommitTimeout)
	defer cancel()
	replyLost := false
	for {
		err := a.tryCommit(ctx, writes)
		switch {
		case err == nil:
			a.options.Store.Adopt(next)
			return committed, nil
		case errors.Is(err, cloud.ErrConditionFailed):
			return a.resolveConflict(ctx, sub, next, replyLost)
		case errors.Is(err, cloud.ErrUnavailable) || errors.Is(err, cloud.ErrRateLimited):
		default:
			replyLost = true
		}
		if timing.Sleep(ctx, timing.Jitter(commitRetryDelay, 0.5)) != nil {
			return CurrentRecord{}, a.commitTimedOut(sub, next, replyLost)
		}
	}
}

func (a *Acceptor) tryCommit(ctx context.Context, writes []cloud.Write) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, err := a.options.Services.Table.Commit(ctx, writes...)
	return err
}

func (a *Acceptor) buildTransaction(sub Submission, committed CurrentRecord, next *fleet.Snapshot,
	version int64) ([]cloud.Write, error) {
	currentValue, err := json.Marshal(committed)
	if err != nil {
		return nil, err
	}
	record := a.newAuditRecord(sub, outcomeAccepted, next.Hash)
	record.Epoch = next.Epoch
	record.Details = auditDetails(a.options.Store.Snapshot(), next)
	auditValue, err := json.Marshal(record)
	if err != nil {
		return nil, err
	}
	writes := []cloud.Write{{Key: CurrentKey, ExpectedVersion: version, Value: currentValue},
		{Key: auditKey(next.Epoch), Value: auditValue}}
	if a.options.UnconditionalCommit {
		writes[0].ExpectedVersion, writes[1].ExpectedVersion = cloud.AnyVersion, cloud.AnyVersion
	}
	return writes, nil
}

func (a *Acceptor) newAuditRecord(sub Submission, outcome, hash string) AuditRecord {
	return AuditRecord{Time: time.Now().UTC(), Node: a.options.Node, Operator: sub.Operator,
		ClaimedOperator: sub.ClaimedOperator, Submission: sub.ID, Outcome: outcome, BaseEpoch: sub.BaseEpoch, Hash: hash}
}

// auditDetails returns the changes between two texts for the audit row. For the first text it returns only item counts,
// since listing every item would take about 200 MB at 11,000 workspaces and the text itself is stored by its hash.
func auditDetails(old, next *fleet.Snapshot) []string {
	if old != nil {
		return truncateDetails(fleet.Diff(old.Text, next.Text))
	}
	t := next.Text
	return []string{fmt.Sprintf("first text: %d services, %d models, %d adapters, %d batches, %d workspaces, %d recalled",
		len(t.Services), len(t.Models), len(t.Adapters), len(t.Batches), len(t.Workspaces), len(t.Recalled))}
}

func truncateDetails(lines []string) []string {
	if len(lines) <= maxAuditDetails {
		return lines
	}
	return append(slices.Clone(lines[:maxAuditDetails]), fmt.Sprintf("and %d more", len(lines)-maxAuditDetails))
}

// resolveConflict distinguishes this submission's own write, whose reply was lost, from another operator's change.
func (a *Acceptor) resolveConflict(ctx context.Context, sub Submission, next *fleet.Snapshot,
	replyLost bool) (CurrentRecord, *RejectionError) {
	for {
		record, err := a.readAuditRecord(ctx, next.Epoch)
		if err == nil && record.Submission == sub.ID {
			a.options.Store.Adopt(next)
			return CurrentRecord{Epoch: next.Epoch, Hash: next.Hash, Submission: sub.ID}, nil
		}
		if err == nil {
			current, _, _ := a.syncFromTable(ctx) // on failure the error only has fewer details
			return CurrentRecord{}, a.newConflict(ctx, sub.BaseEpoch, max(current.Epoch, next.Epoch))
		}
		if timing.Sleep(ctx, timing.Jitter(commitRetryDelay, 0.5)) != nil {
			return CurrentRecord{}, a.commitTimedOut(sub, next, replyLost)
		}
	}
}

// commitTimedOut returns the error of a commit that ran out of time. If no reply was lost, nothing was written; otherwise
// the outcome is unknown, and Run resolves it later.
func (a *Acceptor) commitTimedOut(sub Submission, next *fleet.Snapshot, replyLost bool) *RejectionError {
	if !replyLost {
		return a.newRejection(errkind.New(errkind.StoreUnavailable, "the table is down; nothing was written"), next.Epoch-1)
	}
	a.mu.Lock()
	a.inDoubt[sub.ID] = inDoubtSubmission{submission: sub, hash: next.Hash}
	a.mu.Unlock()
	return a.newRejection(errkind.New(errkind.AcceptanceUnknown, "the write is in doubt; submission "+sub.ID), next.Epoch-1)
}

// awaitConfirmation waits until another node holds the epoch. Without a confirmation the text stays in the table but the
// submission is not reported as accepted, because this node may be partitioned from the others.
func (a *Acceptor) awaitConfirmation(ctx context.Context, sub Submission, committed CurrentRecord) (SubmitResult, error) {
	result := SubmitResult{Epoch: committed.Epoch, Submission: sub.ID}
	if snapshot := a.options.Store.SnapshotAt(committed.Epoch); snapshot != nil {
		result.Warnings = fleet.Warnings(snapshot)
		for _, f := range fleet.Findings(snapshot) {
			result.Warnings = append(result.Warnings, f.String())
		}
		result.Warnings = truncateDetails(result.Warnings)
	}
	a.requestCollection()
	if !a.options.SkipConfirmation {
		ctx, cancel := context.WithTimeout(ctx, a.options.ConfirmTimeout)
		defer cancel()
		if err := a.options.Cluster.AwaitConfirmation(ctx, committed.Epoch); err != nil {
			return SubmitResult{}, a.newRejection(errkind.Wrap(err, errkind.AcceptanceUnknown,
				fmt.Sprintf("epoch %d is written, but no other node has confirmed it yet; submission %s", committed.Epoch, sub.ID)),
				committed.Epoch)
		}
	}
	result.InForce = a.InForce(committed.Epoch)
	return result, nil
}

// auditRejection writes an audit row for a rejected submission. A failed write is only logged; the submission is rejected
// either way.
func (a *Acceptor) auditRejection(ctx context.Context, sub Submission, rejection *RejectionError) {
	record := a.newAuditRecord(sub, string(rejection.Cause.Kind), fleet.Hash(sub.Raw))
	record.Details = truncateDetails(rejection.Details)
	value, err := json.Marshal(record)
	if err == nil {
		key := fmt.Sprintf("%s-refused-%020d-%s-%s", auditKey(rejection.CurrentEpoch), record.Time.UnixNano(), sub.ID, rand.Text()[:8])
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeCallTimeout)
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
		return a.readAuditPage(ctx, after, limit)
	}
	current, _, err := readCurrentRecord(ctx, a.options.Services.Table)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.StoreUnavailable, "the table is down")
	}
	var records []AuditRecord
	after = auditKey(max(current.Epoch-int64(limit), 0))
	if current.Epoch <= int64(limit) {
		after = AuditPrefix
	}
	for range maxAuditPages {
		page, err := a.readAuditPage(ctx, after, limit)
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

func (a *Acceptor) readAuditPage(ctx context.Context, after string, limit int) ([]AuditRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
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
	if _, _, err := a.syncFromTable(ctx); err != nil {
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
		if heldEpoch := a.options.Store.Epoch(); heldEpoch > 0 && a.shouldCollect() && !a.InForce(heldEpoch) {
			a.options.Cluster.CollectConfirmations(ctx, heldEpoch)
		}
		a.InForce(a.options.Store.Epoch())
		a.resolveInDoubt(ctx)
		timer := time.NewTimer(timing.Jitter(collectInterval, 0.5))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-a.wakeRun:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (a *Acceptor) requestCollection() {
	a.mu.Lock()
	a.collectUntil = time.Now().Add(collectDuration)
	a.mu.Unlock()
	timing.Signal(a.wakeRun)
}

func (a *Acceptor) shouldCollect() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.collectUntil)
}

// resolveInDoubt looks up the outcome of submissions in doubt. An outcome is known once the audit row of its epoch exists. The
// accepted text is adopted before the doubt ends: the poller may be in its back-off of several seconds after the outage.
func (a *Acceptor) resolveInDoubt(ctx context.Context) {
	a.mu.Lock()
	pending := make([]inDoubtSubmission, 0, len(a.inDoubt))
	for _, d := range a.inDoubt {
		pending = append(pending, d)
	}
	a.mu.Unlock()
	for _, d := range pending {
		record, err := a.readAuditRecord(ctx, d.submission.BaseEpoch+1)
		if err != nil {
			continue
		}
		if _, _, err := a.syncFromTable(ctx); err != nil {
			a.options.Log.WithError(err).WithField("submission", d.submission.ID).
				Info("the outcome of a submission in doubt is known, the text in force is not yet")
			continue
		}
		outcome := outcomeAccepted
		if record.Submission != d.submission.ID {
			outcome = string(errkind.EpochConflict)
			a.auditRejection(ctx, d.submission,
				a.newRejection(errkind.New(errkind.EpochConflict, "another change came first"), record.Epoch))
		}
		a.options.Log.WithFields(logrus.Fields{"submission": d.submission.ID, "outcome": outcome}).
			Info("resolved the outcome of a submission in doubt")
		a.mu.Lock()
		delete(a.inDoubt, d.submission.ID)
		a.mu.Unlock()
	}
}

// InDoubt returns the sorted IDs of submissions with an unknown outcome.
func (a *Acceptor) InDoubt() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	ids := make([]string, 0, len(a.inDoubt))
	for id := range a.inDoubt {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, strings.Compare)
	return ids
}
