// Package errkind defines the kinds of errors that callers see, and how each kind is answered.
//
// Every error that leaves a daemon has a Kind. Packages build such errors with New and Wrap, and set a run state that
// differs from the kind's with WithRunState. The HTTP layer turns them into a status and a JSON body with Response.
package errkind

import (
	"net/http"

	"github.com/pkg/errors"
)

// Kind identifies a class of failure. A value that is not listed here is treated as Internal.
type Kind string

// All kinds.
const (
	InvalidRequest       Kind = "invalid_request"       // malformed JSON, header or parameter
	InvalidDeadline      Kind = "invalid_deadline"      // X-Request-Timeout is malformed, zero, negative or over the limit
	Unauthorized         Kind = "unauthorized"          // missing or wrong key
	Forbidden            Kind = "forbidden"             // the workspace may not use this service
	UnknownService       Kind = "unknown_service"       // the configuration text has no such service
	UnknownModel         Kind = "unknown_model"         // the configuration text has no such model
	MethodNotAllowed     Kind = "method_not_allowed"    // the service's configuration does not list this call
	BodyTooLarge         Kind = "body_too_large"        // body over the limit
	PromptTooLarge       Kind = "prompt_too_large"      // prompt needs more KV memory than all engines together have
	KeyRequired          Kind = "key_required"          // paid call without Idempotency-Key
	KeyInProgress        Kind = "key_in_progress"       // first call with this key has not finished
	KeyMismatch          Kind = "key_mismatch"          // key was used with another request
	RateLimited          Kind = "rate_limited"          // rate limit of the workspace reached
	Overloaded           Kind = "overloaded"            // request shed, queue full, or retry budget spent
	DeadlineUnmeetable   Kind = "deadline_unmeetable"   // request is not expected to finish by its deadline
	DeadlineExceeded     Kind = "deadline_exceeded"     // admitted, but not finished by its deadline
	NoEndpoint           Kind = "no_endpoint"           // no live endpoint serves the request
	Draining             Kind = "draining"              // endpoint or process is leaving
	Recalled             Kind = "recalled"              // model, adapter, version or batch is recalled
	DependencyRecalled   Kind = "dependency_recalled"   // a supplier is recalled and no fallback is usable
	NotLoaded            Kind = "not_loaded"            // engine has not loaded the requested version
	Isolated             Kind = "isolated"              // node has no fresh evidence that its epoch is current
	NotReady             Kind = "not_ready"             // process does not know the current epoch yet
	PromptBlamed         Kind = "prompt_blamed"         // prompt was running when endpoints crashed; refused for a while
	StoreUnavailable     Kind = "store_unavailable"     // table or object store is down; nothing was written
	OutcomeUnknown       Kind = "outcome_unknown"       // call has started and no outcome is recorded
	EndpointFailed       Kind = "endpoint_failed"       // endpoint crashed or broke the connection
	StreamBroken         Kind = "stream_broken"         // answer stream is incomplete and cannot be resumed
	Canceled             Kind = "canceled"              // caller went away
	FleetInvalid         Kind = "fleet_invalid"         // submitted configuration text has faults
	EpochConflict        Kind = "epoch_conflict"        // another change was accepted first
	PreconditionRequired Kind = "precondition_required" // PUT without If-Match
	AcceptanceUnknown    Kind = "acceptance_unknown"    // write of the new epoch may or may not have taken effect
	Internal             Kind = "internal"              // bug or unclassified failure
)

// RunState tells the caller whether the request was executed.
type RunState string

// Run states.
const (
	NotRun     RunState = "not_run" // it did not run and never will
	Ran        RunState = "ran"     // it ran
	RunUnknown RunState = "unknown" // it may have run, or may still run
)

// statusClientClosedRequest is the status that nginx introduced for a client that disconnected before the response.
const statusClientClosedRequest = 499

// Rule says how errors of one kind are answered and whether they are retried.
type Rule struct {
	Status    int      // HTTP status
	RunState  RunState // run state of errors that do not set another one
	Retryable bool     // the entry may try another endpoint, within the deadline and the retry budget
}

