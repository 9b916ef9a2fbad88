// Package http1test has valid and invalid responses for tests of the clients that read them.
package http1test

import (
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Response is the text of a response to a GET or POST request.
type Response struct {
	StatusLine, Fields string // with the ends of their lines
	Rest               string // behind the head
	Status             int    // of a valid response
}

// Text returns the response with more fields, which come first.
func (r Response) Text(fields string) string {
	return r.StatusLine + fields + r.Fields + "\r\n" + r.Rest
}

// JSONText returns the response with JSON of the same length in place of Body.
func (r Response) JSONText() string { return strings.ReplaceAll(r.Text(""), Body, "null") }

// Body is the content of all valid responses that have content.
const Body = "text"

const (
	okLine       = "HTTP/1.1 200 OK\r\n"
	lengthField  = "Content-Length: 4\r\n"
	chunkedField = "Transfer-Encoding: chunked\r\n"
)

// InvalidStatusLines returns responses with a status line that RFC 9112, section 4, does not allow.
func InvalidStatusLines() map[string]Response {
	responses := make(map[string]Response)
	for _, line := range []string{
		"HTTP/1.1 000 x", "HTTP/1.1 007 x", "HTTP/1.1 099 x", "HTTP/1.1 600 x", "HTTP/1.1 999 x", "HTTP/1.1 20 x", "HTTP/1.1 2000 x", "HTTP/1.1 2x0 x",
		"HTTP/1.1 -20 x", "HTTP/1.1 +20 x", "HTTP/1.1 ", "HTTP/1.1", "HTTP/1.1  200 x", "HTTP/1.1\t200 x", " HTTP/1.1 200 x", "HTTP/1.1 200x",
		"HTTP/1.1 200\tx", "HTTP/2.0 200 x", "HTTP/0.9 200 x", "HTTP/1.10 200 x", "HTTP/1 200 x", "http/1.1 200 x", "ICY 200 x", "200 x",
		"HTTP/1.1 200 \x00", "HTTP/1.1 200 a\x7f", "HTTP/1.1 200 a\rb", "\r\nHTTP/1.1 200 x",
	} {
		responses[line] = Response{StatusLine: line + "\r\n", Fields: lengthField, Rest: Body}
		responses[line+", no content"] = Response{StatusLine: line + "\r\n"}
	}
	return responses
}

// InvalidFields returns responses with a field that RFC 9110, section 5, or RFC 9112, section 5, does not allow: in their head, in that of an interim
// response or in a trailer.
func InvalidFields() map[string]Response {
	responses := make(map[string]Response)
	for _, line := range []string{
		"X Any: 1", "X-Any : 1", "X-Any\t: 1", " X-Any: 1", "\tX-Any: 1", "X\x00Any: 1", "X-Any\x01: 1", "X\x1fAny: 1", "X-Any\x7f: 1", "X\rAny: 1",
		": 1", " : 1", "X-Any", "X(Any): 1", "X,Any: 1", "X\"Any\": 1", "X-\xfcml: 1", "X-Any: a\x00b", "X-Any: \x01", "X-Any: a\rb", "X-Any: a\x7f",
		"X-Any: 1\r\n folded", "X-Any: 1\r\n\tX-Any: 2", "Content-Length : 2", "Content Length: 2", "Transfer-Encoding : chunked",
	} {
		field := line + "\r\n"
		responses[line] = Response{StatusLine: okLine, Fields: field + lengthField, Rest: Body}
		responses[line+", last"] = Response{StatusLine: okLine, Fields: lengthField + field, Rest: Body}
		responses[line+", no length"] = Response{StatusLine: okLine, Fields: field, Rest: Body}
		responses[line+", interim"] = Response{StatusLine: "HTTP/1.1 103 x\r\n" + field + "\r\n" + okLine, Fields: lengthField, Rest: Body}
		responses[line+", trailer"] = Response{StatusLine: okLine, Fields: chunkedField, Rest: "4\r\ntext\r\n0\r\n" + field + "\r\n"}
	}
	return responses
}

// InvalidFraming returns responses that RFC 9112, sections 6 and 7, or RFC 9110, sections 8.6 and 15.2, do not allow: interim ones that are not, and
// content whose end is not told or told twice.
func InvalidFraming() map[string]Response {
	responses := make(map[string]Response)
	for _, fields := range []string{
		"Content-Length: 4\r\nContent-Length: 5\r\n", "Content-Length: 4\r\nContent-Length: 4\r\n", "Content-Length: 4, 4\r\n", "Content-Length: +4\r\n",
		"Content-Length: -4\r\n", "Content-Length: 0x4\r\n", "Content-Length: 4 4\r\n", "Content-Length:\r\n", "Content-Length: 4;\r\n",
		"Content-Length: 99999999999999999999\r\n", "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: identity\r\n", "Transfer-Encoding:\r\n",
	} {
		responses[fields] = Response{StatusLine: okLine, Fields: fields, Rest: Body}
	}
	const chunks = "4\r\ntext\r\n0\r\n\r\n"
	for _, fields := range []string{
		"Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: chunked, chunked\r\n", "Transfer-Encoding: chunked;q=1\r\n", chunkedField + chunkedField,
		chunkedField + lengthField, lengthField + chunkedField, chunkedField + "Transfer-Encoding: identity\r\n",
	} {
		responses[fields] = Response{StatusLine: okLine, Fields: fields, Rest: chunks}
	}
	for _, text := range []string{
		"g\r\ntext\r\n0\r\n\r\n", "4 \r\ntext\r\n0\r\n\r\n", " 4\r\ntext\r\n0\r\n\r\n", "0x4\r\ntext\r\n0\r\n\r\n", "-4\r\ntext\r\n0\r\n\r\n",
		"+4\r\ntext\r\n0\r\n\r\n", "\r\n4\r\ntext\r\n0\r\n\r\n", "4\ntext\r\n0\r\n\r\n", "4\r\ntext\n0\r\n\r\n", "4\r\ntextx\r\n0\r\n\r\n", "4\r\ntext0\r\n\r\n",
		"00000000000000004\r\ntext\r\n0\r\n\r\n", "4;a=\x00\r\ntext\r\n0\r\n\r\n", "4,a\r\ntext\r\n0\r\n\r\n", "4\r\ntext\r\n0\r\n", "4\r\ntext\r\n",
	} {
		responses[text] = Response{StatusLine: okLine, Fields: chunkedField, Rest: text}
	}
	for name, text := range map[string]string{
		"interim with a length": "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n",
		"interim with content":  "HTTP/1.1 103 x\r\nContent-Length: 1\r\n\r\nx",
		"interim in chunks":     "HTTP/1.1 103 x\r\n" + chunkedField + "\r\n0\r\n\r\n",
		"switch of protocols":   "HTTP/1.1 101 x\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
	} {
		responses[name] = Response{StatusLine: text + okLine, Fields: lengthField, Rest: Body}
	}
	responses["switch of protocols, alone"] = Response{StatusLine: "HTTP/1.1 101 x\r\n", Fields: "Connection: upgrade\r\nUpgrade: x\r\n", Rest: Body}
	responses["chunks in HTTP/1.0"] = Response{StatusLine: "HTTP/1.0 200 OK\r\n", Fields: chunkedField, Rest: chunks}
	responses["no content with a length"] = Response{StatusLine: "HTTP/1.1 204 x\r\n", Fields: lengthField, Rest: Body}
	responses["no content in chunks"] = Response{StatusLine: "HTTP/1.1 204 x\r\n", Fields: chunkedField, Rest: chunks}
	return responses
}

// Invalid returns all invalid responses.
func Invalid() map[string]Response {
	responses := InvalidStatusLines()
	maps.Copy(responses, InvalidFields())
	maps.Copy(responses, InvalidFraming())
	return responses
}

// Valid returns responses that clients must accept.
func Valid() map[string]Response {
	return map[string]Response{
		"length":                  {okLine, lengthField, Body, 200},
		"no reason phrase":        {"HTTP/1.1 200 \r\n", lengthField, Body, 200},
		"no reason phrase, space": {"HTTP/1.1 200\r\n", lengthField, Body, 200},
		"odd reason phrase":       {"HTTP/1.1 200 \t\xfc: a \r\n", lengthField, Body, 200},
		"HTTP/1.0":                {"HTTP/1.0 200 OK\r\n", lengthField, Body, 200},
		"later minor version":     {"HTTP/1.2 200 OK\r\n", lengthField, Body, 200},
		"unregistered status":     {"HTTP/1.1 299 x\r\n", lengthField, Body, 299},
		"not found":               {"HTTP/1.1 404 Not Found\r\n", lengthField, Body, 404},
		"highest status":          {"HTTP/1.1 599 x\r\n", lengthField, Body, 599},
		"line feeds":              {"HTTP/1.1 200 OK\n", "Content-Length: 4\n", Body, 200},
		"no length":               {okLine, "", Body, 200},
		"chunks":                  {okLine, "Transfer-Encoding: Chunked\r\n", "1\r\nt\r\n00003;a=\"b\"\r\next\r\n0\r\n\r\n", 200},
		"trailer":                 {okLine, chunkedField, "4\r\ntext\r\n0\r\nX-Any: 1\r\n\r\n", 200},
		"length with zeros":       {okLine, "content-length: \t0004 \r\n", Body, 200},
		"interim responses": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 x\r\n\r\n" +
			"HTTP/1.1 102 x\r\n\r\n" + okLine, lengthField, Body, 200},
		"odd fields": {okLine, lengthField + "!#$%&'*+-.^_`|~0: \xfc\t\"\\\r\nEmpty:\r\nX-Any:1\r\nX-Any: \t 2 \t\r\n", Body, 200},
	}
}

