package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// restartTime is the time for which a worker is away after a crash.
const restartTime = 3 * time.Second

// expiryTime is the time after which the store removes the entry of a silent worker: three check-in intervals.
const expiryTime = 3 * heartbeat

// arrival is a request that has reached a worker.
type arrival struct {
	at      time.Time
	worker  string // ID of the incarnation
	attempt string
	path    string
	header  http.Header
	began   bool // the worker has begun to run it
	crashed bool // it has crashed the worker
}

// worker is a stand-in of a worker at an address of its own. It lives through several incarnations.
type worker struct {
	world   *world
	service string
	addr    string
	zone    string
	engine  bool
	// deadly reports whether a request crashes a worker that begins to run it.
	deadly func(*http.Request) bool
	// crashAfterBytes is how much of its answer a worker of a plain service has sent when it crashes; 0: not even the head.
	crashAfterBytes int
	// events is the number of events of a stream; 0: streamEvents.
	events int
	// pause returns how long a worker with an engine makes no event now; nil: never.
	pause func() time.Duration
	// full tells that the worker rejects all requests.
	full bool
	// fails reports whether a worker of a plain service runs a request, cannot finish it, and answers 503 of its own.
	fails func(*http.Request) bool

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	listener net.Listener
	conns    map[net.Conn]struct{}
	stopped  bool
	arrivals []*arrival
	crashes  int
	context  context.Context
	cancel   context.CancelFunc
}

func (w *world) startWorker(e *worker) *worker {
	e.world = w
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	e.addr = l.Addr().String()
	e.begin(l)
	w.workers = append(w.workers, e)
	return e
}

// begin starts an incarnation.
func (e *worker) begin(l net.Listener) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listener, e.conns = l, map[net.Conn]struct{}{}
	e.id, e.born, e.sequence = fmt.Sprintf("i-%s-%d", e.service, e.world.nextID()), time.Now().UnixMilli(), 0
	e.context, e.cancel = context.WithCancel(context.Background())
	go e.accept(l, e.conns, e.id)
	go e.beat(e.context, e.id, e.born)
}

// beat writes the worker's entry until its incarnation ends.
func (e *worker) beat(ctx context.Context, id string, born int64) {
	slots := 6
	if e.engine {
		slots = 16
	}
	for sequence := 1; ctx.Err() == nil; sequence++ {
		e.world.store.put("servers", id, map[string]any{"Service": e.service, "Address": e.addr, "Zone": e.zone, "Version": "v1", "Slots": slots,
			"State": "ready", "ColdMs": 0, "Sequence": sequence, "born": born})
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

func (e *worker) accept(l net.Listener, conns map[net.Conn]struct{}, id string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		conns[c] = struct{}{}
		e.mu.Unlock()
		go func() {
			e.serve(c, id)
			_ = c.Close()
			e.mu.Lock()
			delete(conns, c)
			e.mu.Unlock()
		}()
	}
}

// crash ends an incarnation without notice: its connections are reset, and it is back after some seconds under another ID.
func (e *worker) crash(id string) {
	e.mu.Lock()
	if e.id != id || e.stopped || e.listener == nil {
		e.mu.Unlock()
		return
	}
	e.crashes++
	e.endLocked()
	e.mu.Unlock()
	e.world.notef("worker %s crashes", id)
	time.AfterFunc(expiryTime, func() { e.world.store.remove("servers", id) })
	time.AfterFunc(restartTime, func() {
		e.mu.Lock()
		stopped := e.stopped
		e.mu.Unlock()
		if stopped {
			return
		}
		l, err := net.Listen("tcp", e.addr)
		if err != nil {
			e.world.notef("worker at %s cannot start again: %v", e.addr, err)
			return
		}
		e.begin(l)
	})
}

func (e *worker) endLocked() {
	e.cancel()
	if e.listener != nil {
		_ = e.listener.Close()
		e.listener = nil
	}
	for c := range e.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (e *worker) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
	e.endLocked()
}

// serve serves the requests of a connection, one after the other.
func (e *worker) serve(c net.Conn, id string) {
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !e.answer(c, id, req, body) {
			return
		}
	}
}

func reply(c io.Writer, status int, header map[string]string, body string) bool {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	_, err := io.WriteString(c, b.String())
	return err == nil
}

