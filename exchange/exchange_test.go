package exchange

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/evacuation"
	"github.com/bilberrylink/bilberrylink/internal/http1/http1test"
	"github.com/bilberrylink/bilberrylink/placement"
	"github.com/bilberrylink/bilberrylink/quarantine"
	"github.com/bilberrylink/bilberrylink/registry"
	"github.com/bilberrylink/bilberrylink/throttle"
)

func sampleMessage(now time.Time) Message {
	return Message{
		Name: "entry-1", Addr: "10.0.0.2:1", FailureDomain: "a", Sequence: 77, Relay: true, Scopes: placement.Near | placement.Fleetwide,
		Versions: Versions{Epoch: 12, Endpoints: 40, EndpointsChanged: 38, ConfirmedAt: now.Add(-1500 * time.Millisecond),
			OutageEndedAt: now.Add(-time.Minute), StoreReachable: true},
		Part: 0, Parts: 1,
		Jobs: []placement.Job{{
			Endpoint: 5, PromptTokens: 700_000, Parts: 16, OutputTokens: 1600, MemoryTokens: 290_000, LatencyTarget: 3 * time.Second,
			GapTarget: 250 * time.Millisecond, PlacedAt: now.Add(-40 * time.Millisecond), Decoding: true, Late: true,
		}},
	}
}

// Every field must survive encoding and decoding.
func TestMessageEncodingRoundTrip(t *testing.T) {
	now := time.Unix(1000, 0)
	m := sampleMessage(now)
	got, err := decode(m.encode(now), now)
	require.NoError(t, err)
	require.Equal(t, &m, got)
}

// Truncated datagrams and those with trailing bytes must not be accepted as a state.
func TestMalformedDatagramsAreRejected(t *testing.T) {
	now := time.Unix(1000, 0)
	m := sampleMessage(now)
	datagram := m.encode(now)
	for i := range datagram {
		_, err := decode(datagram[:i], now)
		require.Error(t, err, "truncated at %d", i)
	}
	_, err := decode(append(datagram, 0), now)
	require.Error(t, err)
}

func FuzzDecode(f *testing.F) {
	m := sampleMessage(time.Unix(1000, 0))
	f.Add(m.encode(time.Unix(1000, 0)))
	f.Fuzz(func(t *testing.T, b []byte) {
		if m, err := decode(b, time.Unix(1000, 0)); err == nil && (m.Name == "" || m.Part >= m.Parts) {
			t.Fatal("invalid message accepted")
		}
	})
}

// A state with many jobs must be split into datagrams that fit into a packet, without losing a job.
func TestLargeStatesAreSplit(t *testing.T) {
	now := time.Unix(1000, 0)
	jobs := make([]placement.Job, 3*jobsPerPart+1)
	messages := splitState(Message{Name: strings.Repeat("n", maxNameBytes)}, jobs)
	require.Len(t, messages, 4)
	totalJobs := 0
	for _, m := range messages {
		require.LessOrEqual(t, len(m.encode(now)), maxDatagramBytes)
		totalJobs += len(m.Jobs)
	}
	require.Equal(t, len(jobs), totalJobs)
	require.Len(t, splitState(Message{Name: "n"}, nil), 1)
}

// discardConn is a socket that drops everything sent on it.
type discardConn struct{ net.PacketConn }

func (discardConn) LocalAddr() net.Addr                       { return &net.UDPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 1} }
func (discardConn) WriteTo(p []byte, _ net.Addr) (int, error) { return len(p), nil }

func newExchange(scheduler *placement.Scheduler) *Exchange {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Options{Name: "me", Addr: "10.0.0.1:1", FailureDomain: "a", Conn: discardConn{}, Scheduler: scheduler,
		Quarantine: quarantine.New(quarantine.Options{Log: log}), Throttle: throttle.New(throttle.Options{Log: log}),
		Evacuation: evacuation.New(evacuation.Options{Log: log}), Log: log, Versions: func() Versions { return Versions{Epoch: 1, StoreReachable: true} }})
}

