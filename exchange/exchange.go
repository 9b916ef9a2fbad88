package exchange

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/bilberrylink/bilberrylink/internal/timing"
	"github.com/bilberrylink/bilberrylink/placement"
)

const (
	// keepAliveInterval is the interval at which a gateway sends its state when nothing changes.
	keepAliveInterval = 500 * time.Millisecond
	// coalesceDelay is the delay after a change, so that changes in quick succession are sent together. It is much shorter
	// than the prefill of a prompt.
	coalesceDelay = 3 * time.Millisecond
	// farDelayPerGateway and minFarDelay determine the longest delay until the other circles hear of a change that concerns mainly the own one:
	// prompts of other circles have parts at these endpoints, too. It grows with the number of gateways, so that what a gateway receives
	// does not, up to keepAliveInterval.
	farDelayPerGateway = 4 * time.Millisecond
	minFarDelay        = 40 * time.Millisecond
	// peerTimeout is the time without a message after which a peer is considered gone. It tolerates the loss of several
	// states in a row.
	peerTimeout = 2500 * time.Millisecond
	// fartherReports is the number of keep-alives of which one carries the reports on limits to the other circles, which leave limited
	// endpoints alone and only have to hear that a limit still holds.
	fartherReports = 20
	// repeatingGateways is the number of gateways of which one repeats the evacuated failure domains with each of its keep-alives. In a larger
	// fleet each does so less often: any gateway hears them some 50 times a second.
	repeatingGateways = 25
	// relayTimeout is the time without a message after which a peer is no longer chosen as a relay: two keep-alive intervals and a
	// margin.
	relayTimeout = 1200 * time.Millisecond
)

// Options configures an Exchange.
type Options struct {
	Name          string // name of this gateway
	Addr          string // host:port at which other gateways reach Conn
	FailureDomain string
	Conn          net.PacketConn
	Scheduler     *placement.Scheduler
	Quarantine    Quarantine
	Throttle      Throttle
	Evacuation    Evacuation
	Versions      func() Versions // what this gateway holds
	Log           *logrus.Logger
	Registerer    prometheus.Registerer
}

// Peer is another gateway, as described by its latest state.
type Peer struct {
	Name          string
	Addr          string
	FailureDomain string
	Versions      Versions
	LastHeard     time.Time
	target        net.Addr
	sequences     map[placement.Scope]uint64 // of the latest state, by scope
	parts         map[placement.Scope]int    // number of parts of the latest state, by scope
}

// Exchange sends this gateway's state to all peers and receives theirs. The gateways of its own circle receive every change; each
// other circle receives what concerns all gateways, and the rest with the keep-alive, through one of its gateways.
type Exchange struct {
	opts            Options
	metrics         *metrics
	versionsChanged chan struct{}
	keepAlives      int // sent so far

	mu       sync.Mutex
	targets  *targetList
	peers    map[string]*Peer // by name
	topology topology
	sequence uint64
	stopping bool
	kicked   chan struct{} // a signal to send the versions of this gateway at once
}

// New returns an Exchange, which does nothing until Run is called.
func New(opts Options) *Exchange {
	e := &Exchange{
		opts: opts, targets: newTargetList(opts.Addr), peers: make(map[string]*Peer), metrics: newMetrics(opts.Registerer),
		sequence: uint64(time.Now().UnixMilli()) << 16, versionsChanged: make(chan struct{}, 1), kicked: make(chan struct{}, 1),
	}
	e.topology = newTopology(Member{opts.Name, opts.FailureDomain}, nil)
	return e
}

// AddTarget adds the address of another gateway, in the form IP:PORT.
func (e *Exchange) AddTarget(addr string) error {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		return errors.Wrap(err, "peer address")
	}
	if parsed.Port() == 0 || parsed.Addr().IsUnspecified() || parsed.Addr().IsMulticast() {
		return errors.Errorf("peer address: %s is not that of a gateway", addr)
	}
	udpAddr := net.UDPAddrFromAddrPort(parsed)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.targets.add(udpAddr, time.Now())
	return nil
}

// LivePeers returns the peers that have sent a state recently.
func (e *Exchange) LivePeers() []Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	live := make([]Peer, 0, len(e.peers))
	for _, p := range e.peers {
		if time.Since(p.LastHeard) < peerTimeout {
			live = append(live, *p)
		}
	}
	return live
}

// Addresses returns the addresses of the peers that have sent a state recently.
func (e *Exchange) Addresses() []string {
	peers := e.LivePeers()
	addrs := make([]string, len(peers))
	for i := range peers {
		addrs[i] = peers[i].Addr
	}
	return addrs
}

// IsNear reports whether a gateway or an endpoint belongs to the circle of this gateway.
func (e *Exchange) IsNear(m Member) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.topology.isNear(m)
}

