package entry

import (
	"context"

	"github.com/bilberrylink/bilberrylink/wire"
)

// OnceState is the state of an idempotency record.
type OnceState string

// States of an idempotency record.
const (
	OnceAbsent  OnceState = ""
	OnceRefused OnceState = "refused"
	OnceStarted OnceState = "started"
	OnceDone    OnceState = "done"
)

// OnceRecord is the record of one idempotency key of a workspace.
type OnceRecord struct {
	State       OnceState
	Version     int64
	AttemptID   string
	RequestHash string
	Response    *wire.CallResponse // state done
}

// OnceStore is the store of the idempotency records, by which a non-idempotent call runs at most once.
type OnceStore interface {
	// Refuse sets the state refused if the record still has version expect, so that the attempt can no longer start. It
	// returns the record as it is afterwards, with that state or another. An error means that the state is unknown.
	Refuse(ctx context.Context, workspace, key string, expect int64, attemptID string) (OnceRecord, error)
	// Lookup returns the record; its state is OnceAbsent if there is none.
	Lookup(ctx context.Context, workspace, key string) (OnceRecord, error)
}
