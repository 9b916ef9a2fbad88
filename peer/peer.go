package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/epoch"
	"github.com/bilberrylink/bilberrylink/internal/timing"
	"github.com/bilberrylink/bilberrylink/member"
	"github.com/bilberrylink/bilberrylink/platform"
	"github.com/bilberrylink/bilberrylink/ring"
	"github.com/bilberrylink/bilberrylink/wire"
)

// Peer is one node's part in the exchange. It implements wire.Peer.
type Peer struct {
	options Options
	store   *epoch.Store
	members *member.Table
	metrics *metrics
	asks    *ring.Ring[string] // addresses of entries that hold a newer text

	mu       sync.Mutex
	sequence uint64
	known    map[string]bool // addresses of entries learned from replies
	whole    bool            // the last increment could not be applied: ask for the whole text
}

var _ wire.Peer = (*Peer)(nil)

// New returns a peer that does nothing until Run.
func New(o Options) (*Peer, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	m, err := newMetrics(o.Registerer, o.Store)
	if err != nil {
		return nil, err
	}
	p := &Peer{options: o, store: o.Store, members: member.NewTable(member.Options{Name: o.Name}), metrics: m,
		asks: ring.New[string](maxAsks), known: make(map[string]bool)}
	p.self()
	return p, nil
}

// Epochs returns the node's epoch store.
func (p *Peer) Epochs() *epoch.Store { return p.store }

// Members returns the node's membership view.
func (p *Peer) Members() *member.Table { return p.members }

