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

	"github.com/bilberrylink/bilberrylink/placement"
	"github.com/bilberrylink/bilberrylink/registry"
)

func sample(now time.Time) Message {
	return Message{
		Name: "entry-1", Sequence: 77, Epoch: 12, StoreReachable: true, Part: 0, Parts: 1, Crashes: map[uint64]int{9: 2},
		Jobs: []placement.Job{{
			Endpoint: 5, PromptTokens: 700_000, Parts: 16, OutputTokens: 1600, MemoryTokens: 290_000, LatencyTarget: 3 * time.Second,
			GapTarget: 250 * time.Millisecond, PlacedAt: now.Add(-40 * time.Millisecond), Decoding: true, Late: true,
		}},
	}
}

// Guards against a field that is lost or shifted on the wire.
func TestMessageSurvivesTheWire(t *testing.T) {
	now := time.Unix(1000, 0)
	m := sample(now)
	got, err := decode(m.encode(now), now)
	require.NoError(t, err)
	require.Equal(t, &m, got)
}

// Guards against a datagram of another program, or a cut one, that is taken for a state.
func TestMalformedDatagramsAreRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	m := sample(now)
	whole := m.encode(now)
	for i := range whole {
		_, err := decode(whole[:i], now)
		require.Error(t, err, "cut at %d", i)
	}
	_, err := decode(append(whole, 0), now)
	require.Error(t, err)
}

func FuzzDecode(f *testing.F) {
	m := sample(time.Unix(1000, 0))
	f.Add(m.encode(time.Unix(1000, 0)))
	f.Fuzz(func(t *testing.T, b []byte) {
		if m, err := decode(b, time.Unix(1000, 0)); err == nil && (m.Name == "" || m.Part >= m.Parts) {
			t.Fatal("invalid message accepted")
		}
	})
}

// Guards against datagrams beyond the size of a packet, and against jobs that are left out.
func TestLargeStatesAreSplit(t *testing.T) {
	now := time.Unix(1000, 0)
	jobs := make([]placement.Job, 3*jobsPerPart+1)
	list := split(Message{Name: strings.Repeat("n", maxName)}, jobs)
	require.Len(t, list, 4)
	sum := 0
	for _, m := range list {
		require.LessOrEqual(t, len(m.encode(now)), maxDatagram)
		sum += len(m.Jobs)
	}
	require.Equal(t, len(jobs), sum)
	require.Len(t, split(Message{Name: "n"}, nil), 1)
}

type noCrashes struct{}

func (noCrashes) Merge(uint64, int)                        {}
func (noCrashes) Recent(time.Duration, int) map[uint64]int { return nil }

// discard is a socket that only has an address.
type discard struct{ net.PacketConn }

func (discard) LocalAddr() net.Addr                       { return &net.UDPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 1} }
func (discard) WriteTo(p []byte, _ net.Addr) (int, error) { return len(p), nil }

func newExchange(b *placement.Scheduler) *Exchange {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Options{Name: "me", Conn: discard{}, Board: b, Crashes: noCrashes{}, Log: log,
		Epoch: func() int64 { return 1 }, StoreReachable: func() bool { return true }})
}

// Guards against an older state that overtakes a newer one, and against jobs of parts that a newer state lacks.
func TestOnlyTheNewestStateOfAPeerCounts(t *testing.T) {
	b := placement.NewScheduler()
	x := newExchange(b)
	now := time.Now()
	from := &net.UDPAddr{IP: net.IPv4(10, 0, 0, 2), Port: 1}
	m := &engineModel
	job := []placement.Job{{Endpoint: placement.KeyOf("e"), PromptTokens: 300_000, Parts: 1, LatencyTarget: time.Second, PlacedAt: now}}
	x.take(&Message{Name: "p", Sequence: 5, Part: 1, Parts: 2, Jobs: job}, from, now)
	require.NotZero(t, b.TimeToNextEvent(m, "e", 1, now))
	x.take(&Message{Name: "p", Sequence: 4, Part: 0, Parts: 1}, from, now)
	require.NotZero(t, b.TimeToNextEvent(m, "e", 1, now), "older state")
	x.take(&Message{Name: "p", Sequence: 6, Part: 0, Parts: 1}, from, now)
	require.Zero(t, b.TimeToNextEvent(m, "e", 1, now))
	require.Len(t, x.LivePeers(), 1)
	x.take(&Message{Name: "p", Sequence: 7, Part: 0, Parts: 1, Stopping: true}, from, now)
	require.Empty(t, x.LivePeers())
	x.take(&Message{Name: "me", Sequence: 9, Part: 0, Parts: 1}, from, now)
	require.Empty(t, x.LivePeers(), "own datagram")
}

// Guards against an exchange that does not reach its peer over real sockets.
func TestTwoExchangesFindEachOther(t *testing.T) {
	boards := []*placement.Scheduler{placement.NewScheduler(), placement.NewScheduler()}
	var all []*Exchange
	var wait sync.WaitGroup
	for i, name := range []string{"a", "b"} {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		x := newExchange(boards[i])
		x.opts.Name, x.opts.Conn = name, conn
		all = append(all, x)
	}
	require.NoError(t, all[0].AddTarget(all[1].opts.Conn.LocalAddr().String()))
	require.Error(t, all[0].AddTarget("no address"))
	for _, x := range all {
		wait.Go(func() { x.Run(t.Context()) })
	}
	t.Cleanup(wait.Wait)
	boards[1].Add(placement.Job{Endpoint: placement.KeyOf("e"), PromptTokens: 900_000, Parts: 1, LatencyTarget: time.Second, PlacedAt: time.Now()})
	require.Eventually(t, func() bool { return boards[0].TimeToNextEvent(&engineModel, "e", 1, time.Now()) > 0 }, 5*time.Second, 5*time.Millisecond)
	require.Len(t, all[1].LivePeers(), 1)
}

// Guards against a state that a peer cannot read.
func TestStateIsFetchedFromAPeer(t *testing.T) {
	want := State{Epoch: 4, Config: []byte(`{}`), EndpointsComplete: true, Endpoints: []registry.Entry{{ID: "a", Service: "s", Born: 3}}}
	server := httptest.NewServer(StateHandler(func() State { return want }))
	defer server.Close()
	got, err := FetchState(t.Context(), http.DefaultClient, strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	require.Equal(t, want, got)
	_, err = FetchState(t.Context(), http.DefaultClient, strings.TrimPrefix(server.URL, "http://")+"/none")
	require.Error(t, err)
}
