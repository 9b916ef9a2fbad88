package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bilberrylink/bilberrylink/platform/platformtest"
)

const (
	eventsPerAnswer = 8
	eventPause      = 40 * time.Millisecond
	restartTime     = 1500 * time.Millisecond
	refusalTime     = 2 * time.Second // for which an endpoint that refuses wants no requests
	crashingPart    = "badbad"
	crashingPath    = "/stock/crashing" // of a call that crashes endpoints while they answer
)

// run is a request that an endpoint has begun to execute.
type run struct {
	attempt  string
	path     string
	endpoint string
	domain   string // failure domain of the endpoint
	at       time.Time
	parts    string
	leaving  bool // the endpoint stated in its answer that it shuts down
	refused  bool // the endpoint did not execute it, and wanted no others for refusalTime
}

// endpoint is a stand-in of a worker at an address of its own. It lives through several incarnations.
type endpoint struct {
	world   *world
	service string
	addr    string
	domain  string // failure domain

	mu        sync.Mutex
	id        string // of the current incarnation
	limit     float64
	garbles   bool      // breaks off or adds to some answers
	invalid   bool      // sends some responses that HTTP/1.1 does not allow, or that do not end
	leaving   bool      // states in its answers that it shuts down
	refuses   bool      // refuses requests with a time to return
	denies    bool      // runs some requests and answers them with a status that promises that they have not run
	stalledTo time.Time // until which it makes no events
	listener  *silenceableListener
	listeners []*silenceableListener // of all incarnations; they hold the connections that have been silenced
	conns     map[net.Conn]struct{}

	startedAt time.Time
}

// start begins a new incarnation, which registers in the store.
func (e *endpoint) start() error {
	listener, err := listenSilenceable(e.addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listeners = append(e.listeners, listener)
	e.addr, e.listener, e.conns = listener.Addr().String(), listener, make(map[net.Conn]struct{})
	e.id = fmt.Sprintf("i-%s-%d", e.service, e.world.nextID())
	e.startedAt, e.leaving, e.refuses, e.denies, e.stalledTo = time.Now(), false, false, false, time.Time{}
	e.register()
	go e.accept(listener, e.conns)
	return nil
}

// register writes the endpoint's row. e.mu must be held.
func (e *endpoint) register() {
	e.world.store.SetEndpoint(e.id, platformtest.Endpoint{Service: e.service, Addr: e.addr, Zone: e.domain, StartedAt: e.startedAt})
}

// registerAgain writes the row again if the endpoint lives and the store has lost it.
func (e *endpoint) registerAgain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listener != nil && !slices.Contains(e.world.store.Endpoints(), e.id) {
		e.register()
	}
}

func (e *endpoint) accept(listener *silenceableListener, conns map[net.Conn]struct{}) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		conns[c] = struct{}{}
		e.mu.Unlock()
		go func() {
			e.serve(c)
			_ = c.Close() // the other side may have closed it
			e.mu.Lock()
			delete(conns, c)
			e.mu.Unlock()
		}()
	}
}

// crash cuts all connections and starts a new incarnation after a while.
func (e *endpoint) crash() {
	e.mu.Lock()
	id, listener := e.id, e.listener
	if listener == nil {
		e.mu.Unlock()
		return
	}
	e.listener = nil
	_ = listener.Close()
	for c := range e.conns {
		_ = c.(*silenceableConn).SetLinger(0)
		_ = c.Close()
	}
	e.mu.Unlock()
	time.AfterFunc(restartTime, func() {
		e.world.store.RemoveEndpoint(id)
		for e.world.ctx.Err() == nil && e.start() != nil {
			time.Sleep(eventPause)
		}
	})
}

// currentID returns the ID of the current incarnation.
func (e *endpoint) currentID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id
}

func (e *endpoint) state() (id string, limit float64, garbles, leaving, refuses bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id, e.limit, e.garbles, e.leaving, e.refuses
}

