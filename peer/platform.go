package peer

import (
	"context"
	"time"

	"github.com/bilberrylink/bilberrylink/epoch"
	"github.com/bilberrylink/bilberrylink/internal/timing"
)

func (p *Peer) pollLoop(ctx context.Context) {
	poller := epoch.Poller{Store: p.store, Services: p.options.Services, CountEntries: p.pollers}
	poller.OnPoll = func(err error) {
		p.metrics.polls.WithLabelValues(result(err)).Inc()
		if err != nil {
			p.options.Log.WithError(err).Debug("poll failed")
		}
	}
	_ = poller.Run(ctx) // ends with the context only
}

// pollers returns the number of nodes that share the table's read rate.
func (p *Peer) pollers() int {
	if p.options.PollOnly {
		return len(p.members.ServingCandidates(0))
	}
	return len(p.members.Entries())
}

func (p *Peer) listLoop(ctx context.Context) {
	if p.options.Services.VMs == nil {
		return
	}
	for {
		p.readList(ctx)
		size := len(p.members.ServingCandidates(0))
		interval := max(minListInterval, time.Duration(size)*time.Second/listNodesPerSec)
		if timing.Sleep(ctx, timing.Jitter(interval, 0.2)) != nil {
			return
		}
	}
}

func (p *Peer) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, minListInterval)
	defer cancel()
	vms, err := p.options.Services.VMs.List(ctx)
	if err != nil {
		p.options.Log.WithError(err).Debug("VM list unavailable")
		return
	}
	p.members.SetVMList(vms)
}
