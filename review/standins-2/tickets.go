package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { plays["tickets"] = playTickets }

// The request and the trouble of the case with memory that is set aside.
const (
	ticketWorkers = 6
	digestTokens  = "320000,80" // more than one worker holds
	digestPrefix  = "5c1e07a2:40,%s:319960"
	digestEvents  = 16
	digestPause   = 300 * time.Millisecond
	lateBy        = 2300 * time.Millisecond // from 2 to 12 s
	killAfter     = 400 * time.Millisecond  // the renewal that is left unanswered
	sampleTime    = 20 * time.Millisecond
	watchedFor    = 14 * time.Second
)

// ticketBoard holds the reservations of the workers.
type ticketBoard struct {
	w *world

	mu       sync.Mutex
	held     map[string]*ticket // by worker and ID
	dropNext bool               // leave the next renewal unanswered and carry it out late
	lastUse  time.Time          // the end of the latest request
	used     bool
	renewed  chan struct{} // signals a renewal
}

type ticket struct {
	worker, id string
	tokens     int
	expiresAt  time.Time
	timer      *time.Timer
}

// playTickets has a request with memory at two workers. With trouble, its gateway is killed shortly after a renewal that is left unanswered and
// carried out late; LATE=0 kills the gateway without that.
func playTickets(w *world, trouble bool) (broken bool, err error) {
	b := &ticketBoard{w: w, held: make(map[string]*ticket), renewed: make(chan struct{}, 100)}
	for range ticketWorkers {
		if _, err := w.addWorker(model, "kecskemet", b.serve); err != nil {
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
	done := make(chan answer, 1)
	go func() {
		done <- send(g.front(), request{method: http.MethodPost, path: ledgerPath + "2f", id: w.newID(), deadlineMs: 15000,
			tokens: digestTokens, prefix: fmt.Sprintf(digestPrefix, w.newID())})
	}()
	time.Sleep(digestEvents * digestPause / 2)
	b.mu.Lock()
	b.dropNext = trouble && os.Getenv("LATE") != "0"
	b.mu.Unlock()
	for len(b.renewed) > 0 {
		<-b.renewed
	}
	<-b.renewed
	time.Sleep(killAfter)
	if trouble {
		g.signal(syscall.SIGKILL)
	}
	a := <-done
	w.note("digest: %d after %d ms, %d bytes, %v", a.status, a.elapsed.Milliseconds(), len(a.body), a.err)
	return b.watch()
}

// watch samples the tickets after the request has ended and reports whether memory stays set aside for longer than FreeMs.
func (b *ticketBoard) watch() (broken bool, err error) {
	var ended time.Time
	used := true
	for used && ended.IsZero() {
		time.Sleep(sampleTime)
		b.mu.Lock()
		ended, used = b.lastUse, b.used
		b.mu.Unlock()
	}
	if !used {
		return false, fmt.Errorf("%w: no request used a ticket", errCannotRun)
	}
	var longest time.Duration
	for time.Since(ended) < watchedFor {
		b.mu.Lock()
		if len(b.held) > 0 {
			longest = time.Since(ended)
		}
		b.mu.Unlock()
		time.Sleep(sampleTime)
	}
	b.w.say("memory was set aside until %d ms after the request had ended; allowed are %d", longest.Milliseconds(), freeMs)
	return longest > freeMs*time.Millisecond, nil
}

func (b *ticketBoard) serve(wk *worker, c net.Conn, req *http.Request) bool {
	if req.URL.Path == "/order" {
		return b.serveOrder(wk, c, req)
	}
	helpers := req.Header.Get("X-Bilberrylink-Helpers")
	b.w.note("worker %s runs request %s with helpers %q", wk.id, req.Header.Get(headerAttempt), helpers)
	b.mu.Lock()
	b.used = b.used || strings.Contains(helpers, "/")
	b.mu.Unlock()
	go func() {
		_, _ = io.Copy(io.Discard, c) // until the caller closes; the next event would fail, too
		_ = c.Close()
	}()
	open := answerStream(c, req, digestEvents, digestPause)
	b.mu.Lock()
	b.lastUse = time.Now()
	b.mu.Unlock()
	b.w.note("worker %s: request %s has ended", wk.id, req.Header.Get(headerAttempt))
	return open
}

func (b *ticketBoard) serveOrder(wk *worker, c net.Conn, req *http.Request) bool {
	var order struct {
		Operation, Id string
		Tokens        int
		HoldMs        float64
	}
	body, err := io.ReadAll(req.Body)
	if err != nil || json.Unmarshal(body, &order) != nil {
		return false
	}
	key := wk.id + "/" + order.Id
	switch order.Operation {
	case "reserve":
		if b.isLate(key) {
			b.w.note("worker %s leaves the renewal of %s unanswered", wk.id, order.Id)
			time.AfterFunc(lateBy, func() {
				b.w.note("worker %s carries out the renewal of %s late", wk.id, order.Id)
				b.reserve(wk.id, order.Id, order.Tokens, order.HoldMs)
			})
			_, _ = io.Copy(io.Discard, c) // until the caller closes
			return false
		}
		b.w.note("worker %s reserves %d tokens for %s, for %.0f ms", wk.id, order.Tokens, order.Id, order.HoldMs)
		b.reserve(wk.id, order.Id, order.Tokens, order.HoldMs)
	case "release":
		b.w.note("worker %s releases %s", wk.id, order.Id)
		b.release(key)
	default:
		_, err := io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	const done = `{"Free":1000}`
	_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(done), done)
	return err == nil
}

// isLate reports whether an order to reserve is left unanswered. One is, and it renews a reservation.
func (b *ticketBoard) isLate(key string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held[key] == nil {
		return false
	}
	b.renewed <- struct{}{}
	late := b.dropNext
	b.dropNext = false
	return late
}

func (b *ticketBoard) reserve(worker, id string, tokens int, holdMs float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key, hold := worker+"/"+id, time.Duration(holdMs)*time.Millisecond
	t := b.held[key]
	if t == nil {
		t = &ticket{worker: worker, id: id, tokens: tokens}
		b.held[key] = t
	} else {
		t.timer.Stop()
	}
	t.expiresAt = time.Now().Add(hold)
	t.timer = time.AfterFunc(hold, func() {
		b.w.note("the lease of %s at worker %s ends", id, worker)
		b.release(key)
	})
}

func (b *ticketBoard) release(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.held[key]; t != nil {
		t.timer.Stop()
		delete(b.held, key)
	}
}
