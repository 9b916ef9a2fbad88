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

// Commit is the body of a commit.
type Commit struct {
	Writes []cloud.Write `json:"writes"`
}

// Rows is the answer to a commit or a scan.
type Rows struct {
	Rows []cloud.Row `json:"rows"`
}

// VMs is the answer of the VM list.
type VMs struct {
	VMs []cloud.VM `json:"vms"`
}

// Ticket is the answer of the weight store.
type Ticket struct {
	Ticket string `json:"ticket"`
}

// Failure is the body of an error answer.
type Failure struct {
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

// FailureOf returns the HTTP status and body for an error of a platform service.
func FailureOf(err error) (int, Failure) {
	for _, m := range mappings {
		if !errors.Is(err, m.err) {
			continue
		}
		f := Failure{Code: m.code}
		var condition *cloud.ConditionError
		if errors.As(err, &condition) {
			f.Current = &condition.Current
		}
		return m.status, f
	}
	return http.StatusInternalServerError, Failure{Code: "internal", Message: err.Error()}
}

// Err returns the typed error of a Failure, or nil if the code is not known.
func (f Failure) Err() error {
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
