package peer

import (
	"context"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bilberrylink/bilberrylink/membership"
	"github.com/bilberrylink/bilberrylink/wire"
)

const (
	// maxDirectCollectEntries is the largest number of entries that one node asks directly. Above it, the entries are
	// divided into shares, each collected by one entry, because one node that asked 360 entries used 81 KB/s for 10 s.
	maxDirectCollectEntries = 24
	// collectShareTimeout limits the collection of one share. It is shorter than the exchange interval, so that an unresponsive
	// entry in the share does not make the reply to the collecting node late.
	collectShareTimeout = 400 * time.Millisecond
	maxParallelCollects = 16 // requests at a time
)

// CollectConfirmations asks the other entries which nodes reported to them that they hold the epoch; gossip alone would
// take about 18 s at 1,130 nodes. In a large fleet it asks one random entry per share, and that entry asks the other
// entries of the share.
func (p *Peer) CollectConfirmations(ctx context.Context, epoch int64) {
	requests := p.collectRequests(epoch)
	p.sendCollectRequests(ctx, requests, p.members.ObserveEpoch)
}

type collectRequest struct {
	addr    string
	message *wire.ExchangeRequest
}

// collectRequests returns one request per entry or, in a large fleet, one request per share, each to a random live entry.
func (p *Peer) collectRequests(epoch int64) []collectRequest {
	entries := p.otherEntries()
	if len(entries) <= maxDirectCollectEntries {
		return newCollectRequests(entries, epoch)
	}
	var requests []collectRequest
	shares := uint32(math.Ceil(math.Sqrt(float64(len(entries)))))
	shuffle(entries)
	for _, n := range entries {
		if share := uint32(len(requests)); n.Live && share < shares {
			message := &wire.ExchangeRequest{CollectEpoch: epoch, CollectShare: share, CollectShares: shares}
			requests = append(requests, collectRequest{n.Addr, message})
		}
	}
	return requests
}

func newCollectRequests(entries []membership.Node, epoch int64) []collectRequest {
	var requests []collectRequest
	for _, n := range entries {
		requests = append(requests, collectRequest{n.Addr, &wire.ExchangeRequest{CollectEpoch: epoch}})
	}
	return requests
}

// collectShare asks the entries of a share and records their answers as if the nodes had reported to this node directly.
// That is safe because a node's epoch never decreases.
func (p *Peer) collectShare(ctx context.Context, req *wire.ExchangeRequest) {
	ctx, cancel := context.WithTimeout(ctx, collectShareTimeout)
	defer cancel()
	var share []membership.Node
	for _, n := range p.otherEntries() {
		if n.Name != req.Sender.Name && uint32(xxhash.Sum64String(n.Name)%uint64(req.CollectShares)) == req.CollectShare {
			share = append(share, n)
		}
	}
	p.sendCollectRequests(ctx, newCollectRequests(share, req.CollectEpoch), p.members.ObserveReportedEpoch)
}

// sendCollectRequests sends the requests and calls record for each node that holds the epoch according to a reply.
func (p *Peer) sendCollectRequests(ctx context.Context, requests []collectRequest, record func(name string, epoch int64)) {
	listed, digest := p.members.ListedNames()
	names := make(map[uint64]string)
	for _, candidate := range p.members.ServingCandidates(0) {
		names[xxhash.Sum64String(candidate.Name)] = candidate.Name
	}
	p.runParallel(len(requests), maxParallelCollects, func(i int) {
		message := requests[i].message
		message.List = digest
		reply, err := p.exchange(ctx, requests[i].addr, message)
		if err != nil {
			return
		}
		for _, hash := range reply.Holders {
			if name, ok := names[hash]; ok {
				record(name, message.CollectEpoch)
			}
		}
		for i, name := range listed {
			if i/8 < len(reply.HolderBits) && reply.HolderBits[i/8]&(1<<(i%8)) != 0 {
				record(name, message.CollectEpoch)
			}
		}
	})
}

// epochHolders returns the nodes that reported to this node that they hold the epoch of the request. If both sides have the
// same VM list, the nodes on it are encoded as a bit set; all others are returned as hashes of their names.
func (p *Peer) epochHolders(req *wire.ExchangeRequest) (bits []byte, hashes []uint64) {
	listed, digest := p.members.ListedNames()
	reported := make(map[string]bool)
	for _, name := range p.members.NodesReportingEpoch(req.CollectEpoch) {
		reported[name] = true
	}
	if len(listed) > 0 && digest == req.List {
		bits = make([]byte, (len(listed)+7)/8)
		for i, name := range listed {
			if reported[name] {
				bits[i/8] |= 1 << (i % 8)
				delete(reported, name)
			}
		}
	}
	for name := range reported {
		hashes = append(hashes, xxhash.Sum64String(name))
	}
	return bits, hashes
}
