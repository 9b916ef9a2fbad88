package gatewayd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/platform"
	"github.com/bilberrylink/bilberrylink/platform/platformtest"
)

// stoppingGateway is a gateway daemon on loopback with one endpoint, which takes workTime for each order.
type stoppingGateway struct {
	daemon   *daemon
	addr     string
	mu       sync.Mutex
	received map[string]bool // attempts that have reached the endpoint
}

const (
	stopGrace = 8 * time.Second
	workTime  = 4600 * time.Millisecond
)

func startStoppingGateway(t *testing.T) *stoppingGateway {
	g := &stoppingGateway{received: make(map[string]bool)}
	endpoint := httptest.NewServer(platformtest.EndpointHandler(func(attemptID string) string {
		g.mu.Lock()
		g.received[attemptID] = true
		g.mu.Unlock()
		time.Sleep(workTime)
		return "ran " + attemptID
	}))
	t.Cleanup(endpoint.Close)
	store := platformtest.NewStore()
	store.SetConfig(platformtest.Config{Epoch: 1, Services: []string{"shop"}, APIKeys: []string{"key"}, Routes: []platformtest.Route{{
		Host: "h.example", Prefix: "/orders/", Kind: "non_idempotent", Service: "shop", Attempts: 1, Timeout: 5 * time.Second}}}.Encode())
	store.SetEndpoint("i-1", platformtest.Endpoint{Service: "shop", Addr: endpoint.Listener.Addr().String(), StartedAt: time.Now()})
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)

	const ip, ports = "127.0.0.91", 4
	first, err := platformtest.FreePorts(ip, 23000, ports)
	require.NoError(t, err)
	addr := func(i int) string { return net.JoinHostPort(ip, strconv.Itoa(first+i)) }
	g.addr = addr(0)
	settings, err := platform.ParseSettings(platformtest.GatewaySettings{Name: "g", Zone: "z", IP: ip, CallerAddr: g.addr, ReadinessAddr: addr(1),
		FirstPort: strconv.Itoa(first + 2), LastPort: strconv.Itoa(first + 3), GracePeriod: stopGrace, StoreAddr: storeServer.Listener.Addr().String()}.Encode())
	require.NoError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	g.daemon, err = newDaemon(Options{Settings: settings, Log: log})
	require.NoError(t, err)
	require.NoError(t, g.daemon.start(t.Context()))
	require.Eventually(t, g.daemon.ready, 5*time.Second, 10*time.Millisecond)
	return g
}

func (g *stoppingGateway) reachedEndpoint(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.received[id]
}

// order sends an order on a connection and returns the status of a complete answer, or 0.
func (g *stoppingGateway) order(c net.Conn, id string) int {
	request := platformtest.CallerRequest{Method: http.MethodPost, Path: "/orders/1", Host: "h.example", AttemptID: id, APIKey: "key",
		Timeout: 5 * time.Second, Body: "x"}
	if _, err := c.Write(request.Encode()); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// An order that comes at any moment of a planned stop, on a kept or on a new connection, must be served or refused as not run. None may reach an
// endpoint that cannot finish it before the process ends.
func TestOrdersDuringAPlannedStop(t *testing.T) {
	t.Parallel()
	g := startStoppingGateway(t)
	var callers sync.WaitGroup
	connect := func() net.Conn {
		c, err := net.Dial("tcp", g.addr)
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	used := make(map[time.Duration]net.Conn)
	moments := []time.Duration{0, 1500, 2700, 3000, 3600, 4500, 5200, 6000, 6900, 7300, 7600}
	for _, at := range moments {
		c := connect()
		used[at] = c
		callers.Go(func() { require.Equal(t, http.StatusOK, g.order(c, fmt.Sprintf("before-%d", at))) })
	}
	callers.Wait()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = g.daemon.stop(t.Context())
	}()
	time.Sleep(50 * time.Millisecond)
	for _, at := range moments {
		// A connection that has carried no request counts as busy for some seconds.
		for name, c := range map[string]net.Conn{"kept": used[at], "new": connect()} {
			callers.Go(func() {
				time.Sleep(at * time.Millisecond)
				id := fmt.Sprintf("%s-%d", name, at)
				switch status := g.order(c, id); {
				case g.reachedEndpoint(id):
					require.Equal(t, http.StatusOK, status, id)
				case status != 0:
					require.Equal(t, http.StatusServiceUnavailable, status, id)
				}
			})
		}
	}
	callers.Wait()
	<-stopped
}
