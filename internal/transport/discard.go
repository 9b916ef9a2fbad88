package transport

import (
	"io"
	"net/http"
	"time"
)

// discardTimeout bounds the time for which the rest of a request's body is read after its response.
const discardTimeout = 2 * time.Second

// DiscardBody sends the response that has been written so far and reads the rest of the request's body, for two seconds at most. net/http closes
// connections that are not kept without reading it, and the reset that follows destroys responses that the caller has not read yet. The time also
// bounds what net/http reads of a body before it sends a response.
func DiscardBody(w http.ResponseWriter, req *http.Request) {
	if req.ContentLength == 0 {
		return
	}
	controller := http.NewResponseController(w)
	if controller.SetReadDeadline(time.Now().Add(discardTimeout)) != nil || controller.Flush() != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body) // a caller that has closed the connection needs no response
	_ = controller.SetReadDeadline(time.Time{})
}
