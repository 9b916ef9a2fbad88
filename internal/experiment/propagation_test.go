package experiment

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/epoch"
)

const (
	warmUp          = 45 * time.Second  // until every node knows the others
	steadySpan      = 20 * time.Second  // of the measurement without changes
	changeSpan      = 10 * time.Second  // recorded around each change
	changeInterval  = 129 * time.Second // 670 changes a day
	trafficWindow   = 10 * time.Second  // over which the busiest node's bytes are averaged
	maxPropagation  = 5 * time.Minute
	trialWorkspaces = 200
	maxNodeBytes    = 21000.0 // bytes per second and node, the stated target
	maxTableReads   = 20.0    // per second; the design says about 10
)

var trialsFlag = flag.Int("trials", 0, "trials per row of the propagation table; 0: the default of each size")

// measurement is one row of the propagation table.
type measurement struct {
	nodes    int
	mode     string
	held     []time.Duration // per trial, from the submission until every node held the epoch
	inForce  []time.Duration // per trial, from the submission until the accepting entry reported in force
	live     float64         // least share of the agents that one entry takes for live, at the end
	steady   load            // without changes
	changing load            // at 670 changes a day
}

// load is what the exchange and the table cost over a span of time.
type load struct {
	nodeBytes float64 // mean bytes per second and node, sent and received
	maxBytes  float64 // of the busiest node in its busiest window of trafficWindow
	messages  float64 // requests per second of the whole fleet
	reads     float64 // of the table, per second
	writes    float64
}

// recorder samples the traffic of each node once per window.
type recorder struct {
	world         *World
	start, sample time.Time
	first, last   []float64
	exchanges     float64
	reads, writes int
	busiest       float64
}

func newRecorder(w *World) *recorder {
	r := &recorder{world: w, start: time.Now(), sample: time.Now(), first: traffic(w), exchanges: exchanges(w)}
	r.last = r.first
	r.reads, r.writes = w.Table.Counts()
	return r
}

// pass sleeps until end and takes a sample at the end of every window.
func (r *recorder) pass(end time.Time) {
	for {
		next := r.sample.Add(trafficWindow)
		if next.After(end) {
			time.Sleep(time.Until(end))
			return
		}
		time.Sleep(time.Until(next))
		r.take(time.Now())
	}
}

func (r *recorder) take(now time.Time) {
	seconds, bytes := now.Sub(r.sample).Seconds(), traffic(r.world)
	for i := range bytes {
		r.busiest = max(r.busiest, (bytes[i]-r.last[i])/seconds)
	}
	r.sample, r.last = now, bytes
}

func (r *recorder) load() load {
	seconds := time.Since(r.start).Seconds()
	l := load{maxBytes: r.busiest, messages: (exchanges(r.world) - r.exchanges) / seconds}
	for i, b := range traffic(r.world) {
		l.nodeBytes += (b - r.first[i]) / seconds / float64(len(r.first))
	}
	reads, writes := r.world.Table.Counts()
	l.reads, l.writes = float64(reads-r.reads)/seconds, float64(writes-r.writes)/seconds
	return l
}

// dailyRate turns the load during back-to-back spans with a change each into the load at one change per changeInterval.
// The busiest window stays as it was measured.
func (l load) dailyRate(steady load) load {
	share := changeSpan.Seconds() / changeInterval.Seconds()
	mix := func(with, without float64) float64 { return without + share*(with-without) }
	return load{nodeBytes: mix(l.nodeBytes, steady.nodeBytes), maxBytes: l.maxBytes, messages: mix(l.messages, steady.messages),
		reads: mix(l.reads, steady.reads), writes: mix(l.writes, steady.writes)}
}

func leastLive(w *World) float64 {
	least := 1.0
	for _, n := range w.Nodes[:w.options.Entries] {
		live := 0
		for _, a := range n.Peer().Members().Agents() {
			if a.Live {
				live++
			}
		}
		least = min(least, float64(live)/float64(w.options.Agents))
	}
	return least
}

func exchanges(w *World) (n float64) {
	for _, node := range w.Nodes {
		n += node.Peer().ExchangeCount()
	}
	return n
}

// measure runs trials of one change each. storeFails takes the table down right after each write.
func measure(t *testing.T, entries, agents, domains, trials int, mode string) measurement {
	m := measurement{nodes: entries + agents, mode: mode}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := NewWorld(Options{Entries: entries, Agents: agents, Domains: domains, PollOnly: mode == "polling alone"})
		require.NoError(t, w.Start(ctx))
		time.Sleep(warmUp)
		first := &w.Nodes[0]
		submit(t, ctx, *first, domains, 0)
		awaitAll(t, w, 1)
		time.Sleep(changeSpan)
		r := newRecorder(w)
		r.pass(time.Now().Add(steadySpan))
		m.steady = r.load()
		r = newRecorder(w)
		for trial := range trials {
			m.trial(t, ctx, w, trial+1)
			r.pass(r.start.Add(time.Duration(trial+1) * changeSpan))
		}
		m.changing = r.load().dailyRate(m.steady)
		m.live = leastLive(w)
		cancel()
		w.Stop()
	})
	return m
}

