package peer

import (
	"context"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/wire"
)

// Exchange implements wire.Peer.
func (p *Peer) Exchange(ctx context.Context, req *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	if req.Sender == nil || req.Sender.Name == "" {
		return nil, errors.New("exchange without a sender")
	}
	p.metrics.countReceived(req)
	p.members.Observe(req.Sender, true)
	for _, r := range req.Records {
		p.members.Observe(r, false)
	}
	p.members.ObserveUpdates(req.Updates)
	if p.options.Blames != nil {
		p.options.Blames.Merge(req.Blames)
	}
	if !p.options.PollOnly {
		p.apply(req.Change)
		p.store.ObserveInForce(req.InForce)
		p.askIfBehind(req)
	}
	if req.CollectShares > 0 {
		p.collectShare(ctx, req)
	}
	reply := p.reply(req)
	p.metrics.countSent(reply)
	return reply, nil
}

// askIfBehind queues a request for the sender's text. The sender's claim alone proves nothing.
func (p *Peer) askIfBehind(req *wire.ExchangeRequest) {
	if req.Sender.Epoch <= p.store.Epoch() || cloud.VMRole(req.Sender.Role) != cloud.RoleEntry {
		return
	}
	if err := p.asks.Push(req.Sender.Addr); err != nil {
		p.options.Log.WithError(err).Debug("request for a newer text dropped")
	}
}

func (p *Peer) reply(req *wire.ExchangeRequest) *wire.ExchangeReply {
	reply := &wire.ExchangeReply{Sender: p.self()}
	switch {
	case cloud.VMRole(req.Sender.Role) == cloud.RoleAgent:
		reply.KnownEntries = p.someEntries()
		reply.Records = append(p.members.LeavingRecord(req.Sender.Name), p.members.EndpointRecords(req.Watch[:min(len(req.Watch), maxWatch)])...)
	case len(req.Lacking) > 0:
		reply.Records = p.members.RecordsByKey(req.Lacking)
	case req.CollectEpoch != 0:
		reply.HolderBits, reply.Holders = p.holders(req)
	default:
		reply.Records = append(p.members.Records(maxRecordBytes, req.Sender.Name), p.members.RecordsByNameHash(req.Unheard, maxUnheard)...)
		reply.Ages, reply.List = p.members.Ages()
		reply.Updates = p.members.Updates(maxUpdates)
	}
	if p.options.Blames != nil {
		reply.Blames = p.options.Blames.Outgoing(maxBlames)
	}
	if p.options.PollOnly {
		return reply
	}
	reply.Epoch, reply.Evidence = p.store.Evidence()
	reply.InForce = p.store.InForce()
	reply.Change = p.store.ChangeFrom(req.Epoch)
	return reply
}

func (p *Peer) someEntries() []string {
	var addrs []string
	for _, n := range p.members.CachedEntries(p.options.Interval) {
		if n.Live {
			addrs = append(addrs, n.Addr)
		}
	}
	shuffle(addrs)
	return addrs[:min(len(addrs), maxKnown)]
}

// askLoop fetches newer texts from entries that announced one.
func (p *Peer) askLoop(ctx context.Context) {
	for {
		addr, err := p.asks.Pop(ctx)
		if err != nil {
			return
		}
		_, _ = p.exchange(ctx, addr, &wire.ExchangeRequest{}) // a failure is counted, and the next exchange makes up for it
	}
}
