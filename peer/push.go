package peer

import (
	"context"
	"sync"

	"github.com/bilberrylink/bilberrylink/membership"
	"github.com/bilberrylink/bilberrylink/wire"
)

// pushLoop sends each new epoch to some entries that are not known to hold it.
func (p *Peer) pushLoop(ctx context.Context) {
	var pushed int64
	for {
		changed := p.store.Changed()
		if held := p.store.Epoch(); held > pushed && !p.options.PollOnly {
			pushed = held
			p.push(ctx, held)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (p *Peer) push(ctx context.Context, held int64) {
	nodes := p.behind(held)
	p.parallel(len(nodes), fanout, func(i int) {
		p.metrics.pushes.Inc()
		_, _ = p.pushTo(ctx, nodes[i]) // a failure is counted, and the periodic exchange makes up for it
	})
}

// behind returns some other entries that are not known to hold an epoch, in random order.
func (p *Peer) behind(held int64) []membership.Node {
	var nodes []membership.Node
	for _, n := range p.members.Entries() {
		if n.Name != p.options.Name && n.Epoch < held && n.Addr != "" {
			nodes = append(nodes, n)
		}
	}
	shuffle(nodes)
	return nodes[:min(len(nodes), fanout)]
}

// pushTo sends the current text to an entry, as an increment from the epoch that it is thought to hold, and again as a
// whole if the entry could not use that.
func (p *Peer) pushTo(ctx context.Context, n membership.Node) (*wire.ExchangeReply, error) {
	held := p.store.Epoch()
	reply, err := p.exchange(ctx, n.Addr, &wire.ExchangeRequest{Change: p.store.ChangeFrom(n.Epoch), Records: []*wire.NodeRecord{}})
	if err != nil || reply.Epoch >= held {
		return reply, err
	}
	return p.exchange(ctx, n.Addr, &wire.ExchangeRequest{Change: p.store.ChangeFrom(reply.Epoch), Records: []*wire.NodeRecord{}})
}

// urgentLoop passes on at once that nodes are leaving or have returned. In a rolling restart the next endpoint leaves as
// soon as the previous one is ready, so an entry that still holds the previous one for leaving would have none.
func (p *Peer) urgentLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.members.PushSignal():
		}
		records := p.members.TakePushRecords(maxUrgent)
		if len(records) == 0 {
			continue
		}
		targets := p.targets()
		p.parallel(min(len(targets), fanout), fanout, func(i int) {
			p.metrics.pushes.Inc()
			_, _ = p.exchange(ctx, targets[i], &wire.ExchangeRequest{Records: records}) // gossip makes up for a failure
		})
	}
}

// parallel calls do for 0 to n-1 with at most limit calls at a time.
func (p *Peer) parallel(n, limit int, do func(i int)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, limit)
	for i := range n {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			do(i)
		})
	}
	wg.Wait()
}