// rules holds the rule of every kind.
var rules = map[Kind]Rule{
	InvalidRequest:       {http.StatusBadRequest, NotRun, false},
	InvalidDeadline:      {http.StatusBadRequest, NotRun, false},
	Unauthorized:         {http.StatusUnauthorized, NotRun, false},
	Forbidden:            {http.StatusForbidden, NotRun, false},
	UnknownService:       {http.StatusNotFound, NotRun, false},
	UnknownModel:         {http.StatusNotFound, NotRun, false},
	MethodNotAllowed:     {http.StatusMethodNotAllowed, NotRun, false},
	BodyTooLarge:         {http.StatusRequestEntityTooLarge, NotRun, false},
	PromptTooLarge:       {http.StatusRequestEntityTooLarge, NotRun, false},
	KeyRequired:          {http.StatusBadRequest, NotRun, false},
	KeyInProgress:        {http.StatusConflict, RunUnknown, false},
	KeyMismatch:          {http.StatusUnprocessableEntity, NotRun, false},
	RateLimited:          {http.StatusTooManyRequests, NotRun, false},
	Overloaded:           {http.StatusServiceUnavailable, NotRun, true},
	DeadlineUnmeetable:   {http.StatusServiceUnavailable, NotRun, true},
	DeadlineExceeded:     {http.StatusGatewayTimeout, RunUnknown, false},
	NoEndpoint:           {http.StatusServiceUnavailable, NotRun, false},
	Draining:             {http.StatusServiceUnavailable, NotRun, true},
	Recalled:             {http.StatusServiceUnavailable, NotRun, true},
	DependencyRecalled:   {http.StatusServiceUnavailable, NotRun, false},
	NotLoaded:            {http.StatusServiceUnavailable, NotRun, true},
	Isolated:             {http.StatusServiceUnavailable, NotRun, true},
	NotReady:             {http.StatusServiceUnavailable, NotRun, true},
	PromptBlamed:         {http.StatusUnprocessableEntity, NotRun, false},
	StoreUnavailable:     {http.StatusServiceUnavailable, NotRun, false},
	OutcomeUnknown:       {http.StatusBadGateway, RunUnknown, false},
	EndpointFailed:       {http.StatusBadGateway, RunUnknown, true},
	StreamBroken:         {http.StatusBadGateway, Ran, false},
	Canceled:             {statusClientClosedRequest, RunUnknown, false},
	FleetInvalid:         {http.StatusUnprocessableEntity, NotRun, false},
	EpochConflict:        {http.StatusPreconditionFailed, NotRun, false},
	PreconditionRequired: {http.StatusPreconditionRequired, NotRun, false},
	AcceptanceUnknown:    {http.StatusGatewayTimeout, RunUnknown, false},
	Internal:             {http.StatusInternalServerError, RunUnknown, false},
}

// Kinds returns all kinds in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(rules))
	for kind := range rules {
		kinds = append(kinds, kind)
	}
	return kinds
}

// RuleOf returns the rule of a kind. An unlisted kind has the rule of Internal.
func RuleOf(kind Kind) Rule {
	if rule, ok := rules[kind]; ok {
		return rule
	}
	return rules[Internal]
}

// Transient reports whether a refusal of kind k ends without a change of load or configuration, because the process or
// the engine is only starting, stopping or catching up.
func (k Kind) Transient() bool {
	switch k {
	case Draining, NotLoaded, NotReady, Isolated:
		return true
	}
	return false
}

// Error is a failure with a kind and a run state.
type Error struct {
	Kind     Kind
	RunState RunState
	Message  string
	cause    error
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.cause != nil {
		return string(e.Kind) + ": " + e.Message + ": " + e.cause.Error()
	}
	return string(e.Kind) + ": " + e.Message
}

// Unwrap returns the wrapped cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// New returns an error with the run state of its kind.
func New(kind Kind, message string) *Error {
	return &Error{Kind: kind, RunState: RuleOf(kind).RunState, Message: message}
}

// Wrap returns an error of the given kind caused by err.
func Wrap(err error, kind Kind, message string) *Error {
	e := New(kind, message)
	e.cause = err
	return e
}

// WithRunState returns a copy of e with another run state.
func (e *Error) WithRunState(state RunState) *Error {
	c := *e
	c.RunState = state
	return &c
}

// From returns the *Error in the chain of err. An error without one is wrapped with kind Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "unexpected failure")
}

// Is reports whether err has the given kind.
func Is(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

// Body is the JSON body of an error response.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the inner object of Body.
type BodyError struct {
	Kind     Kind     `json:"kind"`
	Message  string   `json:"message"`
	RunState RunState `json:"run"`
	Details  []string `json:"details,omitempty"`
}

// Response returns the HTTP status and body for err. The body does not contain the causes of the error.
func Response(err error) (int, Body) {
	e := From(err)
	return RuleOf(e.Kind).Status, Body{Error: BodyError{Kind: e.Kind, Message: e.Message, RunState: e.RunState}}
}
