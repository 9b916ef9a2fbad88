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
		return nil, errors.New("exchange request has no sender")
	}
	p.metrics.countReceived(req)
	p.members.Observe(req.Sender, true)
	for _, r := range req.Records {
		p.members.Observe(r, false)
	}
	p.members.ObserveUpdates(req.Updates)
	if p.options.Blames != nil {
		p.options.Blames.MergeRecords(req.Blames)
	}
	if !p.options.PollOnly {
		p.applyChange(req.Change)
		p.store.ObserveInForce(req.InForce)
		p.enqueueFetchIfBehind(req)
	}
	if req.CollectShares > 0 {
		p.collectShare(ctx, req)
	}
	reply := p.buildReply(req)
	p.metrics.countSent(reply)
	return reply, nil
}

// enqueueFetchIfBehind queues an exchange with the sender if it claims a newer epoch. The claim alone proves nothing; the
// text comes with the reply.
func (p *Peer) enqueueFetchIfBehind(req *wire.ExchangeRequest) {
	if req.Sender.Epoch <= p.store.Epoch() || cloud.VMRole(req.Sender.Role) != cloud.RoleEntry {
		return
	}
	if err := p.fetchQueue.Push(req.Sender.Addr); err != nil {
		p.options.Log.WithError(err).Debug("dropped a request for a newer text")
	}
}

// buildReply returns the reply to a request, with the records that the kind of the sender and of the request call for.
func (p *Peer) buildReply(req *wire.ExchangeRequest) *wire.ExchangeReply {
	reply := &wire.ExchangeReply{Sender: p.updateSelfRecord()}
	switch {
	case cloud.VMRole(req.Sender.Role) == cloud.RoleAgent:
		reply.KnownEntries = p.liveEntryAddrs()
		reply.Records = append(p.members.LeavingRecord(req.Sender.Name),
			p.members.EndpointRecords(req.Watch[:min(len(req.Watch), maxWatchedEndpoints)])...)
	case len(req.Lacking) > 0:
		reply.Records = p.members.RecordsByKey(req.Lacking)
	case req.CollectEpoch != 0:
		reply.HolderBits, reply.Holders = p.epochHolders(req)
	case req.Change != nil:
		// A push needs only the epoch that this node holds now. With the membership, replies to the pushes of one change were a
		// large part of the bytes of the busiest node.
	default:
		reply.Records = append(p.members.Records(maxRecordBytes, req.Sender.Name),
			p.members.RecordsByNameHash(req.Unheard, maxMissingNames)...)
		reply.Ages, reply.List = p.members.Ages()
		reply.Updates = p.members.Updates(maxUpdates)
	}
	if p.options.Blames != nil {
		reply.Blames = p.options.Blames.RecentRecords(maxBlames)
	}
	if p.options.PollOnly {
		return reply
	}
	reply.Epoch, reply.Evidence = p.store.Evidence()
	reply.InForce = p.store.InForceEpoch()
	reply.Change = p.store.ChangeFrom(req.Epoch)
	return reply
}

// liveEntryAddrs returns up to maxKnownEntries addresses of random live entries.
func (p *Peer) liveEntryAddrs() []string {
	var addrs []string
	for _, n := range p.members.CachedEntries(p.options.Interval) {
		if n.Live {
			addrs = append(addrs, n.Addr)
		}
	}
	shuffle(addrs)
	return addrs[:min(len(addrs), maxKnownEntries)]
}

// fetchLoop fetches newer texts from the entries queued by enqueueFetchIfBehind.
func (p *Peer) fetchLoop(ctx context.Context) {
	for {
		addr, err := p.fetchQueue.Pop(ctx)
		if err != nil {
			return
		}
		_, _ = p.exchange(ctx, addr, &wire.ExchangeRequest{}) // failures are counted, and the next exchange compensates for them
	}
}
