package peer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/wire"
)

// idleTable answers no call, as a table that is down does.
type idleTable struct{ cloud.Table }

type noObjects struct{ cloud.ObjectStore }

func (idleTable) Get(context.Context, string) (cloud.Row, error) {
	return cloud.Row{}, cloud.ErrUnavailable
}

// network connects peers by address. Replies and requests are copied, as a real connection does.
type network struct{ peers *sync.Map }

func newNetwork() network { return network{new(sync.Map)} }

func (n network) client(addr string) wire.Peer {
	to, _ := n.peers.Load(addr)
	p, _ := to.(wire.Peer)
	return dial{p}
}

type dial struct{ to wire.Peer }

func (d dial) Exchange(ctx context.Context, req *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	if d.to == nil {
		return nil, errors.New("connection refused")
	}
	reply, err := d.to.Exchange(ctx, proto.Clone(req).(*wire.ExchangeRequest))
	if err != nil {
		return nil, err
	}
	return proto.Clone(reply).(*wire.ExchangeReply), nil
}

type blames struct{ merged, outgoing []*wire.BlameRecord }

func (b *blames) Outgoing(limit int) []*wire.BlameRecord {
	return b.outgoing[:min(limit, len(b.outgoing))]
}
func (b *blames) Merge(records []*wire.BlameRecord) { b.merged = append(b.merged, records...) }

func newPeer(t *testing.T, n network, name string, role cloud.VMRole, change func(*Options)) *Peer {
	o := Options{Name: name, Addr: name, FailureDomain: "a", Role: role, Incarnation: "i1", Client: n.client,
		Services: cloud.Services{Table: idleTable{}, Objects: noObjects{}}, Registerer: prometheus.NewRegistry()}
	if role == cloud.RoleAgent {
		o.Endpoint, o.EndpointKind = "endpoint-"+name, fleet.KindModel
	}
	if change != nil {
		change(&o)
	}
	p, err := New(o)
	require.NoError(t, err)
	if role == cloud.RoleEntry {
		n.peers.Store(name, p)
	}
	return p
}

func adopt(t *testing.T, p *Peer, epoch int64) {
	text := "batches:\n"
	for i := range 100 {
		text += fmt.Sprintf("  batch-%d: {note: \"%d\"}\n", i, epoch*int64(i/99))
	}
	s, faults := fleet.NewSnapshot(epoch, []byte(text))
	require.Empty(t, faults)
	p.EpochStore().Adopt(s)
}

func start(t *testing.T, peers ...*Peer) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	for _, p := range peers {
		go func() { _ = p.Run(ctx) }() // ends with the context only
	}
	return func() {
		cancel()
		synctest.Wait()
	}
}

// Guards against an agent that never learns entries beyond its seeds, or does not get or pass on the text.
func TestAgentCarriesTextBetweenEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		behind := newPeer(t, n, "entry-1", cloud.RoleEntry, nil)
		agent := newPeer(t, n, "agent-1", cloud.RoleAgent, func(o *Options) { o.Seeds = []string{"entry-1"} })
		adopt(t, agent, 3)
		stop := start(t, behind, agent)
		defer stop()
		time.Sleep(3 * time.Second)
		require.Equal(t, int64(3), behind.EpochStore().Epoch(), "the entry cannot ask an agent; the agent sends")
		ahead := newPeer(t, n, "entry-2", cloud.RoleEntry, func(o *Options) { o.Seeds = []string{"entry-1"} })
		defer start(t, ahead)()
		time.Sleep(5 * time.Second)
		adopt(t, ahead, 4)
		n.peers.Delete("entry-1")
		time.Sleep(5 * time.Second)
		require.Equal(t, int64(4), agent.EpochStore().Epoch(), "the agent found the second entry through the first")
	})
}

// Guards against a whole text where an increment suffices, and against a node that is stuck when it has no base.
func TestIncrementWithFallbackToWholeText(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		a := newPeer(t, n, "entry-1", cloud.RoleEntry, nil)
		adopt(t, a, 1)
		adopt(t, a, 2)
		b := newPeer(t, n, "entry-2", cloud.RoleEntry, func(o *Options) { o.Seeds = []string{"entry-1"} })
		adopt(t, b, 1)
		sent, _ := a.MessageBytes()
		_, err := b.exchange(t.Context(), "entry-1", &wire.ExchangeRequest{})
		require.NoError(t, err)
		require.Equal(t, int64(2), b.EpochStore().Epoch())
		after, _ := a.MessageBytes()
		require.Less(t, after-sent, 600.0)

		restarted := newPeer(t, n, "entry-2", cloud.RoleEntry, func(o *Options) { o.Incarnation = "i2" })
		adopt(t, a, 3)
		reply, err := a.pushTo(t.Context(), a.Members().Entries()[1])
		require.NoError(t, err)
		require.Equal(t, int64(3), reply.Epoch, "the pushed increment had no base; the whole text followed")
		require.Equal(t, int64(3), restarted.EpochStore().Epoch())
	})
}

