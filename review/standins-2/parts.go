package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { plays["parts"] = playParts }

// The load and the trouble of the case with a part of prompts that crashes workers.
const (
	partWorkers       = 8
	sharedParts       = 80 // of each prompt, which are followed by one of its own
	usualPosition     = 70 // of the part that crashes workers, from 1
	partSeconds       = 40
	soundPerSecond    = 8
	crashingEvery     = 1500 * time.Millisecond
	crashingTokens    = "bad0c0de:60"
	workerDownFor     = 3 * time.Second
	entryExpiry       = 3600 * time.Millisecond // three check-in intervals
	countedCrashes    = 5
	toleratedArrivals = 3
)

// partsRun records what the workers of the case see.
type partsRun struct {
	w       *world
	trouble bool

	mu       sync.Mutex
	crashes  []time.Time
	arrivals []time.Time // of requests with the part
}

// playParts has requests with long prompts of which some share a part that crashes each worker that begins to write an answer.
func playParts(w *world, trouble bool) (broken bool, err error) {
	r := &partsRun{w: w, trouble: trouble}
	for range partWorkers {
		if _, err := w.addWorker(model, "kecskemet", r.serve); err != nil {
			return false, err
		}
	}
	w.store.put("op", "config", configuration())
	var gateways []*gateway
	for i, zone := range []string{"kecskemet", "szeged"} {
		g, err := w.addGateway(i, 2, zone)
		if err != nil {
			return false, err
		}
		gateways = append(gateways, g)
	}
	for _, g := range gateways {
		if err := g.awaitReady(); err != nil {
			return false, err
		}
	}
	position := usualPosition
	if text := os.Getenv("POSITION"); text != "" {
		if position, err = strconv.Atoi(text); err != nil {
			return false, err
		}
	}
	served, sound := r.playLoad(gateways, position)
	w.say("%d of %d sound drafts served", served, sound)
	return r.check(), nil
}

// playLoad sends sound requests and, less often, requests with the part that crashes workers.
func (r *partsRun) playLoad(gateways []*gateway, position int) (served, sound int64) {
	var wg sync.WaitGroup
	var ok, all atomic.Int64
	draft := func(i int, crashing bool) {
		own := r.w.newID()
		a := send(gateways[i%len(gateways)].front(), request{method: http.MethodPost, path: draftPath + "2f", id: r.w.newID(),
			deadlineMs: 10000, tokens: "4960,200", prefix: prefixOf(own, position, crashing), body: "a prompt that ends with " + own})
		r.w.note("draft: crashing=%t: %d after %d ms, %v", crashing, a.status, a.elapsed.Milliseconds(), a.err)
		if !crashing {
			all.Add(1)
			if a.status == http.StatusOK && a.err == nil {
				ok.Add(1)
			}
		}
	}
	begin := time.Now()
	nextCrashing := begin.Add(3 * time.Second)
	ticker := time.NewTicker(time.Second / soundPerSecond)
	defer ticker.Stop()
	for i := 0; time.Since(begin) < partSeconds*time.Second; i++ {
		<-ticker.C
		wg.Go(func() { draft(i, false) })
		if time.Now().After(nextCrashing) {
			nextCrashing = nextCrashing.Add(crashingEvery)
			wg.Go(func() { draft(i+1, true) })
		}
	}
	wg.Wait()
	return ok.Load(), all.Load()
}

// prefixOf returns the parts of a prompt. Sound prompts and those with the crashing part have all other shared parts in common.
func prefixOf(own string, position int, crashing bool) string {
	parts := make([]string, 0, sharedParts+1)
	for i := 1; i <= sharedParts; i++ {
		part := fmt.Sprintf("%08x:60", 0x5c1e0000+i)
		if i == position && crashing {
			part = crashingTokens
		}
		parts = append(parts, part)
	}
	return strings.Join(append(parts, own+":160"), ",")
}

func (r *partsRun) serve(wk *worker, c net.Conn, req *http.Request) bool {
	hasPart := strings.Contains(req.Header.Get(headerPrefix), crashingTokens)
	if hasPart {
		r.mu.Lock()
		r.arrivals = append(r.arrivals, time.Now())
		r.mu.Unlock()
		r.w.note("worker %s gets request %s with the part", wk.id, req.Header.Get(headerAttempt))
	}
	if hasPart && r.trouble {
		time.Sleep(60 * time.Millisecond) // reads the prompt; crashes as it begins to write
		if wk.crash(workerDownFor, entryExpiry) {
			r.mu.Lock()
			r.crashes = append(r.crashes, time.Now())
			r.mu.Unlock()
		}
		return false
	}
	return answerStream(c, req, 8, 40*time.Millisecond)
}

// check reports whether too many requests with the part have reached workers after enough crashes.
func (r *partsRun) check() (broken bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.say("%d crashes, %d requests with the part reached workers", len(r.crashes), len(r.arrivals))
	if len(r.crashes) < countedCrashes {
		return false
	}
	since := r.crashes[countedCrashes-1].Add(contactMs * time.Millisecond)
	late := 0
	for _, at := range r.arrivals {
		if at.After(since) {
			late++
		}
	}
	r.w.say("%d of them later than %d ms after crash %d; %d are tolerated", late, contactMs, countedCrashes, toleratedArrivals)
	return late > toleratedArrivals
}
