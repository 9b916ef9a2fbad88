package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Names that several cases use.
const (
	caller     = "key-archive" // API key
	commonPart = "c0ffee"      // first part of prompts
)

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
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// budgetVerdict tells whether more than three deadly requests have reached workers that were sent later than ContactMs after a number of crashes.
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
