package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["crash-in-answer"] = func(w *world) verdict { return caseCrashingCall(w, 300) }
	cases["crash-before-answer"] = func(w *world) verdict { return caseCrashingCall(w, 0) } // for comparison
}

// caseCrashingCall: one request crashes each worker that begins to run it, after the worker has sent some bytes of its answer. It comes again
// and again, at any gateway.
func caseCrashingCall(w *world, bytes int) verdict {
	const (
		path       = plainRoute + "hose-13"
		thirdCrash = 3
		soundPause = 250 * time.Millisecond
		repeatTime = time.Second
		length     = 30 * time.Second
	)
	for i := range 10 {
		w.startWorker(&worker{service: "desk", zone: zoneOf(i), crashAfterBytes: bytes,
			deadly: func(req *http.Request) bool { return w.trouble && req.URL.Path == path }})
	}
	w.store.put("op", "config", config(7, []tenant{{Name: "counter", ApiKeys: []string{caller}, Priority: 1}}))
	w.startGateways(3)
	sound, deadly := newSender(), newSender()
	end := time.Now().Add(length)
	var background sync.WaitGroup
	play := func(s *sender, pause time.Duration, path func(int) string) {
		defer background.Done()
		for i := 0; time.Now().Before(end); i++ {
			s.send(w.newRequester(), w.gateways[i%len(w.gateways)], request{method: "GET", host: host, path: path(i), key: caller,
				timeout: 1500 * time.Millisecond})
			time.Sleep(pause)
		}
	}
	background.Add(2)
	go play(sound, soundPause, func(i int) string { return fmt.Sprintf("%sitem-%d", plainRoute, i) })
	time.Sleep(2 * time.Second)
	go play(deadly, repeatTime, func(int) string { return path })
	background.Wait()
	deadly.wg.Wait()
	sound.wg.Wait()
	w.keepLogs(30, "quarantine_", `"event":"blocked"`, "attempt_broken", "incomplete answer")
	return budgetVerdict(w, w.allArrivals(), deadly, thirdCrash, "arrivals of the request", func(a arrival) bool { return a.path == path }, sound)
}
