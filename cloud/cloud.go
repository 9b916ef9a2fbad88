// Package cloud declares the interfaces of the services that the operators' platform provides: a transactional
// table, an object store, a rate-limited weight store and the list of VMs. Daemons depend only on these interfaces.
package cloud

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of the platform's services.
var (
	// ErrUnavailable means that the service did not take the call; nothing was written.
	ErrUnavailable = errors.New("cloud: service unavailable")
	// ErrInDoubt means that the answer was lost; a write may have taken effect.
	ErrInDoubt = errors.New("cloud: answer lost, the write may have taken effect")
	// ErrRateLimited means that the service refused the call for its rate; nothing was written.
	ErrRateLimited = errors.New("cloud: rate limited")
	// ErrConditionFailed means that a row's version differs from the expected one; nothing was written.
	ErrConditionFailed = errors.New("cloud: condition failed")
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = errors.New("cloud: not found")
)

// Row is one row of the table. Version starts at 1 and grows by one with each write; 0 stands for an absent row.
type Row struct {
	Key     string    `json:"key"`
	Version int64     `json:"version"`
	Value   []byte    `json:"value"`
	Expires time.Time `json:"expires,omitzero"` // zero: never
}

// AnyVersion as Write.Expect skips the version condition.
const AnyVersion int64 = -1

// Write is one conditional write of a transaction.
type Write struct {
	Key             string        `json:"key"`
	ExpectedVersion int64         `json:"expect"` // required current version; 0: the row must be absent; AnyVersion: no condition
	Value           []byte        `json:"value"`
	TTL             time.Duration `json:"ttl,omitempty"`    // 0: never expires
	Delete          bool          `json:"delete,omitempty"` // remove the row instead of writing Value
}

// ConditionError reports the row that made a transaction fail. It matches ErrConditionFailed with errors.Is.
type ConditionError struct {
	Current Row // the row as it is now; Version 0 if absent
}

// Error implements the error interface.
func (e *ConditionError) Error() string { return ErrConditionFailed.Error() + ": " + e.Current.Key }

// Is reports whether target is ErrConditionFailed.
func (e *ConditionError) Is(target error) bool { return target == ErrConditionFailed }

// Table is the platform's transactional table service.
type Table interface {
	// Get returns a row. Errors: ErrNotFound, ErrUnavailable, ErrRateLimited.
	Get(ctx context.Context, key string) (Row, error)
	// Commit applies all writes or none and returns the written rows in order.
	// Errors: *ConditionError, ErrUnavailable, ErrRateLimited, ErrInDoubt. A context that ends during the call is in doubt.
	Commit(ctx context.Context, writes ...Write) ([]Row, error)
	// Scan returns up to limit rows whose key starts with prefix and is greater than after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// ObjectStore keeps immutable objects by name.
type ObjectStore interface {
	// Put stores data under name; storing the same name again is allowed with the same data.
	Put(ctx context.Context, name string, data []byte) error
	// Get returns an object. Errors: ErrNotFound, ErrUnavailable, ErrRateLimited.
	Get(ctx context.Context, name string) ([]byte, error)
}

// WeightStore grants the rate-limited transfer of model weights to an engine.
type WeightStore interface {
	// IssueTicket returns a ticket that an engine redeems to load name. Errors: ErrRateLimited, ErrUnavailable, ErrNotFound.
	IssueTicket(ctx context.Context, name string) (ticket string, err error)
}

// VMState is the state that the platform reports for a VM.
type VMState string

// States of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMRole says which process of the system runs on a VM.
type VMRole string

// Roles of a VM.
const (
	RoleEntry VMRole = "entry"
	RoleAgent VMRole = "agent"
)

// VM is one entry of the platform's list.
type VM struct {
	Name          string  `json:"name"`
	Addr          string  `json:"addr"` // host:port of the process's internal listener
	FailureDomain string  `json:"failure_domain"`
	State         VMState `json:"state"`
	Role          VMRole  `json:"role"`
}

// VMList is the platform's lagging list of VMs.
type VMList interface {
	// List returns the VMs as the platform knows them; the list may be seconds old.
	List(ctx context.Context) ([]VM, error)
}

// Services bundles the platform's services for a daemon.
type Services struct {
	Table   Table
	Objects ObjectStore
	Weights WeightStore
	VMs     VMList
}
