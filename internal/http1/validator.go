// Package http1 validates the responses of HTTP/1.1 servers while they are received. net/http accepts some that RFC 9110 and RFC 9112 do not
// allow, and does not tell a reset from the end of a response without a length.
package http1

import (
	"bytes"
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrInvalid is returned for a response that RFC 9110 or RFC 9112 does not allow.
var ErrInvalid = errors.New("invalid HTTP response")

// maxQuoted bounds the part of an invalid line that an error contains, in bytes.
const maxQuoted = 64

func invalid(what string, line []byte) error {
	return errors.Wrapf(ErrInvalid, "%s %q", what, line[:min(len(line), maxQuoted)])
}

// Limits of a response.
const (
	// maxHeadBytes bounds a head and the trailer of a body.
	maxHeadBytes = 1 << 20
	// maxChunkLine bounds the size of a chunk with its extensions, as net/http does.
	maxChunkLine = 4 << 10
	// maxChunkDigits is the number of hexadecimal digits of the largest chunk that net/http accepts.
	maxChunkDigits = 16
)

// IsStatus reports whether a number is a status code that a response may have.
func IsStatus(code int) bool { return code >= 100 && code <= 599 }

// state is the part of a response that comes next.
type state uint8

// The states. Lines come in the states up to trailerLine.
const (
	statusLine state = iota
	fieldLine
	chunkSizeLine
	chunkEndLine // after the data of a chunk
	trailerLine
	content    // of a stated length
	chunkData  // of a stated length
	untilClose // content that ends with the connection
)

// validator follows the responses on a connection.
type validator struct {
	method    string // of the request that is being answered
	state     state
	line      []byte // beginning of a line whose end has not been received
	head      head
	remaining int64 // bytes of content or chunkData
	headCost  int64 // of the largest head since the request was sent, in bytes of memory
}

// head is what a head says of the framing of its response.
type head struct {
	size          int64 // in bytes, with the trailer
	fields        int64 // number, with those of the trailer
	minorVersion  int
	status        int
	contentLength int64 // -1: none
	chunked       bool
}

// hasFraming reports whether the head states how its content ends.
func (h *head) hasFraming() bool { return h.contentLength >= 0 || h.chunked }

// consume validates the next bytes of a connection and returns how many of them are valid. A line is validated when its end is received, which
// is not valid unless the line is.
func (v *validator) consume(p []byte) (valid int, err error) {
	for valid < len(p) {
		n, err := v.step(p[valid:])
		if err != nil {
			return valid, err
		}
		valid += n
	}
	return valid, nil
}

// step validates bytes of one state and returns their number.
func (v *validator) step(p []byte) (int, error) {
	switch v.state {
	case untilClose:
		return len(p), nil
	case content, chunkData:
		n := min(int64(len(p)), v.remaining)
		if v.remaining -= n; v.remaining == 0 {
			v.endData()
		}
		return int(n), nil
	}
	lineFeed := bytes.IndexByte(p, '\n')
	n := lineFeed + 1
	if lineFeed < 0 {
		n = len(p)
	}
	if err := v.countLineBytes(n); err != nil || lineFeed < 0 {
		v.line = append(v.line, p[:n]...)
		return n, err
	}
	line := p[:n]
	if len(v.line) > 0 {
		line = append(v.line, line...)
		v.line = nil
	}
	return n, v.endLine(line)
}

// recordCost records what the head costs that is being received.
func (v *validator) recordCost() {
	v.headCost = max(v.headCost, headCost(v.head.size, v.head.fields))
}

// isBetweenResponses reports whether no byte of a response has been received since the end of the latest one.
func (v *validator) isBetweenResponses() bool { return v.state == statusLine && len(v.line) == 0 }

// countLineBytes counts bytes of a line that may not be complete.
func (v *validator) countLineBytes(n int) error {
	switch v.state {
	case chunkSizeLine, chunkEndLine:
		if len(v.line)+n > maxChunkLine {
			return errors.Wrap(ErrInvalid, "size of a chunk is too long")
		}
	default:
		if v.head.size += int64(n); v.head.size > maxHeadBytes {
			return errors.Wrap(ErrInvalid, "head is too large")
		}
		v.recordCost()
	}
	return nil
}

// endData ends content or the data of a chunk.
func (v *validator) endData() {
	if v.state == chunkData {
		v.state = chunkEndLine
		return
	}
	v.endResponse()
}

// endResponse makes the next bytes those of another response.
func (v *validator) endResponse() { v.state, v.head = statusLine, head{} }

// endLine validates a complete line, including its line feed.
func (v *validator) endLine(line []byte) error {
	switch v.state {
	case chunkSizeLine:
		return v.endChunkSize(line)
	case chunkEndLine:
		v.state = chunkSizeLine
		if string(line) != "\r\n" {
			return invalid("end of a chunk", line)
		}
		return nil
	}
	// RFC 9112, section 2.2, allows recipients to accept a lone line feed here.
	line = bytes.TrimSuffix(line[:len(line)-1], []byte("\r"))
	switch {
	case v.state == statusLine:
		return v.endStatusLine(line)
	case len(line) > 0:
		return v.endField(line)
	case v.state == trailerLine:
		v.endResponse()
		return nil
	}
	return v.endHead()
}

// endStatusLine validates a status line: HTTP-version SP status-code SP [ reason-phrase ]. RFC 9112, section 4, allows recipients to accept one
// without the space before an absent reason phrase.
func (v *validator) endStatusLine(line []byte) error {
	const version, codeDigits = "HTTP/1.", 3
	rest, ok := bytes.CutPrefix(line, []byte(version))
	if !ok || len(rest) < len("1 200") || !isDigit(rest[0]) || rest[1] != ' ' {
		return invalid("status line", line)
	}
	code, reason := rest[2:2+codeDigits], rest[2+codeDigits:]
	for _, c := range code {
		if !isDigit(c) {
			return invalid("status line", line)
		}
	}
	status, err := strconv.Atoi(string(code))
	if err != nil || !IsStatus(status) || len(reason) > 0 && reason[0] != ' ' ||
		!httpguts.ValidHeaderFieldValue(string(reason)) {
		return invalid("status line", line)
	}
	v.head = head{size: v.head.size, minorVersion: int(rest[0] - '0'), status: status, contentLength: -1}
	v.state = fieldLine
	return nil
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// endField validates a field of a head or a trailer: field-name ":" OWS field-value OWS. Folded lines, which RFC 9112, section 5.2, lets a proxy
// refuse, begin with a blank, and so with no name.
func (v *validator) endField(line []byte) error {
	v.head.fields++
	v.recordCost()
	name, value, ok := strings.Cut(string(line), ":")
	if !ok || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
		return invalid("field", line)
	}
	if v.state == trailerLine {
		return nil
	}
	text := strings.Trim(value, " \t")
	switch {
	case strings.EqualFold(name, "Content-Length"):
		return v.setContentLength(text, line)
	case strings.EqualFold(name, "Transfer-Encoding"):
		// Servers may use other codings only if the request has a TE field, which no client here sends.
		if !strings.EqualFold(text, "chunked") || v.head.hasFraming() {
			return invalid("transfer coding", line)
		}
		v.head.chunked = true
	}
	return nil
}

// setContentLength takes over the stated length of the content. A second one is refused even if it is the same, as RFC 9110, section 8.6, allows.
func (v *validator) setContentLength(value string, line []byte) error {
	length, err := strconv.ParseUint(value, 10, 63)
	if err != nil || v.head.hasFraming() {
		return invalid("length", line)
	}
	v.head.contentLength = int64(length)
	return nil
}

// endHead determines what follows a head by RFC 9112, section 6.
func (v *validator) endHead() error {
	h := &v.head
	switch {
	case h.chunked && h.minorVersion == 0:
		return errors.Wrap(ErrInvalid, "HTTP/1.0 has no transfer codings")
	case h.status == http.StatusSwitchingProtocols:
		return errors.Wrap(ErrInvalid, "protocol was switched without a request")
	case h.status < http.StatusOK && h.hasFraming(), h.status == http.StatusNoContent && (h.chunked || h.contentLength > 0):
		return errors.Wrapf(ErrInvalid, "status %d with content", h.status)
	case h.status < http.StatusOK:
		v.endResponse()
	case v.method == http.MethodHead, h.status == http.StatusNoContent, h.status == http.StatusNotModified:
		v.endResponse()
	case h.chunked:
		v.state = chunkSizeLine
	case h.contentLength > 0:
		v.state, v.remaining = content, h.contentLength
	case h.contentLength == 0:
		v.endResponse()
	default:
		v.state = untilClose
	}
	return nil
}

// endChunkSize validates the size of a chunk: 1*HEXDIG [ chunk-ext ] CRLF.
func (v *validator) endChunkSize(line []byte) error {
	text, ok := bytes.CutSuffix(line, []byte("\r\n"))
	digits := 0
	for digits < len(text) && bytes.IndexByte([]byte("0123456789abcdefABCDEF"), text[digits]) >= 0 {
		digits++
	}
	size, err := strconv.ParseUint(string(text[:digits]), 16, 64)
	extension := string(text[digits:])
	switch {
	case !ok, err != nil, digits > maxChunkDigits, size > math.MaxInt64,
		extension != "" && extension[0] != ';', !httpguts.ValidHeaderFieldValue(extension):
		return invalid("size of a chunk", line)
	case size == 0:
		v.state = trailerLine
	default:
		v.state, v.remaining = chunkData, int64(size)
	}
	return nil
}
