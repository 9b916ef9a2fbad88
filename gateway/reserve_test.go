package gateway

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bilberrylink/bilberrylink/catalog"
	"github.com/bilberrylink/bilberrylink/registry"
)

// leasingBackend models the leases of reservations at endpoints that leave calls unanswered and may execute them late.
type leasingBackend struct {
	*fakeBackend
	unanswered func(n int) (executedAfter time.Duration, lost bool) // for the n-th call for a reservation

	mu        sync.Mutex
	killed    bool // no call of the gateway arrives any more
	calls     map[string]int
	expiresAt map[string]time.Time
}

func newLeasingBackend(tg *testGateway, unanswered func(n int) (time.Duration, bool)) *leasingBackend {
	b := &leasingBackend{fakeBackend: tg.fakeBackend, unanswered: unanswered, calls: make(map[string]int), expiresAt: make(map[string]time.Time)}
	tg.gateway.opts.Backend = b
	return b
}

func (b *leasingBackend) Reserve(ctx context.Context, _ *registry.Endpoint, id string, _ int, ttl time.Duration) (bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.killed {
		return false, errReset
	}
	execute := func() { b.expiresAt[id] = time.Now().Add(ttl) }
	b.calls[id]++
	executedAfter, lost := b.unanswered(b.calls[id])
	if !lost {
		execute()
		return true, nil
	}
	time.AfterFunc(executedAfter, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		execute()
	})
	b.mu.Unlock()
	<-ctx.Done()
	b.mu.Lock()
	return false, &SendError{MaybeReceived: true, Err: ctx.Err()}
}

func (b *leasingBackend) Release(_ context.Context, _ *registry.Endpoint, id string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.killed {
		delete(b.expiresAt, id)
	}
	return nil
}

// held returns the number of reservations that have not expired, and of all that were made and not released.
func (b *leasingBackend) held() (current, all int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, at := range b.expiresAt {
		if at.After(time.Now()) {
			current++
		}
	}
	return current, len(b.expiresAt)
}

const leaseSampleInterval = 20 * time.Millisecond

// serveSplitPrompt serves a prompt whose memory is reserved at several endpoints.
func (tg *testGateway) serveSplitPrompt(ctx context.Context) *fakeResponseWriter {
	return tg.serve(ctx, catalog.Stream, func(r *Request) {
		r.PromptTokens, r.Route.LatencyTarget, r.Route.GapTarget, r.Route.Timeout = 500_000, 30*time.Second, 30*time.Second, 100*time.Second
	})
}

// When a gateway is killed, the memory of its requests must be free soon, even if an endpoint executes a renewal late that it has left
// unanswered.
func TestLateRenewalOfAKilledGatewayHoldsNoMemory(t *testing.T) {
	const (
		freeBound    = 4 * time.Second // of the platform, from the end of the last request that used the memory
		shortStretch = 2 * time.Second // memory that is held again later for less time than this is allowed
	)
	rapid.Check(t, func(rt *rapid.T) {
		lost := rapid.IntRange(2, 6).Draw(rt, "renewal that is left unanswered")
		executedAfter := time.Duration(rapid.IntRange(2000, 12000).Draw(rt, "executed after ms")) * time.Millisecond
		killedAfter := time.Duration(rapid.IntRange(0, 5000).Draw(rt, "killed after ms")) * time.Millisecond
		var longest time.Duration
		synctest.Test(t, func(t *testing.T) {
			tg := newTestGateway(nil)
			kill := make(chan struct{})
			killLater := sync.OnceFunc(func() { time.AfterFunc(killedAfter, func() { close(kill) }) })
			b := newLeasingBackend(tg, func(n int) (time.Duration, bool) {
				if n == lost {
					killLater()
				}
				return executedAfter, n == lost
			})
			tg.script = func(context.Context, int, *EndpointRequest) (*Response, error) {
				<-kill
				b.mu.Lock()
				b.killed = true
				b.mu.Unlock()
				return newResponse(200, eventText(1, 2)), nil
			}
			tg.serveSplitPrompt(t.Context())
			endedAt, since := time.Now(), time.Now()
			for time.Since(endedAt) < 20*time.Second {
				if held, _ := b.held(); held == 0 {
					since = time.Now()
				} else if time.Since(endedAt) > freeBound {
					longest = max(longest, time.Since(since))
				}
				time.Sleep(leaseSampleInterval)
			}
		})
		if longest >= shortStretch {
			rt.Fatalf("memory was held for %s without a break, more than %s after its request had ended", longest, freeBound)
		}
	})
}

// A request must not lose its memory because endpoints leave some renewals in a row unanswered.
func TestUnansweredRenewalsLoseNoMemory(t *testing.T) {
	const maxLost = 3 // in a row
	rapid.Check(t, func(rt *rapid.T) {
		lost := map[int]bool{}
		for n := 2; n < 40; {
			n += rapid.IntRange(0, 3).Draw(rt, "answered")
			for range rapid.IntRange(1, maxLost).Draw(rt, "lost in a row") {
				lost[n] = true
				n++
			}
			n++
		}
		expired := false
		synctest.Test(t, func(t *testing.T) {
			tg := newTestGateway(nil)
			b := newLeasingBackend(tg, func(n int) (time.Duration, bool) { return time.Hour, lost[n] })
			tg.script = func(context.Context, int, *EndpointRequest) (*Response, error) {
				for start := time.Now(); time.Since(start) < 10*time.Second; time.Sleep(leaseSampleInterval) {
					current, all := b.held()
					require.Greater(t, all, 1)
					expired = expired || current < all
				}
				return newResponse(200, eventText(1, 2)), nil
			}
			caller := tg.serveSplitPrompt(t.Context())
			require.Equal(t, eventText(1, 2), caller.body.String())
			time.Sleep(maxExecutionDelay + 2*releaseInterval)
		})
		if expired {
			rt.Fatalf("a reservation expired while its request was running; lost were the calls %v", lost)
		}
	})
}
