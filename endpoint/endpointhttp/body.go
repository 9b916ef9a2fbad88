package endpointhttp

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
)

// Bounds of what the bodies of responses to calls hold, in bytes.
const (
	// freeBodyBytes is the length that every body may have, whatever others hold.
	freeBodyBytes = 256 << 10
	// allBodiesBytes bounds what longer bodies hold together while they are received. The longest one takes up to a half of it.
	allBodiesBytes = 2 * bufferFactor * MaxBodyBytes
	// bufferFactor is how much a bytes.Buffer takes while it grows, as a multiple of its bytes.
	bufferFactor = 3
)

// bodies is the budget of the process for bodies that are being received.
var bodies = semaphore.NewWeighted(allBodiesBytes)

var errShort = errors.New("no memory for the body of a response")

// readBody reads the body of a response to its end. An endpoint in trouble may send bodies without end on many connections at once.
func readBody(r io.Reader) ([]byte, error) {
	var body bytes.Buffer
	charged := int64(0)
	defer func() { bodies.Release(charged) }()
	for limit := int64(freeBodyBytes); ; {
		_, err := io.CopyN(&body, r, limit-int64(body.Len()))
		switch {
		case err == io.EOF:
			return body.Bytes(), nil
		case err != nil:
			return nil, err
		case limit > MaxBodyBytes:
			return nil, errTooLong
		}
		step := min(limit, MaxBodyBytes+1-limit)
		if !bodies.TryAcquire(bufferFactor * step) {
			return nil, errShort
		}
		charged += bufferFactor * step
		limit += step
	}
}
