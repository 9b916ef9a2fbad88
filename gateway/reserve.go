package gateway

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/bilberrylink/bilberrylink/internal/timing"
	"github.com/bilberrylink/bilberrylink/registry"
)

// Times of reservations.
const (
	// reserveTimeout bounds the wait for an order; endpoints answer within milliseconds.
	reserveTimeout = 300 * time.Millisecond
	// reserveHold is the life of a reservation without a renewal. When a gateway dies, its requests end at once, and the
	// memory must be free again within the platform's bound of four seconds.
	reserveHold = 3500 * time.Millisecond
	// renewEvery is the pause between renewals: two may be lost.
	renewEvery = 1100 * time.Millisecond
	// lateOrders is the time for which an order without an answer may still be carried out.
	lateOrders = 13 * time.Second
	// releaseEvery is the pause between the releases that follow such an order.
	releaseEvery = 1500 * time.Millisecond
)

// holding is the memory that one attempt has reserved at one endpoint.
type holding struct {
	n        *run
	endpoint *registry.Endpoint
	id       string
	tokens   int
	doubt    time.Time // of the latest order without an answer
}

// holdings are all reservations of an attempt. They are renewed until they are released.
type holdings struct {
	list []*holding         // by the endpoints of the plan; nil where nothing is reserved
	stop context.CancelFunc // ends the renewals
	wait sync.WaitGroup
}

// ids returns the names of the reservations by endpoint; empty where there is none.
func (h *holdings) ids() []string {
	if h == nil {
		return nil
	}
	ids := make([]string, len(h.list))
	for i, one := range h.list {
		if one != nil {
			ids[i] = one.id
		}
	}
	return ids
}

// reserve sets the memory of a plan aside, at all endpoints at once. Whatever was reserved must be released, also if ok
// is false.
func (n *run) reserve(ctx context.Context, c *chosen) (h *holdings, ok bool) {
	renewals, stop := context.WithCancel(context.Background())
	h = &holdings{list: make([]*holding, len(c.endpoints)), stop: stop}
	results, asked := make(chan bool, len(c.endpoints)), 0
	for i, tokens := range c.ReserveTokens {
		if tokens == 0 {
			continue
		}
		one := &holding{n: n, endpoint: c.endpoints[i], tokens: tokens,
			id: n.g.opts.Name + "-" + strconv.FormatUint(n.g.tickets.Add(1), 36)}
		h.list[i] = one
		asked++
		go func() { results <- one.order(ctx) }()
	}
	ok = true
	for range asked {
		ok = <-results && ok
	}
	if ok {
		h.wait.Add(1)
		go h.renew(renewals)
	}
	return h, ok
}

// order reserves or renews.
func (h *holding) order(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	ok, err := h.n.g.opts.Backend.Reserve(ctx, h.endpoint, h.id, h.tokens, reserveHold)
	if err != nil {
		h.doubt = h.n.g.opts.Now()
		h.n.log("reserve_failed").WithError(err).WithField("at", h.endpoint.ID).Warn("reservation order without an answer")
	}
	return ok && err == nil
}

// renew repeats the orders until ctx ends. An order under way is not cut off then: it would leave a doubt.
func (h *holdings) renew(ctx context.Context) {
	defer h.wait.Done()
	timing.Every(ctx, renewEvery, func() {
		for _, one := range h.list {
			if one != nil {
				one.order(context.Background())
			}
		}
	})
}

// release ends the reservations in the background: the caller's answer does not wait for it.
func (h *holdings) release() {
	if h == nil {
		return
	}
	h.stop()
	go func() {
		h.wait.Wait()
		for _, one := range h.list {
			if one != nil {
				go one.release()
			}
		}
	}()
}

// release repeats while an order without an answer may still be carried out and reserve the memory anew.
func (h *holding) release() {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
		err := h.n.g.opts.Backend.Release(ctx, h.endpoint, h.id)
		cancel()
		now := h.n.g.opts.Now()
		if err != nil && h.doubt.IsZero() {
			h.doubt = now
			h.n.log("release_failed").WithError(err).WithField("at", h.endpoint.ID).Warn("release without an answer")
		}
		if h.doubt.IsZero() || now.Sub(h.doubt) > lateOrders {
			return
		}
		time.Sleep(releaseEvery)
	}
}
