// Package once keeps at-most-once records in the platform's table.
//
// There is one row per workspace and key, and its version is the fencing token. An agent writes `started` on the
// condition of the version for which the attempt was made, immediately before it calls the endpoint, and `done` with
// the answer afterwards: two writes and no read. An entry that must know that an attempt never runs writes `refused` on
// the same condition. `started` turns into `done`, or into `refused` by the agent that wrote it and did not call; `done`
// is final. So an attempt that does not own the row at a version above its condition has not run and never will.
package idempotency

import (
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/cloud"
)

// Phase is the state written in a row.
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
	Attempt     string    `json:"attempt"`
	Nonce       string    `json:"nonce"` // distinguishes writes of one attempt id, such as by a restarted agent
	RequestHash string    `json:"request_hash"`
	Endpoint    string    `json:"endpoint,omitempty"`
	Deadline    time.Time `json:"deadline,omitzero"`
	Answer      *Answer   `json:"answer,omitempty"`
	Object      string    `json:"object,omitempty"` // name of the stored answer when it is too large for a row
}

// State is the outcome of Begin, Refuse and Lookup.
type State string

// States.
const (
	Started    State = "started"     // Begin only: the caller owns the row and calls the endpoint
	Absent     State = "absent"      // no row
	Refused    State = "refused"     // not executed; a new attempt may expect Result.Version
	InProgress State = "in_progress" // another attempt has started and its deadline has not passed
	Unknown    State = "unknown"     // an attempt started, its deadline has passed, and no outcome is recorded
	Replay     State = "replay"      // Result.Answer is the recorded answer
	Mismatch   State = "mismatch"    // the key was used with another request
)

// Result is what the table says about a key.
type Result struct {
	State       State
	Version     int64 // current version of the row, 0 if absent
	AttemptID   string
	RequestHash string
	Answer      *Answer
}

// Errors of a Store.
var (
	// ErrStoreUnavailable means that the table or object store did not answer. For Begin, nothing runs.
	ErrStoreUnavailable = errors.New("once: store unavailable")
	// ErrInDoubt means that a write was lost and could not be read back. For Begin, nothing runs.
	ErrInDoubt = errors.New("once: write in doubt")
	// ErrDeadlinePassed means that the attempt's deadline has passed; nothing was written.
	ErrDeadlinePassed = errors.New("once: attempt is past its deadline")
	// ErrAnswerUnreadable means that the outcome is recorded, but its answer cannot be read now.
	ErrAnswerUnreadable = errors.New("once: recorded answer is not readable")
)

// RowKey returns the table key of a workspace's idempotency key.
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
