// Package idempotency keeps records in the platform's table that make calls with an idempotency key execute at most once.
//
// There is one row per workspace and key; its version serves as the fencing token. An attempt expects a version of the
// row. Immediately before it calls the endpoint, the agent writes `started` on the condition that the row has this
// version; afterwards it writes `done` with the answer. That is two writes and no read. An entry that must be sure that
// an attempt never runs writes `refused` on the same condition. `started` changes to `done`, or to `refused` if the agent
// that wrote it did not call the endpoint; `done` is final. Hence an attempt has not run and never will if the row has a
// version above the expected one and is `refused` or belongs to another attempt.
package idempotency

import (
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/cloud"
)

// Phase is the state of a call as recorded in a row.
type Phase string

// Phases of a row.
const (
	PhaseStarted Phase = "started"
	PhaseDone    Phase = "done"
	PhaseRefused Phase = "refused"
)

// Answer is the recorded answer of a call.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// record is the value of a row.
type record struct {
	Phase       Phase     `json:"phase"`
	AttemptID   string    `json:"attempt"`
	Nonce       string    `json:"nonce"` // distinguishes writes with the same attempt ID, for example by a restarted agent
	RequestHash string    `json:"request_hash"`
	Endpoint    string    `json:"endpoint,omitempty"`
	Deadline    time.Time `json:"deadline,omitzero"`
	Answer      *Answer   `json:"answer,omitempty"`
	Object      string    `json:"object,omitempty"` // name of the object that holds an answer too large for the row
}

// State is the state of a key as returned by Begin, Refuse and Lookup.
type State string

// States of a key.
const (
	Started    State = "started"     // returned by Begin only: the caller holds a claim and calls the endpoint
	Absent     State = "absent"      // there is no row
	Refused    State = "refused"     // not executed; a new attempt may expect Result.Version
	InProgress State = "in_progress" // another attempt has started and its deadline has not passed
	Unknown    State = "unknown"     // an attempt started, its deadline has passed, and no outcome is recorded
	Replay     State = "replay"      // Result.Answer is the recorded answer
	Mismatch   State = "mismatch"    // the key was used with another request
)

// Result describes the row of a key.
type Result struct {
	State       State
	Version     int64 // current version of the row, 0 if absent
	AttemptID   string
	RequestHash string
	Answer      *Answer
}

// Errors of a Store.
var (
	// ErrStoreUnavailable means that the table or object store is unavailable. After Begin, nothing runs.
	ErrStoreUnavailable = errors.New("idempotency: store unavailable")
	// ErrInDoubt means that a write may or may not have taken effect. After Begin, nothing runs.
	ErrInDoubt = errors.New("idempotency: write in doubt")
	// ErrDeadlinePassed means that the attempt's deadline has passed; nothing was written.
	ErrDeadlinePassed = errors.New("idempotency: attempt is past its deadline")
	// ErrAnswerUnreadable means that the outcome is recorded but its answer cannot be read.
	ErrAnswerUnreadable = errors.New("idempotency: recorded answer is not readable")
)

// RowKey returns the key of the table row for an idempotency key of a workspace.
func RowKey(workspace, key string) string {
	return "once/" + url.PathEscape(workspace) + "/" + url.PathEscape(key)
}

func decode(row cloud.Row) (record, error) {
	var rec record
	err := json.Unmarshal(row.Value, &rec)
	return rec, errors.Wrapf(err, "decode row %s", row.Key)
}

func encode(rec record) []byte {
	value, err := json.Marshal(rec)
	if err != nil {
		panic(err) // record holds only types that always marshal
	}
	return value
}
