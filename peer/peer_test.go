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

// downTable is a table service that is down.
type downTable struct{ cloud.Table }

type unusedObjects struct{ cloud.ObjectStore }

func (downTable) Get(context.Context, string) (cloud.Row, error) {
	return cloud.Row{}, cloud.ErrUnavailable
}

// network connects peers by address. It copies requests and replies, as a real connection would.
type network struct{ peers *sync.Map }

func newNetwork() network { return network{new(sync.Map)} }

func (n network) client(addr string) wire.Peer {
	value, _ := n.peers.Load(addr)
	p, _ := value.(wire.Peer)
	return peerClient{p}
}

type peerClient struct{ target wire.Peer }

func (c peerClient) Exchange(ctx context.Context, req *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	if c.target == nil {
		return nil, errors.New("connection refused")
	}
	reply, err := c.target.Exchange(ctx, proto.Clone(req).(*wire.ExchangeRequest))
	if err != nil {
		return nil, err
	}
	return proto.Clone(reply).(*wire.ExchangeReply), nil
}

type fakeBlameStore struct{ merged, outgoing []*wire.BlameRecord }

func (b *fakeBlameStore) RecentRecords(limit int) []*wire.BlameRecord {
	return b.outgoing[:min(limit, len(b.outgoing))]
}
func (b *fakeBlameStore) MergeRecords(records []*wire.BlameRecord) {
	b.merged = append(b.merged, records...)
}

func newPeer(t *testing.T, n network, name string, role cloud.VMRole, configure func(*Options)) *Peer {
	o := Options{Name: name, Addr: name, FailureDomain: "a", Role: role, Incarnation: "i1", Client: n.client,
		Services: cloud.Services{Table: downTable{}, Objects: unusedObjects{}}, Registerer: prometheus.NewRegistry()}
	if role == cloud.RoleAgent {
		o.Endpoint, o.EndpointKind = "endpoint-"+name, fleet.KindModel
	}
	if configure != nil {
		configure(&o)
	}
	p, err := New(o)
	require.NoError(t, err)
	if role == cloud.RoleEntry {
		n.peers.Store(name, p)
	}
	return p
}

func adoptText(t *testing.T, p *Peer, epoch int64) {
	text := "batches:\n"
	for i := range 100 {
		text += fmt.Sprintf("  batch-%d: {note: \"%d\"}\n", i, epoch*int64(i/99))
	}
	s, faults := fleet.NewSnapshot(epoch, []byte(text))
	require.Empty(t, faults)
	p.EpochStore().Adopt(s)
}

func startPeers(t *testing.T, peers ...*Peer) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	for _, p := range peers {
		go func() { _ = p.Run(ctx) }() // returns only when ctx ends
	}
	return func() {
		cancel()
		synctest.Wait()
	}
}

// An agent must discover entries beyond its seeds, receive newer texts from entries, and send them to entries that are behind.
func TestAgentTransfersTextBetweenEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		behind := newPeer(t, n, "entry-1", cloud.RoleEntry, nil)
		agent := newPeer(t, n, "agent-1", cloud.RoleAgent, func(o *Options) { o.Seeds = []string{"entry-1"} })
		adoptText(t, agent, 3)
		stop := startPeers(t, behind, agent)
		defer stop()
		time.Sleep(3 * time.Second)
		require.Equal(t, int64(3), behind.EpochStore().Epoch(), "the agent pushes the text to the entry")
		ahead := newPeer(t, n, "entry-2", cloud.RoleEntry, func(o *Options) { o.Seeds = []string{"entry-1"} })
		defer startPeers(t, ahead)()
		time.Sleep(5 * time.Second)
		adoptText(t, ahead, 4)
		n.peers.Delete("entry-1")
		time.Sleep(5 * time.Second)
		require.Equal(t, int64(4), agent.EpochStore().Epoch(), "the agent discovered the second entry through the first")
	})
}

// A patch must be sent where it suffices. A node without the base of the patch must get the full text instead of getting stuck.
func TestPatchWithFallbackToFullText(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		a := newPeer(t, n, "entry-1", cloud.RoleEntry, nil)
		adoptText(t, a, 1)
		adoptText(t, a, 2)
		b := newPeer(t, n, "entry-2", cloud.RoleEntry, func(o *Options) { o.Seeds = []string{"entry-1"} })
		adoptText(t, b, 1)
		sent, _ := a.MessageBytes()
		_, err := b.exchange(t.Context(), "entry-1", &wire.ExchangeRequest{})
		require.NoError(t, err)
		require.Equal(t, int64(2), b.EpochStore().Epoch())
		after, _ := a.MessageBytes()
		require.Less(t, after-sent, 600.0)

		restarted := newPeer(t, n, "entry-2", cloud.RoleEntry, func(o *Options) { o.Incarnation = "i2" })
		adoptText(t, a, 3)
		reply, err := a.pushTo(t.Context(), a.Members().Entries()[1])
		require.NoError(t, err)
		require.Equal(t, int64(3), reply.Epoch, "the full text follows the patch whose base is missing")
		require.Equal(t, int64(3), restarted.EpochStore().Epoch())
	})
}

