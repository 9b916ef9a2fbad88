package peer_test

import (
	"context"
	"fmt"
	"time"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/epoch"
	"github.com/bilberrylink/bilberrylink/internal/standin"
	"github.com/bilberrylink/bilberrylink/peer"
	"github.com/bilberrylink/bilberrylink/wire"
)

// A text that one entry accepts reaches an agent by the exchange, without the agent reading the table.
func ExamplePeer() {
	store := standin.New(standin.Options{})
	defer store.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	nodes := make(map[string]*peer.Peer)
	start := func(name, addr string, role cloud.VMRole) *peer.Peer {
		node, err := peer.New(peer.Options{Name: name, Addr: addr, FailureDomain: "north", Role: role, Incarnation: name,
			Seeds: []string{"entry:1"}, Services: store.ServicesFrom("north"), Interval: 50 * time.Millisecond,
			Client: func(addr string) wire.Peer { return nodes[addr] }})
		if err != nil {
			panic(err)
		}
		nodes[addr] = node
		return node
	}
	entry, agent := start("entry", "entry:1", cloud.RoleEntry), start("agent", "agent:1", cloud.RoleAgent)
	acceptor := epoch.NewAcceptor(epoch.AcceptorOptions{Node: "entry", Services: store.ServicesFrom("north"),
		Store: entry.EpochStore(), Cluster: entry})
	for _, run := range []func(context.Context) error{entry.Run, agent.Run, acceptor.Run} {
		go func() { _ = run(ctx) }()
	}

	accepted, err := acceptor.Submit(ctx, epoch.Submission{Operator: "operator", Raw: []byte("settings: {failure_domains: [north]}\n")})
	fmt.Println(accepted.Epoch, err)
	fmt.Println(agent.CatchUp(ctx, accepted.Epoch), agent.EpochStore().Snapshot().Epoch)
	// Output:
	// 1 <nil>
	// <nil> 1
}
