package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/bilberrylink/bilberrylink/platform/platformtest"
)

// worker is a sound worker of a plain service.
type worker struct {
	id, addr, service string
	workTime          time.Duration

	mu   sync.Mutex
	runs map[string]time.Time // by attempt ID
}

// startWorker starts a worker and registers it in the store.
func (w *world) startWorker(id, service string, workTime time.Duration) (*worker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &worker{id: id, addr: ln.Addr().String(), service: service, workTime: workTime, runs: make(map[string]time.Time)}
	server := &http.Server{Handler: k}
	go func() { _ = server.Serve(ln) }()
	w.closers = append(w.closers, func() { _ = server.Close() })
	w.store.SetEndpoint(id, platformtest.Endpoint{Service: service, Addr: k.addr, Zone: "kecskemet", StartedAt: time.Now()})
	return k, nil
}

// ServeHTTP runs a request.
func (k *worker) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	attempt := req.Header.Get("X-Bilberrylink-Attempt-Id")
	if expected := req.Header.Get("X-Bilberrylink-Expect-Instance"); expected != "" && expected != k.id {
		w.Header().Set("X-Bilberrylink-Instance-Id", k.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	k.mu.Lock()
	k.runs[attempt] = time.Now()
	k.mu.Unlock()
	time.Sleep(k.workTime)
	w.Header().Set("X-Bilberrylink-Attempt-Id", attempt)
	w.Header().Set("X-Bilberrylink-Response-Signature", "sig-"+attempt)
	_, _ = fmt.Fprintf(w, "ran %s", attempt)
}

// ranAt returns when the worker began to run a request.
func (k *worker) ranAt(attempt string) (time.Time, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	at, ok := k.runs[attempt]
	return at, ok
}
