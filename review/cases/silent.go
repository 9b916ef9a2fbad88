package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/bilberrylink/bilberrylink/platform/platformtest"
)

// Steps of the case silent-store-connections.
const (
	settleTime  = 8 * time.Second         // from the start of the gateways to the disruption; longer than contactTime
	longWait    = 2300 * time.Millisecond // of the long poll during which the connections fall silent
	maxPollWait = time.Minute             // until a poll of that length begins
	changeDelay = 100 * time.Millisecond
	watchTime   = 6 * time.Second // after the change
	sendPause   = 20 * time.Millisecond
	withdrawn   = "key-withdrawn"
)

// keyResult is what a requester got for a request with a withdrawn key.
type keyResult struct {
	attempt, gateway string
	sentAt           time.Time
	status           int
}

// silentStoreConnections makes the open connections to the store fall silent while new ones work, and withdraws a key. It checks rule CONFIG:
// a request that is sent later than ConfigApplyMs after the confirmation, to a machine in touch, does not run with the withdrawn key.
func silentStoreConnections(w *world, trouble bool) (bool, error) {
	w.setKeys(3, "key-kept", withdrawn)
	worker, err := w.startWorker("i-1", "order-desk", 15*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := w.startGateways(gatewayCount()); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	if os.Getenv("UNLOCKED") == "" { // set: at any moment
		if err := w.awaitConfigPoll(longWait); err != nil {
			return false, err
		}
	}
	return w.withdrawKey(worker, trouble) > 0, nil
}

// awaitConfigPoll waits until a gateway begins to wait for a change of the configuration for a time at least.
func (w *world) awaitConfigPoll(wait time.Duration) error {
	deadline := time.After(maxPollWait)
	for {
		select {
		case poll := <-w.configPolls:
			if poll >= wait {
				return nil
			}
		case <-deadline:
			return errors.New("no gateway has begun a long poll of that length")
		}
	}
}

// setKeys writes a version of the configuration with the given keys.
func (w *world) setKeys(version int64, keys ...string) {
	w.store.SetConfig(platformtest.Config{Epoch: version, Services: []string{"order-desk"}, APIKeys: keys, Routes: []platformtest.Route{{
		Host: routeHost, Prefix: "/stock/", Kind: "idempotent", Service: "order-desk", Attempts: 2,
		Timeout: 800 * time.Millisecond, LatencyTarget: 100 * time.Millisecond}}}.Encode())
}

// withdrawKey disrupts the connections, withdraws the key and returns the number of requests that were sent after the bound and ran with the withdrawn key.
func (w *world) withdrawKey(worker *worker, trouble bool) (late int) {
	disruptedAt := time.Now()
	if trouble {
		w.record.note("%d open connections to the store fall silent; new ones work", w.proxy.silence())
	}
	time.Sleep(changeDelay)
	w.setKeys(8, "key-kept")
	confirmedAt := time.Now()
	w.record.note("the store confirms a version without %s", withdrawn)
	boundAt := confirmedAt.Add(configApplyTime)
	if inTouchAt := disruptedAt.Add(contactTime); trouble && inTouchAt.After(boundAt) {
		boundAt = inTouchAt
	}
	w.record.noteAt(boundAt, "no request that is sent from here on may run with that key")
	var mu sync.Mutex
	var results []keyResult
	var requests sync.WaitGroup
	for i := 0; time.Since(confirmedAt) < watchTime; i++ {
		g := w.gateways[i%len(w.gateways)]
		requests.Go(func() {
			r := keyResult{attempt: fmt.Sprintf("a%04d", i), gateway: g.name, sentAt: time.Now()}
			r.status = sendWithKey(g, r.attempt, withdrawn)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, r)
		})
		time.Sleep(sendPause)
	}
	requests.Wait()
	for _, r := range results {
		_, ran := worker.ranAt(r.attempt)
		isLate := ran && r.sentAt.After(boundAt)
		if isLate {
			late++
		}
		w.record.noteAt(r.sentAt, "%s sent to %s with %s: status %d, run by the worker: %t, after the bound: %t", r.attempt, r.gateway, withdrawn,
			r.status, ran, isLate)
	}
	w.record.note("%d requests were sent after the bound and run with the withdrawn key", late)
	return late
}

// gatewayCount returns the number of gateways in the case: one, or what the variable GATEWAYS says.
func gatewayCount() int {
	if n, err := strconv.Atoi(os.Getenv("GATEWAYS")); err == nil {
		return n
	}
	return 1
}

// sendWithKey sends a GET on a connection of its own and returns the status, or 0 without an answer.
func sendWithKey(g *gateway, attempt, key string) int {
	client := &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodGet, "http://"+g.frontAddr+"/stock/1", nil)
	if err != nil {
		return 0
	}
	req.Host = routeHost
	req.Header.Set("X-Bilberrylink-Attempt-Id", attempt)
	req.Header.Set("X-Bilberrylink-Deadline-Ms", "1500")
	req.Header.Set("X-Bilberrylink-Key", key)
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