// IsCovered reports whether a live gateway, this one or another, belongs to the circle of an endpoint.
func (e *Exchange) IsCovered(m Member) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	circle := e.topology.circles.Of(m)
	return circle == e.topology.own || len(e.topology.far[circle]) > 0
}

// CircleSize returns the number of live gateways in the circle of this one, itself included.
func (e *Exchange) CircleSize() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.topology.near) + 1
}

// KnownGateways returns the number of gateways that may be in service, this one and those that have not been heard lately included.
func (e *Exchange) KnownGateways() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return 1 + max(len(e.targets.byAddr), len(e.peers))
}

// PeerVersionsChanged returns a channel that signals that the versions of a peer have changed since the last receive.
func (e *Exchange) PeerVersionsChanged() <-chan struct{} { return e.versionsChanged }

// AnnounceVersions makes the exchange send the versions of this gateway at once.
func (e *Exchange) AnnounceVersions() { timing.Signal(e.kicked) }

// AnnounceStop tells the peers that this gateway is shutting down.
func (e *Exchange) AnnounceStop() {
	e.mu.Lock()
	e.stopping = true
	e.mu.Unlock()
	e.sendState(placement.Near|placement.Fleetwide, everyone)
}

// Run sends and receives until ctx ends.
func (e *Exchange) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.receiveLoop()
	}()
	e.sendLoop(ctx)
	if err := e.opts.Conn.Close(); err != nil {
		e.opts.Log.WithError(err).Warn("failed to close the exchange socket")
	}
	<-done
}

func (e *Exchange) sendLoop(ctx context.Context) {
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	e.sendKeepAlive()
	var farDue <-chan time.Time // when the other circles are told of changes that only the own one has heard of; nil: there are none
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.opts.Scheduler.TakeChanged()
			e.sendKeepAlive()
			farDue = nil
			continue
		case <-farDue:
			e.sendState(placement.Near, relaysOnly)
			farDue = nil
			continue
		case <-e.kicked:
			e.sendState(placement.Fleetwide, circleAndRelays)
			continue
		case <-e.opts.Quarantine.Changed():
			if timing.Sleep(ctx, coalesceDelay) != nil {
				return
			}
			e.sendRecords(e.opts.Quarantine.TakeChanged())
			continue
		case <-e.opts.Throttle.Changed():
			if timing.Sleep(ctx, coalesceDelay) != nil {
				return
			}
			statements, sends := e.opts.Throttle.TakeChanged()
			e.sendReports(statements, circleAndRelays)
			e.sendReports(sends, ownCircle)
			continue
		case <-e.opts.Evacuation.Changed():
			e.sendEvacuations(e.opts.Evacuation.List())
			continue
		case <-e.opts.Scheduler.Changed():
		}
		if timing.Sleep(ctx, coalesceDelay) != nil {
			return
		}
		changed := e.opts.Scheduler.TakeChanged()
		if changed&placement.Near != 0 {
			e.sendState(placement.Near, ownCircle)
			if farDue == nil {
				if delay := e.farDelay(); delay < keepAliveInterval { // otherwise the next keep-alive is as early
					farDue = time.After(delay)
				}
			}
		}
		if changed&placement.Fleetwide != 0 {
			e.sendState(placement.Fleetwide, circleAndRelays)
		}
	}
}

// farDelay returns FarDelay for the fleet as it is known.
func (e *Exchange) farDelay() time.Duration { return FarDelay(e.liveGateways()) }

// liveGateways returns the number of gateways that have been heard lately, this one included.
func (e *Exchange) liveGateways() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	gateways := 1 + len(e.topology.near)
	for _, circle := range e.topology.far {
		gateways += len(circle)
	}
	return gateways
}

// FarDelay returns the longest delay until the other circles hear of a change that concerns mainly one circle, in a fleet with a number of
// gateways.
func FarDelay(gateways int) time.Duration {
	return min(max(time.Duration(gateways)*farDelayPerGateway, minFarDelay), keepAliveInterval)
}

// sendKeepAlive sends all jobs to the whole fleet, and greets the addresses from which nothing has been heard.
func (e *Exchange) sendKeepAlive() {
	e.mu.Lock()
	now := time.Now()
	e.refreshTopology(now)
	greeted := e.targets.due(now)
	e.mu.Unlock()
	e.sendState(placement.Near|placement.Fleetwide, circleAndRelays, greeted...)
	e.sendRecords(e.opts.Quarantine.Spread(recordsPerDatagram))
	reportsTo := ownCircle
	if e.keepAlives++; e.keepAlives%fartherReports == 0 {
		reportsTo = circleAndRelays
	}
	e.sendReports(e.opts.Throttle.Reports(), reportsTo)
	if e.keepAlives%(1+e.liveGateways()/repeatingGateways) == 0 {
		if list, ok := e.opts.Evacuation.ToRepeat(); ok {
			e.sendEvacuations(list)
		}
	}
}

