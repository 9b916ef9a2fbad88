// Package cloudhttp is the client of the platform's services over JSON and HTTP. It also declares the messages and
// the mapping between errors and HTTP answers that both sides share.
package cloudhttp

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/cloud"
)

// Paths of the platform's services.
const (
	PathRow     = "/platform/v1/table/row"    // GET ?key=
	PathCommit  = "/platform/v1/table/commit" // POST Commit
	PathScan    = "/platform/v1/table/scan"   // GET ?prefix=&after=&limit=
	PathObject  = "/platform/v1/object"       // GET, PUT ?name=
	PathWeights = "/platform/v1/weights"      // POST ?name=
	PathVMs     = "/platform/v1/vms"          // GET
)

// MaxBodyBytes bounds a request or answer body. It leaves room for the text of the longest prompt in base64.
const MaxBodyBytes = 64 << 20

// CommitRequest is the body of a commit.
type CommitRequest struct {
	Writes []cloud.Write `json:"writes"`
}

// RowsResponse is the answer to a commit or a scan.
type RowsResponse struct {
	Rows []cloud.Row `json:"rows"`
}

// VMListResponse is the answer of the VM list.
type VMListResponse struct {
	VMs []cloud.VM `json:"vms"`
}

// TicketResponse is the answer of the weight store.
type TicketResponse struct {
	Ticket string `json:"ticket"`
}

// ErrorBody is the body of an error answer.
type ErrorBody struct {
	Code    string     `json:"code"`
	Message string     `json:"message,omitempty"`
	Current *cloud.Row `json:"current,omitempty"` // code condition_failed
}

type mapping struct {
	code   string
	status int
	err    error
}

var mappings = []mapping{
	{"condition_failed", http.StatusConflict, cloud.ErrConditionFailed},
	{"in_doubt", http.StatusGatewayTimeout, cloud.ErrInDoubt},
	{"rate_limited", http.StatusTooManyRequests, cloud.ErrRateLimited},
	{"not_found", http.StatusNotFound, cloud.ErrNotFound},
	{"unavailable", http.StatusServiceUnavailable, cloud.ErrUnavailable},
}

// EncodeError returns the HTTP status and body for an error of a platform service.
func EncodeError(err error) (int, ErrorBody) {
	for _, m := range mappings {
		if !errors.Is(err, m.err) {
			continue
		}
		f := ErrorBody{Code: m.code}
		var condition *cloud.ConditionError
		if errors.As(err, &condition) {
			f.Current = &condition.Current
		}
		return m.status, f
	}
	return http.StatusInternalServerError, ErrorBody{Code: "internal", Message: err.Error()}
}

// Err returns the typed error of a Failure, or nil if the code is not known.
func (f ErrorBody) Err() error {
	if f.Current != nil {
		return &cloud.ConditionError{Current: *f.Current}
	}
	for _, m := range mappings {
		if m.code == f.Code {
			return m.err
		}
	}
	return nil
}
