package main

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { plays["endless"] = playEndless }

// The load and the trouble of the case with heads without end.
const (
	draftWorkers    = 5
	troubledWorkers = 3
	draftsPerSecond = 47
	draftSeconds    = 20
	pieceBytes      = 8 << 10
	piecePause      = 10 * time.Millisecond
)

// playEndless has some model workers answer with a head that doesn't end, until the caller closes.
func playEndless(w *world, trouble bool) (broken bool, err error) {
	var troubled atomic.Bool
	for i := range draftWorkers {
		serve := answerDraft
		if i < troubledWorkers {
			serve = func(wk *worker, c net.Conn, req *http.Request) bool {
				if troubled.Load() {
					return writeEndlessHead(wk, c)
				}
				return answerDraft(wk, c, req)
			}
		}
		if _, err := w.addWorker(model, "kecskemet", serve); err != nil {
			return false, err
		}
	}
	w.store.put("op", "config", configuration())
	g, err := w.addGateway(0, 1, "kecskemet")
	if err != nil {
		return false, err
	}
	if err := g.awaitReady(); err != nil {
		return false, err
	}
	go g.enforceMemory()
	headLines()
	troubled.Store(trouble)
	var wg sync.WaitGroup
	var answered, failed atomic.Int64
	ticker := time.NewTicker(time.Second / draftsPerSecond)
	defer ticker.Stop()
	for range draftSeconds * draftsPerSecond {
		<-ticker.C
		wg.Go(func() {
			own := w.newID()
			a := send(g.front(), request{method: http.MethodPost, path: draftPath + "2f", id: w.newID(), deadlineMs: 10000, tokens: "4960,200",
				prefix: "5c1e07a2:40," + own + ":4920", body: "a prompt that ends with " + own})
			w.note("draft: %d after %d ms, %d bytes, %v", a.status, a.elapsed.Milliseconds(), len(a.body), a.err)
			if a.status == http.StatusOK && a.err == nil {
				answered.Add(1)
			} else {
				failed.Add(1)
			}
		})
	}
	wg.Wait()
	w.say("%d drafts answered, %d not; highest memory %d MB of %d MB", answered.Load(), failed.Load(), g.highestMemory(), memoryMb)
	return g.hasEnded(), nil
}

func answerDraft(_ *worker, c net.Conn, req *http.Request) bool {
	return answerStream(c, req, 33, 43*time.Millisecond)
}

// headLines returns lines of a head, each with a new name, in pieces that are written one after the other. They are more than a gateway reads.
var headLines = sync.OnceValue(func() (pieces [][]byte) {
	const lineCount = 400_000
	var piece strings.Builder
	for i := range lineCount {
		piece.WriteString(fieldName(i) + ":\r\n")
		if piece.Len() >= pieceBytes {
			pieces = append(pieces, []byte(piece.String()))
			piece.Reset()
		}
	}
	return pieces
})

// writeEndlessHead writes lines of a head until the caller closes.
func writeEndlessHead(wk *worker, c net.Conn) bool {
	if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\n")); err != nil {
		return false
	}
	written := 0
	for i := 0; ; i++ {
		n, err := c.Write(headLines()[i%len(headLines())])
		if written += n; err != nil {
			wk.world.note("worker %s wrote %d bytes of a head until the caller closed", wk.id, written)
			return false
		}
		time.Sleep(piecePause)
	}
}

// nameChars are the characters of names of fields, which are not told apart by case.
const nameChars = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"

// fieldName returns the short name of the field with a number.
func fieldName(i int) string {
	name := []byte{nameChars[i%len(nameChars)]}
	for i /= len(nameChars); i > 0; i /= len(nameChars) {
		name = append(name, nameChars[i%len(nameChars)])
	}
	return string(name)
}