// audience selects the gateways that a datagram is sent to.
type audience int

const (
	ownCircle       audience = iota // all other gateways of the circle
	relaysOnly                      // one gateway of each other circle, which passes the state on
	circleAndRelays                 // also one gateway of each other circle, which passes the state on
	everyone                        // all known gateways directly
)

// recipients are the addresses of an audience.
type recipients struct {
	direct []net.Addr
	relays []net.Addr // they pass the datagram on to their circles
}

func (e *Exchange) recipientsOf(to audience) (r recipients) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if to == everyone {
		return recipients{direct: e.targets.all()}
	}
	if to != relaysOnly {
		r.direct = slices.Clone(e.topology.near)
	}
	if to != ownCircle {
		r.relays = e.topology.randomRelays()
	}
	return r
}

// sendTo sends a datagram, which is encoded with flagRelay.
func (e *Exchange) sendTo(r recipients, datagram []byte) {
	e.send(datagram, r.relays, toRelay)
	e.send(withoutRelay(datagram), r.direct, toGateway)
}

// sendState sends the jobs of this gateway in the given scopes to an audience and to further addresses.
func (e *Exchange) sendState(scopes placement.Scope, to audience, further ...net.Addr) {
	jobs := e.opts.Scheduler.LocalJobsIn(scopes)
	versions := e.opts.Versions()
	e.mu.Lock()
	e.sequence++
	state := Message{
		Name: e.opts.Name, Addr: e.opts.Addr, FailureDomain: e.opts.FailureDomain, Sequence: e.sequence, Versions: versions,
		Stopping: e.stopping, Relay: true, Scopes: scopes,
	}
	e.mu.Unlock()
	r := e.recipientsOf(to)
	r.direct = append(r.direct, further...)
	now := time.Now()
	for _, part := range splitState(state, jobs) {
		e.sendTo(r, part.encode(now))
	}
}

// send sends a datagram to each of the addresses.
func (e *Exchange) send(datagram []byte, to []net.Addr, purpose string) {
	for _, addr := range to {
		if _, err := e.opts.Conn.WriteTo(datagram, addr); err == nil { // a failed send is equivalent to a lost datagram
			e.metrics.sentBytes.WithLabelValues(purpose).Add(float64(len(datagram)))
		}
	}
}

func (e *Exchange) receiveLoop() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := e.opts.Conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			e.opts.Log.WithError(err).WithField("event", "exchange_receive").Warn("failed to receive a datagram")
			time.Sleep(coalesceDelay)
			continue
		}
		e.metrics.receivedBytes.Add(float64(n))
		if err := e.handleDatagram(buf[:n], time.Now()); err != nil {
			e.opts.Log.WithError(err).WithField("from", from.String()).Debug("ignoring a malformed datagram")
		}
	}
}

// handleDatagram processes a datagram by its format, and passes it on if it is meant for all gateways of the circle.
func (e *Exchange) handleDatagram(datagram []byte, now time.Time) error {
	r := &reader{rest: datagram}
	switch r.u32() {
	case recordsMagic:
		return e.handleRecords(datagram, now)
	case limitsMagic:
		return e.handleReports(datagram)
	case evacuationsMagic:
		return e.handleEvacuations(datagram)
	}
	m, err := decode(datagram, now)
	if err != nil {
		return err
	}
	if m.Relay {
		e.relay(datagram, m)
	}
	e.handleMessage(m, now)
	return nil
}

// relay passes a datagram from another circle on to the gateways of this one.
func (e *Exchange) relay(datagram []byte, m *Message) {
	if e.IsNear(Member{m.Name, m.FailureDomain}) {
		return // its sender reaches them itself
	}
	e.passOn(datagram)
}

// passOn sends a datagram to the other gateways of the circle, which do not pass it on.
func (e *Exchange) passOn(datagram []byte) {
	e.mu.Lock()
	near := e.topology.near
	e.mu.Unlock()
	e.send(withoutRelay(datagram), near, passedOn)
}

// handleMessage records a part of a peer's state, unless a newer state of that peer has arrived.
func (e *Exchange) handleMessage(m *Message, now time.Time) {
	if m.Name == e.opts.Name {
		return
	}
	p, discovered, versionsChanged := e.recordPeer(m, now)
	if p == nil {
		return
	}
	if discovered {
		e.opts.Log.WithFields(logrus.Fields{"event": "peer_found", "peer": m.Name, "epoch": m.Versions.Epoch}).
			Info("discovered another gateway")
	}
	if versionsChanged {
		timing.Signal(e.versionsChanged)
	}
	for _, scope := range []placement.Scope{placement.Near, placement.Fleetwide} {
		if m.Scopes&scope != 0 {
			e.recordJobs(p, m, scope, now)
		}
	}
}

