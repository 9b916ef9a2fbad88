package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
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
	usualRate       = 5819 // in 100 s: 47 drafts, 2.39 summaries, 1.44 ledgers, 4.36 orders and 3 lookups a second
	deskWorkers     = 3
	calmSeconds     = 5
	troubleSeconds  = 25
	eventPause      = 43 * time.Millisecond
	restartDelay    = 500 * time.Millisecond
	toleratedLosses = 3
	pieceBytes      = 8 << 10
	piecePause      = 10 * time.Millisecond
)

// promptKind is a kind of request of the sheet.
type promptKind struct {
	method, path string
	tokens       string // empty: no prompt
	deadlineMs   int
	prefix       string // with the part of its own
	share        float64
	events       int
	reading      time.Duration // until the first event of a sound worker
}

// promptKinds are the kinds of the sheet, with their shares of the requests and mean sizes.
var promptKinds = []promptKind{
	{http.MethodPost, draftPath, "4960,1700", 10000, "5c1e07a2:40,%s:4920", 0.808, 33, 100 * time.Millisecond},
	{http.MethodPost, summaryPath, "45000,1020", 10000, "5c1e07a2:40,%s:44960", 0.041, 20, 450 * time.Millisecond},
	{http.MethodPost, ledgerPath, "154000,820", 15000, "5c1e07a2:40,%s:153960", 0.025, 16, 3 * time.Second},
	{http.MethodPost, orderPath, "", 1500, "", 0.075, 0, 15 * time.Millisecond},
	{http.MethodGet, lookupPath, "", 1500, "", 0.051, 0, 15 * time.Millisecond},
}

// randomKind returns a kind by the shares.
func randomKind() *promptKind {
	x := rand.Float64()
	for i := range promptKinds {
		if x -= promptKinds[i].share; x < 0 {
			return &promptKinds[i]
		}
	}
	return &promptKinds[0]
}

// endlessRun records what the workers and the requesters see.
type endlessRun struct {
	w        *world
	g        *gateway
	troubled atomic.Bool
	ends     atomic.Int64 // of the gateway's process

	mu       sync.Mutex
	sound    map[string]bool // requests that sound workers have begun to run, by attempt
	idle     []*keptConn
	answered int
	failed   int
	lost     int // from kept connections, passed on to sound workers and left without a byte of an answer
}

// keptConn is a connection of a requester. It has had an answer if it is kept.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
	kept   bool
}

// playEndless has some model workers answer with a head that doesn't end, until the caller closes.
func playEndless(w *world, trouble bool) (broken bool, err error) {
	r := &endlessRun{w: w, sound: make(map[string]bool)}
	for i := range draftWorkers {
		if _, err := w.addWorker(model, "kecskemet", func(wk *worker, c net.Conn, req *http.Request) bool {
			if i < troubledWorkers && r.troubled.Load() {
				return writeEndlessHead(wk, c)
			}
			return r.answerPrompt(c, req)
		}); err != nil {
			return false, err
		}
	}
	for range deskWorkers {
		if _, err := w.addWorker(desk, "kecskemet", func(_ *worker, c net.Conn, req *http.Request) bool { return r.answerPrompt(c, req) }); err != nil {
			return false, err
		}
	}
	w.store.put("op", "config", configuration())
	if r.g, err = w.addGateway(0, 1, "kecskemet"); err != nil {
		return false, err
	}
	if err := r.g.awaitReady(); err != nil {
		return false, err
	}
	go r.superviseGateway()
	headLines()
	time.AfterFunc(calmSeconds*time.Second, func() {
		w.note("trouble at workers: %t", trouble)
		r.troubled.Store(trouble)
	})
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Second * 100 / usualRate)
	defer ticker.Stop()
	for begin := time.Now(); time.Since(begin) < (calmSeconds+troubleSeconds)*time.Second; {
		<-ticker.C
		kind := randomKind()
		wg.Go(func() { r.sendPrompt(kind) })
	}
	wg.Wait()
	w.say("%d requests answered, %d not; highest memory %d MB of %d MB; the process ended %d times", r.answered, r.failed, r.g.highestMemory(),
		memoryMb, r.ends.Load())
	w.say("%d requests of kept connections, passed on to sound workers, got no answer; %d are tolerated", r.lost, toleratedLosses)
	return r.lost > toleratedLosses, nil
}

// superviseGateway kills the process when it exceeds the memory of its machine, and starts it again, as the platform does.
func (r *endlessRun) superviseGateway() {
	for {
		r.g.enforceMemory()
		r.ends.Add(1)
		time.Sleep(restartDelay)
		if err := r.g.restart(); err != nil {
			r.w.note("cannot start the gateway again: %v", err)
			return
		}
	}
}

func (r *endlessRun) answerPrompt(c net.Conn, req *http.Request) bool {
	r.mu.Lock()
	r.sound[req.Header.Get(headerAttempt)] = true
	r.mu.Unlock()
	for i := range promptKinds {
		if kind := &promptKinds[i]; strings.HasPrefix(req.URL.Path, kind.path) {
			time.Sleep(kind.reading)
			if kind.tokens == "" {
				return answerWhole(c, req, "")
			}
			return answerStream(c, req, kind.events, eventPause)
		}
	}
	return false
}

// takeConn returns a kept connection, or a new one.
func (r *endlessRun) takeConn() (*keptConn, error) {
	r.mu.Lock()
	if n := len(r.idle); n > 0 {
		c := r.idle[n-1]
		r.idle = r.idle[:n-1]
		r.mu.Unlock()
		return c, nil
	}
	r.mu.Unlock()
	c, err := net.DialTimeout("tcp", r.g.front(), time.Second)
	if err != nil {
		return nil, err
	}
	return &keptConn{Conn: c, reader: bufio.NewReader(c)}, nil
}

// sendPrompt sends a request and reads its answer.
func (r *endlessRun) sendPrompt(kind *promptKind) {
	own, id, began := r.w.newID(), r.w.newID(), time.Now()
	c, err := r.takeConn()
	if err != nil {
		r.addResult(nil, id, began, answer{err: err})
		return
	}
	_ = c.SetDeadline(began.Add(time.Duration(kind.deadlineMs) * time.Millisecond)) // fails only on a closed connection
	req := request{method: kind.method, path: kind.path + "2f", id: id, deadlineMs: kind.deadlineMs, tokens: kind.tokens}
	if kind.tokens != "" {
		req.prefix, req.body = fmt.Sprintf(kind.prefix, own), "a prompt that ends with "+own
	}
	a := exchange(c, c.reader, req)
	r.addResult(c, id, began, a)
}

func (r *endlessRun) addResult(c *keptConn, id string, began time.Time, a answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := c != nil && c.kept
	r.w.note("request %s: %d after %d ms, %d bytes, %v; kept connection %t, run by a sound worker %t", id, a.status,
		time.Since(began).Milliseconds(), len(a.body), a.err, kept, r.sound[id])
	if a.status == http.StatusOK && a.err == nil {
		r.answered++
	} else {
		r.failed++
	}
	if a.status == 0 && kept && r.sound[id] && time.Since(began) < 10*time.Second {
		r.lost++
	}
	if c == nil {
		return
	}
	if a.status == 0 || a.err != nil || a.closes {
		_ = c.Close()
		return
	}
	c.kept = true
	r.idle = append(r.idle, c)
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
