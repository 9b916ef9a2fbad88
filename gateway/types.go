// Package gateway forwards callers' requests to endpoints: it selects endpoints, sends requests, retries them, resumes
// broken streams and rejects what cannot be served. It does not depend on the protocols of callers and endpoints, which
// are implemented by ResponseWriter and Backend.
package gateway

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/catalog"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/intake"
	"github.com/bilberrylink/bilberrylink/registry"
	"github.com/bilberrylink/bilberrylink/throttle"
)

// Request is a request from a caller.
type Request struct {
	ID           string
	Route        *catalog.Route
	Workspace    string
	Fingerprint  uint64 // equal for retries of the same call by the same workspace
	ArrivedAt    time.Time
	Deadline     time.Time // of the caller; zero: not given
	PromptTokens int
	OutputTokens int      // expected number
	SharedParts  []string // IDs of the parts of the prompt that other requests may contain too
	LastEventID  int64    // last event that the caller has received; -1: none
	Message      any      // protocol message, for the Backend

	Account *intake.Account // of what the caller makes the process hold; nil: unbounded
}

// EndpointRequest is a request to an endpoint.
type EndpointRequest struct {
	Request     *Request
	Endpoint    *registry.Endpoint
	TimeLeft    time.Duration // time that the endpoint may take
	Helpers     []Helper
	LastEventID int64 // last event that the caller has received; -1: none
	// NewConnection means that the request must not use an open connection, which may be as silent as that of an earlier attempt.
	NewConnection bool
}

// Helper is an endpoint that processes a part of the prompt or holds a part of its context.
type Helper struct {
	Addr        string
	Reservation string // empty: none
}

// Response is a response of an endpoint. Its body may still be arriving.
type Response struct {
	Status           int
	NotExecuted      bool          // the endpoint states that it did not execute the request
	PromisesNotRun   bool          // a caller would take the status for the statement that the request has not run and never will
	SignatureValid   bool          // the endpoint's signature is present and valid
	WrongEndpoint    bool          // another endpoint uses the address
	ClosesConnection bool          // the endpoint closes the connection, which suggests that it is shutting down
	Leaving          bool          // the endpoint states that it shuts down
	RetryAfter       time.Duration // for which the endpoint, which refuses the request, wants no others of this gateway; 0: not given
	Limit            throttle.Statement
	ColdFor          time.Duration // for which the endpoint states to be cold; 0: not given
	ConnectTime      time.Duration // that the handshake of a new connection took, a round trip; 0: an open one was used
	FaultyEndpoint   string        // ID or address of the endpoint that caused the error; empty: the one that responded
	ContentLength    int64         // -1: not given
	Message          any           // protocol message, for the ResponseWriter
	Body             io.ReadCloser
}

// SendError is returned if a request could not be sent or no response arrived.
type SendError struct {
	MaybeReceived bool // the endpoint may have received the request
	Err           error
}

// Error implements the error interface.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// ErrEndpointSilent is the cause with which the context of an attempt ends whose endpoint has been silent for too long.
var ErrEndpointSilent = errors.New("endpoint silent")

// Backend sends requests to endpoints.
type Backend interface {
	// Send sends a request and returns when the header of the response has arrived. Cancelling ctx also ends the body. The
	// error is a *SendError.
	Send(ctx context.Context, r *EndpointRequest) (*Response, error)
	// Reserve reserves memory at an endpoint for the time ttl, or renews a reservation. ok is false if the endpoint has too
	// little memory. The error is a *SendError.
	Reserve(ctx context.Context, e *registry.Endpoint, id string, tokens int, ttl time.Duration) (ok bool, err error)
	// Release ends a reservation. The error is a *SendError, unless the endpoint has answered.
	Release(ctx context.Context, e *registry.Endpoint, id string) error
}

// ResponseWriter sends the response to the caller of one request.
type ResponseWriter interface {
	// WriteHeader writes the header of a response.
	WriteHeader(resp *Response)
	// Write writes a part of the body and flushes it.
	Write(p []byte) error
	// Refuse responds with an error of the gateway. retryAfter is 0 if a retry is of no use.
	Refuse(kind errkind.Kind, retryAfter time.Duration)
	// Abort closes the connection in such a way that the response does not look complete.
	Abort()
}