// End is how a server ends a connection on which it has answered a request that is still being sent.
type End struct {
	Complete bool // the response is complete
	End      func(*net.TCPConn)
}

// resetDelay lets the client read the response before the connection is reset.
const resetDelay = 30 * time.Millisecond

// EarlyEnds returns ways to end a connection after a response without a length. It is complete if the connection ends before it is reset.
func EarlyEnds() map[string]End {
	reset := func(c *net.TCPConn) {
		time.Sleep(resetDelay)
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	closeWrite := func(c *net.TCPConn) { _ = c.CloseWrite() } // fails only if the client has closed the connection, which a test finds
	return map[string]End{
		"reset":        {false, reset},
		"end, reset":   {true, func(c *net.TCPConn) { closeWrite(c); reset(c) }},
		"end, reading": {true, func(c *net.TCPConn) { closeWrite(c); _, _ = io.Copy(io.Discard, c); _ = c.Close() }},
		"end, waiting": {true, func(c *net.TCPConn) { closeWrite(c); time.Sleep(10 * resetDelay); _ = c.Close() }},
	}
}

// EarlyServer starts a server that reads the head of each request, sends a text and ends the connection, which does not hold the content of a
// request of LongContent bytes.
func EarlyServer(t testing.TB, text string, end End) *httptest.Server {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, text) // as in Server
		end.End(c.(*net.TCPConn))
	}))
	server.Config.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateNew {
			_ = c.(*net.TCPConn).SetReadBuffer(1 << 10) // fails only on a closed connection
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return server
}

// LongContent is a number of bytes that no connection holds.
const LongContent = 16 << 20

// Server starts a server that reads each request with its content and sends a text, then what follows, on a connection that it closes.
func Server(t testing.TB, text string) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body) // a close with unread data resets the connection
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, text) // fails only if the client has closed the connection
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	}))
	t.Cleanup(server.Close)
	return server
}