func submit(t *testing.T, ctx context.Context, n *Node, domains, revision int) {
	_, err := n.Acceptor().Submit(ctx, epoch.Submission{BaseEpoch: n.Epoch(), Raw: Text(domains, trialWorkspaces, revision)})
	require.NoError(t, err)
}

func (m *measurement) trial(t *testing.T, ctx context.Context, w *World, trial int) {
	n := w.Nodes[trial%w.options.Entries]
	start := time.Now()
	submit(t, ctx, n, w.options.Domains, trial)
	want := n.Epoch()
	w.Table.SetDown(m.mode == "table fails after the write")
	awaitAll(t, w, want)
	m.held = append(m.held, time.Since(start))
	for !w.options.PollOnly && !n.Acceptor().InForce(want) && time.Since(start) < maxPropagation {
		time.Sleep(10 * time.Millisecond)
	}
	if !w.options.PollOnly {
		m.inForce = append(m.inForce, time.Since(start))
	}
	w.Table.SetDown(false)
}

func awaitAll(t *testing.T, w *World, want int64) {
	for end := time.Now().Add(maxPropagation); ; time.Sleep(10 * time.Millisecond) {
		behind := slices.ContainsFunc(w.Nodes, func(n *Node) bool { return n.Epoch() < want })
		if !behind {
			return
		}
		require.True(t, time.Now().Before(end), "epoch %d did not reach every node", want)
	}
}

func traffic(w *World) []float64 {
	bytes := make([]float64, len(w.Nodes))
	for i, n := range w.Nodes {
		sent, received := n.Peer().MessageBytes()
		bytes[i] = sent + received
	}
	return bytes
}

// quantile returns the q-quantile of d by the nearest-rank method.
func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)].Round(10 * time.Millisecond)
}

func (m *measurement) row() string {
	cells := []string{fmt.Sprint(m.nodes), m.mode, fmt.Sprint(len(m.held))}
	for _, q := range []float64{0.5, 0.99, 1} {
		cells = append(cells, quantile(m.held, q).String())
	}
	for _, q := range []float64{0.5, 0.99, 1} {
		if len(m.inForce) == 0 {
			cells = append(cells, "–")
			continue
		}
		cells = append(cells, quantile(m.inForce, q).String())
	}
	for _, l := range []load{m.steady, m.changing} {
		cells = append(cells, fmt.Sprintf("%.0f / %.0f / %.1f / %.1f / %.2f", l.nodeBytes, l.maxBytes, l.messages, l.reads, l.writes))
	}
	cells = append(cells, fmt.Sprintf("%.3f", m.live))
	return "| " + strings.Join(cells, " | ") + " |"
}

// The last two columns give: bytes per second of the mean node / of the busiest node in its busiest window of 10 s /
// messages per second of the fleet / table reads per second / table writes per second.
const tableHead = `| nodes | mode | trials | held p50 | p99 | max | in force p50 | p99 | max | steady | 670 changes a day | agents live |
|---|---|---|---|---|---|---|---|---|---|---|---|`

// Guards against a fleet in which a text takes longer than 6 s to be held everywhere and reported in force, or the
// exchange costs more bytes or table reads than the stated targets. With -long it prints the table for all sizes.
func TestPropagationWithinTarget(t *testing.T) {
	sizes := []struct{ entries, agents, domains, trials int }{{4, 26, 3, 5}}
	if *long {
		sizes[0].trials = 20
		sizes = append(sizes, []struct{ entries, agents, domains, trials int }{{96, 204, 7, 10}, {360, 770, 7, 3}}...)
	}
	t.Log("\n" + tableHead)
	for _, s := range sizes {
		for _, mode := range []string{"exchange", "table fails after the write", "polling alone"} {
			t.Run(fmt.Sprintf("%d/%s", s.entries+s.agents, mode), func(t *testing.T) {
				trials := s.trials
				if *trialsFlag > 0 {
					trials = *trialsFlag
				}
				m := measure(t, s.entries, s.agents, s.domains, trials, mode)
				t.Log("\n" + m.row())
				if mode == "polling alone" {
					require.Greater(t, quantile(m.held, 0.5), time.Second, "the baseline shares the table's read rate")
					return
				}
				require.LessOrEqual(t, slices.Max(m.held), propagationBound)
				require.LessOrEqual(t, slices.Max(m.inForce), propagationBound)
				for _, l := range []load{m.steady, m.changing} {
					require.LessOrEqual(t, l.maxBytes, maxNodeBytes)
					require.LessOrEqual(t, l.reads, maxTableReads)
				}
			})
		}
	}
}
