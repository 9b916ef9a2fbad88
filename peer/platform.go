package peer

import (
	"context"
	"slices"
	"time"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/epoch"
	"github.com/bilberrylink/bilberrylink/internal/timing"
)

func (p *Peer) pollLoop(ctx context.Context) {
	poller := epoch.Poller{Store: p.store, Services: p.options.Services, CountEntries: p.countPollers}
	poller.OnPoll = func(err error) {
		p.metrics.polls.WithLabelValues(resultLabel(err)).Inc()
		if err != nil {
			p.options.Log.WithError(err).Debug("failed to poll the current epoch")
		}
	}
	_ = poller.Run(ctx) // returns only when ctx ends
}

// countPollers returns the number of nodes that poll the table and share its read rate.
func (p *Peer) countPollers() int {
	if p.options.PollOnly {
		return len(p.members.ServingCandidates(0))
	}
	return len(p.members.Entries())
}

func (p *Peer) vmListLoop(ctx context.Context) {
	if p.options.Services.VMs == nil {
		return
	}
	for {
		p.readVMList(ctx)
		size := len(p.members.ServingCandidates(0))
		interval := max(minListInterval, time.Duration(size)*time.Second/listedVMsPerSecond)
		if timing.Sleep(ctx, timing.Jitter(interval, 0.2)) != nil {
			return
		}
	}
}

func (p *Peer) readVMList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, minListInterval)
	defer cancel()
	vms, err := p.options.Services.VMs.List(ctx)
	if err != nil {
		p.options.Log.WithError(err).Debug("failed to read the VM list")
		return
	}
	p.members.SetVMList(slices.DeleteFunc(vms, func(vm cloud.VM) bool {
		err := vm.Validate()
		if err != nil {
			p.options.Log.WithError(err).Warn("ignoring an invalid entry of the VM list")
		}
		return err != nil
	}))
}
