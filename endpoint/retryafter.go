package endpoint

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxRetryAfter bounds the time for which an endpoint gets no requests because it said so once. It may be wrong, or not be there any more.
const MaxRetryAfter = time.Hour

// RetryAfter returns the time for which an endpoint wants no requests, by the header of a refusal; 0: it states none that can be read.
func RetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(header.Get("Retry-After")), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, MaxRetryAfter.Seconds()) * float64(time.Second))
}

// RefusedError is a refusal of an endpoint that wants no requests for some time.
type RefusedError struct {
	Err   error
	After time.Duration // from the refusal on
}

// Error implements the error interface.
func (e *RefusedError) Error() string { return fmt.Sprintf("%v (retry after %v)", e.Err, e.After) }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Err }
