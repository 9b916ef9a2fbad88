package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	deadlyPart  = "dead00"
	commonPart  = "c0ffee"
	caller      = "key-archive"
	contactSpan = 2 * contactTime // of LOST, after the fifth crash
	foldCrashes = 5               // after which BUDGET and LOST count for a part
)

// hasPart reports whether a prompt contains a part.
func hasPart(req *http.Request, id string) bool {
	for _, p := range strings.Split(req.Header.Get("X-Bilberrylink-Prompt-Prefix"), ",") {
		if strings.HasPrefix(p, id+":") {
			return true
		}
	}
	return false
}

// sender sends requests in the background and keeps the results.
type sender struct {
	wg sync.WaitGroup
	mu sync.Mutex
	by map[string]result
}

func newSender() *sender { return &sender{by: map[string]result{}} }

func (s *sender) send(r *requester, g *gateway, q request) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		res := r.send(g, q)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.by[res.attempt] = res
	}()
}

// crashTimes returns when deadly requests have crashed workers, in order of their arrival.
func crashTimes(arrivals []arrival) (times []time.Time) {
	for _, a := range arrivals {
		if a.crashed {
			times = append(times, a.at)
		}
	}
	for i := range times {
		for j := i + 1; j < len(times); j++ {
			if times[j].Before(times[i]) {
				times[i], times[j] = times[j], times[i]
			}
		}
	}
	return times
}

// startModels starts workers of the model service.
func (w *world) startModels(count int) {
	for i := range count {
		w.startWorker(&worker{service: "model", zone: zoneOf(i), engine: true,
			deadly: func(req *http.Request) bool { return w.trouble && hasPart(req, deadlyPart) }})
	}
}

func init() {
	cases["part-behind"] = casePartBehind
	cases["many-parts"] = caseManyParts
}

// casePartBehind: one part crashes workers. The prompts that hold it share a later part with sound prompts, which come in batches.
func casePartBehind(w *world) verdict {
	const (
		laterPart   = "beef02"
		batch       = 8
		batchPause  = 10 * time.Second
		deadlyBatch = 6
		deadlyPause = 3 * time.Second
		batches     = 3 // before the trouble
		after       = 5 // from its begin
	)
	w.startModels(12)
	w.store.put("op", "config", config(7, []tenant{{Name: "archive", ApiKeys: []string{caller}, Priority: 1}}))
	w.startGateways(3)
	sound, deadly := newSender(), newSender()
	number := 0
	sendBatch := func() {
		for range batch {
			number++
			sound.send(w.newRequester(), w.gateways[number%len(w.gateways)], request{method: "POST", host: host, path: modelRoute + "ask", key: caller,
				body: fmt.Sprintf("sound %d", number), timeout: 10 * time.Second, outputTokens: 60,
				parts: []string{commonPart + ":40", laterPart + ":600", fmt.Sprintf("%x:200", 0x500000+number)}})
		}
	}
	for range batches {
		sendBatch()
		time.Sleep(batchPause)
	}
	sendBatch()
	time.Sleep(batchPause / 2)
	troubleAt, stop := time.Now(), make(chan struct{})
	w.notef("requests with the deadly part begin")
	var deadlyDone sync.WaitGroup
	deadlyDone.Add(1)
	go func() {
		defer deadlyDone.Done()
		for i := 0; ; {
			for range deadlyBatch {
				i++
				deadly.send(w.newRequester(), w.gateways[i%len(w.gateways)], request{method: "POST", host: host, path: modelRoute + "ask", key: caller,
					body: fmt.Sprintf("deadly %d", i), timeout: 10 * time.Second, outputTokens: 60,
					parts: []string{commonPart + ":40", deadlyPart + ":500", laterPart + ":600", fmt.Sprintf("%x:200", 0x700000+i)}})
			}
			select {
			case <-stop:
				return
			case <-time.After(deadlyPause):
			}
		}
	}()
	time.Sleep(batchPause / 2)
	for range after {
		sendBatch()
		time.Sleep(batchPause)
	}
	close(stop)
	deadlyDone.Wait()
	deadly.wg.Wait()
	sound.wg.Wait()
	w.keepLogs(60, "quarantine_", `"event":"blocked"`)

	arrivals := w.allArrivals()
	crashes := crashTimes(arrivals)
	began := map[string]bool{}
	for _, a := range arrivals {
		began[a.attempt] = began[a.attempt] || a.began
	}
	from := troubleAt
	if len(crashes) > 0 {
		from = crashes[min(len(crashes), foldCrashes)-1]
	}
	from = from.Add(contactSpan)
	var calm, calmBegun, later, laterBegun int
	for _, res := range sound.by {
		switch {
		case res.sentAt.Before(troubleAt):
			calm++
			if began[res.attempt] {
				calmBegun++
			}
		case res.sentAt.After(from):
			later++
			if began[res.attempt] {
				laterBegun++
			}
		}
	}
	v := verdict{text: fmt.Sprintf("crashes by the part: %d; sound requests that began at the first attempt: %d of %d in calm, %d of %d later than %v after the fifth crash",
		len(crashes), calmBegun, calm, laterBegun, later, contactSpan)}
	if calm < 20 || later < 20 {
		panic(notRun{fmt.Errorf("too few sound requests: %s", v.text)})
	}
	v.broken = float64(laterBegun)/float64(later) < 0.5*float64(calmBegun)/float64(calm)
	return v
}

