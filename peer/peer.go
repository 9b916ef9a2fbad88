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

// Peer is one node's part in the exchange. It implements wire.Peer.
type Peer struct {
	options Options
	store   *epoch.Store
	members *membership.Table
	metrics *metrics
	asks    *ringbuffer.Buffer[string] // addresses of entries that hold a newer text

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
	p := &Peer{options: o, store: o.Store, members: membership.NewTable(membership.Options{Name: o.Name}), metrics: m,
		asks: ringbuffer.New[string](maxAsks), known: make(map[string]bool)}
	p.self()
	return p, nil
}

// EpochStore returns the node's epoch store.
func (p *Peer) EpochStore() *epoch.Store { return p.store }

// Members returns the node's membership view.
func (p *Peer) Members() *membership.Table { return p.members }

// Run exchanges until ctx ends and returns the context's error.
func (p *Peer) Run(ctx context.Context) error {
	loops := []func(context.Context){p.exchangeLoop, p.askLoop, p.listLoop}
	if p.options.Role == cloud.RoleEntry {
		loops = append(loops, p.pushLoop, p.urgentLoop)
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

// self returns this node's record with the next sequence number and merges it into the own view.
func (p *Peer) self() *wire.NodeRecord {
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
	expiring := p.store.EvidenceExpiring()
	seen := map[string]bool{p.options.Addr: true}
	for _, n := range p.members.CachedEntries(p.options.Interval) {
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
	if p.options.Role == cloud.RoleEntry && req.Records == nil && req.CollectEpoch == 0 {
		req.Records = p.members.Records(maxRecordBytes, "")
		req.Updates = p.members.Updates(maxUpdates)
		req.Unheard = p.members.MissingNameHashes(maxUnheard)
	}
	if p.options.WatchedEndpoints != nil {
		req.Watch = p.options.WatchedEndpoints()
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
	p.store.MergeEvidence(start, reply.Epoch, reply.Evidence)
	if p.options.Role == cloud.RoleAgent && reply.Epoch < p.store.Epoch() {
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
	lacking := p.members.TakeMissingKeys()
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
	_, err := p.store.ApplyChange(change)
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

func shuffle[T any](items []T) {
	rand.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
}
