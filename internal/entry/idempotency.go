package entry

import (
	"context"

	"github.com/bilberrylink/bilberrylink/wire"
)

// IdempotencyState is the state of an idempotency record.
type IdempotencyState string

// States of an idempotency record.
const (
	IdempotencyAbsent  IdempotencyState = ""
	IdempotencyRefused IdempotencyState = "refused"
	IdempotencyStarted IdempotencyState = "started"
	IdempotencyDone    IdempotencyState = "done"
)

// IdempotencyRecord is the record of one idempotency key of a workspace.
type IdempotencyRecord struct {
	State       IdempotencyState
	Version     int64
	AttemptID   string
	RequestHash string
	Response    *wire.CallResponse // state done
}

// IdempotencyStore is the store of the idempotency records, by which a non-idempotent call runs at most once.
type IdempotencyStore interface {
	// Refuse sets the state refused if the record still has expectedVersion, so that the attempt can no longer start. It
	// returns the record as it is afterwards, with that state or another. An error means that the state is unknown.
	Refuse(ctx context.Context, workspace, key string, expectedVersion int64, attemptID string) (IdempotencyRecord, error)
	// Lookup returns the record; its state is IdempotencyAbsent if there is none.
	Lookup(ctx context.Context, workspace, key string) (IdempotencyRecord, error)
}