// Run exchanges until ctx ends and returns the context's error.
func (p *Peer) Run(ctx context.Context) error {
	loops := []func(context.Context){p.exchangeLoop, p.askLoop, p.listLoop}
	if p.options.Role == platform.RoleEntry {
		loops = append(loops, p.pushLoop, p.urgentLoop)
	}
	if p.options.Role == platform.RoleEntry || p.options.PollOnly {
		loops = append(loops, p.pollLoop)
	}
	var wg sync.WaitGroup
	for _, loop := range loops {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
	return ctx.Err()
}

// self returns this node's record with the next sequence number and merges it into the own view.
func (p *Peer) self() *wire.NodeRecord {
	o := &p.options
	r := &wire.NodeRecord{Name: o.Name, Addr: o.Addr, FailureDomain: o.FailureDomain, Role: string(o.Role),
		Endpoint: o.Endpoint, EndpointKind: o.EndpointKind, Incarnation: o.Incarnation, Epoch: p.store.Epoch()}
	if o.Self != nil {
		o.Self(r)
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
	for {
		p.exchangeOnce(ctx)
		if timing.Sleep(ctx, timing.Jitter(p.options.Interval, 0.2)) != nil {
			return
		}
	}
}

// exchangeOnce exchanges with one random entry, and with another one if that fails.
func (p *Peer) exchangeOnce(ctx context.Context) {
	targets := p.targets()
	for _, addr := range targets[:min(len(targets), exchangeTries)] {
		if ctx.Err() != nil {
			return
		}
		if _, err := p.exchange(ctx, addr, &wire.ExchangeRequest{}); err == nil {
			return
		}
	}
}

// targets returns the addresses of the other entries in random order, live ones first. Sometimes it starts with one
// that does not look live.
func (p *Peer) targets() []string {
	var live, far, other []string
	expiring := p.store.Expiring()
	seen := map[string]bool{p.options.Addr: true}
	for _, n := range p.members.EntriesWithin(p.options.Interval) {
		if n.Addr == "" || seen[n.Addr] {
			continue
		}
		seen[n.Addr] = true
		switch {
		case n.Live && expiring && n.FailureDomain != p.options.FailureDomain:
			far = append(far, n.Addr)
		case n.Live:
			live = append(live, n.Addr)
		default:
			other = append(other, n.Addr)
		}
	}
	for _, addr := range p.learned() {
		if !seen[addr] {
			seen[addr] = true
			other = append(other, addr)
		}
	}
	shuffle(far)
	shuffle(live)
	shuffle(other)
	live = append(far, live...)
	if len(live) > 0 && len(other) > 0 && rand.IntN(probeDeadOneInto) == 0 {
		return append(other[:1:1], live...)
	}
	return append(live, other...)
}

// learned returns the seeds and the addresses from replies.
func (p *Peer) learned() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	addrs := slices.Clone(p.options.Seeds)
	for addr := range p.known {
		addrs = append(addrs, addr)
	}
	slices.Sort(addrs)
	return addrs
}

// exchange sends one request, completed with this node's state, and merges the reply.
func (p *Peer) exchange(ctx context.Context, addr string, req *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	p.fill(req)
	p.metrics.countSent(req)
	ctx, cancel := context.WithTimeout(ctx, p.options.Interval)
	defer cancel()
	start := time.Now()
	reply, err := p.options.Client(addr).Exchange(ctx, req)
	p.metrics.exchanges.WithLabelValues(result(err)).Inc()
	if err != nil {
		p.options.Log.WithError(err).WithField("addr", addr).Debug("exchange failed")
		return nil, err
	}
	p.metrics.countReceived(reply)
	p.merge(ctx, addr, start, reply)
	return reply, nil
}

func (p *Peer) fill(req *wire.ExchangeRequest) {
	req.Sender = p.self()
	if p.options.PollOnly {
		return
	}
	req.Epoch, req.InForce = p.store.Epoch(), p.store.InForce()
	p.mu.Lock()
	if p.whole {
		req.Epoch = 0
	}
	p.mu.Unlock()
	if p.options.Role == platform.RoleEntry && req.Records == nil && req.CollectEpoch == 0 {
		req.Records = p.members.Records(maxRecordBytes, "")
		req.Updates = p.members.Updates(maxUpdates)
		req.Unheard = p.members.Unheard(maxUnheard)
	}
	if p.options.Watch != nil {
		req.Watch = p.options.Watch()
	}
	if p.options.Blames != nil {
		req.Blames = p.options.Blames.Outgoing(maxBlames)
	}
}

func (p *Peer) merge(ctx context.Context, addr string, start time.Time, reply *wire.ExchangeReply) {
	p.members.Observe(reply.Sender, true)
	for _, r := range reply.Records {
		p.members.Observe(r, false)
	}
	p.members.ObserveUpdates(reply.Updates)
	p.members.ObserveAges(reply.Ages, reply.List)
	p.fetchRecords(ctx, addr)
	p.learn(reply.KnownEntries)
	if p.options.Blames != nil {
		p.options.Blames.Merge(reply.Blames)
	}
	if p.options.PollOnly {
		return
	}
	p.apply(reply.Change)
	p.store.ObserveInForce(reply.InForce)
	p.store.Merge(start, reply.Epoch, reply.Evidence)
	if p.options.Role == platform.RoleAgent && reply.Epoch < p.store.Epoch() {
		p.send(ctx, addr, reply.Epoch)
	}
}

// send gives a newer text to an entry that is behind. Entries ask each other; an agent serves no exchange, so it sends.
func (p *Peer) send(ctx context.Context, addr string, from int64) {
	req := &wire.ExchangeRequest{Sender: p.self(), Epoch: p.store.Epoch(), Change: p.store.ChangeFrom(from)}
	p.metrics.countSent(req)
	reply, err := p.options.Client(addr).Exchange(ctx, req)
	p.metrics.exchanges.WithLabelValues(result(err)).Inc()
	if err == nil {
		p.metrics.countReceived(reply)
	}
}

// fetchRecords asks a node for the records whose updates it sent and that this node lacks.
func (p *Peer) fetchRecords(ctx context.Context, addr string) {
	lacking := p.members.Lacking()
	if len(lacking) == 0 {
		return
	}
	req := &wire.ExchangeRequest{Sender: p.self(), Epoch: p.store.Epoch(), Lacking: lacking}
	p.metrics.countSent(req)
	reply, err := p.options.Client(addr).Exchange(ctx, req)
	p.metrics.exchanges.WithLabelValues(result(err)).Inc()
	if err != nil {
		return
	}
	p.metrics.countReceived(reply)
	for _, r := range reply.Records {
		p.members.Observe(r, false)
	}
}

func (p *Peer) apply(change *wire.Change) {
	if change == nil {
		return
	}
	_, err := p.store.Apply(change)
	p.mu.Lock()
	p.whole = err != nil && change.BaseEpoch != 0
	p.mu.Unlock()
	if err != nil {
		p.options.Log.WithError(err).WithField("epoch", change.Epoch).Warn("change not applied")
	}
}

// maxLearned bounds the addresses remembered from replies.
const maxLearned = 64

func (p *Peer) learn(addrs []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, addr := range addrs {
		if len(p.known) >= maxLearned {
			for old := range p.known {
				delete(p.known, old)
				break
			}
		}
		p.known[addr] = true
	}
}

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
	if req.Sender.Epoch <= p.store.Epoch() || platform.VMRole(req.Sender.Role) != platform.RoleEntry {
		return
	}
	if err := p.asks.Push(req.Sender.Addr); err != nil {
		p.options.Log.WithError(err).Debug("request for a newer text dropped")
	}
}

