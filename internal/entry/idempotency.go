package entry

import (
	"context"

	"github.com/bilberrylink/bilberrylink/wire"
)

// IdempotencyState is the state of an at-most-once record.
type IdempotencyState string

// States of an at-most-once record.
const (
	IdempotencyAbsent  IdempotencyState = ""
	IdempotencyRefused IdempotencyState = "refused"
	IdempotencyStarted IdempotencyState = "started"
	IdempotencyDone    IdempotencyState = "done"
)

// IdempotencyRecord is the row of one workspace and key.
type IdempotencyRecord struct {
	State       IdempotencyState
	Version     int64
	AttemptID   string
	RequestHash string
	Response    *wire.CallResponse // state done
}

// IdempotencyStore is what an entry needs of the at-most-once records.
type IdempotencyStore interface {
	// Refuse writes refused on the condition that the row still has version expect. It returns the row as it is
	// afterwards: refused if the write won. An error means that the row is unknown.
	Refuse(ctx context.Context, workspace, key string, expect int64, attemptID string) (IdempotencyRecord, error)
	// Lookup returns the row; State is OnceAbsent if there is none.
	Lookup(ctx context.Context, workspace, key string) (IdempotencyRecord, error)
}
