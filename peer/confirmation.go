package peer

import (
	"context"
	"slices"
	"time"

	"github.com/bilberrylink/bilberrylink/internal/timing"
	"github.com/bilberrylink/bilberrylink/membership"
)

// AwaitConfirmation sends the current text to other entries until one of them holds the epoch, starting with entries in
// other failure domains. A node without any other node needs no confirmation. AwaitConfirmation returns the context's
// error if ctx ends first.
func (p *Peer) AwaitConfirmation(ctx context.Context, epoch int64) error {
	for {
		if p.isConfirmed(epoch) {
			return nil
		}
		for _, n := range p.otherEntries() {
			if reply, err := p.pushTo(ctx, n); err == nil && reply.Epoch >= epoch {
				return nil
			}
			if p.isConfirmed(epoch) {
				return nil
			}
		}
		if err := timing.Sleep(ctx, confirmRetryDelay); err != nil {
			return err
		}
	}
}

// isConfirmed reports whether another node holds the epoch, or whether there is no other node and no other seed.
func (p *Peer) isConfirmed(epoch int64) bool {
	others := 0
	for _, candidate := range p.members.ServingCandidates(0) {
		if candidate.Name == p.options.Name {
			continue
		}
		others++
		if candidate.Epoch >= epoch {
			return true
		}
	}
	return others == 0 && !slices.ContainsFunc(p.options.Seeds, func(addr string) bool { return addr != p.options.Addr })
}

// otherEntries returns the other entries in random order, those in other failure domains first.
func (p *Peer) otherEntries() []membership.Node {
	var otherDomains, sameDomain []membership.Node
	for _, n := range p.members.Entries() {
		switch {
		case n.Name == p.options.Name || n.Addr == "":
		case n.FailureDomain != p.options.FailureDomain:
			otherDomains = append(otherDomains, n)
		default:
			sameDomain = append(sameDomain, n)
		}
	}
	shuffle(otherDomains)
	shuffle(sameDomain)
	return append(otherDomains, sameDomain...)
}

// ServingCandidates returns the nodes that may still be serving under the given freshness bound.
func (p *Peer) ServingCandidates(bound time.Duration) []membership.ServingCandidate {
	return p.members.ServingCandidates(bound)
}
