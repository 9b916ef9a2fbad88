package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["silence"] = caseSilence }

// caseSilence: a gateway is stopped as planned while a worker that answers streams makes no events for a while. The other worker is full.
func caseSilence(w *world) verdict {
	const (
		streams  = 12
		events   = 60
		silentIn = 300 * time.Millisecond  // after the SIGTERM
		silence  = 1700 * time.Millisecond // requesters wait for two seconds on this route
	)
	var mu sync.Mutex
	var silentFrom, silentUntil time.Time
	pause := func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if now := time.Now(); now.After(silentFrom) && now.Before(silentUntil) {
			return silentUntil.Sub(now)
		}
		return 0
	}
	w.startWorker(&worker{service: "model", zone: zoneOf(0), engine: true, events: events, pause: pause})
	w.startWorker(&worker{service: "model", zone: zoneOf(1), engine: true, full: true})
	w.store.put("op", "config", config(7, []tenant{{Name: "archive", ApiKeys: []string{caller}, Priority: 1}}))
	w.startGateways(2)
	s := newSender()
	for i := range streams {
		s.send(w.newRequester(), w.gateways[0], request{method: "POST", host: host, path: modelRoute + "ask", key: caller, body: fmt.Sprint(i),
			timeout: 10 * time.Second, outputTokens: 3000, parts: []string{commonPart + ":40", fmt.Sprintf("%x:600", 0x500000+i)}})
	}
	time.Sleep(500 * time.Millisecond)
	stoppedAt := time.Now()
	w.gateways[0].terminate()
	if w.trouble {
		mu.Lock()
		silentFrom = stoppedAt.Add(silentIn)
		silentUntil = silentFrom.Add(silence)
		mu.Unlock()
	}
	s.wg.Wait()
	w.keepLogs(40, "retried", "refused")
	cut, earliest, latest := 0, time.Duration(0), time.Duration(0)
	lastSixth := stoppedAt.Add(graceTime * 5 / 6)
	for _, res := range s.by {
		after := res.endedAt.Sub(stoppedAt)
		latest = max(latest, after)
		if res.status != http.StatusOK || res.complete || !res.endedAt.Before(lastSixth) {
			continue
		}
		cut++
		if earliest == 0 || after < earliest {
			earliest = after
		}
	}
	return verdict{broken: cut > 0, text: fmt.Sprintf("streams: %d; cut by the gateway before their worker had ended: %d, the first %d ms after the SIGTERM; the last stream ended %d ms after it",
		streams, cut, earliest.Milliseconds(), latest.Milliseconds())}
}