// recordPeer updates the peer that has sent a message. It returns nil if the address of the message is invalid.
func (e *Exchange) recordPeer(m *Message, now time.Time) (p *Peer, discovered, versionsChanged bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p = e.peers[m.Name]
	discovered = p == nil || now.Sub(p.LastHeard) > peerTimeout
	if discovered || p.Addr != m.Addr {
		target, err := net.ResolveUDPAddr("udp", m.Addr)
		if err != nil {
			return nil, false, false
		}
		p = &Peer{Name: m.Name, target: target, sequences: make(map[placement.Scope]uint64), parts: make(map[placement.Scope]int)}
		e.peers[m.Name] = p
		e.targets.add(target, now)
	}
	p.Addr, p.FailureDomain, p.LastHeard = m.Addr, m.FailureDomain, now
	if m.Sequence >= max(p.sequences[placement.Near], p.sequences[placement.Fleetwide]) {
		versionsChanged = p.Versions.Epoch != m.Versions.Epoch || p.Versions.EndpointsChanged != m.Versions.EndpointsChanged ||
			p.Versions.StoreReachable != m.Versions.StoreReachable
		p.Versions = m.Versions
	}
	if m.Stopping {
		delete(e.peers, m.Name)
		e.targets.remove(p.target)
	} else {
		e.targets.heard(p.target, now)
	}
	if discovered || m.Stopping {
		e.refreshTopology(now)
	}
	return p, discovered, versionsChanged
}

// recordJobs passes the jobs of a message in one scope to the scheduler, unless a newer state has arrived.
func (e *Exchange) recordJobs(p *Peer, m *Message, scope placement.Scope, now time.Time) {
	e.mu.Lock()
	outdated := m.Sequence < p.sequences[scope]
	previousParts := p.parts[scope]
	if !outdated {
		p.sequences[scope], p.parts[scope] = m.Sequence, m.Parts
	}
	e.mu.Unlock()
	if outdated {
		return
	}
	var jobs []placement.Job
	for i := range m.Jobs {
		if m.Jobs[i].Scope() == scope {
			jobs = append(jobs, m.Jobs[i])
		}
	}
	e.opts.Scheduler.SetPeerJobs(peerPartKey(m.Name, scope, m.Part), jobs, now)
	for i := m.Parts; i < previousParts; i++ {
		e.opts.Scheduler.SetPeerJobs(peerPartKey(m.Name, scope, i), nil, now)
	}
}

// peerPartKey is the key under which the scheduler holds the jobs in one scope of one part of a peer's state.
func peerPartKey(name string, scope placement.Scope, part int) string {
	return name + "#" + strconv.Itoa(int(scope)) + "#" + strconv.Itoa(part)
}

// refreshTopology recomputes who is near, from the peers that have been heard recently.
func (e *Exchange) refreshTopology(now time.Time) {
	live := make([]*Peer, 0, len(e.peers))
	for _, p := range e.peers {
		if now.Sub(p.LastHeard) < peerTimeout {
			live = append(live, p)
		}
	}
	e.topology = newTopology(Member{e.opts.Name, e.opts.FailureDomain}, live)
}

// topology holds who is near this gateway and who may relay to the other circles.
type topology struct {
	circles Circles
	own     Circle
	near    []net.Addr         // the other gateways of the own circle
	far     map[Circle][]*Peer // the gateways of the other circles
}

func newTopology(self Member, peers []*Peer) topology {
	members := []Member{self}
	for _, p := range peers {
		members = append(members, Member{p.Name, p.FailureDomain})
	}
	t := topology{circles: NewCircles(members), far: make(map[Circle][]*Peer)}
	t.own = t.circles.Of(self)
	for i, p := range peers {
		if circle := t.circles.Of(members[i+1]); circle != t.own {
			t.far[circle] = append(t.far[circle], p)
		} else {
			t.near = append(t.near, p.target)
		}
	}
	return t
}

func (t *topology) isNear(m Member) bool { return t.circles.Of(m) == t.own }

// randomRelays returns a random gateway of each other circle. Choosing anew for each state bounds what a relay that is gone costs
// to one state.
func (t *topology) randomRelays() []net.Addr {
	relays := make([]net.Addr, 0, len(t.far))
	for _, circle := range sortedCircles(t.far) {
		candidates := t.far[circle]
		for tried, i := range rand.Perm(len(candidates)) {
			isLast := tried == len(candidates)-1
			if p := candidates[i]; time.Since(p.LastHeard) < relayTimeout || isLast {
				relays = append(relays, p.target)
				break
			}
		}
	}
	return relays
}
