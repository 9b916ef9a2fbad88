package exchange

import (
	"context"
	"net"
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
	// peerTimeout is the time without a message after which a peer is considered gone. It tolerates the loss of several
	// states in a row.
	peerTimeout = 2500 * time.Millisecond
	// maxCrashAge is the maximum age of the crash records that are sent.
	maxCrashAge = 30 * time.Second
)

// CrashTracker stores how often calls, identified by fingerprint, have crashed endpoints.
type CrashTracker interface {
	// Merge records a crash count received from a peer.
	Merge(fingerprint uint64, count int)
	// Recent returns up to limit crash counts updated within maxAge, by fingerprint.
	Recent(maxAge time.Duration, limit int) map[uint64]int
}

// Options configures an Exchange.
type Options struct {
	Name           string // name of this gateway
	Conn           net.PacketConn
	Scheduler      *placement.Scheduler
	Crashes        CrashTracker
	Epoch          func() int64 // epoch of this gateway's configuration
	StoreReachable func() bool  // whether this gateway can reach the store
	Log            *logrus.Logger
	Registerer     prometheus.Registerer
}

// Peer is another gateway, as described by its latest state.
type Peer struct {
	Name           string
	Addr           string
	Epoch          int64
	StoreReachable bool
	lastHeard      time.Time
	sequence       uint64
	parts          int // number of parts of the latest state
}

// Exchange sends this gateway's state to all peers and receives theirs.
type Exchange struct {
	opts     Options
	sent     prometheus.Counter
	received prometheus.Counter

	mu       sync.Mutex
	targets  map[string]net.Addr // by address, including those that have not answered yet
	peers    map[string]*Peer    // by name
	sequence uint64
	stopping bool
}

// New returns an Exchange, which does nothing until Run is called.
func New(opts Options) *Exchange {
	e := &Exchange{
		opts: opts, targets: make(map[string]net.Addr), peers: make(map[string]*Peer),
		sequence: uint64(time.Now().UnixMilli()) << 16,
		sent: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bilberry_exchange_sent_bytes_total", Help: "Bytes sent to other gateways."}),
		received: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bilberry_exchange_received_bytes_total", Help: "Bytes received from other gateways."}),
	}
	if opts.Registerer != nil {
		opts.Registerer.MustRegister(e.sent, e.received)
	}
	return e
}

// AddTarget adds an address, in the form IP:PORT, to which this gateway sends its state.
func (e *Exchange) AddTarget(addr string) error {
	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return errors.Wrap(err, "peer address")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if udpAddr.String() != e.opts.Conn.LocalAddr().String() {
		e.targets[udpAddr.String()] = udpAddr
	}
	return nil
}

// LivePeers returns the peers that have sent a state recently.
func (e *Exchange) LivePeers() []Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	var live []Peer
	for _, p := range e.peers {
		if time.Since(p.lastHeard) < peerTimeout {
			live = append(live, *p)
		}
	}
	return live
}

// AnnounceStop tells the peers that this gateway is shutting down.
func (e *Exchange) AnnounceStop() {
	e.mu.Lock()
	e.stopping = true
	e.mu.Unlock()
	e.sendState()
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
	e.sendState()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.opts.Scheduler.Changed():
			if timing.Sleep(ctx, coalesceDelay) != nil {
				return
			}
		}
		e.sendState()
	}
}

func (e *Exchange) sendState() {
	now := time.Now()
	jobs := e.opts.Scheduler.LocalJobs()
	e.mu.Lock()
	e.sequence++
	state := Message{
		Name: e.opts.Name, Sequence: e.sequence, Epoch: e.opts.Epoch(), StoreReachable: e.opts.StoreReachable(), Stopping: e.stopping,
		Crashes: e.opts.Crashes.Recent(maxCrashAge, maxCrashes),
	}
	targets := make([]net.Addr, 0, len(e.targets))
	for _, target := range e.targets {
		targets = append(targets, target)
	}
	e.mu.Unlock()
	for _, part := range splitState(state, jobs) {
		datagram := part.encode(now)
		for _, target := range targets {
			if _, err := e.opts.Conn.WriteTo(datagram, target); err == nil {
				e.sent.Add(float64(len(datagram))) // a failed send is equivalent to a lost datagram
			}
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
		e.received.Add(float64(n))
		now := time.Now()
		m, err := decode(buf[:n], now)
		if err != nil {
			e.opts.Log.WithError(err).WithField("from", from.String()).Debug("ignoring a malformed datagram")
			continue
		}
		e.handleMessage(m, from, now)
	}
}

// handleMessage records a part of a peer's state, unless a newer state of that peer has arrived.
func (e *Exchange) handleMessage(m *Message, from net.Addr, now time.Time) {
	if m.Name == e.opts.Name {
		return
	}
	e.mu.Lock()
	p := e.peers[m.Name]
	discovered := p == nil || now.Sub(p.lastHeard) > peerTimeout
	if discovered {
		p = &Peer{Name: m.Name}
		e.peers[m.Name] = p
	}
	if m.Sequence < p.sequence {
		e.mu.Unlock()
		return // a newer state arrived earlier
	}
	previousParts := p.parts
	p.Addr, p.Epoch, p.StoreReachable, p.lastHeard, p.sequence, p.parts =
		from.String(), m.Epoch, m.StoreReachable, now, m.Sequence, m.Parts
	e.targets[from.String()] = from
	if m.Stopping {
		delete(e.peers, m.Name)
		delete(e.targets, from.String())
	}
	e.mu.Unlock()
	if discovered {
		e.opts.Log.WithFields(logrus.Fields{"event": "peer_found", "peer": m.Name, "epoch": m.Epoch}).Info("discovered another gateway")
	}
	for fingerprint, count := range m.Crashes {
		e.opts.Crashes.Merge(fingerprint, count)
	}
	e.opts.Scheduler.SetPeerJobs(peerPartKey(m.Name, m.Part), m.Jobs, now)
	for i := m.Parts; i < previousParts; i++ {
		e.opts.Scheduler.SetPeerJobs(peerPartKey(m.Name, i), nil, now)
	}
}

// peerPartKey is the key under which the scheduler holds the jobs of one part of a peer's state.
func peerPartKey(name string, part int) string { return name + "#" + strconv.Itoa(part) }
