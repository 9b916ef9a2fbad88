package hostile

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bilberrylink/bilberrylink/platform/platformtest"
)

// Requests that get an endless response at the same time.
const (
	endlessCallers  = 100
	endlessRequests = 3 // of each caller
	endlessPiece    = 8 << 10
	endlessPause    = 5 * time.Millisecond // between pieces, so that no response reaches a limit before the others
)

// shortFields returns fields that take many times their length in memory, since each has another name.
var shortFields = sync.OnceValue(func() string {
	const number = 300_000 // more bytes than a gateway reads of a head
	var fields strings.Builder
	for i := range number {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	return fields.String()
})

// writeEndlessly writes a response without end, of which the end of the path tells the kind, until the gateway closes the connection.
func writeEndlessly(w http.ResponseWriter, req *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	text, head := shortFields(), platformtest.SuccessHead(attemptID, 0)
	switch {
	case strings.HasSuffix(req.URL.Path, "/line"):
		text, head = strings.Repeat("x", endlessPiece), head+"X-Any: "
	case strings.HasSuffix(req.URL.Path, "/body"), strings.HasSuffix(req.URL.Path, "/event"):
		text, head = strings.Repeat("x", endlessPiece), head+"\r\n"
	}
	if _, err := io.WriteString(c, head); err != nil {
		return
	}
	for rest := text; ; rest = rest[endlessPiece:] {
		if len(rest) < endlessPiece {
			rest = text
		}
		if _, err := io.WriteString(c, rest[:endlessPiece]); err != nil {
			return
		}
		time.Sleep(endlessPause)
	}
}

// Guards against responses of endpoints that do not end, at many connections at once: each is bounded, and their sum may still exceed the
// machine's memory, which ends the requests of all callers.
func TestEndlessResponses(t *testing.T) {
	for _, path := range []string{"/endless/fields", "/endless/line", "/endless/body", "/endless-stream/event"} {
		t.Run(path, func(t *testing.T) {
			g := startGateway(t)
			var callers sync.WaitGroup
			for range endlessCallers {
				callers.Go(func() {
					for range endlessRequests {
						g.request(path, "x")
					}
				})
			}
			done := make(chan struct{})
			go func() {
				callers.Wait()
				close(done)
			}()
			for waiting := true; waiting; {
				g.sample()
				select {
				case <-done:
					waiting = false
				case <-time.After(sampleTime):
				}
			}
			g.requireBounds()
		})
	}
}
