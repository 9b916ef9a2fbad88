package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/epoch"
	"github.com/bilberrylink/bilberrylink/internal/timing"
	"github.com/bilberrylink/bilberrylink/membership"
	"github.com/bilberrylink/bilberrylink/ringbuffer"
	"github.com/bilberrylink/bilberrylink/wire"
)

// Peer exchanges state between this node and the entries. It implements wire.Peer.
type Peer struct {
	options    Options
	store      *epoch.Store
	members    *membership.Table
	metrics    *metrics
	fetchQueue *ringbuffer.Buffer[string] // addresses of entries to ask for a newer text

	mu            sync.Mutex
	sequence      uint64
	learnedAddrs  map[string]bool // addresses of entries received in replies
	needsFullText bool            // request the full text because the last patch could not be applied
}

var _ wire.Peer = (*Peer)(nil)

// New returns a peer, which does nothing until Run is called.
func New(o Options) (*Peer, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	m, err := newMetrics(o.Registerer, o.Store)
	if err != nil {
		return nil, err
	}
	p := &Peer{options: o, store: o.Store, members: membership.NewTable(membership.Options{Name: o.Name}), metrics: m,
		fetchQueue: ringbuffer.New[string](fetchQueueCapacity), learnedAddrs: make(map[string]bool)}
	p.updateSelfRecord()
	return p, nil
}

// EpochStore returns the node's epoch store.
func (p *Peer) EpochStore() *epoch.Store { return p.store }

// Members returns the node's membership table.
func (p *Peer) Members() *membership.Table { return p.members }

// Run runs all loops until ctx ends and returns the context's error.
func (p *Peer) Run(ctx context.Context) error {
	loops := []func(context.Context){p.exchangeLoop, p.fetchLoop, p.vmListLoop}
	if p.options.Role == cloud.RoleEntry {
		loops = append(loops, p.pushLoop, p.pushMembershipLoop)
	}
	if p.options.Role == cloud.RoleEntry || p.options.PollOnly {
		loops = append(loops, p.pollLoop)
	}
	var wg sync.WaitGroup
	for _, loop := range loops {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
	return ctx.Err()
}

// updateSelfRecord returns this node's record with the next sequence number and records it in the membership table.
func (p *Peer) updateSelfRecord() *wire.NodeRecord {
	o := &p.options
	r := &wire.NodeRecord{Name: o.Name, Addr: o.Addr, FailureDomain: o.FailureDomain, Role: string(o.Role),
		Endpoint: o.Endpoint, EndpointKind: o.EndpointKind, Incarnation: o.Incarnation, Epoch: p.store.Epoch()}
	if o.FillRecord != nil {
		o.FillRecord(r)
	}
	r.Leaving = r.Leaving || p.members.SelfLeaving()
	p.mu.Lock()
	p.sequence++
	r.Sequence = p.sequence
	p.mu.Unlock()
	p.members.Observe(r, true)
	return r
}

func (p *Peer) exchangeLoop(ctx context.Context) {
	p.announce(ctx)
	for {
		p.exchangeOnce(ctx)
		if timing.Sleep(ctx, timing.Jitter(p.options.Interval, 0.2)) != nil {
			return
		}
	}
}

// announce exchanges with up to pushFanout entries as soon as any is known, at most one interval after the start. A node that
// waits for its regular exchanges has reported to two or three entries after three seconds, and an entry that it did not
// report to may not know it by then.
func (p *Peer) announce(ctx context.Context) {
	for range p.options.Interval / announceRetryDelay {
		if targets := p.exchangeTargets(0); len(targets) > 0 {
			p.runParallel(min(len(targets), pushFanout), pushFanout, func(i int) {
				_, _ = p.exchange(ctx, targets[i], &wire.ExchangeRequest{}) // failures are counted; the regular exchanges follow
			})
			return
		}
		if timing.Sleep(ctx, announceRetryDelay) != nil {
			return
		}
	}
}

// exchangeOnce exchanges with a random entry. If that fails it tries others, up to maxExchangeAttempts in total.
func (p *Peer) exchangeOnce(ctx context.Context) {
	targets := p.exchangeTargets(p.options.Interval)
	for _, addr := range targets[:min(len(targets), maxExchangeAttempts)] {
		if ctx.Err() != nil {
			return
		}
		if _, err := p.exchange(ctx, addr, &wire.ExchangeRequest{}); err == nil {
			return
		}
	}
}

// exchangeTargets returns the addresses of the other entries in random order, live ones first. While the evidence is about
// to expire, live entries in other failure domains come before the rest. Occasionally the list starts with an entry that
// appears dead (see probeDeadEntryOneIn). The membership view that it uses is at most maxViewAge old.
func (p *Peer) exchangeTargets(maxViewAge time.Duration) []string {
	var live, otherDomains, fallback []string
	expiring := p.store.EvidenceExpiring()
	seen := map[string]bool{p.options.Addr: true}
	for _, n := range p.members.CachedEntries(maxViewAge) {
		if n.Addr == "" || seen[n.Addr] {
			continue
		}
		seen[n.Addr] = true
		switch {
		case n.Live && expiring && n.FailureDomain != p.options.FailureDomain:
			otherDomains = append(otherDomains, n.Addr)
		case n.Live:
			live = append(live, n.Addr)
		default:
			fallback = append(fallback, n.Addr)
		}
	}
	for _, addr := range p.knownAddrs() {
		if !seen[addr] {
			seen[addr] = true
			fallback = append(fallback, addr)
		}
	}
	shuffle(otherDomains)
	shuffle(live)
	shuffle(fallback)
	live = append(otherDomains, live...)
	if len(live) > 0 && len(fallback) > 0 && rand.IntN(probeDeadEntryOneIn) == 0 {
		return append(fallback[:1:1], live...)
	}
	return append(live, fallback...)
}

// knownAddrs returns the seeds and the addresses received in replies.
func (p *Peer) knownAddrs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	addrs := slices.Clone(p.options.Seeds)
	for addr := range p.learnedAddrs {
		addrs = append(addrs, addr)
	}
	slices.Sort(addrs)
	return addrs
}

