package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

func init() { cases["own-503"] = caseOwn503 }

// caseOwn503: a worker runs part of its orders without being able to finish them, and answers 503 without the header that tells that a request
// has not run. The requester takes a 503 for a promise, and repeats.
func caseOwn503(w *world) verdict {
	const (
		workers   = 7 // of which one fails, a share of 0.14
		orders    = 200
		failShare = 0.45
		pause     = 40 * time.Millisecond
	)
	for i := range workers {
		e := &worker{service: "desk", zone: zoneOf(i)}
		if i == 0 {
			e.fails = func(req *http.Request) bool {
				return w.trouble && strings.HasPrefix(req.URL.Path, orderRoute) && rand.Float64() < failShare
			}
		}
		w.startWorker(e)
	}
	w.store.put("op", "config", config(7, []tenant{{Name: "counter", ApiKeys: []string{caller}, Priority: 1}}))
	w.startGateways(2)
	r := w.newRequester()
	var refused []result
	repeats := 0
	for i := range orders {
		q := request{method: "POST", host: host, path: orderRoute + "deposit", key: caller, body: fmt.Sprintf("order %d: deposit 1000", i),
			timeout: 1500 * time.Millisecond}
		res := r.send(w.gateways[i%2], q)
		if res.status == http.StatusServiceUnavailable || res.status == http.StatusTooManyRequests {
			refused = append(refused, res)
			repeats++
			r.send(w.gateways[(i+1)%2], q) // as the pages let requesters do after a promise
		}
		time.Sleep(pause)
	}
	began := map[string]int{}
	for _, a := range w.allArrivals() {
		if a.began {
			began[a.attempt]++
		}
	}
	ran := 0
	for _, res := range refused {
		if began[res.attempt] > 0 {
			ran++
			w.notef("attempt %s was answered %d and has run", res.attempt, res.status)
		}
	}
	return verdict{broken: ran > 0, text: fmt.Sprintf("orders: %d; attempts answered 429 or 503: %d, of which %d have run; repeats by requesters: %d",
		orders, len(refused), ran, repeats)}
}
