// Package cloudhttp is the client of the platform's services over JSON and HTTP. It also declares the messages and
// the mapping between errors and HTTP responses that client and server share.
package cloudhttp

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/cloud"
)

// Paths of the platform's services.
const (
	PathRow     = "/platform/v1/table/row"    // GET ?key=
	PathCommit  = "/platform/v1/table/commit" // POST CommitRequest
	PathScan    = "/platform/v1/table/scan"   // GET ?prefix=&after=&limit=
	PathObject  = "/platform/v1/object"       // GET, PUT ?name=
	PathWeights = "/platform/v1/weights"      // POST ?name=
	PathVMs     = "/platform/v1/vms"          // GET
)

// MaxBodyBytes is the maximum size of a request or response body. It is enough for the longest prompt in base64.
const MaxBodyBytes = 64 << 20

// CommitRequest is the request body of a commit.
type CommitRequest struct {
	Writes []cloud.Write `json:"writes"`
}

// RowsResponse is the response to a commit or a scan.
type RowsResponse struct {
	Rows []cloud.Row `json:"rows"`
}

// VMListResponse is the response of the VM list.
type VMListResponse struct {
	VMs []cloud.VM `json:"vms"`
}

// TicketResponse is the response of the weight store.
type TicketResponse struct {
	Ticket string `json:"ticket"`
}

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Code    string     `json:"code"`
	Message string     `json:"message,omitempty"`
	Current *cloud.Row `json:"current,omitempty"` // the current row, with code condition_failed
}

type errorMapping struct {
	code   string
	status int
	err    error
}

var errorMappings = []errorMapping{
	{"condition_failed", http.StatusConflict, cloud.ErrConditionFailed},
	{"in_doubt", http.StatusGatewayTimeout, cloud.ErrInDoubt},
	{"rate_limited", http.StatusTooManyRequests, cloud.ErrRateLimited},
	{"not_found", http.StatusNotFound, cloud.ErrNotFound},
	{"unavailable", http.StatusServiceUnavailable, cloud.ErrUnavailable},
}

// EncodeError returns the HTTP status and body for an error of a platform service.
func EncodeError(err error) (int, ErrorBody) {
	for _, m := range errorMappings {
		if !errors.Is(err, m.err) {
			continue
		}
		body := ErrorBody{Code: m.code}
		var conditionErr *cloud.ConditionError
		if errors.As(err, &conditionErr) {
			body.Current = &conditionErr.Current
		}
		return m.status, body
	}
	return http.StatusInternalServerError, ErrorBody{Code: "internal", Message: err.Error()}
}

// Err returns the typed error for the code, or nil if the code is unknown.
func (b ErrorBody) Err() error {
	if b.Current != nil {
		return &cloud.ConditionError{Current: *b.Current}
	}
	for _, m := range errorMappings {
		if m.code == b.Code {
			return m.err
		}
	}
	return nil
}