// exchange adds this node's state to the request, sends it and merges the reply.
func (p *Peer) exchange(ctx context.Context, addr string, req *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	p.fillRequest(req)
	p.metrics.countSent(req)
	ctx, cancel := context.WithTimeout(ctx, p.options.Interval)
	defer cancel()
	start := time.Now()
	reply, err := p.options.Client(addr).Exchange(ctx, req)
	p.metrics.exchanges.WithLabelValues(resultLabel(err)).Inc()
	if err != nil {
		p.options.Log.WithError(err).WithField("addr", addr).Debug("exchange failed")
		return nil, err
	}
	p.metrics.countReceived(reply)
	p.mergeReply(ctx, addr, start, reply)
	return reply, nil
}

// fillRequest adds this node's state to a request, as far as the receiver and the kind of the request need it.
func (p *Peer) fillRequest(req *wire.ExchangeRequest) {
	req.Sender = p.updateSelfRecord()
	if p.options.PollOnly {
		return
	}
	req.Epoch, req.InForce = p.store.Epoch(), p.store.InForceEpoch()
	p.mu.Lock()
	if p.needsFullText {
		req.Epoch = 0
	}
	p.mu.Unlock()
	if p.options.Role == cloud.RoleEntry && req.Records == nil && req.CollectEpoch == 0 {
		req.Records = p.members.Records(maxRecordBytes, "")
		req.Updates = p.members.Updates(maxUpdates)
		req.Unheard = p.members.MissingNameHashes(maxMissingNames)
	}
	if p.options.WatchedEndpoints != nil {
		req.Watch = p.options.WatchedEndpoints()
	}
	if p.options.Blames != nil {
		req.Blames = p.options.Blames.RecentRecords(maxBlames)
	}
}

// mergeReply merges the state in the reply to a request that was sent at start.
func (p *Peer) mergeReply(ctx context.Context, addr string, start time.Time, reply *wire.ExchangeReply) {
	p.members.Observe(reply.Sender, true)
	for _, r := range reply.Records {
		p.members.Observe(r, false)
	}
	p.members.ObserveUpdates(reply.Updates)
	p.members.ObserveAges(reply.Ages, reply.List)
	p.fetchRecords(ctx, addr)
	p.addLearnedAddrs(reply.KnownEntries)
	if p.options.Blames != nil {
		p.options.Blames.MergeRecords(reply.Blames)
	}
	if p.options.PollOnly {
		return
	}
	p.applyChange(reply.Change)
	p.store.ObserveInForce(reply.InForce)
	p.store.MergeEvidence(start, reply.Epoch, reply.Evidence)
	if p.options.Role == cloud.RoleAgent && reply.Epoch < p.store.Epoch() {
		p.pushNewerText(ctx, addr, reply.Epoch)
	}
}

// pushNewerText pushes a newer text from an agent to an entry that is behind. The entry cannot fetch it, because agents do
// not serve exchanges.
func (p *Peer) pushNewerText(ctx context.Context, addr string, from int64) {
	req := &wire.ExchangeRequest{Sender: p.updateSelfRecord(), Epoch: p.store.Epoch(), Change: p.store.ChangeFrom(from)}
	p.metrics.countSent(req)
	reply, err := p.options.Client(addr).Exchange(ctx, req)
	p.metrics.exchanges.WithLabelValues(resultLabel(err)).Inc()
	if err == nil {
		p.metrics.countReceived(reply)
	}
}

// fetchRecords asks a node for the records that are missing here although the node sent updates of them.
func (p *Peer) fetchRecords(ctx context.Context, addr string) {
	missingKeys := p.members.TakeMissingKeys()
	if len(missingKeys) == 0 {
		return
	}
	req := &wire.ExchangeRequest{Sender: p.updateSelfRecord(), Epoch: p.store.Epoch(), Lacking: missingKeys}
	p.metrics.countSent(req)
	reply, err := p.options.Client(addr).Exchange(ctx, req)
	p.metrics.exchanges.WithLabelValues(resultLabel(err)).Inc()
	if err != nil {
		return
	}
	p.metrics.countReceived(reply)
	for _, r := range reply.Records {
		p.members.Observe(r, false)
	}
}

// applyChange adopts a change. If a patch cannot be applied, the next request asks for the full text.
func (p *Peer) applyChange(change *wire.Change) {
	if change == nil {
		return
	}
	_, err := p.store.ApplyChange(change)
	p.mu.Lock()
	p.needsFullText = err != nil && change.BaseEpoch != 0
	p.mu.Unlock()
	if err != nil {
		p.options.Log.WithError(err).WithField("epoch", change.Epoch).Warn("failed to apply a configuration change")
	}
}

// maxLearnedAddrs is the maximum number of entry addresses kept from replies.
const maxLearnedAddrs = 64

func (p *Peer) addLearnedAddrs(addrs []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, addr := range addrs {
		if len(p.learnedAddrs) >= maxLearnedAddrs {
			for old := range p.learnedAddrs {
				delete(p.learnedAddrs, old)
				break
			}
		}
		p.learnedAddrs[addr] = true
	}
}

func shuffle[T any](items []T) {
	rand.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
}
