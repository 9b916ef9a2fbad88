package peer

import (
	"context"
	"sync"

	"github.com/bilberrylink/bilberrylink/membership"
	"github.com/bilberrylink/bilberrylink/wire"
)

// pushLoop pushes each new epoch to a few entries that are not known to hold it.
func (p *Peer) pushLoop(ctx context.Context) {
	var pushed int64
	for {
		changed := p.store.Changed()
		if heldEpoch := p.store.Epoch(); heldEpoch > pushed && !p.options.PollOnly {
			pushed = heldEpoch
			p.pushEpoch(ctx, heldEpoch)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (p *Peer) pushEpoch(ctx context.Context, epoch int64) {
	nodes := p.entriesBehind(epoch)
	p.runParallel(len(nodes), pushFanout, func(i int) {
		p.metrics.pushes.Inc()
		_, _ = p.pushTo(ctx, nodes[i]) // failures are counted, and the periodic exchange compensates for them
	})
}

// entriesBehind returns up to pushFanout random other entries that are not known to hold the epoch.
func (p *Peer) entriesBehind(epoch int64) []membership.Node {
	var nodes []membership.Node
	for _, n := range p.members.Entries() {
		if n.Name != p.options.Name && n.Epoch < epoch && n.Addr != "" {
			nodes = append(nodes, n)
		}
	}
	shuffle(nodes)
	return nodes[:min(len(nodes), pushFanout)]
}

// pushTo sends the current text to an entry, as a patch from the epoch that the entry is believed to hold. An entry that was last heard of at an
// epoch that is not retained has most likely followed the changes since. If the entry cannot apply the patch, pushTo sends the change from
// the epoch in its reply.
func (p *Peer) pushTo(ctx context.Context, n membership.Node) (*wire.ExchangeReply, error) {
	heldEpoch := p.store.Epoch()
	base := p.store.RetainedEpoch(n.Epoch)
	reply, err := p.exchange(ctx, n.Addr, &wire.ExchangeRequest{Change: p.store.ChangeFrom(base), Records: []*wire.NodeRecord{}})
	if err != nil || reply.Epoch >= heldEpoch {
		return reply, err
	}
	return p.exchange(ctx, n.Addr, &wire.ExchangeRequest{Change: p.store.ChangeFrom(reply.Epoch), Records: []*wire.NodeRecord{}})
}

// pushMembershipLoop immediately announces nodes that are leaving or have returned. In a rolling restart the next endpoint
// leaves as soon as the previous one is ready; an entry that still considered the previous one as leaving would have no
// endpoint.
func (p *Peer) pushMembershipLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.members.PushSignal():
		}
		records := p.members.TakePushRecords(maxPushRecords)
		if len(records) == 0 {
			continue
		}
		targets := p.exchangeTargets(p.options.Interval)
		p.runParallel(min(len(targets), pushFanout), pushFanout, func(i int) {
			p.metrics.pushes.Inc()
			_, _ = p.exchange(ctx, targets[i], &wire.ExchangeRequest{Records: records}) // regular gossip compensates for failures
		})
	}
}

// runParallel calls do(i) for each i from 0 to n-1, with at most limit calls at a time, and waits for them.
func (p *Peer) runParallel(n, limit int, do func(i int)) {
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