// Guards against unbounded messages and against blames that do not travel.
func TestMessagesAreBounded(t *testing.T) {
	n := newNetwork()
	sink := &blames{}
	a := newPeer(t, n, "entry-1", cloud.RoleEntry, func(o *Options) { o.Blames = sink })
	for i := range 500 {
		a.Members().Observe(&wire.NodeRecord{Name: fmt.Sprint("agent-", i), Role: "agent", Incarnation: "i", Sequence: 1}, true)
	}
	for range 100 {
		sink.outgoing = append(sink.outgoing, &wire.BlameRecord{Fingerprint: "f"})
	}
	reply, err := a.Exchange(t.Context(), &wire.ExchangeRequest{Sender: &wire.NodeRecord{Name: "entry-2", Role: "entry", Incarnation: "i", Sequence: 1},
		Blames: []*wire.BlameRecord{{Fingerprint: "g", Crashes: 2}}})
	require.NoError(t, err)
	require.NotEmpty(t, reply.Records)
	size := 0
	for _, r := range reply.Records {
		size += proto.Size(r)
	}
	require.LessOrEqual(t, size, maxRecordBytes)
	require.Len(t, reply.Blames, maxBlames)
	require.Equal(t, "g", sink.merged[0].Fingerprint)
	_, err = a.Exchange(t.Context(), &wire.ExchangeRequest{})
	require.Error(t, err, "a request without a sender is refused")
}

// Guards against a node that trusts the clock of a message instead of the start of its own request, and against
// evidence taken from requests.
func TestEvidenceComesFromRepliesOnly(t *testing.T) {
	n := newNetwork()
	a := newPeer(t, n, "entry-1", cloud.RoleEntry, nil)
	s, faults := fleet.NewSnapshot(1, []byte("settings: {failure_domains: [a, b, c]}\n"))
	require.Empty(t, faults)
	a.EpochStore().Adopt(s)
	_, err := a.Exchange(t.Context(), &wire.ExchangeRequest{Epoch: 1, Sender: &wire.NodeRecord{Name: "entry-2", FailureDomain: "b", Role: "entry",
		Incarnation: "i", Sequence: 1, Epoch: 1}})
	require.NoError(t, err)
	require.False(t, a.EpochStore().Fresh())
	a.merge(t.Context(), "entry-2", time.Now(), &wire.ExchangeReply{Sender: &wire.NodeRecord{Name: "entry-2"}, Epoch: 1,
		Evidence: []*wire.Evidence{{Domain: "b"}, {Domain: "c"}}})
	require.True(t, a.EpochStore().Fresh())
}

// Guards against an agent that learns nothing of the endpoints before it in a rollout, or is told of all others at all times.
func TestAgentLearnsOfWatchedEndpointsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		a := newPeer(t, n, "entry-1", cloud.RoleEntry, nil)
		for i := range 500 {
			a.Members().Observe(&wire.NodeRecord{Name: fmt.Sprint("agent-", i), Endpoint: fmt.Sprint("e-", i), Role: "agent", Incarnation: "i", Sequence: 1}, true)
		}
		var watch []string
		b := newPeer(t, n, "agent", cloud.RoleAgent, func(o *Options) { o.WatchedEndpoints = func() []string { return watch } })
		_, err := b.exchange(t.Context(), "entry-1", &wire.ExchangeRequest{})
		require.NoError(t, err)
		require.Len(t, b.Members().Agents(), 1, "itself")
		watch = []string{"e-3", "unknown"}
		_, err = b.exchange(t.Context(), "entry-1", &wire.ExchangeRequest{})
		require.NoError(t, err)
		node, ok := b.Members().Endpoint("e-3")
		require.True(t, ok && node.Live)
		for i := range 100 {
			watch = append(watch, fmt.Sprint("e-", i+10))
		}
		reply, err := b.exchange(t.Context(), "entry-1", &wire.ExchangeRequest{})
		require.NoError(t, err)
		require.LessOrEqual(t, len(reply.Records), maxWatch)
	})
}
