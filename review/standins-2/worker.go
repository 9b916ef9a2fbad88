package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Headers of requests to workers and of their answers.
const (
	headerAttempt   = "X-Bilberrylink-Attempt-Id"
	headerExpect    = "X-Bilberrylink-Expect-Instance"
	headerPrefix    = "X-Bilberrylink-Prompt-Prefix"
	headerSignature = "X-Bilberrylink-Response-Signature"
)

// worker is a stand-in of a worker at an address of its own. A restart gives it a new ID.
type worker struct {
	world   *world
	service string
	zone    string
	serve   func(wk *worker, c net.Conn, req *http.Request) (open bool) // runs a request and answers it

	mu       sync.Mutex
	id       string
	addr     string
	born     time.Time
	listener net.Listener // nil while it is down
	conns    map[net.Conn]struct{}
}

// addWorker starts a worker and has it register.
func (w *world) addWorker(service, zone string, serve func(*worker, net.Conn, *http.Request) bool) (*worker, error) {
	wk := &worker{world: w, service: service, zone: zone, serve: serve}
	return wk, wk.start()
}

func (wk *worker) start() error {
	addr := "127.0.0.1:0"
	if wk.addr != "" {
		addr = wk.addr
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	wk.world.onClose(l)
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.id, wk.addr, wk.born = "i-"+wk.world.newID()[8:], l.Addr().String(), time.Now()
	wk.listener, wk.conns = l, make(map[net.Conn]struct{})
	go wk.accept(l, wk.id)
	wk.world.store.put("servers", wk.id, map[string]any{"Service": wk.service, "Address": wk.addr, "Zone": wk.zone, "Version": "v1",
		"Slots": 16, "State": "ready", "ColdMs": 0, "Sequence": 1, "born": wk.born.UnixMilli()})
	wk.world.note("worker %s of %s starts at %s", wk.id, wk.service, wk.addr)
	return nil
}

func (wk *worker) accept(l net.Listener, id string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		wk.mu.Lock()
		if wk.listener != l {
			wk.mu.Unlock()
			_ = c.Close()
			return
		}
		wk.conns[c] = struct{}{}
		wk.mu.Unlock()
		go func() {
			wk.serveConn(c, id)
			_ = c.Close() // the other side may have closed it
			wk.mu.Lock()
			delete(wk.conns, c)
			wk.mu.Unlock()
		}()
	}
}

func (wk *worker) serveConn(c net.Conn, id string) {
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if expected := req.Header.Get(headerExpect); expected != "" && expected != id {
			_, _ = io.Copy(io.Discard, req.Body)
			if _, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nX-Bilberrylink-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n",
				headerAttempt, req.Header.Get(headerAttempt), id); err != nil {
				return
			}
			continue
		}
		if !wk.serve(wk, c, req) {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body) // what has not been read
	}
}

// crash ends the worker: all its connections are reset. It is back under a new ID after some time, and the row of the old one expires. It
// reports whether the worker was up.
func (wk *worker) crash(downFor, expiresAfter time.Duration) bool {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if wk.listener == nil {
		return false
	}
	id := wk.id
	_ = wk.listener.Close()
	wk.listener = nil
	for c := range wk.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	wk.world.note("worker %s crashes", id)
	time.AfterFunc(expiresAfter, func() { wk.world.store.remove("servers", id) })
	time.AfterFunc(downFor, func() {
		if err := wk.start(); err != nil {
			wk.world.note("worker at %s cannot start again: %v", wk.addr, err)
		}
	})
	return true
}

// answerHead returns the beginning of a signed answer.
func answerHead(req *http.Request, further string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 3e1b.07.5a2\r\n%s", headerAttempt, req.Header.Get(headerAttempt), headerSignature, further)
}

// answerWhole answers a request with a short body.
func answerWhole(c net.Conn, req *http.Request, further string) bool {
	body := "answer to " + req.Header.Get(headerAttempt)
	_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", answerHead(req, further), len(body), body)
	return err == nil
}

// answerStream answers a request with events.
func answerStream(c net.Conn, req *http.Request, events int, pause time.Duration) bool {
	if _, err := io.WriteString(c, answerHead(req, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")); err != nil {
		return false
	}
	first := 1
	if last := req.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &first)
		first++
	}
	for i := first; i <= events; i++ {
		time.Sleep(pause)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, req.Header.Get(headerAttempt))
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
