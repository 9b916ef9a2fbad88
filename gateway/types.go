// Package gateway runs callers' requests on endpoints: it chooses, sends, retries, resumes and refuses. It knows
// neither the wire of the callers nor that of the endpoints; a Caller and a Backend translate.
package gateway

import (
	"context"
	"io"
	"time"

	"github.com/bilberrylink/bilberrylink/catalog"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/registry"
)

// Request is one attempt of a caller.
type Request struct {
	ID           string
	Route        *catalog.Route
	Workspace    string
	Fingerprint  uint64 // equal for repeats of the same call by the same workspace
	ArrivedAt    time.Time
	Deadline     time.Time // when the caller leaves; zero: not given
	PromptTokens int       // prompt tokens
	OutputTokens int       // expected number of output tokens
	LastEventID  int64     // last event that the caller has; -1: from the start
	Message      any       // the caller's message, for the Backend
}

// EndpointRequest is one request to one endpoint.
type EndpointRequest struct {
	Request     *Request
	Endpoint    *registry.Endpoint
	TimeLeft    time.Duration // time that the endpoint may take
	Helpers     []Helper
	LastEventID int64 // last event that the caller has; -1: from the start
}

// Helper is an endpoint that reads a part of the prompt or holds a part of its context.
type Helper struct {
	Addr        string
	Reservation string // empty: none
}

// Response is the head of an endpoint's answer and its body.
type Response struct {
	Status           int
	NotExecuted      bool   // the endpoint states that it did not run the request
	SignatureValid   bool   // carries the endpoint's signature
	WrongEndpoint    bool   // another endpoint has the address
	ClosesConnection bool   // the endpoint closes its connections, as one does that is shutting down
	FaultyEndpoint   string // identity or address of the endpoint at fault; empty: the one that answered
	ContentLength    int64  // -1: not given
	Message          any    // the endpoint's message, for the Caller
	Body             io.ReadCloser
}

// SendError is the failure of a send.
type SendError struct {
	MaybeReceived bool // the endpoint may have received the request
	Err           error
}

// Error implements the error interface.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Backend speaks to endpoints.
type Backend interface {
	// Send delivers a request and returns when the head of the answer is there. Ending ctx ends the request and the
	// body. The error is a *SendError.
	Send(ctx context.Context, s *EndpointRequest) (*Response, error)
	// Reserve sets memory aside at an endpoint; ok is false if it has none.
	Reserve(ctx context.Context, e *registry.Endpoint, id string, tokens int, hold time.Duration) (ok bool, err error)
	// Release ends a reservation.
	Release(ctx context.Context, e *registry.Endpoint, id string) error
}

// ResponseWriter receives the answer of one request.
type ResponseWriter interface {
	// WriteHeader sends the head of an answer.
	WriteHeader(a *Response)
	// Write sends a part of the body and hands it to the network at once.
	Write(p []byte) error
	// Refuse answers with an error of the gateway. retryAfter is 0 if coming back is no use.
	Refuse(kind errkind.Kind, retryAfter time.Duration)
	// Abort ends the connection so that the answer does not look complete.
	Abort()
}