// caseManyParts: one part crashes workers. The prompts that hold it have many parts, and it is one of the last.
func caseManyParts(w *world) verdict {
	const (
		parts       = 80
		position    = 70 // of the deadly part
		pool        = 4000
		soundPause  = 200 * time.Millisecond
		deadlyPause = 700 * time.Millisecond
		length      = 30 * time.Second
	)
	w.startModels(10)
	w.store.put("op", "config", config(7, []tenant{{Name: "archive", ApiKeys: []string{caller}, Priority: 1}}))
	w.startGateways(3)
	prompt := func(number int, with string) []string {
		list := []string{commonPart + ":40"}
		for i := 1; i < parts-1; i++ {
			id := fmt.Sprintf("%x", 0x100000+(number*131+i*17)%pool)
			if i == position-1 && with != "" {
				id = with
			}
			list = append(list, id+":60")
		}
		return append(list, fmt.Sprintf("%x:200", 0x900000+number))
	}
	sound, deadly := newSender(), newSender()
	end := time.Now().Add(length)
	var background sync.WaitGroup
	play := func(s *sender, pause time.Duration, with string, from int) {
		defer background.Done()
		for i := 0; time.Now().Before(end); i++ {
			s.send(w.newRequester(), w.gateways[i%len(w.gateways)], request{method: "POST", host: host, path: modelRoute + "ask", key: caller,
				body: fmt.Sprintf("%d", from+i), timeout: 10 * time.Second, outputTokens: 60, parts: prompt(from+i, with)})
			time.Sleep(pause)
		}
	}
	background.Add(2)
	go play(sound, soundPause, "", 0)
	time.Sleep(3 * time.Second)
	go play(deadly, deadlyPause, deadlyPart, 100000)
	background.Wait()
	deadly.wg.Wait()
	sound.wg.Wait()
	w.keepLogs(30, "quarantine_", `"event":"blocked"`)
	arrivals := w.allArrivals()
	return budgetVerdict(w, arrivals, deadly, foldCrashes, "requests with the part", func(a arrival) bool {
		return strings.Contains(a.header.Get("X-Bilberrylink-Prompt-Prefix"), deadlyPart)
	}, sound)
}

// budgetVerdict tells whether more than three deadly requests have reached workers that were sent later than ContactMs after a crash.
func budgetVerdict(w *world, arrivals []arrival, deadly *sender, crash int, what string, isDeadly func(arrival) bool, sound *sender) verdict {
	crashes := crashTimes(arrivals)
	served, lost := 0, 0
	for _, res := range sound.by {
		if res.status == http.StatusOK && res.complete {
			served++
		} else {
			lost++
		}
	}
	late := 0
	if len(crashes) >= crash {
		from := crashes[crash-1].Add(contactTime)
		for _, a := range arrivals {
			// The request counts from when its requester sent it, and a repeat of the gateway from its arrival.
			if isDeadly(a) && a.at.After(from) && deadly.by[a.attempt].sentAt.After(from) {
				late++
			}
		}
	}
	return verdict{broken: late > 3, text: fmt.Sprintf("crashes: %d; %s that reached workers later than %v after crash %d: %d (3 are allowed); sound requests served %d, not served %d",
		len(crashes), what, contactTime, crash, late, served, lost)}
}
