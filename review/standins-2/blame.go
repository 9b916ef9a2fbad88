package main

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { plays["blame"] = playBlame }

// The load and the trouble of the case with sound requests that share the other parts of a prompt that crashes workers.
const (
	blameWorkers   = 16
	soundBurst     = 8
	soundInterval  = 5 * time.Second
	burstsBefore   = 3
	burstsAfter    = 6
	crashingBurst  = 8
	burstOffset    = 3500 * time.Millisecond // from the last sound burst before the trouble
	crashingPause  = 1500 * time.Millisecond // between the later requests with the part
	firstPart      = "5c1e07a2:40"
	soundPart      = "77aa10f3:60" // in the place of the crashing part
	lastSharedPart = "91bd3f06:410"
	leastOfEach    = 20
)

// blameRun records what the workers of the case see.
type blameRun struct {
	w       *world
	trouble bool

	mu      sync.Mutex
	crashes []time.Time
	begun   map[string]bool // requests that have begun to run, by attempt
}

// soundRequest is a sound request of the case.
type soundRequest struct {
	attempt string
	sentAt  time.Time
	status  int
}

// playBlame has a part in the middle of prompts crash workers while sound prompts share the parts before and after it.
func playBlame(w *world, trouble bool) (broken bool, err error) {
	r := &blameRun{w: w, trouble: trouble, begun: make(map[string]bool)}
	for range blameWorkers {
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
	time.Sleep(contactMs * time.Millisecond) // the machines are in touch
	return r.play(gateways), nil
}

// play sends the requests and checks what has become of the sound ones.
func (r *blameRun) play(gateways []*gateway) (broken bool) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var sound []soundRequest
	draft := func(i int, part string) {
		own, id, sentAt := r.w.newID(), r.w.newID(), time.Now()
		a := send(gateways[i%len(gateways)].front(), request{method: http.MethodPost, path: ledgerPath + "2f", id: id, deadlineMs: 15000,
			tokens: "45000,80", prefix: strings.Join([]string{firstPart, part, lastSharedPart, own + ":44490"}, ","), body: "a prompt that ends with " + own})
		r.w.note("draft %s with part %s: %d after %d ms, %v", id, part, a.status, a.elapsed.Milliseconds(), a.err)
		if part == soundPart {
			mu.Lock()
			defer mu.Unlock()
			sound = append(sound, soundRequest{id, sentAt, a.status})
		}
	}
	burst := func(n int, part string) {
		for i := range n {
			wg.Go(func() { draft(i, part) })
		}
	}
	stop := make(chan struct{})
	for i := range burstsBefore + burstsAfter {
		burst(soundBurst, soundPart)
		if i == burstsBefore-1 {
			time.Sleep(burstOffset)
			burst(crashingBurst, crashingTokens)
			go r.repeat(stop, func(i int) { draft(i, crashingTokens) })
			time.Sleep(soundInterval - burstOffset)
			continue
		}
		time.Sleep(soundInterval)
	}
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	return r.check(sound)
}

// repeat sends further requests with the part until stop is closed.
func (r *blameRun) repeat(stop <-chan struct{}, draft func(i int)) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(crashingPause):
			draft(i)
		}
	}
}

func (r *blameRun) serve(wk *worker, c net.Conn, req *http.Request) bool {
	if r.trouble && strings.Contains(req.Header.Get(headerPrefix), crashingTokens) {
		time.Sleep(60 * time.Millisecond) // reads the prompt; crashes as it begins to write
		if wk.crash(workerDownFor, entryExpiry) {
			r.mu.Lock()
			r.crashes = append(r.crashes, time.Now())
			r.mu.Unlock()
		}
		return false
	}
	r.mu.Lock()
	r.begun[req.Header.Get(headerAttempt)] = true
	r.mu.Unlock()
	return answerStream(c, req, 8, 40*time.Millisecond)
}

// check reports whether sound requests begin less than half as often after the fifth crash as before the first one.
func (r *blameRun) check(sound []soundRequest) (broken bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.say("%d crashes", len(r.crashes))
	if len(r.crashes) < countedCrashes {
		return false
	}
	since := r.crashes[countedCrashes-1].Add(2 * contactMs * time.Millisecond)
	var before, begunBefore, after, begunAfter int
	for _, s := range sound {
		switch {
		case s.sentAt.Before(r.crashes[0]):
			before++
			if r.begun[s.attempt] {
				begunBefore++
			}
		case s.sentAt.After(since):
			after++
			if r.begun[s.attempt] {
				begunAfter++
			}
		}
	}
	r.w.say("sound requests that began: %d of %d before the first crash, %d of %d later than %d ms after crash %d", begunBefore, before,
		begunAfter, after, 2*contactMs, countedCrashes)
	return before >= leastOfEach && after >= leastOfEach && begunAfter*before*2 < begunBefore*after
}
