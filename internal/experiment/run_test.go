package experiment

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/epoch"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/internal/timing"
	"github.com/bilberrylink/bilberrylink/invariant"
	"github.com/bilberrylink/bilberrylink/peer"
)

var long = flag.Bool("long", false, "run more seeds and the full fleet sizes")

// propagationBound is the stated target for an accepted text to reach every connected node.
const propagationBound = 6 * time.Second

// run is one randomised run with its violations.
type run struct {
	world *World
	rand  *rand.Rand

	mu       sync.Mutex
	winners  map[int64]string // epoch to the submission that won it
	inForce  int64
	found    map[string]string // violated invariant to its first detail
	accepted int
	unknown  int
}

func (r *run) check(ok bool, name, format string, args ...any) {
	if ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.found[name] == "" {
		r.found[name] = fmt.Sprintf(format, args...)
	}
}

// submit is one operator's change against the epoch that its entry holds.
func (r *run) submit(ctx context.Context, n *Node, revision int) {
	a := n.Acceptor()
	id := fmt.Sprintf("submission-%d", revision)
	accepted, err := a.Submit(ctx, epoch.Submission{ID: id, BaseEpoch: n.Epoch(), Raw: Text(r.world.options.Domains, 5, revision)})
	if errkind.Is(err, errkind.AcceptanceUnknown) {
		r.mu.Lock()
		r.unknown++
		r.mu.Unlock()
	}
	if err != nil {
		return
	}
	elsewhere := slices.ContainsFunc(r.world.Nodes, func(m *Node) bool { return m != n && m.Epoch() >= accepted.Epoch })
	r.check(elsewhere, "confirmed_elsewhere", "epoch %d was accepted at %s, and no other node holds it", accepted.Epoch, n.Name)
	r.mu.Lock()
	other, taken := r.winners[accepted.Epoch]
	r.winners[accepted.Epoch] = id
	r.accepted++
	r.mu.Unlock()
	r.check(!taken || other == id, "one_winner", "epoch %d won by %s and %s", accepted.Epoch, other, id)
}

// watch asserts on every node that no epoch falls and that no node without an epoch in force has fresh evidence.
func (r *run) watch(ctx context.Context) {
	held := make(map[*peer.Peer]int64) // by process: a restarted one starts without an epoch
	for ctx.Err() == nil {
		for _, n := range r.world.Nodes {
			p := n.Peer()
			if p == nil {
				continue
			}
			if a := n.Acceptor(); n.Role == "entry" {
				for e := r.inForce + 1; a.InForce(e); e++ {
					r.inForce = e
				}
			}
			e, fresh := p.EpochStore().Epoch(), p.EpochStore().Fresh()
			r.check(e >= held[p], "epoch_falls", "%s fell from %d to %d", n.Name, held[p], e)
			held[p] = e
			r.check(e >= r.inForce || !fresh, "fresh_without_epoch", "%s holds %d and is fresh while %d is in force", n.Name, e, r.inForce)
		}
		_ = timing.Sleep(ctx, 50*time.Millisecond)
	}
}

// randomRun drives a fleet through faults and returns the violations.
func randomRun(t *testing.T, seed uint64, o Options, steps int) *run {
	r := &run{rand: rand.New(rand.NewPCG(seed, 0)), winners: make(map[int64]string), found: make(map[string]string)}
	restore := invariant.SetHandler(func(name, detail string) { r.check(false, name, "%s", detail) })
	defer restore()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r.world = NewWorld(o)
		require.NoError(t, r.world.Start(ctx))
		time.Sleep(3 * time.Second)
		r.submit(ctx, r.world.Nodes[0], 0)
		var wg sync.WaitGroup
		wg.Go(func() { r.watch(ctx) })
		for step := range steps {
			r.step(ctx, &wg, step)
		}
		r.heal(ctx)
		time.Sleep(propagationBound + 10*time.Second)
		r.submit(ctx, r.world.Nodes[0], 1_000_000)
		time.Sleep(propagationBound)
		want := r.world.Nodes[0].Epoch()
		for _, n := range r.world.Nodes {
			r.check(n.Epoch() == want, "reaches_all", "%s holds %d, not %d, after 6 s", n.Name, n.Epoch(), want)
			r.check(n.Peer().EpochStore().Fresh(), "fresh_when_healed", "%s has no fresh evidence", n.Name)
		}
		cancel()
		wg.Wait()
		r.world.Stop()
	})
	return r
}

