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

// Times of the exchange.
const (
	// keepAlive is the longest pause between two states of a gateway.
	keepAlive = 500 * time.Millisecond
	// gather is the shortest pause: changes within it go out together. Much shorter than reading a prompt takes.
	gather = 3 * time.Millisecond
	// peerLife is the silence after which a peer counts as gone: several states in a row were lost.
	peerLife = 2500 * time.Millisecond
	// crashSpan is the age up to which crashes are sent.
	crashSpan = 30 * time.Second
)

// CrashTracker is what the exchange needs of the memory of crashing calls.
type CrashTracker interface {
	Merge(fingerprint uint64, count int)
	Recent(span time.Duration, most int) map[uint64]int
}

// Options configures an Exchange.
type Options struct {
	Name           string
	Conn           net.PacketConn
	Board          *placement.Scheduler
	Crashes        CrashTracker
	Epoch          func() int64
	StoreReachable func() bool
	Log            *logrus.Logger
	Registerer     prometheus.Registerer
}

// Peer is another gateway.
type Peer struct {
	Name           string
	Addr           string
	Epoch          int64
	StoreReachable bool
	heard          time.Time
	seq            uint64
	parts          int
}

// Exchange sends the own state to all peers and takes theirs.
type Exchange struct {
	opts     Options
	sent     prometheus.Counter
	received prometheus.Counter

	mu       sync.Mutex
	targets  map[string]net.Addr // by address; all that were ever named
	peers    map[string]*Peer    // by name
	sequence uint64
	stopping bool
}

// New returns an Exchange. Run makes it work.
func New(opts Options) *Exchange {
	x := &Exchange{
		opts: opts, targets: make(map[string]net.Addr), peers: make(map[string]*Peer),
		sequence: uint64(time.Now().UnixMilli()) << 16,
		sent: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bilberry_exchange_sent_bytes_total", Help: "Bytes sent to other gateways."}),
		received: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bilberry_exchange_received_bytes_total", Help: "Bytes received from other gateways."}),
	}
	if opts.Registerer != nil {
		opts.Registerer.MustRegister(x.sent, x.received)
	}
	return x
}

// AddTarget names an address that gets the own state. Errors: an address that is not IP:PORT.
func (x *Exchange) AddTarget(addr string) error {
	a, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return errors.Wrap(err, "peer address")
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if a.String() != x.opts.Conn.LocalAddr().String() {
		x.targets[a.String()] = a
	}
	return nil
}

// LivePeers returns the peers heard of lately.
func (x *Exchange) LivePeers() []Peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	var live []Peer
	for _, p := range x.peers {
		if time.Since(p.heard) < peerLife {
			live = append(live, *p)
		}
	}
	return live
}

// AnnounceStop tells the peers that this gateway ends.
func (x *Exchange) AnnounceStop() {
	x.mu.Lock()
	x.stopping = true
	x.mu.Unlock()
	x.send()
}

// Run sends and receives until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		x.receive()
	}()
	x.sendLoop(ctx)
	if err := x.opts.Conn.Close(); err != nil {
		x.opts.Log.WithError(err).Warn("exchange socket did not close")
	}
	<-done
}

func (x *Exchange) sendLoop(ctx context.Context) {
	tick := time.NewTicker(keepAlive)
	defer tick.Stop()
	x.send()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-x.opts.Board.Changed():
			if timing.Sleep(ctx, gather) != nil {
				return
			}
		}
		x.send()
	}
}

func (x *Exchange) send() {
	now := time.Now()
	jobs := x.opts.Board.LocalJobs()
	x.mu.Lock()
	x.sequence++
	m := Message{
		Name: x.opts.Name, Sequence: x.sequence, Epoch: x.opts.Epoch(), StoreReachable: x.opts.StoreReachable(), Stopping: x.stopping,
		Crashes: x.opts.Crashes.Recent(crashSpan, maxCrashes),
	}
	targets := make([]net.Addr, 0, len(x.targets))
	for _, t := range x.targets {
		targets = append(targets, t)
	}
	x.mu.Unlock()
	for _, part := range split(m, jobs) {
		b := part.encode(now)
		for _, t := range targets {
			if _, err := x.opts.Conn.WriteTo(b, t); err == nil {
				x.sent.Add(float64(len(b))) // a datagram that is not sent is like one that is lost
			}
		}
	}
}

func (x *Exchange) receive() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := x.opts.Conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			x.opts.Log.WithError(err).WithField("event", "exchange_receive").Warn("datagram not received")
			time.Sleep(gather)
			continue
		}
		x.received.Add(float64(n))
		now := time.Now()
		m, err := decode(buf[:n], now)
		if err != nil {
			x.opts.Log.WithError(err).WithField("from", from.String()).Debug("datagram ignored")
			continue
		}
		x.take(m, from, now)
	}
}

func (x *Exchange) take(m *Message, from net.Addr, now time.Time) {
	if m.Name == x.opts.Name {
		return
	}
	x.mu.Lock()
	p := x.peers[m.Name]
	fresh := p == nil || now.Sub(p.heard) > peerLife
	if fresh {
		p = &Peer{Name: m.Name}
		x.peers[m.Name] = p
	}
	if m.Sequence < p.seq {
		x.mu.Unlock()
		return // overtaken by a newer state
	}
	parts := p.parts
	p.Addr, p.Epoch, p.StoreReachable, p.heard, p.seq, p.parts = from.String(), m.Epoch, m.StoreReachable, now, m.Sequence, m.Parts
	x.targets[from.String()] = from
	if m.Stopping {
		delete(x.peers, m.Name)
		delete(x.targets, from.String())
	}
	x.mu.Unlock()
	if fresh {
		x.opts.Log.WithFields(logrus.Fields{"event": "peer_found", "peer": m.Name, "epoch": m.Epoch}).Info("another gateway is there")
	}
	for f, n := range m.Crashes {
		x.opts.Crashes.Merge(f, n)
	}
	x.opts.Board.SetPeerJobs(partName(m.Name, m.Part), m.Jobs, now)
	for i := m.Parts; i < parts; i++ {
		x.opts.Board.SetPeerJobs(partName(m.Name, i), nil, now)
	}
}

func partName(name string, part int) string { return name + "#" + strconv.Itoa(part) }