// An entry whose record here is older than the retained texts must get a patch all the same, as it follows the changes.
func TestEntryThatWasLastHeardOfLongAgoGetsAPatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		a := newPeer(t, n, "entry-1", cloud.RoleEntry, nil)
		b := newPeer(t, n, "entry-2", cloud.RoleEntry, nil)
		a.Members().Observe(&wire.NodeRecord{Name: "entry-2", Addr: "entry-2", Role: "entry", Incarnation: "i", Sequence: 1}, true)
		for epoch := int64(1); epoch <= 3; epoch++ {
			adoptText(t, a, epoch)
		}
		adoptText(t, b, 2)
		sent, _ := a.MessageBytes()
		reply, err := a.pushTo(t.Context(), a.Members().Entries()[1])
		require.NoError(t, err)
		require.Equal(t, int64(3), reply.Epoch)
		after, _ := a.MessageBytes()
		require.Less(t, after-sent, 600.0)
		require.Equal(t, int64(4), a.EpochStore().RetainedEpoch(4), "an entry that is ahead gets no change")
	})
}

// Messages must respect their size limits, and blame records must be transferred in both directions.
func TestMessagesAreBounded(t *testing.T) {
	n := newNetwork()
	blameStore := &fakeBlameStore{}
	a := newPeer(t, n, "entry-1", cloud.RoleEntry, func(o *Options) { o.Blames = blameStore })
	for i := range 500 {
		a.Members().Observe(&wire.NodeRecord{Name: fmt.Sprint("agent-", i), Role: "agent", Incarnation: "i", Sequence: 1}, true)
	}
	for range 100 {
		blameStore.outgoing = append(blameStore.outgoing, &wire.BlameRecord{Fingerprint: "f"})
	}
	reply, err := a.Exchange(t.Context(), &wire.ExchangeRequest{
		Sender: &wire.NodeRecord{Name: "entry-2", Role: "entry", Incarnation: "i", Sequence: 1},
		Blames: []*wire.BlameRecord{{Fingerprint: "g", Crashes: 2}}})
	require.NoError(t, err)
	require.NotEmpty(t, reply.Records)
	size := 0
	for _, r := range reply.Records {
		size += proto.Size(r)
	}
	require.LessOrEqual(t, size, maxRecordBytes)
	require.Len(t, reply.Blames, maxBlames)
	require.Equal(t, "g", blameStore.merged[0].Fingerprint)
	_, err = a.Exchange(t.Context(), &wire.ExchangeRequest{})
	require.Error(t, err, "a request without a sender is rejected")
}

// Evidence counts only if it comes in the reply to an own request, whose start dates it. Requests from others must not
// make a snapshot fresh.
func TestEvidenceCountsFromRepliesOnly(t *testing.T) {
	n := newNetwork()
	a := newPeer(t, n, "entry-1", cloud.RoleEntry, nil)
	s, faults := fleet.NewSnapshot(1, []byte("settings: {failure_domains: [a, b, c]}\n"))
	require.Empty(t, faults)
	a.EpochStore().Adopt(s)
	_, err := a.Exchange(t.Context(), &wire.ExchangeRequest{Epoch: 1, Sender: &wire.NodeRecord{Name: "entry-2",
		FailureDomain: "b", Role: "entry", Incarnation: "i", Sequence: 1, Epoch: 1}})
	require.NoError(t, err)
	require.False(t, a.EpochStore().Fresh())
	a.mergeReply(t.Context(), "entry-2", time.Now(), &wire.ExchangeReply{Sender: &wire.NodeRecord{Name: "entry-2"}, Epoch: 1,
		Evidence: []*wire.Evidence{{Domain: "b"}, {Domain: "c"}}})
	require.True(t, a.EpochStore().Fresh())
}

// An agent must receive the records of the endpoints that it watches for a rollout, but not those of all other endpoints.
func TestAgentReceivesWatchedEndpointsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		a := newPeer(t, n, "entry-1", cloud.RoleEntry, nil)
		for i := range 500 {
			a.Members().Observe(&wire.NodeRecord{Name: fmt.Sprint("agent-", i), Endpoint: fmt.Sprint("e-", i), Role: "agent",
				Incarnation: "i", Sequence: 1}, true)
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
		require.LessOrEqual(t, len(reply.Records), maxWatchedEndpoints)
	})
}
