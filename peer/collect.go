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
	// maxDirectCollect is the number of entries that one node asks itself. Above it the entries are divided into shares,
	// each collected by one of them: asking 360 entries from one node took 81 KB/s of it for 10 s.
	maxDirectCollect = 24
	// shareTimeout bounds the collection of one share. It is below the interval of exchanges, so that a share with a
	// silent entry is still answered in time.
	shareTimeout    = 400 * time.Millisecond
	collectParallel = 16
)

// CollectConfirmations asks the other entries which nodes told them that they hold an epoch; gossip alone would take about 18 s at
// 1,130 nodes. In a large fleet it asks one randomly chosen entry per share, and that entry asks the others of its share.
func (p *Peer) CollectConfirmations(ctx context.Context, held int64) {
	requests := p.collectRequests(held)
	p.collect(ctx, requests, p.members.ObserveEpoch)
}

type collectRequest struct {
	addr    string
	message *wire.ExchangeRequest
}

// collectRequests returns one request per entry, or in a large fleet one per share to any live entry.
func (p *Peer) collectRequests(held int64) []collectRequest {
	entries := p.confirmers()
	if len(entries) <= maxDirectCollect {
		return collectFrom(entries, held)
	}
	var requests []collectRequest
	shares := uint32(math.Ceil(math.Sqrt(float64(len(entries)))))
	shuffle(entries)
	for _, n := range entries {
		if share := uint32(len(requests)); n.Live && share < shares {
			message := &wire.ExchangeRequest{CollectEpoch: held, CollectShare: share, CollectShares: shares}
			requests = append(requests, collectRequest{n.Addr, message})
		}
	}
	return requests
}

func collectFrom(entries []membership.Node, held int64) []collectRequest {
	var requests []collectRequest
	for _, n := range entries {
		requests = append(requests, collectRequest{n.Addr, &wire.ExchangeRequest{CollectEpoch: held}})
	}
	return requests
}

// collectShare asks the entries of a share and keeps their answers as if the nodes had told this node itself. A node's
// epoch never falls, so it does not matter which entry was told.
func (p *Peer) collectShare(ctx context.Context, req *wire.ExchangeRequest) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	var share []membership.Node
	for _, n := range p.confirmers() {
		if n.Name != req.Sender.Name && uint32(xxhash.Sum64String(n.Name)%uint64(req.CollectShares)) == req.CollectShare {
			share = append(share, n)
		}
	}
	p.collect(ctx, collectFrom(share, req.CollectEpoch), p.members.ObserveReportedEpoch)
}

// collect sends the requests and passes each node that holds the epoch to record.
func (p *Peer) collect(ctx context.Context, requests []collectRequest, record func(name string, epoch int64)) {
	listed, digest := p.members.ListedNames()
	names := make(map[uint64]string)
	for _, h := range p.members.ServingCandidates(0) {
		names[xxhash.Sum64String(h.Name)] = h.Name
	}
	p.parallel(len(requests), collectParallel, func(i int) {
		message := requests[i].message
		message.List = digest
		reply, err := p.exchange(ctx, requests[i].addr, message)
		if err != nil {
			return
		}
		for _, sum := range reply.Holders {
			if name, ok := names[sum]; ok {
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

// holders returns which nodes told this node that they hold the epoch of a request: as one bit per listed name if the
// requester has the same list, and the others as hashes of their names.
func (p *Peer) holders(req *wire.ExchangeRequest) (bits []byte, sums []uint64) {
	listed, digest := p.members.ListedNames()
	told := make(map[string]bool)
	for _, name := range p.members.NodesReportingEpoch(req.CollectEpoch) {
		told[name] = true
	}
	if len(listed) > 0 && digest == req.List {
		bits = make([]byte, (len(listed)+7)/8)
		for i, name := range listed {
			if told[name] {
				bits[i/8] |= 1 << (i % 8)
				delete(told, name)
			}
		}
	}
	for name := range told {
		sums = append(sums, xxhash.Sum64String(name))
	}
	return bits, sums
}
