// Package endpointhttp holds the HTTP clients of a model engine and of a plain service. It also declares the messages
// and the mapping between errors and HTTP answers that both sides share. Answers of an engine come as server-sent
// events.
package endpointhttp

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/endpoint"
)

// Paths below the base URL of an engine.
const (
	PathGenerate    = "/v1/generate"     // POST endpoint.Generate; server-sent events
	PathResume      = "/v1/resume"       // GET ?stream=&from=; server-sent events
	PathCancel      = "/v1/cancel"       // POST ?id=
	PathPrefill     = "/v1/prefill"      // POST endpoint.Segment
	PathOrder       = "/v1/order"        // POST endpoint.Order
	PathReport      = "/v1/report"       // GET
	PathCacheEvents = "/v1/cache-events" // GET ?after=
)

// Paths below the base URL of a plain service.
const (
	PathHealth = "/health" // GET
	PathCall   = "/call"   // any method, followed by the path of the call
)

// Events of an answer stream.
const (
	EventToken = "token" // data: endpoint.Token
	EventEnd   = "end"   // data: endpoint.Usage
	EventError = "error" // data: Failure
)

// MaxBodyBytes bounds a request body; a prompt of a million tokens has about 4 MB.
const MaxBodyBytes = 64 << 20

// HeaderFailure marks an answer that the server made itself for an endpoint that is down, as opposed to an answer of
// the plain service with the same status.
const HeaderFailure = "X-Endpoint-Failure"

// ErrorBody is the body of an error answer.
type ErrorBody struct {
	Code    string `json:"code"`
	Message string `json:"message,omitempty"`
}

type mapping struct {
	code   string
	status int
	err    error
}

var mappings = []mapping{
	{"down", http.StatusServiceUnavailable, endpoint.ErrDown},
	{"no_memory", http.StatusInsufficientStorage, endpoint.ErrNoMemory},
	{"not_loaded", http.StatusConflict, endpoint.ErrNotLoaded},
	{"fenced", http.StatusPreconditionFailed, endpoint.ErrFenced},
	{"unknown_stream", http.StatusNotFound, endpoint.ErrUnknownStream},
}

// EncodeError returns the HTTP status and body for an error of an endpoint.
func EncodeError(err error) (int, ErrorBody) {
	for _, m := range mappings {
		if errors.Is(err, m.err) {
			return m.status, ErrorBody{Code: m.code, Message: err.Error()}
		}
	}
	return http.StatusInternalServerError, ErrorBody{Code: "internal", Message: err.Error()}
}

// Err returns the typed error of a Failure. An unknown code counts as a broken endpoint.
func (f ErrorBody) Err() error {
	for _, m := range mappings {
		if m.code == f.Code {
			return m.err
		}
	}
	return errors.Wrapf(endpoint.ErrDown, "%s: %s", f.Code, f.Message)
}
