package entry

import (
	"context"

	"github.com/bilberrylink/bilberrylink/wire"
)

// OnceState is the state of an at-most-once record.
type OnceState string

// States of an at-most-once record.
const (
	OnceAbsent  OnceState = ""
	OnceRefused OnceState = "refused"
	OnceStarted OnceState = "started"
	OnceDone    OnceState = "done"
)

// OnceRecord is the row of one workspace and key.
type OnceRecord struct {
	State       OnceState
	Version     int64
	AttemptID   string
	RequestHash string
	Response    *wire.CallResponse // state done
}

// OnceStore is what an entry needs of the at-most-once records.
type OnceStore interface {
	// Refuse writes refused on the condition that the row still has version expect. It returns the row as it is
	// afterwards: refused if the write won. An error means that the row is unknown.
	Refuse(ctx context.Context, workspace, key string, expect int64, attemptID string) (OnceRecord, error)
	// Lookup returns the row; State is OnceAbsent if there is none.
	Lookup(ctx context.Context, workspace, key string) (OnceRecord, error)
}
