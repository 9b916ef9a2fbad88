package exchange

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/placement"
)

// recordingConn is a socket that records to whom datagrams are sent.
type recordingConn struct {
	discardConn
	sent map[string][]byte // latest datagram, by address
}

func (c recordingConn) WriteTo(p []byte, to net.Addr) (int, error) {
	c.sent[to.String()] = p
	return len(p), nil
}

// newExchangeWithPeers returns the exchange of a gateway in domain a that has heard ten others there and ten in domain b.
func newExchangeWithPeers(t *testing.T, scheduler *placement.Scheduler) (*Exchange, recordingConn) {
	conn := recordingConn{sent: make(map[string][]byte)}
	e := newExchange(scheduler)
	e.opts.Conn = conn
	now := time.Now()
	for i := range 20 {
		domain := string("ab"[i%2])
		e.handleMessage(&Message{Name: fmt.Sprintf("%s%d", domain, i), Addr: fmt.Sprintf("10.0.%d.%d:1", i%2, i), FailureDomain: domain,
			Sequence: 1, Parts: 1, Scopes: placement.Near | placement.Fleetwide}, now)
	}
	require.Len(t, e.LivePeers(), 20)
	return e, conn
}

func countIn(sent map[string][]byte, subnet string) (n int) {
	for addr := range sent {
		if len(addr) > len(subnet) && addr[:len(subnet)] == subnet {
			n++
		}
	}
	return n
}

// Short prompts must be told near gateways only, long ones also to one gateway of each other circle. When everyone heard of
// everything, the datagrams of a gateway grew with the fleet.
func TestStatesGoToThoseWhoNeedThem(t *testing.T) {
	scheduler := placement.NewScheduler()
	e, conn := newExchangeWithPeers(t, scheduler)
	e.sendState(placement.Near, ownCircle)
	require.Equal(t, 10, countIn(conn.sent, "10.0.0."))
	require.Zero(t, countIn(conn.sent, "10.0.1."))
	clear(conn.sent)
	e.sendState(placement.Fleetwide, circleAndRelays)
	require.Equal(t, 10, countIn(conn.sent, "10.0.0."))
	require.Equal(t, 1, countIn(conn.sent, "10.0.1."))
	for addr, datagram := range conn.sent {
		m, err := decode(datagram, time.Now())
		require.NoError(t, err)
		require.Equal(t, addr[:7] == "10.0.1.", m.Relay)
	}
}

// A datagram from another circle must reach all gateways of this one, once: they must not pass it on again.
func TestRelayPassesADatagramOnOnce(t *testing.T) {
	e, conn := newExchangeWithPeers(t, placement.NewScheduler())
	m := Message{Name: "b1", Addr: "10.0.1.1:1", FailureDomain: "b", Sequence: 2, Parts: 1, Relay: true}
	datagram := m.encode(time.Now())
	e.relay(datagram, &m)
	require.Equal(t, 10, countIn(conn.sent, "10.0.0."))
	require.Zero(t, countIn(conn.sent, "10.0.1."))
	for _, passedOn := range conn.sent {
		got, err := decode(passedOn, time.Now())
		require.NoError(t, err)
		require.False(t, got.Relay)
	}
	clear(conn.sent)
	near := Message{Name: "a0", Addr: "10.0.0.0:1", FailureDomain: "a", Sequence: 2, Parts: 1, Relay: true}
	e.relay(near.encode(time.Now()), &near)
	require.Empty(t, conn.sent, "its sender reaches the circle itself")
}

// A gateway that has been silent for a moment must not be chosen as the relay while others of its circle are heard.
func TestRelaysAreHeardRecently(t *testing.T) {
	e, _ := newExchangeWithPeers(t, placement.NewScheduler())
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, p := range e.peers {
		if name != "b3" {
			p.LastHeard = time.Now().Add(-relayTimeout)
		}
	}
	for range 100 {
		relays := e.topology.randomRelays()
		require.Len(t, relays, 1)
		require.Equal(t, "10.0.1.3:1", relays[0].String())
	}
}

// An address that stays silent must be greeted ever less often, and be forgotten: targets of gateways that are gone were never
// dropped.
func TestSilentAddressesAreForgotten(t *testing.T) {
	l, now := newTargetList("10.0.0.1:1"), time.Unix(1000, 0)
	l.add(&net.UDPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 1}, now)
	require.Empty(t, l.all(), "the own address")
	l.add(&net.UDPAddr{IP: net.IPv4(10, 0, 0, 2), Port: 1}, now)
	greetings := 0
	for at := now; at.Sub(now) < 30*time.Second; at = at.Add(keepAliveInterval) {
		greetings += len(l.due(at))
	}
	require.Less(t, greetings, 6+30/5+1)
	require.Positive(t, greetings)
	require.Empty(t, l.due(now.Add(forgetTargetAge+time.Second)))
	require.Empty(t, l.all())
}