// step injects one fault, lets operators submit during it, and waits.
func (r *run) step(ctx context.Context, wg *sync.WaitGroup, step int) {
	nodes, entries := r.world.Nodes, r.world.Nodes[:r.world.options.Entries]
	domain := DomainName(r.rand.IntN(r.world.options.Domains))
	switch r.rand.IntN(6) {
	case 0:
		r.world.Table.SetDown(r.rand.IntN(2) == 0)
	case 1:
		r.world.Table.SetLoseAnswers(r.rand.IntN(2) == 0)
	case 2:
		r.world.Cut(domain, true)
	case 3:
		r.world.Cut(domain, false)
	case 4:
		n := nodes[r.rand.IntN(len(nodes))]
		n.Pause(n.Running())
	case 5:
		n := nodes[r.rand.IntN(len(nodes))]
		n.Stop()
		_ = n.Start(ctx) // the options were accepted at the first start
	}
	for i := range 2 {
		n := entries[r.rand.IntN(len(entries))]
		wg.Go(func() { r.submit(ctx, n, 10*step+i+10) })
	}
	time.Sleep(time.Duration(r.rand.IntN(5000)) * time.Millisecond)
}

func (r *run) heal(context.Context) {
	r.world.Table.SetDown(false)
	r.world.Table.SetLoseAnswers(false)
	for i := range r.world.options.Domains {
		r.world.Cut(DomainName(i), false)
	}
	for _, n := range r.world.Nodes {
		n.Pause(false)
	}
}

// Guards against an epoch that falls or is won twice, a text that does not reach all nodes, and a node that serves an
// old text after the new one was reported in force, under every fault of the design at once.
func TestInvariantsHoldUnderFaults(t *testing.T) {
	seeds := uint64(4)
	if *long {
		seeds = 60
	}
	accepted, unknown := 0, 0
	for seed := range seeds {
		r := randomRun(t, seed+1, Options{Entries: 6, Agents: 6, Domains: 3}, 25)
		require.Empty(t, r.found, "seed %d", seed+1)
		accepted += r.accepted
		unknown += r.unknown
	}
	t.Logf("%d seeds: %d texts accepted, %d answers in doubt", seeds, accepted, unknown)
	require.Greater(t, accepted, int(seeds), "runs accept texts")
}

// maxSearch bounds the seeds tried until a missing mechanism shows. Most show within ten.
const maxSearch = 100

// Guards against checks that report nothing: with a mechanism off, the run must report the violation.
func TestRunReportsMissingMechanism(t *testing.T) {
	for _, c := range []struct {
		name    string
		options Options
		want    string
	}{
		{"commit without condition", Options{Unconditional: true}, "one_winner"},
		{"evidence never expires", Options{Faulty: epoch.FaultInjection{IgnoreEvidenceAge: true}}, "fresh_without_epoch"},
		{"acceptance without confirmation", Options{SkipConfirm: true}, "confirmed_elsewhere"},
		{"older epochs are adopted", Options{Faulty: epoch.FaultInjection{AdoptLowerEpoch: true}}, "epoch_monotonic"},
		{"propagation by polling alone", Options{PollOnly: true}, "reaches_all"},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.options.Entries, c.options.Agents, c.options.Domains = 6, 6, 3
			if c.options.PollOnly {
				c.options.Agents = 114
			}
			for seed := range uint64(maxSearch) {
				if r := randomRun(t, seed+1, c.options, 25); r.found[c.want] != "" {
					t.Logf("seed %d: %s", seed+1, r.found[c.want])
					return
				}
			}
			t.Fatalf("no seed reported %s", c.want)
		})
	}
}
