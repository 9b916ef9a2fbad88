// Package cloud declares the interfaces of the services that the cloud platform provides: a transactional table, an
// object store, a rate-limited weight store and the list of VMs. Daemons depend only on these interfaces.
package cloud

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Errors of the platform's services.
var (
	// ErrUnavailable means that the service did not process the call; nothing was written.
	ErrUnavailable = errors.New("cloud: service unavailable")
	// ErrInDoubt means that the reply was lost; a write may have taken effect.
	ErrInDoubt = errors.New("cloud: reply lost, the write may have taken effect")
	// ErrRateLimited means that the service rejected the call because of its rate limit; nothing was written.
	ErrRateLimited = errors.New("cloud: rate limited")
	// ErrConditionFailed means that a row's version differs from the expected one; nothing was written.
	ErrConditionFailed = errors.New("cloud: condition failed")
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = errors.New("cloud: not found")
)

// Row is one row of the table. Version starts at 1 and increases by one with each write; 0 means that the row is absent.
type Row struct {
	Key     string    `json:"key"`
	Version int64     `json:"version"`
	Value   []byte    `json:"value"`
	Expires time.Time `json:"expires,omitzero"` // zero: never
}

// AnyVersion is the expected version of a write without a version condition.
const AnyVersion int64 = -1

// Write is one conditional write of a transaction.
type Write struct {
	Key             string        `json:"key"`
	ExpectedVersion int64         `json:"expect"` // required current version; 0: the row must be absent; AnyVersion: no condition
	Value           []byte        `json:"value"`
	TTL             time.Duration `json:"ttl,omitempty"`    // 0: never expires
	Delete          bool          `json:"delete,omitempty"` // delete the row instead of writing Value
}

// ConditionError reports the row whose version condition failed. It matches ErrConditionFailed with errors.Is.
type ConditionError struct {
	Current Row // the current row; Version is 0 if it is absent
}

func (e *ConditionError) Error() string { return ErrConditionFailed.Error() + ": " + e.Current.Key }

// Is reports whether target is ErrConditionFailed.
func (e *ConditionError) Is(target error) bool { return target == ErrConditionFailed }

// Table is the platform's transactional table service.
type Table interface {
	// Get returns a row. Errors: ErrNotFound, ErrUnavailable, ErrRateLimited.
	Get(ctx context.Context, key string) (Row, error)
	// Commit atomically applies all writes and returns the written rows in order. Errors: *ConditionError, ErrUnavailable,
	// ErrRateLimited, ErrInDoubt. If the context ends during the call, the error is ErrInDoubt.
	Commit(ctx context.Context, writes ...Write) ([]Row, error)
	// Scan returns up to limit rows whose key starts with prefix and is greater than after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// ObjectStore keeps immutable objects by name.
type ObjectStore interface {
	// Put stores data under name. It may be repeated with the same data.
	Put(ctx context.Context, name string, data []byte) error
	// Get returns an object. Errors: ErrNotFound, ErrUnavailable, ErrRateLimited.
	Get(ctx context.Context, name string) ([]byte, error)
}

// WeightStore issues tickets for the transfer of model weights to an engine, at a limited rate.
type WeightStore interface {
	// IssueTicket returns a ticket with which an engine can load the weights called name. Errors: ErrRateLimited,
	// ErrUnavailable, ErrNotFound.
	IssueTicket(ctx context.Context, name string) (ticket string, err error)
}

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMRole is the kind of process that runs on a VM.
type VMRole string

// Roles of a VM.
const (
	RoleEntry VMRole = "entry"
	RoleAgent VMRole = "agent"
)

// VM is one element of the platform's list of VMs.
type VM struct {
	Name          string  `json:"name"`
	Addr          string  `json:"addr"` // host:port of the process's internal listener
	FailureDomain string  `json:"failure_domain"`
	State         VMState `json:"state"`
	Role          VMRole  `json:"role"`
}

// Validate returns an error unless the VM has a name, the address of a listener and a known state and role. The list of a platform may contain
// entries of other writers.
func (vm VM) Validate() error {
	host, port, err := net.SplitHostPort(vm.Addr)
	switch {
	case vm.Name == "":
		return errors.New("VM has no name")
	case err != nil:
		return errors.Wrapf(err, "address of VM %q", vm.Name)
	case host == "":
		return errors.Errorf("address %q of VM %q has no host", vm.Addr, vm.Name)
	case vm.State != VMLive && vm.State != VMLeaving:
		return errors.Errorf("state of VM %q is %q", vm.Name, vm.State)
	case vm.Role != RoleEntry && vm.Role != RoleAgent:
		return errors.Errorf("role of VM %q is %q", vm.Name, vm.Role)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return errors.Errorf("address %q of VM %q has no port from 1 to 65535", vm.Addr, vm.Name)
	}
	return nil
}

// VMList is the platform's list of VMs, which is eventually consistent.
type VMList interface {
	// List returns the VMs known to the platform. The list may be seconds old. Entries may be invalid; see VM.Validate.
	List(ctx context.Context) ([]VM, error)
}

// Services groups the platform's services that a daemon uses.
type Services struct {
	Table   Table
	Objects ObjectStore
	Weights WeightStore
	VMs     VMList
}
