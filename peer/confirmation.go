package peer

import (
	"context"
	"slices"
	"time"

	"github.com/bilberrylink/bilberrylink/internal/timing"
	"github.com/bilberrylink/bilberrylink/membership"
)

// AwaitConfirmation sends the current text to other nodes until one of them holds the epoch; entries of other failure domains
// come first. A fleet of one node needs no confirmation. Errors: the context's error.
func (p *Peer) AwaitConfirmation(ctx context.Context, held int64) error {
	for {
		if p.confirmed(held) {
			return nil
		}
		for _, n := range p.confirmers() {
			if reply, err := p.pushTo(ctx, n); err == nil && reply.Epoch >= held {
				return nil
			}
			if p.confirmed(held) {
				return nil
			}
		}
		if err := timing.Sleep(ctx, confirmPause); err != nil {
			return err
		}
	}
}

func (p *Peer) confirmed(held int64) bool {
	others := 0
	for _, h := range p.members.ServingCandidates(0) {
		if h.Name == p.options.Name {
			continue
		}
		others++
		if h.Epoch >= held {
			return true
		}
	}
	return others == 0 && !slices.ContainsFunc(p.options.Seeds, func(addr string) bool { return addr != p.options.Addr })
}

func (p *Peer) confirmers() []membership.Node {
	var far, near []membership.Node
	for _, n := range p.members.Entries() {
		switch {
		case n.Name == p.options.Name || n.Addr == "":
		case n.FailureDomain != p.options.FailureDomain:
			far = append(far, n)
		default:
			near = append(near, n)
		}
	}
	shuffle(far)
	shuffle(near)
	return append(far, near...)
}

// PossiblyServingNodes returns the nodes that may be serving.
func (p *Peer) PossiblyServingNodes(bound time.Duration) []membership.ServingCandidate {
	return p.members.ServingCandidates(bound)
}