// set changes how the endpoint behaves.
func (e *endpoint) set(change func(e *endpoint)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

func (e *endpoint) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	for {
		req, err := platformtest.ReadEndpointRequest(reader)
		if err != nil || e.answerInvalid(c, req) {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil || !e.answer(c, req) {
			return
		}
	}
}

// answer responds to a request and reports whether the connection stays open.
func (e *endpoint) answer(c net.Conn, req *platformtest.EndpointRequest) bool {
	id, limit, garbles, leaving, refuses := e.state()
	if req.EndpointID != "" && req.EndpointID != id {
		_, err := io.WriteString(c, platformtest.WrongEndpoint(req.AttemptID))
		return err == nil
	}
	if req.IsOrder {
		_, err := io.WriteString(c, platformtest.OrderDone)
		return err == nil
	}
	r := run{attempt: req.AttemptID, path: req.Path, endpoint: id, domain: e.domain, at: time.Now(), parts: req.Parts, leaving: leaving, refused: refuses}
	if refuses {
		e.world.checker.recordRefusal(r)
		refusal := platformtest.Refusal(req.AttemptID, refusalTime)
		if leaving {
			refusal = strings.TrimSuffix(refusal, "\r\n") + platformtest.LeavingHeader + "\r\n"
		}
		_, err := io.WriteString(c, refusal)
		return err == nil
	}
	e.world.checker.recordRun(r, limit)
	head := platformtest.SuccessHead(req.AttemptID, limit)
	if leaving {
		head += platformtest.LeavingHeader
	}
	faulty := garbles && rand.IntN(10) == 0
	time.Sleep(eventPause)
	switch {
	case strings.Contains(req.Parts, crashingPart+":"):
		e.world.checker.recordCrash(crashingPart, time.Now())
		e.crash()
		return false
	case req.Path == crashingPath:
		e.crashWhileAnswering(c, head, req)
		return false
	case e.answerDenial(c, req):
		return true
	}
	if strings.HasPrefix(req.Path, chatPrefix) {
		return e.stream(c, head, req, faulty)
	}
	body := "ran " + req.AttemptID
	if faulty {
		_, _ = io.WriteString(c, head+"Content-Length: 99\r\n\r\n"+body) // breaks off
		return false
	}
	response := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	_, err := io.WriteString(c, response)
	if err == nil && garbles && rand.IntN(10) == 0 { // a second copy, late
		time.Sleep(eventPause)
		_, err = io.WriteString(c, response)
	}
	return err == nil
}

// stream sends the events after the last one that the caller has. A faulty stream ends inside an event. The end of the connection ends
// the answer.
func (e *endpoint) stream(c net.Conn, head string, req *platformtest.EndpointRequest, faulty bool) bool {
	listener := c.(*silenceableConn).listener
	if _, err := io.WriteString(c, head+"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"); err != nil {
		return false
	}
	for i := req.LastEventID + 1; i <= eventsPerAnswer; i++ {
		event := eventOf(req.AttemptID, i)
		if faulty && i == eventsPerAnswer/2 {
			_, _ = io.WriteString(c, event[:len(event)/2]) // it is cut in any case
			return false
		}
		e.stall()
		if _, err := io.WriteString(c, event); err != nil {
			if e.isUp(listener) {
				e.world.checker.recordCut(req.AttemptID, time.Now())
			}
			return false
		}
		time.Sleep(eventPause)
	}
	return false
}

// isUp reports whether the incarnation with a listener has not crashed.
func (e *endpoint) isUp(listener *silenceableListener) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listener == listener
}

// stall waits while the endpoint makes no events.
func (e *endpoint) stall() {
	e.mu.Lock()
	until := e.stalledTo
	e.mu.Unlock()
	time.Sleep(time.Until(until))
}

// crashWhileAnswering crashes at some byte of the answer.
func (e *endpoint) crashWhileAnswering(c net.Conn, head string, req *platformtest.EndpointRequest) {
	body := "ran " + req.AttemptID
	answer := head + "Connection: close\r\n\r\n" + body
	if rand.IntN(2) == 0 {
		answer = fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	write(c, answer[:rand.IntN(len(answer))])
	time.Sleep(eventPause)
	e.world.checker.recordCrash(crashingPath, time.Now())
	e.crash()
}

// answerDenial answers some requests that have run with a status that callers take for the promise that they have not, and reports whether it has
// done so.
func (e *endpoint) answerDenial(c net.Conn, req *platformtest.EndpointRequest) bool {
	const share = 3 // one request of so many
	e.mu.Lock()
	denies := e.denies
	e.mu.Unlock()
	if !denies || rand.IntN(share) > 0 {
		return false
	}
	status := []string{"408", "429", "503"}[rand.IntN(3)]
	write(c, strings.Replace(platformtest.SuccessHead(req.AttemptID, 0), "200", status, 1)+"Content-Length: 3\r\n\r\nran")
	return true
}

// eventOf returns an event of the answer to a request.
func eventOf(attempt string, i int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", i, attempt) }