// A delayed older state must not replace a newer one, and a state with fewer parts must remove the jobs of the others.
func TestOlderPeerStatesAreIgnored(t *testing.T) {
	scheduler := placement.NewScheduler()
	e := newExchange(scheduler)
	now := time.Now()
	receive := func(m Message) {
		m.Addr, m.Scopes = "10.0.0.2:1", placement.Near|placement.Fleetwide
		e.handleMessage(&m, now)
	}
	model := &engineModel
	jobs := []placement.Job{{Endpoint: placement.KeyOf("e"), PromptTokens: 300_000, Parts: 1, LatencyTarget: time.Second,
		PlacedAt: now}}
	receive(Message{Name: "p", Sequence: 5, Part: 1, Parts: 2, Jobs: jobs})
	require.NotZero(t, scheduler.TimeToNextEvent(model, "e", 1, now))
	receive(Message{Name: "p", Sequence: 4, Part: 0, Parts: 1})
	require.NotZero(t, scheduler.TimeToNextEvent(model, "e", 1, now), "older state")
	receive(Message{Name: "p", Sequence: 6, Part: 0, Parts: 1})
	require.Zero(t, scheduler.TimeToNextEvent(model, "e", 1, now))
	require.Len(t, e.LivePeers(), 1)
	receive(Message{Name: "p", Sequence: 7, Part: 0, Parts: 1, Stopping: true})
	require.Empty(t, e.LivePeers())
	receive(Message{Name: "me", Sequence: 9, Part: 0, Parts: 1})
	require.Empty(t, e.LivePeers(), "own datagram")
}

// Two gateways, of which one knows the other's address, must exchange states over real sockets.
func TestTwoGatewaysExchangeStates(t *testing.T) {
	schedulers := []*placement.Scheduler{placement.NewScheduler(), placement.NewScheduler()}
	var exchanges []*Exchange
	var wait sync.WaitGroup
	for i, name := range []string{"a", "b"} {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		e := newExchange(schedulers[i])
		e.opts.Name, e.opts.Conn, e.opts.Addr = name, conn, conn.LocalAddr().String()
		e.targets = newTargetList(e.opts.Addr)
		exchanges = append(exchanges, e)
	}
	require.NoError(t, exchanges[0].AddTarget(exchanges[1].opts.Conn.LocalAddr().String()))
	require.Error(t, exchanges[0].AddTarget("no address"))
	for _, e := range exchanges {
		wait.Go(func() { e.Run(t.Context()) })
	}
	t.Cleanup(wait.Wait)
	schedulers[1].Add(placement.Job{Endpoint: placement.KeyOf("e"), PromptTokens: 900_000, Parts: 1,
		LatencyTarget: time.Second, PlacedAt: time.Now()})
	require.Eventually(t, func() bool { return schedulers[0].TimeToNextEvent(&engineModel, "e", 1, time.Now()) > 0 },
		5*time.Second, 5*time.Millisecond)
	require.Len(t, exchanges[1].LivePeers(), 1)
}

// A state that the handler serves must arrive unchanged at the peer that fetches it.
func TestFetchState(t *testing.T) {
	want := State{Epoch: 4, Config: Compress([]byte(`{}`)), Endpoints: registry.Delta{Since: 7, Version: 9, Stable: true,
		Entries: []registry.Entry{{ID: "a", Service: "s", Born: 3}}, Removed: []registry.Removal{{ID: "b", Version: 8}}}}
	query := StateQuery{Epoch: 3, EndpointsVersion: 7}
	server := httptest.NewServer(StateHandler(func(got StateQuery) State {
		require.Equal(t, query, got)
		return want
	}))
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	got, _, err := NewStateClient(nil).Fetch(t.Context(), addr, query)
	require.NoError(t, err)
	require.Equal(t, want, got)
	config, err := Decompress(got.Config)
	require.NoError(t, err)
	require.Equal(t, `{}`, string(config))
	_, _, err = NewStateClient(nil).Fetch(t.Context(), addr+"/none", query)
	require.Error(t, err)
	_, err = Decompress([]byte("damaged"))
	require.Error(t, err)
	resp, err := http.Get(server.URL + "/state?epoch=x&endpoints=1")
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
}

// An invalid response of a peer must not be taken for its state.
func TestInvalidResponsesOfPeers(t *testing.T) {
	for name, response := range http1test.Invalid() {
		text := response.JSONText()
		addr := http1test.Server(t, text).Listener.Addr().String()
		_, _, err := NewStateClient(nil).Fetch(t.Context(), addr, StateQuery{})
		require.Error(t, err, name)
	}
	addr := http1test.Server(t, "HTTP/1.1 200 OK\r\n\r\nnull").Listener.Addr().String()
	_, _, err := NewStateClient(nil).Fetch(t.Context(), addr, StateQuery{})
	require.NoError(t, err)
}
