package main

import (
	"fmt"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { plays["limit"] = playLimit }

// The load of the case with limited workers.
const (
	limitedWorkers    = 2
	limitPerSecond    = 20 // that each of them names
	lookupsPerGateway = 40 // a second
	seedGateways      = 3
	firstGateways     = 4
	limitWindow       = 4 * time.Second
	busyFor           = 9 * time.Second
	limitSlack        = 5
	limitFactor       = 1.5
)

// passedOnBefore is the time from the first answer with a limit that a gateway has passed on, after which its requests count.
const passedOnBefore = 500 * time.Millisecond

// arrival is a request at a limited worker.
type arrival struct {
	at      time.Time
	attempt string
	worker  int
}

// limitRecord holds what the workers and the requesters see.
type limitRecord struct {
	mu       sync.Mutex
	arrivals []arrival
	gateways map[string]int       // by attempt
	answers  map[string]time.Time // whole answers with the worker's bytes, by attempt
}

func (r *limitRecord) addAnswer(attempt string, gateway int, served bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gateways[attempt] = gateway
	if served {
		r.answers[attempt] = time.Now()
	}
}

// playLimit adds a machine to the fleet while the store turns it away. Its gateway serves with what the seeds tell it.
func playLimit(w *world, trouble bool) (broken bool, err error) {
	record := &limitRecord{gateways: make(map[string]int), answers: make(map[string]time.Time)}
	for i := range limitedWorkers {
		if _, err := w.addWorker(desk, "kecskemet", func(_ *worker, c net.Conn, req *http.Request) bool {
			record.mu.Lock()
			record.arrivals = append(record.arrivals, arrival{time.Now(), req.Header.Get(headerAttempt), i})
			record.mu.Unlock()
			time.Sleep(5 * time.Millisecond)
			return answerWhole(c, req, fmt.Sprintf("Server-Limit: %d\r\n", limitPerSecond))
		}); err != nil {
			return false, err
		}
	}
	w.store.put("op", "config", configuration())
	gateways := make([]*gateway, 0, firstGateways+1)
	for i := range firstGateways {
		g, err := w.addGateway(i, seedGateways, []string{"kecskemet", "szeged", "bekes", "kecskemet"}[i])
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
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var served, refused atomic.Int64
	load := func(i int, g *gateway) {
		wg.Go(func() {
			ticker := time.NewTicker(time.Second / lookupsPerGateway)
			defer ticker.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				wg.Go(func() {
					id := w.newID()
					a := send(g.front(), request{method: http.MethodGet, path: lookupPath + "2f", id: id, deadlineMs: 1500})
					ok := a.status == http.StatusOK && a.err == nil
					record.addAnswer(id, i, ok)
					if ok {
						served.Add(1)
					} else {
						refused.Add(1)
					}
				})
			}
		})
	}
	for i, g := range gateways {
		load(i, g)
	}
	time.Sleep(5 * time.Second) // longer than ContactMs: the limits are in force
	added, err := w.startAdded(trouble)
	if err != nil {
		return false, err
	}
	load(firstGateways, added)
	time.Sleep(busyFor)
	close(stop)
	wg.Wait()
	w.say("%d lookups served, %d not", served.Load(), refused.Load())
	return w.checkLimits(record), nil
}

// startAdded starts the added machine and waits until it is ready. With trouble, the store turns it away.
func (w *world) startAdded(trouble bool) (*gateway, error) {
	w.store.nextBusy.Store(trouble)
	g, err := w.addGateway(firstGateways, seedGateways, "szeged")
	if err != nil {
		return nil, err
	}
	time.AfterFunc(busyFor, func() {
		g.store.busy.Store(false)
		w.note("the store serves %s", g.name)
	})
	return g, g.awaitReady()
}

// checkLimits reports whether a worker has got more in some window than its limit allows.
func (w *world) checkLimits(r *limitRecord) (broken bool) {
	allowed := int(math.Floor(limitFactor*limitPerSecond*limitWindow.Seconds())) + limitSlack
	inForce := r.arrivals[0].at.Add(contactMs * time.Millisecond)
	for worker := range limitedWorkers {
		passedOn := r.firstPassedOn(worker)
		var own []arrival
		for _, a := range r.arrivals {
			since, ok := passedOn[r.gateways[a.attempt]]
			if a.worker == worker && a.at.After(inForce) && ok && !a.at.Before(since.Add(passedOnBefore)) {
				own = append(own, a)
			}
		}
		most, begin, first := 0, 0, 0
		for i := range own {
			for own[i].at.Sub(own[first].at) > limitWindow {
				first++
			}
			if n := i - first + 1; n > most {
				most, begin = n, first
			}
		}
		byGateway := make([]int, firstGateways+1)
		for _, a := range own[begin : begin+most] {
			byGateway[r.gateways[a.attempt]]++
		}
		w.say("worker %d got at most %d requests in %v, from %.1f s on, by gateway %v; allowed are %d", worker, most, limitWindow,
			own[begin].at.Sub(w.began).Seconds(), byGateway, allowed)
		broken = broken || most > allowed
	}
	return broken
}

// firstPassedOn returns when each gateway first passed on an answer of a worker, all of which name the limit.
func (r *limitRecord) firstPassedOn(worker int) map[int]time.Time {
	first := make(map[int]time.Time)
	for _, a := range r.arrivals {
		at, ok := r.answers[a.attempt]
		if g := r.gateways[a.attempt]; a.worker == worker && ok && (first[g].IsZero() || at.Before(first[g])) {
			first[g] = at
		}
	}
	return first
}