func (p *Peer) reply(req *wire.ExchangeRequest) *wire.ExchangeReply {
	reply := &wire.ExchangeReply{Sender: p.self()}
	switch {
	case platform.VMRole(req.Sender.Role) == platform.RoleAgent:
		reply.KnownEntries = p.someEntries()
		reply.Records = append(p.members.LeavingRecord(req.Sender.Name), p.members.EndpointRecords(req.Watch[:min(len(req.Watch), maxWatch)])...)
	case len(req.Lacking) > 0:
		reply.Records = p.members.RecordsOf(req.Lacking)
	case req.CollectEpoch != 0:
		reply.HolderBits, reply.Holders = p.holders(req)
	default:
		reply.Records = append(p.members.Records(maxRecordBytes, req.Sender.Name), p.members.RecordsNamed(req.Unheard, maxUnheard)...)
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
	for _, n := range p.members.EntriesWithin(p.options.Interval) {
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

// pushLoop sends each new epoch to some entries that are not known to hold it.
func (p *Peer) pushLoop(ctx context.Context) {
	var pushed int64
	for {
		changed := p.store.Changed()
		if held := p.store.Epoch(); held > pushed && !p.options.PollOnly {
			pushed = held
			p.push(ctx, held)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (p *Peer) push(ctx context.Context, held int64) {
	nodes := p.behind(held)
	p.parallel(len(nodes), fanout, func(i int) {
		p.metrics.pushes.Inc()
		_, _ = p.pushTo(ctx, nodes[i]) // a failure is counted, and the periodic exchange makes up for it
	})
}

// behind returns some other entries that are not known to hold an epoch, in random order.
func (p *Peer) behind(held int64) []member.Node {
	var nodes []member.Node
	for _, n := range p.members.Entries() {
		if n.Name != p.options.Name && n.Epoch < held && n.Addr != "" {
			nodes = append(nodes, n)
		}
	}
	shuffle(nodes)
	return nodes[:min(len(nodes), fanout)]
}

// pushTo sends the current text to an entry, as an increment from the epoch that it is thought to hold, and again as a
// whole if the entry could not use that.
func (p *Peer) pushTo(ctx context.Context, n member.Node) (*wire.ExchangeReply, error) {
	held := p.store.Epoch()
	reply, err := p.exchange(ctx, n.Addr, &wire.ExchangeRequest{Change: p.store.ChangeFrom(n.Epoch), Records: []*wire.NodeRecord{}})
	if err != nil || reply.Epoch >= held {
		return reply, err
	}
	return p.exchange(ctx, n.Addr, &wire.ExchangeRequest{Change: p.store.ChangeFrom(reply.Epoch), Records: []*wire.NodeRecord{}})
}

// urgentLoop passes on at once that nodes are leaving or have returned. In a rolling restart the next endpoint leaves as
// soon as the previous one is ready, so an entry that still holds the previous one for leaving would have none.
func (p *Peer) urgentLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.members.Urgent():
		}
		records := p.members.TakeUrgent(maxUrgent)
		if len(records) == 0 {
			continue
		}
		targets := p.targets()
		p.parallel(min(len(targets), fanout), fanout, func(i int) {
			p.metrics.pushes.Inc()
			_, _ = p.exchange(ctx, targets[i], &wire.ExchangeRequest{Records: records}) // gossip makes up for a failure
		})
	}
}

// parallel calls do for 0 to n-1 with at most limit calls at a time.
func (p *Peer) parallel(n, limit int, do func(i int)) {
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

func (p *Peer) pollLoop(ctx context.Context) {
	poller := epoch.Poller{Store: p.store, Services: p.options.Services, Entries: p.pollers}
	poller.Observe = func(err error) {
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
		return len(p.members.PossiblyServing(0))
	}
	return len(p.members.Entries())
}

func (p *Peer) listLoop(ctx context.Context) {
	if p.options.Services.VMs == nil {
		return
	}
	for {
		p.readList(ctx)
		size := len(p.members.PossiblyServing(0))
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
	p.members.UpdateList(vms)
}

// Confirm sends the current text to other nodes until one of them holds the epoch; entries of other failure domains
// come first. A fleet of one node needs no confirmation. Errors: the context's error.
func (p *Peer) Confirm(ctx context.Context, held int64) error {
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
	for _, h := range p.members.PossiblyServing(0) {
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

func (p *Peer) confirmers() []member.Node {
	var far, near []member.Node
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

// Nodes returns the nodes that may be serving.
func (p *Peer) Nodes(bound time.Duration) []member.Holder { return p.members.PossiblyServing(bound) }

func shuffle[T any](items []T) {
	rand.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
}