// answer answers one request and reports whether the connection stays open.
func (e *worker) answer(c net.Conn, id string, req *http.Request, body []byte) bool {
	if want := req.Header.Get("X-Bilberrylink-Expect-Instance"); want != "" && want != id {
		return reply(c, http.StatusMisdirectedRequest, map[string]string{"X-Bilberrylink-Instance-Id": id,
			"X-Bilberrylink-Attempt-Id": req.Header.Get("X-Bilberrylink-Attempt-Id")}, "")
	}
	switch req.URL.Path {
	case "/health":
		return reply(c, http.StatusOK, map[string]string{"X-Bilberrylink-Instance-Id": id}, "")
	case "/report":
		return reply(c, http.StatusOK, map[string]string{"Content-Type": "application/json"}, `{"Stage":"both_phases","Busy":false}`)
	case "/order":
		var order struct{ Operation string }
		if json.Unmarshal(body, &order) != nil {
			return reply(c, http.StatusBadRequest, nil, "")
		}
		return reply(c, http.StatusOK, map[string]string{"Content-Type": "application/json"}, `{"Free":100000}`)
	}
	a := &arrival{at: time.Now(), worker: id, attempt: req.Header.Get("X-Bilberrylink-Attempt-Id"), path: req.URL.Path, header: req.Header}
	if a.attempt == "" {
		return reply(c, http.StatusBadRequest, map[string]string{"X-Bilberrylink-Not-Executed": "1"}, "")
	}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, a)
	e.mu.Unlock()
	deadly := e.deadly != nil && e.deadly(req)
	e.world.notef("worker %s gets %s %s (attempt %s, deadly %t)", id, req.Method, req.URL.Path, a.attempt, deadly)
	header := map[string]string{"X-Bilberrylink-Attempt-Id": a.attempt, "X-Bilberrylink-Response-Signature": "sig." + a.attempt}
	if e.full {
		return reply(c, http.StatusServiceUnavailable, map[string]string{"X-Bilberrylink-Attempt-Id": a.attempt, "X-Bilberrylink-Not-Executed": "1"}, "")
	}
	e.mu.Lock()
	a.began = true
	e.mu.Unlock()
	if e.engine {
		return e.stream(c, id, a, header, deadly)
	}
	if e.fails != nil && e.fails(req) {
		time.Sleep(workTime)
		return reply(c, http.StatusServiceUnavailable, header, "the payment service does not answer")
	}
	return e.plain(c, id, a, header, deadly)
}

// Answers of a plain service.
const (
	plainBytes = 800
	workTime   = 15 * time.Millisecond
)

// plain answers with a text of a stated length. A deadly request crashes the worker while that is sent.
func (e *worker) plain(c net.Conn, id string, a *arrival, header map[string]string, deadly bool) bool {
	time.Sleep(workTime)
	if !deadly {
		return reply(c, http.StatusOK, header, strings.Repeat("x", plainBytes))
	}
	if e.crashAfterBytes > 0 {
		var b strings.Builder
		b.WriteString("HTTP/1.1 200 OK\r\n")
		for name, value := range header {
			fmt.Fprintf(&b, "%s: %s\r\n", name, value)
		}
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", plainBytes, strings.Repeat("x", e.crashAfterBytes))
		_, _ = io.WriteString(c, b.String())
		time.Sleep(20 * time.Millisecond)
	}
	e.markCrash(a)
	e.crash(id)
	return false
}

func (e *worker) markCrash(a *arrival) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.crashed = true
}

// Events of a stream.
const (
	streamEvents = 8
	firstEvent   = 40 * time.Millisecond
	eventPause   = 30 * time.Millisecond
)

// stream answers with events in chunks. A deadly request crashes the worker that begins to write the answer.
func (e *worker) stream(c net.Conn, id string, a *arrival, header map[string]string, deadly bool) bool {
	time.Sleep(firstEvent)
	if deadly {
		e.markCrash(a)
		e.crash(id)
		return false
	}
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	b.WriteString("\r\n")
	first := 0
	if last, err := strconv.Atoi(a.header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	if _, err := io.WriteString(c, b.String()); err != nil {
		return false
	}
	events := streamEvents
	if e.events > 0 {
		events = e.events
	}
	for i := first; i < events; i++ {
		if e.pause != nil {
			time.Sleep(e.pause())
		}
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("t", 50))
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			e.world.notef("worker %s is at work on attempt %s, whose connection has been closed by the gateway before event %d", id, a.attempt, i)
			return false
		}
		time.Sleep(eventPause)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// allArrivals returns copies of the requests that have reached the workers.
func (w *world) allArrivals() (list []arrival) {
	for _, e := range w.workers {
		e.mu.Lock()
		for _, a := range e.arrivals {
			list = append(list, *a)
		}
		e.mu.Unlock()
	}
	return list
}
