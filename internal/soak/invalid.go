package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/bilberrylink/bilberrylink/platform/platformtest"
)

const (
	invalidShare   = 0.3              // of the responses of an endpoint that sends invalid ones
	invalidAttempt = "invalid"        // in the content of invalid responses
	longBody       = 8 << 20          // bytes that no connection holds
	endlessPiece   = 8 << 10          // of a response without end
	endlessTime    = 10 * time.Second // after which the endpoint gives up; the gateway closes the connection before
)

// invalidResponse writes a response that must not reach a caller as a whole answer. head begins a valid one, content must not reach a caller at
// all, and part is the beginning of what the request's answer is.
type invalidResponse func(c net.Conn, head, content, part string)

// invalidResponses are the responses of an endpoint in trouble.
var invalidResponses = []invalidResponse{
	func(c net.Conn, head, content, _ string) { // an answer stands behind a status that is none
		write(c, "HTTP/1.1 000 x\r\n\r\n"+head+"\r\n"+content)
	},
	func(c net.Conn, head, content, _ string) {
		write(c, strings.Replace(head, "200", "000", 1)+"\r\n"+content)
	},
	func(c net.Conn, head, content, _ string) { write(c, head+"X Any: 1\r\n\r\n"+content) },
	func(c net.Conn, head, content, _ string) { write(c, head+"Content-Length : 1\r\n\r\n"+content) },
	func(c net.Conn, head, content, _ string) { write(c, head+"X\x01Any: 1\r\n\r\n"+content) },
	func(c net.Conn, head, content, _ string) { write(c, "HTTP/1.1 101 x\r\n\r\n"+head+"\r\n"+content) },
	func(c net.Conn, head, content, _ string) {
		write(c, head+"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n")
	},
	func(c net.Conn, head, _, part string) { // a request with a long body is still being sent
		write(c, head+"\r\n"+part)
		time.Sleep(eventPause)
		_ = c.(*silenceableConn).SetLinger(0) // fails only on a closed connection
	},
	func(c net.Conn, head, _, _ string) { writeEndlessly(c, head, "a:\r\n") },
	func(c net.Conn, head, _, _ string) { writeEndlessly(c, head+"\r\n", "x") },
}

// write writes a text. It fails only if the gateway has closed the connection.
func write(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

func writeEndlessly(c net.Conn, head, repeated string) {
	piece := strings.Repeat(repeated, endlessPiece/len(repeated))
	_, err := io.WriteString(c, head)
	for startedAt := time.Now(); err == nil && time.Since(startedAt) < endlessTime; {
		_, err = io.WriteString(c, piece)
	}
}

// answerInvalid responds to some requests with an invalid response before it has read the body, and reports whether it has done so. The
// request has run.
func (e *endpoint) answerInvalid(c net.Conn, req *platformtest.EndpointRequest) bool {
	e.mu.Lock()
	id, invalid := e.id, e.invalid
	e.mu.Unlock()
	if !invalid || req.IsOrder || req.EndpointID != "" && req.EndpointID != id || rand.Float64() >= invalidShare {
		return false
	}
	e.world.checker.recordRun(run{attempt: req.AttemptID, path: req.Path, endpoint: id, domain: e.domain, at: time.Now(), parts: req.Parts}, 0)
	respond := invalidResponses[rand.IntN(len(invalidResponses))]
	next, part := req.LastEventID+1, "ran"
	if strings.HasPrefix(req.Path, chatPrefix) {
		part = eventOf(req.AttemptID, next) // whole events of a stream that breaks off are passed on
	}
	respond(c, platformtest.SuccessHead(req.AttemptID, 0), eventOf(invalidAttempt, next), part)
	return true
}
